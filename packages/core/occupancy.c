#include "core/occupancy.h"

#include <math.h>
#include <string.h>

/*
 * Load, as a fraction of the slots, from which cold runs take capacity that
 * other requests wait for: single servers have queues well before all do.
 */
#define SHORT_ABOVE 0.7

/* Load below which the shortage ends, if it stays there for RECOVERY_US. */
#define RECOVERED_BELOW 0.6
#define RECOVERY_US (1 * US_PER_S)

/* Share of servers with reports that the sum is trusted with. */
#define REPORTED_MIN 0.5

/* The same while short, so that a few late reports don't end a shortage. */
#define REPORTED_MIN_WHILE_SHORT 0.3

static void clear_region(gpointer data)
{
	struct occupancy_region *region = data;

	g_free(region->name);
}

struct occupancy *occupancy_new(void)
{
	struct occupancy *occupancy = g_new0(struct occupancy, 1);

	occupancy->regions =
		g_array_new(FALSE, TRUE, sizeof(struct occupancy_region));
	g_array_set_clear_func(occupancy->regions, clear_region);
	return occupancy;
}

void occupancy_free(struct occupancy *occupancy)
{
	g_array_unref(occupancy->regions);
	g_free(occupancy);
}

static bool is_usable(const struct backend_table *backends,
		      const struct backend *backend, uint64_t now_us)
{
	return !backend_is_closed(backends, backend) &&
	       !backend_is_resting(backend, now_us) &&
	       backend->shun_until_us <= now_us &&
	       backend->cold_until_us <= now_us;
}

static bool is_recent(uint64_t at_us, uint64_t now_us)
{
	return at_us && now_us - at_us < BACKEND_REPORT_VALID_US;
}

/* Whether its load is known from its answers or from peers' requests. */
static bool is_reported(const struct backend *backend, uint64_t now_us)
{
	uint32_t i;

	if (backend_has_report(backend, now_us) ||
	    is_recent(backend->other_load_at_us, now_us))
		return true;
	for (i = 0; i < BACKEND_MAX_PEER_LOADS; i++)
		if (is_recent(backend->peer_loads[i].at_us, now_us))
			return true;
	return false;
}

static struct occupancy_region *region_of(struct occupancy *occupancy,
					  const char *name)
{
	struct occupancy_region added = { .name = NULL };
	guint i;

	for (i = 0; i < occupancy->regions->len; i++) {
		struct occupancy_region *region = &g_array_index(
			occupancy->regions, struct occupancy_region, i);

		if (!strcmp(region->name, name))
			return region;
	}
	added.name = g_strdup(name);
	g_array_append_val(occupancy->regions, added);
	return &g_array_index(occupancy->regions, struct occupancy_region, i);
}

static void count(struct occupancy *occupancy,
		  const struct backend_table *backends,
		  const struct backend *backend, uint64_t now_us)
{
	/* A region whose servers are all unusable counts with sums of 0. */
	struct occupancy_region *region = region_of(occupancy, backend->region);
	double load;

	if (!is_usable(backends, backend, now_us))
		return;
	load = backend_load(backend, now_us);
	region->slots += backend->slots;
	region->load += load;
	occupancy->slots += backend->slots;
	occupancy->load += load;
	occupancy->servers++;
	occupancy->reported += is_reported(backend, now_us);
}

/* Load per slot of servers with reports; 0 if under half of them have one. */
static double told_load_per_slot(const struct backend_table *backends,
				 const GPtrArray *servers, uint64_t now_us)
{
	double slots = 0;
	double load = 0;
	guint usable = 0;
	guint told = 0;
	guint i;

	for (i = 0; servers && i < servers->len; i++) {
		const struct backend *backend = servers->pdata[i];

		if (!is_usable(backends, backend, now_us))
			continue;
		usable++;
		if (!backend_has_report(backend, now_us))
			continue;
		told++;
		slots += backend->slots;
		load += backend_load(backend, now_us);
	}
	return slots > 0 && told >= REPORTED_MIN * usable ? load / slots : 0;
}

static void assume_load_of_others(const struct backend_table *backends,
				  const GPtrArray *servers, uint64_t now_us)
{
	double per_slot = told_load_per_slot(backends, servers, now_us);
	guint i;

	for (i = 0; servers && i < servers->len; i++) {
		struct backend *backend = servers->pdata[i];

		/* One slot counts as free, or it would never be tried. */
		backend_assume_others(backend, fmin(per_slot * backend->slots,
						    backend->slots - 1.0));
	}
}

static bool is_short(struct occupancy *occupancy, uint64_t now_us)
{
	double used = occupancy_used(occupancy);
	double reported_min = occupancy->is_short ? REPORTED_MIN_WHILE_SHORT :
						    REPORTED_MIN;

	if (!occupancy->servers ||
	    occupancy->reported < reported_min * occupancy->servers)
		return false;
	if (used >= RECOVERED_BELOW)
		occupancy->high_us = now_us;
	if (occupancy->is_short)
		return now_us - occupancy->high_us < RECOVERY_US;
	return used > SHORT_ABOVE;
}

static void clear_sums(struct occupancy *occupancy)
{
	g_array_set_size(occupancy->regions, 0);
	occupancy->slots = 0;
	occupancy->load = 0;
	occupancy->servers = 0;
	occupancy->reported = 0;
}

bool occupancy_update(struct occupancy *occupancy,
		      const struct backend_table *backends, const char *service,
		      uint64_t now_us)
{
	const GPtrArray *servers = backend_table_by_service(backends, service);
	guint i;

	if (occupancy->updated_us &&
	    now_us - occupancy->updated_us < OCCUPANCY_VALID_US)
		return false;
	clear_sums(occupancy);
	assume_load_of_others(backends, servers, now_us);
	for (i = 0; servers && i < servers->len; i++)
		count(occupancy, backends, servers->pdata[i], now_us);
	occupancy->is_short = is_short(occupancy, now_us);
	occupancy->updated_us = now_us;
	return true;
}

double occupancy_used(const struct occupancy *occupancy)
{
	return occupancy->slots > 0 ? occupancy->load / occupancy->slots : 0;
}
