/*
 * gossip_parts - what the files of gossip share; not for other modules
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
	struct sync *sync; /* NULL: none attached */
	uv_udp_t udp;
	uv_timer_t timer;
	uint64_t epoch_us; /* makes numbers rise over restarts */
	uint64_t last_turn_us; /* the loop was at the socket or timer last */
	bool socket_stale; /* what waits in the socket may have come long ago */
	uint32_t ticks; /* of the timer */
	uint32_t rounds; /* beats sent */
	bool unknown_member; /* a member was heard of that the list didn't name
			      */
	uv_timer_t broadcast_timer; /* runs while there are urgent words */
	uint32_t relay_offset; /* which members were passed on last */
};

/*
 * Whether this tick of the timer sends beats: each
 * GOSSIP_TICKS_PER_HEARTBEAT-th does, and each that has news.
 */
#define GOSSIP_TICKS_PER_HEARTBEAT 4
bool gossip_is_due(const struct gossip *gossip);

/*
 * Beats without news go to other regions less often, and not each beat passes
 * many lives on: bytes are dear.
 */
#define GOSSIP_ROUNDS_PER_FAR_HEARTBEAT 3

/* gossip_send.c: one beat to the own region, or to a few of each other one. */
void gossip_send_near_heartbeat(struct gossip *gossip);
void gossip_send_far_heartbeat(struct gossip *gossip);

/* gossip_words.c: words that beats carry, either way. */
void gossip_updates_open(struct gossip *gossip);
void gossip_updates_close(struct gossip *gossip);
void gossip_send_updates(struct gossip *gossip);
void gossip_apply_updates(struct gossip *gossip,
			  const struct heartbeat *heartbeat);

/* gossip_send.c: a beat to one member, to all, or to the usual few of them. */
void gossip_send_to_one(struct gossip *gossip, const struct member *member,
			const struct heartbeat *heartbeat);
void gossip_send_to_all(struct gossip *gossip,
			const struct heartbeat *heartbeat);
void gossip_send_to_sample(struct gossip *gossip,
			   const struct heartbeat *heartbeat);
void gossip_add_sender(struct gossip *gossip, struct heartbeat *heartbeat);

/* Whether this node reads the platform's tables for its region. */
bool gossip_is_reader(const struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
