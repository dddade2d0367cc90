/*
 * steer_bucket - token bucket that limits requests a second
 *
 * The burst is the requests of a tenth of a second, at least one. The rate may
 * change and so is passed to each call; it is above 0. Not thread-safe. Times
 * are microseconds of the clock port.
 */
#ifndef CORE_STEER_BUCKET_H
#define CORE_STEER_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct steer_bucket {
	uint64_t tokens_micro; /* in millionths; a request costs one token */
	uint64_t refilled_us;
};

/* Fill the bucket up to the burst. */
void steer_bucket_fill(struct steer_bucket *bucket, uint32_t per_s,
		       uint64_t now_us);

/* Refill up to now_us; whether a token is available then. */
bool steer_bucket_has(struct steer_bucket *bucket, uint32_t per_s,
		      uint64_t now_us);

/* Take a token, or what is left if that is less. */
void steer_bucket_take(struct steer_bucket *bucket);

/* Time from the last refill until a token is available. */
uint64_t steer_bucket_wait_us(const struct steer_bucket *bucket,
			      uint32_t per_s);

#ifdef __cplusplus
}
#endif

#endif
