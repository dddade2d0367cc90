/*
 * cold - a cold server's allowance, split among nodes that can't agree
 *
 * What is modelled. NODES nodes in their rendezvous order for one cold server,
 * of which one joins while it is cold. Each node knows some of the others; a
 * node that is cut off hears nobody, a dead one sends nothing. The first OWNERS
 * in the order of all that a node *knows* send, each at most PART requests
 * within the window; a request's connection takes time to open.
 *
 * Property. The server gets at most LIMIT requests within the window (arrive):
 * one more node than the owners may take itself for one while a member joins,
 * and what the server bears has room for that.
 *
 * Stands for. packages/core/choose.c cold_allows, packages/core/member_table.c
 * member_table_rank, backend_begin.
 *
 * Faults, each removing one guard:
 *   HEARD_ONLY      a node counts only those that it hears
 *   COUNT_SENT      a request counts when it leaves, not when it is chosen
 */
#define NODES 4
#define JOINS 0 /* this one joins: it comes before all others */
#define OWNERS 2
#define PART 1
#define LIMIT ((OWNERS + 1) * PART)

bool joined;
bool knows_joined[NODES]; /* of each node */
bool is_cut[NODES];
byte chosen[NODES]; /* requests on their way */
byte counted[NODES]; /* of the allowance */
byte arrived;

#ifdef HEARD_ONLY
#define RANK(n) (is_cut[n] -> 0 : \
		 n - 1 + (joined && knows_joined[n] -> 1 : 0))
#else
#define RANK(n) (n - 1 + (knows_joined[n] -> 1 : 0))
#endif

active proctype member_joins()
{
	joined = true;
	knows_joined[JOINS] = true
}

active [NODES] proctype node()
{
	byte me = _pid - 1;
	byte rank;

	do
	:: atomic { joined && me != JOINS && !is_cut[me] ->
		knows_joined[me] = true }
	:: is_cut[me] = !is_cut[me]
	:: atomic { (me != JOINS || joined) && counted[me] < PART &&
		    chosen[me] < 2 * PART ->
		/* The one that joined is the first of all that it knows. */
		if
		:: me == JOINS -> rank = 0
		:: me != JOINS -> rank = RANK(me)
		fi;
		if
		:: rank < OWNERS ->
			chosen[me]++;
#ifndef COUNT_SENT
			counted[me]++
#endif
		:: else -> skip
		fi }
	:: atomic { chosen[me] > 0 ->
		chosen[me]--;
#ifdef COUNT_SENT
		counted[me]++;
#endif
		arrived++;
		assert(arrived <= LIMIT) }
	:: break /* it dies */
	od
}
