/*
 * wait - waiting for a time or a wake-up, on the monotonic clock
 */
#ifndef NODE_WAIT_H
#define NODE_WAIT_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A condition variable for wait_cond(); pthread_cond_destroy() ends it. */
void wait_cond_init(pthread_cond_t *cond);

/* The moment this many microseconds from now. */
struct timespec wait_until_us(uint64_t us);

/* Wait for a wake-up until the moment; false once it has come. */
bool wait_cond(pthread_cond_t *cond, pthread_mutex_t *lock,
	       struct timespec until);

/* Sleep for the time. */
void wait_sleep_us(uint64_t us);

#endif
