/*
 * stop_plan - the times of a node's planned stop
 *
 * A stop has three moments, in microseconds of the caller's clock. Until
 * closes_us the node accepts connections, as callers may still have its
 * address. At ends_us each request has its answer; at exits_us the process
 * exits, although answers may not have been written completely. A request whose
 * deadline is later than ends_us could be cut while a backend server runs it,
 * so it isn't sent; see stop_plan_allows().
 *
 * The plan stays as it was made: settings that change during a stop don't apply
 * to it.
 */
#ifndef CORE_STOP_PLAN_H
#define CORE_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct stop_plan {
	bool begun;
	uint64_t began_us;
	uint64_t closes_us;
	uint64_t ends_us;
	uint64_t exits_us;
};

/*
 * signalled_us: the earliest time at which the stop may have been ordered.
 * lookup_keep_us: how long a caller may use a lookup. max_stop_us: the process
 * is killed that long after the order. Has no effect on a stop that has begun.
 */
void stop_plan_begin(struct stop_plan *plan, uint64_t signalled_us,
		     uint64_t lookup_keep_us, uint64_t max_stop_us);

/*
 * Whether a request whose caller must have its answer by due_us may be sent.
 * True if no stop has begun.
 */
bool stop_plan_allows(const struct stop_plan *plan, uint64_t due_us);

#ifdef __cplusplus
}
#endif

#endif
