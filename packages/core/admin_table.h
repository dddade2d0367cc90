/*
 * admin_table - the tables that answer queries, row by row
 *
 * For those that answer queries: admin_show.c and admin_where.c, and the edge's
 * admin.c, whose tables come from its own beliefs in place of a configuration.
 */
#ifndef CORE_ADMIN_TABLE_H
#define CORE_ADMIN_TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/admin.h"

/* A table being built; values of a row come in the order of the columns. */
struct admin_table {
	const char *const *columns;
	size_t column_count;
	json_t *rows;
};

/* Everything that a query's answer is built from. */
struct admin_query_context {
	const struct config *config;
	const struct query *query;
	const struct admin_live_state *live;
};

struct admin_table admin_table_new(const char *const *columns,
				   size_t column_count);

#define ADMIN_TABLE_NEW(columns) admin_table_new(columns, G_N_ELEMENTS(columns))

/* Append a row, taking the values over; there is one for each column. */
void admin_table_add(struct admin_table *table, json_t *const *values);

#define ADMIN_TABLE_ADD(table, columns, values)         \
	do {                                            \
		G_STATIC_ASSERT(G_N_ELEMENTS(values) == \
				G_N_ELEMENTS(columns)); \
		admin_table_add(table, values);         \
	} while (0)

/* Move the table into an answer. */
void admin_table_move_into(json_t *root, struct admin_table *table,
			   uint64_t version);

/* For each place whether it has backend servers of the service; g_free(). */
bool *admin_find_service_places(const struct config *config, uint32_t service);

/* Share that the shift takes now, or else the whole that it is ramped to. */
uint32_t admin_current_share_permille(const struct admin_query_context *context,
				      uint32_t shift);

/* The answer to each kind of question; NULL and an error on failure. */
json_t *admin_show(const struct admin_query_context *context, GError **error);
json_t *admin_where(const struct admin_query_context *context, GError **error);

#endif
