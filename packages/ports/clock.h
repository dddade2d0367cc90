/*
 * clock - the time that decisions are made on
 *
 * Microseconds that only grow and also count while the machine is suspended,
 * so that a paused lease holder sees its lease lapse. Tests pass a clock that
 * they pause and advance.
 */
#ifndef PORTS_CLOCK_H
#define PORTS_CLOCK_H

#include <stdint.h>

struct clock;

struct clock_vtable {
	uint64_t (*now_us)(const struct clock *clock);
};

struct clock {
	const struct clock_vtable *vtable;
};

static inline uint64_t clock_now_us(const struct clock *clock)
{
	return clock->vtable->now_us(clock);
}

#endif
