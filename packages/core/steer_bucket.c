#include "core/steer_bucket.h"

#include <glib.h>

#define MICRO 1000000ull

#define BURST_DIVISOR 10

static uint64_t bucket_burst(uint32_t per_s)
{
	return MAX(per_s / BURST_DIVISOR, 1) * MICRO;
}

bool steer_bucket_has(struct steer_bucket *bucket, uint32_t per_s,
		      uint64_t now_us)
{
	uint64_t passed_us = 0;

	if (now_us > bucket->refilled_us)
		passed_us = MIN(now_us - bucket->refilled_us, MICRO);
	bucket->tokens_micro = MIN(bucket->tokens_micro + passed_us * per_s,
				   bucket_burst(per_s));
	bucket->refilled_us = MAX(bucket->refilled_us, now_us);
	return bucket->tokens_micro >= MICRO;
}

void steer_bucket_take(struct steer_bucket *bucket)
{
	bucket->tokens_micro -= MIN(bucket->tokens_micro, MICRO);
}

void steer_bucket_fill(struct steer_bucket *bucket, uint32_t per_s,
		       uint64_t now_us)
{
	bucket->tokens_micro = bucket_burst(per_s);
	bucket->refilled_us = now_us;
}

uint64_t steer_bucket_wait_us(const struct steer_bucket *bucket, uint32_t per_s)
{
	if (bucket->tokens_micro >= MICRO)
		return 0;
	return (MICRO - bucket->tokens_micro) / per_s + 1;
}
