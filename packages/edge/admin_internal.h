/*
 * admin_internal - shared by the admin_*.c files only
 */
#ifndef EDGE_ADMIN_INTERNAL_H
#define EDGE_ADMIN_INTERNAL_H

#include <jansson.h>

#include "core/admin_table.h"
#include "core/query.h"
#include "edge/edge.h"

/*
 * These functions return a JSON answer, to be released by json_decref(). Those
 * with an error argument return NULL and set it on failure.
 */

/* "show where": where a request to the service would go now. */
json_t *admin_show_where(const struct edge *edge, const struct query *query,
			 GError **error);

/* Move the table into an answer with the message "N what". */
json_t *admin_finish_table(const struct edge *edge, struct admin_table *table,
			   const char *what);

json_t *admin_show_suspects(const struct edge *edge);
json_t *admin_show_limits(const struct edge *edge);
json_t *admin_show_accounts(const struct edge *edge);
json_t *admin_show_room(const struct edge *edge, const struct query *query,
			GError **error);
json_t *admin_show_memory(const struct edge *edge);

/* Quarantine or release a request by its fingerprint. */
json_t *admin_change_suspect(struct edge *edge, const struct query *query,
			     GError **error);

/* Any "show" query. */
json_t *admin_show_table(const struct edge *edge, const struct query *query,
			 GError **error);

#endif
