#include "edge/sync_parts.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"

/*
 * Of the time within which a change must be known: how long a call for routes
 * is held, one for backend servers, the time from one of these to the next, and
 * how long a neighbour's word is good. A call that is answered at once is
 * followed by a pause and one that is held, so the word is up to the sum of the
 * first two old. The rest is for a call of one's own, after one that failed.
 */
#define CONFIG_WAIT_PERCENT 36
#define WAIT_PERCENT 20
#define SPACING_PERCENT 36
#define WORD_PERCENT 72
G_STATIC_ASSERT(WAIT_PERCENT + SPACING_PERCENT < WORD_PERCENT);

/*
 * Members' rows may be known late: beats tell who lives. The word outlasts two
 * of the reader's own calls.
 */
#define MEMBERS_SPACING_US (20 * US_PER_S)
#define MEMBERS_WORD_US (50 * US_PER_S)

/*
 * Between two calls because a neighbour knows otherwise: where this node is the
 * one that knows more, the neighbour has caught up by then. Members may be
 * known later than the rest, and all change theirs when all start.
 */
#define MISMATCH_US (800 * US_PER_MS)
#define MEMBERS_MISMATCH_US (2 * US_PER_S)

/*
 * Neighbours asked for what differs before the platform is. One for routes: a
 * large document doesn't fit a neighbour's link, and must be there soon.
 */
#define ASKS_MOST 8

/*
 * An answer about backend servers: what it says grows old as it comes,
 * and a new connection may be quick where this one trickles. A page of 1 MB
 * takes 0.8 s over 10 Mbit/s, which callers' traffic may fill at the time.
 */
#define BACKENDS_ARRIVAL_US (5 * US_PER_S)

/*
 * Changes that are so much larger than the whole table hold more than its
 * newest rows: it is read whole instead. Below the least size either is quick.
 */
#define CHANGES_MOST_PERCENT 150
#define CHANGES_MOST_LEAST (64 * 1024)

/* A row's names and version in an answer. */
#define ROW_OVERHEAD 200

const struct follow_rule follow_rules[FOLLOWERS] = {
	/*
	 * Changes are rare and must be in force soon: held calls. Until one is
	 * answered nothing is confirmed, and a connection that fell silent
	 * shows when it isn't: the hold and what a beat needs stay below a
	 * neighbour's word, hold and time-out near the time within which a
	 * change must be known.
	 */
	{
		.name = "config",
		.table = REGISTRY_CONFIG,
		.wait.percent = CONFIG_WAIT_PERCENT,
		.spacing.us = 50 * US_PER_MS,
		.word.percent = WORD_PERCENT,
		.arrival_most_us = SYNC_ARRIVAL_MOST_US,
		.mismatch_us = MISMATCH_US,
		.asks_most = 1,
		.reads_anew = true,
		.apply = apply_config_row,
		.prune = prune_config,
	},
	/* Held for so short that its answers tell of the path, too. */
	{
		.name = "backends",
		.table = REGISTRY_BACKENDS,
		.wait.percent = WAIT_PERCENT,
		.spacing.percent = SPACING_PERCENT,
		.word.percent = WORD_PERCENT,
		.arrival_most_us = BACKENDS_ARRIVAL_US,
		.mismatch_us = MISMATCH_US,
		.asks_most = ASKS_MOST,
		.apply = apply_backend_row,
		.prune = prune_backends,
	},
	{
		.name = "members",
		.table = REGISTRY_MEMBERS,
		.wait.us = 15 * US_PER_S,
		.spacing.us = MEMBERS_SPACING_US,
		.word.us = MEMBERS_WORD_US,
		.arrival_most_us = SYNC_ARRIVAL_MOST_US,
		.mismatch_us = MEMBERS_MISMATCH_US,
		.asks_most = ASKS_MOST,
		.apply = apply_member_row,
		.prune = prune_members,
	},
};

/* How soon what the platform says must be known here. */
uint64_t sync_change_within_us(const struct edge *edge)
{
	return MIN(edge->settings.leave_within_us,
		   edge->settings.config_within_us);
}

uint64_t follower_time_us(const struct follower *follower,
			  const struct follow_time *time)
{
	if (!time->percent)
		return time->us;
	return sync_change_within_us(follower->sync->edge) * time->percent /
	       100;
}

static bool reads_for_region(const struct sync *sync)
{
	const struct edge *edge = sync->edge;

	return member_table_reads(edge->members, edge_now_us(edge));
}

uint32_t sync_own_rank(const struct sync *sync)
{
	if (!sync->followers[REGISTRY_MEMBERS].whole)
		return READ_RANK_UNKNOWN;
	return member_table_read_rank(sync->edge->members);
}

