/*
 * clock - interface to the monotonic clock that all deadlines are based on
 *
 * Microseconds since an arbitrary start. The clock also runs while the machine
 * is suspended, so that a lease holder that was paused sees its lease expired.
 * Tests implement a clock that they pause and advance.
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
