/*
 * steer_shift - ramp-up of one shift at one entry node
 *
 * A shift starts with a small share, because the receiving place's caches are
 * cold, and grows in steps only while shifted requests are answered in about
 * the place's base latency. The share is cut at once when they are slow or
 * refused or when the place is silent. Entry nodes don't know each other's
 * traffic, so a refusal because of the cap at the receiving place also cuts the
 * share; near the refused share it grows slowly. Used by steer only. Not
 * thread-safe.
 */
#ifndef CORE_STEER_SHIFT_H
#define CORE_STEER_SHIFT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/steer.h"
#include "core/steer_place.h"

#ifdef __cplusplus
extern "C" {
#endif

#define STEER_RAMP_START_PERMILLE 20
#define STEER_RAMP_STEP_US (1 * 1000 * 1000ull)
/* The share doesn't grow for this long after a cut. */
#define STEER_RAMP_HOLD_US (5 * 1000 * 1000ull)

struct steer_shift {
	char id[ID_SIZE];
	uint32_t from;
	uint32_t to;
	uint32_t share_permille; /* target, set by the operator */
	uint32_t cap_per_s;

	uint32_t ramp_permille; /* current share */
	uint32_t cap_refused_permille; /* share at the cap's last refusal */
	uint64_t stepped_us;
	uint64_t held_until_us; /* the share doesn't grow before */
	uint64_t cut_us;
	uint64_t closed_until_us; /* by the retry-after of the cap's refusal */
	uint64_t place_latency_us; /* learned of shifted requests, without the
				      link */
	uint64_t base_us; /* base latency of the place; 0: not known */
	uint32_t answered_in_step; /* in this step */
	struct steer_bucket cap_bucket;
};

void steer_shift_init(struct steer_shift *shift,
		      const struct steer_shift_spec *spec, uint64_t now_us);

/* Apply a new configuration; the ramp is kept. */
void steer_shift_configure(struct steer_shift *shift,
			   const struct steer_shift_spec *spec);

/* Share that applies now, in permille; 0 if to is NULL or drained. */
uint32_t steer_shift_ramp(const struct steer_shift *shift,
			  const struct steer_place *to, uint64_t now_us);

/* Take the next step of the ramp if it is due. */
void steer_shift_step(struct steer_shift *shift, struct steer_place *to,
		      uint64_t now_us);

/* Whether this node may send one more request under the cap. */
bool steer_shift_cap_allows(struct steer_shift *shift, uint64_t now_us);

/* Count a request that is sent under the shift. */
void steer_shift_send(struct steer_shift *shift);

/* Record the outcome of a request that was sent under the shift. */
void steer_shift_record(struct steer_shift *shift, const struct steer_place *to,
			const struct steer_feedback *feedback, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
