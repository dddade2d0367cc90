#include "core/reach.h"

#include <string.h>

#include "core/hash.h"

static bool contains(const uint32_t *list, uint32_t count, uint32_t incarnation)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (list[i] == incarnation)
			return true;
	return false;
}

/* Adds the server; ignored if it is there or the list is full. */
static void add(uint32_t *list, uint32_t *count, uint32_t size,
		uint32_t incarnation)
{
	if (*count < size && !contains(list, *count, incarnation))
		list[(*count)++] = incarnation;
}

static bool set_state(struct reach *reach, enum reach_state state)
{
	if (reach->state == state)
		return false;
	reach->state = state;
	return true;
}

bool reach_accepted(struct reach *reach, uint32_t incarnation, uint32_t known,
		    uint64_t now_us)
{
	reach->accepted_us = now_us;
	if (reach->state == REACH_PARTITIONED) {
		add(reach->accepted, &reach->accepted_count, REACH_BACK_SERVERS,
		    incarnation);
		if (reach->accepted_count <
		    MIN(REACH_BACK_SERVERS, MAX(known, 1)))
			return false;
	}
	reach->accepted_count = 0;
	reach->failed_count = 0;
	reach->failing_since_us = 0;
	return set_state(reach, REACH_CONNECTED);
}

bool reach_failed(struct reach *reach, uint32_t incarnation, uint32_t known,
		  uint64_t now_us)
{
	reach->accepted_count = 0;
	if (!known || reach->state == REACH_PARTITIONED)
		return false;
	if (reach->accepted_us && now_us - reach->accepted_us < REACH_FRESH_US)
		return false;
	if (reach->state == REACH_CONNECTED &&
	    now_us - reach->failing_since_us > REACH_WINDOW_US)
		reach->failed_count = 0;
	if (!reach->failed_count)
		reach->failing_since_us = now_us;
	add(reach->failed, &reach->failed_count, REACH_PARTITIONED_SERVERS,
	    incarnation);
	if (reach->failed_count >= MIN(REACH_PARTITIONED_SERVERS, known)) {
		reach->partitioned_us = now_us;
		return set_state(reach, REACH_PARTITIONED);
	}
	if (reach->failed_count >= MIN(REACH_DOUBT_SERVERS, known))
		return set_state(reach, REACH_IN_DOUBT);
	return false;
}

bool reach_doubt(struct reach *reach, uint64_t now_us)
{
	if (reach->state != REACH_CONNECTED)
		return false;
	if (!reach->failed_count)
		reach->failing_since_us = now_us;
	return set_state(reach, REACH_IN_DOUBT);
}

void reach_answered(struct reach *reach, uint64_t now_us)
{
	reach->answered_us = now_us;
}

bool reach_kept_connections_work(const struct reach *reach)
{
	return reach->state != REACH_PARTITIONED ||
	       reach->answered_us > reach->partitioned_us;
}

/* --- probes ------------------------------------------------------------- */

/* Servers that a probe should differ from: those asked already and picked. */
struct asked {
	const struct backend *list[REACH_PARTITIONED_SERVERS +
				   REACH_BACK_SERVERS + REACH_MAX_PROBES];
	uint32_t count;
};

static void add_asked(struct asked *asked, const struct backend_table *backends,
		      const uint32_t *incarnations, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct backend *backend = backend_table_find_incarnation(
			backends, incarnations[i]);

		if (backend)
			asked->list[asked->count++] = backend;
	}
}

static uint32_t distance_to(const struct backend *backend, const char *domain,
			    const char *region)
{
	if (!strcmp(backend->domain, domain))
		return 0;
	return strcmp(backend->region, region) ? 2 : 1;
}

/* Weights of what makes a server a worse one to probe. */
#define COST_ASKED 1000
#define COST_SAME_DOMAIN 10
#define COST_SAME_SERVICE 10
#define COST_DISTANCE 1

static uint32_t probe_cost(const struct asked *asked,
			   const struct backend *backend, const char *domain,
			   const char *region)
{
	uint32_t cost = COST_DISTANCE * distance_to(backend, domain, region);
	uint32_t i;

	for (i = 0; i < asked->count; i++) {
		const struct backend *other = asked->list[i];

		if (other == backend)
			cost += COST_ASKED;
		if (!strcmp(other->domain, backend->domain))
			cost += COST_SAME_DOMAIN;
		if (!strcmp(other->service, backend->service))
			cost += COST_SAME_SERVICE;
	}
	return cost;
}

static struct backend *cheapest_probe(const struct asked *asked,
				      const struct backend_table *backends,
				      const char *domain, const char *region,
				      uint32_t turn)
{
	struct backend *best = NULL;
	uint32_t best_cost = 0;
	uint64_t best_turn = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;
		uint32_t cost = probe_cost(asked, backend, domain, region);
		uint64_t in_turn = hash_pair(backend->incarnation, turn);

		if (best && (cost > best_cost ||
			     (cost == best_cost && in_turn >= best_turn)))
			continue;
		best = backend;
		best_cost = cost;
		best_turn = in_turn;
	}
	return best;
}

uint32_t reach_pick_probes(const struct reach *reach,
			   const struct backend_table *backends,
			   const char *domain, const char *region,
			   uint32_t turn, struct backend **picked, uint32_t max)
{
	uint32_t known = g_hash_table_size(backends->by_id);
	struct asked asked = { .count = 0 };
	uint32_t count;

	add_asked(&asked, backends, reach->failed, reach->failed_count);
	add_asked(&asked, backends, reach->accepted, reach->accepted_count);
	max = MIN(MIN(max, known), REACH_MAX_PROBES);
	for (count = 0; count < max; count++) {
		picked[count] =
			cheapest_probe(&asked, backends, domain, region, turn);
		asked.list[asked.count++] = picked[count];
	}
	return count;
}

const char *reach_state_name(enum reach_state state)
{
	switch (state) {
	case REACH_CONNECTED:
		return "connected";
	case REACH_IN_DOUBT:
		return "in-doubt";
	case REACH_PARTITIONED:
		return "partitioned";
	}
	return "unknown";
}
