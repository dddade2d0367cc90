#include "edge/sync.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/hash.h"
#include "edge/lane.h"
#include "edge/snapshot.h"

/*
 * A call to the platform beyond the time that it may be held: two round trips
 * of a continent's width, and an answer fifty times slower than usual.
 */
#define CALL_TIMEOUT_US (1000 * US_PER_MS)

/*
 * Pause before a call is repeated after a failure, doubled up to the most: with
 * the time-out, a node knows within 2 s that the platform is back.
 */
#define RETRY_FIRST_US (200 * US_PER_MS)
#define RETRY_MOST_US (400 * US_PER_MS)

/*
 * Entries of backend servers that lapsed while the platform was away come back
 * within about 2 s of its return. A missing one is kept for as much of this as
 * the part of entries that are missing: where most are there the platform
 * wasn't away, or has long been back, and a missing server has left.
 */
#define LAPSE_KEEP_US (2200 * US_PER_MS)

/*
 * Between two calls because a neighbour knows otherwise: where this node is the
 * one that knows more, the neighbour has caught up by then.
 */
#define MISMATCH_SPACING_US (800 * US_PER_MS)

/* Without a good answer for so long the platform counts as away. */
#define AWAY_AFTER_US (2500 * US_PER_MS)

struct follower;

/* How a table is followed. */
struct follow_rule {
	const char *name;
	enum registry_table table;
	uint64_t wait_us; /* how long the platform may hold a call */
	uint64_t spacing_us; /* from one call's start to the next */
	uint64_t vouched_us; /* a neighbour's word is good for so long; 0: not
			      */
	void (*apply)(struct sync *sync, const struct registry_row *row);
	/* After a whole read: what it didn't hold is gone. */
	void (*prune)(struct sync *sync, GHashTable *seen);
};

struct follower {
	struct sync *sync;
	const struct follow_rule *rule;
	struct lane lane;
	uv_timer_t timer;
	uint64_t version; /* follow from here */
	bool whole; /* the table was read whole */
	char *page_key; /* last key of the pages read so far */
	uint64_t page_version; /* version of the first page */
	GHashTable *seen; /* keys of the pages read so far */
	GHashTable *rows; /* key -> value, as the platform gave them */
	uint64_t called_us;
	uint64_t answered_us; /* last good answer */
	uint64_t confirmed_us; /* the platform confirmed what is believed */
	uint64_t retry_us;
	uint32_t failures; /* in a row */
};

#define FOLLOWERS 3

struct sync {
	struct edge *edge;
	struct follower followers[FOLLOWERS];
	struct lane own_lane; /* writes this node's row */
	uv_timer_t own_timer;
	uint64_t own_retry_us;
	bool own_written;
	struct lane neighbour; /* gives its snapshot where the platform won't */
	bool was_away; /* since the last rows of backend servers */
	uint64_t lapse_until_us; /* missing backend servers are kept till then
				  */
};

static void follower_call(struct follower *follower);
static uint64_t wait_us(const struct follower *follower);
static void write_own_row(struct sync *sync);

/* --- the operator's rows ------------------------------------------------ */

static void apply_routes(struct sync *sync, const struct registry_row *row)
{
	struct edge *edge = sync->edge;
	const struct registry *registry = edge->registry;
	struct route_table *table;
	GError *error = NULL;

	if (row->deleted)
		return;
	table = registry->vtable->decode_routes(registry, row->value, &error);
	if (!table) {
		log_event(LOG_ERROR, "routes-invalid",
			  "row_version=%" PRIu64 " cause=%s", row->version,
			  error->message);
		g_error_free(error);
		return;
	}
	/* Answers can come out of order; a node never goes back. */
	if (edge->routes && table->version <= edge->routes->version) {
		route_table_unref(table);
		return;
	}
	log_event(LOG_INFO, "routes-in-force",
		  "version=%" PRIu64 " routes=%u services=%u", table->version,
		  table->route_count, g_hash_table_size(table->services));
	route_table_unref(edge->routes);
	edge->routes = table;
}

