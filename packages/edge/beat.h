/*
 * beat - the datagram that nodes send each other
 *
 * Encoded by GVariant. A beat says that its sender lives, which others it heard
 * lately, which backend servers are warm for which objects, and, to neighbours,
 * how many of its requests are at which. Requests that are suspected of
 * crashing servers, and rates that servers named, are told in beats of their
 * own.
 */
#ifndef EDGE_BEAT_H
#define EDGE_BEAT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/endpoint.h"
#include "core/rate_limit.h"
#include "core/suspect_table.h"
#include "core/warmth.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest beat: one Ethernet frame, so that it is never fragmented. */
#define BEAT_MAX_BYTES 1400

/* News that fit into one beat beside the rest. */
#define BEAT_MAX_PAIRS 45
#define BEAT_MAX_LIVES 16
#define BEAT_MAX_LOADS 40
#define BEAT_MAX_VOUCHES 3
#define BEAT_MAX_ROWS 8
#define BEAT_MAX_SUSPECTS 8
#define BEAT_MAX_RATES 20
#define BEAT_MAX_TOKENS 8

struct beat_life {
	uint32_t member; /* hash of its name */
	uint64_t number; /* rises with each beat of its own */
	bool leaving;
};

/* A server that is warm for an object, or will be in so many ms. */
struct beat_pair {
	struct warm_pair pair;
	uint16_t ready_ms; /* 0: it is */
};

struct beat_load {
	uint32_t backend; /* hash of its life */
	uint32_t in_flight;
};

/* What the reader of a region vouches for: one of the platform's tables. */
struct beat_vouch {
	uint32_t table; /* enum registry_table */
	uint64_t digest; /* of what it believes */
	uint64_t version; /* of the platform's newest row in that */
	uint32_t age_ms; /* since the platform last confirmed it */
};

/* A backend server that changed; the service is empty where it left. */
struct beat_row {
	char id[NAME_SIZE];
	char service[NAME_SIZE];
	char domain[NAME_SIZE];
	struct endpoint address;
	uint32_t slots;
	bool draining;
	uint32_t cold_left_ms;
	uint64_t started_ms; /* of its life; 0: not said */
	uint64_t version; /* of its row in the platform's table */
};

/* Tokens of a server's rate: asked for, or the answer to that. */
struct beat_token {
	uint32_t life; /* of the server */
	uint32_t asked; /* how many; 0: an answer */
	uint32_t lent; /* of an answer */
	uint32_t wait_ms; /* of an answer without: until there may be one */
};

struct beat {
	struct beat_life lives[BEAT_MAX_LIVES]; /* the sender's own first */
	uint32_t life_count;
	struct beat_pair pairs[BEAT_MAX_PAIRS];
	uint32_t pair_count;
	struct beat_load loads[BEAT_MAX_LOADS];
	uint32_t load_count;
	struct beat_vouch vouches[BEAT_MAX_VOUCHES];
	uint32_t vouch_count;
	struct beat_row rows[BEAT_MAX_ROWS];
	uint32_t row_count;
	struct suspect_update suspects[BEAT_MAX_SUSPECTS];
	uint32_t suspect_count;
	struct rate_update rates[BEAT_MAX_RATES];
	uint32_t rate_count;
	struct beat_token tokens[BEAT_MAX_TOKENS];
	uint32_t token_count;
};

/* One row in GVariant's words, for whatever carries rows between nodes. */
#define BEAT_ROW_TYPE "(ssssqubutt)"
void beat_row_add(GVariantBuilder *rows, const struct beat_row *row);
/* The next row; false at the end. */
bool beat_row_next(GVariantIter *iter, struct beat_row *row);

/* The bytes, for g_bytes_unref(). */
GBytes *beat_encode(const struct beat *beat);

/* False where the bytes are no beat of this version. */
bool beat_decode(const void *bytes, size_t length, struct beat *beat);

#ifdef __cplusplus
}
#endif

#endif
