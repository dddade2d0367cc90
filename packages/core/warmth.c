#include "core/warmth.h"

#include "core/duration.h"

/* Unsent updates kept; more are dropped, and peers learn by their requests. */
#define MAX_UPDATES 4096

/*
 * How much later than expected a first request may end before its pair no
 * longer counts as warming. Updates take 100 ms, and expected times are off by
 * a third of a cold run.
 */
#define WARMING_GRACE_US (300 * US_PER_MS)

/* Keys and values are stored as pointers, which are 64 bits on all VMs used. */
G_STATIC_ASSERT(sizeof(gpointer) == sizeof(uint64_t));

static gpointer pair_key(struct warm_pair pair)
{
	return (gpointer)(((uint64_t)pair.backend << 32 | pair.object) + 1);
}

static guint hash_key(gconstpointer key)
{
	uint64_t value = (uint64_t)key;

	return (guint)(value ^ value >> 32);
}

static gboolean is_older(gpointer key, gpointer value, gpointer middle)
{
	(void)key;
	return (uint64_t)value < *(const uint64_t *)middle;
}

static gint compare_ages(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}

static void drop_older_half(struct warmth *warmth)
{
	GArray *ages = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;
	uint64_t middle;

	g_hash_table_iter_init(&iter, warmth->seen);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t age = (uint64_t)value;

		g_array_append_val(ages, age);
	}
	g_array_sort(ages, compare_ages);
	middle = g_array_index(ages, uint64_t, ages->len / 2);
	g_array_unref(ages);
	if (!g_hash_table_foreach_remove(warmth->seen, is_older, &middle))
		g_hash_table_remove_all(warmth->seen);
}

void warmth_init(struct warmth *warmth)
{
	warmth->seen = g_hash_table_new(hash_key, g_direct_equal);
	warmth->warming = g_hash_table_new(hash_key, g_direct_equal);
	warmth->updates = g_array_new(FALSE, FALSE, sizeof(struct warm_update));
	warmth->far_updates =
		g_array_new(FALSE, FALSE, sizeof(struct warm_update));
}

void warmth_release(struct warmth *warmth)
{
	g_hash_table_destroy(warmth->seen);
	g_hash_table_destroy(warmth->warming);
	g_array_unref(warmth->updates);
	g_array_unref(warmth->far_updates);
}

static void add_update(GArray *updates, struct warm_pair pair,
		       uint64_t ready_us, enum warm_source source)
{
	const struct warm_update update = { pair, ready_us,
					    source == WARM_RELAYED };

	if (updates->len < MAX_UPDATES)
		g_array_append_val(updates, update);
}

static void queue_update(struct warmth *warmth, struct warm_pair pair,
			 enum warm_source source, uint64_t ready_us)
{
	if (source == WARM_RECEIVED)
		return;
	add_update(warmth->updates, pair, ready_us, source);
	if (source == WARM_OWN)
		add_update(warmth->far_updates, pair, ready_us, source);
}

void warmth_note(struct warmth *warmth, struct warm_pair pair,
		 enum warm_source source, uint64_t now_us)
{
	bool known = warmth_has(warmth, pair);

	if (!known && g_hash_table_size(warmth->seen) >= WARMTH_MAX_ENTRIES)
		drop_older_half(warmth);
	g_hash_table_insert(warmth->seen, pair_key(pair),
			    (gpointer)(now_us / US_PER_MS + 1));
	g_hash_table_remove(warmth->warming, pair_key(pair));
	if (!known)
		queue_update(warmth, pair, source, 0);
}

void warmth_begin(struct warmth *warmth, struct warm_pair pair,
		  enum warm_source source, uint64_t ready_us, uint64_t now_us)
{
	if (warmth_has(warmth, pair) || warmth_ready_us(warmth, pair, now_us))
		return;
	/* Entries past their time are only removed here, with all others. */
	if (g_hash_table_size(warmth->warming) >= WARMTH_MAX_ENTRIES)
		g_hash_table_remove_all(warmth->warming);
	g_hash_table_insert(warmth->warming, pair_key(pair),
			    (gpointer)(ready_us / US_PER_MS + 1));
	queue_update(warmth, pair, source, ready_us);
}

void warmth_abandon(struct warmth *warmth, struct warm_pair pair)
{
	g_hash_table_remove(warmth->warming, pair_key(pair));
}

uint64_t warmth_ready_us(const struct warmth *warmth, struct warm_pair pair,
			 uint64_t now_us)
{
	uint64_t ready_us =
		(uint64_t)g_hash_table_lookup(warmth->warming, pair_key(pair)) *
		US_PER_MS;

	return ready_us + WARMING_GRACE_US > now_us ? ready_us : 0;
}

bool warmth_has(const struct warmth *warmth, struct warm_pair pair)
{
	return g_hash_table_contains(warmth->seen, pair_key(pair));
}
