/*
 * suspect_table - requests that are suspected of crashing backend servers
 *
 * A request that was at work at a backend server when that ended is suspected,
 * by its fingerprint, and so is each that was there beside it. A suspect runs
 * once at a time in all that can be reached, away from other suspects if that
 * can be had; after a second crash only so, where little is at work, and once
 * its node's claim to run it has been heard by all. An answer of a server
 * clears it. One that SUSPECT_QUARANTINE_CRASHES servers ended under is
 * quarantined, unless another that was there explains these crashes: no node
 * sends it, until one node tries it once after a long time, which doubles with
 * each crash.
 *
 * Crashes count by the server's life, once each, whoever tells of them, so
 * words of other nodes may come twice, late or in any order. A server that
 * answered what was sent to it after it was said to have ended did not; what
 * ran at servers of a failure domain that ended together isn't suspected. The
 * table is of fixed size; a quarantined request is never pushed out. Not
 * thread-safe. Times are those of the clock port.
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

/* Requests in the table, and runs of theirs that are known of. */
#define SUSPECT_MAX_ENTRIES 512
#define SUSPECT_MAX_RUNS 64

/*
 * Servers that end under a request before it is quarantined, and those that are
 * remembered of it: one may turn out not to count.
 */
#define SUSPECT_QUARANTINE_CRASHES 3
#define SUSPECT_MAX_CRASHES 4

/*
 * So many servers of a failure domain that end together, and half of them all,
 * have a cause in common, and it isn't what ran there. A few at a time end
 * where several requests crash servers at once.
 */
#define SUSPECT_DOMAIN_OUTAGE_SERVERS 3

/* Such moments that are remembered. */
#define SUSPECT_MAX_DOMAIN_OUTAGES 16

/* The first quarantine, and how often it may double. */
#define SUSPECT_QUARANTINE_US (300 * US_PER_S)
#define SUSPECT_MAX_ROUNDS 8

/* A request that isn't heard of for so long is forgotten. */
#define SUSPECT_TTL_US (1800 * US_PER_S)

/* A word from one region to another is there by then, gathering included. */
#define SUSPECT_UPDATE_DELAY_US (70 * US_PER_MS)

/*
 * How long a claim waits: for its word to arrive, and for that of any claim
 * made before it did.
 */
#define SUSPECT_CLAIM_WAIT_US (2 * SUSPECT_UPDATE_DELAY_US)

/* Longest run that a word may tell of. */
#define SUSPECT_MAX_RUN_US (60 * US_PER_S)

/* What of a request is kept for operators, with the NUL. */
#define SUSPECT_TEXT_SIZE 96

struct suspect_crash {
	uint32_t life; /* of the backend server */
	uint32_t domain; /* hash of its failure domain; 0: not known */
	uint64_t at_us;
	uint64_t ran_us; /* how long the request had been there */
};

struct suspect {
	uint64_t fingerprint;
	struct suspect_crash crashes[SUSPECT_MAX_CRASHES];
	uint32_t crash_count;
	uint32_t counted; /* of these, the ones that speak against it */
	uint32_t rounds; /* quarantines in a row; 0: none */
	bool by_hand; /* an operator's, without crashes */
	bool seen_locally; /* this node saw a server end under it */
	uint8_t urgent; /* times it is still told to all at once */
	uint8_t tells; /* times it is still told with a beat */
	uint64_t until_us; /* end of the latest quarantine */
	uint64_t cleared_us; /* crashes before don't count */
	uint64_t updated_us; /* something was learned of it */
	char text[SUSPECT_TEXT_SIZE]; /* method and path; "": not known here */
};

/* A suspect that a server is at work at, or that a node claims to run next. */
struct suspect_run {
	uint64_t fingerprint;
	uint32_t node; /* hash of the name of the node that sent it */
	uint32_t life; /* 0: a claim, no server has been chosen yet */
	uint64_t until_us; /* it has ended by then */
	bool apart; /* others should keep away from it */
};

/* A moment in which several servers of a failure domain ended. */
struct suspect_domain_outage {
	uint32_t domain; /* hash of its name */
	uint64_t at_us;
};

struct suspect_table {
	uint64_t keys[SUSPECT_MAX_ENTRIES]; /* fingerprints of entries; 0: free
					     */
	struct suspect entries[SUSPECT_MAX_ENTRIES];
	uint32_t count;
	struct suspect_run runs[SUSPECT_MAX_RUNS];
	uint32_t run_count;
	uint32_t told; /* where the round over what is told goes on */
	struct suspect_domain_outage domain_outages[SUSPECT_MAX_DOMAIN_OUTAGES];
	uint32_t domain_outage_next; /* to be overwritten */
};

