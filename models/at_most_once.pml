/*
 * at_most_once - a non-idempotent request runs at most once, and "not run" is
 * true for ever
 *
 * What is modelled. One ticket, bound to entry node 0 and its first
 * incarnation. The caller sends CALLS copies of the request, each to either
 * entry node and each delivered at any later moment or never, so that copies
 * come late and crossed. The entry node keeps a ledger by ticket, makes up to
 * ATTEMPTS attempts, each a hop to the gate of one of two places, and may find
 * any hop silent at any moment. The gate keeps a ledger by ticket and attempt,
 * queues, runs, refuses, and finds a backend server silent. Work that was sent
 * to a backend server may run at any later moment, whoever has died or given up
 * since. Entry node and gates die DEATHS times in all, at any step; a death
 * loses the ledger and starts another incarnation.
 *
 * Properties. The request runs at most once (run_once). Once "not run" was
 * answered it has not run and never runs, whichever copy or attempt comes
 * (say_not_run and run_once). That answers are not mixed up is answers.pml.
 *
 * Assumptions. A hop and a request to a backend server are sent on a fresh
 * connection, so that no library sends them twice (REUSED_CONNECTION takes
 * that away). Incarnation numbers never repeat. An entry node learns a gate's
 * incarnation by reports that may be as old as one likes. The end of an epoch
 * forgets a ticket's ledger entry in the same step that makes the ticket too
 * old; for a gate it is covered by its death, which also loses the ledger and
 * changes the number that hops must carry.
 *
 * Stands for. packages/core/ticket.c: ledger_start, ledger_finish,
 * ledger_fence, ledger_expire, ticket_parse; packages/node: the request, hop
 * and fence handlers.
 *
 * Faults, each removing one guard:
 *   NO_INCARNATION_CHECK  the restarted entry node takes its old tickets
 *   NO_NODE_CHECK         an entry node takes tickets of other nodes
 *   ELSEWHERE_NOT_RUN     "not run" for a ticket of another node
 *   OLD_NOT_RUN           "not run" for a ticket of an earlier incarnation
 *   LEDGER_EVICT          the entry node forgets a ticket that is still valid
 *   REFUSAL_KEEPS_TICKET  a refused ticket may start again
 *   NO_FENCE              a silent hop is tried elsewhere without a fence
 *   NO_TOMBSTONE          the fence looks and leaves no tombstone
 *   NO_HOP_INCARNATION    hop and fence don't name the gate's incarnation
 *   TIMEOUT_NOT_RUN       a silent backend server counts as "not run"
 *   REUSED_CONNECTION     a library resends to the backend server
 *   MIXED                 node 0 treats the ticket as bound, node 1 as portable
 *                         (an intent row is written before a run)
 * PORTABLE, where both write the intent row, is sound: it is the mixture that
 * runs twice, since neither of the two kinds looks at the other's memory.
 */
#define ENTRIES 2
#define GATES 2
#define ATTEMPTS 2
#define HOPS (ENTRIES * ATTEMPTS) /* hop of attempt a at entry e: 2e + a */
#ifndef CALLS
#define CALLS 3
#endif
#ifndef DEATHS
#define DEATHS 2
#endif

mtype = { ABSENT, QUEUED, RUNNING, DONE, UNKNOWN, FENCED, NONE };
mtype = { IDLE, SENDING, WAITING, FENCING };

/* The outside */
byte sent;
byte calls[ENTRIES]; /* copies on their way to the entry node */
byte deaths;
byte runs;
bool said_not_run;
bool intent; /* the platform's row, for portable tickets only */

/* Entry nodes */
byte entry_incarnation[ENTRIES];
mtype entry_ledger[ENTRIES] = ABSENT;
mtype phase[ENTRIES] = IDLE;
byte attempt[ENTRIES];
bool too_old[ENTRIES];
byte known_incarnation[GATES]; /* as the last report said */

/* Hops and the gates' ledgers */
byte gate_incarnation[GATES];
byte hop_gate[HOPS];
byte hop_incarnation[HOPS];
bool hop_on_way[HOPS];
mtype hop_answer[HOPS] = NONE;
bool fence_on_way[HOPS];
mtype fence_answer[HOPS] = NONE;
mtype gate_ledger[HOPS] = ABSENT;
byte work_on_way[HOPS];
mtype work_answer[HOPS] = NONE;

#if defined(PORTABLE)
#define IS_PORTABLE(n) true
#elif defined(MIXED)
#define IS_PORTABLE(n) (n == 1)
#else
#define IS_PORTABLE(n) false
#endif

#ifdef NO_NODE_CHECK
#define IS_MINE(n) true
#else
#define IS_MINE(n) (n == 0 || IS_PORTABLE(n))
#endif

