/*
 * restore_watch - a store that comes back from a copy of its rows, and a judge
 * of what nodes do then
 *
 * A plan is KEY=VALUE,...; times are in milliseconds:
 *
 *     age      of the copy when the store goes away (3000)
 *     lost     others' changes since the copy (60)
 *     away     until it is back (2500)
 *     again    from then until operator and servers write theirs again (300);
 *              never: not at all
 *     changes  from then until the next changes; 0: before any node calls
 *              (3000)
 *     passes   others' changes as it comes back: the counter's lead (0)
 *     times    that it goes away and comes back from the copy (1)
 *     late     from the return until every second node reaches it (0)
 *
 * After the copy was made the operator adds a route and a server says that it
 * leaves, and once more after the last return. The judge goes by
 * callers that stay on each node's connections: none of their requests may
 * reach a leaving server that was sent later than DRAIN_MS after its word, and
 * they must be served. Routes are judged by route_watch.
 */
#ifndef EMULATOR_RESTORE_WATCH_H
#define EMULATOR_RESTORE_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "standins/app_stand.h"
#include "standins/store_stand.h"

struct restore_watch;

/* What the world does at the watch's word. */
struct restore_events {
	void (*add_route)(void *context);
	/* The server's row says that it leaves, from now on. */
	void (*leave)(void *context, unsigned server);
	/* The operator's document and rows of leaving servers, as they were. */
	void (*write_again)(void *context);
	void (*go_away)(void *context, bool away);
	/* The node doesn't reach the store, or does again. */
	void (*cut_node)(void *context, const char *address, bool cut);
	/* A node runs and answers callers there. */
	void (*node_up)(void *context, const char *name,
			const struct endpoint *front);
};

/* NULL for a bad plan. */
struct restore_watch *
restore_watch_new(uv_loop_t *loop, struct store_stand *store, const char *plan,
		  const struct restore_events *events, void *context);

/* Callers' path for a service. */
void restore_watch_service(struct restore_watch *watch, const char *name,
			   bool once);

/* A server of the service whose servers leave. */
void restore_watch_add(struct restore_watch *watch, struct app_stand *stand);

/* The nodes have written their rows: callers come, the plan runs. */
void restore_watch_begin(struct restore_watch *watch);

/* The node is stopped, and forgets what servers said before. */
void restore_watch_down(struct restore_watch *watch, const char *node);

/* Callers send nothing more. */
void restore_watch_end(struct restore_watch *watch);

/* Print what came; whether a bound broke. */
bool restore_watch_report(const struct restore_watch *watch);

#endif
