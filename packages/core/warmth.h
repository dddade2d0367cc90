/*
 * warmth - which backend servers have which objects in their caches
 *
 * A server is warm for an object after it has handled a request for it, and
 * warming while it runs the first one. Learned from this node's own requests
 * and from peers. Bounded: a full table drops its oldest half. Not thread-safe.
 */
#ifndef CORE_WARMTH_H
#define CORE_WARMTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Entries of each table: 1 MB, or 900 objects at each of 36 servers. */
#define WARMTH_MAX_ENTRIES 32768

/* An object (by its hash) at one incarnation of a backend server. */
struct warm_pair {
	uint32_t backend; /* its incarnation */
	uint32_t object;
};

/* Where a pair was learned from, which decides where it is sent. */
enum warm_source {
	WARM_OWN, /* a request of this node: sent to all regions */
	WARM_RELAYED, /* a peer of another region: sent in this region */
	WARM_RECEIVED, /* a peer of this region: not sent */
};

/* A change of a pair to send to peers. */
struct warm_update {
	struct warm_pair pair;
	uint64_t ready_us; /* when it is expected to be warm; 0: it is */
	bool relayed; /* from a peer of another region */
};

struct warmth {
	GHashTable *seen; /* warm pair as 64 bits -> time in ms */
	GHashTable *warming; /* pair as 64 bits -> expected end in ms */
	GArray *updates; /* struct warm_update, to be sent within the region */
	GArray *far_updates; /* the same, to other regions */
};

void warmth_init(struct warmth *warmth);
void warmth_release(struct warmth *warmth);

/* The server handled the object; queues an update if the pair wasn't warm. */
void warmth_note(struct warmth *warmth, struct warm_pair pair,
		 enum warm_source source, uint64_t now_us);

/*
 * The server runs its first request for the object, expected to end at
 * ready_us. Ignored if the pair is warm or warming already.
 */
void warmth_begin(struct warmth *warmth, struct warm_pair pair,
		  enum warm_source source, uint64_t ready_us, uint64_t now_us);

/* The first request failed: the pair isn't warming any more. */
void warmth_abandon(struct warmth *warmth, struct warm_pair pair);

/* When a warming pair is expected to be warm; 0: it isn't warming. */
uint64_t warmth_ready_us(const struct warmth *warmth, struct warm_pair pair,
			 uint64_t now_us);

/* Whether the pair is warm. */
bool warmth_has(const struct warmth *warmth, struct warm_pair pair);

#ifdef __cplusplus
}
#endif

#endif
