/*
 * steer_place - what an entry node knows of one place for one service
 *
 * Three sources, none trusted alone: the place's reports (late, wrong,
 * missing), the node's own requests there (in flight, latency, failures) and
 * refusals of the place's gate. Used by steer only. Not thread-safe.
 *
 * Guards, in the order in which they are asked:
 *   health   a place that fails gets trial requests only, then 1, 2, 4, ...
 *            requests in flight, doubled each STEER_SLOW_START_STEP_US
 *   closed   a gate that refuses request after request and names a time to come
 *            back isn't asked before it
 *   window   requests in flight, cut on overload, grown by answers
 *   silence  without reports a place keeps at most the rate it had, halved each
 *            STEER_SILENT_HALF_LIFE_US, down to STEER_SILENT_FLOOR_PER_S
 *   link     a bucket of the link's requests a second
 *   reserve  an eighth of the slots is no headroom to requests from elsewhere,
 *            and another eighth none to background requests
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

/* A report older than this leaves the place silent. */
#define STEER_REPORT_MAX_AGE_US (2 * 1000 * 1000ull)
#define STEER_SILENT_HALF_LIFE_US (2 * 1000 * 1000ull)
#define STEER_SILENT_FLOOR_PER_S 2
/* Heard of again after so long, a place returns in steps. */
#define STEER_SLOW_START_AFTER_US (6 * 1000 * 1000ull)
#define STEER_SLOW_START_STEP_US (1 * 1000 * 1000ull)
#define STEER_TRIAL_MIN_US (250 * 1000ull)
#define STEER_TRIAL_MAX_US (8 * 1000 * 1000ull)

/* Own requests by time sent: the last second in buckets. */
#define STEER_SENT_BUCKETS 16
#define STEER_SENT_BUCKET_US (1000 * 1000ull / STEER_SENT_BUCKETS)

struct steer_place {
	char name[NAME_SIZE];
	struct steer_place_spec spec; /* its name isn't kept */

	struct gate_summary report;
	bool reported;
	uint64_t report_made_us; /* or when the place was configured */

	uint32_t own_reported; /* in flight, sent before the report was made */
	uint32_t own_unreported; /* in flight, sent since */
	uint32_t sent[STEER_SENT_BUCKETS];
	uint64_t sent_bucket; /* number of the newest bucket */

	uint64_t place_latency_us; /* learned latency without the link */
	uint64_t base_us; /* the same when all is well; 0: nothing yet */
	uint64_t latency_sampled_us; /* when */
	uint64_t base_raised_us;

	uint32_t window_milli; /* UINT32_MAX: open */
	uint64_t window_refused_milli; /* width when it was last cut */
	uint64_t window_cut_us;
	uint64_t closed_until_us;
	uint64_t sent_us; /* last request */

	uint32_t throttle_requests; /* settled or turned away; decayed, for the
				       throttle */
	uint32_t throttle_accepts;
	uint64_t throttle_halved_us;

	bool failing;
	bool trial_sent;
	uint32_t consecutive_refusals; /* of the gate, since the last answer */
	uint32_t consecutive_failures;
	uint32_t failure_permille;
	uint64_t failed_us;
	uint64_t recovered_us;
	uint64_t trial_at_us;
	uint64_t backoff_us;
	uint64_t slow_start_us; /* when a stepped return began; 0: none */

	bool silent; /* as the last estimate saw it */
	uint32_t silent_per_s; /* rate when it fell silent */
	struct steer_bucket silent_bucket;
	struct steer_bucket link_bucket;
	struct steer_bucket *link; /* its own or that of the place it shares
				    * the link with */
};

/* What a request asks of a place. */
struct steer_place_request {
	enum service_class class_of;
	bool at_home; /* the place is the caller's */
	uint64_t deadline_us;
};

enum steer_availability {
	STEER_CLOSED, /* nothing may go there now */
	STEER_QUEUE, /* it has no headroom, or none is known */
	STEER_HEADROOM,
};

struct steer_estimate {
	enum steer_availability availability;
	uint32_t spare; /* headroom in requests, for STEER_HEADROOM */
	uint64_t expected_us;
	enum result reason; /* for STEER_CLOSED */
	bool overloaded; /* STEER_CLOSED by the window, cut by refusals */
	uint64_t retry_after_us; /* for STEER_CLOSED */
};

void steer_place_init(struct steer_place *place,
		      const struct steer_place_spec *spec, uint64_t now_us);
/* Take a new description; what was learned is kept. */
void steer_place_configure(struct steer_place *place,
			   const struct steer_place_spec *spec,
			   uint64_t now_us);

void steer_place_report(struct steer_place *place,
			const struct gate_summary *report, uint64_t age_us,
			uint64_t now_us);

/* What such a request may expect there. */
void steer_place_estimate(struct steer_place *place,
			  const struct steer_place_request *request,
			  uint64_t now_us, struct steer_estimate *estimate);

/* Whether the throttle turns this request away; chance is below 65536. */
bool steer_place_throttled(struct steer_place *place, uint32_t chance,
			   uint64_t now_us);

/* The throttle kept a request from the place. */
void steer_place_count_throttled(struct steer_place *place);

/* A request goes there. */
void steer_place_send(struct steer_place *place, uint64_t now_us);

void steer_place_record(struct steer_place *place,
			const struct steer_feedback *feedback, uint64_t now_us);

/* Expected time with link and queue; UINT64_MAX / 4 at most. */
uint64_t steer_place_expected_us(const struct steer_place *place,
				 uint64_t now_us);

/* Time without the link when all is well there; 0 where nothing is known. */
uint64_t steer_place_base_us(const struct steer_place *place);

bool steer_place_is_silent(const struct steer_place *place, uint64_t now_us);

/* Whether a time without the link is well over the base. */
bool steer_is_slow(uint64_t place_latency_us, uint64_t base_us);

#ifdef __cplusplus
}
#endif

#endif
