/*
 * route_watch - whether routes that the operator added are served by each node
 *
 * It calls the newest routes at every node that it is told of, each over a
 * connection that is kept until the node ends it, and judges the answers:
 *
 * - denied: a status of 300 to 499 but 429 for a call that was sent later than
 *   ROUTE_WITHIN_US after the store acknowledged its route. That is final to a
 *   caller, so it holds for every node, also one that was cut off or suspended.
 * - unserved: a node that runs and reaches the store turns a call away because
 *   it doesn't know the route, doesn't answer at all, or hasn't served such a
 *   route at the end, later than that time and the one that its link needs.
 */
#ifndef EMULATOR_ROUTE_WATCH_H
#define EMULATOR_ROUTE_WATCH_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "core/endpoint.h"

/* The nodes' registry.config_within, which play.sh leaves at its default. */
#define ROUTE_WITHIN_US (2500 * US_PER_MS)

/* A node has as long to recover once it runs, or reaches the store again. */
#define ROUTE_RECOVER_US (4 * US_PER_S)

struct route_watch;

struct route_watch *route_watch_new(uv_loop_t *loop);

/*
 * The store has acknowledged a document of so many bytes with routes of the
 * prefixes "/NAME-0/" to "/NAME-(count - 1)/", and all earlier ones.
 */
void route_watch_added(struct route_watch *watch, const char *name,
		       uint32_t count, uint64_t document_bytes);

/* The node's link to the store brings so many bytes a second; 0: any. */
void route_watch_link(struct route_watch *watch, const char *node,
		      uint64_t bytes_per_s);

/* A node runs and answers callers there, until told that it won't. */
void route_watch_up(struct route_watch *watch, const char *node,
		    const struct endpoint *front);
void route_watch_down(struct route_watch *watch, const char *node);

/* The nodes don't reach the store, or do again. */
void route_watch_cut(struct route_watch *watch, bool cut);

/* No more calls. */
void route_watch_end(struct route_watch *watch);

/* Print what was seen; whether a check failed. */
bool route_watch_report(const struct route_watch *watch);

#endif
