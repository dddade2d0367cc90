/*
 * history - one backend server's rows, from a neighbour and from the platform
 *
 * What is modelled. A server's row changes: it is there (1, 2), it leaves (3),
 * it is removed (4). The region's reader tells a node of any version at any
 * time; words may be lost, late or come twice. The node also follows the
 * platform from where it read last: an answer holds the changes from there, and
 * may be cut short. A whole answer confirms what the node believes.
 *
 * Properties. The node believes the newest version that it has learned of, so
 * that a server which leaves or has left isn't taken for one that is there
 * (newest). What is confirmed is no older than the platform's newest version
 * when it answered (confirmed).
 *
 * Stands for. packages/core/backend_table.c, packages/edge/sync_answer.c,
 * platform/store.c.
 *
 * Faults, each removing one guard:
 *   NO_VERSION      the row that comes last is believed
 *   NO_REMOVED      the version that removed a server isn't kept
 *   PART_CONFIRMS   an answer that was cut short confirms, too
 */
#define REMOVED 4
#define PAGE 2
#define WORDS 4
#define CALLS 4

byte newest = 1; /* version of the platform's row */
byte followed; /* the node follows from here */
byte believed; /* version that the node goes by */
byte kept; /* version that rows are held against */
byte learned; /* the newest that ever came: the truth */
byte words;
byte calls;

inline take(version)
{
	if
	:: version > learned -> learned = version
	:: else -> skip
	fi;
	if
#ifndef NO_VERSION
	:: version < kept -> skip
#endif
	:: else ->
		believed = version;
		kept = version;
#ifdef NO_REMOVED
		if
		:: version == REMOVED -> kept = 0
		:: else -> skip
		fi
#endif
	fi;
	assert(believed == learned) /* newest */
}

inline answer(upto)
{
	upto = newest;
	if
	:: newest > followed + PAGE -> upto = followed + PAGE
	:: else -> skip
	fi;
	do
	:: followed < upto ->
		followed++;
		take(followed)
	:: else -> break
	od;
#ifndef PART_CONFIRMS
	if
	:: upto == newest -> assert(learned >= newest) /* confirmed */
	:: else -> skip
	fi
#else
	assert(learned >= newest) /* confirmed */
#endif
}

init
{
	byte version;
	byte upto;

	do
	:: newest < REMOVED -> newest++
	:: words < WORDS ->
		atomic {
			select(version : 1 .. newest);
			words++;
			take(version)
		}
	:: calls < CALLS ->
		atomic {
			calls++;
			answer(upto)
		}
	:: newest == REMOVED && words == WORDS && calls == CALLS -> break
	od
}
