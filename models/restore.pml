/*
 * restore - a store that comes back from a copy, and nodes that follow it
 *
 * What is modelled. One row, whose writer writes it again after a restore, and
 * two nodes that call the store; the second also takes the first one's table.
 * An answer is made at one moment and arrives at a later one.
 *
 * Properties. Once the store has its last change, a node has it after its next
 * calls. A node's table never goes back to an earlier era.
 *
 * Stands for. packages/edge/sync_answer.c, sync_era.c, sync_peers.c;
 * packages/core/row_version.h.
 *
 * Faults, each removing one guard:
 *   NUMBER_ONLY     a read of a lower number is taken for a lagging replica's
 *   FOLLOWS_ON      an answer to a call of another era is applied
 *   LATE_ANSWER     an answer of an earlier era is believed
 *   PEER_BY_NUMBER  a peer's table of a higher number is taken for newer
 *   KEEPS_COUNTER   a new era keeps the number to follow from
 */
#define LAST_CHANGE 2
#define MOST_OTHERS 1
#define MOST_CALLS 2 /* before the last change */

byte era = 1;
byte number = 1; /* of the newest change in the store */
byte row = 0; /* its value: the count of changes */
byte row_number = 1;
byte copy_number, copy_row, copy_row_number;
bool copied, restored, settled;

/* A node's table. */
typedef table {
	byte era;
	byte number;
	byte row;
	bool loaded;
};
table nodes[2];

inline change(value)
{
	number++;
	row = value;
	row_number = number;
}

/* The store: changes, others' changes, one copy and one restore. */
active proctype store()
{
	byte changes = 0;
	byte others = 0;

	do
	:: atomic { changes < LAST_CHANGE -> changes++; change(changes) }
	:: atomic { others < MOST_OTHERS -> others++; number++ }
	:: atomic {
		!copied -> copied = true;
		copy_number = number;
		copy_row = row;
		copy_row_number = row_number
	}
	:: atomic {
		copied && !restored -> restored = true;
		era++;
		number = copy_number;
		row = copy_row;
		row_number = copy_row_number
	}
	:: atomic {
		changes == LAST_CHANGE && restored ->
		/* Its writer writes it again. */
		if
		:: row != LAST_CHANGE -> change(LAST_CHANGE)
		:: else
		fi;
		settled = true;
		break
	}
	od
}

/* Whether a version (e1, n1) is older than (e2, n2). */
#ifdef NUMBER_ONLY
#define OLDER(e1, n1, e2, n2) (n1 < n2)
#else
#define OLDER(e1, n1, e2, n2) (e1 < e2 || (e1 == e2 && n1 < n2))
#endif

/* One call of a node to the store; the answer may arrive much later. */
inline call(me)
{
	atomic {
		whole = !nodes[me].loaded;
		asked_era = nodes[me].era;
		after = nodes[me].number;
	};
	/* The store answers. */
	atomic {
		got_era = era;
		got_number = number;
		got_row = row;
		lost = !whole && after > number;
		told = whole || (!lost && row_number > after);
	};
	/* The answer arrives. */
	atomic {
		if
#ifndef LATE_ANSWER
		:: got_era < nodes[me].era -> skip
#endif
#ifndef FOLLOWS_ON
		:: !whole && got_era != asked_era && got_era >= nodes[me].era ->
			nodes[me].loaded = false
#endif
		:: else ->
			if
			:: lost -> nodes[me].loaded = false
			:: !lost && whole &&
			   OLDER(got_era, got_number, nodes[me].era,
				 nodes[me].number) -> skip
			:: else ->
				if
				:: told -> nodes[me].row = got_row
				:: else
				fi;
				assert(got_era >= nodes[me].era);
				nodes[me].loaded = true;
#ifdef KEEPS_COUNTER
				if
				:: got_number > nodes[me].number ->
					nodes[me].number = got_number
				:: else
				fi;
#else
				nodes[me].number = got_number;
#endif
				nodes[me].era = got_era
			fi
		fi;
		whole = false; lost = false; told = false;
		asked_era = 0; after = 0;
		got_era = 0; got_number = 0; got_row = 0
	}
}

active proctype taker()
{
end:	atomic {
		nodes[0].loaded &&
#ifdef PEER_BY_NUMBER
		nodes[0].number >= nodes[1].number ->
#else
		!OLDER(nodes[0].era, nodes[0].number, nodes[1].era,
		       nodes[1].number) ->
#endif
		assert(nodes[0].era >= nodes[1].era);
		nodes[1].row = nodes[0].row;
		nodes[1].era = nodes[0].era;
		nodes[1].number = nodes[0].number;
		nodes[1].loaded = true
	}
}

proctype node(byte me)
{
	bool whole, lost, told;
	byte asked_era, after, got_era, got_number, got_row;
	byte left = MOST_CALLS;

	do
	:: left -> call(me); left--
	:: settled -> break
	od;
	/* A table is dropped, then read; then it is there. */
	left = 3;
	do
	:: left -> call(me); left--
	:: else -> break
	od;
	assert(nodes[me].row == LAST_CHANGE)
}

init
{
	atomic { run node(0); run node(1) }
}
