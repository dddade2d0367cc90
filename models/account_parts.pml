/*
 * account_parts - who uses a part of an account's rate, and how much runs
 *
 * What is modelled. Two nodes of a region in the account's rendezvous order,
 * of which the first one that a node knows holds the part. Node 0 joins later,
 * knowing node 1. A node that hears the platform or its peers learns of it;
 * one that hears nobody doesn't, and stops after a time (quiet). Node 0 begins
 * when it has been up for longer than that (waited). Any holder may be killed
 * and restarted, then as a node that was listed before.
 *
 * Property. At most one node uses the part (one). What runs of a part's bucket
 * stays within its burst and rate, also over a restart (bounded).
 *
 * Assumption. A node that is heard again has learned of node 0 before it uses
 * the part: lists are read when it is resumed. Time is in steps: a full bucket
 * holds BURST tokens, a step fills one.
 *
 * Stands for. packages/core/account_quota.c, packages/edge/accounts.c.
 *
 * Faults, each removing one guard:
 *   NO_WAIT       a new node uses the part at once
 *   NO_STOP       a node that hears nobody goes on with it
 *   FULL_RESTART  the bucket of a restarted node is full
 */
#define NODES 2
#define BURST 2
#define STEPS 4

bool joined; /* node 0 */
bool waited;
bool knows[NODES]; /* of node 0 */
bool cut[NODES]; /* hears nobody */
bool quiet[NODES]; /* for so long that it stops */
byte tokens;
byte ran;
byte steps;

#ifdef NO_WAIT
#define has_waited true
#else
#define has_waited waited
#endif
#ifdef NO_STOP
#define stopped(node) false
#else
#define stopped(node) quiet[node]
#endif

/* Node 1 holds the part until it knows of node 0. */
#define uses_0 (joined && has_waited && !stopped(0))
#define uses_1 (!knows[1] && !stopped(1))

init
{
	tokens = BURST;
	do
	:: !joined -> joined = true
	:: joined && !cut[1] -> knows[1] = true
	:: cut[0] = true
	:: cut[1] = true
	/* It reads the lists before it goes on. */
	:: atomic { cut[0] -> cut[0] = false; quiet[0] = false }
	:: atomic { cut[1] ->
			cut[1] = false;
			quiet[1] = false;
			knows[1] = joined
		}
	:: cut[0] -> quiet[0] = true
	:: cut[1] -> quiet[1] = true
	/* The wait is longer than the time until a node that is cut stops. */
	:: joined && !waited && (knows[1] || quiet[1]) -> waited = true
	:: atomic { tokens > 0 && (uses_0 || uses_1) ->
			tokens--;
			ran++
		}
	:: atomic { steps < STEPS -> steps++;
			if
			:: tokens < BURST -> tokens++
			:: else
			fi
		}
	/* A restart of the holder. */
	:: atomic { steps < STEPS ->
#ifdef FULL_RESTART
			tokens = BURST
#else
			tokens = 0
#endif
		}
	:: assert(uses_0 + uses_1 <= 1) /* one */
	:: assert(ran <= BURST + steps) /* bounded */
	od
}
