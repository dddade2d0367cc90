/*
 * gossip_internal - shared by the source files of gossip; not for other modules
 */
#ifndef EDGE_GOSSIP_INTERNAL_H
#define EDGE_GOSSIP_INTERNAL_H

#include "edge/heartbeat.h"
#include "edge/gossip.h"
#include "edge/sync.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gossip {
	struct edge *edge;
	struct sync *sync; /* NULL: none set */
	uv_udp_t udp;
	uv_timer_t timer;
	uint64_t epoch_us; /* added to heartbeat numbers, so that they keep
			      rising over restarts */
	uint64_t last_turn_us; /* when the loop last ran a callback of the
				  socket or timer */
	bool socket_stale; /* the loop was stalled; datagrams in the socket may
			      be old */
	uint32_t ticks; /* of the timer */
	uint32_t rounds; /* heartbeats sent to the own region */
	bool unknown_member; /* a heartbeat named a member that isn't in the
				member table */
	uv_timer_t broadcast_timer; /* runs while updates wait for a broadcast
				     */
	uint32_t relay_offset; /* position in the member table where relaying
				  goes on */
	GPtrArray *batches; /* of struct gossip_batch, see gossip_spread.c */
	uint32_t next_batch; /* number of the next one */
};

/*
 * Whether this tick of the timer sends a heartbeat: every
 * GOSSIP_TICKS_PER_HEARTBEAT-th tick does, and each tick with warmth updates to
 * send.
 */
#define GOSSIP_TICKS_PER_HEARTBEAT 4
bool gossip_is_due(const struct gossip *gossip);

/*
 * A heartbeat without updates goes to other regions, and relays many members,
 * only once in so many rounds, to save bandwidth.
 */
#define GOSSIP_ROUNDS_PER_FAR_HEARTBEAT 3

/*
 * gossip_send.c: gossip_send_near_heartbeat() sends one heartbeat to nodes of
 * the own region, gossip_send_far_heartbeat() to a few nodes of every other
 * region.
 */
void gossip_send_near_heartbeat(struct gossip *gossip);
void gossip_send_far_heartbeat(struct gossip *gossip);

/*
 * gossip_updates.c: updates of suspects, rates and tokens, sent and received.
 */
void gossip_updates_open(struct gossip *gossip);
void gossip_updates_close(struct gossip *gossip);
void gossip_send_updates(struct gossip *gossip);
void gossip_apply_updates(struct gossip *gossip,
			  const struct heartbeat *heartbeat);

/*
 * gossip_send.c: sends a datagram to one member, to all members, or to the
 * sample that a heartbeat goes to: in this region (where the reader is a peer
 * like others), in other regions, or both. gossip_add_sender() adds this node
 * as its sender, which must come first.
 */
void gossip_send_to_one(struct gossip *gossip, const struct member *member,
			const struct heartbeat *heartbeat);
void gossip_send_to_all(struct gossip *gossip,
			const struct heartbeat *heartbeat);
void gossip_send_to_near(struct gossip *gossip,
			 const struct heartbeat *heartbeat);
void gossip_send_to_far(struct gossip *gossip,
			const struct heartbeat *heartbeat);
void gossip_send_to_sample(struct gossip *gossip,
			   const struct heartbeat *heartbeat);
void gossip_add_sender(struct gossip *gossip, struct heartbeat *heartbeat);

void gossip_send_bytes(struct gossip *gossip, const struct member *member,
		       GBytes *bytes);
/* Members of the own region; the caller frees by g_ptr_array_unref(). */
GPtrArray *gossip_find_near(const struct gossip *gossip);
/*
 * Adds a warmth update. Drops the announcement of a first request that must
 * have ended by now: whether the server is warm comes as an update of its own.
 */
void gossip_add_pair(struct heartbeat *heartbeat,
		     const struct warm_update *update, uint64_t now_us);

/*
 * gossip_spread.c: updates that go to all nodes of the region.
 * gossip_spread_collect() takes the waiting warmth updates and servers' loads;
 * warmth updates of services that don't coordinate go into the heartbeat
 * itself. gossip_spread_send() sends the heartbeat to the peers, and with it
 * the batches that each lacks; what doesn't fit follows in datagrams of its
 * own. gossip_spread_tick() sends overdue batches to the other peers.
 */
void gossip_spread_open(struct gossip *gossip);
void gossip_spread_close(struct gossip *gossip);
void gossip_spread_collect(struct gossip *gossip, struct heartbeat *heartbeat);
void gossip_spread_send(struct gossip *gossip, const GPtrArray *peers,
			const struct heartbeat *first);
void gossip_spread_tick(struct gossip *gossip);

/*
 * A peer of the region sent this update, and sends it to all of the region. If
 * it is of another region, several nodes relay it; this one needn't go on.
 */
void gossip_spread_cancel(struct gossip *gossip,
			  const struct heartbeat_pair *pair);

/* Adds servers' loads that other regions are to know. */
void gossip_add_far_reports(struct gossip *gossip, struct heartbeat *heartbeat);

/*
 * Bytes left in a datagram without rows, suspects, rates and tokens; a lower
 * bound.
 */
uint32_t gossip_bytes_left(const struct heartbeat *heartbeat);

/* Whether nodes share the load of the backend server's service. */
bool gossip_backend_coordinates(const struct edge *edge,
				const struct backend *backend);

/* Whether this node reads the platform's tables for its region. */
bool gossip_is_reader(const struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
