/*
 * suspect_table - requests that are suspected of crashing backend servers
 *
 * A request that was running at a backend server when the server crashed is a
 * suspect, identified by its fingerprint; so is each other request that was
 * running there. A suspect runs at most once at a time over all nodes that can
 * be reached, and away from other suspects if possible; its first retry waits
 * for updates of other nodes that were running it. After a second crash it
 * runs only away from other suspects, at a server with few requests, and only
 * once its node's claim to run it has reached all nodes. An answer of a server
 * clears it. A request with SUSPECT_QUARANTINE_CRASHES crashes is quarantined,
 * unless another request that ran at the same servers explains them; where
 * servers crash by themselves, it takes one crash more. No node sends it until
 * one node retries it after a long time, which doubles with each further crash.
 *
 * A crash is identified by the server's incarnation and counts once, whichever
 * node reports it, so updates of other nodes may come twice, late or in any
 * order. A server that answers a request sent after its reported crash did not
 * crash. Requests that ran at servers of a failure domain that failed as a
 * whole are not suspected. The table has a fixed size; a quarantined request is
 * never evicted. Not thread-safe. Times are those of the clock port.
 */
#ifndef CORE_SUSPECT_TABLE_H
#define CORE_SUSPECT_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/backend_table.h"
#include "core/duration.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Capacity of the table: suspects, and runs of suspects. */
#define SUSPECT_MAX_ENTRIES 512
#define SUSPECT_MAX_RUNS 64

/*
 * Crashes that quarantine a request, and crashes that are kept for each: one
 * more, as one may turn out not to count.
 */
#define SUSPECT_QUARANTINE_CRASHES 3
#define SUSPECT_MAX_CRASHES 4

/* Crashes that are remembered besides those, of all requests and of each. */
#define SUSPECT_MAX_UNCOUNTED_CRASHES 40
#define SUSPECT_MAX_UNCOUNTED_PER_REQUEST 8

/*
 * How long one crash more is needed for a quarantine after a server crashed by
 * itself: all requests that were running there were answered elsewhere.
 */
#define SUSPECT_UNRELATED_CRASH_US (60 * US_PER_S)

/*
 * Servers of a failure domain that have to crash together, and be at least half
 * of the domain, to be taken for an outage of the domain that no request
 * caused. Fewer also crash together where several requests crash servers at
 * once.
 */
#define SUSPECT_DOMAIN_OUTAGE_SERVERS 3

/* Domain outages that are remembered. */
#define SUSPECT_MAX_DOMAIN_OUTAGES 16

/*
 * Length of the first quarantine, and the round from which on it no longer
 * doubles.
 */
#define SUSPECT_QUARANTINE_US (300 * US_PER_S)
#define SUSPECT_MAX_ROUNDS 8

/* A request without any change for this long is removed. */
#define SUSPECT_TTL_US (1800 * US_PER_S)

/* Longest time for an update to reach another region, batching included. */
#define SUSPECT_UPDATE_DELAY_US (70 * US_PER_MS)

/*
 * How long a node waits after a claim: until its update has arrived everywhere,
 * and that of any claim made before that.
 */
#define SUSPECT_CLAIM_WAIT_US (2 * SUSPECT_UPDATE_DELAY_US)

/* Longest remaining run that an update may state. */
#define SUSPECT_MAX_RUN_US (60 * US_PER_S)

/* Size of the request's description for operators, with the NUL. */
#define SUSPECT_TEXT_SIZE 96

struct suspect_crash {
	uint32_t incarnation; /* of the backend server */
	uint32_t domain; /* hash of its failure domain; 0: unknown */
	uint64_t at_us;
	uint64_t ran_us; /* how long the request had been running there */
};

