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
 * Requests beyond the rate at one time, in seconds of it: those that come while
 * tokens are lent.
 */
#define MIN_BURST_S 0.1

/* Without a burst, the rate leaves room for one, down to this fraction. */
#define MIN_RATE 0.9

/* Regions that are asked in turn for a request, besides this one. */
#define MAX_FAR 2

/* Longest time without asking after all had no tokens: rates may change. */
#define MAX_PAUSE_US (500 * US_PER_MS)

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
	/* What may run in each window, spread evenly. */
	double even_per_s = account->per_s + account->burst / window_s;
	/* The rate that leaves room for the smallest burst. */
	double min_burst =
		fmax(MIN_PART_BURST * most_parts, account->per_s * MIN_BURST_S);
	double fitting_per_s = (allowed - min_burst) / (window_s + life_s);
	struct account_quota_total total;

	total.per_s = fmin(even_per_s,
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

void account_quota_update(struct account_quota *quota,
			  const struct account *account,
			  const struct account_quota_rule *rule,
			  const struct account_quota_place *place,
			  uint64_t now_us)
{
	struct account_quota_total total;
	uint32_t holders;
	bool holds;

	quota->hash = account->hash;
	if (!(account->per_s > 0)) {
		quota->limit.per_s = 0;
		return;
	}
	total = account_quota_total(account, rule, MAX(place->regions->len, 1));
	holders = account_quota_holders(account, total.parts, place->regions,
					place->region);
	holds = place->may_hold &&
		member_table_region_rank(place->members, place->region,
					 account->hash) < holders;
	quota->parts = total.parts;
	rate_limit_configure(&quota->limit, total.per_s,
			     holds ? total.per_s / total.parts : 0,
			     holds ? total.burst / total.parts : 1, now_us);
}

static uint32_t holders_in(const struct account_quota *quota,
			   const struct account_quota_place *place,
			   const char *region)
{
	const struct account account = { .hash = quota->hash };

	return account_quota_holders(&account, quota->parts, place->regions,
				     region);
}

/* Adds a node of the region that holds a part, other than the excluded one. */
static void add_holder(struct account_quota *quota,
		       const struct account_quota_place *place,
		       const char *region, uint32_t excluded, double draw,
		       uint64_t now_us, struct account_quota_asked *asked)
{
	uint32_t holders = holders_in(quota, place, region);
	const struct member *holder = NULL;

	if (holders)
		holder = member_table_region_pick(place->members, region,
						  quota->hash, holders,
						  excluded, draw, now_us);
	if (holder && rate_limit_mark_asked(&quota->limit, holder->hash))
		asked->holders[asked->count++] = holder;
}

/* Adds holders of other regions, from the one that is next, up to most. */
static void add_far_holders(struct account_quota *quota,
			    const struct account_quota_place *place,
			    uint32_t most, double draw, uint64_t now_us,
			    struct account_quota_asked *asked)
{
	uint32_t count = place->regions->len;
	uint32_t i;

	for (i = 0; i < count && asked->count < most; i++) {
		const char *region =
			place->regions->pdata[quota->first_far++ % count];

		if (strcmp(region, place->region) != 0)
			add_holder(quota, place, region, 0, draw, now_us,
				   asked);
	}
}

bool account_quota_ask(struct account_quota *quota,
		       const struct account_quota_place *place, uint32_t tokens,
		       uint64_t far_round_trip_us, double draw, uint64_t now_us,
		       struct account_quota_asked *asked)
{
	struct rate_limit *limit = &quota->limit;
	uint32_t near = holders_in(quota, place, place->region);

	memset(asked, 0, sizeof(*asked));
	/* One that didn't answer counts like one that had none. */
	if (limit->asked_count) {
		limit->refused_by = limit->asked[0];
		quota->refusals++;
	}
	rate_limit_begin_borrowing(limit, 0, now_us);
	if (quota->refusals < near)
		add_holder(quota, place, place->region, limit->refused_by, draw,
			   now_us, asked);
	if (!asked->count) {
		if (quota->refusals <= near)
			quota->first_far = (uint32_t)(draw * 997);
		limit->round_trip_us = far_round_trip_us;
		add_far_holders(quota, place, MIN(tokens, RATE_LIMIT_MAX_ASKED),
				draw, now_us, asked);
	}
	if (asked->count)
		asked->tokens = (tokens + asked->count - 1) / asked->count;
	return asked->count > 0;
}

/* Holders that a request may ask in turn: here, then in two other regions. */
static uint32_t max_refusals(const struct account_quota *quota,
			     const struct account_quota_place *place)
{
	uint32_t far = place->regions->len ? place->regions->len - 1 : 0;

	return holders_in(quota, place, place->region) + MIN(far, MAX_FAR);
}

void account_quota_apply_loan(struct account_quota *quota,
			      const struct account_quota_place *place,
			      uint32_t holder, uint32_t lent, uint64_t wait_us,
			      uint64_t now_us)
{
	struct rate_limit *limit = &quota->limit;
	uint32_t due = limit->asked_count;

	limit->refused_by = 0;
	rate_limit_apply_loan(limit, holder, lent, wait_us, now_us);
	if (limit->asked_count == due)
		return;
	if (lent) {
		quota->refusals = 0;
		return;
	}
	limit->refused_by = holder;
	if (++quota->refusals < max_refusals(quota, place) ||
	    limit->asked_count || limit->borrowed)
		return;
	quota->refusals = 0;
	limit->refused_by = 0;
	limit->ask_again_us = now_us + MIN(wait_us, MAX_PAUSE_US);
}

bool account_quota_may_hold(const struct account_quota_standing *standing)
{
	return standing->members_loaded &&
	       (standing->was_listed || standing->up_us >= NEW_NODE_DELAY_US) &&
	       standing->contact_age_us < MAX_SILENCE_US;
}