#ifdef NO_INCARNATION_CHECK
#define IS_OF_THIS_LIFE(n) true
#else
#define IS_OF_THIS_LIFE(n) \
	(IS_PORTABLE(n) || (entry_incarnation[n] == 0 && !too_old[n]))
#endif

#ifdef NO_HOP_INCARNATION
#define HOP_IS_OF_THIS_LIFE(h) true
#else
#define HOP_IS_OF_THIS_LIFE(h) \
	(hop_incarnation[h] == gate_incarnation[hop_gate[h]])
#endif

#define HOP(n) (n * ATTEMPTS + attempt[n])

inline say_not_run()
{
	assert(runs == 0);
	said_not_run = true;
}

inline run_once()
{
	runs++;
	assert(runs <= 1);
	assert(!said_not_run);
}

inline refuse_ticket(n)
{
	say_not_run();
#ifdef REFUSAL_KEEPS_TICKET
	entry_ledger[n] = ABSENT;
#else
	entry_ledger[n] = FENCED;
#endif
	phase[n] = IDLE;
}

/* Attempt proved not to run: another one, or "not run" to the caller. */
inline next_attempt(n)
{
	if
	:: attempt[n] + 1 < ATTEMPTS ->
		attempt[n]++;
		phase[n] = SENDING
	:: refuse_ticket(n)
	fi
}

inline end_run(n, state)
{
	entry_ledger[n] = state;
	phase[n] = IDLE;
}

inline start_ticket(n)
{
	if
	:: IS_PORTABLE(n) && intent -> skip /* outcome unknown */
	:: else ->
		if
		:: IS_PORTABLE(n) -> intent = true
		:: else -> skip
		fi;
		if
		:: refuse_ticket(n) /* overload, stopping, deadline too short */
		:: entry_ledger[n] = RUNNING;
		   attempt[n] = 0;
		   phase[n] = SENDING
		fi
	fi
}

inline take_call(n)
{
	if
	:: !IS_MINE(n) ->
#ifdef ELSEWHERE_NOT_RUN
		say_not_run()
#else
		skip /* "ask node 0" */
#endif
	:: IS_MINE(n) && !IS_OF_THIS_LIFE(n) ->
#ifdef OLD_NOT_RUN
		say_not_run()
#else
		skip /* outcome unknown */
#endif
	:: IS_MINE(n) && IS_OF_THIS_LIFE(n) ->
		if
		:: entry_ledger[n] == ABSENT -> start_ticket(n)
		:: entry_ledger[n] == FENCED -> say_not_run()
		:: else -> skip /* in progress, kept answer or unknown */
		fi
	fi
}

active proctype caller()
{
	do
	:: atomic { sent < CALLS -> sent++; calls[0]++ }
	:: atomic { sent < CALLS -> sent++; calls[1]++ }
	:: sent == CALLS -> break
	od
}

proctype entry(byte n)
{
end:	do
	:: atomic { calls[n] > 0 -> calls[n]--; take_call(n) }

	/* A hop: no connection, or sent to either gate. */
	:: atomic { phase[n] == SENDING -> next_attempt(n) }
	:: atomic { phase[n] == SENDING ->
		if
		:: hop_gate[HOP(n)] = 0
		:: hop_gate[HOP(n)] = 1
		fi;
		hop_incarnation[HOP(n)] =
			known_incarnation[hop_gate[HOP(n)]];
		hop_answer[HOP(n)] = NONE;
		fence_answer[HOP(n)] = NONE;
		hop_on_way[HOP(n)] = true;
		phase[n] = WAITING }

	/* Its answer, or silence at any moment. */
	:: atomic { phase[n] == WAITING && hop_answer[HOP(n)] == ABSENT ->
		next_attempt(n) }
	:: atomic { phase[n] == WAITING && hop_answer[HOP(n)] == DONE ->
		end_run(n, DONE) }
	:: atomic { phase[n] == WAITING && hop_answer[HOP(n)] == UNKNOWN ->
		end_run(n, UNKNOWN) }
	:: atomic { phase[n] == WAITING ->
#ifdef NO_FENCE
		next_attempt(n) }
#else
		fence_on_way[HOP(n)] = true;
		phase[n] = FENCING }
#endif

	/* The fence's answer, or silence of the fence too. */
	:: atomic { phase[n] == FENCING && fence_answer[HOP(n)] == ABSENT ->
		next_attempt(n) }
	:: atomic { phase[n] == FENCING && fence_answer[HOP(n)] == RUNNING ->
		fence_answer[HOP(n)] = NONE;
		fence_on_way[HOP(n)] = true }
	:: atomic { phase[n] == FENCING && fence_answer[HOP(n)] == DONE ->
		end_run(n, DONE) }
	:: atomic { phase[n] == FENCING -> end_run(n, UNKNOWN) }

	/* Time passes: the ticket's epoch is too old and is forgotten. */
	:: atomic { !too_old[n] && !IS_PORTABLE(n) ->
		too_old[n] = true;
		entry_ledger[n] = ABSENT }
