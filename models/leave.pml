/*
 * leave - a backend server that is leaving gets no new work after a bound
 *
 * What is modelled. One backend server, one node of its place, REQUESTS
 * requests. The server gets its first sign of leaving from one of three sources
 * (the operator's drain, the platform's list, the server itself); the others
 * may follow or never. The node reads each source at least every LEARN ticks.
 * The gate takes requests in, lets them wait for any time and sends them; what
 * was sent arrives within SEND ticks. The configuration changes CHANGES times in
 * other parts. The node may restart, and then knows nothing.
 *
 * Property. Nothing arrives at the server later than LEARN + SEND ticks after
 * its first sign of leaving (arrive).
 *
 * Assumptions. The node runs and reaches the source that gave the sign: a node
 * that is paused, or cut off from all that know, can't learn. The bound counts
 * for it from when it has read its sources again.
 *
 * Stands for. packages/core/gate.c: gate_offer, gate_next, gate_record_report,
 * gate_set_backends; packages/node: loops that read the platform's list, the
 * configuration and the servers' load.
 *
 * Faults, each removing one guard:
 *   NO_OFFER_CHECK   a request that comes is run on a leaving server
 *   NO_GRANT_CHECK   a request that waited is run on a leaving server
 *   PLATFORM_ONLY    only the platform's list counts, which lags
 *   LAST_SIGN_WINS   the source that was read last decides
 *   CHANGE_FORGETS   a new configuration makes the gate forget other signs
 *   BLIND_RESTART    a restarted node runs requests before it has read all
 */
#define REQUESTS 2
#define SOURCES 3 /* 0: operator, 1: platform's list, 2: the server itself */
#define LEARN 2
#define SEND 1
#define BOUND (LEARN + SEND)
#define CHANGES 1
#define RESTARTS 1

mtype = { NEW, WAITING, SENT, ARRIVED };

bool says_leaving[SOURCES];
byte since_sign; /* ticks, 0 before the first sign; stops past the bound */
bool has_sign;

/* The node */
bool known_leaving[SOURCES];
bool known[SOURCES]; /* read in this life */
byte read_age[SOURCES];
bool last_read;
byte changes;
byte restarts;

mtype state[REQUESTS] = NEW;
byte sent_age[REQUESTS];

#if defined(PLATFORM_ONLY)
#define IS_LEAVING known_leaving[1]
#elif defined(LAST_SIGN_WINS)
#define IS_LEAVING last_read
#else
#define IS_LEAVING (known_leaving[0] || known_leaving[1] || known_leaving[2])
#endif

#ifdef BLIND_RESTART
#define KNOWS_ALL true
#else
#define KNOWS_ALL (known[0] && known[1] && known[2])
#endif

#define MAY_RUN (KNOWS_ALL && !IS_LEAVING)

#ifdef NO_OFFER_CHECK
#define MAY_RUN_AT_ONCE true
#else
#define MAY_RUN_AT_ONCE MAY_RUN
#endif

#ifdef NO_GRANT_CHECK
#define MAY_RUN_WAITING true
#else
#define MAY_RUN_WAITING MAY_RUN
#endif

#define READS_ARE_IN_TIME \
	(read_age[0] < LEARN && read_age[1] < LEARN && read_age[2] < LEARN)
#define IS_IN_TIME(r) (state[r] != SENT || sent_age[r] < SEND)

inline tick()
{
	if
	:: has_sign && since_sign <= BOUND -> since_sign++
	:: else -> skip
	fi;
	read_age[0]++;
	read_age[1]++;
	read_age[2]++;
	if
	:: state[0] == SENT -> sent_age[0]++
	:: else -> skip
	fi;
	if
	:: state[1] == SENT -> sent_age[1]++
	:: else -> skip
	fi
}

active proctype time()
{
end:	do
	:: atomic { READS_ARE_IN_TIME && IS_IN_TIME(0) && IS_IN_TIME(1) ->
		tick() }
	od
}

proctype source(byte s)
{
end:	do
	:: atomic { !says_leaving[s] -> says_leaving[s] = true; has_sign = true }
	:: atomic { read_age[s] <= LEARN ->
		known[s] = true;
		known_leaving[s] = says_leaving[s];
		last_read = says_leaving[s];
		read_age[s] = 0 }
	od
}

proctype request(byte r)
{
end:	do
	:: atomic { state[r] == NEW && MAY_RUN_AT_ONCE ->
		state[r] = SENT;
		sent_age[r] = 0 }
	:: atomic { state[r] == NEW -> state[r] = WAITING }
	:: atomic { state[r] == WAITING && MAY_RUN_WAITING ->
		state[r] = SENT;
		sent_age[r] = 0 }
	:: atomic { state[r] == SENT ->
		assert(since_sign <= BOUND);
		state[r] = ARRIVED }
	od
}

active proctype node()
{
end:	do
	:: atomic { changes < CHANGES ->
		changes++;
#ifdef CHANGE_FORGETS
		known_leaving[1] = false;
		known_leaving[2] = false
#endif
		}
	:: atomic { restarts < RESTARTS ->
		restarts++;
		known[0] = false;
		known[1] = false;
		known[2] = false;
		known_leaving[0] = false;
		known_leaving[1] = false;
		known_leaving[2] = false;
		last_read = false }
	od
}

init {
	atomic {
		run source(0);
		run source(1);
		run source(2);
		run request(0);
		run request(1)
	}
}
