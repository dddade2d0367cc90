/*
 * backend_row - a backend server between the table and what nodes tell others
 */
#ifndef EDGE_BACKEND_ROW_H
#define EDGE_BACKEND_ROW_H

#include "edge/heartbeat.h"
#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What the platform's list says of it, as far as it is known here. */
void backend_row_fill(const struct backend *backend, uint64_t now_us,
		      struct heartbeat_row *row);

/* Put what a neighbour says into the table. */
void backend_row_take(struct edge *edge, const struct heartbeat_row *row);

#ifdef __cplusplus
}
#endif

#endif
