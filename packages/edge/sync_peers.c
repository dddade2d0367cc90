#include "edge/sync_internal.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/hash.h"
#include "edge/backend_row.h"
#include "edge/snapshot.h"

/*
 * A snapshot is reused for all peers that ask within this time, since most ask
 * at once. The ages in it are raised by the same amount.
 */
#define SNAPSHOT_TTL_US (100 * US_PER_MS)

/*
 * Time-out until a peer's answer begins: peers of the region are near, and
 * another peer or the platform can be asked instead.
 */
#define SNAPSHOT_TIMEOUT_US (300 * US_PER_MS)

static bool is_unreadable(const struct follower *follower);

/* --- serving snapshots -------------------------------------------------- */

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

		snapshot_add_row(writer, &row);
	}
}

static void add_backends(const struct edge *edge,
			 struct snapshot_writer *writer)
{
	uint64_t now_us = edge_now_us(edge);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;
		struct heartbeat_row row;

		if (backend->expire_us) {
			snapshot_add_expired(writer, backend->id);
			continue;
		}
		backend_row_fill(backend, now_us, &row);
		snapshot_add_backend(writer, &row);
	}
}

static void add_table(const struct follower *follower,
		      struct snapshot_writer *writer)
{
	const struct edge *edge = follower->sync->edge;
	uint64_t age_us = edge_now_us(edge) - follower->confirmed_us;
	const struct snapshot_table table = {
		.table = follower->rule->table,
		.version = follower->version,
		.age_ms = (uint32_t)MIN((age_us + SNAPSHOT_TTL_US) / US_PER_MS,
					UINT32_MAX),
	};

	snapshot_add_table(writer, &table);
	if (follower->rule->table == REGISTRY_BACKENDS)
		add_backends(edge, writer);
	else
		add_rows(follower, writer);
}

/* Omits tables that this node hasn't loaded or can't decode. */
static GBytes *make_snapshot(const struct sync *sync, uint32_t tables)
{
	struct snapshot_writer writer;
	uint32_t i;

	snapshot_begin(&writer);
	for (i = 0; i < FOLLOWERS; i++) {
		const struct follower *follower = &sync->followers[i];

		if (tables & SNAPSHOT_TABLE(follower->rule->table) &&
		    follower->loaded && !is_unreadable(follower))
			add_table(follower, &writer);
	}
	return snapshot_end(&writer);
}

GBytes *sync_snapshot(struct sync *sync, uint32_t tables)
{
	const struct edge *edge = sync->edge;
	uint64_t now_us = edge_now_us(edge);
	bool fits;

	if (!sync->snapshot || sync->snapshot_tables != tables ||
	    now_us - sync->snapshot_us > SNAPSHOT_TTL_US) {
		g_clear_pointer(&sync->snapshot, g_bytes_unref);
		sync->snapshot = make_snapshot(sync, tables);
		sync->snapshot_tables = tables;
		sync->snapshot_us = now_us;
	}
	fits = read_may_serve_peer(&sync->link_busy_until_us,
				   g_bytes_get_size(sync->snapshot),
				   (uint32_t)edge->settings.link_mbps, now_us);
	if (!fits)
		return NULL;
	metric_add(edge->stats.snapshots_served, 1);
	return g_bytes_ref(sync->snapshot);
}

/* --- requesting snapshots ----------------------------------------------- */

/* A peer's snapshot while it is decoded. */
struct snapshot_import {
	struct sync *sync;
	bool accepts[FOLLOWERS];
	struct snapshot_table tables[FOLLOWERS];
};

/*
 * Accepts a table that was requested and isn't older than this node's: the peer
 * may be the one that is behind.
 */
static void import_table(void *context, const struct snapshot_table *table)
{
	struct snapshot_import *import = context;
	struct sync *sync = import->sync;
	struct follower *follower;

	if (table->table >= FOLLOWERS ||
	    !(sync->requested_tables & SNAPSHOT_TABLE(table->table)))
		return;
	follower = &sync->followers[table->table];
	if (table->version.era < sync->era ||
	    (follower->loaded &&
	     row_version_is_older(table->version, follower->version)))
		return;
	if (table->version.era > sync->era)
		sync_begin_era(sync, table->version.era, "peer");
	import->accepts[table->table] = true;
	import->tables[table->table] = *table;
	g_hash_table_remove_all(follower->seen);
	g_clear_pointer(&follower->page_key, g_free);
}

static void import_row(void *context, const struct snapshot_row *row)
{
	struct snapshot_import *import = context;
	const struct registry_row known = {
		.key = (char *)row->key,
		.value = (char *)row->value,
	};
	struct follower *follower;

	if (row->table >= FOLLOWERS || !import->accepts[row->table] ||
	    row->table == REGISTRY_BACKENDS)
		return;
	follower = &import->sync->followers[row->table];
	g_hash_table_add(follower->seen, g_strdup(row->key));
	/* A peer may have only kept it: the restored table may lack it. */
	if (row->table == REGISTRY_MEMBERS && import->sync->own_row_lost &&
	    !strcmp(row->key, import->sync->edge->settings.name))
		return;
	follower_apply_row(follower, &known);
}

