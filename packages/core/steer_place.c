#include "core/steer_place_internal.h"

#include <glib.h>
#include <string.h>

/* Time in which latency above the base halves without new samples. */
#define LATENCY_HALF_LIFE_US (2 * MICRO)

#define SLOW_START_MAX_STEPS 20

/* A closed place still gets a request once in this time. */
#define CLOSED_TRIAL_INTERVAL_US (1 * MICRO)

/* Fraction of the configured slots used while no report has come. */
#define PRESUMED_DIVISOR 8
/* Fraction of the slots in each reserve, see reserved_slots(). */
#define RESERVE_DIVISOR 8
/* A queue may take at most this fraction of a request's remaining time. */
#define QUEUE_TIME_DIVISOR 2

#define RETRY_MIN_US (20 * 1000ull)
#define RETRY_MAX_US (5 * MICRO)
/* For a place without usable slots: its backend servers are gone or down. */
#define NO_SLOTS_RETRY_US (1 * MICRO)

static uint32_t usable_slots(const struct steer_place *place)
{
	uint32_t slots = place->report.slots;

	/* A report of more slots than are configured is wrong. */
	if (place->spec.slots && slots > place->spec.slots)
		slots = place->spec.slots;
	return slots;
}

static uint64_t report_age_us(const struct steer_place *place, uint64_t now_us)
{
	return elapsed_us(place->report_made_us, now_us);
}

/* Advance the ring of sent requests to the current bucket. */
static void advance_sent(struct steer_place *place, uint64_t now_us)
{
	uint64_t bucket = now_us / STEER_SENT_BUCKET_US;
	uint64_t passed = bucket - place->sent_bucket;

	if (bucket <= place->sent_bucket)
		return;
	if (passed >= STEER_SENT_BUCKETS) {
		memset(place->sent, 0, sizeof(place->sent));
		place->sent_bucket = bucket;
		return;
	}
	while (place->sent_bucket < bucket) {
		place->sent_bucket++;
		place->sent[place->sent_bucket % STEER_SENT_BUCKETS] = 0;
	}
}

/* Estimated requests sent since then_us, as far as the ring goes back. */
static uint32_t sent_since(struct steer_place *place, uint64_t then_us,
			   uint64_t now_us)
{
	uint64_t oldest = then_us / STEER_SENT_BUCKET_US;
	uint64_t bucket;
	uint64_t begin_us;
	uint64_t end_us;
	uint64_t count;
	uint64_t sum = 0;

	advance_sent(place, now_us);
	if (place->sent_bucket >= oldest + STEER_SENT_BUCKETS)
		oldest = place->sent_bucket - STEER_SENT_BUCKETS + 1;
	for (bucket = oldest; bucket <= place->sent_bucket; bucket++) {
		count = place->sent[bucket % STEER_SENT_BUCKETS];
		begin_us = bucket * STEER_SENT_BUCKET_US;
		end_us = MIN(begin_us + STEER_SENT_BUCKET_US, now_us);
		/* Of the bucket that holds then_us, the fraction after it. */
		if (then_us > begin_us && end_us > begin_us)
			count = count * elapsed_us(then_us, end_us) /
				(end_us - begin_us);
		sum += count;
	}
	return (uint32_t)sum;
}

/*
 * Requests in flight or waiting at the place. A report with fewer than this
 * node's own is wrong (a reporter that hangs or always reports zero), so the
 * own count is the lower limit.
 */
static uint64_t requests_at_place(const struct steer_place *place)
{
	uint64_t reported = place->report.in_flight;

	reported += place->report.waiting;
	return MAX(reported, place->own_reported) + place->own_unreported;
}

static uint64_t queue_wait_us(const struct steer_place *place)
{
	uint64_t slots = usable_slots(place);
	uint64_t occupied = requests_at_place(place);
	uint64_t wait_us = MIN(place->report.wait_us, TIME_MAX_US);
	uint64_t service_us = MIN(place->report.service_us, TIME_MAX_US);
	uint64_t queue;

	if (!slots || occupied < slots)
		return wait_us;
	queue = occupied + 1 - slots;
	return MIN(MAX(wait_us, queue * service_us / slots), TIME_MAX_US);
}

