/*
 * backend_row - converts backend servers to and from rows for peers
 */
#ifndef EDGE_BACKEND_ROW_H
#define EDGE_BACKEND_ROW_H

#include "edge/heartbeat.h"
#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Fill in the row with what is known of the server's entry at the platform. */
void backend_row_fill(const struct backend *backend, uint64_t now_us,
		      struct heartbeat_row *row);

/*
 * Apply a peer's row to the backend table. An empty service: the server has
 * left.
 */
void backend_row_receive(struct edge *edge, const struct heartbeat_row *row);

#ifdef __cplusplus
}
#endif

#endif
