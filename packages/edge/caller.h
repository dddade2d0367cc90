/*
 * caller - an incoming HTTP/1.1 connection
 *
 * Requests are read whole, one after another. On the front listener each
 * becomes an exchange; on the others a node answers itself (edge/local). A
 * caller that leaves cancels its exchange at once. An answer that ends the
 * connection is followed by an orderly close, so that bytes still on their way
 * don't destroy it.
 */
#ifndef EDGE_CALLER_H
#define EDGE_CALLER_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

enum listener_kind {
	LISTENER_FRONT,
	LISTENER_READY,
	LISTENER_LOOKUP,
	LISTENER_OPERATORS,
	LISTENER_PEERS,
};

struct listener {
	uv_tcp_t tcp;
	struct edge *edge;
	enum listener_kind kind;
	bool open;
};

/* Listen; RESULT_SYSTEM on failure. */
bool listener_open(struct listener *listener, struct edge *edge,
		   enum listener_kind kind, const struct endpoint *at,
		   GError **error);
void listener_close(struct listener *listener);

/* Close connections that were idle or slow for too long; call it often. */
void callers_sweep(struct edge *edge);

/* End, in order, the connections that no request is on. */
void callers_close_idle(struct edge *edge);

/*
 * Whether a request is in flight or part of an answer to one isn't out yet. A
 * process that ends before cuts the answer off.
 */
bool callers_are_waiting(const struct edge *edge);

/*
 * Whether requests that came while the process stood still may lie unread, on
 * connections that seem idle or aren't accepted yet.
 */
bool callers_may_have_unread(const struct edge *edge);

/* Close all connections at once; what is in flight is cancelled. */
void callers_close_all(struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
