/*
 * read_plan - where a node reads a table of the platform from, and when
 *
 * Limits the load of hundreds of nodes on the platform's store: each call there
 * costs money and counts against a shared rate limit, and a node can get what
 * another node of its region has read. The region's reader polls the tables.
 * The other nodes rely on its confirmations, ask it for a table whose version
 * differs, and call the platform only if no peer of the region answers in time.
 * Has no state and does no I/O. Times are microseconds.
 */
#ifndef CORE_READ_PLAN_H
#define CORE_READ_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Nodes of a region that call the platform when all start at once. */
#define READ_FIRST_NODES 3

/* Rank of a node that hasn't read the members table yet. */
#define READ_RANK_UNKNOWN UINT32_MAX

/* State of one table at a node. */
struct read_state {
	bool is_reader; /* this node reads for its region */
	bool loaded; /* the table was read completely, here or from a peer */
	/* Among the region's nodes that may read, or READ_RANK_UNKNOWN. */
	uint32_t rank;
	bool has_peers; /* another node of the region is known */
	uint64_t started_us; /* members known, or start of the process */
	uint64_t confirmed_us; /* last confirmation by platform or a peer */
	uint64_t confirmation_ttl_us; /* lifetime of a confirmation */
	bool version_differs; /* the reader has another version */
	bool other_table_fails; /* and its calls are retried */
	uint32_t peer_attempts; /* consecutive peer requests without a table */
	uint32_t max_peer_attempts; /* for a version that differs */
};

enum read_source {
	READ_NONE, /* plan again after wait_us */
	READ_PEER,
	READ_PLATFORM,
};

enum read_cause {
	READ_AS_READER, /* this node reads for its region */
	READ_AT_START, /* the table isn't loaded yet */
	READ_VERSION_DIFFERS,
	READ_CONFIRMATION_EXPIRED,
	READ_MEMBER_UNKNOWN, /* a node sent a message but isn't in the table */
	READ_UP_TO_DATE, /* no read is needed */
	READ_CAUSE_COUNT,
};

struct read_step {
	enum read_source source;
	enum read_cause cause;
	uint64_t wait_us; /* until the next plan; 0: at once */
};

/* Plan the next read of a table. */
void read_plan(const struct read_state *state, uint64_t now_us,
	       struct read_step *step);

/* Name in logs and metrics. */
const char *read_cause_name(enum read_cause cause);

/*
 * Delay of a retry after this many failed calls in a row. The region's first
 * nodes notice soon that the platform is back and the others learn it from
 * them, so the others call rarely. jitter: a random number from 0 to 1 for each
 * call, so that nodes don't retry at the same time.
 */
uint64_t read_retry_delay_us(uint32_t failures, uint32_t rank, double jitter);

/*
 * Whether a node may send a peer an answer of this size now; half of its link
 * is kept for callers. *busy_until_us is when the answers so far are sent; if
 * true is returned, it includes this one.
 */
bool read_may_serve_peer(uint64_t *busy_until_us, uint64_t bytes,
			 uint32_t link_mbps, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
