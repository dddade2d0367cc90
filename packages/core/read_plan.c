#include "core/read_plan.h"

#include <glib.h>

#include "core/duration.h"

/*
 * How long a node that starts waits for its neighbours. Where all start at
 * once, the first ones have read the tables by then.
 */
#define START_WAIT_US (1500 * US_PER_MS)

/* Between two questions to neighbours, while none has the table. */
#define ASK_INTERVAL_US (150 * US_PER_MS)

/*
 * Pause before a call is repeated after a failure, doubled up to the most. The
 * most of the first nodes: with a call's time-out they know within 2 s that the
 * platform is back. Of the others: what a node without them may know late.
 */
#define RETRY_MIN_US (200 * US_PER_MS)
#define RETRY_FIRST_NODES_MAX_US (400 * US_PER_MS)
#define RETRY_MAX_US (1600 * US_PER_MS)

/* Part of a pause that is drawn. */
#define RETRY_JITTER 0.25

/* Part of a node's link that answers to neighbours may take. */
#define SERVE_LINK_FRACTION 0.5

/* Answers that have not left yet take up memory: this much of the link's time.
 */
#define SERVE_BACKLOG_MAX_US (100 * US_PER_MS)

static void set_step(struct read_step *step, enum read_source from,
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
		set_step(step, READ_PLATFORM, READ_AT_START, 0);
	else if (state->rank == READ_RANK_UNKNOWN || !state->has_neighbours)
		set_step(step, READ_NONE, READ_AT_START, ASK_INTERVAL_US);
	else
		set_step(step, READ_PEER, READ_AT_START, ASK_INTERVAL_US);
}

/* One table's calls tell for all whether the platform is back. */
static bool leaves_retry_to_other_table(const struct read_state *state)
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
		set_step(step, READ_PLATFORM, READ_AS_READER, 0);
	else if (until_us <= now_us && leaves_retry_to_other_table(state))
		set_step(step, READ_NONE, READ_CONFIRMATION_EXPIRED,
			 RETRY_MAX_US);
	else if (until_us <= now_us)
		set_step(step, READ_PLATFORM, READ_CONFIRMATION_EXPIRED, 0);
	else if (!state->differs)
		set_step(step, READ_NONE, READ_UP_TO_DATE, until_us - now_us);
	else if (state->asks < state->asks_most && state->has_neighbours)
		set_step(step, READ_PEER, READ_VERSION_DIFFERS,
			 ASK_INTERVAL_US);
	else
		set_step(step, READ_PLATFORM, READ_VERSION_DIFFERS, 0);
}

const char *read_cause_name(enum read_cause cause)
{
	switch (cause) {
	case READ_AS_READER:
		return "follows";
	case READ_AT_START:
		return "starts";
	case READ_VERSION_DIFFERS:
		return "word-differs";
	case READ_CONFIRMATION_EXPIRED:
		return "word-old";
	case READ_MEMBER_UNKNOWN:
		return "member-unknown";
	case READ_UP_TO_DATE:
		return "in-time";
	case READ_CAUSE_COUNT:
		break;
	}
	return "unknown";
}

uint64_t read_retry_delay_us(uint32_t failures, uint32_t rank, double jitter)
{
	uint64_t max_us = rank < READ_FIRST_NODES ? RETRY_FIRST_NODES_MAX_US :
						    RETRY_MAX_US;
	uint32_t doubled = MIN(failures, 8) - MIN(failures, 1);
	uint64_t pause_us = MIN(RETRY_MIN_US << doubled, max_us);

	return (uint64_t)((double)pause_us * (1.0 - RETRY_JITTER * jitter));
}

bool read_may_serve_peer(uint64_t *busy_until_us, uint64_t bytes,
			 uint32_t link_mbps, uint64_t now_us)
{
	/* One Mbit/s is one bit in a microsecond. */
	double us =
		8.0 * (double)bytes / (SERVE_LINK_FRACTION * MAX(link_mbps, 1));
	uint64_t takes_us = (uint64_t)us;

	if (takes_us > SERVE_BACKLOG_MAX_US ||
	    *busy_until_us > now_us + SERVE_BACKLOG_MAX_US)
		return false;
	*busy_until_us =
		takes_us + (*busy_until_us > now_us ? *busy_until_us : now_us);
	return true;
}
