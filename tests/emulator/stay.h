/*
 * stay - callers that stay on each node's connections
 *
 * At each node that has written its row, a few callers of each service send one
 * request after the other over a connection that they keep, and never look up
 * another node. Not thread-safe.
 */
#ifndef EMULATOR_STAY_H
#define EMULATOR_STAY_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "core/endpoint.h"
#include "edge/message.h"
#include "standins/store_stand.h"

struct stay;

struct stay_node {
	char *name;
	struct endpoint front;
};

/* A request of such a caller; all borrowed. */
struct stay_request {
	const char *id;
	const struct stay_node *node;
	uint64_t sent_ms; /* uv_now() */
};

struct stay_events {
	void (*sent)(void *context, const struct stay_request *request);
	/* answer: NULL if there was none. */
	void (*ended)(void *context, const struct stay_request *request,
		      const struct message *answer);
};

/* Requests' ids begin with the prefix. Either event may be NULL. */
struct stay *stay_new(uv_loop_t *loop, struct store_stand *rows,
		      const char *prefix, const struct stay_events *events,
		      void *context);

/* Callers' path for a service: they send METHOD /PATH/x. */
void stay_add_service(struct stay *stay, const char *name, bool once);

/* Callers come to the nodes that have written their rows by now. */
void stay_begin(struct stay *stay);

/* Callers send nothing more. */
void stay_end(struct stay *stay);

/* Of struct stay_node, in the order of their names; empty before the begin. */
const GPtrArray *stay_nodes(const struct stay *stay);

#endif
