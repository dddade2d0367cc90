#include "core/gate_backend.h"

#include <glib.h>

/* Scale of the decay: a weight falls to 1 / (1 + age / this) squared. */
#define ESTIMATE_DECAY_US (10 * 1000 * 1000.0)
/* In samples; limits how slowly an estimate follows a change. */
#define ESTIMATE_MAX_WEIGHT 16.0
/* Weight of the prior, in samples. */
#define ESTIMATE_PRIOR_WEIGHT 2.0

/* A load report counts half at this age and nothing above the maximum age. */
#define REPORT_DECAY_US (1 * 1000 * 1000.0)
#define REPORT_MAX_AGE_US (10 * 1000 * 1000ull)

/* Two failed connects or three failed requests in a row mark it down. */
#define POINTS_CONNECT_FAILED 3
#define POINTS_REQUEST_FAILED 2
#define FAILURE_POINTS_LIMIT 6
#define FAILED_PROBES_LIMIT 2
/* Failed probes don't count while the last answer is more recent than this. */
#define ANSWER_RECENT_US (2 * 1000 * 1000ull)

/* Pause after it was marked down, doubled up to the maximum. */
#define DOWN_FIRST_US (500 * 1000ull)
#define DOWN_MAX_US (8 * 1000 * 1000ull)
/* Pause after a shed, doubled by each further one; factor on the limit. */
#define SHED_FIRST_US (20 * 1000ull)
#define SHED_MAX_DOUBLINGS 6
#define SHED_SLOTS_FACTOR 0.7

/* Slots added by each answer while ramping up. */
#define RAMP_PER_ANSWER 0.5
/* Score factor while ramping up. */
#define RAMP_PENALTY 1.25

/* Weight of the latest outcome in the moving average of failures. */
#define FAILURE_GAIN 0.125
#define FAILURE_RATE_MAX 0.9

static double estimate_weight(const struct gate_estimate *estimate,
			      uint64_t now_us)
{
	double age_us = (double)gate_age_us(estimate->updated_at_us, now_us);
	double decay = 1.0 + age_us / ESTIMATE_DECAY_US;

	return estimate->weight / (decay * decay);
}

static bool is_ramping(const struct gate_backend *backend)
{
	return backend->ramp_slots < backend->slots;
}

/* Estimated requests of other nodes there, by its latest report. */
static double others_in_flight(const struct gate_backend *backend,
			       uint64_t now_us)
{
	uint64_t age_us = gate_age_us(backend->reported_at_us, now_us);

	if (!backend->reported || age_us > REPORT_MAX_AGE_US)
		return 0.0;
	/*
	 * A report below this node's own requests in flight is late or wrong.
	 * Using it would send more requests to a server that only looks idle,
	 * so it adds nothing to the own count.
	 */
	if (backend->reported_in_flight <= backend->own_in_flight_at_report)
		return 0.0;
	return (backend->reported_in_flight -
		backend->own_in_flight_at_report) /
	       (1.0 + (double)age_us / REPORT_DECAY_US);
}

static double relative_load(const struct gate_backend *backend, uint64_t now_us)
{
	double others = others_in_flight(backend, now_us);
	double load;

	if (!backend->slots)
		return 1.0;
	load = (backend->in_flight + others) / backend->total_slots;
	return MIN(load, 2.0);
}

/*
 * Requests that hung when the server went down still occupy slots. A trial
 * request is allowed in addition to them; it would otherwise have to wait until
 * all of them have timed out.
 */
static uint32_t trial_limit(const struct gate_backend *backend)
{
	if (backend->trial_in_flight)
		return 0;
	return MIN(backend->in_flight + 1, backend->slots);
}

static void ramp_up(struct gate_backend *backend)
{
	backend->ramp_slots += RAMP_PER_ANSWER;
	if (backend->ramp_slots > backend->slots)
		backend->ramp_slots = backend->slots;
}