uint64_t steer_place_latency_us(const struct steer_place *place,
				uint64_t now_us)
{
	uint64_t halvings = elapsed_us(place->latency_sampled_us, now_us) /
			    LATENCY_HALF_LIFE_US;
	uint64_t over;

	if (place->place_latency_us <= place->base_us)
		return place->place_latency_us;
	if (halvings >= 64)
		return place->base_us;
	over = place->place_latency_us - place->base_us;
	return place->base_us + (over >> halvings);
}

/* Limit on own requests in flight by window and slow start. */
static uint32_t max_in_flight(const struct steer_place *place, uint64_t now_us)
{
	uint32_t limit = place->window_milli / MILLI;
	uint64_t steps;

	if (place->slow_start_us) {
		steps = elapsed_us(place->slow_start_us, now_us) /
			STEER_SLOW_START_STEP_US;
		steps = MIN(steps, SLOW_START_MAX_STEPS);
		limit = (uint32_t)MIN(limit, 1ull << steps);
	}
	return limit;
}

/* End slow start once its limit has reached the configured slots. */
static void end_slow_start(struct steer_place *place, uint64_t now_us)
{
	uint64_t steps;

	if (!place->slow_start_us)
		return;
	steps = elapsed_us(place->slow_start_us, now_us) /
		STEER_SLOW_START_STEP_US;
	if (steps >= SLOW_START_MAX_STEPS || 1ull << steps >= place->spec.slots)
		place->slow_start_us = 0;
}

static uint32_t silent_rate(const struct steer_place *place, uint64_t now_us)
{
	uint64_t silent_us = elapsed_us(
		place->report_made_us + STEER_REPORT_MAX_AGE_US, now_us);
	uint64_t halvings = MIN(silent_us / STEER_SILENT_HALF_LIFE_US, 31);
	uint32_t rate = place->silent_per_s >> halvings;

	return rate > STEER_SILENT_FLOOR_PER_S ? rate :
						 STEER_SILENT_FLOOR_PER_S;
}

static void update_silence(struct steer_place *place, uint64_t now_us)
{
	bool silent = steer_place_is_silent(place, now_us);

	if (silent && !place->silent) {
		place->silent_per_s =
			sent_since(place, elapsed_us(MICRO, now_us), now_us);
		place->silent_bucket.tokens_micro = MICRO;
		place->silent_bucket.refilled_us = now_us;
	}
	place->silent = silent;
}

static void close_estimate(struct steer_estimate *estimate, enum result reason,
			   uint64_t retry_after_us)
{
	estimate->availability = STEER_CLOSED;
	estimate->spare = 0;
	estimate->reason = reason;
	retry_after_us = MAX(retry_after_us, RETRY_MIN_US);
	estimate->retry_after_us = MIN(retry_after_us, RETRY_MAX_US);
}

/*
 * A trial that fails costs its caller time, and if non-idempotent it may end
 * with an unknown outcome. So non-idempotent requests are trials only after the
 * place has reported since its last failure.
 */
static bool trial_allowed(const struct steer_place *place,
			  enum service_class class_of, uint64_t now_us)
{
	if (now_us < place->next_trial_us)
		return false;
	return class_of != SERVICE_NON_IDEMPOTENT ||
	       (place->reported && place->report_made_us > place->failed_us);
}

/* Checks health, closed and window; closes the estimate on false. */
static bool passes_health_and_window(const struct steer_place *place,
				     enum service_class class_of,
				     uint64_t now_us,
				     struct steer_estimate *estimate)
{
	uint64_t trial_us = elapsed_us(now_us, place->next_trial_us);

	if (place->failing) {
		if (trial_allowed(place, class_of, now_us))
			return true;
		close_estimate(estimate, RESULT_NO_PLACE, trial_us);
		return false;
	}
	if (now_us < place->closed_until_us &&
	    elapsed_us(place->sent_us, now_us) < CLOSED_TRIAL_INTERVAL_US) {
		close_estimate(estimate, RESULT_OVERLOAD,
			       place->closed_until_us - now_us);
		return false;
	}
	if (own_in_flight(place) >= max_in_flight(place, now_us)) {
		estimate->overloaded = !place->slow_start_us;
		close_estimate(estimate, RESULT_OVERLOAD,
			       steer_place_base_us(place));
		return false;
	}
	return true;
}

