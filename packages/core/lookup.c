#include "core/lookup.h"

#include <glib.h>
#include <string.h>

/* Maximum number of strides per place, each coprime to its node count. */
#define MAX_STRIDES 8

/* Maximum number of nodes per place other than home in an answer. */
#define REMOTE_PLACE_NODES 2

/* In order of preference; a class is used only if the ones before are empty. */
enum node_class {
	CLASS_USABLE,
	CLASS_LEAVING, /* or drained; still answers */
	CLASS_DEAD,
	CLASS_COUNT,
};

struct place_nodes {
	uint32_t region;
	uint32_t first; /* index in lookup_table.nodes */
	uint32_t count;
	uint32_t strides[MAX_STRIDES];
	uint32_t stride_count;
};

/* Places at the same distance from a region; tier 0 is the region itself. */
struct tier {
	uint32_t first; /* index in region_order.places */
	uint32_t count;
};

/* All places by distance from one region, nearest first. */
struct region_order {
	uint32_t *places;
	struct tier *tiers;
	uint32_t tier_count;
};

struct lookup_table {
	struct place_nodes *places;
	uint32_t *nodes; /* grouped by place */
	bool *drained; /* by node; the node or its place is drained */
	/* By region; an extra last one for callers without a home. */
	struct region_order *orders;
	uint32_t place_count;
	uint32_t region_count;
};

/*
 * Nodes found in one of: the home place, the rest of the home region, the other
 * regions.
 */
struct node_list {
	uint32_t nodes[LOOKUP_MAX_NODES];
	uint32_t count;
	uint32_t max_nodes;
};

/* Inputs of one look-up and the class of nodes it collects. */
struct walk {
	const struct lookup_table *table;
	const uint8_t *states;
	uint32_t home;
	uint32_t draw;
	enum node_class class_of;
};

/* Distance of a place from a region, for sorting. */
struct distance {
	bool is_remote;
	uint64_t one_way_us;
	uint32_t place;
};

static uint32_t gcd(uint32_t a, uint32_t b)
{
	uint32_t rest;

	while (b) {
		rest = a % b;
		a = b;
		b = rest;
	}
	return a;
}

/*
 * With a single stride, all callers of a dead node would get the same next
 * node; with several strides they spread over the others.
 */
static void find_strides(struct place_nodes *place)
{
	uint32_t stride;

	place->strides[0] = 1;
	place->stride_count = 1;
	for (stride = 2; stride < place->count; stride++) {
		if (place->stride_count == MAX_STRIDES)
			return;
		if (gcd(stride, place->count) == 1)
			place->strides[place->stride_count++] = stride;
	}
}

static uint32_t count_regions(const struct config *config,
			      struct lookup_table *table,
			      uint32_t *first_places)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t count = 0;
	void *known;
	uint32_t i;

	for (i = 0; i < config->place_count; i++) {
		if (g_hash_table_lookup_extended(
			    regions, config->places[i].region, NULL, &known)) {
			table->places[i].region = GPOINTER_TO_UINT(known);
			continue;
		}
		g_hash_table_insert(regions, config->places[i].region,
				    GUINT_TO_POINTER(count));
		table->places[i].region = count;
		first_places[count++] = i;
	}
	g_hash_table_destroy(regions);
	return count;
}

static void index_nodes(const struct config *config, struct lookup_table *table)
{
	uint32_t first = 0;
	uint32_t place;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		place = config->nodes[i].place;
		table->places[place].count++;
		table->drained[i] = config->nodes[i].drained ||
				    config->places[place].drained;
	}
	for (i = 0; i < config->place_count; i++) {
		table->places[i].first = first;
		first += table->places[i].count;
		find_strides(&table->places[i]);
		table->places[i].count = 0;
	}
	for (i = 0; i < config->node_count; i++) {
		struct place_nodes *own_place =
			&table->places[config->nodes[i].place];

		table->nodes[own_place->first + own_place->count++] = i;
	}
}

static bool is_as_far(const struct distance *left, const struct distance *right)
{
	return left->is_remote == right->is_remote &&
	       (!left->is_remote || left->one_way_us == right->one_way_us);
}

