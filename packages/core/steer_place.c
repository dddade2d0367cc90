#include "core/steer_place.h"

#include <glib.h>
#include <string.h>

#define MICRO 1000000ull
#define MILLI 1000u

/* Whatever a report or a clock says, no single time counts for more. */
#define TIME_MOST_US (60 * MICRO)

#define BURST_DIVISOR 10

/* Weight of the newest sample in learned averages. */
#define LEARN_DIVISOR 8
/* The base rises by this part of itself in each interval at most. */
#define BASE_RISE_DIVISOR 64
#define BASE_RISE_INTERVAL_US (1 * MICRO)
/* Without new samples the learned latency nears the base by half in this. */
#define LEARN_HALF_US (2 * MICRO)
#define SLOW_FACTOR 2
#define SLOW_SLACK_US (5 * 1000ull)

#define FAILURES_IN_ROW 3
#define FAILURE_MOST_PERMILLE 500
/* Healthy for so long, a place starts with short trial intervals again. */
#define BACKOFF_FORGET_US (30 * MICRO)
#define RETURN_MOST_STEPS 20

#define WINDOW_OPEN UINT32_MAX
#define WINDOW_CUT_PERCENT 70
/* Refusals of what was sent before a cut come back within link and this. */
#define WINDOW_CUT_SLACK_US (10 * 1000ull)
/* Near the width that was refused, growth is this many times slower. */
#define WINDOW_NEAR_PERCENT 90
#define WINDOW_NEAR_DIVISOR 8
/* A window this many times the slots wide bounds nothing. */
#define WINDOW_OPEN_FACTOR 4

#define CLOSED_MOST_US (5 * MICRO)
#define CLOSED_REFUSALS_IN_ROW 3
#define CLOSED_TRIAL_US (1 * MICRO)

/* The throttle lets through this many requests for each accepted one. */
#define THROTTLE_FACTOR 2
#define THROTTLE_LEAST_ASKED 10
#define THROTTLE_HALF_US (2 * MICRO)
#define CHANCES 65536ull

/* Part of the configured slots presumed free where nothing is known. */
#define PRESUMED_DIVISOR 8
/* Part of the slots kept free, once or twice. */
#define RESERVE_DIVISOR 8
/* A request joins a queue that takes at most this part of its time. */
#define QUEUE_DIVISOR 2

