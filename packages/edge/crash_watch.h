/*
 * crash_watch - whether a backend server ended where a request broke off
 *
 * A connection that ends without an answer was reset, or cut, or its server has
 * ended. Only in the last case do all connections to the server end, and new
 * ones are refused. What is left to tell these apart a moment later goes into
 * the table of suspects, to the other nodes, and, where a quarantine begins, to
 * the platform's store. Not thread-safe.
 */
#ifndef EDGE_CRASH_WATCH_H
#define EDGE_CRASH_WATCH_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct crash_watch;

/* By when it is known of most servers whether they have ended. */
#define CRASH_WATCH_CHECK_US (4 * US_PER_MS)

struct crash_watch *crash_watch_open(struct edge *edge);
/* The memory may be freed once the loop has turned. */
void crash_watch_close(struct crash_watch *watch);

/*
 * A request that was sent at sent_us broke off at the server. text says which
 * request it is.
 */
void crash_watch_record_broken(struct crash_watch *watch,
			       struct backend *backend, uint64_t fingerprint,
			       uint64_t sent_us, const char *text);

/* Whether any request that broke off isn't judged yet. */
bool crash_watch_is_busy(const struct crash_watch *watch);

/* Whether it broke off just now, and isn't judged yet. */
bool crash_watch_is_checking(const struct crash_watch *watch,
			     uint64_t fingerprint);

#ifdef __cplusplus
}
#endif

#endif
