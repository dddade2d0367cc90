#include "edge/sync_internal.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"

/*
 * Percentages of sync_change_deadline_us(): the hold of a call for routes, the
 * hold of one for backend servers, the interval between two of these, and how
 * long a digest's confirmation is valid. A call that is answered at once is
 * followed by a pause and a held call, so a confirmation gets as old as
 * interval and hold together. The rest of the time is left for this node's own
 * call, after one that failed.
 */
#define CONFIG_HOLD_PERCENT 36
#define HOLD_PERCENT 20
#define INTERVAL_PERCENT 36
#define CONFIRMATION_TTL_PERCENT 72
G_STATIC_ASSERT(HOLD_PERCENT + INTERVAL_PERCENT < CONFIRMATION_TTL_PERCENT);

/*
 * Members' rows may be late, since heartbeats show which nodes are live. A
 * confirmation outlasts two calls of the reader.
 */
#define MEMBERS_INTERVAL_US (20 * US_PER_S)
#define MEMBERS_CONFIRMATION_TTL_US (50 * US_PER_S)

/*
 * Minimum time between two reads because of a mismatch: where this node has the
 * newer table, the peer has caught up by then. Members are less urgent, and all
 * rows change when all nodes start.
 */
#define MISMATCH_INTERVAL_US (800 * US_PER_MS)
#define MEMBERS_MISMATCH_INTERVAL_US (2 * US_PER_S)

/*
 * Peers asked about a mismatch before the platform is. Only one for routes:
 * they are urgent, and a large document doesn't fit a peer's link.
 */
#define MAX_PEER_ATTEMPTS 8

/*
 * Longest transfer of backend rows: they get out of date as they arrive, and a
 * new connection may be fast where this one is slow. A page of 1 MB takes 0.8 s
 * over 10 Mbit/s, which callers' traffic may fill at the same time.
 */
#define BACKENDS_MAX_TRANSFER_US (5 * US_PER_S)

/*
 * Changes larger than this percentage of the whole table hold more than its
 * newest rows: the table is read in full instead. Below the minimum in bytes
 * either is fast.
 */
#define MAX_CHANGES_PERCENT 150
#define MIN_CHANGES_LIMIT_BYTES (64 * 1024)

/* Estimate of a row's field names and version in an answer, in bytes. */
#define ROW_OVERHEAD_BYTES 200

const struct follow_rule follow_rules[FOLLOWERS] = {
	/*
	 * Changes are rare and must be in force soon: held calls. Nothing is
	 * confirmed until a held call is answered, and a broken connection
	 * shows only by its time-out. So the hold plus a heartbeat's delay
	 * stays below the confirmation's TTL, and the hold plus the time-out
	 * close to the change deadline.
	 */
	{
		.name = "config",
		.table = REGISTRY_CONFIG,
		.hold.percent = CONFIG_HOLD_PERCENT,
		.interval.us = 50 * US_PER_MS,
		.confirmation_ttl.percent = CONFIRMATION_TTL_PERCENT,
		.max_transfer_us = SYNC_MAX_TRANSFER_US,
		.mismatch_interval_us = MISMATCH_INTERVAL_US,
		.max_peer_attempts = 1,
		.rereads_when_behind = true,
		.apply = apply_config_row,
		.prune = prune_config,
	},
	/* The hold is short, so that a time-out also detects a broken path. */
	{
		.name = "backends",
		.table = REGISTRY_BACKENDS,
		.hold.percent = HOLD_PERCENT,
		.interval.percent = INTERVAL_PERCENT,
		.confirmation_ttl.percent = CONFIRMATION_TTL_PERCENT,
		.max_transfer_us = BACKENDS_MAX_TRANSFER_US,
		.mismatch_interval_us = MISMATCH_INTERVAL_US,
		.max_peer_attempts = MAX_PEER_ATTEMPTS,
		.apply = apply_backend_row,
		.prune = prune_backends,
	},
	{
		.name = "members",
		.table = REGISTRY_MEMBERS,
		.hold.us = 15 * US_PER_S,
		.interval.us = MEMBERS_INTERVAL_US,
		.confirmation_ttl.us = MEMBERS_CONFIRMATION_TTL_US,
		.max_transfer_us = SYNC_MAX_TRANSFER_US,
		.mismatch_interval_us = MEMBERS_MISMATCH_INTERVAL_US,
		.max_peer_attempts = MAX_PEER_ATTEMPTS,
		.apply = apply_member_row,
		.prune = prune_members,
	},
};

/* Time within which a change at the platform must be in force here. */
uint64_t sync_change_deadline_us(const struct edge *edge)
{
	return MIN(edge->settings.leave_within_us,
		   edge->settings.config_within_us);
}

uint64_t follow_time_to_us(const struct follower *follower,
			   const struct follow_time *time)
{
	if (!time->percent)
		return time->us;
	return sync_change_deadline_us(follower->sync->edge) * time->percent /
	       100;
}

static bool reads_for_region(const struct sync *sync)
{
	const struct edge *edge = sync->edge;

	return member_table_is_reader(edge->members, edge_now_us(edge));
}

