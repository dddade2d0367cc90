/*
 * admin_parts - what the files of admin share; not for other modules
 */
#ifndef EDGE_ADMIN_INTERNAL_H
#define EDGE_ADMIN_INTERNAL_H

#include <jansson.h>

#include "core/admin_table.h"
#include "core/query.h"
#include "edge/edge.h"

/* The answer to each kind of question; NULL and an error on failure. */
json_t *admin_show_where(const struct edge *edge, const struct query *query,
			 GError **error);
json_t *admin_finish_table(const struct edge *edge, struct admin_table *table,
			   const char *what);
json_t *admin_show_suspects(const struct edge *edge);
json_t *admin_show_limits(const struct edge *edge);
json_t *admin_change_suspect(struct edge *edge, const struct query *query,
			     GError **error);
json_t *admin_show_table(const struct edge *edge, const struct query *query,
			 GError **error);

#endif
