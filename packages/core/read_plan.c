#include "core/read_plan.h"

#include <glib.h>

#include "core/duration.h"

/*
 * How long a starting node waits for its peers. If all start at once, the first
 * nodes have read the tables by then.
 */
#define START_WAIT_US (1500 * US_PER_MS)

/* Between two requests to peers, while none has the table. */
#define ASK_INTERVAL_US (150 * US_PER_MS)

/*
 * Retry delays, doubled from the minimum to the maximum. The first nodes'
 * maximum and a call's timeout add up to less than 2 s, in which they notice
 * that the platform is back. The others' maximum is the extra delay of a node
 * whose first nodes are lost.
 */
#define RETRY_MIN_US (200 * US_PER_MS)
#define RETRY_FIRST_NODES_MAX_US (400 * US_PER_MS)
#define RETRY_MAX_US (1600 * US_PER_MS)

/* Random fraction of a retry delay. */
#define RETRY_JITTER 0.25

/* Maximum fraction of a node's link for answers to peers. */
#define SERVE_LINK_FRACTION 0.5

/* Answers not sent yet take memory; maximum, in time on the link. */
#define SERVE_BACKLOG_MAX_US (100 * US_PER_MS)

static void set_step(struct read_step *step, enum read_source source,
		     enum read_cause cause, uint64_t wait_us)
{
	step->source = source;
	step->cause = cause;
	step->wait_us = wait_us;
}

/*
 * After a power failure all nodes of a region may start at once. If each read
 * the tables from the platform, that would be the peak load of its store; if
 * each waited for another, none would serve. So the first nodes in a fixed
 * order read them. The others wait for those, but not long, since the first
 * ones may be lost.
 */
static void plan_start(const struct read_state *state, uint64_t now_us,
		       struct read_step *step)
{
	if (state->rank < READ_FIRST_NODES ||
	    now_us >= state->started_us + START_WAIT_US)
		set_step(step, READ_PLATFORM, READ_AT_START, 0);
	else if (state->rank == READ_RANK_UNKNOWN || !state->has_peers)
		set_step(step, READ_NONE, READ_AT_START, ASK_INTERVAL_US);
	else
		set_step(step, READ_PEER, READ_AT_START, ASK_INTERVAL_US);
}

/*
 * Whether the retries for another table suffice: they show when the platform is
 * back, so this node needn't retry for this one, too. The first nodes of the
 * region retry for each table.
 */
static bool leaves_retry_to_other_table(const struct read_state *state)
{
	return state->other_table_fails && state->rank >= READ_FIRST_NODES;
}

void read_plan(const struct read_state *state, uint64_t now_us,
	       struct read_step *step)
{
	uint64_t until_us = state->confirmed_us + state->confirmation_ttl_us;

	if (!state->loaded)
		plan_start(state, now_us, step);
	else if (state->is_reader)
		set_step(step, READ_PLATFORM, READ_AS_READER, 0);
	else if (until_us <= now_us && leaves_retry_to_other_table(state))
		set_step(step, READ_NONE, READ_CONFIRMATION_EXPIRED,
			 RETRY_MAX_US);
	else if (until_us <= now_us)
		set_step(step, READ_PLATFORM, READ_CONFIRMATION_EXPIRED, 0);
	else if (!state->version_differs)
		set_step(step, READ_NONE, READ_UP_TO_DATE, until_us - now_us);
	else if (state->peer_attempts < state->max_peer_attempts &&
		 state->has_peers)
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
	/* 1 Mbit/s is one bit per microsecond. */
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