struct suspect {
	uint64_t fingerprint;
	struct suspect_crash crashes[SUSPECT_MAX_CRASHES];
	uint32_t crash_count;
	uint32_t evidence_crashes; /* crashes that count as evidence */
	uint32_t rounds; /* consecutive quarantines; 0: none */
	bool by_hand; /* quarantined by an operator, without crashes */
	bool seen_locally; /* this node saw a server crash while running it */
	uint8_t broadcasts_left; /* broadcasts to all nodes that are due */
	uint8_t heartbeats_left; /* heartbeats that still carry it */
	uint64_t until_us; /* end of the latest quarantine */
	uint64_t cleared_us; /* crashes up to then don't count */
	uint64_t updated_us; /* time of the last change */
	char text[SUSPECT_TEXT_SIZE]; /* method and path; "": unknown at this
					 node */
};

/*
 * A crash that doesn't count against its request, but still explains crashes of
 * others: it may share a cause with two counted ones, or is an older one.
 */
struct suspect_uncounted_crash {
	uint64_t fingerprint; /* 0: free */
	struct suspect_crash crash;
	bool is_told; /* to peers, which may count it */
};

/* A suspect that is running at a server, or that a node claims to run next. */
struct suspect_run {
	uint64_t fingerprint;
	uint32_t node; /* hash of the name of the node that sent it */
	uint32_t incarnation; /* of the server; 0: a claim, no server chosen yet
			       */
	uint64_t until_us; /* ends by then at the latest */
	bool isolated; /* other suspects keep away from its server */
};

/* A moment at which several servers of a failure domain crashed. */
struct suspect_domain_outage {
	uint32_t domain; /* hash of its name */
	uint64_t at_us;
};

struct suspect_table {
	uint64_t keys[SUSPECT_MAX_ENTRIES]; /* fingerprints; 0: free */
	struct suspect entries[SUSPECT_MAX_ENTRIES];
	uint32_t count;
	struct suspect_run runs[SUSPECT_MAX_RUNS];
	uint32_t run_count;
	uint32_t next_update; /* index at which the next heartbeat goes on */
	struct suspect_domain_outage domain_outages[SUSPECT_MAX_DOMAIN_OUTAGES];
	uint32_t domain_outage_next; /* next index to be overwritten */
	struct suspect_uncounted_crash
		uncounted_crashes[SUSPECT_MAX_UNCOUNTED_CRASHES];
	uint32_t uncounted_crash_next; /* next index to be overwritten */
	uint64_t unrelated_crash_us; /* when a server was last known to have
					crashed without a request as cause */
};

enum suspect_verdict {
	SUSPECT_NONE, /* not a suspect */
	SUSPECT_MAY_RUN, /* may run; no other run is in progress */
	SUSPECT_RUNNING, /* another run is in progress */
	SUSPECT_QUARANTINED,
};

/* Asks whether a request may run. */
struct suspect_query {
	uint64_t fingerprint;
	uint32_t node; /* hash of the name of the node that asks */
	bool is_prober; /* retries the request after a quarantine */
	bool has_claimed; /* has claimed the request and waited since */
};

struct suspect_decision {
	enum suspect_verdict verdict;
	bool isolated; /* run only at servers without other suspects */
	bool needs_claim; /* claim it and don't run it yet; see suspect_claim()
			   */
	uint64_t wait_us; /* ask again after this time, if the caller's deadline
			     allows it */
	uint64_t left_us; /* of the quarantine */
};

/* What one node sends another about a suspect. Times are ages. */
struct suspect_update {
	uint64_t fingerprint;
	struct {
		uint32_t incarnation;
		uint64_t age_us;
		uint64_t ran_us;
	} crashes[SUSPECT_MAX_CRASHES];
	uint32_t crash_count;
	uint32_t rounds;
	uint64_t left_us; /* of the quarantine */
	bool by_hand;
	bool cleared;
	uint64_t cleared_age_us;
	uint32_t run_incarnation; /* where the sender runs it; 0: a claim */
	uint64_t run_left_us; /* 0: the sender neither runs nor claims it */
};

struct suspect_table *suspect_table_new(void);
void suspect_table_free(struct suspect_table *table);

/* Returns the entry, or NULL. */
struct suspect *suspect_table_find(struct suspect_table *table,
				   uint64_t fingerprint);

