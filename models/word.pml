/*
 * word - a node goes by its neighbour's word on the platform's tables
 *
 * What is modelled. The platform's list; a reader that asks it at most HOLD
 * ticks after each SPACING, unless it is cut off from it, for any time; a node
 * that hears the reader's beats, of which any may be lost. A beat says what the
 * reader believes (a digest) and how long ago the platform confirmed it. A
 * change may be told beside, or be lost. Where the digests differ the node asks
 * the reader for its table, which may not answer, or the platform. It asks the
 * platform when its last confirmation is WORD ticks old; its call takes a tick
 * and may fail twice in a row. At any moment a backend server leaves.
 *
 * Property. BOUND ticks after the list said that the server leaves, the node
 * sends nothing there (send).
 *
 * Assumption. The node itself reaches the platform. One that doesn't isn't
 * bound until it has asked again.
 *
 * Stands for. packages/edge/sync_plan.c, sync_peers.c, gossip_send.c, with a
 * tick of a tenth of the time within which changes must be known.
 *
 * Faults, each removing one guard:
 *   NO_AGE          a word counts as new when it is heard
 *   NO_DIGEST       a word is taken although the reader believes otherwise
 *   NO_OWN_CALL     the node never asks for itself
 *   LONG_WORD       a word is good for all of the time
 *   NO_TABLE_AGE    a table of the reader's counts as new when it comes
 */
#define BOUND 10
#define SPACING 4
#define HOLD 2
#define FAILURES 2 /* ticks that a call of the node's own may fail for */
#ifdef LONG_WORD
#define WORD BOUND
#else
#define WORD 7
#endif

bool leaves; /* as the platform's list has it */
byte since; /* ticks since then */

bool reader_knows;
byte reader_age; /* of the platform's confirmation */
byte reader_next; /* ticks to its next call */
bool reader_is_cut;

bool node_knows;
byte node_age;
byte node_failures;

#define AGE_MOST (BOUND + SPACING)

inline older(age)
{
	if
	:: age < AGE_MOST -> age++
	:: else -> skip
	fi
}

inline reader_turn()
{
	if
	:: reader_is_cut = !reader_is_cut
	:: true -> skip
	fi;
	older(reader_age);
	if
	:: reader_next > 0 -> reader_next--
	:: reader_next == 0 && reader_is_cut -> skip
	:: reader_next == 0 && !reader_is_cut ->
		reader_knows = leaves;
		reader_age = 0;
		if
		:: reader_next = SPACING
		:: reader_next = SPACING + HOLD
		fi;
		/* The change is told to the node, or lost. */
		if
		:: reader_knows -> node_knows = true
		:: true -> skip
		fi
	fi
}

inline ask()
{
	if
	:: node_failures < FAILURES -> node_failures++
	:: true ->
		node_failures = 0;
		node_knows = leaves;
		node_age = 0
	fi
}

/* The reader's table is as old as the platform's confirmation to the reader. */
inline take_table()
{
	node_knows = reader_knows;
#ifdef NO_TABLE_AGE
	node_age = 0
#else
	node_age = reader_age
#endif
}

inline hear()
{
#ifdef NO_AGE
	reader_age = 0;
#endif
	if
	:: reader_age >= node_age -> skip
#ifdef NO_DIGEST
	:: reader_age < node_age -> node_age = reader_age
#else
	:: reader_age < node_age && reader_knows == node_knows ->
		node_age = reader_age
	:: reader_age < node_age -> take_table() /* another row differs */
	:: reader_age < node_age && reader_knows != node_knows ->
		if
		:: ask()
		:: take_table()
		:: true -> skip /* the reader doesn't answer */
		fi
#endif
	fi
}

inline node_turn()
{
	older(node_age);
	if
	:: hear()
	:: true -> skip /* the beat is lost */
	fi;
#ifndef NO_OWN_CALL
	if
	:: node_age >= WORD -> ask()
	:: else -> skip
	fi
#endif
}

active proctype ticks()
{
	do
	:: d_step { leaves && since <= BOUND -> since++ };
		atomic { reader_turn(); node_turn() };
		/* A request is sent where the node knows nothing against it. */
		assert(node_knows || since <= BOUND)
	:: atomic { !leaves -> reader_turn(); node_turn() }
	:: atomic { !leaves -> leaves = true }
	:: since > BOUND -> break
	od
}
