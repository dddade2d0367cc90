#include "edge/sync_internal.h"

#include "adapters/log.h"
#include "core/duration.h"

static void on_own_row_timer(uv_timer_t *timer)
{
	sync_write_own_row(timer->data);
}

void sync_write_own_row_later(struct sync *sync, uint64_t delay_us)
{
	uv_timer_start(&sync->own_timer, on_own_row_timer, delay_us / US_PER_MS,
		       0);
}

static void on_own_row_written(void *context, const struct message *answer,
			       const char *cause)
{
	struct sync *sync = context;
	uint64_t retry_us;

	if (answer && sync_check_era(sync, answer, "own-row") &&
	    answer->status == 200) {
		sync->own_row_current = true;
		sync->own_row_lost = false;
		sync->own_failures = 0;
		return;
	}
	retry_us = read_retry_delay_us(++sync->own_failures,
				       sync_own_rank(sync), g_random_double());
	log_event(LOG_WARNING, "own-row", "written=no status=%u cause=%s",
		  answer ? answer->status : 0, cause ? cause : "status");
	sync_write_own_row_later(sync, retry_us);
}

void sync_write_own_row(struct sync *sync)
{
	struct edge *edge = sync->edge;
	struct member_record record = {
		.domain = edge->settings.domain,
		.region = edge->settings.region,
		.front = edge->settings.front,
		.peer = edge->settings.peer,
		.link_mbps = (uint32_t)edge->settings.link_mbps,
	};
	struct registry_call call;

	if (lane_is_busy(&sync->own_lane) || sync->own_row_current)
		return;
	edge->registry->vtable->build_put_member(
		edge->registry, edge->settings.name, &record, &call);
	metric_add(edge->stats.registry_writes, 1);
	lane_call(&sync->own_lane, call.method, call.target, call.body,
		  SYNC_CALL_TIMEOUT_US, on_own_row_written, sync);
	registry_call_release(&call);
}

static void on_member_removed(void *context, const struct message *answer,
			      const char *cause)
{
	if (answer)
		sync_check_era(context, answer, "member-struck");
	log_event(LOG_INFO, "member-struck", "done=%s cause=%s",
		  answer && answer->status == 200 ? "yes" : "no",
		  cause ? cause : "");
}

void sync_remove_lost_member(struct sync *sync)
{
	struct edge *edge = sync->edge;
	const struct member *lost = member_table_find_expired(
		edge->members, edge->settings.member_expiry_us,
		edge_now_us(edge));
	struct registry_call call;

	if (!lost || lane_is_busy(&sync->own_lane) || !sync->own_row_current)
		return;
	log_event(LOG_INFO, "member-lost", "member=%s", lost->name);
	edge->registry->vtable->build_put_member(edge->registry, lost->name,
						 NULL, &call);
	metric_add(edge->stats.registry_writes, 1);
	lane_call(&sync->own_lane, call.method, call.target, call.body,
		  SYNC_CALL_TIMEOUT_US, on_member_removed, sync);
	registry_call_release(&call);
	member_table_remove(edge->members, lost->name);
}
