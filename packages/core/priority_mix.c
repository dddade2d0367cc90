#include "core/priority_mix.h"

#include <math.h>

#include <glib.h>

#include "core/duration.h"

/* Time in which a request's weight falls by the factor e. */
#define MEMORY_US (1 * US_PER_S)

static uint32_t level_of(uint32_t priority)
{
	return MIN(priority, PRIORITY_MIX_LEVELS - 1);
}

void priority_mix_record(struct priority_mix *mix, uint32_t priority,
			 uint64_t now_us)
{
	double decay = exp(-(double)(now_us - mix->decayed_us) / MEMORY_US);
	uint32_t i;

	for (i = 0; i < PRIORITY_MIX_LEVELS; i++)
		mix->recent[i] *= decay;
	mix->decayed_us = now_us;
	mix->recent[level_of(priority)] += 1;
}

double priority_mix_higher(const struct priority_mix *mix, uint32_t priority)
{
	uint32_t level = level_of(priority);
	double higher = 0;
	double all = 0;
	uint32_t i;

	for (i = 0; i < PRIORITY_MIX_LEVELS; i++) {
		all += mix->recent[i];
		if (i < level)
			higher += mix->recent[i];
	}
	return all > 0 ? higher / all : 0;
}
