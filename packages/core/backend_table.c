#include "core/backend_table.h"

#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/hash.h"

/*
 * Time constant of the exponential decay of a server's reported load. Requests
 * take about 1 s, after which those that were counted have ended.
 */
#define OTHER_LOAD_DECAY_US (1 * US_PER_S)

/* Age limit of a peer's load report: three of its heartbeats. */
#define PEER_LOAD_VALID_US (1500 * US_PER_MS)

/* Weight of one outcome in the average: about the last 10 requests count. */
#define FAILURE_WEIGHT 0.1

/* First and longest backoff after a server was unreachable. */
#define SHUN_FIRST_US (500 * US_PER_MS)
#define SHUN_MAX_US (4 * US_PER_S)

/* Share of failed requests above which a server is backed off from. */
#define SHUN_FAILURE_SHARE 0.6

/*
 * Initial service times, as fractions of the objective: that is set so that a
 * warm server meets it with some margin and a cold one misses it.
 */
#define WARM_PRIOR 0.5
#define COLD_PRIOR 1.5

/*
 * How long the version that removed a server is kept. The platform reports
 * changes as far back as its history goes, at most 1 min.
 */
#define REMOVED_KEEP_US (60 * US_PER_S)

/*
 * A server that was removed and is back in a restored list rests for this time:
 * three of its check-ins and some delay, after which the platform drops the
 * entry if it has left.
 */
#define RESTORED_REST_US (5 * US_PER_S)

struct backend_table *backend_table_new(void)
{
	struct backend_table *table = g_new0(struct backend_table, 1);

	table->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     (GDestroyNotify)backend_unref);
	table->by_incarnation = g_hash_table_new(g_direct_hash, g_direct_equal);
	table->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	table->times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->changes = g_ptr_array_new_with_free_func(g_free);
	table->speed_told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->removed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void backend_table_free(struct backend_table *table)
{
	g_hash_table_destroy(table->by_service);
	g_hash_table_destroy(table->by_incarnation);
	g_hash_table_destroy(table->by_id);
	g_hash_table_destroy(table->times);
	g_hash_table_destroy(table->speed_told);
	g_hash_table_destroy(table->evacuated);
	g_hash_table_destroy(table->removed);
	g_ptr_array_unref(table->changes);
	g_free(table);
}

/* Connections closed within this time of each other have one cause. */
#define DISCONNECT_BURST_US (20 * US_PER_MS)

static uint32_t incarnation_of(uint32_t hash, uint64_t started_ms)
{
	if (!started_ms)
		return hash;
	return (uint32_t)hash_pair(hash,
				   (uint32_t)(started_ms ^ started_ms >> 32));
}

/* What its answers said holds although its row was gone for a while. */
static void restore_notices(const struct backend_table *table,
			    struct backend *backend)
{
	const struct removed_row *row =
		g_hash_table_lookup(table->removed, backend->id);

	if (!row || row->started_ms != backend->started_ms)
		return;
	backend->said_leaving = row->said_leaving;
	backend->rest_until_us = row->rest_until_us;
}

/* Its entry was removed, and may be back only since the list was restored. */
static void take_back_restored(const struct backend_table *table,
			       struct backend *backend,
			       const struct backend_info *info, uint64_t now_us)
{
	const struct removed_row *row =
		g_hash_table_lookup(table->removed, backend->id);

	if (!row || !row->version.number ||
	    row->version.era >= info->version.era)
		return;
	backend->said_leaving |= row->drained;
	backend->rest_until_us =
		MAX(backend->rest_until_us, now_us + RESTORED_REST_US);
}

