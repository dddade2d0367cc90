/*
 * config_spread - nodes never go back, and all get to the newest version
 *
 * What is modelled. The row's version goes up CHANGES times, at any moments.
 * Nodes hold the configuration in force: they poll the row and tell each other
 * their version, with answers that come late. Nodes restart empty RESTARTS
 * times, at any step. The platform goes down and comes back, and the way
 * between the nodes is cut and heals, OUTAGES times in all; one node, whichever,
 * never reaches the platform (its place is cut off) but does reach another node.
 *
 * Properties. A node never goes back in version in one life (adopt). A node
 * that has no version serves nothing (serve). When no more happens, all nodes
 * have the newest version (the last assertion): each step but those towards
 * newer versions is finite in number, so that the end is reached once the faults
 * have stopped.
 *
 * Not modelled: that it takes seconds; history tests measure it.
 *
 * Stands for. packages/node: poll loop, peer exchange, publication of the
 * configuration; packages/adapters/peer_rpc.h: exchange and config.
 *
 * Faults, each removing one guard:
 *   VERSION_GOES_BACK  a node takes what it is given
 *   SERVE_EMPTY        a restarted node serves before it has a version
 *   NO_PUSH            nodes don't tell each other
 *   NO_FALLBACK        only node 0 polls
 */
#define NODES 3
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#define REQUESTS 1
#define NOTHING 0

/* The platform */
byte row_version = 1;
bool platform_is_down;

/* Nodes; the way between node 2 and the others may be cut */
byte cut_off; /* the node that never reaches the platform */
bool way_is_cut;
byte version[NODES];
byte highest[NODES]; /* in this life, for the property */
byte polled[NODES]; /* an answer of the platform on its way */
byte told[NODES]; /* a peer's version on its way to the node */
byte restarts;
byte outages;
byte requests;

inline adopt(n, new)
{
	if
#ifdef VERSION_GOES_BACK
	:: true ->
#else
	:: new > version[n] ->
#endif
		version[n] = new;
		assert(version[n] >= highest[n]);
		highest[n] = version[n]
	:: else -> skip
	fi
}

inline serve(n)
{
	if
#ifdef SERVE_EMPTY
	:: true ->
#else
	:: version[n] > 0 ->
#endif
		assert(version[n] > 0)
	:: else -> skip /* refused: no configuration */
	fi
}

#ifdef NO_FALLBACK
#define POLLS(n) (n == 0)
#else
#define POLLS(n) true
#endif

#define IS_CUT(n, m) (way_is_cut && (n == 2 || m == 2))
#define MAY_TELL(n, m) \
	(!IS_CUT(n, m) && told[m] == NOTHING && version[n] > version[m])

proctype node(byte n)
{
end:	do
	:: atomic { POLLS(n) && n != cut_off && !platform_is_down &&
		polled[n] == NOTHING && version[n] < row_version ->
		polled[n] = row_version }
	:: atomic { polled[n] != NOTHING ->
		adopt(n, polled[n]);
		polled[n] = NOTHING }
#ifndef NO_PUSH
	:: atomic { MAY_TELL(n, (n + 1) % NODES) ->
		told[(n + 1) % NODES] = version[n] }
	:: atomic { MAY_TELL(n, (n + 2) % NODES) ->
		told[(n + 2) % NODES] = version[n] }
#endif
	:: atomic { told[n] != NOTHING ->
		adopt(n, told[n]);
		told[n] = NOTHING }
	:: atomic { requests < REQUESTS -> requests++; serve(n) }
	:: atomic { restarts < RESTARTS ->
		restarts++;
		version[n] = 0;
		highest[n] = 0;
		polled[n] = NOTHING }
	od
}

active proctype changes()
{
	do
	:: row_version <= CHANGES -> row_version++
	:: else -> break
	od
}

active proctype outage()
{
end:	do
	:: atomic { outages < OUTAGES && !platform_is_down ->
		outages++;
		platform_is_down = true }
	:: platform_is_down -> platform_is_down = false
	:: atomic { outages < OUTAGES && !way_is_cut ->
		outages++;
		way_is_cut = true }
	:: way_is_cut -> way_is_cut = false
	od
}

active proctype at_the_end()
{
	byte n;

	timeout ->
	atomic {
		do
		:: n < NODES ->
			assert(version[n] == row_version);
			n++
		:: n == NODES -> break
		od
	}
}

init {
	byte i;

	atomic {
		if
		:: cut_off = 0
		:: cut_off = 1
		:: cut_off = 2
		fi;
		do
		:: i < NODES -> run node(i); i++
		:: i == NODES -> break
		od;
		i = 0
	}
}
