#include "edge/sync_internal.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/result.h"

/* --- the operator's rows ------------------------------------------------ */

static void log_faults(const struct route_table *table)
{
	guint i;

	for (i = 0; i < table->faults->len; i++) {
		const struct route_fault *fault = table->faults->pdata[i];

		log_event(LOG_ERROR, "routes-fault",
			  "version=%" PRIu64 " entry=%s cause=%s",
			  table->version, fault->entry, fault->cause);
	}
}

static void set_routes_error(struct edge *edge, const char *cause)
{
	g_free(edge->routes_error);
	edge->routes_error = g_strdup(cause);
	metric_set(edge->stats.routes_refused, cause != NULL);
}

static void put_in_force(struct edge *edge, struct route_table *table)
{
	route_table_fill_limits(table, edge_limits(edge));
	route_table_unref(edge->routes);
	edge->routes = table;
	metric_set(edge->stats.routes_version, (int64_t)table->version);
	metric_set(edge->stats.routes_faults, table->fault_count);
}

static bool apply_routes(struct sync *sync, const struct registry_row *row)
{
	struct edge *edge = sync->edge;
	const struct registry *registry = edge->registry;
	struct route_table *table;
	GError *error = NULL;

	if (row->deleted)
		return false;
	table = registry->vtable->decode_routes(registry, row->value, &error);
	sync->routes_unreadable = !table;
	set_routes_error(edge, table ? NULL : error->message);
	if (!table) {
		log_event(LOG_ERROR, "routes-invalid",
			  "row_version=%" PRIu64 " cause=%s", row->version,
			  error->message);
		g_error_free(error);
		return true;
	}
	/*
	 * Answers may arrive out of order, and a restored platform has an
	 * older document until the operator writes the newest one again.
	 */
	sync->routes_reverted = edge->routes &&
				table->version < edge->routes->version;
	if (edge->routes && table->version <= edge->routes->version) {
		route_table_unref(table);
		return !sync->routes_reverted;
	}
	log_event(LOG_INFO, "routes-in-force",
		  "version=%" PRIu64 " routes=%u services=%u bytes=%zu "
		  "faults=%u",
		  table->version, table->route_count,
		  g_hash_table_size(table->services), strlen(row->value),
		  table->fault_count);
	log_faults(table);
	put_in_force(edge, table);
	return true;
}

/* Longest warm-up of any service's backend servers. */
static uint64_t longest_warmup_us(const struct edge *edge)
{
	uint64_t longest_us = 0;
	GHashTableIter iter;
	gpointer value;

	if (!edge->routes)
		return 0;
	g_hash_table_iter_init(&iter, edge->routes->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		longest_us =
			MAX(longest_us, ((struct service *)value)->warmup_us);
	return longest_us;
}

static void set_evacuation(struct sync *sync, const char *domain, bool begins)
{
	struct edge *edge = sync->edge;

	if (backend_table_evacuated(edge->backends, domain) == begins)
		return;
	log_event(LOG_INFO, "evacuation", "domain=%s begins=%s", domain,
		  begins ? "yes" : "no");
	backend_table_evacuate(edge->backends, domain, begins,
			       longest_warmup_us(edge), edge_now_us(edge));
}

bool apply_config_row(struct sync *sync, const struct registry_row *row)
{
	const struct registry *registry = sync->edge->registry;
	char *domain = NULL;
	bool believed = true;

	switch (registry->vtable->classify_config_row(registry, row->key,
						      &domain)) {
	case CONFIG_ROW_ROUTES:
		believed = apply_routes(sync, row);
		break;
	case CONFIG_ROW_EVACUATION:
		set_evacuation(sync, domain, !row->deleted);
		break;
	case CONFIG_ROW_OTHER:
		break;
	}
	g_free(domain);
	return believed;
}

void prune_config(struct sync *sync, GHashTable *seen)
{
	const struct registry *registry = sync->edge->registry;
	GHashTable *still_evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GList *domains = g_hash_table_get_keys(sync->edge->backends->evacuated);
	GHashTableIter iter;
	gpointer key;
	GList *at;

	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		char *domain = NULL;

		if (registry->vtable->classify_config_row(
			    registry, key, &domain) == CONFIG_ROW_EVACUATION)
			g_hash_table_add(still_evacuated, domain);
	}
	for (at = domains; at; at = at->next) {
		char *domain = g_strdup(at->data);

		if (!g_hash_table_contains(still_evacuated, domain))
			set_evacuation(sync, domain, false);
		g_free(domain);
	}
	g_list_free(domains);
	g_hash_table_destroy(still_evacuated);
}