/* Checks link and silence; closes the estimate on false. */
static bool passes_rate_limits(struct steer_place *place, uint64_t now_us,
			       struct steer_estimate *estimate)
{
	uint32_t rate = place->spec.link_limit_per_s;

	if (rate && !steer_bucket_has(place->link, rate, now_us)) {
		close_estimate(estimate, RESULT_OVERLOAD,
			       steer_bucket_wait_us(place->link, rate));
		return false;
	}
	update_silence(place, now_us);
	if (!place->silent)
		return true;
	rate = silent_rate(place, now_us);
	if (steer_bucket_has(&place->silent_bucket, rate, now_us))
		return true;
	close_estimate(estimate, RESULT_NO_PLACE,
		       steer_bucket_wait_us(&place->silent_bucket, rate));
	return false;
}

/* Why an answer would be late: deadline too short, or queue too long. */
static enum result late_reason(const struct steer_place *place,
			       uint64_t time_us)
{
	uint64_t least_us = 2 * place->spec.one_way_us;

	least_us += steer_place_base_us(place);
	return least_us > time_us ? RESULT_DEADLINE_TOO_SHORT : RESULT_OVERLOAD;
}

/* Without any report the free slots are a guess, so never STEER_HEADROOM. */
static void estimate_unreported(const struct steer_place *place,
				struct steer_estimate *estimate)
{
	uint64_t presumed = MAX(place->spec.slots / PRESUMED_DIVISOR, 1);

	if (own_in_flight(place) >= presumed)
		close_estimate(estimate, RESULT_OVERLOAD,
			       steer_place_base_us(place));
	else
		estimate->availability = STEER_QUEUE;
}

/*
 * Slots that don't count as headroom for this request. If requests from other
 * places filled the place, its own callers would have to queue. The reserve
 * also absorbs what entry nodes that act on the same report send too many.
 */
static uint64_t reserved_slots(uint64_t slots,
			       const struct steer_place_request *request)
{
	uint64_t reserves = 0;

	if (!request->at_home)
		reserves++;
	if (request->class_of == SERVICE_BACKGROUND)
		reserves++;
	return slots * reserves / RESERVE_DIVISOR;
}

/*
 * Headroom by the report. Other entry nodes send by the same report meanwhile,
 * so the older it is, the fewer of the free slots are counted (half of them at
 * STEER_REPORT_MAX_AGE_US).
 */
static void estimate_reported(const struct steer_place *place,
			      const struct steer_place_request *request,
			      uint64_t now_us, struct steer_estimate *estimate)
{
	uint64_t slots = usable_slots(place);
	uint64_t taken =
		requests_at_place(place) + reserved_slots(slots, request);
	uint64_t age_us =
		MIN(report_age_us(place, now_us), STEER_REPORT_MAX_AGE_US);
	uint64_t wait_us = queue_wait_us(place);
	uint64_t scale_us = 2 * STEER_REPORT_MAX_AGE_US;

	if (!slots) {
		close_estimate(estimate, RESULT_NO_PLACE, NO_SLOTS_RETRY_US);
		return;
	}
	if (taken < slots) {
		estimate->availability = STEER_HEADROOM;
		estimate->spare =
			(uint32_t)(((slots - taken) * (scale_us - age_us) +
				    scale_us - 1) /
				   scale_us);
		return;
	}
	if (wait_us <= (request->deadline_us - now_us) / QUEUE_TIME_DIVISOR)
		estimate->availability = STEER_QUEUE;
	else
		close_estimate(estimate, RESULT_OVERLOAD, wait_us);
}

void steer_place_init(struct steer_place *place,
		      const struct steer_place_spec *spec, uint64_t now_us)
{
	memset(place, 0, sizeof(*place));
	place->spec.place = spec->place;
	steer_place_configure(place, spec, now_us);
	place->report_made_us = now_us;
	place->window_milli = WINDOW_UNLIMITED;
	place->throttle_halved_us = now_us;
}