/* The longest time that a backend server of any service is cold. */
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

static void apply_config(struct sync *sync, const struct registry_row *row)
{
	const struct registry *registry = sync->edge->registry;
	char *domain = NULL;

	switch (registry->vtable->config_row(registry, row->key, &domain)) {
	case CONFIG_ROW_ROUTES:
		apply_routes(sync, row);
		break;
	case CONFIG_ROW_EVACUATION:
		set_evacuation(sync, domain, !row->deleted);
		break;
	case CONFIG_ROW_OTHER:
		break;
	}
	g_free(domain);
}

static void prune_config(struct sync *sync, GHashTable *seen)
{
	const struct registry *registry = sync->edge->registry;
	GHashTable *standing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GList *domains = g_hash_table_get_keys(sync->edge->backends->evacuated);
	GHashTableIter iter;
	gpointer key;
	GList *at;

	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		char *domain = NULL;

		if (registry->vtable->config_row(registry, key, &domain) ==
		    CONFIG_ROW_EVACUATION)
			g_hash_table_add(standing, domain);
	}
	for (at = domains; at; at = at->next) {
		char *domain = g_strdup(at->data);

		if (!g_hash_table_contains(standing, domain))
			set_evacuation(sync, domain, false);
		g_free(domain);
	}
	g_list_free(domains);
	g_hash_table_destroy(standing);
}

/* --- backend servers ---------------------------------------------------- */

static void remove_backend(struct sync *sync, const char *id)
{
	struct edge *edge = sync->edge;
	uint64_t now_us = edge_now_us(edge);
	struct backend *backend = backend_table_find(edge->backends, id);

	if (!backend)
		return;
	if (!backend->lapsed_us)
		log_event(LOG_INFO, "backend-missing",
			  "backend=%s service=%s kept_us=%" PRIu64, id,
			  backend->service, sync_lapse_left_us(sync));
	backend_table_remove(edge->backends, id, sync->lapse_until_us, now_us);
}

static void put_backend(struct sync *sync, const struct registry_row *row,
			const struct backend_record *record)
{
	struct edge *edge = sync->edge;
	const struct backend *known =
		backend_table_find(edge->backends, row->key);
	const struct backend_facts facts = {
		.id = row->key,
		.service = record->service,
		.address = record->address,
		.domain = record->domain,
		.region = edge_settings_region(&edge->settings, record->domain),
		.slots = record->slots,
		.draining = record->draining,
		.cold_left_us = record->cold_left_us,
	};

	if (!known || known->draining != record->draining ||
	    (record->cold_left_us && known->cold_until_us <= edge_now_us(edge)))
		log_event(LOG_INFO, "backend",
			  "backend=%s service=%s address=%s:%u domain=%s "
			  "slots=%u draining=%s cold_left_us=%" PRIu64,
			  row->key, record->service, record->address.address,
			  record->address.port, record->domain, record->slots,
			  record->draining ? "yes" : "no",
			  record->cold_left_us);
	backend_table_put(edge->backends, &facts, edge_now_us(edge));
}

static void apply_backend(struct sync *sync, const struct registry_row *row)
{
	const struct registry *registry = sync->edge->registry;
	struct backend_record record;
	GError *error = NULL;

	if (row->deleted) {
		remove_backend(sync, row->key);
		return;
	}
	if (!registry->vtable->decode_backend(registry, row->value, &record,
					      &error)) {
		log_event(LOG_WARNING, "backend-invalid", "backend=%s cause=%s",
			  row->key, error->message);
		g_error_free(error);
		return;
	}
	put_backend(sync, row, &record);
	backend_record_release(&record);
}