#ifdef LEDGER_EVICT
	:: atomic { entry_ledger[n] != ABSENT -> entry_ledger[n] = ABSENT }
#endif

	:: atomic { deaths < DEATHS ->
		deaths++;
		entry_incarnation[n]++;
		entry_ledger[n] = ABSENT;
		phase[n] = IDLE }
	od
}

/* What happens to one hop at its gate. */
proctype hop(byte h)
{
end:	do
	:: atomic { hop_on_way[h] ->
		hop_on_way[h] = false;
		if
		:: !HOP_IS_OF_THIS_LIFE(h) -> hop_answer[h] = ABSENT
		:: HOP_IS_OF_THIS_LIFE(h) && gate_ledger[h] == ABSENT ->
			if
			:: gate_ledger[h] = QUEUED
			:: gate_ledger[h] = FENCED;
			   hop_answer[h] = ABSENT
			fi
		:: HOP_IS_OF_THIS_LIFE(h) && gate_ledger[h] == FENCED ->
			hop_answer[h] = ABSENT
		:: else -> skip
		fi }
	:: atomic { gate_ledger[h] == QUEUED ->
		gate_ledger[h] = RUNNING;
#ifdef REUSED_CONNECTION
		work_on_way[h] = 2 }
#else
		work_on_way[h] = 1 }
#endif
	:: atomic { gate_ledger[h] == QUEUED ->
		gate_ledger[h] = FENCED; /* its turn comes too late */
		hop_answer[h] = ABSENT }
	:: atomic { gate_ledger[h] == RUNNING && work_answer[h] != NONE ->
		gate_ledger[h] = work_answer[h];
		if
		:: work_answer[h] == FENCED -> hop_answer[h] = ABSENT
		:: else -> hop_answer[h] = DONE
		fi;
		work_answer[h] = NONE }
	:: atomic { gate_ledger[h] == RUNNING -> /* silent or broken */
#ifdef TIMEOUT_NOT_RUN
		gate_ledger[h] = FENCED;
		hop_answer[h] = ABSENT }
#else
		gate_ledger[h] = UNKNOWN;
		hop_answer[h] = UNKNOWN }
#endif
	:: atomic { fence_on_way[h] ->
		fence_on_way[h] = false;
		if
		:: !HOP_IS_OF_THIS_LIFE(h) -> fence_answer[h] = UNKNOWN
		:: HOP_IS_OF_THIS_LIFE(h) &&
		   (gate_ledger[h] == ABSENT || gate_ledger[h] == QUEUED ||
		    gate_ledger[h] == FENCED) ->
#ifndef NO_TOMBSTONE
			gate_ledger[h] = FENCED;
#endif
			fence_answer[h] = ABSENT
		:: else -> fence_answer[h] = gate_ledger[h]
		fi }
	od
}

/* The backend server that has got the work of a hop. */
proctype backend(byte h)
{
end:	do
	:: atomic { work_on_way[h] > 0 ->
		work_on_way[h]--;
		run_once();
		work_answer[h] = DONE }
	:: atomic { work_on_way[h] > 0 ->
		work_on_way[h]--;
		work_answer[h] = FENCED } /* shed: it says "not run" */
	od
}

/* Gates die, and reports of them arrive. */
proctype gate(byte g)
{
	byte h;

end:	do
	:: atomic { deaths < DEATHS ->
		deaths++;
		gate_incarnation[g]++;
		h = 0;
		do
		:: h < HOPS && hop_gate[h] == g ->
			gate_ledger[h] = ABSENT;
			work_answer[h] = NONE;
			h++
		:: h < HOPS && hop_gate[h] != g -> h++
		:: h == HOPS -> break
		od;
		h = 0 }
	:: atomic { known_incarnation[g] != gate_incarnation[g] ->
		known_incarnation[g] = gate_incarnation[g] }
	od
}

init {
	byte i;

	atomic {
		i = 0;
		do
		:: i < ENTRIES -> run entry(i); i++
		:: i == ENTRIES -> break
		od;
		i = 0;
		do
		:: i < GATES -> run gate(i); i++
		:: i == GATES -> break
		od;
		i = 0;
		do
		:: i < HOPS -> run hop(i); run backend(i); i++
		:: i == HOPS -> break
		od;
		i = 0
	}
}
