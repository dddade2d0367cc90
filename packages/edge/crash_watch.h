/*
 * crash_watch - finds out whether a backend server crashed on a request
 *
 * A connection that ends without an answer was reset, or the network failed, or
 * the server crashed. Only after a crash do all connections to the server end
 * and are new ones refused, which is checked a moment later. A node that has
 * lost all servers sees the same, so it records no crashes. A crash is
 * recorded in the suspect table, sent to the other nodes and, if a quarantine
 * begins, written to the platform's store. Not thread-safe.
 */
#ifndef EDGE_CRASH_WATCH_H
#define EDGE_CRASH_WATCH_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct crash_watch;

/* Most checks are decided within this time. */
#define CRASH_WATCH_CHECK_US (4 * US_PER_MS)

/* Create the watch, and set edge->crashes to it. */
struct crash_watch *crash_watch_open(struct edge *edge);

/*
 * Drop all checks and close the timer. The caller frees the memory, by g_free()
 * once the event loop has run the timer's close.
 */
void crash_watch_close(struct crash_watch *watch);

/*
 * Check a request whose connection to the server, where it was sent at sent_us,
 * ended without an answer. text describes the request to operators. At most 128
 * requests are checked at a time; others are ignored.
 */
void crash_watch_record_broken(struct crash_watch *watch,
			       struct backend *backend, uint64_t fingerprint,
			       uint64_t sent_us, const char *text);

/* Decide the checks that can be decided now. */
void crash_watch_check(struct crash_watch *watch);

/* Whether any check isn't decided yet. */
bool crash_watch_is_busy(const struct crash_watch *watch);

/*
 * Whether a send of this request should wait for a check of it: until the
 * server is probed and the result is known, for 150 ms at most, or for
 * CRASH_WATCH_CHECK_US if other connections to the server are open.
 */
bool crash_watch_is_checking(const struct crash_watch *watch,
			     uint64_t fingerprint);

#ifdef __cplusplus
}
#endif

#endif