static void prune_backends(struct sync *sync, GHashTable *seen)
{
	struct edge *edge = sync->edge;
	GList *ids = g_hash_table_get_keys(edge->backends->by_id);
	GList *at;

	edge->backends->whole = true;
	for (at = ids; at; at = at->next) {
		char *id = g_strdup(at->data);

		if (!g_hash_table_contains(seen, id))
			remove_backend(sync, id);
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
	if (is_new)
		log_event(LOG_INFO, "member", "member=%s domain=%s", name,
			  record->domain);
}

static void apply_member(struct sync *sync, const struct registry_row *row)
{
	struct edge *edge = sync->edge;
	const struct registry *registry = edge->registry;
	struct member_record record;
	GError *error = NULL;

	if (!strcmp(row->key, edge->settings.name)) {
		if (row->deleted && !edge->stopping)
			write_own_row(sync);
		return;
	}
	if (row->deleted) {
		member_table_remove(edge->members, row->key);
		return;
	}
	if (!registry->vtable->decode_member(registry, row->value, &record,
					     &error)) {
		log_event(LOG_WARNING, "member-invalid", "member=%s cause=%s",
			  row->key, error->message);
		g_error_free(error);
		return;
	}
	put_member(edge, row->key, &record);
	member_record_release(&record);
}

static void prune_members(struct sync *sync, GHashTable *seen)
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

static void on_own_time(uv_timer_t *timer)
{
	write_own_row(timer->data);
}

static void on_own_written(void *context, const struct message *answer,
			   const char *cause)
{
	struct sync *sync = context;

	if (answer && answer->status == 200) {
		sync->own_written = true;
		sync->own_retry_us = 0;
		return;
	}
	sync->own_retry_us =
		CLAMP(2 * sync->own_retry_us, RETRY_FIRST_US, RETRY_MOST_US);
	log_event(LOG_WARNING, "own-row", "written=no status=%u cause=%s",
		  answer ? answer->status : 0, cause ? cause : "status");
	uv_timer_start(&sync->own_timer, on_own_time,
		       sync->own_retry_us / US_PER_MS, 0);
}

static void write_own_row(struct sync *sync)
{
	struct edge *edge = sync->edge;
	struct member_record record = {
		.domain = edge->settings.domain,
		.region = edge->settings.region,
		.front = edge->settings.front,
		.peer = edge->settings.peer,
	};
	struct registry_call call;

	if (lane_is_busy(&sync->own_lane))
		return;
	edge->registry->vtable->put_member(edge->registry, edge->settings.name,
					   &record, &call);
	metric_add(edge->stats.registry_calls, 1);
	lane_call(&sync->own_lane, call.method, call.target, call.body,
		  CALL_TIMEOUT_US, on_own_written, sync);
	registry_call_release(&call);
}

/* --- following ---------------------------------------------------------- */

static const struct follow_rule rules[FOLLOWERS] = {
	/*
	 * Changes are rare and must be in force soon: held calls. A connection
	 * that fell silent shows when one of them isn't answered, so they are
	 * held for less than the 4 s that a node has to recover.
	 */
	{ "config", REGISTRY_CONFIG, 2500 * US_PER_MS, 50 * US_PER_MS,
	  1800 * US_PER_MS, apply_config, prune_config },
	/*
	 * Held for so short that its answers tell of the path to the platform,
	 * too. A server that leaves must get nothing 2.5 s later; a neighbour's
	 * word is taken for as long as leaves time for a call of one's own.
	 */
	{ "backends", REGISTRY_BACKENDS, 900 * US_PER_MS, 900 * US_PER_MS,
	  1800 * US_PER_MS, apply_backend, prune_backends },
	/* Beats tell of nodes that come, and of those that are gone. */
	{ "members", REGISTRY_MEMBERS, 15 * US_PER_S, 20 * US_PER_S, 0,
	  apply_member, prune_members },
};

static void call_later(struct follower *follower, uint64_t delay_us);

/* How much longer a neighbour's word spares the call; 0: it is due. */
static uint64_t spared_us(const struct follower *follower)
{
	struct edge *edge = follower->sync->edge;
	uint64_t now_us = edge_now_us(edge);
	uint64_t until_us = follower->confirmed_us + follower->rule->vouched_us;

	if (!follower->whole || !follower->rule->vouched_us ||
	    until_us <= now_us ||
	    member_table_reader(edge->members, now_us) == edge->members->self)
		return 0;
	return until_us - now_us;
}

static void on_call_time(uv_timer_t *timer)
{
	struct follower *follower = timer->data;
	uint64_t spared = spared_us(follower);

	if (spared)
		call_later(follower, spared);
	else
		follower_call(follower);
}

static void call_later(struct follower *follower, uint64_t delay_us)
{
	uv_timer_start(&follower->timer, on_call_time,
		       (delay_us + US_PER_MS - 1) / US_PER_MS, 0);
}

static void call_next(struct follower *follower)
{
	uint64_t since_us =
		edge_now_us(follower->sync->edge) - follower->called_us;
	uint64_t spacing_us = follower->whole ? follower->rule->spacing_us : 0;

	call_later(follower, spacing_us > since_us ? spacing_us - since_us : 0);
}

static void begin_whole_read(struct follower *follower)
{
	follower->whole = false;
	g_clear_pointer(&follower->page_key, g_free);
	g_hash_table_remove_all(follower->seen);
}

/* Entries that the first rows after the platform was away show as missing. */
static uint32_t count_missing(const struct follower *follower,
			      const struct registry_rows *rows)
{
	const struct edge *edge = follower->sync->edge;
	uint32_t known = g_hash_table_size(edge->backends->by_id);
	uint32_t deleted = 0;
	guint i;

	for (i = 0; i < rows->rows->len; i++)
		if (g_array_index(rows->rows, struct registry_row, i).deleted)
			deleted++;
	if (follower->whole)
		return MIN(deleted, known);
	return known - MIN(rows->rows->len - deleted, known);
}

static void weigh_lapse(struct follower *follower,
			const struct registry_rows *rows)
{
	struct sync *sync = follower->sync;
	uint32_t known = g_hash_table_size(sync->edge->backends->by_id);
	uint32_t missing = count_missing(follower, rows);

	sync->was_away = false;
	if (!known)
		return;
	sync->lapse_until_us =
		edge_now_us(sync->edge) +
		(uint64_t)((double)missing / known * LAPSE_KEEP_US);
	log_event(LOG_INFO, "lapse-weighed", "known=%u missing=%u", known,
		  missing);
}

static void keep_row(struct follower *follower, const struct registry_row *row)
{
	if (row->deleted)
		g_hash_table_remove(follower->rows, row->key);
	else
		g_hash_table_replace(follower->rows, g_strdup(row->key),
				     g_strdup(row->value));
}

static gboolean is_unseen(gpointer key, gpointer value, gpointer seen)
{
	(void)value;
	return !g_hash_table_contains(seen, key);
}

static void apply_rows(struct follower *follower,
		       const struct registry_rows *rows)
{
	struct sync *sync = follower->sync;
	guint i;

	if (follower->rule->table == REGISTRY_BACKENDS && sync->was_away)
		weigh_lapse(follower, rows);
	for (i = 0; i < rows->rows->len; i++) {
		const struct registry_row *row =
			&g_array_index(rows->rows, struct registry_row, i);

		if (!row->deleted && !row->value)
			continue;
		if (!follower->whole)
			g_hash_table_add(follower->seen, g_strdup(row->key));
		keep_row(follower, row);
		follower->rule->apply(follower->sync, row);
	}
}

static void take_page(struct follower *follower,
		      const struct registry_rows *rows)
{
	const struct registry_row *last;

	if (!follower->page_key)
		follower->page_version = rows->version;
	/*
	 * A replica that lags gives a table as it was: taken for news, it would
	 * bring back what has left. Ask again.
	 */
	if (rows->version < follower->version)
		return;
	apply_rows(follower, rows);
	if (rows->has_more && rows->rows->len) {
		last = &g_array_index(rows->rows, struct registry_row,
				      rows->rows->len - 1);
		g_free(follower->page_key);
		follower->page_key = g_strdup(last->key);
		return;
	}
	follower->whole = true;
	follower->version = follower->page_version;
	follower->rule->prune(follower->sync, follower->seen);
	g_hash_table_foreach_remove(follower->rows, is_unseen, follower->seen);
	log_event(LOG_INFO, "table-read", "table=%s rows=%u version=%" PRIu64,
		  follower->rule->name, g_hash_table_size(follower->seen),
		  follower->version);
	begin_whole_read(follower);
	follower->whole = true;
}

/*
 * A path to the platform that fell silent holds the other tables' waiting calls
 * for as long as they may wait, also past its return. The short call's time-out
 * tells for all, and so does its success after failures.
 */
static void abort_waiting(struct sync *sync, const struct follower *but)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (&sync->followers[i] != but &&
		    sync->followers[i].called_us <= but->called_us)
			lane_abort(&sync->followers[i].lane, "silent path");
}

