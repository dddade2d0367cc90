/*
 * admission - whether a service that is short of slots takes a request
 *
 * Pure. It answers the load of a service whose slots are all taken: more
 * callers than it can serve for seconds, caches that went cold, or servers that
 * were lost. Requests then queue at the servers, and once the queue is as long
 * as the objective every answer comes late, also those for callers that come
 * after the burst: the queue never drains by itself while as many arrive as are
 * served. A request that would only lengthen it is refused at once, and told to
 * come back as late as its caller will wait for.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A request at the server that was chosen for it. */
struct admission_request {
	double expected_us; /* from now to its answer */
	double wait_us; /* of that: for a slot; 0 where one is free */
	uint64_t spent_us; /* since it arrived */
	uint64_t left_us; /* until its answer is due */
	uint64_t target_us; /* objective of its route */
};

enum admission_verdict {
	ADMISSION_ACCEPT,
	ADMISSION_QUEUE_LATE, /* would wait for a slot, and be late anyway */
	ADMISSION_TOO_LATE, /* its answer would miss its deadline */
};

enum admission_verdict
admission_decide(const struct admission_request *request);

/*
 * When a refused caller should come back, if it waits patience_us in all from
 * now (0: it didn't say). spread is from 0 to 1, drawn anew for each, so that
 * those who were refused together don't come back together.
 */
uint64_t admission_retry_after_us(uint64_t patience_us, double jitter);

/* Callers that were refused for want of a rate, and when they return. */
struct admission_retry_schedule {
	uint64_t next_us; /* the latest one's time */
};

/*
 * The same for one that waits for a rate of so many a second: one after another
 * as that allows. Where the rate is spoken for beyond its time it comes back as
 * late as it will wait for.
 */
uint64_t admission_schedule_retry_us(struct admission_retry_schedule *schedule,
				     double per_s, uint64_t patience_us,
				     double jitter, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
