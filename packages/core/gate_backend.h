/*
 * gate_backend - load, latency and health of one backend server at one node
 *
 * The node's own requests in flight are exact. Load reports lose weight with
 * age. The latency estimate decays towards the service's mean. Health follows
 * from the outcomes of requests first and from probes second. Not thread-safe.
 * Times are microseconds of the clock port.
 */
#ifndef CORE_GATE_BACKEND_H
#define CORE_GATE_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A weighted mean of samples; the weight decays with age. */
struct gate_estimate {
	double mean_us;
	double weight; /* number of samples, as of updated_at_us */
	uint64_t updated_at_us;
};

enum gate_backend_state {
	GATE_BACKEND_UP,
	GATE_BACKEND_DOWN, /* no requests until down_until_us */
	GATE_BACKEND_TRIAL, /* one at a time until one is answered (half-open)
			     */
};

struct gate_backend {
	char name[NAME_SIZE];
	uint32_t slots; /* this node's */
	uint32_t total_slots; /* of the backend server */
	uint32_t in_flight; /* this node's requests */
	bool present; /* in the set; if not, its requests only finish */
	bool leaving; /* by the latest spec */
	bool cold; /* by the latest spec */

	bool reported; /* at least once */
	bool reported_leaving;
	uint32_t reported_in_flight; /* of all nodes */
	uint32_t own_in_flight_at_report; /* in_flight at reported_at_us */
	uint64_t reported_at_us;

	struct gate_estimate latency;
	double failure_rate; /* moving average, of requests that were sent */

	enum gate_backend_state state;
	bool trial_in_flight; /* the single request of a trial */
	bool unreachable; /* last failure: connect or probe, not a request */
	uint32_t failure_points; /* since the last answer */
	uint32_t failed_probes; /* since the last answer or good probe */
	uint64_t down_until_us;
	uint64_t down_duration_us; /* the latest; doubles each time */
	uint64_t answered_at_us; /* last answer; 0: none */

	double ramp_slots; /* current limit; equals slots when ramped up */
	uint32_t consecutive_sheds; /* since the last answer */
	uint64_t shed_until_us;
};

/*
 * Age of an event at then_us, at least 0. Threads read the clock before they
 * take the lock, so now_us may be slightly older than then_us; the difference
 * would wrap around.
 */
static inline uint64_t gate_age_us(uint64_t then_us, uint64_t now_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

/* Add a sample; older ones weigh less. */
void gate_estimate_add(struct gate_estimate *estimate, uint64_t sample_us,
		       uint64_t now_us);

/* The mean, closer to prior_us the fewer and older the samples are. */
uint64_t gate_estimate_us(const struct gate_estimate *estimate,
			  uint64_t prior_us, uint64_t now_us);

/* Apply a spec; estimates and health stay. */
void gate_backend_configure(struct gate_backend *backend,
			    const struct gate_backend_spec *spec);

/* Whether it may get requests, now or after a pause. */
bool gate_backend_is_eligible(const struct gate_backend *backend);

/* Maximum of this node's requests there now; 0 if leaving, down or paused. */
uint32_t gate_backend_limit(const struct gate_backend *backend,
			    uint64_t now_us);

/* Count a request that starts; the caller has checked the limit. */
void gate_backend_start(struct gate_backend *backend);

/* End of its pause, UINT64_MAX if it isn't paused or not eligible. */
uint64_t gate_backend_resume_us(const struct gate_backend *backend,
				uint64_t now_us);

/* Expected time of a request there; service_us: the service's mean. */
uint64_t gate_backend_latency_us(const struct gate_backend *backend,
				 uint64_t service_us, uint64_t now_us);

/* Weighted latency in microseconds; the lowest is the best choice. */
double gate_backend_score(const struct gate_backend *backend,
			  uint64_t service_us, uint64_t now_us);

/* Record the end of a request; true if the server should be marked down. */
bool gate_backend_record_outcome(struct gate_backend *backend,
				 enum gate_outcome outcome, uint64_t service_us,
				 uint64_t now_us);

/* Whether it failed to connect or failed probes, rather than requests. */
bool gate_backend_is_unreachable(const struct gate_backend *backend);

/* No requests for 500 ms, doubled each time up to 8 s; then a trial. */
void gate_backend_mark_down(struct gate_backend *backend, uint64_t now_us);

/* See gate_record_report(). */
void gate_backend_record_report(struct gate_backend *backend,
				uint32_t in_flight, bool leaving,
				uint64_t now_us);

/* See gate_record_probe(). */
void gate_backend_record_probe(struct gate_backend *backend, bool alive,
			       uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