static void log_if_leaving(const struct edge *edge,
			   const struct heartbeat_row *backend)
{
	const struct backend *known =
		backend_table_find(edge->backends, backend->id);

	if (known && !row_version_is_older(backend->version, known->version) &&
	    known->draining != backend->draining)
		log_event(LOG_INFO, "backend-given", "backend=%s draining=%s",
			  backend->id, backend->draining ? "yes" : "no");
}

static void import_backend(void *context, const struct heartbeat_row *backend)
{
	struct snapshot_import *import = context;
	struct follower *follower = &import->sync->followers[REGISTRY_BACKENDS];

	if (!import->accepts[REGISTRY_BACKENDS])
		return;
	g_hash_table_add(follower->seen, g_strdup(backend->id));
	log_if_leaving(import->sync->edge, backend);
	backend_row_receive(import->sync->edge, backend);
}

/*
 * id is a backend server whose row at the platform has expired and which the
 * peer still keeps, for the peer's expiry grace. If this node has the server,
 * it keeps it too; otherwise it doesn't add it.
 */
static void import_expired(void *context, const char *id)
{
	struct snapshot_import *import = context;
	struct follower *follower = &import->sync->followers[REGISTRY_BACKENDS];

	if (import->accepts[REGISTRY_BACKENDS])
		g_hash_table_add(follower->seen, g_strdup(id));
}

/*
 * The table was confirmed by the platform age_us before the peer's answer.
 * Counted from the time of the request, which is earlier, so the age is never
 * too low.
 */
static void finish_table(struct snapshot_import *import,
			 struct follower *follower)
{
	struct sync *sync = import->sync;
	const struct snapshot_table *table =
		&import->tables[follower->rule->table];
	uint64_t age_us = table->age_ms * US_PER_MS;

	follower->superseded = lane_is_busy(&follower->lane);
	if (sync->requested_from_reader &&
	    follower->mismatched_us <= follower->peer_asked_us)
		follower->mismatched_us = 0;
	follower_end_pass(follower, table->version,
			  follower->peer_asked_us -
				  MIN(age_us, follower->peer_asked_us));
	follower_step_later(follower, 0);
}

static const struct snapshot_visitor import_visitor = {
	.table = import_table,
	.row = import_row,
	.backend = import_backend,
	.expired = import_expired,
};

static bool import_snapshot(struct sync *sync, const struct message *answer)
{
	struct snapshot_import import = { .sync = sync };
	uint32_t i;

	if (!answer || answer->status != 200 ||
	    !snapshot_read(answer->body->data, answer->body->len,
			   &import_visitor, &import))
		return false;
	for (i = 0; i < FOLLOWERS; i++)
		if (import.accepts[i])
			finish_table(&import, &sync->followers[i]);
	return true;
}

static void on_snapshot(void *context, const struct message *answer,
			const char *cause)
{
	struct sync *sync = context;
	struct edge *edge = sync->edge;
	bool taken = import_snapshot(sync, answer);

	log_event(taken ? LOG_INFO : LOG_DEBUG, "neighbour-asked",
		  "taken=%s from=%s tables=%u status=%u cause=%s bytes=%" PRIu64
		  " routes_version=%" PRIu64 " backends=%u",
		  taken ? "yes" : "no", sync->peer_lane.to.address,
		  sync->requested_tables, answer ? answer->status : 0,
		  cause ? cause : "answer", sync->peer_lane.got_bytes,
		  edge->routes ? edge->routes->version : 0,
		  g_hash_table_size(edge->backends->by_id));
	sync->requested_tables = 0;
}

bool follower_has_mismatch(const struct follower *follower)
{
	return follower->mismatched_us > follower->confirmed_us;
}

/*
 * Tables to request from a peer. Routes that differ are requested alone: they
 * are small and urgent, and a list of all servers may have to wait for capacity
 * on the peer's link. The other tables get every second request, since routes
 * may change faster than they can be fetched.
 */
static uint32_t tables_to_request(const struct sync *sync)
{
	const uint32_t routes = SNAPSHOT_TABLE(REGISTRY_CONFIG);
	uint32_t tables = 0;
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (!sync->followers[i].loaded ||
		    follower_has_mismatch(&sync->followers[i]))
			tables |=
				SNAPSHOT_TABLE(sync->followers[i].rule->table);
	if (!(tables & routes) || !sync->followers[REGISTRY_CONFIG].loaded)
		return tables;
	if (tables != routes && sync->last_requested_tables == routes)
		return tables & ~routes;
	return routes;
}

