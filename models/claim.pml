/*
 * claim - which node runs a request that two servers ended under
 *
 * What is modelled. Two nodes that each want to run it, from any tick on. A node
 * claims it and tells the other; the word takes up to WORD ticks. After WAIT
 * ticks it asks again: where the other has a claim that goes before its own, or
 * runs the request, it gives up its claim and comes again. A run is told at its
 * beginning and its end, and takes any time.
 *
 * Property. Both never run it at once (alone).
 *
 * Assumption. No word is lost, or takes longer than WORD.
 *
 * Stands for. packages/core/suspect_table.c, with a tick of half a word's time.
 *
 * Faults, each removing one guard:
 *   SHORT_WAIT      a claim waits for one word's time
 *   NO_WAIT         the node runs it as soon as it has claimed it
 *   NO_ORDER        of two claims neither goes before the other
 *   END_UNTOLD      a node that hears of a run takes it for over at once
 */
#define WORD 2
#ifdef SHORT_WAIT
#define WAIT WORD
#else
#define WAIT (2 * WORD + 1)
#endif

mtype = { IDLE, CLAIMS, RUNS };

mtype state[2] = IDLE;
byte waited[2]; /* ticks since the claim */

/* What each believes of the other, and the words on the way to it, by ticks. */
mtype heard[2] = IDLE;
mtype way[6]; /* of node 0: 0 to 2, of node 1: 3 to 5; 0: none */

#define at(node, ticks) way[(node) * 3 + (ticks)]
#define other(node) (1 - (node))

/* Words keep their order; a newer one may replace one that is under way. */
inline tell(node, what)
{
	if
	:: !at(other(node), WORD) -> at(other(node), WORD - 1) = what
	:: true -> at(other(node), WORD) = what
	fi
}

inline hear(node)
{
	if
	:: at(node, 0) ->
		heard[node] = at(node, 0)
	:: else -> skip
	fi;
#ifdef END_UNTOLD
	if
	:: heard[node] == RUNS -> heard[node] = IDLE
	:: else -> skip
	fi;
#endif
	at(node, 0) = at(node, 1);
	at(node, 1) = at(node, 2);
	at(node, 2) = 0
}

inline begin_run(node)
{
	state[node] = RUNS;
	tell(node, RUNS);
	assert(state[other(node)] != RUNS) /* alone */
}

inline turn(node)
{
	if
	:: state[node] == IDLE -> skip
	:: state[node] == IDLE && heard[node] == IDLE ->
#ifdef NO_WAIT
		begin_run(node)
#else
		state[node] = CLAIMS;
		waited[node] = 0;
		tell(node, CLAIMS)
#endif
	:: state[node] == CLAIMS && waited[node] < WAIT -> waited[node]++
	:: state[node] == CLAIMS && waited[node] == WAIT ->
		if
#ifdef NO_ORDER
		:: heard[node] == RUNS ->
#else
		:: heard[node] == RUNS || (heard[node] == CLAIMS && node == 1) ->
#endif
			state[node] = IDLE;
			tell(node, IDLE)
		:: else -> begin_run(node)
		fi
	:: state[node] == RUNS -> skip
	:: state[node] == RUNS ->
		state[node] = IDLE;
		tell(node, IDLE)
	fi
}

init
{
	do
	:: atomic {
		hear(0);
		hear(1);
		turn(0);
		turn(1)
	}
	od
}