static struct backend *add(struct backend_table *table,
			   const struct backend_info *info, uint64_t now_us)
{
	struct backend *backend = g_new0(struct backend, 1);
	GPtrArray *list = g_hash_table_lookup(table->by_service, info->service);

	backend->references = 1;
	backend->id = g_strdup(info->id);
	backend->hash = hash_text(info->id);
	backend->incarnation = incarnation_of(backend->hash, info->started_ms);
	backend->started_ms = info->started_ms;
	backend->service = g_strdup(info->service);
	backend->domain = g_strdup(info->domain);
	backend->region = g_strdup(info->region);
	backend->slowness = 1.0;
	backend->joined_us = table->loaded ? now_us : 0;
	restore_notices(table, backend);
	take_back_restored(table, backend, info, now_us);
	g_hash_table_insert(table->by_id, backend->id, backend);
	g_hash_table_replace(table->by_incarnation,
			     GUINT_TO_POINTER(backend->incarnation), backend);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(table->by_service, g_strdup(info->service),
				    list);
	}
	g_ptr_array_add(list, backend);
	return backend;
}

/*
 * Changes kept until they are taken; later ones are dropped. Enough for a
 * failure domain whose servers all come or go at once.
 */
#define MAX_CHANGES 512

/* Ignored until the first complete list, which is no change. */
static void note_change(struct backend_table *table, const char *id)
{
	if (table->loaded && table->changes->len < MAX_CHANGES)
		g_ptr_array_add(table->changes, g_strdup(id));
}

static bool info_differs(const struct backend *backend,
			 const struct backend_info *info)
{
	return !backend->slots || backend->slots != info->slots ||
	       backend->draining != info->draining ||
	       backend->listed_cold != (info->cold_left_us > 0) ||
	       backend->address.port != info->address.port ||
	       strcmp(backend->address.address, info->address.address) != 0;
}

uint64_t backend_table_digest(const struct backend_table *table)
{
	GHashTableIter iter;
	uint64_t digest = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;
		uint32_t state = backend->slots << 2 | backend->draining << 1 |
				 backend->listed_cold;

		digest += hash_pair(backend->incarnation, state);
	}
	return digest;
}

GPtrArray *backend_table_take_changes(struct backend_table *table)
{
	GPtrArray *changes = table->changes;

	table->changes = g_ptr_array_new_with_free_func(g_free);
	return changes;
}

static struct removed_row *removed_row(struct backend_table *table,
				       const char *id)
{
	struct removed_row *row = g_hash_table_lookup(table->removed, id);

	if (!row) {
		row = g_new0(struct removed_row, 1);
		g_hash_table_insert(table->removed, g_strdup(id), row);
	}
	return row;
}

static void keep_notices(struct backend_table *table,
			 const struct backend *backend, uint64_t now_us)
{
	struct removed_row *row;

	if (!backend->said_leaving && !backend->rest_until_us)
		return;
	row = removed_row(table, backend->id);
	row->at_us = now_us;
	row->started_ms = backend->started_ms;
	row->said_leaving = backend->said_leaving;
	row->rest_until_us = backend->rest_until_us;
}

static void remove_from_table(struct backend_table *table,
			      struct backend *backend, uint64_t now_us)
{
	GPtrArray *list =
		g_hash_table_lookup(table->by_service, backend->service);

	backend->gone = true;
	table->last_loss_us = now_us;
	keep_notices(table, backend, now_us);
	note_change(table, backend->id);
	g_ptr_array_remove(list, backend);
	/* On a hash collision the entry belongs to the later incarnation. */
	if (backend_table_find_incarnation(table, backend->incarnation) ==
	    backend)
		g_hash_table_remove(table->by_incarnation,
				    GUINT_TO_POINTER(backend->incarnation));
	g_hash_table_remove(table->by_id, backend->id);
}

/*
 * Replaces a server that restarted under its id. The previous incarnation is
 * removed but stays valid for its running requests. Only the log of cold sends
 * is carried over, since the cold allowance applies to the address across
 * incarnations.
 */
static struct backend *restart(struct backend_table *table,
			       struct backend *before,
			       const struct backend_info *info, uint64_t now_us)
{
	struct backend *backend;

	backend_ref(before);
	remove_from_table(table, before, now_us);
	backend = add(table, info, now_us);
	memcpy(backend->cold_log, before->cold_log, sizeof(backend->cold_log));
	backend->cold_next = before->cold_next;
	backend_unref(before);
	return backend;
}