static void record_answer(struct gate_backend *backend, uint64_t service_us,
			  uint64_t now_us)
{
	gate_estimate_add(&backend->latency, service_us, now_us);
	backend->failure_rate -= FAILURE_GAIN * backend->failure_rate;
	backend->failure_points = 0;
	backend->failed_probes = 0;
	backend->consecutive_sheds = 0;
	backend->answered_at_us = now_us;
	backend->state = GATE_BACKEND_UP;
	backend->unreachable = false;
	ramp_up(backend);
	if (!is_ramping(backend))
		backend->down_duration_us = 0;
}

/*
 * A server that sheds has less capacity than its slots, because other callers
 * or a fault take it up. A pause and a lower limit keep its refusals from using
 * up retries; each answer raises the limit by half a slot.
 */
static void record_shed(struct gate_backend *backend, uint64_t now_us)
{
	double held = MIN(backend->ramp_slots, backend->in_flight + 1.0);

	backend->ramp_slots = MAX(1.0, held * SHED_SLOTS_FACTOR);
	backend->shed_until_us =
		now_us + (SHED_FIRST_US << MIN(backend->consecutive_sheds,
					       SHED_MAX_DOUBLINGS));
	backend->consecutive_sheds++;
}

static bool record_failure(struct gate_backend *backend, uint32_t points)
{
	backend->failure_points += points;
	return backend->state == GATE_BACKEND_TRIAL ||
	       backend->failure_points >= FAILURE_POINTS_LIMIT;
}

static void record_request_failure(struct gate_backend *backend)
{
	backend->failure_rate += FAILURE_GAIN * (1.0 - backend->failure_rate);
	backend->unreachable = false;
}

void gate_estimate_add(struct gate_estimate *estimate, uint64_t sample_us,
		       uint64_t now_us)
{
	double weight = estimate_weight(estimate, now_us);

	estimate->mean_us = (estimate->mean_us * weight + (double)sample_us) /
			    (weight + 1.0);
	estimate->weight = MIN(weight + 1.0, ESTIMATE_MAX_WEIGHT);
	estimate->updated_at_us = now_us;
}

uint64_t gate_estimate_us(const struct gate_estimate *estimate,
			  uint64_t prior_us, uint64_t now_us)
{
	double weight = estimate_weight(estimate, now_us);
	double sum = estimate->mean_us * weight +
		     (double)prior_us * ESTIMATE_PRIOR_WEIGHT;

	return (uint64_t)(sum / (weight + ESTIMATE_PRIOR_WEIGHT));
}

void gate_backend_configure(struct gate_backend *backend,
			    const struct gate_backend_spec *spec)
{
	bool was_ramping = is_ramping(backend);
	bool turned_cold = spec->cold && !backend->cold;

	backend->present = true;
	backend->leaving = spec->leaving;
	backend->cold = spec->cold;
	backend->slots = spec->slots;
	backend->total_slots = spec->total_slots ? spec->total_slots :
						   spec->slots;
	if (turned_cold)
		backend->ramp_slots = 1.0;
	else if (!was_ramping || backend->ramp_slots > backend->slots)
		backend->ramp_slots = backend->slots;
}

bool gate_backend_is_eligible(const struct gate_backend *backend)
{
	return backend->present && !backend->leaving &&
	       !backend->reported_leaving && backend->slots > 0;
}

uint32_t gate_backend_limit(const struct gate_backend *backend, uint64_t now_us)
{
	if (!gate_backend_is_eligible(backend) ||
	    now_us < backend->shed_until_us)
		return 0;
	if (backend->state == GATE_BACKEND_DOWN &&
	    now_us < backend->down_until_us)
		return 0;
	if (backend->state != GATE_BACKEND_UP)
		return trial_limit(backend);
	return (uint32_t)backend->ramp_slots;
}

void gate_backend_start(struct gate_backend *backend)
{
	backend->in_flight++;
	if (backend->state == GATE_BACKEND_UP)
		return;
	backend->state = GATE_BACKEND_TRIAL;
	backend->trial_in_flight = true;
}

