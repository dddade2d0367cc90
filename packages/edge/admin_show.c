#include "edge/admin_internal.h"

#include <string.h>

#include "core/admin_json.h"
#include "core/admin_table.h"
#include "core/duration.h"
#include "core/result.h"
#include "edge/sync.h"

/* A share as a whole number of thousandths, as in all tables for operators. */
static json_t *permille(double share)
{
	return admin_json_number((uint64_t)(share * 1000 + 0.5));
}

static uint64_t left_us(uint64_t until_us, uint64_t now_us)
{
	return until_us > now_us ? until_us - now_us : 0;
}

static json_t *age(uint64_t since_us, uint64_t now_us)
{
	return admin_json_number_or_null(since_us && since_us <= now_us,
					 now_us - since_us);
}

/*
 * The hash table's values, sorted by key. Free the list by g_list_free(); the
 * values stay the table's.
 */
static GList *values_by_name(GHashTable *by_name)
{
	GList *names = g_list_sort(g_hash_table_get_keys(by_name),
				   (GCompareFunc)strcmp);
	GList *at;

	for (at = names; at; at = at->next)
		at->data = g_hash_table_lookup(by_name, at->data);
	return names;
}

/* --- places ------------------------------------------------------------- */

struct place_sum {
	uint32_t nodes;
	uint32_t backends;
	uint32_t slots;
	uint32_t in_flight;
	double load;
};

static struct place_sum sum_place(const struct edge *edge, const char *domain,
				  uint64_t now_us)
{
	struct place_sum sum = { .nodes = 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		sum.nodes += !strcmp(member->domain, domain) &&
			     member_serves(edge->members, member, now_us);
	}
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;

		if (strcmp(backend->domain, domain) != 0)
			continue;
		sum.backends++;
		sum.slots += backend->slots;
		sum.in_flight += backend->in_flight;
		sum.load += backend_load(backend, now_us);
	}
	return sum;
}