bool backend_table_knows_newer(const struct backend_table *table,
			       const struct backend_info *info)
{
	const struct backend *known = backend_table_find(table, info->id);

	if (!known)
		return info->version.number &&
		       row_version_is_older(
			       info->version,
			       backend_table_removed_version(table, info->id));
	return info->started_ms < known->started_ms ||
	       (info->version.number &&
		row_version_is_older(info->version, known->version));
}

struct backend *backend_table_put(struct backend_table *table,
				  const struct backend_info *info,
				  uint64_t now_us)
{
	struct backend *backend = backend_table_find(table, info->id);

	if (backend_table_knows_newer(table, info))
		return backend;
	if (!backend)
		backend = add(table, info, now_us);
	else if (info->started_ms > backend->started_ms)
		backend = restart(table, backend, info, now_us);
	if (info_differs(backend, info))
		note_change(table, info->id);
	/* A server that drains never stops to; the restored row is older. */
	if (backend->draining && backend->version.era < info->version.era)
		backend->said_leaving = true;
	if (info->draining && !backend->draining)
		table->last_loss_us = now_us;
	backend->address = info->address;
	backend->slots = info->slots ? info->slots : 1;
	backend->version = row_version_max(backend->version, info->version);
	backend->draining = info->draining;
	backend->expire_us = 0;
	backend->listed_cold = info->cold_left_us > 0;
	backend->cold_until_us =
		info->cold_left_us ? now_us + info->cold_left_us : 0;
	return backend;
}

struct row_version
backend_table_removed_version(const struct backend_table *table, const char *id)
{
	const struct removed_row *row = g_hash_table_lookup(table->removed, id);
	const struct row_version unknown = { 0 };

	return row ? row->version : unknown;
}

static void note_removed(struct backend_table *table, const char *id,
			 const struct backend *backend,
			 struct row_version version, uint64_t now_us)
{
	struct removed_row *row = removed_row(table, id);

	row->version = row_version_max(row->version, version);
	row->at_us = now_us;
	row->drained = backend && backend->draining;
}

void backend_table_remove(struct backend_table *table, const char *id,
			  struct row_version version, uint64_t keep_until_us,
			  uint64_t now_us)
{
	struct backend *backend = backend_table_find(table, id);

	if (backend && version.number &&
	    row_version_is_older(version, backend->version))
		return;
	if (version.number)
		note_removed(table, id, backend, version, now_us);
	if (!backend)
		return;
	if (backend->draining || keep_until_us <= now_us)
		remove_from_table(table, backend, now_us);
	else if (!backend->expire_us)
		backend->expire_us = keep_until_us;
}

static gboolean is_long_removed(gpointer id, gpointer value, gpointer now)
{
	const struct removed_row *row = value;

	(void)id;
	return *(const uint64_t *)now - row->at_us > REMOVED_KEEP_US;
}

void backend_table_expire(struct backend_table *table, uint64_t now_us)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;

		if (backend->expire_us && backend->expire_us <= now_us)
			g_ptr_array_add(expired, value);
	}
	for (i = 0; i < expired->len; i++)
		remove_from_table(table, expired->pdata[i], now_us);
	g_ptr_array_unref(expired);
	g_hash_table_foreach_remove(table->removed, is_long_removed, &now_us);
}

struct backend *backend_table_find(const struct backend_table *table,
				   const char *id)
{
	return g_hash_table_lookup(table->by_id, id);
}

struct backend *
backend_table_find_incarnation(const struct backend_table *table,
			       uint32_t incarnation)
{
	return g_hash_table_lookup(table->by_incarnation,
				   GUINT_TO_POINTER(incarnation));
}

const GPtrArray *backend_table_by_service(const struct backend_table *table,
					  const char *service)
{
	return g_hash_table_lookup(table->by_service, service);
}

bool backend_table_coordinates(const struct backend_table *table,
			       const struct service *service)
{
	return service->coordinates ||
	       g_hash_table_contains(table->speed_told, service->name);
}

static void mark_domain_cold(struct backend_table *table, const char *domain,
			     uint64_t until_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;

		if (!strcmp(backend->domain, domain) &&
		    backend->cold_until_us < until_us)
			backend->cold_until_us = until_us;
	}
}

