#include <math.h>

#include "core/hash.h"
#include "experiment/fleet_parts.h"

/* A server takes up to so many times the mean load before the next in order. */
#define BOUND_PART 1.25

static bool may_use(const struct choose_query *query,
		    const struct backend *backend)
{
	uint32_t i;

	for (i = 0; i < query->tried_count; i++)
		if (query->tried[i] == backend)
			return false;
	return !backend->gone;
}

static double load_of(const struct node *node, const struct backend *backend)
{
	return backend_load(backend, node->fleet->now_us);
}

static struct backend *least_loaded(const struct node *node,
				    const struct choose_query *query,
				    const GPtrArray *backends)
{
	struct backend *best = NULL;
	guint i;

	for (i = 0; i < backends->len; i++) {
		struct backend *backend = backends->pdata[i];

		if (may_use(query, backend) &&
		    (!best || load_of(node, backend) < load_of(node, best)))
			best = backend;
	}
	return best;
}

static struct backend *of_two(const struct node *node,
			      const struct choose_query *query,
			      const GPtrArray *backends)
{
	gsl_rng *random = node->fleet->random;
	struct backend *one =
		backends->pdata[gsl_rng_uniform_int(random, backends->len)];
	struct backend *other =
		backends->pdata[gsl_rng_uniform_int(random, backends->len)];

	if (!may_use(query, one) && !may_use(query, other))
		return least_loaded(node, query, backends);
	if (!may_use(query, one))
		return other;
	if (!may_use(query, other))
		return one;
	return load_of(node, one) <= load_of(node, other) ? one : other;
}

static double mean_load(const struct node *node, const GPtrArray *backends)
{
	double total = 0;
	guint i;

	for (i = 0; i < backends->len; i++)
		total += load_of(node, backends->pdata[i]);
	return total / backends->len;
}

static struct backend *by_bounded_hash(const struct node *node,
				       const struct choose_query *query,
				       const GPtrArray *backends)
{
	double most = fmax(1.0, BOUND_PART * (mean_load(node, backends) + 1.0));
	struct backend *best = NULL;
	uint64_t best_score = 0;
	guint i;

	for (i = 0; i < backends->len; i++) {
		struct backend *backend = backends->pdata[i];
		uint64_t score = hash_pair(backend->hash, query->object);

		if (!may_use(query, backend) || load_of(node, backend) > most)
			continue;
		if (!best || score > best_score) {
			best = backend;
			best_score = score;
		}
	}
	return best ? best : least_loaded(node, query, backends);
}

struct backend *baseline_choose(struct node *node,
				const struct choose_query *query)
{
	const GPtrArray *backends =
		backend_table_by_service(node->backends, query->service->name);

	if (!backends || !backends->len)
		return NULL;
	switch (node->fleet->options->policy) {
	case FLEET_TWO_CHOICES:
		return of_two(node, query, backends);
	case FLEET_BOUNDED_HASH:
		return by_bounded_hash(node, query, backends);
	default:
		return least_loaded(node, query, backends);
	}
}
