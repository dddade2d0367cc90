/*
 * server_notices - what an answer of a backend server says about the server
 *
 * That it leaves, and after a 503 how long it wants no requests from this node
 * (Retry-After). Callers' requests have no part in it.
 */
#ifndef EDGE_SERVER_NOTICES_H
#define EDGE_SERVER_NOTICES_H

#include "edge/edge.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Applies what the answer says. sent_us is when its request was sent; 0: it
 * answers another one. Not for a 421, which another server sends that has the
 * address now.
 */
void server_notices_apply(struct edge *edge, struct backend *backend,
			  const struct message *answer, uint64_t sent_us);

/* Whether the answer is a 503 that asks for a rest. */
bool server_notices_asks_for_rest(const struct message *answer);

/* Applies what servers said to a peer that ran this node's request. */
void server_notices_apply_hop(struct edge *edge, const struct message *answer);

#ifdef __cplusplus
}
#endif

#endif
