#include "adapters/clock_system.h"

#include <time.h>

static uint64_t now_us(const struct clock *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static const struct clock_vtable system_vtable = { now_us };
static const struct clock system_instance = { &system_vtable };

const struct clock *clock_system(void)
{
	return &system_instance;
}
