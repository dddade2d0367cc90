/*
 * notice_watch - backend servers that say that they leave, or ask for rest, and
 * a judge of what they get then
 *
 * A plan is KIND:COUNT:VALUE[:MORE]@AT_S:FOR_S. COUNT servers of the first
 * service, "half" or "all", do so for FOR_S:
 *
 *     leaving:COUNT:ONE_IN          one in so many answers says it
 *     leaving:COUNT:ONE_IN:errors   and all are errors
 *     rest:COUNT:SECONDS            all requests are turned away with this rest
 *     rest:COUNT:SECONDS:ONE_IN     one in so many is
 *
 * The judge goes by callers that stay on each node's connections, and tells
 * nodes apart by their address: a request that is sent later than DRAIN_MS
 * after a node has passed on an answer that says "leaving" must not reach that
 * server from that node; at most REST_MOST requests may come from a node within
 * a rest, from REST_SETTLE_MS after it was asked for. Callers must be served by
 * the other servers, or refused at once where there are none.
 */
#ifndef EMULATOR_NOTICE_WATCH_H
#define EMULATOR_NOTICE_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "standins/app_stand.h"
#include "standins/store_stand.h"

struct notice_watch;

/* NULL for a bad plan. */
struct notice_watch *notice_watch_new(uv_loop_t *loop, struct store_stand *rows,
				      const char *plan, const char *service,
				      bool once);

/* A server of the service. */
void notice_watch_add(struct notice_watch *watch, struct app_stand *stand);

/* The nodes have written their rows: callers come, the plan runs. */
void notice_watch_begin(struct notice_watch *watch);

/* Callers send nothing more. */
void notice_watch_end(struct notice_watch *watch);

/* Print what came; whether a bound broke. */
bool notice_watch_report(const struct notice_watch *watch);

#endif
