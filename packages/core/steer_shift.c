#include "core/steer_shift.h"

#include <glib.h>
#include <string.h>

/*
 * Growth in a step: by half, or by 5 permille from 80 % of the share at which
 * the cap refused last.
 */
#define GROWTH_DIVISOR 2
#define CAUTIOUS_GROWTH_PERMILLE 5
#define CAUTIOUS_FROM_PERCENT 80

#define SLOW_CUT_DIVISOR 4
#define CAP_CUT_PERCENT 70
#define CAP_HOLD_US (2 * 1000 * 1000ull)
/* A cut isn't repeated within this time for requests sent before it. */
#define CUT_INTERVAL_US (500 * 1000ull)

#define LEARN_DIVISOR 8
/* The base latency rises by at most this fraction of itself in a step. */
#define BASE_RISE_DIVISOR 64
/* Fraction of the receiving place's slots that must be free for growth. */
#define GROWTH_RESERVE_DIVISOR 8

static uint32_t start_share(const struct steer_shift *shift)
{
	return MIN(STEER_RAMP_START_PERMILLE, shift->share_permille);
}

static void cut_ramp(struct steer_shift *shift, uint32_t ramp, uint64_t hold_us,
		     uint64_t now_us)
{
	shift->ramp_permille = MAX(ramp, start_share(shift));
	shift->held_until_us = now_us + hold_us;
	shift->cut_us = now_us;
	shift->answered_in_step = 0;
}

static bool was_just_cut(const struct steer_shift *shift, uint64_t now_us)
{
	return shift->cut_us && now_us < shift->cut_us + CUT_INTERVAL_US;
}

static uint32_t grown_ramp(const struct steer_shift *shift)
{
	uint32_t ramp = shift->ramp_permille;
	uint32_t cautious =
		shift->cap_refused_permille * CAUTIOUS_FROM_PERCENT / 100;

	if (!shift->cap_refused_permille ||
	    ramp + ramp / GROWTH_DIVISOR <= cautious)
		ramp += ramp / GROWTH_DIVISOR;
	else
		ramp += CAUTIOUS_GROWTH_PERMILLE;
	return MIN(ramp, shift->share_permille);
}

static bool has_headroom(struct steer_place *to, uint64_t now_us)
{
	struct steer_place_request place_request = {
		.class_of = SERVICE_INTERACTIVE, .deadline_us = UINT64_MAX
	};
	struct steer_estimate estimate;

	steer_place_estimate(to, &place_request, now_us, &estimate);
	return estimate.availability == STEER_HEADROOM &&
	       estimate.spare >= to->report.slots / GROWTH_RESERVE_DIVISOR;
}

static void learn_latency(struct steer_shift *shift,
			  const struct steer_place *to, uint64_t latency_us)
{
	uint64_t link_us = 2 * to->spec.one_way_us;
	uint64_t sample = latency_us > link_us ? latency_us - link_us : 0;

	if (!shift->place_latency_us)
		shift->place_latency_us = sample;
	shift->place_latency_us += sample / LEARN_DIVISOR;
	shift->place_latency_us -=
		shift->place_latency_us / (LEARN_DIVISOR + 1);
}

/*
 * The place's latency under normal load: the lesser of the service time that it
 * reports, which includes its own callers, and the base latency that this node
 * measured. With cold caches the latter is high from the first request on and
 * would not show as slow. Many slow shifted requests raise the former, so the
 * base rises slowly only.
 */
static void learn_base(struct steer_shift *shift, const struct steer_place *to,
		       bool may_rise)
{
	uint64_t base_us = steer_place_base_us(to);
	uint64_t rise_us = shift->base_us / BASE_RISE_DIVISOR;

	if (to->report.service_us && to->report.service_us < base_us)
		base_us = to->report.service_us;
	if (may_rise && shift->base_us && base_us > shift->base_us + rise_us)
		base_us = shift->base_us + rise_us;
	if (may_rise || !shift->base_us || base_us < shift->base_us)
		shift->base_us = base_us;
}

