/*
 * gate_backend - what one node knows of one backend server
 *
 * Own requests in flight are certain, reports are hints that age, learned
 * latency is an estimate that fades towards the service's mean. Health comes
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

/* A mean of samples that loses weight with age. */
struct gate_estimate {
	double mean_us;
	double weight; /* in samples, at updated_at_us */
	uint64_t updated_at_us;
};

enum gate_backend_state {
	GATE_BACKEND_UP,
	GATE_BACKEND_DOWN, /* nothing until down_until_us */
	GATE_BACKEND_TRIAL, /* one request at a time until one is answered */
};

struct gate_backend {
	char name[NAME_SIZE];
	uint32_t slots; /* that this node may use */
	uint32_t total_slots;
	uint32_t in_flight;
	bool present; /* in the set; otherwise its requests only finish */
	bool leaving; /* by configuration or the platform */
	bool cold; /* as the last spec said */

	bool reported;
	bool reported_leaving;
	uint32_t reported_in_flight;
	uint32_t own_in_flight_at_report; /* own requests in flight at that
					     moment */
	uint64_t reported_at_us;

	struct gate_estimate latency;
	double failure_rate; /* of requests that a server had begun */

	enum gate_backend_state state;
	bool trial_in_flight; /* the one request of a trial is in flight */
	bool unreachable; /* connect failures or probes, not bad answers */
	uint32_t failure_points; /* since the last answer */
	uint32_t failed_probes; /* since the last answer or good probe */
	uint64_t down_until_us;
	uint64_t down_duration_us; /* the last time down; doubles */
	uint64_t answered_at_us;

	double ramp_slots; /* in use up to this many; slots when warm */
	uint32_t consecutive_sheds; /* since the last answer */
	uint64_t shed_until_us;
};

/*
 * Age of something seen at then_us. Threads read the clock before they take
 * the lock, so a time may arrive that is a little older than the last one; it
 * counts as now, or the age would wrap to centuries.
 */
static inline uint64_t gate_age_us(uint64_t then_us, uint64_t now_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

/* Add a sample; the older ones count less the longer ago they were. */
void gate_estimate_add(struct gate_estimate *estimate, uint64_t sample_us,
		       uint64_t now_us);

/* The mean, drawn towards prior_us where samples are few or old. */
uint64_t gate_estimate_us(const struct gate_estimate *estimate,
			  uint64_t prior_us, uint64_t now_us);

/* Take over a specification; what was learned stays. */
void gate_backend_configure(struct gate_backend *backend,
			    const struct gate_backend_spec *spec);

/* Whether it may get requests now or once its pause is over. */
bool gate_backend_is_eligible(const struct gate_backend *backend);

/* Requests it may hold now; 0 while it is leaving, down or pausing. */
uint32_t gate_backend_limit(const struct gate_backend *backend,
			    uint64_t now_us);

/* A request starts there; the caller has seen that the limit allows it. */
void gate_backend_start(struct gate_backend *backend);

/* When a pause ends, UINT64_MAX if it isn't pausing or never comes back. */
uint64_t gate_backend_resume_us(const struct gate_backend *backend,
				uint64_t now_us);

/* Expected time of a request there. */
uint64_t gate_backend_latency_us(const struct gate_backend *backend,
				 uint64_t service_us, uint64_t now_us);

/* The lower, the better a choice; in microseconds. */
double gate_backend_score(const struct gate_backend *backend,
			  uint64_t service_us, uint64_t now_us);

/* Account the end of a request that started; true if it ought to be taken out
 * of use. */
bool gate_backend_record_outcome(struct gate_backend *backend,
				 enum gate_outcome outcome, uint64_t service_us,
				 uint64_t now_us);

/* Whether the evidence against it is certain enough to spare nobody. */
bool gate_backend_is_unreachable(const struct gate_backend *backend);

void gate_backend_mark_down(struct gate_backend *backend, uint64_t now_us);

void gate_backend_record_report(struct gate_backend *backend,
				uint32_t in_flight, bool leaving,
				uint64_t now_us);

void gate_backend_record_probe(struct gate_backend *backend, bool alive,
			       uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