/*
 * Whether it is quarantined, or its quarantine is over and it wasn't retried
 * yet.
 */
bool suspect_is_quarantined(struct suspect_table *table, uint64_t fingerprint);

/* Decides what may be done with a request. */
void suspect_decide(struct suspect_table *table,
		    const struct suspect_query *query,
		    const struct backend_table *backends, uint64_t now_us,
		    struct suspect_decision *decision);

/*
 * Claims a request that the node is going to run. The node calls
 * suspect_decide() again after SUSPECT_CLAIM_WAIT_US: of several nodes that
 * claimed the request one may run it, and of several claimed requests one at a
 * time gets a server, so that each node knows where the others run.
 */
void suspect_claim(struct suspect_table *table, uint64_t fingerprint,
		   uint32_t node, uint64_t now_us);

/*
 * A server crashed while it ran the request, seen by this node. text describes
 * the request. Returns whether the crash is new.
 */
bool suspect_add_own_crash(struct suspect_table *table, uint64_t fingerprint,
			   const struct backend_table *backends,
			   const struct suspect_crash *crash, const char *text);

/* Whether the server is known to have crashed while running the request. */
bool suspect_has_crash_of(const struct suspect_table *table,
			  const struct suspect *entry, uint32_t incarnation);

/*
 * Whether another server of the crash's failure domain crashed at the same
 * moment while running the request, which may thus have caused both crashes.
 */
bool suspect_has_simultaneous_crash(const struct suspect *entry,
				    const struct suspect_crash *crash);

/*
 * Whether this number of servers of a failure domain that crashed together is
 * an outage of the domain. domain is the hash of its name.
 */
bool suspect_is_domain_outage(const struct backend_table *backends,
			      uint32_t domain, uint32_t crashed);

/*
 * A server ran the request and answered: earlier crashes don't count any more.
 */
void suspect_clear(struct suspect_table *table, uint64_t fingerprint,
		   uint64_t now_us);

/* A run of a suspect begins or ends. node is the hash of this node's name. */
void suspect_begin_run(struct suspect_table *table,
		       const struct suspect_run *run);
void suspect_end_run(struct suspect_table *table, uint64_t fingerprint,
		     uint32_t node);

/*
 * Whether a suspect is running at this server; isolated_only: only one that
 * other suspects keep away from.
 */
bool suspect_runs_on(const struct suspect_table *table, uint32_t incarnation,
		     bool isolated_only, uint64_t now_us);

/*
 * Quarantines or releases a request for an operator. False if the table is full
 * of quarantined requests, or the request isn't in it.
 */
bool suspect_quarantine(struct suspect_table *table, uint64_t fingerprint,
			uint64_t now_us);
bool suspect_release(struct suspect_table *table, uint64_t fingerprint,
		     uint64_t now_us);

/*
 * Applies an update of a peer; sender is the hash of its name. Returns false
 * for an invalid update, which changes nothing.
 */
bool suspect_apply_update(struct suspect_table *table,
			  const struct suspect_update *update, uint32_t sender,
			  const struct backend_table *backends,
			  uint64_t now_us);

/*
 * Collects up to max_count updates to send, either broadcasts to all nodes or
 * those for a heartbeat, and returns their number. A change is sent a few
 * times, a quarantine for as long as it lasts.
 */
uint32_t suspect_collect_broadcast(struct suspect_table *table, uint32_t node,
				   uint64_t now_us,
				   struct suspect_update *updates,
				   uint32_t max_count);
uint32_t suspect_collect_updates(struct suspect_table *table, uint32_t node,
				 uint64_t now_us,
				 struct suspect_update *updates,
				 uint32_t max_count);
bool suspect_has_broadcast(const struct suspect_table *table);

/* Removes entries without changes for a long time, and runs that are over. */
void suspect_table_expire(struct suspect_table *table, uint64_t now_us);

const char *suspect_verdict_name(enum suspect_verdict verdict);

#ifdef __cplusplus
}
#endif

#endif
