#include "core/admission.h"

#include <glib.h>

#include "core/duration.h"

/*
 * Range of the retry-after, as a fraction of the time that the caller waits: at
 * most a third. The caller is late already, so free slots matter more than
 * time, and most are free after the burst.
 */
#define MIN_RETRY_FRACTION 0.3
#define MAX_RETRY_FRACTION 0.33

/* For callers with unknown patience: a few service times. */
#define DEFAULT_RETRY_US (400 * US_PER_MS)

enum admission_verdict
admission_decide_by_wait(const struct admission_request *request,
			 double allowed_wait_us)
{
	if (request->expected_us > (double)request->left_us)
		return ADMISSION_TOO_LATE;
	if (request->wait_us > 0 && request->wait_us > allowed_wait_us)
		return ADMISSION_QUEUE_LATE;
	return ADMISSION_ACCEPT;
}

enum admission_verdict admission_decide(const struct admission_request *request)
{
	double without_wait_us = (double)request->spent_us +
				 request->expected_us - request->wait_us;
	double room_us = ((double)request->target_us - without_wait_us) *
			 (1 - request->higher_share);

	return admission_decide_by_wait(request, room_us);
}

uint64_t admission_retry_after_us(uint64_t patience_us, double jitter)
{
	double fraction = MIN_RETRY_FRACTION +
			  jitter * (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION);

	if (!patience_us)
		return DEFAULT_RETRY_US;
	return (uint64_t)(fraction * (double)patience_us);
}

uint64_t admission_schedule_return_us(struct admission_retry_schedule *schedule,
				      uint64_t drain_us, double per_s,
				      uint64_t patience_us, double jitter,
				      uint64_t now_us)
{
	uint64_t latest_us = admission_retry_after_us(patience_us, jitter);
	uint64_t at_us = MAX(schedule->next_us, now_us + drain_us);
	double gap_us = (double)US_PER_S / per_s;

	if (!(per_s > 0) || gap_us > (double)latest_us)
		return latest_us;
	at_us += (uint64_t)gap_us;
	if (at_us > now_us + latest_us)
		return latest_us;
	schedule->next_us = at_us;
	return at_us - now_us;
}

uint64_t admission_schedule_retry_us(struct admission_retry_schedule *schedule,
				     double per_s, uint64_t patience_us,
				     double jitter, uint64_t now_us)
{
	return admission_schedule_return_us(schedule, 0, per_s, patience_us,
					    jitter, now_us);
}
