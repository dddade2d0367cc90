#include "core/steer_place_internal.h"

/* Weight of the newest sample in learned averages. */
#define LEARN_DIVISOR 8
/* The base latency rises by at most this fraction in each interval. */
#define BASE_RISE_DIVISOR 64
#define BASE_RISE_INTERVAL_US (1 * MICRO)
#define SLOW_FACTOR 2
#define SLOW_SLACK_US (5 * 1000ull)

#define FAILING_AFTER_FAILURES 3
#define FAILURE_MAX_PERMILLE 500
/* After this long without failing, trials start at the shortest interval. */
#define BACKOFF_RESET_US (30 * MICRO)

#define WINDOW_CUT_PERCENT 70
/* Requests sent before a cut are refused within a round trip plus this. */
#define WINDOW_CUT_SLACK_US (10 * 1000ull)
/* From this percentage of the refused size on, growth is slower. */
#define WINDOW_NEAR_PERCENT 90
#define WINDOW_NEAR_DIVISOR 8
/* A window larger than this many times the slots becomes unlimited. */
#define WINDOW_UNLIMITED_FACTOR 4

#define CLOSED_MAX_US (5 * MICRO)
#define CLOSED_AFTER_REFUSALS 3

/* The throttle lets through this many requests for each accepted one. */
#define THROTTLE_FACTOR 2
#define THROTTLE_MIN_REQUESTS 10
#define THROTTLE_HALF_LIFE_US (2 * MICRO)
#define CHANCE_RANGE 65536ull

/* The base latency follows samples down quickly and up slowly. */
static void learn_base(struct steer_place *place, uint64_t sample,
		       uint64_t now_us)
{
	if (sample < place->base_us) {
		place->base_us -= (place->base_us - sample) / LEARN_DIVISOR;
		return;
	}
	if (elapsed_us(place->base_raised_us, now_us) < BASE_RISE_INTERVAL_US)
		return;
	place->base_us += place->base_us / BASE_RISE_DIVISOR;
	place->base_us = MIN(place->base_us, place->place_latency_us);
	place->base_us = MAX(place->base_us, 1);
	place->base_raised_us = now_us;
}

static void learn_latency(struct steer_place *place, uint64_t latency_us,
			  uint64_t now_us)
{
	uint64_t sample =
		MIN(elapsed_us(2 * place->spec.one_way_us, latency_us),
		    TIME_MAX_US);

	sample = MAX(sample, 1);
	if (!place->base_us) {
		place->base_us = sample;
		place->place_latency_us = sample;
	}
	place->place_latency_us = steer_place_latency_us(place, now_us);
	place->place_latency_us += sample / LEARN_DIVISOR;
	place->place_latency_us -=
		place->place_latency_us / (LEARN_DIVISOR + 1);
	place->latency_sampled_us = now_us;
	learn_base(place, sample, now_us);
}

/*
 * An answer came while the window was at least half used: grow it by one each
 * round trip, or more slowly near the size that was refused. At a place with
 * few slots it would otherwise pass that size in one round trip, and every
 * other request would be refused.
 */
static void grow_window(struct steer_place *place)
{
	uint64_t in_flight_milli = (own_in_flight(place) + 1ull) * MILLI;
	uint64_t near =
		place->window_at_refusal_milli * WINDOW_NEAR_PERCENT / 100;
	uint32_t growth;
	uint64_t slots = MAX(place->spec.slots, 1);

	if (place->window_milli == WINDOW_UNLIMITED ||
	    in_flight_milli * 2 < place->window_milli)
		return;
	growth = MILLI * MILLI / place->window_milli;
	if (place->window_milli >= near)
		growth = growth / WINDOW_NEAR_DIVISOR + 1;
	place->window_milli += growth;
	if (place->window_milli > slots * WINDOW_UNLIMITED_FACTOR * MILLI)
		place->window_milli = WINDOW_UNLIMITED;
}

/* Cut the window, once for all refusals of one burst. */
static void cut_window(struct steer_place *place, uint64_t now_us)
{
	uint64_t window = (own_in_flight(place) + 1ull) * MILLI;
	uint64_t interval_us = 2 * MIN(place->spec.one_way_us, TIME_MAX_US);

	interval_us += WINDOW_CUT_SLACK_US;
	if (place->window_cut_us &&
	    elapsed_us(place->window_cut_us, now_us) < interval_us)
		return;
	window = MIN(window, place->window_milli);
	place->window_at_refusal_milli = window;
	window = MAX(window * WINDOW_CUT_PERCENT / 100, MILLI);
	place->window_milli = (uint32_t)window;
	place->window_cut_us = now_us;
}