uint32_t sync_own_rank(const struct sync *sync)
{
	if (!sync->followers[REGISTRY_MEMBERS].confirmed_us)
		return READ_RANK_UNKNOWN;
	return member_table_reader_rank(sync->edge->members);
}

/* A node must read the members from the platform before it knows any peer. */
static uint32_t read_rank(const struct follower *follower)
{
	if (follower->rule->table == REGISTRY_MEMBERS &&
	    !follower->confirmed_us)
		return 0;
	return sync_own_rank(follower->sync);
}

/* Whether the last confirmation is older than its TTL. */
static bool confirmation_expired(const struct follower *follower)
{
	uint64_t until_us =
		follower->confirmed_us +
		follow_time_to_us(follower, &follower->rule->confirmation_ttl);

	return until_us <= edge_now_us(follower->sync->edge);
}

/*
 * Whether its calls fail and are being retried. Where a digest confirms the
 * table there are no calls, and the path's recovery would go unnoticed.
 */
static bool is_retrying(const struct follower *follower)
{
	return follower->failures && confirmation_expired(follower);
}

static void fill_state(const struct follower *follower,
		       struct read_state *state)
{
	const struct sync *sync = follower->sync;
	const struct member *peer;

	state->is_reader = reads_for_region(sync);
	state->loaded = follower->loaded;
	state->rank = read_rank(follower);
	state->has_peers =
		member_table_first_readers(sync->edge->members, &peer, 1) > 0;
	state->started_us = sync->started_us;
	state->confirmed_us = follower->confirmed_us;
	state->confirmation_ttl_us =
		follow_time_to_us(follower, &follower->rule->confirmation_ttl);
	state->version_differs = follower_has_mismatch(follower);
	state->other_table_fails =
		follower->rule->table != REGISTRY_BACKENDS &&
		is_retrying(&sync->followers[REGISTRY_BACKENDS]);
	state->peer_attempts = follower->peer_attempts;
	state->max_peer_attempts = follower->rule->max_peer_attempts;
}

void follower_step(struct follower *follower)
{
	struct read_state state;
	struct read_step step;

	fill_state(follower, &state);
	read_plan(&state, edge_now_us(follower->sync->edge), &step);
	follower->cause = step.cause;
	if (step.source == READ_PLATFORM) {
		follower_call(follower);
		return;
	}
	if (step.source == READ_PEER)
		sync_ask_peer(follower->sync);
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
 * How long the platform may hold a call. Only the reader holds calls, to learn
 * of changes at once; other nodes call because of a mismatch, whose rows are at
 * the platform already.
 */
static uint64_t wait_us(const struct follower *follower)
{
	/*
	 * After a failure changes are likely to be there, and a fast answer
	 * tests the path.
	 */
	if (follower->failures)
		return 0;
	if (!reads_for_region(follower->sync))
		return 0;
	return follow_time_to_us(follower, &follower->rule->hold);
}

static uint64_t base64_bytes(uint64_t bytes)
{
	return (bytes + 2) / 3 * 4;
}

/* Whether more than the latest change may be missing here. */
static bool may_be_behind(const struct follower *follower)
{
	return follower_has_mismatch(follower) ||
	       confirmation_expired(follower);
}

/* Size limit of an answer with changes, in bytes; 0: no limit of its own. */
static uint64_t max_changes_bytes(const struct follower *follower)
{
	uint64_t whole_bytes = 0;
	GHashTableIter iter;
	gpointer value;

	if (!follower->rule->rereads_when_behind || !follower->loaded ||
	    !may_be_behind(follower))
		return 0;
	g_hash_table_iter_init(&iter, follower->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		whole_bytes += base64_bytes(strlen(value)) + ROW_OVERHEAD_BYTES;
	return MAX(whole_bytes * MAX_CHANGES_PERCENT / 100,
		   MIN_CHANGES_LIMIT_BYTES);
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
	lane_limit_body(&follower->lane, max_changes_bytes(follower));
	if (follower->loaded) {
		registry->vtable->build_follow(registry, rule->table,
					       follower->version.number,
					       wait_us(follower), &call);
		timeout_us += wait_us(follower);
	} else {
		registry->vtable->build_read(
			registry, rule->table,
			follower->page_key ? follower->page_key : "", &call);
	}
	follower->called_us = edge_now_us(edge);
	follower->call_full_reads = follower->full_reads;
	follower->call_continues = follower->loaded || follower->page_key;
	follower->call_era = follower->loaded ? follower->version.era :
						follower->page_version.era;
	follower->superseded = false;
	log_event(LOG_DEBUG, "registry-call", "table=%s whole=%s cause=%s",
		  rule->name, follower->loaded ? "yes" : "no",
		  read_cause_name(follower->cause));
	stats_count_read(&edge->stats, follower->cause);
	lane_call(&follower->lane, call.method, call.target, call.body,
		  timeout_us, follower_answered, follower);
	registry_call_release(&call);
}
