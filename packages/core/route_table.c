#include "core/route_table.h"

#include <math.h>
#include <string.h>

static void route_service_free(gpointer data)
{
	struct route_service *entry = data;

	g_free(entry->service);
	g_free(entry);
}

static void service_free(gpointer data)
{
	struct service *service = data;

	g_free(service->name);
	g_free(service);
}

static void fault_free(gpointer data)
{
	struct route_fault *fault = data;

	g_free(fault->entry);
	g_free(fault->cause);
	g_free(fault);
}

static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct route *left = *(struct route *const *)a;
	const struct route *right = *(struct route *const *)b;
	size_t left_length = strlen(left->prefix);
	size_t right_length = strlen(right->prefix);

	return (left_length < right_length) - (left_length > right_length);
}

static bool prefix_is_well_formed(const char *prefix)
{
	size_t length = strlen(prefix);

	return length && prefix[0] == '/' && prefix[length - 1] == '/';
}

static double largest_weight(const struct route *route)
{
	double largest = 0;
	guint i;

	for (i = 0; i < route->services->len; i++) {
		const struct route_service *entry = route->services->pdata[i];

		largest = fmax(largest, entry->weight);
	}
	return largest;
}

/* What makes the route unusable, for g_free(); NULL: nothing. */
static char *find_defect(const struct route_table *table,
			 const struct route *route)
{
	guint i;

	if (!route->timeout_us || !route->target_us || !route->max_attempts)
		return g_strdup("timeout, latency target and max attempts must "
				"be above 0");
	for (i = 0; i < route->services->len; i++) {
		const struct route_service *entry = route->services->pdata[i];

		if (!route_table_service(table, entry->service))
			return g_strdup_printf("unknown service %s",
					       entry->service);
	}
	if (largest_weight(route) <= 0)
		return g_strdup("no service with a weight above 0");
	return NULL;
}

struct route_table *route_table_new(uint64_t version)
{
	struct route_table *table = g_new0(struct route_table, 1);

	table->references = 1;
	table->version = version;
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	table->prefixes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_free);
	table->faults = g_ptr_array_new_with_free_func(fault_free);
	table->limits = (struct route_limits){
		ROUTE_LIMIT_UNKNOWN,
		ROUTE_LIMIT_UNKNOWN,
		ROUTE_LIMIT_UNKNOWN,
		ROUTE_LIMIT_UNKNOWN,
	};
	return table;
}

void route_table_add_fault(struct route_table *table, const char *entry,
			   const char *cause)
{
	struct route_fault *fault;

	table->fault_count++;
	if (table->faults->len >= ROUTE_TABLE_MAX_FAULTS)
		return;
	fault = g_new0(struct route_fault, 1);
	fault->entry = g_strdup(entry);
	fault->cause = g_strdup(cause);
	g_ptr_array_add(table->faults, fault);
}

struct route *route_new(const char *name, const char *host, const char *prefix)
{
	struct route *route = g_new0(struct route, 1);

	route->name = g_strdup(name);
	route->host = g_ascii_strdown(host, -1);
	route->prefix = g_strdup(prefix);
	route->timeout_us = ROUTE_DEFAULT_TIMEOUT_US;
	route->target_us = ROUTE_DEFAULT_TIMEOUT_US;
	route->max_attempts = 1;
	route->services = g_ptr_array_new_with_free_func(route_service_free);
	route->regions = g_ptr_array_new_with_free_func(g_free);
	return route;
}

void route_free(struct route *route)
{
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_ptr_array_unref(route->services);
	g_ptr_array_unref(route->regions);
	g_free(route);
}

struct route *route_table_add(struct route_table *table, struct route *route)
{
	GPtrArray *routes = g_hash_table_lookup(table->hosts, route->host);

	if (!routes) {
		routes = g_ptr_array_new_with_free_func(
			(GDestroyNotify)route_free);
		g_hash_table_insert(table->hosts, g_strdup(route->host),
				    routes);
	}
	g_ptr_array_add(routes, route);
	table->route_count++;
	return route;
}

void route_add_service(struct route *route, const char *service, double weight)
{
	struct route_service *entry = g_new0(struct route_service, 1);

	entry->service = g_strdup(service);
	entry->weight = weight;
	g_ptr_array_add(route->services, entry);
}