static int compare_distances(const void *a, const void *b)
{
	const struct distance *left = a;
	const struct distance *right = b;

	if (left->is_remote != right->is_remote)
		return left->is_remote ? 1 : -1;
	if (left->is_remote && left->one_way_us != right->one_way_us)
		return left->one_way_us < right->one_way_us ? -1 : 1;
	if (left->place != right->place)
		return left->place < right->place ? -1 : 1;
	return 0;
}

static void fill_order(struct region_order *order,
		       const struct distance *distances, uint32_t count)
{
	struct tier *tier = NULL;
	uint32_t i;

	order->places = g_new(uint32_t, count);
	order->tiers = g_new0(struct tier, count);
	for (i = 0; i < count; i++) {
		order->places[i] = distances[i].place;
		if (!i || !is_as_far(&distances[i - 1], &distances[i])) {
			tier = &order->tiers[order->tier_count++];
			tier->first = i;
		}
		tier->count++;
	}
}

/*
 * Build the order of a region; for region_count, that of callers without a
 * home, a single tier of all places.
 */
static void order_region(const struct config *config,
			 struct lookup_table *table, uint32_t region,
			 const uint32_t *first_places)
{
	struct distance *distances;
	uint64_t *one_way_us = g_new0(uint64_t, table->region_count + 1);
	uint32_t i;

	if (region < table->region_count)
		for (i = 0; i < table->region_count; i++)
			one_way_us[i] = config_one_way_us(
				config, first_places[region], first_places[i]);
	distances = g_new0(struct distance, table->place_count);
	for (i = 0; i < table->place_count; i++) {
		distances[i].place = i;
		distances[i].is_remote = region < table->region_count &&
					 table->places[i].region != region;
		distances[i].one_way_us = one_way_us[table->places[i].region];
	}
	if (table->place_count)
		qsort(distances, table->place_count, sizeof(*distances),
		      compare_distances);
	fill_order(&table->orders[region], distances, table->place_count);
	g_free(distances);
	g_free(one_way_us);
}

static enum node_class node_class_of(const struct walk *walk, uint32_t node)
{
	uint8_t state = walk->states ? walk->states[node] : LOOKUP_ALIVE;

	if (state == LOOKUP_DEAD)
		return CLASS_DEAD;
	if (state != LOOKUP_ALIVE || walk->table->drained[node])
		return CLASS_LEAVING;
	return CLASS_USABLE;
}

/* Derive independent random numbers from a look-up's draw, one per salt. */
static uint32_t hash_draw(uint32_t draw, uint32_t salt)
{
	uint32_t mixed = draw + salt * 0x9e3779b9u;

	mixed ^= mixed >> 16;
	mixed *= 0x85ebca6bu;
	mixed ^= mixed >> 13;
	mixed *= 0xc2b2ae35u;
	return mixed ^ mixed >> 16;
}

/* Scale a 32-bit random number to 0 <= result < bound. */
static uint32_t scale_to(uint32_t random, uint32_t bound)
{
	return (uint32_t)((uint64_t)random * bound >> 32);
}

/* Add up to max_nodes nodes of one place that are of the walk's class. */
static void take_place(const struct walk *walk, uint32_t place,
		       uint32_t max_nodes, struct node_list *node_list)
{
	const struct place_nodes *nodes = &walk->table->places[place];
	uint32_t taken = 0;
	uint32_t position;
	uint32_t stride;
	uint32_t node;
	uint32_t i;

	if (!nodes->count)
		return;
	position = scale_to(hash_draw(walk->draw, 2 * place), nodes->count);
	stride = scale_to(hash_draw(walk->draw, 2 * place + 1),
			  nodes->stride_count);
	stride = nodes->strides[stride];
	for (i = 0; i < nodes->count && taken < max_nodes; i++) {
		if (node_list->count == node_list->max_nodes)
			return;
		node = walk->table->nodes[nodes->first + position];
		if (node_class_of(walk, node) == walk->class_of) {
			node_list->nodes[node_list->count++] = node;
			taken++;
		}
		position = (position + stride) % nodes->count;
	}
}

static void take_tier(const struct walk *walk, const uint32_t *places,
		      uint32_t count, struct node_list *node_list)
{
	uint32_t position = scale_to(hash_draw(walk->draw, 0), count);
	uint32_t i;

	for (i = 0; i < count && node_list->count < node_list->max_nodes; i++) {
		if (places[position] != walk->home)
			take_place(walk, places[position], REMOTE_PLACE_NODES,
				   node_list);
		position = position + 1 == count ? 0 : position + 1;
	}
}

