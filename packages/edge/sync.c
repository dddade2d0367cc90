#include "edge/sync_internal.h"

#include "core/duration.h"

/*
 * Added to the age of a confirmation, since a heartbeat's age field doesn't
 * count its own transit: one way across a continent, half of that time in a
 * queue and 0.25 s on a narrow link.
 */
#define HEARTBEAT_DELAY_US (400 * US_PER_MS)

/*
 * At the first start of all nodes each writes its row at a random time within
 * FIRST_ROW_JITTER_US, since a table accepts some 200 writes per second, and
 * then reads the others' rows.
 */
#define FIRST_ROW_JITTER_US (1500 * US_PER_MS)
#define FIRST_MEMBERS_DELAY_US (2 * US_PER_S)

/*
 * Own row is written after this time even if the members' table can't be read.
 */
#define OWN_ROW_MAX_DELAY_US (1500 * US_PER_MS)

static void follower_open(struct follower *follower, struct sync *sync,
			  const struct follow_rule *rule)
{
	struct edge *edge = sync->edge;

	follower->sync = sync;
	follower->rule = rule;
	follower->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	follower->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	follower->unconfirmed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lane_init(&follower->lane, edge->loop, &edge->settings.registry,
		  rule->max_transfer_us);
	uv_timer_init(edge->loop, &follower->timer);
	follower->timer.data = follower;
}

/*
 * The members' table is needed first: it names the peers that the other tables
 * can be had from. At the first start of all nodes it is empty until they have
 * written it.
 */
static void schedule_first_steps(struct sync *sync)
{
	struct edge *edge = sync->edge;
	uint64_t members_us = 0;
	uint64_t own_us = OWN_ROW_MAX_DELAY_US;
	uint32_t i;

	if (edge->settings.first_start) {
		members_us = FIRST_MEMBERS_DELAY_US;
		own_us = (uint64_t)(g_random_double() * FIRST_ROW_JITTER_US);
	}
	sync->started_us = edge_now_us(edge) + members_us;
	sync_write_own_row_later(sync, own_us);
	for (i = 0; i < FOLLOWERS; i++)
		follower_step_later(&sync->followers[i], members_us);
}

struct sync *sync_open(struct edge *edge)
{
	struct sync *sync = g_new0(struct sync, 1);
	uint32_t i;

	sync->edge = edge;
	edge->sync = sync;
	lane_init(&sync->own_lane, edge->loop, &edge->settings.registry,
		  SYNC_MAX_TRANSFER_US);
	lane_init(&sync->peer_lane, edge->loop, &edge->settings.peer,
		  SYNC_MAX_TRANSFER_US);
	uv_timer_init(edge->loop, &sync->own_timer);
	sync->own_timer.data = sync;
	uv_timer_init(edge->loop, &sync->settle_timer);
	sync->settle_timer.data = sync;
	for (i = 0; i < FOLLOWERS; i++)
		follower_open(&sync->followers[i], sync, &follow_rules[i]);
	schedule_first_steps(sync);
	return sync;
}

void sync_close(struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		lane_close(&sync->followers[i].lane);
		uv_close((uv_handle_t *)&sync->followers[i].timer, NULL);
		g_hash_table_destroy(sync->followers[i].seen);
		g_hash_table_destroy(sync->followers[i].rows);
		g_hash_table_destroy(sync->followers[i].unconfirmed);
		g_free(sync->followers[i].page_key);
	}
	lane_close(&sync->own_lane);
	lane_close(&sync->peer_lane);
	g_clear_pointer(&sync->snapshot, g_bytes_unref);
	uv_close((uv_handle_t *)&sync->own_timer, NULL);
	uv_close((uv_handle_t *)&sync->settle_timer, NULL);
}

void sync_became_ready(struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (!lane_is_busy(&sync->followers[i].lane))
			follower_step_later(&sync->followers[i], 0);
}

uint32_t sync_table_states(const struct sync *sync,
			   struct sync_table_state *states)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		const struct follower *follower = &sync->followers[i];

		states[i].name = follower->rule->name;
		states[i].version = follower->version.number;
		states[i].era = follower->version.era;
		states[i].loaded = follower->loaded;
		states[i].confirmed_us = follower->confirmed_us;
		states[i].failures = follower->failures;
	}
	return FOLLOWERS;
}

uint64_t sync_routes_age_us(const struct sync *sync)
{
	const struct follower *follower = &sync->followers[REGISTRY_CONFIG];

	if (!follower->confirmed_us)
		return UINT64_MAX;
	return edge_now_us(sync->edge) - follower->confirmed_us;
}

bool sync_may_deny(const struct sync *sync)
{
	const struct follower *follower;

	if (!sync)
		return false;
	follower = &sync->followers[REGISTRY_CONFIG];
	return sync->edge->routes && follower->loaded &&
	       !sync->routes_unreadable && !sync->routes_reverted &&
	       edge_now_us(sync->edge) >= sync->restored_until_us &&
	       follower->mismatched_us <= follower->confirmed_us &&
	       !lane_is_receiving(&follower->lane) &&
	       sync_routes_age_us(sync) + HEARTBEAT_DELAY_US <=
		       sync->edge->settings.config_within_us;
}

uint64_t sync_expiry_grace_left_us(const struct sync *sync)
{
	uint64_t now_us = edge_now_us(sync->edge);

	return sync->expiry_grace_until_us > now_us ?
		       sync->expiry_grace_until_us - now_us :
		       0;
}

void sync_redirect(struct sync *sync, const struct endpoint *to)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		lane_set_address(&sync->followers[i].lane, to);
	lane_set_address(&sync->own_lane, to);
}

void sync_refresh(struct sync *sync)
{
	uint32_t i;

	/*
	 * An answer that arrives goes on: aborted at each suspension, one that
	 * takes longer than the time between two of them would never complete.
	 */
	for (i = 0; i < FOLLOWERS; i++)
		if (!lane_is_receiving(&sync->followers[i].lane))
			lane_abort(&sync->followers[i].lane, "suspended");
}
