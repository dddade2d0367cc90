#include "core/member_table.h"

#include <string.h>

#include "core/hash.h"

static void member_free(gpointer data)
{
	struct member *member = data;

	g_free(member->name);
	g_free(member->domain);
	g_free(member->region);
	g_free(member);
}

struct member_table *member_table_new(const char *self_name)
{
	struct member_table *table = g_new0(struct member_table, 1);

	table->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       member_free);
	table->self = member_table_put(table, self_name);
	return table;
}

void member_table_free(struct member_table *table)
{
	g_hash_table_destroy(table->by_name);
	g_free(table);
}

struct member *member_table_put(struct member_table *table, const char *name)
{
	struct member *member = member_table_find(table, name);

	if (member)
		return member;
	member = g_new0(struct member, 1);
	member->name = g_strdup(name);
	member->hash = hash_text(name);
	member->domain = g_strdup("");
	member->region = g_strdup("");
	g_hash_table_insert(table->by_name, member->name, member);
	return member;
}

struct member *member_table_find(struct member_table *table, const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

struct member *member_table_find_hash(struct member_table *table, uint32_t hash)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct member *)value)->hash == hash)
			return value;
	return NULL;
}

void member_table_remove(struct member_table *table, const char *name)
{
	if (strcmp(name, table->self->name) != 0)
		g_hash_table_remove(table->by_name, name);
}

bool member_note_heartbeat(struct member *member, uint64_t heartbeat,
			   bool leaving, uint64_t now_us)
{
	if (heartbeat <= member->heartbeat)
		return false;
	member->heartbeat = heartbeat;
	member->leaving = leaving;
	member->heartbeat_us = now_us;
	return true;
}

bool member_serves(const struct member_table *table,
		   const struct member *member, uint64_t now_us)
{
	if (member->leaving)
		return false;
	if (member == table->self)
		return true;
	return member->heartbeat_us &&
	       now_us - member->heartbeat_us < MEMBER_TIMEOUT_US;
}

uint32_t member_table_count(const struct member_table *table)
{
	return g_hash_table_size(table->by_name);
}

uint64_t member_table_digest(const struct member_table *table)
{
	GHashTableIter iter;
	uint64_t digest = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		digest += hash_pair(member->hash,
				    hash_text(member->front.address) ^
					    member->front.port ^
					    member->link_mbps << 16);
	}
	return digest;
}

static uint32_t collect(const struct member_table *table, const char *region,
			bool partitioned, uint64_t now_us,
			const struct member **entries, uint32_t max)
{
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (!member->front.port || member->partitioned != partitioned ||
		    !member_serves(table, member, now_us))
			continue;
		if (!region || !strcmp(member->region, region))
			entries[count++] = member;
	}
	return count;
}

uint32_t member_table_entries(const struct member_table *table,
			      const char *region, uint64_t now_us,
			      const struct member **entries, uint32_t max)
{
	const struct {
		const char *region;
		bool partitioned;
	} choices[] = { { region, false },
			{ NULL, false },
			{ region, true },
			{ NULL, true } };
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(choices) && !count; i++)
		count = collect(table, choices[i].region,
				choices[i].partitioned, now_us, entries, max);
	return count;
}

static bool is_near(const struct member_table *table,
		    const struct member *member)
{
	return !strcmp(member->region, table->self->region);
}

/* Whether one comes before other in the region's order of readers. */
static bool is_preferred_reader(const struct member *one,
				const struct member *other)
{
	if (one->link_mbps != other->link_mbps)
		return one->link_mbps > other->link_mbps;
	return one->hash < other->hash;
}

const struct member *member_table_reader(const struct member_table *table,
					 uint64_t now_us)
{
	const struct member *reader = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (is_near(table, member) &&
		    member_serves(table, member, now_us) &&
		    (!reader || is_preferred_reader(member, reader)))
			reader = member;
	}
	return reader ? reader : table->self;
}

static bool may_be_live(const struct member_table *table,
			const struct member *member, uint64_t now_us)
{
	/* A node that has just started sends "leaving" for a moment. */
	bool is_fresh = member->listed_us &&
			now_us - member->listed_us < MEMBER_TIMEOUT_US;

	return is_fresh || member_serves(table, member, now_us);
}

bool member_table_is_reader(const struct member_table *table, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member != table->self && is_near(table, member) &&
		    may_be_live(table, member, now_us) &&
		    (table->self->leaving ||
		     is_preferred_reader(member, table->self)))
			return false;
	}
	return true;
}

