/*
 * room_gossip - demand for services that coordinate, exchanged between nodes
 *
 * Fills the rooms of the chooser. A node sends its own demand to a sample of
 * its region, and the sum over its region, as it knows it, to a few nodes of
 * each other region, which relay it within theirs. See docs/design/room.md.
 */
#ifndef EDGE_ROOM_GOSSIP_H
#define EDGE_ROOM_GOSSIP_H

#include "edge/gossip_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sends demand, if due; called with each heartbeat. */
void room_gossip_send(struct gossip *gossip);

/* Applies the demand in a received datagram. */
void room_gossip_apply(struct gossip *gossip,
		       const struct heartbeat *heartbeat);

#ifdef __cplusplus
}
#endif

#endif
