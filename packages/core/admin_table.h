/*
 * admin_table - tables in answers to queries
 *
 * Internal to the code that answers queries: admin_show.c and admin_where.c,
 * and packages/edge, whose tables show the edge node's own state instead of a
 * configuration.
 */
#ifndef CORE_ADMIN_TABLE_H
#define CORE_ADMIN_TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/admin.h"

/* A table under construction. */
struct admin_table {
	const char *const *columns;
	size_t column_count;
	json_t *rows;
};

/* The inputs of a query's answer. */
struct admin_query_context {
	const struct config *config;
	const struct query *query;
	const struct admin_live_state *live;
};

/* An empty table; columns must outlive it. */
struct admin_table admin_table_new(const char *const *columns,
				   size_t column_count);

#define ADMIN_TABLE_NEW(columns) admin_table_new(columns, G_N_ELEMENTS(columns))

/* Append a row; takes ownership of the values, one for each column. */
void admin_table_add(struct admin_table *table, json_t *const *values);

/* The same, with a compile-time check of the number of values. */
#define ADMIN_TABLE_ADD(table, columns, values)         \
	do {                                            \
		G_STATIC_ASSERT(G_N_ELEMENTS(values) == \
				G_N_ELEMENTS(columns)); \
		admin_table_add(table, values);         \
	} while (0)

/* Move the table into an answer as "version", "columns" and "rows". */
void admin_table_move_into(json_t *root, struct admin_table *table,
			   uint64_t version);

/* By place: whether it has backend servers of the service; for g_free(). */
bool *admin_find_service_places(const struct config *config, uint32_t service);

/* The shift's current share, or its configured share if that is unknown. */
uint32_t admin_current_share_permille(const struct admin_query_context *context,
				      uint32_t shift);

/* Answers to show and where queries; NULL and an error on failure. */
json_t *admin_show(const struct admin_query_context *context, GError **error);
json_t *admin_where(const struct admin_query_context *context, GError **error);

#endif
