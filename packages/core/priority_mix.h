/*
 * priority_mix - how urgent a service's recent requests were
 *
 * Counts requests by priority, each for about a second. Pure; not thread-safe.
 */
#ifndef CORE_PRIORITY_MIX_H
#define CORE_PRIORITY_MIX_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Priorities that are told apart; 0 is the highest, lower ones are merged. */
#define PRIORITY_MIX_LEVELS 8

struct priority_mix {
	double recent[PRIORITY_MIX_LEVELS]; /* requests, decaying */
	uint64_t decayed_us;
};

void priority_mix_record(struct priority_mix *mix, uint32_t priority,
			 uint64_t now_us);

/* Share of recent requests with a higher priority, 0 to 1. */
double priority_mix_higher(const struct priority_mix *mix, uint32_t priority);

#ifdef __cplusplus
}
#endif

#endif
