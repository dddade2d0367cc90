/*
 * clock_system - the machine's clock behind the clock port
 *
 * Counts time while the machine is suspended (CLOCK_BOOTTIME), so that a lease
 * lapses on a VM that was paused.
 */
#ifndef ADAPTERS_CLOCK_SYSTEM_H
#define ADAPTERS_CLOCK_SYSTEM_H

#include "ports/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The one instance; it needs no release. */
const struct clock *clock_system(void);

#ifdef __cplusplus
}
#endif

#endif