enum suspect_verdict {
	SUSPECT_NONE, /* nothing is known against it */
	SUSPECT_MAY_RUN, /* it may run; no other run of it is under way */
	SUSPECT_RUNNING, /* another run of it hasn't ended */
	SUSPECT_QUARANTINED,
};

/* Who asks what may be done with which request. */
struct suspect_query {
	uint64_t fingerprint;
	uint32_t node; /* hash of the name of the one that asks */
	bool is_prober; /* it tries the request after a quarantine has ended */
	bool has_claimed; /* the request, and waited since */
};

struct suspect_decision {
	enum suspect_verdict verdict;
	bool apart; /* only where no other suspect is at work */
	bool claims; /* it may be claimed, not run yet; see suspect_claim() */
	uint64_t left_us; /* of the quarantine */
};

/* What one node tells another of a suspect; times are ages. */
struct suspect_update {
	uint64_t fingerprint;
	struct {
		uint32_t life;
		uint64_t age_us;
		uint64_t ran_us;
	} crashes[SUSPECT_MAX_CRASHES];
	uint32_t crash_count;
	uint32_t rounds;
	uint64_t left_us; /* of the quarantine */
	bool by_hand;
	bool cleared;
	uint64_t cleared_age_us;
	uint32_t run_incarnation; /* where the teller has it at work */
	uint64_t run_left_us; /* 0: the teller has no run of it */
};

struct suspect_table *suspect_table_new(void);
void suspect_table_free(struct suspect_table *table);

/* The entry, or NULL. */
struct suspect *suspect_table_find(struct suspect_table *table,
				   uint64_t fingerprint);

/* Whether it is quarantined, or waits for its try after that. */
bool suspect_is_quarantined(struct suspect_table *table, uint64_t fingerprint);

/* What may be done with a request. */
void suspect_decide(struct suspect_table *table,
		    const struct suspect_query *query,
		    const struct backend_table *backends, uint64_t now_us,
		    struct suspect_decision *decision);

/*
 * The node is going to run the request. It asks again after
 * SUSPECT_CLAIM_WAIT_US: of several nodes that claimed it, one may run it, and
 * of several requests that are claimed, one at a time has its server chosen, so
 * that each knows where the others are at work.
 */
void suspect_claim(struct suspect_table *table, uint64_t fingerprint,
		   uint32_t node, uint64_t now_us);

/*
 * A server ended while the request was at work there; whether that was new.
 * text says which request it is.
 */
bool suspect_add_own_crash(struct suspect_table *table, uint64_t fingerprint,
			   const struct backend_table *backends,
			   const struct suspect_crash *crash, const char *text);

/* A server ran it and answered: nothing before speaks against it. */
void suspect_clear(struct suspect_table *table, uint64_t fingerprint,
		   uint64_t now_us);

/* A run of a suspect begins or ends; node is this node's hash. */
void suspect_begin_run(struct suspect_table *table,
		       const struct suspect_run *run);
void suspect_end_run(struct suspect_table *table, uint64_t fingerprint,
		     uint32_t node);

/* Whether a suspect is at work at this server; isolated_only: one that others
 * keep away from. */
bool suspect_runs_on(const struct suspect_table *table, uint32_t life,
		     bool isolated_only, uint64_t now_us);

/* An operator quarantines a request, or lets one go. */
bool suspect_quarantine(struct suspect_table *table, uint64_t fingerprint,
			uint64_t now_us);
bool suspect_release(struct suspect_table *table, uint64_t fingerprint,
		     uint64_t now_us);

/*
 * Take a neighbour's word; false where it is absurd, and then nothing changes.
 * sender is its hash.
 */
bool suspect_apply_update(struct suspect_table *table,
			  const struct suspect_update *update, uint32_t sender,
			  const struct backend_table *backends,
			  uint64_t now_us);

/*
 * Words to tell: those that all should hear at once, or those that go with a
 * beat; at most most. Each is told a few times, quarantines again and again.
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

/* Forget what has not been heard of for long. */
void suspect_table_expire(struct suspect_table *table, uint64_t now_us);

const char *suspect_verdict_name(enum suspect_verdict verdict);

#ifdef __cplusplus
}
#endif

#endif