/* --- backend servers ---------------------------------------------------- */

/* Of a row in an answer of the latest era. */
static void remove_backend(struct sync *sync, const char *id,
			   struct row_version version)
{
	struct edge *edge = sync->edge;
	uint64_t now_us = edge_now_us(edge);
	const struct backend *backend = backend_table_find(edge->backends, id);

	if (backend && !backend->expire_us &&
	    !row_version_is_older(version, backend->version))
		log_event(LOG_INFO, "backend-missing",
			  "backend=%s service=%s kept_us=%" PRIu64, id,
			  backend->service, sync_expiry_grace_left_us(sync));
	backend_table_remove(edge->backends, id, version,
			     sync->expiry_grace_until_us, now_us);
}

/*
 * Whether a row is logged: the first full read is one log line, not one per
 * server.
 */
static bool is_logged_change(const struct edge *edge,
			     const struct backend *known,
			     const struct backend_record *record)
{
	if (!known)
		return edge->backends->loaded;
	return known->draining != record->draining ||
	       known->started_ms != record->started_ms ||
	       (record->cold_left_us &&
		known->cold_until_us <= edge_now_us(edge));
}

static void put_backend(struct sync *sync, const struct registry_row *row,
			const struct backend_record *record)
{
	struct edge *edge = sync->edge;
	const struct backend *known =
		backend_table_find(edge->backends, row->key);
	const struct backend_info facts = {
		.id = row->key,
		.service = record->service,
		.address = record->address,
		.domain = record->domain,
		.region = edge_settings_region(&edge->settings, record->domain),
		.slots = record->slots,
		.draining = record->draining,
		.cold_left_us = record->cold_left_us,
		.started_ms = record->started_ms,
		.version = sync_version(sync, row->version),
	};

	if (backend_table_knows_newer(edge->backends, &facts))
		return;
	if (is_logged_change(edge, known, record))
		log_event(LOG_INFO, "backend",
			  "backend=%s service=%s address=%s:%u domain=%s "
			  "slots=%u draining=%s cold_left_us=%" PRIu64
			  " started_ms=%" PRIu64,
			  row->key, record->service, record->address.address,
			  record->address.port, record->domain, record->slots,
			  record->draining ? "yes" : "no", record->cold_left_us,
			  record->started_ms);
	backend_table_put(edge->backends, &facts, edge_now_us(edge));
}

/*
 * The entry can't be decoded, written by another writer or damaged: it names no
 * usable server, and whether the server known by this id still exists is
 * unknown. Requests that run there go on; its next valid entry restores it.
 */
static void drop_backend(struct sync *sync, const char *id,
			 struct row_version version)
{
	struct edge *edge = sync->edge;

	backend_table_remove(edge->backends, id, version, 0, edge_now_us(edge));
}

/* Nodes can't tell each other of a server with a longer id. */
static bool decode_backend(const struct registry *registry,
			   const struct registry_row *row,
			   struct backend_record *record, GError **error)
{
	if (row->value && strlen(row->key) < NAME_SIZE)
		return registry->vtable->decode_backend(registry, row->value,
							record, error);
	g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
		    "backend server: the value is missing, or the key is "
		    "longer than %d bytes",
		    NAME_SIZE - 1);
	return false;
}