/* Nobody can tell a node which nodes there are before it has read that. */
static uint32_t read_rank(const struct follower *follower)
{
	if (follower->rule->table == REGISTRY_MEMBERS)
		return 0;
	return sync_own_rank(follower->sync);
}

/* Whether nobody has vouched for the table for as long as a word is good. */
static bool word_is_old(const struct follower *follower)
{
	uint64_t until_us = follower->confirmed_us +
			    follower_time_us(follower, &follower->rule->word);

	return until_us <= edge_now_us(follower->sync->edge);
}

/*
 * Whether its calls fail and go on. Where a neighbour's word spares them they
 * don't, and nobody would notice that the path is back.
 */
static bool tries_path(const struct follower *follower)
{
	return follower->failures && word_is_old(follower);
}

static void fill_state(const struct follower *follower,
		       struct read_state *state)
{
	const struct sync *sync = follower->sync;
	const struct member *neighbour;

	state->is_reader = reads_for_region(sync);
	state->whole = follower->whole;
	state->rank = read_rank(follower);
	state->has_neighbours = member_table_first_readers(sync->edge->members,
							   &neighbour, 1) > 0;
	state->started_us = sync->started_us;
	state->confirmed_us = follower->confirmed_us;
	state->word_us = follower_time_us(follower, &follower->rule->word);
	state->differs = follower_differs(follower);
	state->path_fails = follower->rule->table != REGISTRY_BACKENDS &&
			    tries_path(&sync->followers[REGISTRY_BACKENDS]);
	state->asks = follower->asks;
	state->asks_most = follower->rule->asks_most;
}

void follower_step(struct follower *follower)
{
	struct read_state state;
	struct read_step step;

	fill_state(follower, &state);
	read_plan(&state, edge_now_us(follower->sync->edge), &step);
	follower->cause = step.cause;
	if (step.from == READ_PLATFORM) {
		follower_call(follower);
		return;
	}
	if (step.from == READ_NEIGHBOUR)
		sync_ask_neighbour(follower->sync);
	follower_step_later(follower, step.wait_us);
}

static void on_step_time(uv_timer_t *timer)
{
	follower_step(timer->data);
}

void follower_step_later(struct follower *follower, uint64_t delay_us)
{
	uv_timer_start(&follower->timer, on_step_time,
		       (delay_us + US_PER_MS - 1) / US_PER_MS, 0);
}

/*
 * A held call tells of a change at once. A node that has a neighbour's word
 * calls because the word differs: what there is to know is there already.
 */
static uint64_t wait_us(const struct follower *follower)
{
	/* After a failure there is much to know, and the path to be tried. */
	if (follower->failures)
		return 0;
	if (!reads_for_region(follower->sync))
		return 0;
	return follower_time_us(follower, &follower->rule->wait);
}

static uint64_t base64_bytes(uint64_t bytes)
{
	return (bytes + 2) / 3 * 4;
}

/* Whether more than the latest change may have been missed. */
static bool may_be_behind(const struct follower *follower)
{
	return follower_differs(follower) || word_is_old(follower);
}

/* How large an answer about changes may be; 0: as large as any. */
static uint64_t changes_most(const struct follower *follower)
{
	uint64_t whole_bytes = 0;
	GHashTableIter iter;
	gpointer value;

	if (!follower->rule->reads_anew || !follower->whole ||
	    !may_be_behind(follower))
		return 0;
	g_hash_table_iter_init(&iter, follower->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		whole_bytes += base64_bytes(strlen(value)) + ROW_OVERHEAD;
	return MAX(whole_bytes * CHANGES_MOST_PERCENT / 100,
		   CHANGES_MOST_LEAST);
}

void follower_call(struct follower *follower)
{
	struct edge *edge = follower->sync->edge;
	const struct registry *registry = edge->registry;
	const struct follow_rule *rule = follower->rule;
	uint64_t timeout_us = SYNC_CALL_TIMEOUT_US;
	struct registry_call call;

	if (lane_is_busy(&follower->lane))
		return;
	lane_limit_body(&follower->lane, changes_most(follower));
	if (follower->whole) {
		registry->vtable->build_follow(registry, rule->table,
					       follower->version,
					       wait_us(follower), &call);
		timeout_us += wait_us(follower);
	} else {
		registry->vtable->build_read(
			registry, rule->table,
			follower->page_key ? follower->page_key : "", &call);
	}
	follower->called_us = edge_now_us(edge);
	follower->overtaken = false;
	log_event(LOG_DEBUG, "registry-call", "table=%s whole=%s cause=%s",
		  rule->name, follower->whole ? "yes" : "no",
		  read_cause_name(follower->cause));
	stats_count_read(&edge->stats, follower->cause);
	lane_call(&follower->lane, call.method, call.target, call.body,
		  timeout_us, follower_answered, follower);
	registry_call_release(&call);
}