static void request_snapshot(struct sync *sync, const struct endpoint *to)
{
	uint32_t tables = tables_to_request(sync);
	char *target;
	uint32_t i;

	if (!tables || lane_is_busy(&sync->peer_lane))
		return;
	for (i = 0; i < FOLLOWERS; i++) {
		struct follower *follower = &sync->followers[i];

		if (!(tables & SNAPSHOT_TABLE(follower->rule->table)))
			continue;
		follower->peer_asked_us = edge_now_us(sync->edge);
		follower->peer_attempts++;
	}
	sync->requested_tables = tables;
	sync->last_requested_tables = tables;
	target = g_strdup_printf(SNAPSHOT_PATH "?" SNAPSHOT_PARAMETER "=%u",
				 tables);
	if (strcmp(sync->peer_lane.to.address, to->address) != 0 ||
	    sync->peer_lane.to.port != to->port)
		lane_set_address(&sync->peer_lane, to);
	metric_add(sync->edge->stats.snapshot_requests, 1);
	lane_call(&sync->peer_lane, "GET", target, NULL, SNAPSHOT_TIMEOUT_US,
		  on_snapshot, sync);
	g_free(target);
}

/*
 * Asks the region's reader, which has what its digests cover. A node that isn't
 * ready knows no reader yet; it asks one of the first readers, the few nodes of
 * a region that read from the platform when all start at once. Nodes start with
 * different ones.
 */
void sync_ask_peer(struct sync *sync)
{
	struct edge *edge = sync->edge;
	struct member_table *members = edge->members;
	const struct member *first_readers[READ_FIRST_NODES];
	const struct member *reader =
		member_table_reader(members, edge_now_us(edge));
	uint32_t count = member_table_first_readers(members, first_readers,
						    READ_FIRST_NODES);
	uint32_t turn = members->self->hash +
			sync->followers[REGISTRY_BACKENDS].peer_attempts +
			sync->followers[REGISTRY_CONFIG].peer_attempts;

	sync->requested_from_reader = edge_is_ready(edge) &&
				      reader != members->self &&
				      reader->peer.port;
	if (sync->requested_from_reader)
		request_snapshot(sync, &reader->peer);
	else if (count)
		request_snapshot(sync, &first_readers[turn % count]->peer);
}

static bool some_call_fails(const struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (sync->followers[i].failures)
			return true;
	return false;
}

void sync_receive_peer_address(struct sync *sync, const struct endpoint *from)
{
	struct edge *edge = sync->edge;

	if ((edge->routes && edge->backends->loaded) || !some_call_fails(sync))
		return;
	sync->requested_from_reader = false;
	request_snapshot(sync, from);
}

/* --- digests of the region's reader ------------------------------------- */

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
		return member_table_digest(edge->members);
	case REGISTRY_QUARANTINES: /* not followed */
		break;
	}
	return 0;
}

/*
 * A reader that can't decode the newest routes sends no digest of them: its
 * peers, which have the same old routes, would never ask for the new ones.
 */
static bool is_unreadable(const struct follower *follower)
{
	return follower->rule->table == REGISTRY_CONFIG &&
	       follower->sync->routes_unreadable;
}

uint32_t sync_fill_digests(const struct sync *sync,
			   struct heartbeat_digest *digests)
{
	uint64_t now_us = edge_now_us(sync->edge);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		const struct follower *follower = &sync->followers[i];

		if (!follower->loaded || is_unreadable(follower))
			continue;
		digests[count].table = follower->rule->table;
		digests[count].digest = digest_of(follower);
		digests[count].version = follower->version;
		digests[count].age_ms =
			(uint32_t)((now_us - follower->confirmed_us) /
				   US_PER_MS);
		count++;
	}
	return count;
}

void sync_receive_digest(struct sync *sync,
			 const struct heartbeat_digest *received)
{
	uint64_t now_us = edge_now_us(sync->edge);
	struct follower *follower;
	uint64_t at_us;

	if (received->table >= FOLLOWERS)
		return;
	follower = &sync->followers[received->table];
	/* The reader hasn't heard of the latest restore. */
	if (received->version.era < follower->version.era)
		return;
	at_us = now_us - MIN(now_us, received->age_ms * US_PER_MS);
	if (!follower->loaded || at_us <= follower->confirmed_us)
		return;
	if (received->digest == digest_of(follower)) {
		if (received->version.era > sync->era)
			sync_begin_era(sync, received->version.era, "reader");
		follower->confirmed_us = at_us;
		follower->version =
			row_version_max(follower->version, received->version);
		follower->answered_us = MAX(follower->answered_us, at_us);
		follower->peer_attempts = 0;
		return;
	}
	follower->mismatched_us = MAX(follower->mismatched_us, at_us);
	if (now_us - MAX(follower->called_us, follower->peer_asked_us) >
	    follower->rule->mismatch_interval_us)
		follower_step(follower);
}

void sync_read_members(struct sync *sync)
{
	struct follower *follower = &sync->followers[REGISTRY_MEMBERS];
	uint64_t since_us = edge_now_us(sync->edge) - follower->called_us;

	follower->cause = READ_MEMBER_UNKNOWN;
	if (since_us > follower->rule->mismatch_interval_us)
		follower_call(follower);
}
