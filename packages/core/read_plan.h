/*
 * read_plan - whom a node asks for one of the platform's tables, and when
 *
 * Pure. It answers the load of hundreds of nodes on the platform's store: each
 * call there is paid for and counts against a common rate, and what one node of
 * a region has read the others can have from it. The region's reader follows
 * the tables; the others go by its word, ask it for what differs, and ask the
 * platform themselves only where no neighbour answers in time.
 */
#ifndef CORE_READ_PLAN_H
#define CORE_READ_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Nodes of a region that read the platform's tables when all start at once. */
#define READ_FIRST_NODES 3

/* Rank of a node that doesn't know yet which nodes there are. */
#define READ_RANK_UNKNOWN UINT32_MAX

/* How one table stands at a node. */
struct read_state {
	bool is_reader; /* for its region */
	bool whole; /* the table was read whole, here or by a neighbour */
	/* Among the region's nodes that may read; READ_RANK_UNKNOWN. */
	uint32_t rank;
	bool has_neighbours; /* somebody else of the region is known */
	uint64_t started_us; /* when the nodes were known, else the start */
	uint64_t confirmed_us; /* the platform's word, also by a neighbour */
	uint64_t word_us; /* for how long a word is good */
	bool differs; /* the reader's word is another one */
	bool path_fails; /* calls for another table fail, which goes on trying
			  */
	uint32_t asks; /* neighbours asked in a row without a table */
	uint32_t asks_most; /* about a word that differs */
};

enum read_source {
	READ_NONE, /* look again after wait_us */
	READ_PEER,
	READ_PLATFORM,
};

enum read_cause {
	READ_AS_READER, /* this node reads for its region */
	READ_AT_START, /* nothing is known yet */
	READ_VERSION_DIFFERS,
	READ_CONFIRMATION_EXPIRED,
	READ_MEMBER_UNKNOWN, /* a node was heard of that no row names */
	READ_UP_TO_DATE, /* nothing is to be read */
	READ_CAUSE_COUNT,
};

struct read_step {
	enum read_source from;
	enum read_cause cause;
	uint64_t wait_us; /* until the next look; 0: at once */
};

void read_plan(const struct read_state *state, uint64_t now_us,
	       struct read_step *step);

const char *read_cause_name(enum read_cause cause);

/*
 * How long to wait after so many failed calls in a row. The region's first
 * nodes soon know that the platform is back, and the others by them; these call
 * seldom, and not together. spread is from 0 to 1, drawn anew for each.
 */
uint64_t read_retry_delay_us(uint32_t failures, uint32_t rank, double jitter);

/*
 * Whether a node may give a neighbour an answer of so many bytes now: it keeps
 * half of its link for callers. *busy_until_us is when the answers given so far
 * have left; it moves on with each one that is given.
 */
bool read_may_serve_peer(uint64_t *busy_until_us, uint64_t bytes,
			 uint32_t link_mbps, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
