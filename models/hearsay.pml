/*
 * hearsay - a backend server that came back isn't kept away by what nodes tell
 * each other
 *
 * What is modelled. One backend server that says it is leaving and takes it back
 * TURNS times, and the nodes of its place. Each node reads the server's own word
 * at any moments, and tells the others whether it has it as leaving; what was
 * told arrives late, and stands until the same node tells otherwise.
 *
 * Property. When no more happens, all nodes have what the server said last (the
 * last assertion); each step but those towards it is finite in number.
 *
 * Stands for. packages/node/loops.c: is_seen_leaving, add_leaving;
 * packages/node/state_shares.c: backend_is_leaving; packages/node/view.c.
 *
 * Faults, each removing one guard:
 *   PASSED_ON  a node also tells what it only heard; so two of them keep each
 *              other believing, and the server never gets work again
 */
#define NODES 3
#ifndef TURNS
#define TURNS 2
#endif

bool says; /* the server */
byte turns;
bool seen[NODES]; /* read from the server itself */
bool heard[NODES * NODES]; /* heard[n * NODES + m]: by n from m */

#define HAS_HEARD(n) \
	(heard[n * NODES] || heard[n * NODES + 1] || heard[n * NODES + 2])
#define IS_LEAVING(n) (seen[n] || HAS_HEARD(n))

#ifdef PASSED_ON
#define TELLS(n) IS_LEAVING(n)
#else
#define TELLS(n) seen[n]
#endif

active proctype server()
{
	do
	:: atomic { turns < TURNS -> turns++; says = !says }
	:: turns == TURNS -> break
	od
}

proctype node(byte n)
{
end:	do
	:: atomic { seen[n] != says -> seen[n] = says }
	od
}

proctype way(byte to; byte from)
{
	bool told;

end:	do
	:: TELLS(from) != heard[to * NODES + from] ->
		told = TELLS(from);
		atomic {
			heard[to * NODES + from] = told;
			told = false }
	od
}

active proctype at_the_end()
{
	timeout ->
	assert(IS_LEAVING(0) == says && IS_LEAVING(1) == says &&
	       IS_LEAVING(2) == says)
}

init {
	atomic {
		run node(0);
		run node(1);
		run node(2);
		run way(0, 1);
		run way(1, 0);
		run way(1, 2);
		run way(2, 1);
		run way(0, 2);
		run way(2, 0)
	}
}
