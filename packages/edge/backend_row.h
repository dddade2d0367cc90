/*
 * backend_row - a backend server between the table and what nodes tell others
 */
#ifndef EDGE_BACKEND_ROW_H
#define EDGE_BACKEND_ROW_H

#include "edge/beat.h"
#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What the platform's list says of it, as far as it is known here. */
void backend_row_fill(const struct backend *backend, uint64_t now_us,
		      struct beat_row *row);

/* Put what a neighbour says into the table. */
void backend_row_receive(struct edge *edge, const struct beat_row *row);

#ifdef __cplusplus
}
#endif

#endif
