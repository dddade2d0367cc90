/*
 * server_limits - applies rate limits of backend servers at this node
 *
 * Rates come from servers' answers and from updates of peers; this node's quota
 * of each rate follows from the member table (core/rate_limit). Not
 * thread-safe.
 */
#ifndef EDGE_SERVER_LIMITS_H
#define EDGE_SERVER_LIMITS_H

#include "core/rate_limit.h"
#include "edge/heartbeat.h"
#include "edge/edge.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Apply an answer of the server, with or without a rate, to a request sent at
 * sent_us. An invalid rate is counted, logged the first time and ignored.
 */
void server_limits_apply_answer(struct edge *edge, struct backend *backend,
				const struct message *answer, uint64_t sent_us);

/* Apply a peer's update; false if it is invalid. */
bool server_limits_apply_update(struct edge *edge,
				const struct rate_update *update);

/*
 * Request tokens of the server's rate from nodes that hold a quota of it.
 * round_trip_us: to these nodes and back; 0 if they are in this region: then
 * one is asked, else several at once, as asking again costs a round trip.
 * Returns whether an answer is due; it may get lost.
 */
bool server_limits_borrow(struct edge *edge, struct backend *backend,
			  uint64_t round_trip_us);

/*
 * Handle a peer's request for tokens, or its answer to one. Returns whether
 * answer was filled in, to be sent back.
 */
bool server_limits_handle_token(struct edge *edge, const struct member *from,
				const struct heartbeat_token *token,
				struct heartbeat_token *answer);

/* Recompute this node's quotas from the member table. */
void server_limits_update_quotas(struct edge *edge);

/*
 * Fill in at most max_count updates: those to broadcast now, or for a heartbeat
 * the next ones of all rates in turn. Return how many.
 */
uint32_t server_limits_broadcast_updates(struct edge *edge,
					 struct rate_update *updates,
					 uint32_t max_count);
uint32_t server_limits_heartbeat_updates(struct edge *edge,
					 struct rate_update *updates,
					 uint32_t max_count);

/* Whether any update is left to broadcast. */
bool server_limits_have_broadcast(const struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
