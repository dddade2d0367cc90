/*
 * fake_platform - stand-in for the platform's table service, object store and
 * list of VMs, in memory
 *
 * The protocol stands in docs/DESIGN.md. Faults are set by POST /control:
 *
 *   "down"         true: connections are closed without an answer
 *   "refuse"       true: answers are 503, and nothing is done
 *   "slow_us"      each answer comes that much later
 *   "lose_answers" so many of the next writes take effect, and their
 *                  connections are closed without an answer
 *   "vms"          the list of VMs from now on
 *   "vms_lag_us"   the list is served as it was that long ago
 *
 * Members that are absent stay as they are. GET /control answers with the
 * faults and with counters: reads, writes, conflicts, lost.
 */
#ifndef STANDINS_FAKE_PLATFORM_H
#define STANDINS_FAKE_PLATFORM_H

#include <glib.h>

#include "standins/standin.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_platform;

struct fake_platform *
fake_platform_open(const struct standin_endpoint *endpoint, uint32_t threads,
		   GError **error);
void fake_platform_close(struct fake_platform *platform);

#ifdef __cplusplus
}
#endif

#endif
