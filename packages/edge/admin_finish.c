#include "edge/admin_internal.h"

#include "core/admin_json.h"
#include "core/result.h"

json_t *admin_finish_table(const struct edge *edge, struct admin_table *table,
			   const char *what)
{
	size_t count = json_array_size(table->rows);
	char *message = g_strdup_printf("%zu %s", count, what);
	json_t *root = admin_json_new_answer(RESULT_OK, message);

	admin_table_move_into(root, table, edge->routes->version);
	g_free(message);
	return root;
}