uint32_t member_table_reader_rank(const struct member_table *table)
{
	GHashTableIter iter;
	uint32_t rank = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_near(table, value) &&
		    is_preferred_reader(value, table->self))
			rank++;
	return rank;
}

/* Inserts the member in order; drops the last one if there are max. */
static uint32_t insert_reader(const struct member **first, uint32_t count,
			      uint32_t max, const struct member *member)
{
	uint32_t position;

	if (count < max)
		count++;
	else if (!is_preferred_reader(member, first[count - 1]))
		return count;
	for (position = count - 1;
	     position > 0 && is_preferred_reader(member, first[position - 1]);
	     position--)
		first[position] = first[position - 1];
	first[position] = member;
	return count;
}

uint32_t member_table_first_readers(const struct member_table *table,
				    const struct member **first, uint32_t max)
{
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member != table->self && member->peer.port &&
		    is_near(table, member))
			count = insert_reader(first, count, max, member);
	}
	return count;
}

static bool has_serving_member(const struct member_table *table,
			       const char *region, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (!strcmp(member->region, region) &&
		    member_serves(table, member, now_us))
			return true;
	}
	return false;
}

const struct member *member_table_find_expired(const struct member_table *table,
					       uint64_t forget_us,
					       uint64_t now_us)
{
	const char *own_region = table->self->region;
	GHashTableIter iter;
	gpointer value;

	if (member_table_reader(table, now_us) != table->self)
		return NULL;
	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;
		uint64_t since_us =
			MAX(member->heartbeat_us, member->listed_us);

		if (member == table->self || now_us - since_us < forget_us)
			continue;
		if (!strcmp(member->region, own_region) ||
		    !has_serving_member(table, member->region, now_us))
			return member;
	}
	return NULL;
}

/*
 * Place of this node in the rendezvous order for the hash, among the region's
 * members (NULL: of all regions), optionally only serving ones.
 */
static uint32_t rank_among(const struct member_table *table, uint32_t hash,
			   const char *region, bool live_only, uint64_t now_us)
{
	uint64_t own = hash_pair(table->self->hash, hash);
	GHashTableIter iter;
	uint32_t rank = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (hash_pair(member->hash, hash) <= own)
			continue;
		if (region && strcmp(member->region, region) != 0)
			continue;
		if (live_only && !member_serves(table, member, now_us))
			continue;
		rank++;
	}
	return rank;
}

uint32_t member_table_rank(const struct member_table *table, uint32_t hash)
{
	return rank_among(table, hash, NULL, false, 0);
}

uint32_t member_table_near_rank(const struct member_table *table, uint32_t hash,
				uint64_t now_us)
{
	return rank_among(table, hash, table->self->region, true, now_us);
}

uint32_t member_table_region_rank(const struct member_table *table,
				  const char *region, uint32_t hash)
{
	if (strcmp(table->self->region, region) != 0)
		return UINT32_MAX;
	return rank_among(table, hash, region, false, 0);
}

uint32_t member_table_region_count(const struct member_table *table,
				   const char *region)
{
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!strcmp(((struct member *)value)->region, region))
			count++;
	return count;
}

struct scored {
	uint64_t score;
	const struct member *member;
};

static gint compare_scored(gconstpointer a, gconstpointer b)
{
	const struct scored *left = a;
	const struct scored *right = b;

	return (left->score < right->score) - (left->score > right->score);
}

static GArray *region_order(const struct member_table *table,
			    const char *region, uint32_t hash)
{
	GArray *order = g_array_new(FALSE, FALSE, sizeof(struct scored));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;
		const struct scored scored = { hash_pair(member->hash, hash),
					       member };

		if (!strcmp(member->region, region))
			g_array_append_val(order, scored);
	}
	g_array_sort(order, compare_scored);
	return order;
}

const struct member *member_table_region_pick(const struct member_table *table,
					      const char *region, uint32_t hash,
					      uint32_t first, uint32_t excluded,
					      double spread, uint64_t now_us)
{
	GArray *order = region_order(table, region, hash);
	guint count = MIN(first, order->len);
	const struct member *picked = NULL;
	guint i;

	for (i = 0; i < count && !picked; i++) {
		guint at = (i + (guint)(spread * count)) % count;
		const struct member *member =
			g_array_index(order, struct scored, at).member;

		if (member != table->self && member->hash != excluded &&
		    member->peer.port && member_serves(table, member, now_us))
			picked = member;
	}
	g_array_unref(order);
	return picked;
}