void backend_table_evacuate(struct backend_table *table, const char *domain,
			    bool begins, uint64_t warmup_us, uint64_t now_us)
{
	table->last_loss_us = now_us;
	if (begins) {
		g_hash_table_add(table->evacuated, g_strdup(domain));
		return;
	}
	if (g_hash_table_remove(table->evacuated, domain))
		mark_domain_cold(table, domain, now_us + warmup_us);
}

bool backend_table_evacuated(const struct backend_table *table,
			     const char *domain)
{
	return g_hash_table_contains(table->evacuated, domain);
}

struct service_times *backend_table_times(struct backend_table *table,
					  const char *service,
					  uint64_t target_us)
{
	struct service_times *times =
		g_hash_table_lookup(table->times, service);

	if (times)
		return times;
	times = g_new0(struct service_times, 1);
	times->warm_us = WARM_PRIOR * (double)target_us;
	times->cold_us = COLD_PRIOR * (double)target_us;
	g_hash_table_insert(table->times, g_strdup(service), times);
	return times;
}

struct backend *backend_ref(struct backend *backend)
{
	backend->references++;
	return backend;
}

void backend_unref(struct backend *backend)
{
	if (!backend || --backend->references)
		return;
	g_free(backend->id);
	g_free(backend->service);
	g_free(backend->domain);
	g_free(backend->region);
	g_free(backend);
}

bool backend_is_closed(const struct backend_table *table,
		       const struct backend *backend)
{
	return backend_is_leaving(backend) ||
	       backend_table_evacuated(table, backend->domain);
}

void backend_begin(struct backend *backend, double work_us, uint64_t now_us)
{
	backend->in_flight++;
	backend->in_flight_work_us += work_us;
	backend->sends++;
	backend->reports.begun_us[backend->reports.begun_next++ %
				  BACKEND_BEGUN_LOG_SIZE] = now_us;
	if (backend->cold_until_us <= now_us)
		return;
	backend->cold_log[backend->cold_next++ % COLD_LOG_SIZE] = now_us;
}

void backend_end(struct backend *backend, double work_us)
{
	backend->in_flight--;
	backend->in_flight_work_us -= work_us;
}

double backend_mean_work_us(const struct backend *backend)
{
	return backend->in_flight ?
		       backend->in_flight_work_us / backend->in_flight :
		       0;
}

void backend_note_load(struct backend *backend, uint32_t running,
		       uint32_t waiting, uint64_t now_us)
{
	double total = (double)running + waiting;

	backend->other_load = fmax(0, total - backend->in_flight);
	backend->other_load_at_us = now_us;
}

void backend_table_clear_peer_loads(struct backend_table *table,
				    uint32_t sender)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;

		for (i = 0; i < BACKEND_MAX_PEER_LOADS; i++)
			if (backend->peer_loads[i].sender == sender)
				backend->peer_loads[i].at_us = 0;
	}
}

void backend_note_peer_load(struct backend *backend, uint32_t sender,
			    uint32_t in_flight, uint64_t now_us)
{
	struct backend_peer_load *oldest = &backend->peer_loads[0];
	uint32_t i;

	for (i = 1; i < BACKEND_MAX_PEER_LOADS; i++)
		if (backend->peer_loads[i].at_us < oldest->at_us)
			oldest = &backend->peer_loads[i];
	oldest->sender = sender;
	oldest->in_flight = in_flight;
	oldest->at_us = now_us;
}

static double sum_peer_loads(const struct backend *backend, uint64_t now_us)
{
	double load = 0;
	uint32_t i;

	for (i = 0; i < BACKEND_MAX_PEER_LOADS; i++) {
		const struct backend_peer_load *report =
			&backend->peer_loads[i];

		if (report->at_us &&
		    now_us - report->at_us < PEER_LOAD_VALID_US)
			load += report->in_flight;
	}
	return load;
}

