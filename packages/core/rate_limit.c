#include "core/rate_limit.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "core/duration.h"

/* Length of the largest rate with six decimal places. */
#define MAX_TEXT_LENGTH 16

/* The server of an older update no longer has this limit. */
#define MAX_UPDATE_AGE_US (600 * US_PER_S)

/*
 * Smallest quota, unless there would be too few holders to tolerate the loss of
 * one. Smaller quotas add up to a larger burst.
 */
#define MIN_QUOTA_PER_S 2.0
#define MIN_HOLDERS 2

/*
 * A bucket holds one request, plus its share of TOTAL_BURST requests or the
 * quota of BURST_US, whichever is more. Nodes of other regions borrow only once
 * per round trip.
 */
#define TOTAL_BURST 2.0
#define BURST_US (150 * US_PER_MS)

/*
 * Lifetime of borrowed tokens after they were asked for, and time to wait for
 * an answer before another holder is asked, both besides the round trip: a few
 * round trips within a region, on busy nodes.
 */
#define LOAN_TTL_US (300 * US_PER_MS)
#define ANSWER_TIMEOUT_US (100 * US_PER_MS)

/* Tokens borrowed at one time. */
#define MAX_LOAN 64

/* Longest wait that a holder asks for, since its quota may change. */
#define MAX_RETRY_DELAY_US (500 * US_PER_MS)

/*
 * After the limit is lifted, the last rate doubles in each RAMP_DOUBLING_US,
 * and is unlimited after RAMP_US.
 */
#define RAMP_DOUBLING_US (250 * US_PER_MS)
#define RAMP_US (2 * US_PER_S)

/*
 * A higher rate is ignored for this long after a lower one: each change of a
 * rate that flaps would be broadcast to all nodes.
 */
#define RAISE_DELAY_US (300 * US_PER_MS)

bool rate_limit_parse(const char *text, double *per_s)
{
	size_t length = strlen(text);
	double value;

	if (!length || length > MAX_TEXT_LENGTH ||
	    strspn(text, "0123456789.") != length ||
	    strchr(text, '.') != strrchr(text, '.') ||
	    !g_ascii_isdigit(text[length - 1]))
		return false;
	value = g_ascii_strtod(text, NULL);
	if (value < RATE_LIMIT_MIN_PER_S || value > RATE_LIMIT_MAX_PER_S)
		return false;
	*per_s = value;
	return true;
}

bool rate_limit_update_is_valid(const struct rate_update *update)
{
	if (update->age_us > MAX_UPDATE_AGE_US || !isfinite(update->per_s))
		return false;
	return update->per_s == 0 || (update->per_s >= RATE_LIMIT_MIN_PER_S &&
				      update->per_s <= RATE_LIMIT_MAX_PER_S);
}

double rate_limit_effective(const struct rate_limit *limit, uint64_t now_us)
{
	uint64_t since_us = now_us - MIN(now_us, limit->learned_us);

	if (limit->per_s > 0)
		return limit->per_s;
	if (!limit->previous_per_s || since_us >= RAMP_US)
		return 0;
	return limit->previous_per_s *
	       exp2((double)since_us / (double)RAMP_DOUBLING_US);
}

bool rate_limit_is_limited(const struct rate_limit *limit, uint64_t now_us)
{
	return rate_limit_effective(limit, now_us) > 0;
}

static bool is_stricter(double per_s, double known_per_s)
{
	return per_s > 0 && (known_per_s == 0 || per_s < known_per_s);
}

/* Whether a higher rate learned at at_us follows a lower one too soon. */
static bool is_too_early(const struct rate_limit *limit, uint64_t at_us)
{
	return limit->per_s > 0 && at_us - limit->learned_us < RAISE_DELAY_US;
}

static void set_rate(struct rate_limit *limit, double per_s, uint64_t at_us,
		     uint64_t now_us)
{
	/* The bucket starts empty: a flapping rate would fill it each time. */
	if (!limit->per_s) {
		limit->quota_per_s = 0;
		limit->tokens = 0;
		limit->filled_us = now_us;
	}
	if (per_s == 0)
		limit->previous_per_s = limit->per_s;
	limit->per_s = per_s;
	limit->learned_us = at_us;
}

