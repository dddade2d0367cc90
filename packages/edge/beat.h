/*
 * beat - the datagram that nodes send each other
 *
 * Encoded by GVariant. A beat says that its sender lives, which others it heard
 * lately, which backend servers are warm for which objects, and, to neighbours,
 * how many of its requests are at which.
 */
#ifndef EDGE_BEAT_H
#define EDGE_BEAT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/warmth.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest beat: one Ethernet frame, so that it is never fragmented. */
#define BEAT_MAX_BYTES 1400

/* News that fit into one beat beside the rest. */
#define BEAT_MAX_PAIRS 80
#define BEAT_MAX_LIVES 16
#define BEAT_MAX_LOADS 40

struct beat_life {
	uint32_t member; /* hash of its name */
	uint64_t number; /* rises with each beat of its own */
	bool leaving;
};

struct beat_load {
	uint32_t backend;
	uint32_t in_flight;
};

struct beat {
	struct beat_life lives[BEAT_MAX_LIVES]; /* the sender's own first */
	uint32_t life_count;
	struct warm_pair pairs[BEAT_MAX_PAIRS];
	uint32_t pair_count;
	struct beat_load loads[BEAT_MAX_LOADS];
	uint32_t load_count;
};

/* The bytes, for g_bytes_unref(). */
GBytes *beat_encode(const struct beat *beat);

/* False where the bytes are no beat of this version. */
bool beat_decode(const void *bytes, size_t length, struct beat *beat);

#ifdef __cplusplus
}
#endif

#endif