uint64_t gate_backend_resume_us(const struct gate_backend *backend,
				uint64_t now_us)
{
	uint64_t until_us = backend->shed_until_us;

	if (!gate_backend_is_eligible(backend))
		return UINT64_MAX;
	if (backend->state == GATE_BACKEND_DOWN)
		until_us = MAX(until_us, backend->down_until_us);
	return until_us > now_us ? until_us : UINT64_MAX;
}

uint64_t gate_backend_latency_us(const struct gate_backend *backend,
				 uint64_t service_us, uint64_t now_us)
{
	return gate_estimate_us(&backend->latency, service_us, now_us);
}

double gate_backend_score(const struct gate_backend *backend,
			  uint64_t service_us, uint64_t now_us)
{
	double score =
		(double)gate_backend_latency_us(backend, service_us, now_us);
	double success = 1.0 - MIN(backend->failure_rate, FAILURE_RATE_MAX);

	score *= 1.0 + relative_load(backend, now_us);
	score /= success * success;
	if (is_ramping(backend))
		score *= RAMP_PENALTY;
	return score;
}

bool gate_backend_record_outcome(struct gate_backend *backend,
				 enum gate_outcome outcome, uint64_t service_us,
				 uint64_t now_us)
{
	backend->in_flight--;
	backend->trial_in_flight = false;
	switch (outcome) {
	case GATE_ANSWERED:
		record_answer(backend, service_us, now_us);
		return false;
	case GATE_SHED:
		record_shed(backend, now_us);
		return false;
	case GATE_CONNECT_FAILED:
		backend->unreachable = true;
		return record_failure(backend, POINTS_CONNECT_FAILED);
	case GATE_TIMED_OUT:
		/* A lower bound, but it raises the estimate of a slow server.
		 */
		gate_estimate_add(&backend->latency, service_us, now_us);
		record_request_failure(backend);
		return record_failure(backend, POINTS_REQUEST_FAILED);
	case GATE_BROKEN:
		record_request_failure(backend);
		return record_failure(backend, POINTS_REQUEST_FAILED);
	}
	return false;
}

bool gate_backend_is_unreachable(const struct gate_backend *backend)
{
	return backend->unreachable;
}

void gate_backend_mark_down(struct gate_backend *backend, uint64_t now_us)
{
	if (backend->state == GATE_BACKEND_DOWN &&
	    now_us < backend->down_until_us)
		return;
	backend->down_duration_us =
		backend->down_duration_us ?
			MIN(backend->down_duration_us * 2, DOWN_MAX_US) :
			DOWN_FIRST_US;
	backend->state = GATE_BACKEND_DOWN;
	backend->down_until_us = now_us + backend->down_duration_us;
	backend->ramp_slots = MIN(1.0, backend->slots);
	backend->failure_points = 0;
}

void gate_backend_record_report(struct gate_backend *backend,
				uint32_t in_flight, bool leaving,
				uint64_t now_us)
{
	backend->reported = true;
	backend->reported_in_flight = in_flight;
	backend->reported_leaving = leaving;
	backend->own_in_flight_at_report = backend->in_flight;
	backend->reported_at_us = now_us;
}

void gate_backend_record_probe(struct gate_backend *backend, bool alive,
			       uint64_t now_us)
{
	if (alive) {
		backend->failed_probes = 0;
		/*
		 * A health page may say "alive" while requests fail, and would
		 * make a broken server usable again and again. So a good probe
		 * only ends a pause caused by failed connects or probes.
		 */
		if (backend->state == GATE_BACKEND_DOWN && backend->unreachable)
			backend->state = GATE_BACKEND_TRIAL;
		return;
	}
	backend->failed_probes++;
	/*
	 * Failed probes don't mark a server down that still answers requests:
	 * its health page alone may be broken, and marking such servers down
	 * would overload the others. An answer resets the count.
	 */
	if (backend->failed_probes < FAILED_PROBES_LIMIT ||
	    (backend->answered_at_us &&
	     gate_age_us(backend->answered_at_us, now_us) < ANSWER_RECENT_US))
		return;
	backend->unreachable = true;
	gate_backend_mark_down(backend, now_us);
}