bool apply_backend_row(struct sync *sync, const struct registry_row *row)
{
	const struct registry *registry = sync->edge->registry;
	struct backend_record record;
	GError *error = NULL;

	if (row->deleted) {
		remove_backend(sync, row->key,
			       sync_version(sync, row->version));
		return true;
	}
	if (!decode_backend(registry, row, &record, &error)) {
		log_event(LOG_WARNING, "backend-invalid", "backend=%s cause=%s",
			  row->key, error->message);
		g_error_free(error);
		drop_backend(sync, row->key, sync_version(sync, row->version));
		return true;
	}
	put_backend(sync, row, &record);
	backend_record_release(&record);
	return true;
}

void prune_backends(struct sync *sync, GHashTable *seen)
{
	struct edge *edge = sync->edge;
	struct row_version version = sync->followers[REGISTRY_BACKENDS].version;
	GList *ids = g_hash_table_get_keys(edge->backends->by_id);
	GList *at;

	edge->backends->loaded = true;
	for (at = ids; at; at = at->next) {
		char *id = g_strdup(at->data);

		if (!g_hash_table_contains(seen, id))
			remove_backend(sync, id, version);
		g_free(id);
	}
	g_list_free(ids);
}

/* --- members ------------------------------------------------------------ */

static void put_member(struct edge *edge, const char *name,
		       const struct member_record *record)
{
	struct member *member = member_table_find(edge->members, name);
	bool is_new = !member;

	member = member_table_put(edge->members, name);
	g_free(member->domain);
	g_free(member->region);
	member->domain = g_strdup(record->domain);
	member->region = g_strdup(record->region);
	member->front = record->front;
	member->peer = record->peer;
	member->link_mbps = record->link_mbps;
	if (is_new)
		member->listed_us = edge_now_us(edge);
	if (is_new)
		log_event(LOG_INFO, "member", "member=%s domain=%s", name,
			  record->domain);
}

static bool same_endpoint(const struct endpoint *a, const struct endpoint *b)
{
	return a->port == b->port && !strcmp(a->address, b->address);
}

/*
 * Whether the row has this node's present settings; an earlier process of this
 * node may have written it.
 */
static bool is_own_row(const struct edge *edge, const char *value)
{
	const struct edge_settings *settings = &edge->settings;
	const struct registry *registry = edge->registry;
	struct member_record record;
	bool same;

	if (!registry->vtable->decode_member(registry, value, &record, NULL))
		return false;
	same = !strcmp(record.domain, settings->domain) &&
	       !strcmp(record.region, settings->region) &&
	       same_endpoint(&record.front, &settings->front) &&
	       same_endpoint(&record.peer, &settings->peer) &&
	       record.link_mbps == (uint32_t)settings->link_mbps;
	member_record_release(&record);
	return same;
}

static void apply_own_row(struct sync *sync, const struct registry_row *row)
{
	bool known = sync->followers[REGISTRY_MEMBERS].loaded;

	sync->own_row_current = !row->deleted &&
				is_own_row(sync->edge, row->value);
	sync->own_row_lost = false;
	if (!known && !row->deleted)
		sync->edge->was_listed = true;
	if (known && !sync->edge->stop.begun)
		sync_write_own_row(sync);
}

bool apply_member_row(struct sync *sync, const struct registry_row *row)
{
	struct edge *edge = sync->edge;
	const struct registry *registry = edge->registry;
	struct member_record record;
	GError *error = NULL;

	if (!strcmp(row->key, edge->settings.name)) {
		apply_own_row(sync, row);
		return true;
	}
	if (row->deleted) {
		member_table_remove(edge->members, row->key);
		return true;
	}
	if (!registry->vtable->decode_member(registry, row->value, &record,
					     &error)) {
		log_event(LOG_WARNING, "member-invalid", "member=%s cause=%s",
			  row->key, error->message);
		g_error_free(error);
		return true;
	}
	put_member(edge, row->key, &record);
	member_record_release(&record);
	return true;
}

void prune_members(struct sync *sync, GHashTable *seen)
{
	struct edge *edge = sync->edge;
	GList *names = g_hash_table_get_keys(edge->members->by_name);
	GList *at;

	for (at = names; at; at = at->next) {
		char *name = g_strdup(at->data);

		if (!g_hash_table_contains(seen, name))
			member_table_remove(edge->members, name);
		g_free(name);
	}
	g_list_free(names);
}
