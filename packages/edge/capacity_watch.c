#include "edge/capacity_watch.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/occupancy.h"

/* Least time between two lines of a service, should its load swing. */
#define LINE_INTERVAL_US (5 * US_PER_S)

struct service_watch {
	bool told_short; /* by the last line */
	uint64_t told_us; /* when that was written; 0: never */
	struct metric *used_permille;
	struct metric *is_short;
	struct metric *far_permille;
};

struct capacity_watch {
	GHashTable *services; /* name -> struct service_watch */
};

struct capacity_watch *capacity_watch_new(void)
{
	struct capacity_watch *watch = g_new0(struct capacity_watch, 1);

	watch->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return watch;
}

void capacity_watch_free(struct capacity_watch *watch)
{
	g_hash_table_destroy(watch->services);
	g_free(watch);
}

static struct service_watch *service_watch_new(const char *service)
{
	struct service_watch *watch = g_new0(struct service_watch, 1);
	char *escaped = g_strescape(service, NULL);
	char *label = g_strdup_printf("service=\"%s\"", escaped);

	watch->used_permille = metric_gauge(
		"lilacfield_capacity_used_permille",
		"load of a service's usable servers / their slots", label);
	watch->is_short = metric_gauge(
		"lilacfield_capacity_short",
		"1 while cold runs of a service are planned", label);
	watch->far_permille =
		metric_gauge("lilacfield_far_permille",
			     "share of a service's objects that leaves the "
			     "region",
			     label);
	g_free(label);
	g_free(escaped);
	return watch;
}

static uint64_t permille(double share)
{
	return (uint64_t)(share * 1000 + 0.5);
}

static void tell(struct service_watch *watch, const char *service,
		 const struct occupancy *occupancy, uint64_t now_us)
{
	if (occupancy->is_short == watch->told_short ||
	    (watch->told_us && now_us - watch->told_us < LINE_INTERVAL_US))
		return;
	watch->told_short = occupancy->is_short;
	watch->told_us = now_us;
	log_event(LOG_INFO,
		  occupancy->is_short ? "capacity-short" : "capacity-recovered",
		  "service=%s used_permille=%" PRIu64
		  " slots=%.0f servers=%" PRIu32 " reported=%" PRIu32,
		  service, permille(occupancy_used(occupancy)),
		  occupancy->slots, occupancy->servers, occupancy->reported);
}

static struct service_watch *watch_of(struct capacity_watch *watch,
				      const char *service)
{
	struct service_watch *found =
		g_hash_table_lookup(watch->services, service);

	if (!found) {
		found = service_watch_new(service);
		g_hash_table_insert(watch->services, g_strdup(service), found);
	}
	return found;
}

/* Services that no longer share load and demand have no occupancy. */
static void clear_metrics(const struct capacity_watch *watch,
			  const struct edge *edge)
{
	GHashTableIter iter;
	gpointer service;
	gpointer value;

	g_hash_table_iter_init(&iter, watch->services);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		struct service_watch *watched = value;

		if (chooser_occupancy(&edge->chooser, service))
			continue;
		watched->told_short = false;
		metric_set(watched->used_permille, 0);
		metric_set(watched->is_short, 0);
	}
}

void capacity_watch_check(struct capacity_watch *watch, struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);
	GHashTableIter iter;
	gpointer service;
	gpointer value;

	clear_metrics(watch, edge);
	g_hash_table_iter_init(&iter, edge->chooser.occupancies);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		struct occupancy *occupancy = value;
		struct service_watch *watched = watch_of(watch, service);

		/* Without requests, no choice brings it up to date. */
		occupancy_update(occupancy, edge->backends, service, now_us);
		tell(watched, service, occupancy, now_us);
		metric_set(watched->used_permille,
			   (int64_t)permille(occupancy_used(occupancy)));
		metric_set(watched->is_short, occupancy->is_short);
		metric_set(watched->far_permille,
			   (int64_t)permille(
				   chooser_far_share(&edge->chooser, service)));
	}
}