double backend_load(const struct backend *backend, uint64_t now_us)
{
	double age_us = (double)(now_us - backend->other_load_at_us);
	double others = backend->reports.newest.at_us ?
				backend_reported_others(backend, now_us) :
				backend->other_load *
					exp(-age_us / OTHER_LOAD_DECAY_US);

	if (!backend_has_report(backend, now_us))
		others = fmax(others, backend->reports.assumed_others);
	return backend->in_flight +
	       fmax(others, sum_peer_loads(backend, now_us));
}

void backend_closed_connection(struct backend *backend, uint64_t now_us)
{
	if (now_us - backend->disconnect_us > DISCONNECT_BURST_US)
		backend->disconnect_burst = 0;
	backend->disconnect_burst++;
	backend->disconnect_us = now_us;
}

/* What the table has of this lifetime now, or the backend itself if it's gone.
 */
static struct backend *find_lifetime(const struct backend_table *table,
				     struct backend *backend)
{
	struct backend *known = backend_table_find(table, backend->id);

	return known && known->started_ms == backend->started_ms ? known :
								   backend;
}

bool backend_note_leaving(struct backend_table *table, struct backend *backend,
			  uint64_t now_us)
{
	backend = find_lifetime(table, backend);
	if (backend->said_leaving)
		return false;
	if (!backend_is_leaving(backend))
		table->last_loss_us = now_us;
	backend->said_leaving = true;
	if (backend->gone)
		keep_notices(table, backend, now_us);
	return true;
}

bool backend_note_rest(struct backend_table *table, struct backend *backend,
		       uint64_t rest_us, uint64_t now_us)
{
	bool is_new;

	backend = find_lifetime(table, backend);
	is_new = !backend_is_resting(backend, now_us);
	if (is_new)
		table->last_loss_us = now_us;
	backend->rest_until_us = MAX(backend->rest_until_us, now_us + rest_us);
	if (backend->gone)
		keep_notices(table, backend, now_us);
	return is_new;
}

void backend_note_no_rest(struct backend *backend, uint64_t sent_us)
{
	if (sent_us >= backend->rest_until_us)
		backend->rest_until_us = 0;
}

void backend_answered(struct backend *backend, uint64_t sent_us)
{
	backend->alive_us = MAX(backend->alive_us, sent_us);
}

void backend_succeeded(struct backend *backend)
{
	backend->failures -= FAILURE_WEIGHT * backend->failures;
	backend->shun_step_us = 0;
}

static void shun(struct backend *backend, uint64_t now_us)
{
	uint64_t step_us = 2 * backend->shun_step_us;

	if (now_us < backend->shun_until_us)
		return;
	step_us = CLAMP(step_us, SHUN_FIRST_US, SHUN_MAX_US);
	backend->shun_step_us = step_us;
	backend->shun_until_us = now_us + step_us;
}

void backend_failed(struct backend *backend, uint64_t now_us)
{
	backend->failures += FAILURE_WEIGHT * (1.0 - backend->failures);
	if (backend->failures > SHUN_FAILURE_SHARE)
		shun(backend, now_us);
}

void backend_unreachable(struct backend_table *table, struct backend *backend,
			 uint64_t now_us)
{
	table->last_unreachable_us = now_us;
	backend->unreachable_us = now_us;
	backend_failed(backend, now_us);
	shun(backend, now_us);
}

void backend_table_forget_unreachable(struct backend_table *table,
				      uint64_t since_us)
{
	GHashTableIter iter;
	gpointer value;

	if (table->last_unreachable_us >= since_us)
		table->last_unreachable_us = 0;
	g_hash_table_iter_init(&iter, table->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;

		if (!backend->unreachable_us ||
		    backend->unreachable_us < since_us)
			continue;
		backend->unreachable_us = 0;
		backend->shun_until_us = 0;
		backend->shun_step_us = 0;
	}
}

uint32_t backend_cold_sends(const struct backend *backend, uint64_t now_us)
{
	uint32_t sends = 0;
	uint32_t i;

	for (i = 0; i < COLD_LOG_SIZE; i++)
		if (backend->cold_log[i] &&
		    now_us - backend->cold_log[i] < US_PER_S)
			sends++;
	return sends;
}