static bool is_slow(const struct steer_shift *shift)
{
	return shift->base_us &&
	       steer_is_slow(shift->place_latency_us, shift->base_us);
}

void steer_shift_init(struct steer_shift *shift,
		      const struct steer_shift_spec *spec, uint64_t now_us)
{
	memset(shift, 0, sizeof(*shift));
	steer_shift_configure(shift, spec);
	shift->ramp_permille = start_share(shift);
	shift->stepped_us = now_us;
	steer_bucket_fill(&shift->cap_bucket, spec->cap_per_s, now_us);
}

void steer_shift_configure(struct steer_shift *shift,
			   const struct steer_shift_spec *spec)
{
	g_strlcpy(shift->id, spec->id, sizeof(shift->id));
	shift->from = spec->from;
	shift->to = spec->to;
	shift->share_permille = spec->share_permille;
	shift->cap_per_s = spec->cap_per_s;
	shift->ramp_permille = MIN(shift->ramp_permille, spec->share_permille);
}

uint32_t steer_shift_ramp(const struct steer_shift *shift,
			  const struct steer_place *to, uint64_t now_us)
{
	if (!to || to->spec.drained || !shift->cap_per_s)
		return 0;
	/*
	 * A failing place still gets trial requests under the start share:
	 * home serves the others, and without trials the shift would never
	 * resume.
	 */
	if (to->failing || steer_place_is_silent(to, now_us))
		return start_share(shift);
	return shift->ramp_permille;
}

void steer_shift_step(struct steer_shift *shift, struct steer_place *to,
		      uint64_t now_us)
{
	if (now_us < shift->stepped_us + STEER_RAMP_STEP_US)
		return;
	shift->stepped_us = now_us;
	learn_base(shift, to, true);
	if (to->failing || steer_place_is_silent(to, now_us))
		cut_ramp(shift, 0, STEER_RAMP_HOLD_US, now_us);
	else if (shift->answered_in_step && now_us >= shift->held_until_us &&
		 has_headroom(to, now_us))
		shift->ramp_permille = grown_ramp(shift);
	shift->answered_in_step = 0;
}

bool steer_shift_cap_allows(struct steer_shift *shift, uint64_t now_us)
{
	if (!shift->cap_per_s || now_us < shift->closed_until_us)
		return false;
	return steer_bucket_has(&shift->cap_bucket, shift->cap_per_s, now_us);
}

void steer_shift_send(struct steer_shift *shift)
{
	steer_bucket_take(&shift->cap_bucket);
}

void steer_shift_record(struct steer_shift *shift, const struct steer_place *to,
			const struct steer_feedback *feedback, uint64_t now_us)
{
	uint64_t retry_us = feedback->retry_after_us;
	uint32_t ramp = shift->ramp_permille;

	switch (feedback->result) {
	case RESULT_OK:
		shift->answered_in_step++;
		learn_base(shift, to, false);
		learn_latency(shift, to, feedback->latency_us);
		if (is_slow(shift) && !was_just_cut(shift, now_us))
			cut_ramp(shift, ramp / SLOW_CUT_DIVISOR,
				 STEER_RAMP_HOLD_US, now_us);
		break;
	case RESULT_SHIFT_CAP:
		if (retry_us > STEER_RAMP_HOLD_US)
			retry_us = STEER_RAMP_HOLD_US;
		shift->closed_until_us = now_us + retry_us;
		if (was_just_cut(shift, now_us))
			break;
		shift->cap_refused_permille = ramp;
		cut_ramp(shift, ramp * CAP_CUT_PERCENT / 100, CAP_HOLD_US,
			 now_us);
		break;
	case RESULT_OVERLOAD:
	case RESULT_BACKEND_SHED:
		if (!was_just_cut(shift, now_us))
			cut_ramp(shift, ramp / SLOW_CUT_DIVISOR,
				 STEER_RAMP_HOLD_US, now_us);
		break;
	default:
		break;
	}
}