/*
 * A call that was held when a later one was answered has nothing to tell yet:
 * what its table says is confirmed as of that answer.
 */
static void confirm_waiting(struct sync *sync, const struct follower *by)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		struct follower *follower = &sync->followers[i];

		if (follower != by && follower->whole && !follower->failures &&
		    lane_is_busy(&follower->lane) && wait_us(follower) &&
		    follower->called_us < by->called_us)
			follower->confirmed_us = by->called_us;
	}
}

static void note_success(struct follower *follower)
{
	struct sync *sync = follower->sync;
	uint64_t now_us = edge_now_us(sync->edge);
	uint64_t gap_us = now_us - follower->answered_us;

	if (follower->failures)
		log_event(LOG_INFO, "registry-regained",
			  "table=%s failures=%u gap_us=%" PRIu64,
			  follower->rule->name, follower->failures, gap_us);
	if (follower->rule->table == REGISTRY_BACKENDS &&
	    follower->answered_us &&
	    (follower->failures || gap_us > AWAY_AFTER_US))
		sync->was_away = true;
	if (follower->rule->table == REGISTRY_BACKENDS && follower->failures)
		abort_waiting(sync, follower);
	if (follower->rule->table == REGISTRY_BACKENDS)
		confirm_waiting(sync, follower);
	follower->answered_us = now_us;
	follower->confirmed_us = now_us;
	follower->failures = 0;
	follower->retry_us = 0;
}

