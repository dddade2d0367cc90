/*
 * parts - who uses a part of a backend server's rate
 *
 * What is modelled. Three nodes in the server's rendezvous order, of which the
 * first one known is the sender. Node 0 joins later, knowing the others; they
 * learn of it at any time within the wait of a node that starts. Nodes fall
 * silent, by a death or a cut, and are heard again.
 *
 * Property. At most one node uses the part (one).
 *
 * Assumption. Nobody is cut off for longer than the wait while a node joins.
 *
 * Stands for. packages/core/rate_limit.c, packages/edge/server_limits.c.
 *
 * Faults, each removing one guard:
 *   NO_WAIT      a node that starts uses its part at once
 *   LIVE_ONLY    members that are silent don't count
 */
#define NODES 3

bool joined; /* node 0 */
bool waited;
bool knows_first[NODES]; /* of node 0 */
bool silent[NODES];

#ifdef LIVE_ONLY
#define counts(node) (!silent[node])
#else
#define counts(node) true
#endif
#ifdef NO_WAIT
#define has_waited true
#else
#define has_waited waited
#endif

#define first_counts(node) (knows_first[node] && counts(0))
#define uses_0 (joined && has_waited)
#define uses_1 (!first_counts(1))
#define uses_2 (!first_counts(2) && !counts(1))

init
{
	byte node;

	do
	:: !joined -> joined = true
	:: joined ->
		atomic {
			select(node : 1 .. 2);
			knows_first[node] = true
		}
	:: joined && knows_first[1] && knows_first[2] -> waited = true
	:: atomic {
			select(node : 0 .. 2);
			silent[node] = !silent[node]
		}
	:: assert(uses_0 + uses_1 + uses_2 <= 1) /* one */
	od
}
