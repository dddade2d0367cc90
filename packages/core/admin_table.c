#include "core/admin_table.h"

#include "core/admin_json.h"

struct admin_table admin_table_new(const char *const *columns,
				   size_t column_count)
{
	struct admin_table table = { columns, column_count, json_array() };

	return table;
}

void admin_table_add(struct admin_table *table, json_t *const *values)
{
	json_t *row = json_object();
	size_t i;

	for (i = 0; i < table->column_count; i++)
		json_object_set_new(row, table->columns[i], values[i]);
	json_array_append_new(table->rows, row);
}

void admin_table_move_into(json_t *root, struct admin_table *table,
			   uint64_t version)
{
	json_t *columns = json_array();
	size_t i;

	for (i = 0; i < table->column_count; i++)
		json_array_append_new(columns, json_string(table->columns[i]));
	json_object_set_new(root, "version", admin_json_number(version));
	json_object_set_new(root, "columns", columns);
	json_object_set_new(root, "rows", table->rows);
}

bool *admin_find_service_places(const struct config *config, uint32_t service)
{
	bool *service_places = g_new0(bool, config->place_count + 1);
	uint32_t i;

	for (i = 0; i < config->backend_count; i++)
		if (config->backends[i].service == service)
			service_places[config->backends[i].place] = true;
	return service_places;
}

uint32_t admin_current_share_permille(const struct admin_query_context *context,
				      uint32_t shift)
{
	const struct admin_live_state *live = context->live;

	if (live->shift_shares_permille)
		return live->shift_shares_permille[shift];
	return context->config->shifts[shift].share_permille;
}

static json_t *answer_query(const struct admin_query_context *context,
			    GError **error)
{
	switch (context->query->verb) {
	case QUERY_WHERE:
		return admin_where(context, error);
	case QUERY_SHOW_PLACES:
	case QUERY_SHOW_NODES:
	case QUERY_SHOW_BACKENDS:
	case QUERY_SHOW_SERVICES:
	case QUERY_SHOW_SHIFTS:
	case QUERY_SHOW_VERSION:
		return admin_show(context, error);
	default:
		g_set_error_literal(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
				    "this kind of node has no such table");
		return NULL;
	}
}

char *admin_answer_query(const struct config *config, const struct query *query,
			 const struct admin_live_state *live, GError **error)
{
	const struct admin_query_context context = { config, query, live };
	json_t *root = answer_query(&context, error);

	return root ? admin_json_to_text(root) : NULL;
}
