/*
 * warmth - which backend servers handled which object lately, or are about to
 *
 * What this node saw for itself and what its neighbours told it. Bounded: the
 * oldest half goes when the table is full. A server that runs its first request
 * for an object is warming until that is expected to end. Not thread-safe.
 */
#ifndef CORE_WARMTH_H
#define CORE_WARMTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Entries of a node: 1 MB of table, 900 objects at each of 36 servers. */
#define WARMTH_MAX_ENTRIES 32768

/* One object at one life of a backend server, both by their hashes. */
struct warm_pair {
	uint32_t backend;
	uint32_t object;
};

/* Where a node has a pair from, and so whom it tells of it. */
enum warm_source {
	WARM_OWN, /* an answer of its own: tell all */
	WARM_RELAYED, /* a node for which it passes on: tell the region */
	WARM_RECEIVED, /* another node: nobody */
};

/* What is to be told of a pair. */
struct warm_update {
	struct warm_pair pair;
	uint64_t ready_us; /* when it will be warm; 0: it is */
};

struct warmth {
	GHashTable *seen; /* pair as 64 bits -> clock's ms */
	GHashTable *warming; /* pair as 64 bits -> clock's ms when it's ready */
	GArray *news; /* of struct warm_update, not yet told in the region */
	GArray *far_news; /* not yet told to other regions */
};

void warmth_init(struct warmth *warmth);
void warmth_release(struct warmth *warmth);

/* The server handled the object; what wasn't known goes into the news. */
void warmth_note(struct warmth *warmth, struct warm_pair pair,
		 enum warm_source source, uint64_t now_us);

/*
 * The server runs a first request for the object, which is expected to end at
 * ready_us. Of several such, the first counts.
 */
void warmth_begin(struct warmth *warmth, struct warm_pair pair,
		  enum warm_source source, uint64_t ready_us, uint64_t now_us);

/* That request failed: nothing is warmed by it. */
void warmth_abandon(struct warmth *warmth, struct warm_pair pair);

/* When the pair is expected to be warm; 0: nothing warms it. */
uint64_t warmth_ready_us(const struct warmth *warmth, struct warm_pair pair,
			 uint64_t now_us);

bool warmth_has(const struct warmth *warmth, struct warm_pair pair);

#ifdef __cplusplus
}
#endif

#endif
