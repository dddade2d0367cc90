/*
 * admission - whether a service that is short of slots takes a request
 *
 * Pure. It handles a service whose slots are all in use: more callers than it
 * can serve for seconds, cold caches, or lost servers. Requests then queue at
 * the servers, and once the queue is as long as the latency objective, every
 * answer is late, even after the burst: the queue never drains while as many
 * requests arrive as are served. A request that would only lengthen the queue
 * is rejected at once, with a retry-after as late as its caller will wait. The
 * room in the queue that more urgent requests fill is left to them.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A request at the server chosen for it. */
struct admission_request {
	double expected_us; /* from now to its answer */
	double wait_us; /* part of it: for a slot; 0 if one is free */
	uint64_t spent_us; /* since the request arrived */
	uint64_t left_us; /* until its deadline */
	uint64_t target_us; /* latency objective of its route */
	double higher_share; /* of recent requests, with higher priority */
};

enum admission_verdict {
	ADMISSION_ACCEPT,
	ADMISSION_QUEUE_LATE, /* would queue, and miss the objective */
	ADMISSION_TOO_LATE, /* would miss its deadline */
};

enum admission_verdict
admission_decide(const struct admission_request *request);

/* The same with the longest wait allowed, instead of by its objective. */
enum admission_verdict
admission_decide_by_wait(const struct admission_request *request,
			 double allowed_wait_us);

/*
 * Retry-after for a rejected caller that waits patience_us in all from now (0:
 * unknown). jitter is a random number from 0 to 1, drawn for each call, so that
 * callers rejected together don't return together.
 */
uint64_t admission_retry_after_us(uint64_t patience_us, double jitter);

/* Retries of callers that were rejected because a server's rate was used up. */
struct admission_retry_schedule {
	uint64_t next_us; /* time of the latest retry */
};

/*
 * The same for a caller that waits for a rate of per_s requests per second:
 * retries are spaced at that rate. If the rate is taken for longer than the
 * caller waits, it returns as late as it can.
 */
uint64_t admission_schedule_retry_us(struct admission_retry_schedule *schedule,
				     double per_s, uint64_t patience_us,
				     double jitter, uint64_t now_us);

/* The same for callers for which nothing is free for drain_us from now. */
uint64_t admission_schedule_return_us(struct admission_retry_schedule *schedule,
				      uint64_t drain_us, double per_s,
				      uint64_t patience_us, double jitter,
				      uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