#define RETRY_LEAST_US (20 * 1000ull)
#define RETRY_MOST_US (5 * MICRO)
/* A place without usable slots: its backend servers left or are down. */
#define NO_SLOTS_RETRY_US (1 * MICRO)

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t since(uint64_t then_us, uint64_t now_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

static uint64_t bucket_burst(uint32_t per_s)
{
	return max_u64(per_s / BURST_DIVISOR, 1) * MICRO;
}

/* Time until the bucket holds a request. */
static uint64_t bucket_wait_us(const struct steer_bucket *bucket,
			       uint32_t per_s)
{
	if (bucket->tokens_micro >= MICRO)
		return 0;
	return (MICRO - bucket->tokens_micro) / per_s + 1;
}

static uint32_t own_in_flight(const struct steer_place *place)
{
	return place->own_reported + place->own_unreported;
}

static uint32_t usable_slots(const struct steer_place *place)
{
	uint32_t slots = place->report.slots;

	/* A place that claims more than it was configured with lies. */
	if (place->spec.slots && slots > place->spec.slots)
		slots = place->spec.slots;
	return slots;
}

static uint64_t report_age_us(const struct steer_place *place, uint64_t now_us)
{
	return since(place->report_made_us, now_us);
}

/* Turn the ring of sent requests so that its newest bucket is now's. */
static void turn_sent(struct steer_place *place, uint64_t now_us)
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

/* Requests sent at that moment or later, as far as the ring goes back. */
static uint32_t sent_since(struct steer_place *place, uint64_t then_us,
			   uint64_t now_us)
{
	uint64_t oldest = then_us / STEER_SENT_BUCKET_US;
	uint64_t bucket;
	uint64_t begin_us;
	uint64_t end_us;
	uint64_t count;
	uint64_t sum = 0;

	turn_sent(place, now_us);
	if (place->sent_bucket >= oldest + STEER_SENT_BUCKETS)
		oldest = place->sent_bucket - STEER_SENT_BUCKETS + 1;
	for (bucket = oldest; bucket <= place->sent_bucket; bucket++) {
		count = place->sent[bucket % STEER_SENT_BUCKETS];
		begin_us = bucket * STEER_SENT_BUCKET_US;
		end_us = min_u64(begin_us + STEER_SENT_BUCKET_US, now_us);
		/* Of the bucket that holds the moment, the part after it. */
		if (then_us > begin_us && end_us > begin_us)
			count = count * since(then_us, end_us) /
				(end_us - begin_us);
		sum += count;
	}
	return (uint32_t)sum;
}

/*
 * Requests at the place. A report that knows of fewer than this node itself has
 * there lies (a frozen reporter, one that always says zero): the own count
 * holds then.
 */
static uint64_t busy(const struct steer_place *place)
{
	uint64_t reported = place->report.in_flight;

	reported += place->report.waiting;
	return max_u64(reported, place->own_reported) + place->own_unreported;
}

static uint64_t queue_wait_us(const struct steer_place *place)
{
	uint64_t slots = usable_slots(place);
	uint64_t occupied = busy(place);
	uint64_t wait_us = min_u64(place->report.wait_us, TIME_MOST_US);
	uint64_t service_us = min_u64(place->report.service_us, TIME_MOST_US);
	uint64_t queue;

	if (!slots || occupied < slots)
		return wait_us;
	queue = occupied + 1 - slots;
	return min_u64(max_u64(wait_us, queue * service_us / slots),
		       TIME_MOST_US);
}

static uint64_t learned_excess_us(const struct steer_place *place,
				  uint64_t now_us)
{
	uint64_t halvings = since(place->learned_us, now_us) / LEARN_HALF_US;
	uint64_t over;

	if (place->excess_us <= place->base_us)
		return place->excess_us;
	if (halvings >= 64)
		return place->base_us;
	over = place->excess_us - place->base_us;
	return place->base_us + (over >> halvings);
}

/* Most requests in flight that health and window allow. */
static uint32_t allowed_in_flight(const struct steer_place *place,
				  uint64_t now_us)
{
	uint32_t most = place->window_milli / MILLI;
	uint64_t steps;

	if (place->return_us) {
		steps = since(place->return_us, now_us) / STEER_STEP_US;
		steps = min_u64(steps, RETURN_MOST_STEPS);
		most = (uint32_t)min_u64(most, 1ull << steps);
	}
	return most;
}

/* End a stepped return once its steps bound nothing. */
static void end_return(struct steer_place *place, uint64_t now_us)
{
	uint64_t steps;

	if (!place->return_us)
		return;
	steps = since(place->return_us, now_us) / STEER_STEP_US;
	if (steps >= RETURN_MOST_STEPS || 1ull << steps >= place->spec.slots)
		place->return_us = 0;
}

static void begin_return(struct steer_place *place, uint64_t now_us)
{
	place->return_us = max_u64(now_us, 1);
}

static uint32_t silent_rate(const struct steer_place *place, uint64_t now_us)
{
	uint64_t silent_us =
		since(place->report_made_us + STEER_FRESH_US, now_us);
	uint64_t halvings = min_u64(silent_us / STEER_SILENT_HALF_US, 31);
	uint32_t rate = place->silent_per_s >> halvings;

	return rate > STEER_SILENT_FLOOR_PER_S ? rate :
						 STEER_SILENT_FLOOR_PER_S;
}

static void notice_silence(struct steer_place *place, uint64_t now_us)
{
	bool silent = steer_place_is_silent(place, now_us);

	if (silent && !place->silent) {
		place->silent_per_s =
			sent_since(place, since(MICRO, now_us), now_us);
		place->silent_bucket.tokens_micro = MICRO;
		place->silent_bucket.filled_us = now_us;
	}
	place->silent = silent;
}

static void close_estimate(struct steer_estimate *estimate, enum result reason,
			   uint64_t retry_after_us)
{
	estimate->standing = STEER_CLOSED;
	estimate->spare = 0;
	estimate->reason = reason;
	retry_after_us = max_u64(retry_after_us, RETRY_LEAST_US);
	estimate->retry_after_us = min_u64(retry_after_us, RETRY_MOST_US);
}

/*
 * A trial costs its caller time when it fails, and a non-idempotent one may end
 * with an unknown outcome; for these the place must have been heard of again.
 */
static bool trial_allowed(const struct steer_place *place,
			  enum service_class class_of, uint64_t now_us)
{
	if (now_us < place->trial_at_us)
		return false;
	return class_of != SERVICE_NON_IDEMPOTENT ||
	       (place->reported && place->report_made_us > place->failed_us);
}

/* Health, refusals, window: false and a closed estimate where they forbid. */
static bool passes_own_guards(const struct steer_place *place,
			      enum service_class class_of, uint64_t now_us,
			      struct steer_estimate *estimate)
{
	uint64_t trial_us = since(now_us, place->trial_at_us);

	if (place->failing) {
		if (trial_allowed(place, class_of, now_us))
			return true;
		close_estimate(estimate, RESULT_NO_PLACE, trial_us);
		return false;
	}
	if (now_us < place->closed_until_us &&
	    since(place->sent_us, now_us) < CLOSED_TRIAL_US) {
		close_estimate(estimate, RESULT_OVERLOAD,
			       place->closed_until_us - now_us);
		return false;
	}
	if (own_in_flight(place) >= allowed_in_flight(place, now_us)) {
		estimate->overloaded = !place->return_us;
		close_estimate(estimate, RESULT_OVERLOAD,
			       steer_place_base_us(place));
		return false;
	}
	return true;
}

/* Silence and link: the same. */
static bool passes_rates(struct steer_place *place, uint64_t now_us,
			 struct steer_estimate *estimate)
{
	uint32_t rate = place->spec.link_limit_per_s;

	if (rate && !steer_bucket_has(place->link, rate, now_us)) {
		close_estimate(estimate, RESULT_OVERLOAD,
			       bucket_wait_us(place->link, rate));
		return false;
	}
	notice_silence(place, now_us);
	if (!place->silent)
		return true;
	rate = silent_rate(place, now_us);
	if (steer_bucket_has(&place->silent_bucket, rate, now_us))
		return true;
	close_estimate(estimate, RESULT_NO_PLACE,
		       bucket_wait_us(&place->silent_bucket, rate));
	return false;
}

/* Why it would come late: because of the queue, or even without one. */
static enum result late_reason(const struct steer_place *place,
			       uint64_t time_us)
{
	uint64_t least_us = 2 * place->spec.one_way_us;

	least_us += steer_place_base_us(place);
	return least_us > time_us ? RESULT_DEADLINE_TOO_SHORT : RESULT_OVERLOAD;
}

/* Headroom where nothing was ever reported: a guess, so never HEADROOM. */
static void estimate_presumed(const struct steer_place *place,
			      struct steer_estimate *estimate)
{
	uint64_t presumed = max_u64(place->spec.slots / PRESUMED_DIVISOR, 1);

	if (own_in_flight(place) >= presumed)
		close_estimate(estimate, RESULT_OVERLOAD,
			       steer_place_base_us(place));
	else
		estimate->standing = STEER_QUEUE;
}

/*
 * What isn't headroom to this request. Requests from elsewhere that filled a
 * place to the brim would leave its own callers to queue, and entry nodes that
 * fill it by the same report overshoot together: the reserve takes that up.
 */
static uint64_t reserve(uint64_t slots, const struct steer_ask *ask)
{
	uint64_t parts = 0;

	if (!ask->at_home)
		parts++;
	if (ask->class_of == SERVICE_BACKGROUND)
		parts++;
	return slots * parts / RESERVE_DIVISOR;
}

/*
 * Headroom by the report. Other entry nodes see the same report and fill the
 * place meanwhile, so the older it is the less of it is taken as free.
 */
static void estimate_reported(const struct steer_place *place,
			      const struct steer_ask *ask, uint64_t now_us,
			      struct steer_estimate *estimate)
{
	uint64_t slots = usable_slots(place);
	uint64_t taken = busy(place) + reserve(slots, ask);
	uint64_t age_us = min_u64(report_age_us(place, now_us), STEER_FRESH_US);
	uint64_t wait_us = queue_wait_us(place);
	uint64_t whole = 2 * STEER_FRESH_US;

	if (!slots) {
		close_estimate(estimate, RESULT_NO_PLACE, NO_SLOTS_RETRY_US);
		return;
	}
	if (taken < slots) {
		estimate->standing = STEER_HEADROOM;
		estimate->spare =
			(uint32_t)(((slots - taken) * (whole - age_us) + whole -
				    1) /
				   whole);
		return;
	}
	if (wait_us <= (ask->deadline_us - now_us) / QUEUE_DIVISOR)
		estimate->standing = STEER_QUEUE;
	else
		close_estimate(estimate, RESULT_OVERLOAD, wait_us);
}

/* The base follows samples down at once and up slowly. */
static void learn_base(struct steer_place *place, uint64_t sample,
		       uint64_t now_us)
{
	if (sample < place->base_us) {
		place->base_us -= (place->base_us - sample) / LEARN_DIVISOR;
		return;
	}
	if (since(place->base_raised_us, now_us) < BASE_RISE_INTERVAL_US)
		return;
	place->base_us += place->base_us / BASE_RISE_DIVISOR;
	place->base_us = min_u64(place->base_us, place->excess_us);
	place->base_us = max_u64(place->base_us, 1);
	place->base_raised_us = now_us;
}

static void learn_latency(struct steer_place *place, uint64_t latency_us,
			  uint64_t now_us)
{
	uint64_t sample = min_u64(since(2 * place->spec.one_way_us, latency_us),
				  TIME_MOST_US);

	sample = max_u64(sample, 1);
	if (!place->base_us) {
		place->base_us = sample;
		place->excess_us = sample;
	}
	place->excess_us = learned_excess_us(place, now_us);
	place->excess_us += sample / LEARN_DIVISOR;
	place->excess_us -= place->excess_us / (LEARN_DIVISOR + 1);
	place->learned_us = now_us;
	learn_base(place, sample, now_us);
}

/*
 * An answer came while the window was in use: one more in a round trip, or in
 * several where it nears what was refused. A place of few slots would else
 * refuse every other request: the window grows past it in one round trip.
 */
static void grow_window(struct steer_place *place)
{
	uint64_t in_flight_milli = (own_in_flight(place) + 1ull) * MILLI;
	uint64_t near = place->window_refused_milli * WINDOW_NEAR_PERCENT / 100;
	uint32_t growth;
	uint64_t slots = max_u64(place->spec.slots, 1);

	if (place->window_milli == WINDOW_OPEN ||
	    in_flight_milli * 2 < place->window_milli)
		return;
	growth = MILLI * MILLI / place->window_milli;
	if (place->window_milli >= near)
		growth = growth / WINDOW_NEAR_DIVISOR + 1;
	place->window_milli += growth;
	if (place->window_milli > slots * WINDOW_OPEN_FACTOR * MILLI)
		place->window_milli = WINDOW_OPEN;
}

/* One cut for all refusals of one burst. */
static void cut_window(struct steer_place *place, uint64_t now_us)
{
	uint64_t window = (own_in_flight(place) + 1ull) * MILLI;
	uint64_t interval_us =
		2 * min_u64(place->spec.one_way_us, TIME_MOST_US);

	interval_us += WINDOW_CUT_SLACK_US;
	if (place->window_cut_us &&
	    since(place->window_cut_us, now_us) < interval_us)
		return;
	window = min_u64(window, place->window_milli);
	place->window_refused_milli = window;
	window = max_u64(window * WINDOW_CUT_PERCENT / 100, MILLI);
	place->window_milli = (uint32_t)window;
	place->window_cut_us = now_us;
}

static void learn_refusal(struct steer_place *place, uint64_t retry_after_us,
			  uint64_t now_us)
{
	uint64_t closed_us = min_u64(retry_after_us, CLOSED_MOST_US);

	cut_window(place, now_us);
	/*
	 * A gate under a little more load than it bears refuses a few of many.
	 * Each such refusal names a time for its caller; if it closed the place
	 * to all, requests would take the long way to another region while
	 * slots here fall idle.
	 */
	if (++place->refusals_in_row < CLOSED_REFUSALS_IN_ROW)
		return;
	place->closed_until_us =
		max_u64(place->closed_until_us, now_us + closed_us);
}

static void fail_place(struct steer_place *place, uint64_t now_us)
{
	bool forget = !place->failing &&
		      since(place->recovered_us, now_us) > BACKOFF_FORGET_US;

	if (forget || !place->backoff_us)
		place->backoff_us = STEER_TRIAL_FIRST_US;
	else
		place->backoff_us =
			min_u64(place->backoff_us * 2, STEER_TRIAL_MOST_US);
	place->failing = true;
	place->trial_sent = false;
	place->return_us = 0;
	place->trial_at_us = now_us + place->backoff_us;
}

static void learn_failure(struct steer_place *place, uint64_t now_us)
{
	bool relapse = place->return_us || place->trial_sent;

	place->failures_in_row++;
	place->failure_permille +=
		(1000 - place->failure_permille) / LEARN_DIVISOR;
	if (place->failing && !place->trial_sent) {
		place->failed_us = now_us;
		return;
	}
	if (relapse || place->failures_in_row >= FAILURES_IN_ROW ||
	    place->failure_permille >= FAILURE_MOST_PERMILLE)
		fail_place(place, now_us);
	place->failed_us = now_us;
}

/*
 * The place answered or truly refused: it is alive. Only what was sent as a
 * trial ends a failure; an answer from before the failure is just late.
 */
static void learn_alive(struct steer_place *place, uint64_t now_us)
{
	place->failures_in_row = 0;
	place->failure_permille -= place->failure_permille / LEARN_DIVISOR;
	if (!place->failing || !place->trial_sent)
		return;
	place->failing = false;
	place->trial_sent = false;
	place->failure_permille = 0;
	place->recovered_us = now_us;
	begin_return(place, now_us);
}

static void halve_throttle(struct steer_place *place, uint64_t now_us)
{
	uint64_t halvings = since(place->halved_us, now_us) / THROTTLE_HALF_US;

	if (!halvings)
		return;
	halvings = min_u64(halvings, 31);
	place->asked >>= halvings;
	place->accepted >>= halvings;
	place->halved_us = now_us;
}

static void settle_in_flight(struct steer_place *place)
{
	/* Requests end about in the order in which they were sent. */
	if (place->own_reported)
		place->own_reported--;
	else if (place->own_unreported)
		place->own_unreported--;
}

/* A time-out within the usual latency is the caller's short deadline. */
static bool is_short_deadline(const struct steer_place *place,
			      const struct steer_feedback *feedback)
{
	uint64_t excess_us =
		since(2 * place->spec.one_way_us, feedback->latency_us);

	return feedback->result == RESULT_TIMED_OUT &&
	       !steer_is_slow(excess_us, place->base_us);
}

bool steer_bucket_has(struct steer_bucket *bucket, uint32_t per_s,
		      uint64_t now_us)
{
	uint64_t passed_us = min_u64(since(bucket->filled_us, now_us), MICRO);

	bucket->tokens_micro = min_u64(bucket->tokens_micro + passed_us * per_s,
				       bucket_burst(per_s));
	bucket->filled_us = max_u64(bucket->filled_us, now_us);
	return bucket->tokens_micro >= MICRO;
}

void steer_bucket_take(struct steer_bucket *bucket)
{
	bucket->tokens_micro -= min_u64(bucket->tokens_micro, MICRO);
}

void steer_bucket_fill(struct steer_bucket *bucket, uint32_t per_s,
		       uint64_t now_us)
{
	bucket->tokens_micro = bucket_burst(per_s);
	bucket->filled_us = now_us;
}

void steer_place_init(struct steer_place *place,
		      const struct steer_place_spec *spec, uint64_t now_us)
{
	memset(place, 0, sizeof(*place));
	place->spec.place = spec->place;
	steer_place_configure(place, spec, now_us);
	place->report_made_us = now_us;
	place->window_milli = WINDOW_OPEN;
	place->halved_us = now_us;
}

void steer_place_configure(struct steer_place *place,
			   const struct steer_place_spec *spec, uint64_t now_us)
{
	/*
	 * Feedback of what is in flight will name the old index and never
	 * reach this place: counted on, it would look busy for ever.
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
	uint64_t made_us = since(age_us, now_us);
	uint32_t in_flight = own_in_flight(place);
	uint64_t under_way_us = min_u64(place->spec.one_way_us, TIME_MOST_US);
	uint32_t unreported;

	if (place->reported && made_us <= place->report_made_us)
		return;
	/* What was on its way when the report was made isn't in it. */
	unreported = sent_since(place, since(under_way_us, made_us), now_us);
	if (unreported > in_flight)
		unreported = in_flight;
	place->own_unreported = unreported;
	place->own_reported = in_flight - unreported;
	/*
	 * Everyone sees a place come back at the same moment and would fill it
	 * at once, while its caches are cold: it is filled in steps. A few
	 * reports that were lost are no such return.
	 */
	if (place->reported &&
	    since(place->report_made_us, made_us) >= STEER_RETURN_AFTER_US)
		begin_return(place, now_us);
	place->report = *report;
	place->report_made_us = made_us;
	place->reported = true;
}

void steer_place_estimate(struct steer_place *place,
			  const struct steer_ask *ask, uint64_t now_us,
			  struct steer_estimate *estimate)
{
	uint64_t time_us = since(now_us, ask->deadline_us);

	estimate->spare = 0;
	estimate->overloaded = false;
	estimate->reason = RESULT_OK;
	estimate->retry_after_us = 0;
	estimate->expected_us = steer_place_expected_us(place, now_us);
	if (place->spec.drained) {
		close_estimate(estimate, RESULT_NO_PLACE, RETRY_MOST_US);
		return;
	}
	end_return(place, now_us);
	if (!passes_own_guards(place, ask->class_of, now_us, estimate) ||
	    !passes_rates(place, now_us, estimate))
		return;
	if (estimate->expected_us > time_us) {
		close_estimate(estimate, late_reason(place, time_us),
			       queue_wait_us(place));
		return;
	}
	if (place->reported)
		estimate_reported(place, ask, now_us, estimate);
	else
		estimate_presumed(place, estimate);
}

bool steer_place_throttled(struct steer_place *place, uint32_t chance,
			   uint64_t now_us)
{
	uint64_t most = (uint64_t)place->accepted * THROTTLE_FACTOR;
	uint64_t over;

	halve_throttle(place, now_us);
	if (place->asked < THROTTLE_LEAST_ASKED || place->asked <= most)
		return false;
	over = (place->asked - most) * CHANCES / (place->asked + 1);
	return chance < over;
}

void steer_place_turn_away(struct steer_place *place)
{
	place->asked++;
}

void steer_place_send(struct steer_place *place, uint64_t now_us)
{
	turn_sent(place, now_us);
	place->sent[place->sent_bucket % STEER_SENT_BUCKETS]++;
	place->own_unreported++;
	place->sent_us = now_us;
	if (place->spec.link_limit_per_s)
		steer_bucket_take(place->link);
	if (place->silent)
		steer_bucket_take(&place->silent_bucket);
	if (place->failing) {
		place->trial_sent = true;
		place->trial_at_us = now_us + place->backoff_us;
	}
}

void steer_place_learn(struct steer_place *place,
		       const struct steer_feedback *feedback, uint64_t now_us)
{
	settle_in_flight(place);
	halve_throttle(place, now_us);
	place->asked++;
	switch (feedback->result) {
	case RESULT_OK:
		place->accepted++;
		place->refusals_in_row = 0;
		learn_alive(place, now_us);
		learn_latency(place, feedback->latency_us, now_us);
		grow_window(place);
		break;
	case RESULT_OVERLOAD:
	case RESULT_BACKEND_SHED:
	case RESULT_NO_PLACE:
		learn_alive(place, now_us);
		learn_refusal(place, feedback->retry_after_us, now_us);
		break;
	case RESULT_DEADLINE_TOO_SHORT:
		/* Too late for this one only; the throttle counts it. */
		learn_alive(place, now_us);
		break;
	case RESULT_CONNECT_FAILED:
	case RESULT_OUTCOME_UNKNOWN:
	case RESULT_TIMED_OUT:
	case RESULT_ATTEMPTS_FAILED:
	case RESULT_UNREACHABLE:
		place->accepted++;
		if (!is_short_deadline(place, feedback))
			learn_failure(place, now_us);
		break;
	default:
		/* The request's own fault or a shift's cap: nothing learned. */
		place->accepted++;
		learn_alive(place, now_us);
		break;
	}
}

uint64_t steer_place_expected_us(const struct steer_place *place,
				 uint64_t now_us)
{
	uint64_t link_us = 2 * min_u64(place->spec.one_way_us, TIME_MOST_US);
	uint64_t reported_us = 0;

	if (place->reported)
		reported_us = queue_wait_us(place) +
			      min_u64(place->report.service_us, TIME_MOST_US);
	return link_us + max_u64(reported_us, learned_excess_us(place, now_us));
}

uint64_t steer_place_base_us(const struct steer_place *place)
{
	if (place->base_us)
		return place->base_us;
	return min_u64(place->report.service_us, TIME_MOST_US);
}

bool steer_place_is_silent(const struct steer_place *place, uint64_t now_us)
{
	return report_age_us(place, now_us) > STEER_FRESH_US;
}

bool steer_is_slow(uint64_t excess_us, uint64_t base_us)
{
	return excess_us > base_us * SLOW_FACTOR + SLOW_SLACK_US;
}
