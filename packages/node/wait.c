#include "node/wait.h"

#define MICRO 1000000
#define NANO 1000000000

void wait_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attributes);
	pthread_condattr_destroy(&attributes);
}

struct timespec wait_until_us(uint64_t us)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += (time_t)(us / MICRO);
	until.tv_nsec += (long)(us % MICRO) * 1000;
	if (until.tv_nsec >= NANO) {
		until.tv_sec++;
		until.tv_nsec -= NANO;
	}
	return until;
}

bool wait_cond(pthread_cond_t *cond, pthread_mutex_t *lock,
	       struct timespec until)
{
	return !pthread_cond_timedwait(cond, lock, &until);
}

void wait_sleep_us(uint64_t us)
{
	struct timespec time = { (time_t)(us / MICRO),
				 (long)(us % MICRO) * 1000 };

	nanosleep(&time, NULL);
}
