/*
 * server_limits - rates that backend servers named, at this node
 *
 * Joins what answers and neighbours say with the members' table, which says
 * what part of each rate is this node's.
 */
#ifndef EDGE_SERVER_LIMITS_H
#define EDGE_SERVER_LIMITS_H

#include "core/rate_limit.h"
#include "edge/beat.h"
#include "edge/edge.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The server's answer to what was sent then; it may name a rate or none. */
void server_limits_apply_answer(struct edge *edge, struct backend *backend,
				const struct message *answer, uint64_t sent_us);

/* A neighbour's word; false where it can't be true. */
bool server_limits_apply_update(struct edge *edge,
				const struct rate_word *update);

/*
 * Ask one of the server's senders for tokens, over a way of so long there and
 * back; whether one was asked. Its answer comes in a moment, or never.
 */
bool server_limits_borrow(struct edge *edge, struct backend *backend,
			  uint64_t round_trip_us);

/* A member asks for tokens, or answers; whether it gets an answer to that. */
bool server_limits_handle_token(struct edge *edge, const struct member *from,
				const struct beat_token *token,
				struct beat_token *answer);

/* This node's parts, by the members as they are known now. */
void server_limits_update_quotas(struct edge *edge);

/*
 * Words to tell, at most most: those that all should hear at once, or with a
 * beat some of all in turn. Returns how many.
 */
uint32_t server_limits_broadcast_updates(struct edge *edge,
					 struct rate_word *updates,
					 uint32_t max_count);
uint32_t server_limits_heartbeat_updates(struct edge *edge,
					 struct rate_word *updates,
					 uint32_t max_count);
bool server_limits_have_broadcast(const struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
