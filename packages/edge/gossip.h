/*
 * gossip - exchange of heartbeats between nodes: liveness, warm servers, load
 */
#ifndef EDGE_GOSSIP_H
#define EDGE_GOSSIP_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gossip;

/*
 * Listens for heartbeats and starts to send them. NULL with RESULT_SYSTEM on
 * failure.
 */
struct gossip *gossip_open(struct edge *edge, GError **error);
/* The caller frees the memory after one more iteration of the event loop. */
void gossip_close(struct gossip *gossip);

/*
 * Sets the source of the table digests to send and the receiver of those that
 * arrive (see sync.h). NULL, as at first: none are sent or applied.
 */
void gossip_set_sync(struct gossip *gossip, struct sync *sync);

/*
 * Takes the pending changes of backend servers. The region's reader sends them
 * to the region's peers, unless they are too many for its link; other nodes
 * discard them. Also done before each heartbeat.
 */
void gossip_send_changes(struct gossip *gossip);

/*
 * Schedules a datagram to all nodes of all regions with the updates that can't
 * wait for a heartbeat. Of suspects: a node that lacks one sends the request to
 * one more server. A short delay collects several updates into one datagram.
 */
void gossip_schedule_broadcast(struct gossip *gossip);

/*
 * Asks a member for count tokens of the rate of the server with this
 * incarnation.
 */
void gossip_request_tokens(struct gossip *gossip, const struct member *member,
			   uint32_t incarnation, uint32_t count);

/* The same for the rate of the account with this hash. */
void gossip_request_account_tokens(struct gossip *gossip,
				   const struct member *member,
				   uint32_t account, uint32_t count);

/*
 * Sends a heartbeat at once, to other regions too, after a change that peers
 * need immediately.
 */
void gossip_send_heartbeat_now(struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