bool rate_limit_apply_answer(struct rate_limit *limit, double per_s,
			     uint64_t sent_us, uint64_t now_us)
{
	if (per_s == limit->per_s) {
		if (per_s > 0)
			limit->learned_us = now_us;
		return false;
	}
	if (!is_stricter(per_s, limit->per_s) &&
	    (sent_us < limit->learned_us || is_too_early(limit, now_us)))
		return false;
	set_rate(limit, per_s, now_us, now_us);
	return true;
}

bool rate_limit_apply_update(struct rate_limit *limit, double per_s,
			     uint64_t at_us, uint64_t now_us)
{
	if (per_s == limit->per_s || at_us <= limit->learned_us)
		return false;
	if (!is_stricter(per_s, limit->per_s) && is_too_early(limit, at_us))
		return false;
	set_rate(limit, per_s, at_us, now_us);
	return true;
}

/* How many of these nodes hold quotas of the rate. */
static uint32_t count_holders(double per_s, uint32_t nodes)
{
	uint32_t holders = (uint32_t)fmin(ceil(per_s / MIN_QUOTA_PER_S), nodes);

	return MIN(MAX(holders, MIN_HOLDERS), MAX(nodes, 1));
}

double rate_limit_quota(const struct member_table *members, const char *region,
			uint32_t hash, double per_s)
{
	uint32_t nodes = member_table_region_count(members, region);
	uint32_t holders;
	uint32_t rank;

	if (nodes) {
		rank = member_table_region_rank(members, region, hash);
	} else {
		nodes = member_table_count(members);
		rank = member_table_rank(members, hash);
	}
	holders = count_holders(per_s, nodes);
	return rank < holders ? per_s / holders : 0;
}

const struct member *rate_limit_pick_holder(const struct rate_limit *limit,
					    const struct member_table *members,
					    const char *region, uint32_t hash,
					    double draw, uint64_t now_us)
{
	uint32_t nodes = member_table_region_count(members, region);
	double per_s = rate_limit_effective(limit, now_us);

	return member_table_region_pick(members, region, hash,
					count_holders(per_s, nodes),
					limit->refused_by, draw, now_us);
}

static double burst(const struct rate_limit *limit, uint64_t now_us)
{
	double per_s = rate_limit_effective(limit, now_us);
	double share = per_s > 0 ? limit->quota_per_s / per_s : 0;
	double burst_s = (double)BURST_US / (double)US_PER_S;

	if (limit->burst > 0)
		return limit->burst;
	return 1.0 + fmax(TOTAL_BURST * share, limit->quota_per_s * burst_s);
}

double rate_limit_tokens(const struct rate_limit *limit, uint64_t now_us)
{
	double since_s = (double)(now_us - limit->filled_us) / (double)US_PER_S;

	return fmin(burst(limit, now_us),
		    limit->tokens + since_s * limit->quota_per_s);
}

static void refill(struct rate_limit *limit, uint64_t now_us)
{
	limit->tokens = rate_limit_tokens(limit, now_us);
	limit->filled_us = now_us;
}

void rate_limit_set_quota(struct rate_limit *limit, double quota_per_s,
			  uint64_t now_us)
{
	refill(limit, now_us);
	limit->quota_per_s = quota_per_s;
}

void rate_limit_configure(struct rate_limit *limit, double per_s,
			  double quota_per_s, double burst, uint64_t now_us)
{
	if (!limit->per_s) {
		limit->tokens = 0;
		limit->filled_us = now_us;
	}
	limit->per_s = per_s;
	limit->burst = burst;
	rate_limit_set_quota(limit, quota_per_s, now_us);
	/* The bucket may hold less than before. */
	refill(limit, now_us);
}

static bool has_loan(const struct rate_limit *limit, uint64_t now_us)
{
	return limit->borrowed && now_us < limit->borrowed_until_us;
}

