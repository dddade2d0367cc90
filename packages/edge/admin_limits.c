#include "core/admin_json.h"
#include "core/admin_table.h"
#include "edge/admin_internal.h"

static const char *const columns[] = { "backend", "service",	"domain",
				       "per_s",	  "part_per_s", "tokens",
				       "sent",	  "age_us" };

static void add_limit(const struct edge *edge, const struct backend *backend,
		      struct admin_table *table)
{
	uint64_t now_us = edge_now_us(edge);
	const struct rate_limit *limit = &backend->limit;
	json_t *const values[] = {
		admin_json_text(backend->id),
		admin_json_text(backend->service),
		admin_json_text(backend->domain),
		json_real(limit->per_s),
		json_real(limit->quota_per_s),
		json_real(rate_limit_tokens(limit, now_us)),
		admin_json_number(limit->sent),
		admin_json_number(now_us - limit->learned_us),
	};

	ADMIN_TABLE_ADD(table, columns, values);
}

json_t *admin_show_limits(const struct edge *edge)
{
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct backend *)value)->limit.per_s)
			add_limit(edge, value, &table);
	return admin_finish_table(edge, &table, "limits");
}
