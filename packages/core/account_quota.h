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
 * The largest rate and burst with which at most (rate * window + burst) * (1 +
 * overage) + slack requests run in any window, with tokens that are lent for
 * some time. regions: number of regions.
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