bool rate_limit_may_borrow(const struct rate_limit *limit, uint64_t now_us)
{
	if (limit->asked_count &&
	    now_us - limit->asked_us < ANSWER_TIMEOUT_US + limit->round_trip_us)
		return false;
	return rate_limit_is_limited(limit, now_us) &&
	       now_us >= limit->ask_again_us;
}

uint32_t rate_limit_begin_borrowing(struct rate_limit *limit,
				    uint64_t round_trip_us, uint64_t now_us)
{
	uint32_t tokens = MIN(limit->missed + 1, MAX_LOAN);

	if (!has_loan(limit, now_us))
		limit->borrowed = 0;
	limit->asked_count = 0;
	limit->asked_us = now_us;
	limit->round_trip_us = round_trip_us;
	limit->missed = 0;
	return tokens;
}

bool rate_limit_mark_asked(struct rate_limit *limit, uint32_t holder)
{
	uint32_t i;

	if (limit->asked_count == RATE_LIMIT_MAX_ASKED)
		return false;
	for (i = 0; i < limit->asked_count; i++)
		if (limit->asked[i] == holder)
			return false;
	limit->asked[limit->asked_count++] = holder;
	return true;
}

void rate_limit_count_miss(struct rate_limit *limit)
{
	limit->missed++;
}

uint32_t rate_limit_lend(struct rate_limit *limit, uint32_t max_tokens,
			 uint64_t now_us, uint64_t *wait_us)
{
	uint32_t lent;

	*wait_us = 0;
	refill(limit, now_us);
	if (rate_limit_is_limited(limit, now_us) && limit->tokens >= 1) {
		lent = (uint32_t)fmin(limit->tokens, MIN(max_tokens, MAX_LOAN));
		limit->tokens -= lent;
		return lent;
	}
	*wait_us = MAX_RETRY_DELAY_US;
	if (limit->quota_per_s > 0)
		*wait_us = (uint64_t)fmin((1 - limit->tokens) /
						  limit->quota_per_s * US_PER_S,
					  MAX_RETRY_DELAY_US);
	return 0;
}

/* Whether an answer of the holder was pending; it no longer is. */
static bool remove_asked(struct rate_limit *limit, uint32_t holder)
{
	uint32_t i;

	for (i = 0; i < limit->asked_count; i++)
		if (limit->asked[i] == holder)
			break;
	if (i == limit->asked_count)
		return false;
	limit->asked[i] = limit->asked[--limit->asked_count];
	return true;
}

void rate_limit_apply_loan(struct rate_limit *limit, uint32_t holder,
			   uint32_t lent, uint64_t wait_us, uint64_t now_us)
{
	if (!remove_asked(limit, holder))
		return;
	if (lent) {
		limit->refused_by = 0;
		limit->borrowed += MIN(lent, MAX_LOAN);
		limit->borrowed_until_us =
			limit->asked_us + limit->round_trip_us + LOAN_TTL_US;
	} else if (!limit->refused_by) {
		limit->refused_by = holder;
	} else if (!limit->asked_count && !limit->borrowed) {
		limit->refused_by = 0;
		limit->ask_again_us = now_us + MIN(wait_us, MAX_RETRY_DELAY_US);
	}
}

bool rate_limit_allows(const struct rate_limit *limit, uint64_t now_us)
{
	return !rate_limit_is_limited(limit, now_us) ||
	       has_loan(limit, now_us) || rate_limit_tokens(limit, now_us) >= 1;
}

bool rate_limit_take(struct rate_limit *limit, uint64_t now_us)
{
	if (!rate_limit_is_limited(limit, now_us))
		return false;
	limit->sent++;
	if (has_loan(limit, now_us)) {
		limit->borrowed--;
		return true;
	}
	refill(limit, now_us);
	limit->tokens -= 1;
	return true;
}

void rate_limit_give_back(struct rate_limit *limit, uint64_t now_us)
{
	limit->sent--;
	if (limit->quota_per_s > 0) {
		refill(limit, now_us);
		limit->tokens += 1;
	} else if (now_us < limit->borrowed_until_us) {
		limit->borrowed++;
	}
}
