#include "edge/sync_internal.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/duration.h"

/* Logs the first refused answer in a row, the second, the fourth and so on. */
static bool refuse(struct sync *sync, const char *call, const char *text)
{
	metric_add(sync->edge->stats.registry_misplaced, 1);
	sync->misplaced++;
	if (!(sync->misplaced & (sync->misplaced - 1)))
		log_event(LOG_WARNING, "registry-era-refused",
			  "call=%s era=\"%.16s\" known=%u answers=%u", call,
			  text ? text : "", sync->era, sync->misplaced);
	return false;
}

static bool parse_era(const char *text, uint32_t *era)
{
	guint64 number;

	if (!text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &number, NULL))
		return false;
	*era = (uint32_t)number;
	return true;
}

/* Held calls go on from versions that have become meaningless. */
static void reread_tables(struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		struct follower *follower = &sync->followers[i];

		if (follower->version.era == sync->era)
			continue;
		follower_begin_full_read(follower);
		if (lane_is_busy(&follower->lane) &&
		    !lane_is_receiving(&follower->lane))
			lane_abort(&follower->lane, "restored");
		follower_step_later(follower, 0);
	}
}

bool sync_place_answer(struct sync *sync, const struct message *answer,
		       const char *call)
{
	const char *header = sync->edge->registry->vtable->era_header;
	const char *text = message_header(answer, header);
	uint32_t era = 0;

	/* A platform that has never told an era has none. */
	if (!text && !sync->era_known)
		return true;
	if (!parse_era(text, &era) || era < sync->era)
		return refuse(sync, call, text);
	sync->misplaced = 0;
	if (!sync->era_known || era > sync->era) {
		sync_begin_era(sync, era, call);
		reread_tables(sync);
	}
	return true;
}

static bool has_loaded_any(const struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (sync->followers[i].confirmed_us)
			return true;
	return false;
}

void sync_begin_era(struct sync *sync, uint32_t era, const char *source)
{
	struct edge *edge = sync->edge;
	uint32_t before = sync->era;

	log_event(before ? LOG_WARNING : LOG_INFO, "registry-era",
		  "era=%u before=%u source=%s", era, before, source);
	sync->era = era;
	sync->era_known = true;
	if (era == before || !has_loaded_any(sync))
		return;
	metric_add(edge->stats.registry_restores, 1);
	/* Peers are asked first, as at a start of all nodes. */
	sync->started_us = edge_now_us(edge);
}
