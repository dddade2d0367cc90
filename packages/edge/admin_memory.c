#include "core/admin_json.h"
#include "core/admin_table.h"
#include "edge/admin_internal.h"

static const char *const columns[] = {
	"held_bytes", "drawn_bytes", "limit_bytes", "connections",
	"waiting",    "waits",	     "dropped",
};

json_t *admin_show_memory(const struct edge *edge)
{
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	const struct byte_budget *budget = &edge->bytes;
	json_t *const values[] = {
		admin_json_number(budget->held_bytes),
		admin_json_number(budget->drawn_bytes),
		admin_json_number_or_null(budget->limit_bytes != 0,
					  budget->limit_bytes),
		admin_json_number(edge->callers.length + edge->pool.open_count),
		admin_json_number(budget->waiting.length),
		admin_json_number(budget->waits),
		admin_json_number(budget->dropped),
	};

	ADMIN_TABLE_ADD(&table, columns, values);
	return admin_finish_table(edge, &table, "budgets");
}