static void note_failure(struct follower *follower, const char *cause)
{
	struct stats *stats = &follower->sync->edge->stats;

	metric_add(stats->registry_failures, 1);
	if (!follower->failures++)
		log_event(LOG_WARNING, "registry-lost", "table=%s cause=%s",
			  follower->rule->name, cause);
	follower->retry_us =
		CLAMP(2 * follower->retry_us, RETRY_FIRST_US, RETRY_MOST_US);
	call_later(follower, follower->retry_us);
}

static void on_answer(void *context, const struct message *answer,
		      const char *cause)
{
	struct follower *follower = context;
	struct edge *edge = follower->sync->edge;
	struct registry_rows rows = { 0 };
	enum registry_result result;

	if (!answer) {
		bool silent = !strcmp(cause, "timeout") && !follower->failures;

		note_failure(follower, cause);
		if (silent && follower->rule->table == REGISTRY_BACKENDS)
			abort_waiting(follower->sync, follower);
		return;
	}
	result = edge->registry->vtable->decode(
		edge->registry, answer->status,
		(const char *)answer->body->data, answer->body->len, &rows);
	switch (result) {
	case REGISTRY_OK:
		note_success(follower);
		if (!follower->whole) {
			take_page(follower, &rows);
		} else {
			apply_rows(follower, &rows);
			follower->version =
				MAX(follower->version, rows.version);
		}
		call_next(follower);
		break;
	case REGISTRY_HISTORY_LOST:
		log_event(LOG_WARNING, "history-lost",
			  "table=%s after=%" PRIu64, follower->rule->name,
			  follower->version);
		note_success(follower);
		begin_whole_read(follower);
		call_next(follower);
		break;
	default:
		note_failure(follower, "refused");
		break;
	}
	registry_rows_release(&rows);
}

/*
 * A held call tells of a change at once. A node that has a neighbour's word
 * calls because the word differs: what there is to know is there already.
 */
