/*
 * rate_limit - the request rate that an overloaded backend server accepts
 *
 * The server reports the rate in its answers for as long as it holds. A few
 * nodes of its region, the quota holders, share the rate by equal, fixed
 * quotas, so that the quotas add up to the rate whichever node dies, starts or
 * is partitioned. Each quota fills a token bucket with a very small burst. The
 * holders follow from the member table, dead members included. Another node
 * with requests for the server borrows tokens from a holder, which gives them
 * up; tokens lost on the way are used by nobody. Pure; not thread-safe. Times
 * are those of the clock port.
 */
#ifndef CORE_RATE_LIMIT_H
#define CORE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/member_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Valid rates, in requests per second. */
#define RATE_LIMIT_MIN_PER_S 0.001
#define RATE_LIMIT_MAX_PER_S 1000000.0

/* Holders asked for tokens at one time. */
#define RATE_LIMIT_MAX_ASKED 3

struct rate_limit {
	double per_s; /* of all nodes together; 0: unlimited */
	double previous_per_s; /* rate before the limit was lifted; 0: none */
	uint64_t learned_us; /* when the rate was last reported; 0: never */
	double quota_per_s; /* this node's; 0: not a holder */
	double burst; /* tokens that the bucket holds; 0: a few, by the rate */
	double tokens;
	uint64_t filled_us;
	uint32_t borrowed; /* tokens */
	uint64_t borrowed_until_us;
	/* Holders whose answers are pending, by hash. */
	uint32_t asked[RATE_LIMIT_MAX_ASKED];
	uint32_t asked_count;
	uint64_t asked_us;
	uint64_t round_trip_us; /* to the holders asked */
	uint32_t missed; /* requests without a token since the last borrowing */
	uint32_t refused_by; /* holder that had no tokens, by hash; 0: none */
	uint64_t ask_again_us; /* no borrowing before that time */
	uint32_t broadcasts_left; /* broadcasts to all nodes that are due */
	uint64_t broadcast_us; /* time of the last broadcast */
	uint32_t rejected; /* answers with an invalid rate */
	uint64_t sent; /* requests sent while limited */
};

/* What one node sends another about a server's rate. Times are ages. */
struct rate_update {
	uint32_t incarnation; /* of the backend server */
	double per_s; /* 0: unlimited */
	uint64_t age_us; /* since the server reported it */
};

/*
 * Parses a rate as servers write it: digits with at most one decimal point.
 * False if it is malformed or out of range.
 */
bool rate_limit_parse(const char *text, double *per_s);

/* Whether the values of a peer's update are in range. */
bool rate_limit_update_is_valid(const struct rate_update *update);

/*
 * Applies the rate in an answer (0: none) to a request sent at sent_us. A
 * higher rate counts only if the request was sent after the known rate was
 * learned, as answers to different nodes overtake each other, and not soon
 * after a lower one. Returns whether the rate changed.
 */
bool rate_limit_apply_answer(struct rate_limit *limit, double per_s,
			     uint64_t sent_us, uint64_t now_us);

/* Applies a rate that a peer learned at at_us. Returns whether it changed. */
bool rate_limit_apply_update(struct rate_limit *limit, double per_s,
			     uint64_t at_us, uint64_t now_us);

/*
 * Requests per second that all nodes together may send; 0: unlimited. This is
 * the reported rate, or a rising one for a short time after the limit was
 * lifted, as all requests held back would otherwise come at once.
 */
double rate_limit_effective(const struct rate_limit *limit, uint64_t now_us);
bool rate_limit_is_limited(const struct rate_limit *limit, uint64_t now_us);

/*
 * This node's quota of a rate that a server reports; region and hash are the
 * server's. 0 if the node isn't a holder. The holders are nodes of the server's
 * region, or of all regions if none is known there.
 */
double rate_limit_quota(const struct member_table *members, const char *region,
			uint32_t hash, double per_s);

/*
 * Picks a live holder for the server by draw, a random number from 0 to 1,
 * other than the one that had no tokens just now. NULL if there is none.
 */
const struct member *rate_limit_pick_holder(const struct rate_limit *limit,
					    const struct member_table *members,
					    const char *region, uint32_t hash,
					    double draw, uint64_t now_us);

/* Whether to ask a holder for tokens now. */
bool rate_limit_may_borrow(const struct rate_limit *limit, uint64_t now_us);

/*
 * rate_limit_begin_borrowing() returns the number of tokens to ask for, over a
 * link with this round trip. rate_limit_mark_asked() notes that a holder is
 * asked; false if it already is, or if too many are.
 */
uint32_t rate_limit_begin_borrowing(struct rate_limit *limit,
				    uint64_t round_trip_us, uint64_t now_us);
bool rate_limit_mark_asked(struct rate_limit *limit, uint32_t holder);

/*
 * Counts a request without a token that doesn't borrow, as an answer is
 * pending.
 */
void rate_limit_count_miss(struct rate_limit *limit);

/*
 * Lends up to max_tokens of this node's tokens and returns their number.
 * Without any, wait_us is how long the borrower should wait.
 */
uint32_t rate_limit_lend(struct rate_limit *limit, uint32_t max_tokens,
			 uint64_t now_us, uint64_t *wait_us);

/* Applies a holder's answer; ignored if the holder wasn't asked. */
void rate_limit_apply_loan(struct rate_limit *limit, uint32_t holder,
			   uint32_t lent, uint64_t wait_us, uint64_t now_us);

/* Sets the quota at which the bucket fills. */
void rate_limit_set_quota(struct rate_limit *limit, double quota_per_s,
			  uint64_t now_us);

/*
 * Sets a rate that the operator named, with this node's quota of it and the
 * size of its bucket. The bucket starts empty.
 */
void rate_limit_configure(struct rate_limit *limit, double per_s,
			  double quota_per_s, double burst, uint64_t now_us);

/* Tokens in the bucket. */
double rate_limit_tokens(const struct rate_limit *limit, uint64_t now_us);

/* Whether a request may be sent now. */
bool rate_limit_allows(const struct rate_limit *limit, uint64_t now_us);

/*
 * Takes a token for a request that rate_limit_allows() allows. Returns whether
 * one was needed; it has to be given back if the request isn't sent.
 */
bool rate_limit_take(struct rate_limit *limit, uint64_t now_us);
void rate_limit_give_back(struct rate_limit *limit, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
