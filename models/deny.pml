/*
 * deny - what a node answers for a route that it doesn't have
 *
 * What is modelled. The platform's routes, to which one is added at any moment;
 * a reader that follows them and a node that goes by the reader's beats, of
 * which any may be lost. The answer that tells of the new route takes any time
 * to arrive, longer than a change may take to be in force, too; a path that is
 * cut loses what had arrived. An older document, without the route, may be
 * arriving when it is added. Short calls for other tables are answered all the
 * while. The node asks for itself where the beats say otherwise than it
 * believes, or its last confirmation is WORD ticks old.
 *
 * Properties. BOUND ticks after the route was added, neither denies it for good
 * (denies). Over a path that stays whole, both have the route once there was
 * time to ask and for the answer to arrive (has).
 *
 * Stands for. packages/edge/lane.c, sync_answer.c, sync_peers.c and
 * sync_may_deny(), with a tick of a sixth of the time within which a change
 * must be in force.
 *
 * Faults, each removing one guard:
 *   DENY_ANY_AGE      a route that isn't there is denied however old the word
 *   CONFIRM_ARRIVING  short answers confirm rows that are being replaced
 *   CONFIRM_AT_END    a document is confirmed as of its last byte
 *   NO_AGE            a beat's word counts as new when it is heard
 *   CALL_LIMIT        an answer that arrives is ended by a limit on the call
 */
#define BOUND 6
#define WORD 4
#define TRANSFER_MOST (BOUND + 2)
#define LIMIT 2 /* ticks, of CALL_LIMIT */
#define OLDER_MOST 3 /* ticks that an older document takes at most */

#define READER 0
#define NODE 1

bool added;
byte since; /* ticks since then */
byte transfer; /* ticks that the answer with the route takes */

bool knows[2];
byte age[2]; /* of the platform's confirmation */
byte arrived[2]; /* ticks' worth of the answer with the route */
byte older_took[2]; /* ticks for which an older document has been arriving */
bool cut[2];
byte whole[2]; /* ticks since the route was added without a cut */

#define MOST (BOUND + WORD + OLDER_MOST + TRANSFER_MOST + 4)

inline older(count)
{
	if
	:: count < MOST -> count++
	:: else -> skip
	fi
}

inline path_turn(i)
{
	if
	:: cut[i] = !cut[i]
	:: true -> skip
	fi;
	if
	:: cut[i] -> arrived[i] = 0; older_took[i] = 0; whole[i] = 0
	:: !cut[i] && added -> older(whole[i])
	:: else -> skip
	fi
}

/* A call for the routes is out, or made now. */
inline call(i)
{
	if
	:: cut[i] -> skip
	:: !cut[i] && older_took[i] > 0 ->
		if
		:: older_took[i] < OLDER_MOST -> older_took[i]++
		:: true ->
#ifdef CONFIRM_AT_END
			age[i] = 0;
#else
			/* As of its first byte, unless more is known. */
			if
			:: older_took[i] < age[i] -> age[i] = older_took[i]
			:: else -> skip
			fi;
#endif
			older_took[i] = 0
		fi
	:: !cut[i] && !older_took[i] && (!added || knows[i]) ->
		age[i] = 0;
		if
		:: !added -> older_took[i] = 1 /* another change comes first */
		:: true -> skip
		fi
	:: !cut[i] && !older_took[i] && added && !knows[i] ->
		if
		:: arrived[i] >= transfer ->
			knows[i] = true;
			age[i] = arrived[i];
			arrived[i] = 0
#ifdef CALL_LIMIT
		:: arrived[i] < transfer && arrived[i] >= LIMIT ->
			arrived[i] = 0
		:: arrived[i] < transfer && arrived[i] < LIMIT -> arrived[i]++
#else
		:: arrived[i] < transfer -> arrived[i]++
#endif
		fi;
#ifdef CONFIRM_ARRIVING
		if
		:: arrived[i] > 0 -> age[i] = 0
		:: else -> skip
		fi
#endif
	fi
}

inline hear()
{
	if
	:: age[READER] >= age[NODE] -> skip
	:: age[READER] < age[NODE] && knows[READER] == knows[NODE] ->
#ifdef NO_AGE
		age[NODE] = 0
#else
		age[NODE] = age[READER]
#endif
	:: age[READER] < age[NODE] && knows[READER] != knows[NODE] -> call(NODE)
	fi
}

inline turn()
{
	path_turn(READER);
	path_turn(NODE);
	older(age[READER]);
	older(age[NODE]);
	call(READER);
	if
	:: age[NODE] >= WORD || arrived[NODE] || older_took[NODE] -> call(NODE)
	:: else ->
		if
		:: hear()
		:: true -> skip /* the beat is lost */
		fi
	fi
}

#ifdef DENY_ANY_AGE
#define denies(i) (!knows[i] && !arrived[i] && !older_took[i])
#else
#define denies(i) \
	(!knows[i] && !arrived[i] && !older_took[i] && age[i] <= BOUND)
#endif
#define has(i, ticks) (knows[i] || whole[i] <= (ticks) + transfer)

active proctype ticks()
{
	if
	:: transfer = 0
	:: transfer = LIMIT + 1
	:: transfer = TRANSFER_MOST
	fi;
	do
	:: atomic { !added -> turn() }
	:: atomic { !added -> added = true }
	:: atomic { added && since < MOST ->
		since++;
		turn();
		assert(!denies(READER) || since <= BOUND);
		assert(!denies(NODE) || since <= BOUND);
		assert(has(READER, OLDER_MOST + 1));
		assert(has(NODE, WORD + OLDER_MOST + 2)) }
	:: since >= MOST -> break
	od
}
