/*
 * suspect - who is taken for a request that crashes backend servers
 *
 * What is modelled. Two nodes and two requests: a deadly one, under which each
 * server ends that runs it, and a harmless one that may be at work beside it,
 * on a server that ends by itself, or on one that only resets a connection. A
 * node keeps for each request the lives of servers that ended under it. A word
 * has all that a node keeps; it may be lost, repeated and late, so that any
 * state that was told before may arrive again. A server's answer to the
 * harmless request clears it, at one node until the other is told. The node
 * that sees a third end writes a row; both nodes may die at once and start with
 * no more than that row.
 *
 * Properties. A node sends the deadly request three times at most in one life
 * of its own, and once more where the harmless one was there each time (runs),
 * and not at all after a start with the row written (row). The harmless request
 * is quarantined only if three servers ended while it was at work there
 * (innocent), and not where the node knows that the deadly one was at each of
 * them (beside).
 *
 * Assumption. A node that starts has read the row, or been told of it, before
 * it sends.
 *
 * Stands for. packages/core/suspect_table.c, packages/edge/crash_watch.c,
 * quarantine_store.c.
 *
 * Faults, each removing one guard:
 *   COUNT_REPORTS   a report counts, whichever life it tells of
 *   COUNT_BREAKS    a connection that was reset counts as a server's end
 *   COUNT_BESIDE    what runs elsewhere when a server ends is suspected, too
 *   NO_LIMIT        a node goes on to send after the third end
 *   NO_ROW          a start forgets what was quarantined
 *   COUNT_ALL       crashes count, whatever else was there
 */
#define NODES 2
#define LIVES 4
#define LIMIT 3

#define COUNT(mask) ((mask & 1) + ((mask >> 1) & 1) + ((mask >> 2) & 1) + \
		     ((mask >> 3) & 1) + ((mask >> 4) & 1))

/* Of the two, by what each has for itself. */
#ifdef COUNT_ALL
#define is_guilty(mask, other) (COUNT(mask) >= LIMIT)
#else
#define is_guilty(mask, other) (COUNT(mask) >= LIMIT && \
				(COUNT(other) < LIMIT || (mask & ~other)))
#endif
#ifdef NO_LIMIT
#define knows(node) false
#else
#define knows(node) is_guilty(deadly[node], harmless[node])
#endif
#ifdef NO_ROW
#define has_read(node) false
#else
#define has_read(node) (started && row)
#endif
#define may_run(node) (!knows(node) && !has_read(node))

byte lives; /* of servers that ended so far */

byte deadly[NODES]; /* lives that the node knows of, a bit each */
byte runs[NODES]; /* that the node sent in its life */
bool row; /* the store has the quarantine */
bool started; /* both nodes died and started since */

byte harmless[NODES];
byte shared; /* lives that ended while it was at work there: the truth */

byte told_deadly; /* any earlier state may arrive */
byte told_harmless;

inline add(mask, life)
{
#ifdef COUNT_REPORTS
	if
	:: !(mask & 1) -> mask = mask | 1
	:: else ->
		if
		:: !(mask & 2) -> mask = mask | 2
		:: else -> mask = mask | 4
		fi
	fi
#else
	mask = mask | (1 << (life))
#endif
}

inline run_deadly(node)
{
	runs[node]++;
	assert(!(started && row)); /* row */
	assert(runs[node] <= LIMIT ||
	       (runs[node] == LIMIT + 1 &&
		COUNT(harmless[node]) >= LIMIT)); /* runs */
	add(deadly[node], lives);
	if
	:: true -> /* the harmless one was there */
		shared = shared | (1 << lives);
		add(harmless[node], lives)
	:: true ->
#ifdef COUNT_BESIDE
		add(harmless[node], lives)
#else
		skip
#endif
	fi;
	lives++;
	if
	:: knows(node) -> row = true
	:: else -> skip
	fi
}

inline take(mask, word)
{
#ifdef COUNT_REPORTS
	if
	:: word -> add(mask, 0)
	:: else -> skip
	fi
#else
	mask = mask | word
#endif
}

inline check_innocent(node)
{
	if
	:: is_guilty(harmless[node], deadly[node]) ->
		assert(COUNT(shared) >= LIMIT); /* innocent */
		assert(COUNT(deadly[node]) < LIMIT ||
		       (harmless[node] & ~deadly[node])) /* beside */
	:: else -> skip
	fi
}

init
{
	byte node;

	do
	:: node = 0
	:: node = 1
	:: lives < LIVES && may_run(node) ->
		atomic { run_deadly(node) }
	/* A server ends by itself, with the harmless request at work. */
	:: lives < LIVES ->
		atomic {
			shared = shared | (1 << lives);
			add(harmless[node], lives);
			lives++
		}
	/* A server that lives resets the connection of the harmless one. */
	:: lives < LIVES ->
#ifdef COUNT_BREAKS
		atomic { add(harmless[node], lives); lives++ }
#else
		skip
#endif
	/* It is answered. */
	:: true -> harmless[node] = 0
	/* Words: told now, and heard by any node at any time, or never. */
	:: true -> told_deadly = deadly[node]; told_harmless = harmless[node]
	:: true ->
		atomic {
			take(deadly[node], told_deadly);
			take(harmless[node], told_harmless);
			if
			:: knows(node) -> row = true
			:: else -> skip
			fi
		}
	:: !started ->
		atomic {
			started = true;
			deadly[0] = 0;
			deadly[1] = 0;
			harmless[0] = 0;
			harmless[1] = 0;
			runs[0] = 0;
			runs[1] = 0;
			told_deadly = 0;
			told_harmless = 0
		}
	:: true -> check_innocent(node)
	od
}
