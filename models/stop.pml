/*
 * stop - a planned stop cuts no request and surprises no caller
 *
 * What is modelled. A node that is told to stop at any moment, another node that
 * goes on, CALLERS callers. A caller asks either node which to use, keeps the
 * answer for TTL ticks and sends a request whenever it likes, which arrives
 * within SEND ticks. The other node hears of the stop within LAG ticks. The
 * stopping node goes on serving for LINGER ticks, then takes no more
 * connections, waits for what is in flight, and exits. A request takes any time.
 * Callers may also send by a look-up that is too old, as late as they like.
 *
 * Properties. Nothing is in flight when the node exits (leave). A request that
 * was sent by a look-up still good finds the node listening (arrive).
 *
 * Assumptions. The other node hears of the stop within LAG ticks; one that is
 * cut off may name the stopping node until the report of it is too old, and a
 * caller then finds the connection refused, which is "not run". Kept connections
 * are not modelled: an idle one that the node closes may meet a request on its
 * way, as everywhere in HTTP; see docs/PROOFS.md.
 *
 * Stands for. packages/node: the stop; packages/core/lookup.c; settings
 * lookup_ttl_ms, report_interval_ms and stop_linger_ms.
 *
 * Faults, each removing one guard:
 *   EXIT_EARLY           it exits when the linger is over
 *   NO_LINGER            it stops listening at once
 *   LINGER_TTL_ONLY      the linger covers look-ups, not the peers' lag
 *   LISTS_ITSELF         a stopping node still names itself
 *   PEER_LISTS_LEAVING   the other node names it after it has heard of the stop
 *   CLOSE_AFTER_CHECK    it looks for what is in flight before it stops
 *                        listening
 */
#define CALLERS 2
#define TTL 2
#define SEND 1
#define LAG 1

#if defined(NO_LINGER)
#define LINGER 0
#elif defined(LINGER_TTL_ONLY)
#define LINGER (TTL + SEND)
#else
#define LINGER (LAG + TTL + SEND)
#endif
#define LINGER_OVER (LINGER + 1)

mtype = { SERVING, STOPPING, CHECKED, CLOSED, GONE };
mtype = { IDLE, ON_WAY, IN_FLIGHT };

mtype node = SERVING;
byte stop_age;
bool peer_knows;
byte in_flight;

mtype request[CALLERS] = IDLE;
bool has_lookup[CALLERS]; /* that names the stopping node */
byte lookup_age[CALLERS];
byte way_age[CALLERS];
bool is_good[CALLERS]; /* sent by a look-up that was still good */

#ifdef LISTS_ITSELF
#define NAMES_ITSELF (node == SERVING || node == STOPPING)
#else
#define NAMES_ITSELF (node == SERVING)
#endif

#ifdef PEER_LISTS_LEAVING
#define PEER_NAMES_IT true
#else
#define PEER_NAMES_IT (!peer_knows)
#endif

#define LOOKUP_IS_GOOD(c) (has_lookup[c] && lookup_age[c] <= TTL)
#define IS_IN_TIME(c) (request[c] != ON_WAY || way_age[c] < SEND)
#define PEER_IS_IN_TIME (node == SERVING || peer_knows || stop_age < LAG)

inline tick_caller(c)
{
	if
	:: has_lookup[c] && lookup_age[c] < TTL -> lookup_age[c]++
	:: has_lookup[c] && lookup_age[c] == TTL ->
		has_lookup[c] = false;
		lookup_age[c] = 0
	:: else -> skip
	fi;
	if
	:: request[c] == ON_WAY -> way_age[c]++
	:: else -> skip
	fi
}

active proctype time()
{
end:	do
	:: atomic { IS_IN_TIME(0) && IS_IN_TIME(1) && PEER_IS_IN_TIME ->
		tick_caller(0);
		tick_caller(1);
		if
		:: node != SERVING && stop_age < LINGER_OVER -> stop_age++
		:: else -> skip
		fi }
	od
}

active proctype peer()
{
	atomic { node != SERVING && !peer_knows -> peer_knows = true }
}

inline arrive(c)
{
	if
	:: node == CLOSED || node == GONE ->
		assert(!is_good[c]);
		request[c] = IDLE /* refused, not run */
	:: else ->
		request[c] = IN_FLIGHT;
		in_flight++
	fi;
	is_good[c] = false
}

proctype caller(byte c)
{
end:	do
	:: atomic { NAMES_ITSELF || PEER_NAMES_IT ->
		has_lookup[c] = true;
		lookup_age[c] = 0 }
	:: atomic { request[c] == IDLE ->
		request[c] = ON_WAY;
		is_good[c] = LOOKUP_IS_GOOD(c);
		way_age[c] = 0 }
	:: atomic { request[c] == ON_WAY ->
		way_age[c] = 0;
		arrive(c) }
	:: atomic { request[c] == IN_FLIGHT ->
		request[c] = IDLE;
		in_flight-- }
	od
}

inline leave()
{
	assert(in_flight == 0);
	node = GONE
}

active proctype stopping()
{
	node = STOPPING;
	stop_age == LINGER_OVER || LINGER == 0;
#ifdef CLOSE_AFTER_CHECK
	atomic { in_flight == 0 -> node = CHECKED };
	atomic { leave() }
#else
	node = CLOSED;
#ifdef EXIT_EARLY
	atomic { leave() }
#else
	atomic { in_flight == 0 -> leave() }
#endif
#endif
}

init {
	atomic {
		run caller(0);
		run caller(1)
	}
}