static const struct region_order *
order_for_home(const struct lookup_table *table, uint32_t home)
{
	if (home >= table->place_count)
		return &table->orders[table->region_count];
	return &table->orders[table->places[home].region];
}

static void take_tiers(const struct walk *walk, uint32_t from, uint32_t to,
		       struct node_list *node_list)
{
	const struct region_order *order =
		order_for_home(walk->table, walk->home);
	const struct tier *tier;
	uint32_t i;

	for (i = from; i < to && i < order->tier_count; i++) {
		tier = &order->tiers[i];
		take_tier(walk, order->places + tier->first, tier->count,
			  node_list);
	}
}

static uint32_t append(const struct node_list *node_list, uint32_t count,
		       uint32_t *nodes)
{
	memcpy(nodes, node_list->nodes, count * sizeof(*nodes));
	return count;
}

/* Home's nodes first; from three nodes up, one of each other list is kept. */
static uint32_t merge_lists(const struct node_list *home,
			    const struct node_list *region,
			    const struct node_list *others, uint32_t *nodes,
			    uint32_t max_nodes)
{
	uint32_t kept_region = max_nodes > 2 ? MIN(region->count, 1) : 0;
	uint32_t kept_others = max_nodes > 2 ? MIN(others->count, 1) : 0;
	uint32_t count;
	uint32_t taken;

	taken = MIN(home->count, max_nodes - kept_region - kept_others);
	count = append(home, taken, nodes);
	taken = MIN(region->count, max_nodes - count - kept_others);
	count += append(region, taken, nodes + count);
	taken = MIN(others->count, max_nodes - count);
	return count + append(others, taken, nodes + count);
}

struct lookup_table *lookup_table_new(const struct config *config)
{
	struct lookup_table *table = g_new0(struct lookup_table, 1);
	uint32_t *first_places = g_new0(uint32_t, config->place_count);
	uint32_t i;

	table->place_count = config->place_count;
	table->places = g_new0(struct place_nodes, config->place_count);
	table->nodes = g_new0(uint32_t, config->node_count);
	table->drained = g_new0(bool, config->node_count);
	index_nodes(config, table);
	table->region_count = count_regions(config, table, first_places);
	table->orders = g_new0(struct region_order, table->region_count + 1);
	for (i = 0; i <= table->region_count; i++)
		order_region(config, table, i, first_places);
	g_free(first_places);
	return table;
}

void lookup_table_free(struct lookup_table *table)
{
	uint32_t i;

	if (!table)
		return;
	for (i = 0; i <= table->region_count; i++) {
		g_free(table->orders[i].places);
		g_free(table->orders[i].tiers);
	}
	g_free(table->orders);
	g_free(table->places);
	g_free(table->nodes);
	g_free(table->drained);
	g_free(table);
}

uint32_t lookup_order(const struct lookup_table *table, uint32_t home,
		      const uint8_t *states, uint32_t draw, uint32_t *nodes,
		      uint32_t max_nodes)
{
	struct walk walk = { table, states, home, draw, CLASS_USABLE };
	struct node_list at_home = { .count = 0 };
	struct node_list in_region = { .count = 0 };
	struct node_list others = { .count = 0 };
	bool has_home = home < table->place_count;
	uint32_t count = 0;
	int class_of;

	max_nodes = MIN(max_nodes, LOOKUP_MAX_NODES);
	at_home.max_nodes = max_nodes;
	in_region.max_nodes = max_nodes;
	others.max_nodes = max_nodes;
	if (!has_home)
		walk.home = CONFIG_NONE;
	for (class_of = 0; class_of < CLASS_COUNT && !count; class_of++) {
		walk.class_of = (enum node_class)class_of;
		if (has_home)
			take_place(&walk, home, max_nodes, &at_home);
		take_tiers(&walk, 0, 1, &in_region);
		take_tiers(&walk, 1, UINT32_MAX, &others);
		count = merge_lists(&at_home, &in_region, &others, nodes,
				    max_nodes);
	}
	return count;
}