struct service *route_table_add_service(struct route_table *table,
					const char *name)
{
	struct service *service = g_new0(struct service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(table->services, service->name, service);
	return service;
}

/*
 * Separates host and prefix in a key. Neither contains it, so a Host header
 * with a slash never matches the key of another host with a prefix.
 */
#define KEY_SEPARATOR '\n'

static void index_route(struct route_table *table, struct route *route)
{
	char *key = g_strdup_printf("%s%c%s", route->host, KEY_SEPARATOR,
				    route->prefix);

	table->longest_prefix =
		MAX(table->longest_prefix, strlen(route->prefix));
	if (g_hash_table_contains(table->prefixes, key))
		g_free(key);
	else
		g_hash_table_insert(table->prefixes, key, route);
}

/* Marks the services of the route that coordinate, see struct service. */
static void mark_coordinating(const struct route_table *table,
			      const struct route *route)
{
	guint i;

	for (i = 0; i < route->services->len; i++) {
		const struct route_service *part = route->services->pdata[i];
		struct service *service =
			g_hash_table_lookup(table->services, part->service);

		if (route->bulk)
			service->coordinates = true;
	}
}

/*
 * Sets the shares, and credits at random. Weights are taken relative to the
 * largest one, so that no sum of them is infinite.
 */
static void start_split(struct route *route)
{
	double largest = largest_weight(route);
	double sum = 0;
	guint i;

	for (i = route->services->len; i > 0; i--) {
		struct route_service *entry = route->services->pdata[i - 1];
		double weight = entry->weight / largest;

		sum += weight;
		entry->share = sum > 0 ? weight / sum : 0;
		entry->credit = g_random_double();
	}
}

/* Whether the route can be found by requests. */
static bool place_route(struct route_table *table, struct route *route)
{
	if (*route->host && prefix_is_well_formed(route->prefix)) {
		index_route(table, route);
		return true;
	}
	table->lacks_routes = true;
	route_table_add_fault(table, route->name,
			      "host is empty, or prefix does not begin and end "
			      "with a slash");
	return false;
}

static void seal_route(struct route_table *table, struct route *route)
{
	char *defect;

	if (!place_route(table, route) || route->unusable)
		return;
	defect = find_defect(table, route);
	if (defect) {
		route->unusable = true;
		route_table_add_fault(table, route->name, defect);
		g_free(defect);
		return;
	}
	start_split(route);
	mark_coordinating(table, route);
}

void route_table_seal(struct route_table *table)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, table->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GPtrArray *routes = value;

		for (i = 0; i < routes->len; i++)
			seal_route(table, routes->pdata[i]);
		g_ptr_array_sort(routes, compare_prefix_length);
	}
}

static void fill_limit(uint64_t *limit, uint64_t other)
{
	if (*limit == ROUTE_LIMIT_UNKNOWN)
		*limit = other;
}

void route_table_fill_limits(struct route_table *table,
			     const struct route_limits *others)
{
	struct route_limits *limits = &table->limits;

	fill_limit(&limits->max_header_bytes, others->max_header_bytes);
	fill_limit(&limits->max_body_bytes, others->max_body_bytes);
	fill_limit(&limits->header_timeout_us, others->header_timeout_us);
	fill_limit(&limits->idle_timeout_us, others->idle_timeout_us);
}

struct route_table *route_table_ref(struct route_table *table)
{
	table->references++;
	return table;
}

void route_table_unref(struct route_table *table)
{
	if (!table || --table->references)
		return;
	g_hash_table_destroy(table->prefixes);
	g_hash_table_destroy(table->hosts);
	g_hash_table_destroy(table->services);
	account_table_free(table->accounts);
	g_ptr_array_unref(table->faults);
	g_free(table);
}

struct route *route_table_find(const struct route_table *table,
			       const char *host, const char *path)
{
	size_t host_length = strcspn(host, ":");
	size_t length = MIN(strcspn(path, "?#"), table->longest_prefix);
	GString *key = g_string_new_len(host, (gssize)host_length);
	struct route *route = NULL;

	g_string_ascii_down(key);
	g_string_append_c(key, KEY_SEPARATOR);
	g_string_append_len(key, path, (gssize)length);
	/* From the last slash to the first, so the longest prefix matches. */
	for (; length && !route; length--) {
		if (path[length - 1] != '/')
			continue;
		g_string_truncate(key, host_length + 1 + length);
		route = g_hash_table_lookup(table->prefixes, key->str);
	}
	g_string_free(key, TRUE);
	return route;
}

const struct service *route_table_service(const struct route_table *table,
					  const char *name)
{
	return g_hash_table_lookup(table->services, name);
}

const char *route_next_service(struct route *route)
{
	struct route_service *entry = route->services->pdata[0];
	guint i;

	/* The last one with a weight has a share of 1. */
	for (i = 0; i < route->services->len; i++) {
		entry = route->services->pdata[i];
		entry->credit += entry->share;
		if (entry->credit >= 1)
			break;
	}
	entry->credit -= 1;
	return entry->service;
}

bool route_allows_region(const struct route *route, const char *region)
{
	guint i;

	for (i = 0; i < route->regions->len; i++)
		if (!strcmp(route->regions->pdata[i], region))
			return true;
	return !route->regions->len;
}
