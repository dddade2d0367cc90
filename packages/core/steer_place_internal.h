/*
 * steer_place_internal - shared by steer_place.c and steer_place_record.c only
 *
 * Times are microseconds.
 */
#ifndef CORE_STEER_PLACE_INTERNAL_H
#define CORE_STEER_PLACE_INTERNAL_H

#include <glib.h>
#include <stdint.h>

#include "core/steer_place.h"

#define MICRO 1000000ull
#define MILLI 1000u

/* Times from reports and measurements are limited to this. */
#define TIME_MAX_US (60 * MICRO)

/* Size of a window that limits nothing. */
#define WINDOW_UNLIMITED UINT32_MAX

/* to_us - from_us, or 0 if that is negative. */
static inline uint64_t elapsed_us(uint64_t from_us, uint64_t to_us)
{
	return to_us > from_us ? to_us - from_us : 0;
}

static inline uint32_t own_in_flight(const struct steer_place *place)
{
	return place->own_reported + place->own_unreported;
}

static inline void begin_slow_start(struct steer_place *place, uint64_t now_us)
{
	place->slow_start_us = MAX(now_us, 1);
}

/* Learned place latency; without new samples it decays towards the base. */
uint64_t steer_place_latency_us(const struct steer_place *place,
				uint64_t now_us);

#endif