static uint64_t wait_us(const struct follower *follower)
{
	struct edge *edge = follower->sync->edge;

	/* After a failure there is much to know, and the path to be tried. */
	if (follower->failures)
		return 0;
	if (follower->rule->vouched_us &&
	    member_table_reader(edge->members, edge_now_us(edge)) !=
		    edge->members->self)
		return 0;
	return follower->rule->wait_us;
}

static void follower_call(struct follower *follower)
{
	struct edge *edge = follower->sync->edge;
	const struct registry *registry = edge->registry;
	const struct follow_rule *rule = follower->rule;
	uint64_t timeout_us = CALL_TIMEOUT_US;
	struct registry_call call;

	if (lane_is_busy(&follower->lane))
		return;
	if (follower->whole) {
		registry->vtable->follow(registry, rule->table,
					 follower->version, wait_us(follower),
					 &call);
		timeout_us += wait_us(follower);
	} else {
		registry->vtable->read(
			registry, rule->table,
			follower->page_key ? follower->page_key : "", &call);
	}
	follower->called_us = edge_now_us(edge);
	metric_add(edge->stats.registry_calls, 1);
	lane_call(&follower->lane, call.method, call.target, call.body,
		  timeout_us, on_answer, follower);
	registry_call_release(&call);
}

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
	lane_init(&follower->lane, edge->loop, &edge->settings.registry);
	uv_timer_init(edge->loop, &follower->timer);
	follower->timer.data = follower;
	follower_call(follower);
}

struct sync *sync_open(struct edge *edge)
{
	struct sync *sync = g_new0(struct sync, 1);
	uint32_t i;

	sync->edge = edge;
	edge->sync = sync;
	lane_init(&sync->own_lane, edge->loop, &edge->settings.registry);
	lane_init(&sync->neighbour, edge->loop, &edge->settings.peer);
	uv_timer_init(edge->loop, &sync->own_timer);
	sync->own_timer.data = sync;
	for (i = 0; i < FOLLOWERS; i++)
		follower_open(&sync->followers[i], sync, &rules[i]);
	write_own_row(sync);
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
		g_free(sync->followers[i].page_key);
	}
	lane_close(&sync->own_lane);
	lane_close(&sync->neighbour);
	uv_close((uv_handle_t *)&sync->own_timer, NULL);
}

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
	keep_row(&sync->followers[row->table], &known);
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
	lane_call(&sync->neighbour, "GET", SNAPSHOT_PATH, NULL, CALL_TIMEOUT_US,
		  on_snapshot, sync);
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

	return follower->rule->table == REGISTRY_CONFIG ?
		       config_digest(edge) :
		       backend_table_digest(edge->backends);
}

uint32_t sync_vouches(const struct sync *sync, struct beat_vouch *vouches)
{
	uint64_t now_us = edge_now_us(sync->edge);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		const struct follower *follower = &sync->followers[i];

		if (!follower->rule->vouched_us || !follower->whole)
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

	if (vouch->table != REGISTRY_CONFIG &&
	    vouch->table != REGISTRY_BACKENDS)
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
	if (now_us - follower->called_us > MISMATCH_SPACING_US)
		follower_call(follower);
}

void sync_read_members(struct sync *sync)
{
	struct follower *follower = &sync->followers[REGISTRY_MEMBERS];
	uint64_t since_us = edge_now_us(sync->edge) - follower->called_us;

	if (since_us > MISMATCH_SPACING_US)
		follower_call(follower);
}

uint64_t sync_lapse_left_us(const struct sync *sync)
{
	uint64_t now_us = edge_now_us(sync->edge);

	return sync->lapse_until_us > now_us ? sync->lapse_until_us - now_us :
					       0;
}

void sync_redirect(struct sync *sync, const struct endpoint *to)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		lane_redirect(&sync->followers[i].lane, to);
	lane_redirect(&sync->own_lane, to);
}

void sync_refresh(struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		lane_abort(&sync->followers[i].lane, "suspended");
}
