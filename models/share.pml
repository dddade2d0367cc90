/*
 * share - two nodes' shares of a server's slots never add up to more than it has
 *
 * What is modelled. One backend server of SLOTS slots and the two nodes of its
 * place. Each version of the configuration splits the slots anew. A node that
 * takes a version over uses the smaller of its old and its new share, until the
 * other one has declared exactly this version; it declares a version itself once
 * no more is in flight than its share. Each calls the other with its own report,
 * and the answer, the other's report, arrives at any later moment. A node
 * restarts RESTARTS times, at any step: its requests end with their connections,
 * it knows nothing, and it gets the configuration from the platform or, older
 * than its former life had it, from a node of another place.
 *
 * Property. Never are more than SLOTS in flight (admit).
 *
 * Assumptions. A call is taken in as it is made; a dead node's call isn't taken
 * in after its next life's. Reports that others pass on are no answers, and
 * count as little as the calls of the other one do. Not modelled: the time after
 * which a silent node is taken to be gone.
 *
 * Stands for. packages/core/share.c: share_table_apply_version,
 * share_table_settle;
 * packages/node/state_shares.c: state_change_shares, sharer_is_ready,
 * state_declared_version;
 * packages/node/view.c: view_take, view_answered.
 *
 * Faults, each removing one guard:
 *   AT_ONCE        a share that grows does so at once
 *   AT_LEAST       a report of a newer version counts as well
 *   DECLARE_EARLY  a version is declared while more is in flight than the share
 *   NO_ANSWER      a report counts that isn't the answer to an own call, so that
 *                  the other may still count on what this one's former life
 *                  declared
 */
#define NODES 2
#define SLOTS 3
#define VERSIONS 3
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NOTHING 255

/* Node 0 has 2, 1, 2 of the slots in versions 1, 2, 3; node 1 the others. */
#define PART_OF_0(v) (v == 2 -> 1 : 2)
#define TARGET(n, v) (n == 0 -> PART_OF_0(v) : SLOTS - PART_OF_0(v))

byte newest = 1;
byte elsewhere = 1; /* version at the node of another place */
byte restarts;

/* Nodes */
byte life[NODES];
byte version[NODES]; /* 0: none yet */
byte slots[NODES]; /* that may be used now */
bool settled[NODES];
byte in_flight[NODES];

/* What a node knows of the other one */
byte heard[NODES]; /* version that it declared */
byte heard_life[NODES];
bool answered[NODES]; /* an own call, in both present lives */
byte answer[NODES] = NOTHING; /* to the node, on its way */
byte answer_life[NODES];

#ifdef DECLARE_EARLY
#define DECLARED(n) version[n]
#else
#define DECLARED(n) (in_flight[n] <= slots[n] -> version[n] : 0)
#endif

#ifdef AT_LEAST
#define IS_SAME(n) (heard[n] >= version[n])
#else
#define IS_SAME(n) (heard[n] == version[n])
#endif

#ifdef NO_ANSWER
#define IS_READY(n) IS_SAME(n)
#else
#define IS_READY(n) (answered[n] && IS_SAME(n))
#endif

inline take_version(n, v)
{
	if
#ifdef AT_ONCE
	:: true -> slots[n] = TARGET(n, v)
#else
	:: slots[n] > TARGET(n, v) -> slots[n] = TARGET(n, v)
	:: else -> skip
#endif
	fi;
	version[n] = v;
	settled[n] = false
}

inline admit(n)
{
	in_flight[n]++;
	assert(in_flight[0] + in_flight[1] <= SLOTS)
}

/* The other one is called: it takes the caller's report in and answers. */
inline call(n, m)
{
	if
	:: heard_life[m] != life[n] -> answered[m] = false
	:: else -> skip
	fi;
	heard[m] = DECLARED(n);
	heard_life[m] = life[n];
	answer[n] = DECLARED(m);
	answer_life[n] = life[m]
}

inline take_answer(n)
{
	if
	:: answer_life[n] >= heard_life[n] ->
		heard[n] = answer[n];
		heard_life[n] = answer_life[n];
		answered[n] = true
	:: else -> skip
	fi;
	answer[n] = NOTHING;
	answer_life[n] = 0
}

inline restart(n)
{
	life[n]++;
	version[n] = 0;
	slots[n] = 0;
	settled[n] = false;
	in_flight[n] = 0;
	heard[n] = 0;
	heard_life[n] = 0;
	answered[n] = false;
	answer[n] = NOTHING;
	answer_life[n] = 0
}

proctype node(byte n)
{
end:	do
	:: atomic { version[n] < newest -> take_version(n, newest) }
	:: atomic { version[n] < elsewhere -> take_version(n, elsewhere) }
	:: atomic { !settled[n] && version[n] > 0 && IS_READY(n) ->
		slots[n] = TARGET(n, version[n]);
		settled[n] = true }
	:: atomic { in_flight[n] < slots[n] -> admit(n) }
	:: atomic { in_flight[n] > 0 -> in_flight[n]-- }
	:: atomic { answer[n] == NOTHING -> call(n, (1 - n)) }
	:: atomic { answer[n] != NOTHING -> take_answer(n) }
	:: atomic { restarts < RESTARTS -> restarts++; restart(n) }
	od
}

active proctype platform()
{
	do
	:: newest < VERSIONS -> newest++
	:: elsewhere < newest -> elsewhere++
	:: newest == VERSIONS && elsewhere == newest -> break
	od
}

init {
	atomic {
		run node(0);
		run node(1)
	}
}
