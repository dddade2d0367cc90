#include "core/choose.h"

#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/patience.h"
#include "core/priority_mix.h"
#include "core/region_plan.h"

/* Round trip to another region until measured: across a continent. */
#define LINK_DEFAULT_US (60 * US_PER_MS)

/* Round trip within the region until measured. */
#define LINK_NEAR_US (1 * US_PER_MS)

/* Weight of one round trip in the moving average. */
#define LINK_WEIGHT 0.2

/* Weight of one answer in a service's times and in a server's slowness. */
#define TIMES_WEIGHT 0.05
#define SLOWNESS_WEIGHT 0.15
#define SLOWNESS_MIN 0.4
#define SLOWNESS_MAX 20.0

/*
 * Lower bound of the service time, as a fraction of the time to the answer: the
 * expected wait that is subtracted may exceed the real one.
 */
#define WORK_FRACTION_MIN 0.2

struct link_time {
	double round_trip_us;
};

static void free_room(gpointer room)
{
	room_free(room);
}

void chooser_init(struct chooser *chooser, struct backend_table *backends,
		  struct member_table *members, struct warmth *warmth,
		  const char *domain, const char *region)
{
	memset(chooser, 0, sizeof(*chooser));
	chooser->backends = backends;
	chooser->members = members;
	chooser->warmth = warmth;
	chooser->domain = domain;
	chooser->region = region;
	chooser->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	chooser->flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	chooser->returns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	chooser->mixes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	chooser->occupancies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)occupancy_free);
	chooser->plans =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)region_plan_free);
	chooser->rooms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_room);
	chooser->patiences =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	chooser->region_demand = room_region_demand;
}

void chooser_release(struct chooser *chooser)
{
	g_hash_table_destroy(chooser->links);
	g_hash_table_destroy(chooser->flows);
	g_hash_table_destroy(chooser->returns);
	g_hash_table_destroy(chooser->mixes);
	g_hash_table_destroy(chooser->occupancies);
	g_hash_table_destroy(chooser->plans);
	g_hash_table_destroy(chooser->rooms);
	g_hash_table_destroy(chooser->patiences);
}

struct room *chooser_find_room(const struct chooser *chooser,
			       const char *service)
{
	return g_hash_table_lookup(chooser->rooms, service);
}

struct room *chooser_room(struct chooser *chooser, const char *service)
{
	struct room *room = chooser_find_room(chooser, service);

	if (!room) {
		room = room_new(chooser->region);
		g_hash_table_insert(chooser->rooms, g_strdup(service), room);
	}
	return room;
}

void chooser_arrived(struct chooser *chooser, const struct choose_query *query,
		     uint64_t now_us)
{
	const char *service = query->service->name;
	struct priority_mix *mix = g_hash_table_lookup(chooser->mixes, service);

	if (!mix) {
		mix = g_new0(struct priority_mix, 1);
		g_hash_table_insert(chooser->mixes, g_strdup(service), mix);
	}
	priority_mix_record(mix, query->priority, now_us);
}

static struct patience *patience_of(struct chooser *chooser, const char *route)
{
	struct patience *patience =
		g_hash_table_lookup(chooser->patiences, route);

	if (!patience) {
		patience = g_new0(struct patience, 1);
		g_hash_table_insert(chooser->patiences, g_strdup(route),
				    patience);
	}
	return patience;
}

void chooser_offered(struct chooser *chooser, struct choose_query *query,
		     uint64_t now_us)
{
	const struct room_class class = choose_query_class(query);
	struct patience *patience;

	if (!backend_table_coordinates(chooser->backends, query->service))
		return;
	room_note_offered(chooser_room(chooser, query->service->name), &class,
			  now_us);
	patience = patience_of(chooser, query->route->name);
	patience_note(patience, query->patience_us);
	query->spent_before_us =
		patience_spent_us(patience, query->patience_us);
}

void chooser_link_measured(struct chooser *chooser, const char *region,
			   uint64_t round_trip_us)
{
	struct link_time *link = g_hash_table_lookup(chooser->links, region);

	if (!link) {
		link = g_new0(struct link_time, 1);
		link->round_trip_us = (double)round_trip_us;
		g_hash_table_insert(chooser->links, g_strdup(region), link);
		return;
	}
	link->round_trip_us +=
		LINK_WEIGHT * ((double)round_trip_us - link->round_trip_us);
}

