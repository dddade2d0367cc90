/*
 * reach_watch - finds out whether this node reaches backend servers at all
 *
 * Requests report which connections opened and failed. Where they leave a doubt
 * it opens connections to servers to find out, and while the node is
 * partitioned, to see when it is back. Peers and look-ups then learn the
 * change. See core/reach.h. Not thread-safe.
 *
 * All functions may be called without a watch (edge->reach is NULL); the node
 * then never counts as partitioned.
 */
#ifndef EDGE_REACH_WATCH_H
#define EDGE_REACH_WATCH_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct reach_watch;

/* Create the watch, and set edge->reach to it. */
struct reach_watch *reach_watch_open(struct edge *edge);

/*
 * Drop all probes and close the timer. The caller frees the memory, by g_free()
 * once the event loop has run the timer's close.
 */
void reach_watch_close(struct reach_watch *watch);

/* A connection to the server opened, or couldn't be opened. */
void reach_watch_accepted(struct edge *edge, const struct backend *backend);
void reach_watch_failed(struct edge *edge, const struct backend *backend);

/* An answer of a server arrived. */
void reach_watch_answered(struct edge *edge);

/* A request sent at sent_us got no answer in time. */
void reach_watch_timed_out(struct edge *edge, uint64_t sent_us);

/* Whether a node reached any server since a moment. */
enum reach_verdict {
	REACH_YES,
	REACH_NO, /* it is partitioned */
	REACH_UNKNOWN, /* probes will tell; crash_watch_check() is called */
};
enum reach_verdict reach_watch_since(struct edge *edge, uint64_t since_us);

/* Whether this node can't open connections to any server. */
bool reach_watch_is_partitioned(const struct edge *edge);

/* Whether connections that are open may be used; true unless partitioned. */
bool reach_watch_may_use_kept(const struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