static void learn_refusal(struct steer_place *place, uint64_t retry_after_us,
			  uint64_t now_us)
{
	uint64_t closed_us = MIN(retry_after_us, CLOSED_MAX_US);

	cut_window(place, now_us);
	/*
	 * A slightly overloaded gate refuses a few of many requests. The
	 * retry-after of such a refusal is for its caller only: if it closed
	 * the place to all, requests would go to far regions while slots here
	 * are idle.
	 */
	if (++place->consecutive_refusals < CLOSED_AFTER_REFUSALS)
		return;
	place->closed_until_us =
		MAX(place->closed_until_us, now_us + closed_us);
}

static void mark_failing(struct steer_place *place, uint64_t now_us)
{
	bool forget = !place->failing && elapsed_us(place->recovered_us,
						    now_us) > BACKOFF_RESET_US;

	if (forget || !place->backoff_us)
		place->backoff_us = STEER_TRIAL_MIN_US;
	else
		place->backoff_us =
			MIN(place->backoff_us * 2, STEER_TRIAL_MAX_US);
	place->failing = true;
	place->trial_sent = false;
	place->slow_start_us = 0;
	place->next_trial_us = now_us + place->backoff_us;
}

static void learn_failure(struct steer_place *place, uint64_t now_us)
{
	bool relapse = place->slow_start_us || place->trial_sent;

	place->consecutive_failures++;
	place->failure_permille +=
		(1000 - place->failure_permille) / LEARN_DIVISOR;
	if (place->failing && !place->trial_sent) {
		place->failed_us = now_us;
		return;
	}
	if (relapse || place->consecutive_failures >= FAILING_AFTER_FAILURES ||
	    place->failure_permille >= FAILURE_MAX_PERMILLE)
		mark_failing(place, now_us);
	place->failed_us = now_us;
}

/*
 * The place answered or refused, so it is alive. A failing place recovers only
 * once a trial was sent; an answer before that is to an older request.
 */
static void learn_alive(struct steer_place *place, uint64_t now_us)
{
	place->consecutive_failures = 0;
	place->failure_permille -= place->failure_permille / LEARN_DIVISOR;
	if (!place->failing || !place->trial_sent)
		return;
	place->failing = false;
	place->trial_sent = false;
	place->failure_permille = 0;
	place->recovered_us = now_us;
	begin_slow_start(place, now_us);
}

static void decay_throttle(struct steer_place *place, uint64_t now_us)
{
	uint64_t halvings = elapsed_us(place->throttle_halved_us, now_us) /
			    THROTTLE_HALF_LIFE_US;

	if (!halvings)
		return;
	halvings = MIN(halvings, 31);
	place->throttle_requests >>= halvings;
	place->throttle_accepts >>= halvings;
	place->throttle_halved_us = now_us;
}

static void count_finished(struct steer_place *place)
{
	/* Requests finish roughly in the order in which they were sent. */
	if (place->own_reported)
		place->own_reported--;
	else if (place->own_unreported)
		place->own_unreported--;
}

/* A time-out within normal latency is due to the caller's short deadline. */
static bool is_short_deadline(const struct steer_place *place,
			      const struct steer_feedback *feedback)
{
	uint64_t place_latency_us =
		elapsed_us(2 * place->spec.one_way_us, feedback->latency_us);

	return feedback->result == RESULT_TIMED_OUT &&
	       !steer_is_slow(place_latency_us, place->base_us);
}

bool steer_place_throttled(struct steer_place *place, uint32_t chance,
			   uint64_t now_us)
{
	uint64_t allowed = (uint64_t)place->throttle_accepts * THROTTLE_FACTOR;
	uint64_t over;

	decay_throttle(place, now_us);
	if (place->throttle_requests < THROTTLE_MIN_REQUESTS ||
	    place->throttle_requests <= allowed)
		return false;
	over = (place->throttle_requests - allowed) * CHANCE_RANGE /
	       (place->throttle_requests + 1);
	return chance < over;
}

void steer_place_count_throttled(struct steer_place *place)
{
	place->throttle_requests++;
}

void steer_place_record(struct steer_place *place,
			const struct steer_feedback *feedback, uint64_t now_us)
{
	count_finished(place);
	decay_throttle(place, now_us);
	place->throttle_requests++;
	switch (feedback->result) {
	case RESULT_OK:
		place->throttle_accepts++;
		place->consecutive_refusals = 0;
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
		/* Says nothing about other requests; the throttle counts it. */
		learn_alive(place, now_us);
		break;
	case RESULT_CONNECT_FAILED:
	case RESULT_OUTCOME_UNKNOWN:
	case RESULT_TIMED_OUT:
	case RESULT_ATTEMPTS_FAILED:
	case RESULT_UNREACHABLE:
		place->throttle_accepts++;
		if (!is_short_deadline(place, feedback))
			learn_failure(place, now_us);
		break;
	default:
		/* Caused by the request or a shift's cap, not by the place. */
		place->throttle_accepts++;
		learn_alive(place, now_us);
		break;
	}
}

bool steer_is_slow(uint64_t place_latency_us, uint64_t base_us)
{
	return place_latency_us > base_us * SLOW_FACTOR + SLOW_SLACK_US;
}