void steer_place_configure(struct steer_place *place,
			   const struct steer_place_spec *spec, uint64_t now_us)
{
	/*
	 * Feedback for requests in flight names the old index and never
	 * reaches this place, so they would be counted for ever.
	 */
	if (place->spec.place != spec->place) {
		place->own_reported = 0;
		place->own_unreported = 0;
	}
	if (place->spec.link_limit_per_s != spec->link_limit_per_s)
		steer_bucket_fill(&place->link_bucket, spec->link_limit_per_s,
				  now_us);
	place->spec = *spec;
	place->link = &place->link_bucket;
	place->spec.name = NULL;
	g_strlcpy(place->name, spec->name ? spec->name : "",
		  sizeof(place->name));
}

void steer_place_report(struct steer_place *place,
			const struct gate_summary *report, uint64_t age_us,
			uint64_t now_us)
{
	uint64_t made_us = elapsed_us(age_us, now_us);
	uint32_t in_flight = own_in_flight(place);
	uint64_t link_us = MIN(place->spec.one_way_us, TIME_MAX_US);
	uint32_t unreported;

	if (place->reported && made_us <= place->report_made_us)
		return;
	/* Requests still on the link when the report was made aren't in it. */
	unreported = sent_since(place, elapsed_us(link_us, made_us), now_us);
	if (unreported > in_flight)
		unreported = in_flight;
	place->own_unreported = unreported;
	place->own_reported = in_flight - unreported;
	/*
	 * All entry nodes see a place come back at the same time and would
	 * fill it at once while its caches are cold, so it gets a slow start.
	 * A gap of a few lost reports is too short for that.
	 */
	if (place->reported && elapsed_us(place->report_made_us, made_us) >=
				       STEER_SLOW_START_AFTER_US)
		begin_slow_start(place, now_us);
	place->report = *report;
	place->report_made_us = made_us;
	place->reported = true;
}

void steer_place_estimate(struct steer_place *place,
			  const struct steer_place_request *request,
			  uint64_t now_us, struct steer_estimate *estimate)
{
	uint64_t time_us = elapsed_us(now_us, request->deadline_us);

	estimate->spare = 0;
	estimate->overloaded = false;
	estimate->reason = RESULT_OK;
	estimate->retry_after_us = 0;
	estimate->expected_us = steer_place_expected_us(place, now_us);
	if (place->spec.drained) {
		close_estimate(estimate, RESULT_NO_PLACE, RETRY_MAX_US);
		return;
	}
	end_slow_start(place, now_us);
	if (!passes_health_and_window(place, request->class_of, now_us,
				      estimate) ||
	    !passes_rate_limits(place, now_us, estimate))
		return;
	if (estimate->expected_us > time_us) {
		close_estimate(estimate, late_reason(place, time_us),
			       queue_wait_us(place));
		return;
	}
	if (place->reported)
		estimate_reported(place, request, now_us, estimate);
	else
		estimate_unreported(place, estimate);
}

void steer_place_send(struct steer_place *place, uint64_t now_us)
{
	advance_sent(place, now_us);
	place->sent[place->sent_bucket % STEER_SENT_BUCKETS]++;
	place->own_unreported++;
	place->sent_us = now_us;
	if (place->spec.link_limit_per_s)
		steer_bucket_take(place->link);
	if (place->silent)
		steer_bucket_take(&place->silent_bucket);
	if (place->failing) {
		place->trial_sent = true;
		place->next_trial_us = now_us + place->backoff_us;
	}
}

uint64_t steer_place_expected_us(const struct steer_place *place,
				 uint64_t now_us)
{
	uint64_t link_us = 2 * MIN(place->spec.one_way_us, TIME_MAX_US);
	uint64_t latency_us = steer_place_latency_us(place, now_us);
	uint64_t reported_us = 0;

	if (place->reported)
		reported_us = queue_wait_us(place) +
			      MIN(place->report.service_us, TIME_MAX_US);
	return link_us + MAX(reported_us, latency_us);
}

uint64_t steer_place_base_us(const struct steer_place *place)
{
	if (place->base_us)
		return place->base_us;
	return MIN(place->report.service_us, TIME_MAX_US);
}

bool steer_place_is_silent(const struct steer_place *place, uint64_t now_us)
{
	return report_age_us(place, now_us) > STEER_REPORT_MAX_AGE_US;
}
