/*
 * hops - requests that one node hands to another
 *
 * A node that can't reach backend servers sends its callers' requests to peers
 * that can, over HTTP at their peer address. A peer runs such a request like a
 * caller's own, by its own tables, and never hands it on. Connections to peers
 * are kept in the node's pool. Not thread-safe.
 *
 * A hop is the caller's request with the header HOP_SENDS, and HOP_ACCOUNT in
 * place of the key of the caller's account. Every answer to one has HOP_ROOM,
 * HOP_NOT_RUN if no server has run the request or will, and HOP_LEAVING if
 * servers that got it said that they leave.
 */
#ifndef EDGE_HOPS_H
#define EDGE_HOPS_H

#include "edge/edge.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How often the request was sent to servers before. */
#define HOP_SENDS "Hop-Sends"

/* Name of the caller's account, if it has one. */
#define HOP_ACCOUNT "Hop-Account"

/* Requests that the peer would take now besides. */
#define HOP_ROOM "Hop-Room"

/* "peer": the peer can't take it, another one might; "servers": none can. */
#define HOP_NOT_RUN "Hop-Not-Run"
#define HOP_NOT_RUN_PEER "peer"
#define HOP_NOT_RUN_SERVERS "servers"

/* Incarnations of servers in hexadecimal digits, separated by commas. */
#define HOP_LEAVING "Hop-Leaving"

/* Requests of other nodes that a node has in work, at most. */
#define HOPS_MAX_TAKEN 128

struct hops;

/* What a node knows of a peer that takes its requests. */
struct hop_peer {
	/* Not in the table: the address for the pool. */
	struct backend *address;
	uint32_t room; /* by its latest answer, less what was sent since */
	uint64_t avoid_until_us; /* it failed, or had no room */
};

/* Peers of one request that were tried. */
#define HOPS_MAX_TRIED 2

struct hop_query {
	const struct route *route;
	const struct account *account; /* NULL: none */
	const struct hop_peer *tried[HOPS_MAX_TRIED];
	uint32_t tried_count;
};

struct hops *hops_new(struct edge *edge);
void hops_free(struct hops *hops);

/*
 * The peer to send the request to: one that serves and reaches servers, in a
 * region that the route allows, with room; of this region, if there are any.
 * NULL if there is none. It stays valid until hops_free().
 */
struct hop_peer *hops_pick(struct hops *hops, const struct hop_query *query);

/*
 * A request was sent to the peer; it answered, room being the value of HOP_ROOM
 * or NULL; or it failed to.
 */
void hops_sent(struct hops *hops, struct hop_peer *peer);
void hops_answered(struct hops *hops, struct hop_peer *peer, const char *room);
void hops_failed(struct hops *hops, struct hop_peer *peer);

/* Headers between nodes, for message_copy_headers(). */
const char *const *hops_headers(void);

/* Whether the address is that of a known node. */
bool hops_is_node(const struct edge *edge, const char *address);

/* Requests of other nodes that this node would take now besides. */
uint32_t hops_room(const struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
