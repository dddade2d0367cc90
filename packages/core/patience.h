/*
 * patience - how long callers of a route wait, and which of them come back
 *
 * A request states for how long its caller waits from now on. A caller that
 * comes back after a rejection states less than callers of the route usually
 * do, by the time that has passed since its first attempt. Pure; not
 * thread-safe.
 */
#ifndef CORE_PATIENCE_H
#define CORE_PATIENCE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct patience {
	double usual_us; /* that first attempts state; 0: unknown */
	uint32_t noted; /* requests, counted up to a few */
};

/* Notes the wait that a request states; 0, for none, is ignored. */
void patience_note(struct patience *patience, uint64_t stated_us);

/*
 * Estimated time since the caller's first attempt; 0 if this is the first, or
 * if it states no wait.
 */
uint64_t patience_spent_us(const struct patience *patience, uint64_t stated_us);

#ifdef __cplusplus
}
#endif

#endif
