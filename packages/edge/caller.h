/*
 * caller - an incoming HTTP/1.1 connection
 *
 * Requests are read completely, one after another. On the front listener each
 * starts an exchange, as do requests that peers hand over (edge/hops); others
 * are answered by the node (edge/local). A caller that disconnects cancels its
 * exchange at once. After the last answer the connection lingers before it is
 * closed: bytes still arriving would otherwise reset it and lose the answer.
 */
#ifndef EDGE_CALLER_H
#define EDGE_CALLER_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

enum listener_kind {
	LISTENER_FRONT,
	LISTENER_READINESS,
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

/* Starts to listen. Returns false and sets RESULT_SYSTEM on failure. */
bool listener_open(struct listener *listener, struct edge *edge,
		   enum listener_kind kind, const struct endpoint *at,
		   GError **error);
void listener_close(struct listener *listener);

/*
 * Closes connections that were idle or slow for too long. Also detects pauses
 * of the process; call it every 200 ms.
 */
void callers_sweep(struct edge *edge);

/*
 * Closes idle connections of callers, with lingering. Those of peers stay: a
 * request that crosses the close would count as sent there.
 */
void callers_close_idle(struct edge *edge);

/*
 * Whether a request is being read or in flight, or an answer isn't completely
 * written yet. If the process exits earlier, the answer is truncated.
 */
bool callers_are_waiting(const struct edge *edge);

/*
 * Whether a caller hasn't closed its side after the last answer. If the process
 * exits with unread bytes, the kernel resets the connection and drops the
 * answer.
 */
bool callers_are_lingering(const struct edge *edge);

/*
 * Answers all requests that are being read or in flight, as the stop ends.
 * Returns their number.
 */
uint32_t callers_end_requests(struct edge *edge);

/*
 * Whether requests that arrived during a pause of the process may still be
 * unread, on connections that look idle or aren't accepted yet.
 */
bool callers_may_have_unread(const struct edge *edge);

/* Closes all connections at once and cancels their requests. */
void callers_close_all(struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
