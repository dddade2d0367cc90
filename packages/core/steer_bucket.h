/*
 * steer_bucket - a token bucket: so many requests a second, with a burst
 *
 * The burst is a tenth of a second's requests and at least one. The rate is
 * passed in with each call, since it may change, and is above 0. Pure; not
 * thread-safe. Times are microseconds of the clock port.
 */
#ifndef CORE_STEER_BUCKET_H
#define CORE_STEER_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct steer_bucket {
	uint64_t tokens_micro; /* millionths of a request */
	uint64_t refilled_us;
};

/* Fill the bucket with its whole burst. */
void steer_bucket_fill(struct steer_bucket *bucket, uint32_t per_s,
		       uint64_t now_us);

/* Add what came in since; whether the bucket holds a request then. */
bool steer_bucket_has(struct steer_bucket *bucket, uint32_t per_s,
		      uint64_t now_us);

/* Take one request out; nothing is owed where the bucket holds less. */
void steer_bucket_take(struct steer_bucket *bucket);

/* Time until the bucket holds a request, as it stood when last asked. */
uint64_t steer_bucket_wait_us(const struct steer_bucket *bucket,
			      uint32_t per_s);

#ifdef __cplusplus
}
#endif

#endif
