/*
 * rate_limit - the rate that a backend server in need takes from all nodes
 *
 * The server names it in its answers, for as long as it holds. A few nodes of
 * its region, the senders, share the rate by equal, fixed parts, so that the
 * parts add up to the rate whoever dies, starts or is cut off. Each part is a
 * token bucket that holds next to nothing. Which members are senders follows
 * from the members' table, dead ones included. Another node that has requests
 * for the server borrows tokens of a sender, which then aren't the sender's any
 * more; what is lost on its way is nobody's. Pure; not thread-safe. Times are
 * those of the clock port.
 */
#ifndef CORE_RATE_LIMIT_H
#define CORE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/member_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Rates that are believed, in requests a second; others are an error. */
#define RATE_LIMIT_MIN_PER_S 0.001
#define RATE_LIMIT_MAX_PER_S 1000000.0

/* Senders that are asked for tokens at one time. */
#define RATE_LIMIT_MAX_ASKED 3

struct rate_limit {
	double per_s; /* of all nodes together; 0: none is named */
	double previous_per_s; /* the rate before it named none; 0: none */
	uint64_t learned_us; /* when that was learned; 0: never named */
	double part_per_s; /* this node's */
	double tokens;
	uint64_t filled_us;
	uint32_t borrowed; /* tokens of a sender's */
	uint64_t borrowed_until_us;
	/* Senders whose answers are due, by hash. */
	uint32_t asked[RATE_LIMIT_MAX_ASKED];
	uint32_t asked_count;
	uint64_t asked_us;
	uint64_t way_us; /* to these and back */
	uint32_t missed; /* requests that had no token since then */
	uint32_t refused_by; /* the sender that had none, by hash; 0: none */
	uint64_t ask_again_us; /* senders have none before that */
	uint32_t urgent; /* times it is still told to all at once */
	uint64_t broadcast_us; /* when it last was */
	uint32_t rejected; /* words that can't be read */
	uint64_t sent; /* requests, while it was limited */
};

/* What one node tells another of a server's rate; times are ages. */
struct rate_update {
	uint32_t life; /* of the backend server */
	double per_s; /* 0: it names none any more */
	uint64_t age_us; /* since it was learned from the server */
};

/*
 * Read a rate as servers write it, digits with at most one point; false where
 * it is anything else or out of bounds.
 */
bool rate_limit_parse(const char *text, double *per_s);

/* Whether a neighbour's word can be true. */
bool rate_limit_update_is_valid(const struct rate_update *update);

/*
 * An answer named this rate, 0 for none; it was asked for at sent_us. A higher
 * one counts only if the server was asked after the known one was learned, for
 * answers of different nodes overtake each other, and not at once. Whether that
 * was news.
 */
bool rate_limit_apply_answer(struct rate_limit *limit, double per_s,
			     uint64_t sent_us, uint64_t now_us);

/* A neighbour learned this rate then. Whether that was news. */
bool rate_limit_apply_update(struct rate_limit *limit, double per_s,
			     uint64_t at_us, uint64_t now_us);

/*
 * What all nodes together may send a second: the rate that the server names, or
 * for a moment after it named one a rising one, since all that was held back
 * would come at once. 0: as much as they like.
 */
double rate_limit_effective(const struct rate_limit *limit, uint64_t now_us);
bool rate_limit_is_limited(const struct rate_limit *limit, uint64_t now_us);

/*
 * This node's part of the rate that a server of this region names, by the
 * server's hash; 0 for a node that isn't a sender. Senders are some of the
 * region's nodes, or of all where none of these is known.
 */
double rate_limit_quota(const struct member_table *members, const char *region,
			uint32_t hash, double per_s);

/*
 * One of the server's senders that lives, but not one that had no token just
 * now, drawn by spread, 0 to 1; or NULL.
 */
const struct member *rate_limit_pick_holder(const struct rate_limit *limit,
					    const struct member_table *members,
					    const char *region, uint32_t hash,
					    double draw, uint64_t now_us);

/* Whether to ask a sender for tokens. */
bool rate_limit_may_borrow(const struct rate_limit *limit, uint64_t now_us);

/*
 * Begin to ask, over a way of so long; returns how many tokens are needed. And
 * note that this sender is asked; false if it is already, or too many are.
 */
uint32_t rate_limit_begin_borrowing(struct rate_limit *limit, uint64_t way_us,
				    uint64_t now_us);
bool rate_limit_mark_asked(struct rate_limit *limit, uint32_t holder);

/* A request has no token, and doesn't ask: another one's answer is due. */
void rate_limit_count_miss(struct rate_limit *limit);

/* Lend tokens of one's own, at most most; how long to wait without any. */
uint32_t rate_limit_lend(struct rate_limit *limit, uint32_t max_tokens,
			 uint64_t now_us, uint64_t *wait_us);

/* The sender's answer; one that wasn't asked for is ignored. */
void rate_limit_apply_loan(struct rate_limit *limit, uint32_t holder,
			   uint32_t lent, uint64_t wait_us, uint64_t now_us);

/* The part that the bucket fills with from now on. */
void rate_limit_set_quota(struct rate_limit *limit, double part_per_s,
			  uint64_t now_us);

/* What the bucket holds, in requests. */
double rate_limit_tokens(const struct rate_limit *limit, uint64_t now_us);

/* Whether a request may be sent now. */
bool rate_limit_allows(const struct rate_limit *limit, uint64_t now_us);

/*
 * Take a token for one request, where rate_limit_allows() it; whether one was
 * needed, and has to be given back if the request isn't sent.
 */
bool rate_limit_take(struct rate_limit *limit, uint64_t now_us);
void rate_limit_give_back(struct rate_limit *limit, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
