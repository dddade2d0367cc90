#include "core/account_quota.h"

#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/hash.h"

/* Parts in each region, so that an account survives the loss of a holder. */
#define PARTS_PER_REGION 2

/* Smallest burst of a part: one of less than one token would lend none. */
#define MIN_PART_BURST 2.0

/*
 * Time from a token's leaving its bucket to the end of the request's way to the
 * server: the life of a loan, a round trip between regions and a connection to
 * open.
 */
#define TOKEN_LIFE_US (500 * US_PER_MS)

/*
 * Without a burst, the rate leaves room for one. Its least fraction that is
 * used for smaller parts, of which there are then more.
 */
#define MIN_RATE 0.9

/*
 * A node that hears neither the platform nor a node of its region for
 * MAX_SILENCE_US stops using its parts. A new node waits for longer.
 */
#define MAX_SILENCE_US (3 * US_PER_S)
#define NEW_NODE_DELAY_US (5 * US_PER_S)

struct account_quota_total
account_quota_total(const struct account *account,
		    const struct account_quota_rule *rule, uint32_t regions)
{
	double window_s = (double)rule->window_us / (double)US_PER_S;
	double life_s = (double)TOKEN_LIFE_US / (double)US_PER_S;
	double most_parts = PARTS_PER_REGION * (double)regions;
	double allowed = (account->per_s * window_s + account->burst) *
				 (1 + rule->overage) +
			 rule->slack;
	/* The rate at which each part still has its smallest burst. */
	double fitting_per_s =
		(allowed - MIN_PART_BURST * most_parts) / (window_s + life_s);
	struct account_quota_total total;

	total.per_s = fmin(account->per_s * (1 + rule->overage / 2),
			   fmax(fitting_per_s, account->per_s * MIN_RATE));
	total.burst = allowed - total.per_s * (window_s + life_s);
	if (total.burst < MIN_PART_BURST) {
		total.burst = fmin(MIN_PART_BURST, allowed);
		total.per_s = (allowed - total.burst) / (window_s + life_s);
	}
	total.parts = (uint32_t)fmax(
		fmin(floor(total.burst / MIN_PART_BURST), most_parts), 1);
	return total;
}

uint32_t account_quota_holders(const struct account *account, uint32_t parts,
			       const GPtrArray *regions, const char *region)
{
	uint32_t count = regions->len;
	uint32_t first;
	uint32_t i;

	if (!count)
		return parts;
	/* The parts go to the regions in turn, from one given by the hash. */
	first = account->hash % count;
	for (i = 0; i < count; i++)
		if (!strcmp(regions->pdata[(first + i) % count], region))
			return parts / count + (i < parts % count);
	return 0;
}

bool account_quota_may_hold(const struct account_quota_standing *standing)
{
	return standing->members_loaded &&
	       (standing->was_listed || standing->up_us >= NEW_NODE_DELAY_US) &&
	       standing->contact_age_us < MAX_SILENCE_US;
}
