/*
 * account_quota - the request rate of a client account, over all nodes
 *
 * The rate and the burst are split into equal, fixed parts, each held by one
 * node: at most two of a region, in the account's rendezvous order. A holder
 * fills a token bucket with its part and lends tokens to the nodes that have
 * requests, so that each request that runs takes one token and the sum stays
 * bounded whichever node dies, restarts or is partitioned. Pure; not
 * thread-safe. Times are those of the clock port.
 */
#ifndef CORE_ACCOUNT_QUOTA_H
#define CORE_ACCOUNT_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/account.h"
#include "core/member_table.h"
#include "core/rate_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How much the sum over all nodes may exceed the rate. */
struct account_quota_rule {
	uint64_t window_us; /* in which requests are counted */
	double overage; /* as a fraction of what the account may send */
	double slack; /* in requests, besides */
};

/* What the parts of an account's rate add up to. */
struct account_quota_total {
	double per_s;
	double burst;
	uint32_t parts;
};

/*
 * Rate and burst with which at most (rate * window + burst) * (1 + overage) +
 * slack requests run in any window, with tokens that are lent for some time.
 * Most of the burst goes into the rate: an account that sends all that it may
 * gets it in each window, and a restarted holder has its part at once. regions:
 * number of regions.
 */
struct account_quota_total
account_quota_total(const struct account *account,
		    const struct account_quota_rule *rule, uint32_t regions);

/*
 * How many of the parts nodes of the region hold. regions: all regions' names,
 * in the same order on all nodes.
 */
uint32_t account_quota_holders(const struct account *account, uint32_t parts,
			       const GPtrArray *regions, const char *region);

/* One account at one node. */
struct account_quota {
	uint32_t hash; /* of the account; identifies it between nodes */
	uint32_t parts; /* of the rate, over all nodes */
	uint32_t refusals; /* holders asked in a row that had no tokens */
	uint32_t first_far; /* region of the first of them that is another */
	struct rate_limit limit; /* this node's bucket; rate 0: unlimited */
};

/* The node's place among all. */
struct account_quota_place {
	const struct member_table *members;
	const GPtrArray *regions; /* all regions' names, as above */
	const char *region; /* of this node */
	bool may_hold; /* see account_quota_may_hold() */
};

/* Sets rate and part for the account as it is now. */
void account_quota_update(struct account_quota *quota,
			  const struct account *account,
			  const struct account_quota_rule *rule,
			  const struct account_quota_place *place,
			  uint64_t now_us);

/* Nodes to be asked for tokens. */
struct account_quota_asked {
	const struct member *holders[RATE_LIMIT_MAX_ASKED];
	uint32_t count;
	uint32_t tokens; /* to ask each for */
};

/*
 * Whom to ask for so many tokens: a holder in this region, another one if that
 * had none or didn't answer, then holders of other regions in turn, or several
 * at once that share the tokens asked for. draw: a random number from 0 to 1.
 * False if there is nobody to ask.
 */
bool account_quota_ask(struct account_quota *quota,
		       const struct account_quota_place *place, uint32_t tokens,
		       uint64_t far_round_trip_us, double draw, uint64_t now_us,
		       struct account_quota_asked *asked);

/*
 * Applies a holder's answer; ignored if it wasn't asked. Once all had none, no
 * more are asked for wait_us.
 */
void account_quota_apply_loan(struct account_quota *quota,
			      const struct account_quota_place *place,
			      uint32_t holder, uint32_t lent, uint64_t wait_us,
			      uint64_t now_us);

/* What a node knows when it decides whether it may use a part. */
struct account_quota_standing {
	bool members_loaded; /* the list of nodes was read */
	bool was_listed; /* it had this node before this process started */
	uint64_t up_us; /* age of the process */
	uint64_t contact_age_us; /* since the platform or a node of the region
				    was heard */
};

/*
 * Whether the node may use a part that falls to it. A new node waits until the
 * holder that it replaces must know of it; a node that hears nobody stops
 * before, as another may have replaced it.
 */
bool account_quota_may_hold(const struct account_quota_standing *standing);

#ifdef __cplusplus
}
#endif

#endif
