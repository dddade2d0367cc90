/*
 * gossip - beats between nodes: who lives, what is warm, how loaded
 */
#ifndef EDGE_GOSSIP_H
#define EDGE_GOSSIP_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gossip;

/* Listen for beats and send them; NULL with RESULT_SYSTEM on failure. */
struct gossip *gossip_open(struct edge *edge, GError **error);
/* The memory may be freed once the loop has turned. */
void gossip_close(struct gossip *gossip);

/* What beats bring and take of the platform's tables; see sync.h. */
void gossip_set_sync(struct gossip *gossip, struct sync *sync);

/*
 * Tell the neighbours which backend servers changed, where this node reads for
 * them; and whom they hear of anyway, with the next beat.
 */
void gossip_send_changes(struct gossip *gossip);

/*
 * Tell all nodes, wherever they are, the words that can't wait for a beat: of
 * suspects, since a node that doesn't know sends such a request to one more
 * server. Told a moment later, together.
 */
void gossip_schedule_broadcast(struct gossip *gossip);

/* Ask a member for a token of the rate of the server of this life. */
void gossip_request_tokens(struct gossip *gossip, const struct member *member,
			   uint32_t life, uint32_t count);

/* Beat now, since something changed that others should know at once. */
void gossip_send_heartbeat_now(struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
