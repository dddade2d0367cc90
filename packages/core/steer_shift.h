/*
 * steer_shift - the ramp of one shift at one entry node
 *
 * A shift starts with a small share, because the receiving place's caches are
 * cold, and grows in steps only while shifted requests are answered in about
 * the place's base time. It falls back at once when they are slow, refused or
 * the place goes silent. Entry nodes don't know each other's traffic: a refusal
 * by the cap at the receiving place cuts the share, and growth near the share
 * that was cut is slow. Used by steer only. Not thread-safe.
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
/* After a fall the share stands still for so long. */
#define STEER_RAMP_HOLD_US (5 * 1000 * 1000ull)

struct steer_shift {
	char id[ID_SIZE];
	uint32_t from;
	uint32_t to;
	uint32_t share_permille; /* that the operator asked for */
	uint32_t cap_per_s;

	uint32_t ramp_permille; /* allowed by the ramp */
	uint32_t cap_refused_permille; /* share that the cap last refused; 0:
					  none */
	uint64_t stepped_us;
	uint64_t held_until_us; /* no growth before */
	uint64_t cut_us;
	uint64_t closed_until_us; /* the cap's gate said when to come back */
	uint64_t place_latency_us; /* learned of shifted requests, without the
				      link */
	uint64_t base_us; /* of the place when all is well; 0: not known */
	uint32_t answered_in_step; /* in this step */
	struct steer_bucket cap_bucket;
};

void steer_shift_init(struct steer_shift *shift,
		      const struct steer_shift_spec *spec, uint64_t now_us);
void steer_shift_configure(struct steer_shift *shift,
			   const struct steer_shift_spec *spec);

/* Share in force now, in permille. */
uint32_t steer_shift_ramp(const struct steer_shift *shift,
			  const struct steer_place *to, uint64_t now_us);

/* Take a step of the ramp where one is due. */
void steer_shift_step(struct steer_shift *shift, struct steer_place *to,
		      uint64_t now_us);

/* Whether the cap, as far as this node knows, lets one more through. */
bool steer_shift_cap_allows(struct steer_shift *shift, uint64_t now_us);

void steer_shift_send(struct steer_shift *shift);

void steer_shift_record(struct steer_shift *shift, const struct steer_place *to,
			const struct steer_feedback *feedback, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
