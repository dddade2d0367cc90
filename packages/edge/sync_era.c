#include "edge/sync_internal.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/quarantine_store.h"

/*
 * Operators write their rows again within seconds of a restore, and so do
 * nodes, once their turn comes. What the restored tables lack holds until then,
 * and no longer.
 */
#define UNCONFIRMED_KEEP_US (5 * US_PER_S)

/*
 * All nodes write their rows again, at a random time within a span that grows
 * with their number: a table accepts some 200 writes per second.
 */
#define OWN_ROW_JITTER_US (500 * US_PER_MS)
#define OWN_ROW_JITTER_PER_MEMBER_US (10 * US_PER_MS)

/* Logs the first refused answer in a row, the second, the fourth and so on. */
static bool refuse(struct sync *sync, const char *call, const char *text)
{
	metric_add(sync->edge->stats.registry_era_refused, 1);
	sync->refused_eras++;
	if (!(sync->refused_eras & (sync->refused_eras - 1)))
		log_event(LOG_WARNING, "registry-era-refused",
			  "call=%s era=\"%.16s\" known=%u answers=%u", call,
			  text ? text : "", sync->era, sync->refused_eras);
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

		if (follower->version.era != sync->era &&
		    (follower->loaded || follower->page_key))
			follower_restart(follower);
	}
}

bool sync_check_era(struct sync *sync, const struct message *answer,
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
	sync->refused_eras = 0;
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

/* The span in which all nodes write their rows again. */
static uint64_t own_rows_span_us(const struct sync *sync)
{
	return OWN_ROW_JITTER_US +
	       OWN_ROW_JITTER_PER_MEMBER_US *
		       member_table_count(sync->edge->members);
}

static void rewrite_own_row(struct sync *sync)
{
	double span_us = (double)own_rows_span_us(sync);

	sync->own_row_current = false;
	sync->own_row_lost = true;
	sync_write_own_row_later(sync, (uint64_t)(g_random_double() * span_us));
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
	sync->expiry_grace_until_us = edge_now_us(edge) + EXPIRY_GRACE_US;
	sync->restored_until_us = edge_now_us(edge) + UNCONFIRMED_KEEP_US;
	rewrite_own_row(sync);
	if (edge->quarantines)
		quarantine_store_rewrite(edge->quarantines);
	/* Peers are asked first, as at a start of all nodes. */
	sync->started_us = edge_now_us(edge);
}

/* Whoever still writes the rows has written them by now. */
static void on_settle_time(uv_timer_t *timer)
{
	struct sync *sync = timer->data;
	uint32_t i;

	sync->started_us = edge_now_us(sync->edge);
	for (i = 0; i < FOLLOWERS; i++) {
		struct follower *follower = &sync->followers[i];

		if (!g_hash_table_size(follower->unconfirmed))
			continue;
		g_hash_table_remove_all(follower->unconfirmed);
		follower_restart(follower);
	}
}

void follower_keep_unconfirmed(struct follower *follower,
			       struct row_version version)
{
	bool is_first = follower->confirmed_us &&
			version.era != follower->version.era;
	uint64_t keep_us =
		UNCONFIRMED_KEEP_US + own_rows_span_us(follower->sync);
	GHashTableIter iter;
	gpointer key;

	if (!is_first && !g_hash_table_size(follower->unconfirmed))
		return;
	g_hash_table_iter_init(&iter, follower->rows);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_contains(follower->seen, key) ||
		    (!is_first &&
		     !g_hash_table_contains(follower->unconfirmed, key)))
			continue;
		g_hash_table_add(follower->seen, g_strdup(key));
		g_hash_table_add(follower->unconfirmed, g_strdup(key));
	}
	log_event(LOG_INFO, "rows-unconfirmed", "table=%s rows=%u",
		  follower->rule->name,
		  g_hash_table_size(follower->unconfirmed));
	if (is_first)
		uv_timer_start(&follower->sync->settle_timer, on_settle_time,
			       keep_us / US_PER_MS, 0);
}

void follower_confirm_row(struct follower *follower, const char *key)
{
	g_hash_table_remove(follower->unconfirmed, key);
}
