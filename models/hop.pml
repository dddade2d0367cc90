/*
 * hop - a request that one node hands to another runs no more often than it may,
 * and "not run" is true for ever
 *
 * What is modelled. A partitioned node that has sent the request SENT times to
 * servers itself, and two peers. It hands the request to a peer whose
 * connection opens; the hop may be delivered at any later moment, also after
 * the connection has ended, or never. A peer may be partitioned, too, or may
 * have become so; it answers, runs the request up to the attempts left, or its
 * server fails with a status that looks like a refusal. Any connection may end
 * at any moment.
 *
 * Properties. A request that isn't idempotent runs at most once, an idempotent
 * one at most ATTEMPTS times (execute). Once "not run" was answered it has not run
 * and never runs (say_not_run and execute). A request makes one hop at a time
 * (hand_over).
 *
 * Stands for. packages/edge/exchange_hop.c; begin_hop in exchange.c.
 *
 * Faults, each removing one guard:
 *   RETRY_BROKEN   a hop that broke is tried again, at another peer
 *   RETRY_ONCE     the same, where one attempt is left by the node's own count
 *   REFUSE_BROKEN  a hop that broke counts as not run
 *   TRUST_STATUS   a status without the header counts as not run
 *   NO_SENDS       the attempts made before aren't told
 *   HOP_ON         a partitioned peer hands the request on
 */
#define PEERS 2
#define ATTEMPTS 2
#define MAX_TRIED 2

mtype = { IDLE, ASKING, ANSWERED };
mtype = { NOTHING, SERVED, FAILED, NOT_RUN };

bool idempotent;
bool said_not_run;
byte runs;

/* The partitioned node */
mtype phase = IDLE;
byte sends;
byte tried;
byte asked; /* the peer */
bool was_tried[PEERS];

/* The peers: a hop on its way, and the answer on the connection */
bool hop_sent[PEERS];
byte hop_sends[PEERS];
byte hop_depth[PEERS];
mtype answer[PEERS] = NOTHING;
bool partitioned[PEERS];

inline execute()
{
	runs++;
	assert(!said_not_run);
	assert(idempotent || runs <= 1);
	assert(runs <= ATTEMPTS);
}

inline say_not_run()
{
	said_not_run = true;
	assert(!runs);
	phase = ANSWERED;
}

inline hand_over(peer, depth)
{
	hop_sent[peer] = true;
	hop_depth[peer] = depth;
	assert(depth <= 1);
#ifdef NO_SENDS
	hop_sends[peer] = 0;
#else
	hop_sends[peer] = sends;
#endif
}

/* A peer that surely didn't run the request: another may be asked. */
inline after_refusal()
{
	if
	:: tried < MAX_TRIED -> phase = IDLE
	:: sends == 0 -> say_not_run()
	:: sends > 0 -> phase = ANSWERED /* 502: an earlier send may have run */
	fi
}

active proctype node()
{
	byte p;

	if
	:: idempotent = true
	:: idempotent = false
	fi;
	/* An idempotent request may have broken at a server before. */
	if
	:: idempotent -> sends = 1;
		if
		:: execute()
		:: skip
		fi
	:: skip
	fi;
	do
	:: phase == IDLE ->
		if
		:: tried < MAX_TRIED && !was_tried[0] -> p = 0
		:: tried < MAX_TRIED && !was_tried[1] -> p = 1
		:: sends == 0 -> say_not_run(); break
		:: sends > 0 -> phase = ANSWERED; break
		fi;
		was_tried[p] = true;
		tried++;
		asked = p;
		if
		:: skip /* the connection doesn't open */
		:: atomic {
			hand_over(p, 1);
			sends++;
			phase = ASKING
		}
		fi
	:: phase == ASKING && answer[asked] == NOT_RUN -> atomic {
		sends--;
		after_refusal()
	}
	:: phase == ASKING && answer[asked] == SERVED -> phase = ANSWERED
	:: phase == ASKING && answer[asked] == FAILED -> atomic {
#ifdef TRUST_STATUS
		sends--;
		after_refusal()
#else
		phase = ANSWERED
#endif
	}
	:: phase == ASKING -> atomic { /* the connection ends */
		if
#ifdef REFUSE_BROKEN
		:: sends == 1 -> say_not_run()
#endif
#ifdef RETRY_BROKEN
		:: tried < MAX_TRIED -> phase = IDLE
#endif
#ifdef RETRY_ONCE
		:: idempotent && sends < ATTEMPTS && tried < MAX_TRIED ->
			phase = IDLE
#endif
		:: phase = ANSWERED
		fi
	}
	:: phase == ANSWERED -> break
	od
}

active [PEERS] proctype peer()
{
	byte left;

	do
	:: partitioned[_pid - 1] = true
	:: partitioned[_pid - 1] = false
	:: hop_sent[_pid - 1] -> atomic {
		hop_sent[_pid - 1] = false;
		if
		:: partitioned[_pid - 1] ->
#ifdef HOP_ON
			hand_over(1 - (_pid - 1), hop_depth[_pid - 1] + 1)
#else
			answer[_pid - 1] = NOT_RUN
#endif
		:: else ->
			left = (hop_sends[_pid - 1] < ATTEMPTS ->
				ATTEMPTS - hop_sends[_pid - 1] : 0);
			if
			:: left == 0 -> answer[_pid - 1] = NOT_RUN
			:: answer[_pid - 1] = NOT_RUN /* no server, no room */
			:: left > 0 -> execute(); answer[_pid - 1] = SERVED
			:: left > 0 -> execute(); answer[_pid - 1] = FAILED
			:: left > 1 && idempotent ->
				execute();
				execute();
				answer[_pid - 1] = SERVED
			fi
		fi
	}
	:: phase == ANSWERED && !hop_sent[0] && !hop_sent[1] -> break
	od
}
