/*
 * send - one request of a caller, at a node that sends straight to servers
 *
 * What is modelled. One request, which may run once only or, with MAY_REPEAT,
 * any number of times; SERVERS backend servers, of which the last one's address
 * went to a server of another service. What the node sends may arrive at any
 * time later, also after its connection broke and after the caller was answered.
 * A server runs what arrives, or says that it didn't; an answer may be lost, be
 * a 503 although it ran, or be another request's that waited on the connection.
 *
 * Properties. A request that may run once runs at most once (run). After an
 * answer that promises "not run" it never runs (run, promise). Only the right
 * service runs it (run). The caller gets its own request's answer (deliver).
 *
 * Stands for. packages/edge/exchange.c, exchange_end.c; packages/core/retry.c.
 *
 * Faults, each removing one guard:
 *   RESEND_BROKEN     what may run once is sent again after a broken connection
 *   REFUSE_OPEN       a timeout is answered by 503 while an outcome is open
 *   TRUST_STATUS      a 503 without proof is handed on as it came
 *   NOT_RUN_SETTLES   one server's "not run" settles earlier sends, too
 *   NO_ID_CHECK       any answer on the connection is taken for the request's
 *   NO_EXPECT         the request doesn't name whom it is for
 */
#define SERVERS 3
#define WRONG (SERVERS - 1) /* its address went to another service */
#define MAX_SENDS 2

mtype = { IDLE, FLYING, RAN, REJECTED };
mtype = { OWN, OTHERS, FALSE_REFUSAL, NOT_RUN, BROKEN };

mtype at[SERVERS] = IDLE; /* where the send to this server stands */
bool tried[SERVERS];
byte runs;
byte sends;
byte unsettled;
bool may_repeat;
bool has_failure; /* a server's failure is kept for the caller */
bool answered;
bool promised; /* the caller was told that it never runs */

inline promise()
{
	assert(runs == 0);
	promised = true;
	answered = true;
}

/* No server can take it now, or time is up. */
inline give_up()
{
	if
	:: has_failure ->
#ifdef TRUST_STATUS
		promise()
#else
		answered = true /* 502 */
#endif
	:: !has_failure && unsettled == 0 -> promise()
	:: !has_failure && unsettled > 0 ->
#ifdef REFUSE_OPEN
		promise()
#else
		answered = true /* 502 or 504 */
#endif
	fi
}

#define MAY_SEND_AGAIN (may_repeat && sends < MAX_SENDS)

inline after_broken()
{
	if
#ifdef RESEND_BROKEN
	:: sends < MAX_SENDS -> skip
	:: sends >= MAX_SENDS -> give_up()
#else
	:: MAY_SEND_AGAIN -> skip
	:: !MAY_SEND_AGAIN -> give_up()
#endif
	fi
}

inline take(outcome)
{
	if
	:: outcome == OWN -> answered = true
	:: outcome == OTHERS ->
#ifdef NO_ID_CHECK
		assert(false); /* another caller's answer is delivered */
#endif
		after_broken()
	:: outcome == FALSE_REFUSAL ->
		has_failure = true;
		if
		:: MAY_SEND_AGAIN -> skip
		:: !MAY_SEND_AGAIN -> give_up()
		fi
	:: outcome == NOT_RUN ->
#ifdef NOT_RUN_SETTLES
		unsettled = 0;
#else
		unsettled--;
#endif
		if
		:: sends < MAX_SENDS -> skip
		:: sends >= MAX_SENDS -> give_up()
		fi
	:: outcome == BROKEN -> after_broken()
	fi
}

byte target;
bool waiting; /* for the target's answer */

active proctype node()
{
	mtype outcome;
	byte i;

	if
	:: may_repeat = true
	:: may_repeat = false
	fi;
	do
	:: answered -> break
	:: !answered && !waiting ->
		if
		:: atomic { !tried[0] -> target = 0 }
		:: atomic { !tried[1] -> target = 1 }
		:: atomic { !tried[2] -> target = 2 }
		:: atomic { true -> target = SERVERS } /* none is free */
		fi;
		atomic {
			if
			:: target == SERVERS -> give_up()
			:: target < SERVERS ->
				tried[target] = true;
				if
				:: true -> skip /* it can't be connected to */
				:: true ->
					at[target] = FLYING;
					sends++;
					unsettled++;
					waiting = true
				fi
			fi
		}
	:: !answered && waiting ->
		atomic {
			if
			:: at[target] == RAN -> outcome = OWN
			:: at[target] == RAN -> outcome = FALSE_REFUSAL
			:: at[target] == REJECTED -> outcome = NOT_RUN
			:: outcome = OTHERS
			:: outcome = BROKEN
			fi;
			waiting = false;
			take(outcome)
		}
	:: atomic { !answered -> /* time is up */
		waiting = false;
		give_up() }
	od
}

active [SERVERS] proctype server()
{
	byte me = _pid - 1;

	do
	:: atomic { at[me] == FLYING ->
		if
#ifndef NO_EXPECT
		:: me == WRONG -> at[me] = REJECTED
		:: me != WRONG ->
#else
		:: true ->
#endif
			assert(me != WRONG);
			assert(!promised);
			assert(may_repeat || runs == 0);
			runs++;
			at[me] = RAN
		:: at[me] = REJECTED
		fi }
	:: answered && at[me] != FLYING -> break
	od
}