static json_t *show_places(const struct edge *edge)
{
	static const char *const columns[] = { "place",	    "region",
					       "evacuated", "nodes",
					       "backends",  "slots",
					       "in_flight", "load" };
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	GList *domains =
		g_list_sort(g_hash_table_get_keys(edge->settings.regions),
			    (GCompareFunc)strcmp);
	GList *at;

	for (at = domains; at; at = at->next) {
		const char *domain = at->data;
		struct place_sum sum =
			sum_place(edge, domain, edge_now_us(edge));
		json_t *const values[] = {
			admin_json_text(domain),
			admin_json_text(
				edge_settings_region(&edge->settings, domain)),
			json_boolean(backend_table_evacuated(edge->backends,
							     domain)),
			admin_json_number(sum.nodes),
			admin_json_number(sum.backends),
			admin_json_number(sum.slots),
			admin_json_number(sum.in_flight),
			json_real(sum.load),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
	}
	g_list_free(domains);
	return admin_finish_table(edge, &table, "places");
}

/* --- nodes -------------------------------------------------------------- */

static json_t *show_nodes(const struct edge *edge)
{
	static const char *const columns[] = { "node",	 "place",
					       "region", "address",
					       "serves", "partitioned",
					       "reader", "heard_age_us" };
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	uint64_t now_us = edge_now_us(edge);
	const struct member *reader =
		member_table_reader(edge->members, now_us);
	GList *members = values_by_name(edge->members->by_name);
	GList *at;

	for (at = members; at; at = at->next) {
		const struct member *member = at->data;
		bool is_self = member == edge->members->self;
		char *address = g_strdup_printf("%s:%u", member->front.address,
						member->front.port);
		json_t *const values[] = {
			admin_json_text(member->name),
			admin_json_text(member->domain),
			admin_json_text(member->region),
			admin_json_text(address),
			json_boolean(
				member_serves(edge->members, member, now_us)),
			json_boolean(member->partitioned),
			json_boolean(member == reader),
			is_self ? admin_json_number(0) :
				  age(member->heartbeat_us, now_us),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
		g_free(address);
	}
	g_list_free(members);
	return admin_finish_table(edge, &table, "nodes");
}

/* --- backend servers ---------------------------------------------------- */

static bool matches_filters(const struct query *query,
			    const struct backend *backend)
{
	return (!*query->service ||
		!strcmp(query->service, backend->service)) &&
	       (!*query->place || !strcmp(query->place, backend->domain));
}

static const char *state_of(const struct edge *edge,
			    const struct backend *backend, uint64_t now_us)
{
	if (backend->draining)
		return "draining";
	if (backend->said_leaving)
		return "leaving";
	if (backend->expire_us)
		return "missing";
	if (backend_table_evacuated(edge->backends, backend->domain))
		return "evacuated";
	if (backend->shun_until_us > now_us)
		return "shunned";
	if (backend->rest_until_us)
		return "resting";
	return backend->cold_until_us > now_us ? "cold" : "open";
}

static const char *const backend_columns[] = { "backend",
					       "service",
					       "place",
					       "address",
					       "state",
					       "cold_left_us",
					       "slots",
					       "load",
					       "in_flight",
					       "load_age_us",
					       "failures_permille",
					       "slowness_permille",
					       "served",
					       "speed_percent",
					       "report_age_us" };

static void add_backend(const struct edge *edge, const struct backend *backend,
			struct admin_table *table)
{
	uint64_t now_us = edge_now_us(edge);
	char *address = g_strdup_printf("%s:%u", backend->address.address,
					backend->address.port);
	json_t *const values[] = {
		admin_json_text(backend->id),
		admin_json_text(backend->service),
		admin_json_text(backend->domain),
		admin_json_text(address),
		json_string(state_of(edge, backend, now_us)),
		admin_json_number(left_us(backend->cold_until_us, now_us)),
		admin_json_number(backend->slots),
		json_real(backend_load(backend, now_us)),
		admin_json_number(backend->in_flight),
		age(backend->other_load_at_us, now_us),
		permille(backend->failures),
		permille(backend->slowness),
		admin_json_number(backend->sends),
		admin_json_number_or_null(
			backend->reports.work_percent != 0,
			(uint64_t)(backend_speed(backend, now_us) * 100 + 0.5)),
		age(backend->reports.newest.at_us, now_us),
	};

	ADMIN_TABLE_ADD(table, backend_columns, values);
	g_free(address);
}

static json_t *show_backends(const struct edge *edge, const struct query *query)
{
	struct admin_table table = ADMIN_TABLE_NEW(backend_columns);
	GList *backends = values_by_name(edge->backends->by_id);
	GList *at;

	for (at = backends; at; at = at->next)
		if (matches_filters(query, at->data))
			add_backend(edge, at->data, &table);
	g_list_free(backends);
	return admin_finish_table(edge, &table, "backend servers");
}

/* --- services and routes ------------------------------------------------ */

static const char *const service_columns[] = {
	"service",	   "backends",	    "slots",   "load",
	"warm_us",	   "cold_us",	    "answers", "far_permille",
	"extra_in_window", "used_permille", "short",   "wanted_far_permille"
};

/* Three values, null for services whose nodes don't share load and demand. */
static void add_capacity(const struct edge *edge, const char *service,
			 json_t **values)
{
	const struct occupancy *occupancy =
		chooser_occupancy(&edge->chooser, service);
	double wanted = chooser_wanted_far_share(&edge->chooser, service);

	values[0] = occupancy ? permille(occupancy_used(occupancy)) :
				json_null();
	values[1] = occupancy ? json_boolean(occupancy->is_short) : json_null();
	values[2] = wanted >= 0 ? permille(wanted) : json_null();
}

static void add_service(const struct edge *edge, const struct service *service,
			struct admin_table *table)
{
	static const struct service_times none = { .samples = 0 };
	const GPtrArray *backends =
		backend_table_by_service(edge->backends, service->name);
	const struct service_times *times =
		g_hash_table_lookup(edge->backends->times, service->name);
	const struct extra_budget *budget =
		g_hash_table_lookup(edge->budgets, service->name);
	guint count = backends ? backends->len : 0;
	bool learned = times != NULL;
	uint64_t slots = 0;
	double load = 0;
	json_t *values[G_N_ELEMENTS(service_columns)];
	guint i;

	for (i = 0; i < count; i++) {
		slots += ((struct backend *)backends->pdata[i])->slots;
		load += backend_load(backends->pdata[i], edge_now_us(edge));
	}
	if (!learned)
		times = &none;
	values[0] = admin_json_text(service->name);
	values[1] = admin_json_number(count);
	values[2] = admin_json_number(slots);
	values[3] = json_real(load);
	values[4] =
		admin_json_number_or_null(learned, (uint64_t)times->warm_us);
	values[5] =
		admin_json_number_or_null(learned, (uint64_t)times->cold_us);
	values[6] = admin_json_number(times->samples);
	values[7] = permille(chooser_far_share(&edge->chooser, service->name));
	values[8] = admin_json_number(budget ? extra_budget_taken(budget) : 0);
	add_capacity(edge, service->name, &values[9]);
	admin_table_add(table, values);
}

static json_t *show_services(const struct edge *edge)
{
	struct admin_table table = ADMIN_TABLE_NEW(service_columns);
	GList *services = values_by_name(edge->routes->services);
	GList *at;

	for (at = services; at; at = at->next)
		add_service(edge, at->data, &table);
	g_list_free(services);
	return admin_finish_table(edge, &table, "services");
}

static const char *const route_columns[] = {
	"route",	"host",	      "prefix",	   "service",
	"weight",	"timeout_us", "target_us", "idempotent",
	"max_attempts", "priority",   "regions"
};

static void add_route(struct admin_table *table, const struct route *route,
		      const struct route_service *route_service)
{
	json_t *const values[] = {
		admin_json_text(route->name),
		admin_json_text(route->host),
		admin_json_text(route->prefix),
		admin_json_text(route_service->service),
		json_real(route_service->weight),
		admin_json_number(route->timeout_us),
		admin_json_number(route->target_us),
		json_boolean(route->idempotent),
		admin_json_number(route->max_attempts),
		admin_json_number(route->priority),
		admin_json_number(route->regions->len),
	};

	ADMIN_TABLE_ADD(table, route_columns, values);
}

static json_t *show_routes(const struct edge *edge)
{
	struct admin_table table = ADMIN_TABLE_NEW(route_columns);
	GList *hosts = values_by_name(edge->routes->hosts);
	GList *at;

	for (at = hosts; at; at = at->next) {
		const GPtrArray *routes = at->data;
		guint i;
		guint j;

		for (i = 0; i < routes->len; i++) {
			const struct route *route = routes->pdata[i];

			for (j = 0; j < route->services->len; j++)
				add_route(&table, route,
					  route->services->pdata[j]);
		}
	}
	g_list_free(hosts);
	return admin_finish_table(edge, &table, "parts of routes");
}

/* --- versions and refusals ---------------------------------------------- */

static json_t *show_version(const struct edge *edge)
{
	static const char *const columns[] = {
		"table", "row_version",	     "era",
		"whole", "confirmed_age_us", "failures"
	};
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	struct sync_table_state views[SYNC_TABLES];
	uint32_t count = edge->sync ? sync_table_states(edge->sync, views) : 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		json_t *const values[] = {
			json_string(views[i].name),
			admin_json_number(views[i].version),
			admin_json_number(views[i].era),
			json_boolean(views[i].loaded),
			age(views[i].confirmed_us, edge_now_us(edge)),
			admin_json_number(views[i].failures),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
	}
	return admin_finish_table(edge, &table, "tables of the platform");
}

static json_t *show_faults(const struct edge *edge)
{
	static const char *const columns[] = { "version", "entry", "cause" };
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	const GPtrArray *faults = edge->routes->faults;
	guint i;

	if (edge->routes_error) {
		json_t *const values[] = {
			json_null(),
			json_string("newest version"),
			admin_json_text(edge->routes_error),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
	}
	for (i = 0; i < faults->len; i++) {
		const struct route_fault *fault = faults->pdata[i];
		json_t *const values[] = {
			admin_json_number(edge->routes->version),
			admin_json_text(fault->entry),
			admin_json_text(fault->cause),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
	}
	return admin_finish_table(edge, &table, "faults");
}

static json_t *show_refusals(const struct edge *edge)
{
	static const char *const columns[] = { "cause", "status", "count",
					       "last_age_us", "last_request" };
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	GList *refusals = values_by_name(edge->refusals);
	GList *at;

	for (at = refusals; at; at = at->next) {
		const struct refusal *refusal = at->data;
		json_t *const values[] = {
			admin_json_text(refusal->cause),
			admin_json_number(refusal->status),
			admin_json_number(refusal->count),
			age(refusal->last_us, edge_now_us(edge)),
			admin_json_text(refusal->last_request_id),
		};

		ADMIN_TABLE_ADD(&table, columns, values);
	}
	g_list_free(refusals);
	return admin_finish_table(edge, &table, "causes");
}

json_t *admin_show_table(const struct edge *edge, const struct query *query,
			 GError **error)
{
	switch (query->verb) {
	case QUERY_SHOW_PLACES:
		return show_places(edge);
	case QUERY_SHOW_NODES:
		return show_nodes(edge);
	case QUERY_SHOW_BACKENDS:
		return show_backends(edge, query);
	case QUERY_SHOW_SERVICES:
		return show_services(edge);
	case QUERY_SHOW_ROUTES:
		return show_routes(edge);
	case QUERY_SHOW_VERSION:
		return show_version(edge);
	case QUERY_SHOW_REFUSALS:
		return show_refusals(edge);
	case QUERY_SHOW_FAULTS:
		return show_faults(edge);
	case QUERY_SHOW_SUSPECTS:
		return admin_show_suspects(edge);
	case QUERY_SHOW_LIMITS:
		return admin_show_limits(edge);
	case QUERY_SHOW_ACCOUNTS:
		return admin_show_accounts(edge);
	case QUERY_SHOW_ROOM:
		return admin_show_room(edge, query, error);
	case QUERY_SHOW_MEMORY:
		return admin_show_memory(edge);
	default:
		g_set_error_literal(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
				    "there are no shifts here: shares of "
				    "traffic are the weights of a route's "
				    "split (show routes)");
		return NULL;
	}
}
