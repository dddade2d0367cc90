/*
 * server_limits - rates that backend servers named, at this node
 *
 * Joins what answers and neighbours say with the members' table, which says
 * what part of each rate is this node's.
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

/* The server's answer to what was sent then; it may name a rate or none. */
void server_limits_heard(struct edge *edge, struct backend *backend,
			 const struct message *answer, uint64_t sent_us);

/* A neighbour's word; false where it can't be true. */
bool server_limits_take(struct edge *edge, const struct rate_update *word);

/*
 * Ask one of the server's senders for tokens, over a way of so long there and
 * back; whether one was asked. Its answer comes in a moment, or never.
 */
bool server_limits_ask(struct edge *edge, struct backend *backend,
		       uint64_t way_us);

/* A member asks for tokens, or answers; whether it gets an answer to that. */
bool server_limits_token(struct edge *edge, const struct member *from,
			 const struct heartbeat_token *token,
			 struct heartbeat_token *answer);

/* This node's parts, by the members as they are known now. */
void server_limits_share(struct edge *edge);

/*
 * Words to tell, at most most: those that all should hear at once, or with a
 * beat some of all in turn. Returns how many.
 */
uint32_t server_limits_urgent_words(struct edge *edge,
				    struct rate_update *words, uint32_t most);
uint32_t server_limits_words(struct edge *edge, struct rate_update *words,
			     uint32_t most);
bool server_limits_are_urgent(const struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
