/*
 * gossip_parts - what the files of gossip share; not for other modules
 */
#ifndef EDGE_GOSSIP_PARTS_H
#define EDGE_GOSSIP_PARTS_H

#include "edge/beat.h"
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
	uint64_t turned_us; /* the loop was at the socket or timer last */
	bool behind; /* what waits in the socket may have come long ago */
	uint32_t ticks; /* of the timer */
	uint32_t rounds; /* beats sent */
	bool unknown; /* a member was heard of that the list didn't name */
	uv_timer_t word_timer; /* runs while there are urgent words */
	uint32_t relay_at; /* which members were passed on last */
};

/*
 * Whether this tick of the timer sends beats: each GOSSIP_TICKS_A_BEAT-th does,
 * and each that has news.
 */
#define GOSSIP_TICKS_A_BEAT 4
bool gossip_is_due(const struct gossip *gossip);

/*
 * Beats without news go to other regions less often, and not each beat passes
 * many lives on: bytes are dear.
 */
#define GOSSIP_FAR_EVERY 3

/* gossip_send.c: one beat to the own region, or to a few of each other one. */
void gossip_beat_near(struct gossip *gossip);
void gossip_beat_far(struct gossip *gossip);

/* gossip_words.c: words that beats carry, either way. */
void gossip_words_open(struct gossip *gossip);
void gossip_words_close(struct gossip *gossip);
void gossip_beat_words(struct gossip *gossip);
void gossip_take_words(struct gossip *gossip, const struct beat *beat);

/* gossip_send.c: a beat to one member, to all, or to the usual few of them. */
void gossip_send_to_one(struct gossip *gossip, const struct member *member,
			const struct beat *beat);
void gossip_send_to_all(struct gossip *gossip, const struct beat *beat);
void gossip_send_to_some(struct gossip *gossip, const struct beat *beat);
void gossip_sign(struct gossip *gossip, struct beat *beat);

/* Whether this node reads the platform's tables for its region. */
bool gossip_reads_for_others(const struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
