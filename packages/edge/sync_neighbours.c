#include "edge/sync_parts.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/hash.h"
#include "edge/snapshot.h"

/* --- hearsay at the start ----------------------------------------------- */

/* Neighbours tell of changes without the row; what has left is known by now. */
static bool row_holds(const struct follower *follower, const char *key)
{
	const struct edge *edge = follower->sync->edge;
	const struct backend *backend;

	if (follower->rule->table != REGISTRY_BACKENDS)
		return true;
	backend = backend_table_find(edge->backends, key);
	return backend && !backend->draining;
}

static void add_rows(const struct follower *follower,
		     struct snapshot_writer *writer)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, follower->rows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct snapshot_row row = { follower->rule->table, key,
						  value };

		if (row_holds(follower, key))
			snapshot_add(writer, &row);
	}
}

GBytes *sync_snapshot(const struct sync *sync)
{
	struct snapshot_writer writer;
	uint32_t i;

	snapshot_begin(&writer);
	for (i = 0; i < FOLLOWERS; i++)
		add_rows(&sync->followers[i], &writer);
	return snapshot_end(&writer);
}

static void take_hearsay_row(void *context, const struct snapshot_row *row)
{
	struct sync *sync = context;
	const struct registry_row known = {
		.key = (char *)row->key,
		.value = (char *)row->value,
	};

	if (row->table >= FOLLOWERS)
		return;
	follower_keep_row(&sync->followers[row->table], &known);
	sync->followers[row->table].rule->apply(sync, &known);
}

static void on_snapshot(void *context, const struct message *answer,
			const char *cause)
{
	struct sync *sync = context;
	struct edge *edge = sync->edge;

	if (!answer || answer->status != 200 ||
	    !snapshot_read(answer->body->data, answer->body->len,
			   take_hearsay_row, sync)) {
		log_event(LOG_WARNING, "hearsay", "taken=no status=%u cause=%s",
			  answer ? answer->status : 0,
			  cause ? cause : "answer");
		return;
	}
	edge->backends->whole = g_hash_table_size(edge->backends->by_id) > 0;
	log_event(LOG_INFO, "hearsay",
		  "taken=yes from=%s routes_version=%" PRIu64 " backends=%u",
		  sync->neighbour.to.address,
		  edge->routes ? edge->routes->version : 0,
		  g_hash_table_size(edge->backends->by_id));
}

static bool is_cut_off(const struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (!sync->followers[i].failures)
			return false;
	return true;
}

void sync_heard_neighbour(struct sync *sync, const struct endpoint *from)
{
	struct edge *edge = sync->edge;

	if ((edge->routes && edge->backends->whole) || !is_cut_off(sync) ||
	    lane_is_busy(&sync->neighbour))
		return;
	lane_redirect(&sync->neighbour, from);
	lane_call(&sync->neighbour, "GET", SNAPSHOT_PATH, NULL,
		  SYNC_CALL_TIMEOUT_US, on_snapshot, sync);
}

/* --- one reader a region ------------------------------------------------ */

static uint64_t config_digest(const struct edge *edge)
{
	uint64_t digest = edge->routes ? edge->routes->version : 0;
	GHashTableIter iter;
	gpointer domain;

	g_hash_table_iter_init(&iter, edge->backends->evacuated);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		digest += hash_pair(hash_text(domain), 0);
	return digest;
}

static uint64_t digest_of(const struct follower *follower)
{
	const struct edge *edge = follower->sync->edge;

	switch (follower->rule->table) {
	case REGISTRY_CONFIG:
		return config_digest(edge);
	case REGISTRY_BACKENDS:
		return backend_table_digest(edge->backends);
	case REGISTRY_MEMBERS:
		break;
	}
	return member_table_digest(edge->members);
}

/*
 * A reader whose newest routes can't be read knows no routes to vouch for: its
 * neighbours, content with the same old ones, would never ask.
 */
static bool is_unread(const struct follower *follower)
{
	return follower->rule->table == REGISTRY_CONFIG &&
	       follower->sync->routes_unread;
}

uint32_t sync_vouches(const struct sync *sync, struct beat_vouch *vouches)
{
	uint64_t now_us = edge_now_us(sync->edge);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		const struct follower *follower = &sync->followers[i];

		if (!follower->whole || is_unread(follower))
			continue;
		vouches[count].table = follower->rule->table;
		vouches[count].digest = digest_of(follower);
		vouches[count].age_ms =
			(uint32_t)((now_us - follower->confirmed_us) /
				   US_PER_MS);
		count++;
	}
	return count;
}

void sync_vouched(struct sync *sync, const struct beat_vouch *vouch)
{
	uint64_t now_us = edge_now_us(sync->edge);
	struct follower *follower;
	uint64_t at_us;

	if (vouch->table >= FOLLOWERS)
		return;
	follower = &sync->followers[vouch->table];
	at_us = now_us - MIN(now_us, vouch->age_ms * US_PER_MS);
	if (!follower->whole || at_us <= follower->confirmed_us)
		return;
	if (vouch->digest == digest_of(follower)) {
		follower->confirmed_us = at_us;
		follower->answered_us = MAX(follower->answered_us, at_us);
		return;
	}
	follower->doubted_us = MAX(follower->doubted_us, at_us);
	if (now_us - follower->called_us > follower->rule->mismatch_us)
		follower_call(follower);
}

void sync_read_members(struct sync *sync)
{
	struct follower *follower = &sync->followers[REGISTRY_MEMBERS];
	uint64_t since_us = edge_now_us(sync->edge) - follower->called_us;

	if (since_us > follower->rule->mismatch_us)
		follower_call(follower);
}