uint64_t chooser_link_us(const struct chooser *chooser, const char *region)
{
	const struct link_time *link =
		g_hash_table_lookup(chooser->links, region);

	if (link)
		return (uint64_t)link->round_trip_us;
	return strcmp(region, chooser->region) ? LINK_DEFAULT_US : LINK_NEAR_US;
}

void chooser_began(struct chooser *chooser, const struct choose_query *query,
		   const struct choice *choice, uint64_t now_us)
{
	struct warm_pair pair = { choice->backend->incarnation, query->object };
	struct room *room = chooser_find_room(chooser, query->service->name);
	const struct room_class class = choose_query_class(query);

	if (room && !query->tried_count)
		room_note_admitted(room, &class, now_us);
	if (query->has_object && !choice->warm)
		warmth_begin(chooser->warmth, pair, WARM_OWN,
			     now_us + (uint64_t)choice->expected_us, now_us);
}

void chooser_failed(struct chooser *chooser, const struct choose_query *query,
		    const struct choice *choice)
{
	struct warm_pair pair = { choice->backend->incarnation, query->object };

	if (query->has_object && !choice->warm)
		warmth_abandon(chooser->warmth, pair);
}

void chooser_learn(struct chooser *chooser, const struct choose_query *query,
		   const struct choice *choice, uint64_t took_us,
		   uint64_t round_trip_us, uint64_t now_us)
{
	struct backend *backend = choice->backend;
	struct service_times *times =
		backend_table_times(chooser->backends, query->service->name,
				    query->route->target_us);
	struct warm_pair pair = { backend->incarnation, query->object };
	double *usual_us = choice->warm ? &times->warm_us : &times->cold_us;
	double service_us = fmax((double)took_us - ((double)round_trip_us +
						    choice->wait_us),
				 WORK_FRACTION_MIN * (double)took_us) /
			    backend_speed(backend, now_us);
	double ratio = service_us / *usual_us;
	struct room *room = chooser_find_room(chooser, query->service->name);

	if (room)
		room_note_response(room, choice->expected_us, (double)took_us);
	if (query->has_object)
		warmth_note(chooser->warmth, pair, WARM_OWN, now_us);
	if (backend->cold_until_us > now_us)
		return;
	backend->slowness += SLOWNESS_WEIGHT * (ratio - backend->slowness);
	backend->slowness =
		CLAMP(backend->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
	*usual_us += TIMES_WEIGHT * (service_us - *usual_us);
	times->samples++;
}

double chooser_far_share(const struct chooser *chooser, const char *service)
{
	const struct region_flow *flow =
		g_hash_table_lookup(chooser->flows, service);

	return flow ? flow->share : 0;
}

double chooser_wanted_far_share(const struct chooser *chooser,
				const char *service)
{
	const struct region_plan *plan =
		g_hash_table_lookup(chooser->plans, service);

	return plan && plan->known ? plan->wanted : -1;
}

const struct occupancy *chooser_occupancy(const struct chooser *chooser,
					  const char *service)
{
	return g_hash_table_lookup(chooser->occupancies, service);
}

bool chooser_plans_cold_runs(const struct chooser *chooser, const char *service)
{
	const struct occupancy *occupancy = chooser_occupancy(chooser, service);

	return occupancy && occupancy->is_short;
}

const char *choose_reason_name(enum choose_reason reason)
{
	switch (reason) {
	case CHOOSE_WARM:
		return "warm";
	case CHOOSE_RANK:
		return "rank";
	case CHOOSE_TRIAL:
		return "trial";
	case CHOOSE_HOLD:
		return "hold";
	case CHOOSE_NONE_USABLE:
		return "none-known";
	case CHOOSE_NONE_FREE:
		return "none-free";
	case CHOOSE_NO_RATE:
		return "no-rate";
	case CHOOSE_ALL_REST:
		return "resting";
	}
	return "unknown";
}

const char *choose_block_name(enum choose_block block)
{
	switch (block) {
	case CHOOSE_OPEN:
		return "open";
	case CHOOSE_LEAVING:
		return "leaving";
	case CHOOSE_EVACUATED:
		return "evacuated";
	case CHOOSE_SHUNNED:
		return "shunned";
	case CHOOSE_RESTING:
		return "resting";
	case CHOOSE_TRIED:
		return "tried";
	case CHOOSE_FORBIDDEN:
		return "region-forbidden";
	case CHOOSE_COLD:
		return "cold-allowance";
	case CHOOSE_SUSPECT:
		return "suspect-at-work";
	case CHOOSE_LIMITED:
		return "rate-limit";
	}
	return "unknown";
}
