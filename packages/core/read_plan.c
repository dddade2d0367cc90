#include "core/read_plan.h"

#include <glib.h>

#include "core/duration.h"

/*
 * How long a node that starts waits for its neighbours. Where all start at
 * once, the first ones have read the tables by then.
 */
#define START_WAIT_US (1500 * US_PER_MS)

/* Between two questions to neighbours, while none has the table. */
#define ASK_AGAIN_US (150 * US_PER_MS)

/*
 * Pause before a call is repeated after a failure, doubled up to the most. The
 * most of the first nodes: with a call's time-out they know within 2 s that the
 * platform is back. Of the others: what a node without them may know late.
 */
#define RETRY_LEAST_US (200 * US_PER_MS)
#define RETRY_FIRST_NODES_MOST_US (400 * US_PER_MS)
#define RETRY_MOST_US (1600 * US_PER_MS)

/* Part of a pause that is drawn. */
#define RETRY_SPREAD 0.25

/* Part of a node's link that answers to neighbours may take. */
#define GIVE_PART 0.5

/* Answers that have not left yet take up memory: this much of the link's time.
 */
#define GIVE_AHEAD_US (100 * US_PER_MS)

static void set_step(struct read_step *step, enum read_from from,
		     enum read_cause cause, uint64_t wait_us)
{
	step->from = from;
	step->cause = cause;
	step->wait_us = wait_us;
}

/*
 * All nodes of a region may have started at once, after a loss of power. If
 * each read the tables, that would be the largest load that the store ever
 * sees; if each waited for another, nobody would serve. So the first ones of a
 * fixed order read, and the rest waits for them, but not for long: they may be
 * the ones that are lost.
 */
static void plan_start(const struct read_state *state, uint64_t now_us,
		       struct read_step *step)
{
	if (state->rank < READ_FIRST_NODES ||
	    now_us >= state->started_us + START_WAIT_US)
		set_step(step, READ_PLATFORM, READ_STARTS, 0);
	else if (state->rank == READ_RANK_UNKNOWN || !state->has_neighbours)
		set_step(step, READ_NOBODY, READ_STARTS, ASK_AGAIN_US);
	else
		set_step(step, READ_NEIGHBOUR, READ_STARTS, ASK_AGAIN_US);
}

/* One table's calls tell for all whether the platform is back. */
static bool waits_for_path(const struct read_state *state)
{
	return state->path_fails && state->rank >= READ_FIRST_NODES;
}

void read_plan(const struct read_state *state, uint64_t now_us,
	       struct read_step *step)
{
	uint64_t until_us = state->confirmed_us + state->word_us;

	if (!state->whole)
		plan_start(state, now_us, step);
	else if (state->is_reader)
		set_step(step, READ_PLATFORM, READ_FOLLOWS, 0);
	else if (until_us <= now_us && waits_for_path(state))
		set_step(step, READ_NOBODY, READ_WORD_OLD, RETRY_MOST_US);
	else if (until_us <= now_us)
		set_step(step, READ_PLATFORM, READ_WORD_OLD, 0);
	else if (!state->differs)
		set_step(step, READ_NOBODY, READ_IN_TIME, until_us - now_us);
	else if (state->asks < state->asks_most && state->has_neighbours)
		set_step(step, READ_NEIGHBOUR, READ_WORD_DIFFERS, ASK_AGAIN_US);
	else
		set_step(step, READ_PLATFORM, READ_WORD_DIFFERS, 0);
}

const char *read_cause_name(enum read_cause cause)
{
	switch (cause) {
	case READ_FOLLOWS:
		return "follows";
	case READ_STARTS:
		return "starts";
	case READ_WORD_DIFFERS:
		return "word-differs";
	case READ_WORD_OLD:
		return "word-old";
	case READ_MEMBER_UNKNOWN:
		return "member-unknown";
	case READ_IN_TIME:
		return "in-time";
	case READ_CAUSES:
		break;
	}
	return "unknown";
}

uint64_t read_retry_us(uint32_t failures, uint32_t rank, double spread)
{
	uint64_t most_us = rank < READ_FIRST_NODES ? RETRY_FIRST_NODES_MOST_US :
						     RETRY_MOST_US;
	uint32_t doubled = MIN(failures, 8) - MIN(failures, 1);
	uint64_t pause_us = MIN(RETRY_LEAST_US << doubled, most_us);

	return (uint64_t)((double)pause_us * (1.0 - RETRY_SPREAD * spread));
}

bool read_may_give(uint64_t *busy_until_us, uint64_t bytes, uint32_t link_mbps,
		   uint64_t now_us)
{
	/* One Mbit/s is one bit in a microsecond. */
	double us = 8.0 * (double)bytes / (GIVE_PART * MAX(link_mbps, 1));
	uint64_t takes_us = (uint64_t)us;

	if (takes_us > GIVE_AHEAD_US || *busy_until_us > now_us + GIVE_AHEAD_US)
		return false;
	*busy_until_us =
		takes_us + (*busy_until_us > now_us ? *busy_until_us : now_us);
	return true;
}
