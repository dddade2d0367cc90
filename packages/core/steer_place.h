/*
 * steer_place - one place's state and estimate for one service at an entry node
 *
 * Combines three sources, since none is reliable alone: the place's reports
 * (which may be late, wrong or missing), this node's own requests to it (in
 * flight, latency, failures) and refusals by the place's gate. Used by steer
 * only. Not thread-safe.
 *
 * Checks, in order:
 *   health   A failing place gets trial requests only. Once one succeeds, slow
 *            start allows 1, 2, 4, ... requests in flight, doubled each
 *            STEER_SLOW_START_STEP_US.
 *   closed   After consecutive refusals with a retry-after, nothing is sent
 *            until that time, but for one request a second as a trial.
 *   window   Limit on own requests in flight: cut on overload, grown by
 *            successful answers.
 *   link     Token bucket with the link's limit of requests a second.
 *   silence  Without recent reports a place gets at most the rate it had,
 *            halved each STEER_SILENT_HALF_LIFE_US down to
 *            STEER_SILENT_FLOOR_PER_S.
 *   reserve  An eighth of the slots doesn't count as headroom for requests from
 *            other places, and another eighth not for background requests.
 */
#ifndef CORE_STEER_PLACE_H
#define CORE_STEER_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/steer.h"
#include "core/steer_bucket.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A place whose newest report is older than this is silent. */
#define STEER_REPORT_MAX_AGE_US (2 * 1000 * 1000ull)
#define STEER_SILENT_HALF_LIFE_US (2 * 1000 * 1000ull)
#define STEER_SILENT_FLOOR_PER_S 2
/* A place that reports again after this long goes through slow start. */
#define STEER_SLOW_START_AFTER_US (6 * 1000 * 1000ull)
#define STEER_SLOW_START_STEP_US (1 * 1000 * 1000ull)
/* Interval of trials of a failing place; doubled after each failed one. */
#define STEER_TRIAL_MIN_US (250 * 1000ull)
#define STEER_TRIAL_MAX_US (8 * 1000 * 1000ull)

/* Requests sent in the last second are counted by these intervals. */
#define STEER_SENT_BUCKETS 16
#define STEER_SENT_BUCKET_US (1000 * 1000ull / STEER_SENT_BUCKETS)

struct steer_place {
	char name[NAME_SIZE];
	struct steer_place_spec spec; /* spec.name is NULL */

	struct gate_summary report;
	bool reported;
	uint64_t report_made_us; /* at first the time of steer_place_init() */

	/* This node's requests in flight there */
	uint32_t own_reported; /* that the newest report includes */
	uint32_t own_unreported; /* sent too late for it */
	uint32_t sent[STEER_SENT_BUCKETS]; /* ring */
	uint64_t sent_bucket; /* newest: time / STEER_SENT_BUCKET_US */

	uint64_t place_latency_us; /* moving average, without the link */
	uint64_t base_us; /* the same under normal load; 0: not known */
	uint64_t latency_sampled_us; /* time of the newest sample */
	uint64_t base_raised_us;

	uint32_t window_milli; /* in thousandths; or WINDOW_UNLIMITED */
	/* Own requests in flight at the last cut plus 1; at most the window. */
	uint64_t window_at_refusal_milli;
	uint64_t window_cut_us;
	uint64_t closed_until_us;
	uint64_t sent_us; /* when the last request was sent */

	/* Decaying counts for the throttle */
	uint32_t throttle_requests; /* finished or throttled */
	uint32_t throttle_accepts; /* of these, not refused by the place */
	uint64_t throttle_halved_us;

	bool failing;
	bool trial_sent; /* and without an outcome yet */
	uint32_t consecutive_refusals; /* by the gate, since a RESULT_OK */
	uint32_t consecutive_failures;
	uint32_t failure_permille; /* moving average */
	uint64_t failed_us;
	uint64_t recovered_us;
	uint64_t next_trial_us; /* when the next trial is due */
	uint64_t backoff_us; /* interval of trials */
	uint64_t slow_start_us; /* when slow start began; 0: not in it */

	bool silent; /* at the last estimate */
	uint32_t silent_per_s; /* rate sent when it became silent */
	struct steer_bucket silent_bucket;
	struct steer_bucket link_bucket;
	struct steer_bucket *link; /* own link_bucket, or that of another place
				    * on the same link */
};

/* Properties of a request that matter to a place's estimate. */
struct steer_place_request {
	enum service_class class_of;
	bool at_home; /* the place is the request's home */
	uint64_t deadline_us;
};

enum steer_availability {
	STEER_CLOSED, /* the request can't be sent there now */
	STEER_QUEUE, /* no headroom known; the request may have to queue */
	STEER_HEADROOM, /* free slots, by the report */
};

struct steer_estimate {
	enum steer_availability availability;
	uint32_t spare; /* headroom in requests, for STEER_HEADROOM */
	uint64_t expected_us;
	enum result reason; /* for STEER_CLOSED */
	bool overloaded; /* STEER_CLOSED because of the window */
	uint64_t retry_after_us; /* for STEER_CLOSED */
};

void steer_place_init(struct steer_place *place,
		      const struct steer_place_spec *spec, uint64_t now_us);

/* Apply a new configuration; learned state is kept. */
void steer_place_configure(struct steer_place *place,
			   const struct steer_place_spec *spec,
			   uint64_t now_us);

/* Take a report made age_us ago; ignored if not newer than the current one. */
void steer_place_report(struct steer_place *place,
			const struct gate_summary *report, uint64_t age_us,
			uint64_t now_us);

/* Estimate what happens to such a request if it is sent there now. */
void steer_place_estimate(struct steer_place *place,
			  const struct steer_place_request *request,
			  uint64_t now_us, struct steer_estimate *estimate);

/*
 * Whether the throttle keeps a request from the place; chance is a random
 * number below 65536.
 */
bool steer_place_throttled(struct steer_place *place, uint32_t chance,
			   uint64_t now_us);

/* Count a request that the throttle kept from the place. */
void steer_place_count_throttled(struct steer_place *place);

/* Count a request that is sent there. */
void steer_place_send(struct steer_place *place, uint64_t now_us);

/* Record the outcome of a request that was sent there. */
void steer_place_record(struct steer_place *place,
			const struct steer_feedback *feedback, uint64_t now_us);

/* Expected time until an answer, with link and queue; below UINT64_MAX / 4. */
uint64_t steer_place_expected_us(const struct steer_place *place,
				 uint64_t now_us);

/* Latency there under normal load, without the link; 0: not known. */
uint64_t steer_place_base_us(const struct steer_place *place);

/* Whether the place hasn't reported for STEER_REPORT_MAX_AGE_US. */
bool steer_place_is_silent(const struct steer_place *place, uint64_t now_us);

/* Whether a place latency is well above the base latency. */
bool steer_is_slow(uint64_t place_latency_us, uint64_t base_us);

#ifdef __cplusplus
}
#endif

#endif
