#include "core/share.h"

#include <glib.h>

/* One backend server's slots for this node. */
struct share {
	uint32_t usable; /* in effect */
	uint32_t target; /* in effect once the version is settled */
};

struct share_table {
	GHashTable *shares; /* by the backend server's name */
	uint64_t version;
	bool settled;
};

struct share_table *share_table_new(void)
{
	struct share_table *table = g_new0(struct share_table, 1);

	table->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void share_table_free(struct share_table *table)
{
	g_hash_table_destroy(table->shares);
	g_free(table);
}

/*
 * The minimum over all versions since the last settled one: another node may
 * have settled any of them, and relies on this node's share in it.
 */
static void add_target(GHashTable *next, const struct share_table *table,
		       const struct share_target *target)
{
	const struct share *known =
		g_hash_table_lookup(table->shares, target->backend);
	struct share *share = g_new0(struct share, 1);

	share->target = target->slots;
	share->usable = known ? MIN(known->usable, target->slots) : 0;
	g_hash_table_insert(next, g_strdup(target->backend), share);
}

void share_table_apply_version(struct share_table *table, uint64_t version,
			       const struct share_target *targets,
			       uint32_t count)
{
	GHashTable *next;
	uint32_t i;

	if (version <= table->version)
		return;
	next = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < count; i++)
		add_target(next, table, &targets[i]);
	g_hash_table_destroy(table->shares);
	table->shares = next;
	table->version = version;
	table->settled = false;
}

void share_table_settle(struct share_table *table, uint64_t version)
{
	GHashTableIter iter;
	gpointer value;

	if (version != table->version)
		return;
	g_hash_table_iter_init(&iter, table->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct share *share = value;

		share->usable = share->target;
	}
	table->settled = true;
}

uint32_t share_table_slots(const struct share_table *table, const char *backend)
{
	const struct share *share = g_hash_table_lookup(table->shares, backend);

	return share ? share->usable : 0;
}

bool share_table_is_settled(const struct share_table *table)
{
	return table->settled;
}

uint64_t share_table_version(const struct share_table *table)
{
	return table->version;
}
