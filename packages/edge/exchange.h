/*
 * exchange - one request of a caller, from its arrival to its only answer
 *
 * The request is sent to a backend server. It is retried at another one only
 * if the first certainly did not run it or the request is idempotent. An
 * exchange calls the sink's finish exactly once, unless it is cancelled. The
 * caller gets status 429 or 503 only if the request has not run and never
 * will.
 */
#ifndef EDGE_EXCHANGE_H
#define EDGE_EXCHANGE_H

#include <glib.h>
#include <stdbool.h>

#include "edge/edge.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct exchange;
struct exchange_sink;

/* The answer to the caller; its connection adds the framing. */
struct exchange_answer {
	uint16_t status;
	const GString *headers; /* lines, each with CRLF */
	GByteArray *body; /* the sink may keep a reference to it */
	/*
	 * The backend server sent no length, so a truncated body can't be
	 * detected. The answer must be sent without a length, too.
	 */
	bool until_close;
};

struct exchange_sink_vtable {
	/* Receives the answer, which is valid during the call only. */
	void (*finish)(struct exchange_sink *sink,
		       const struct exchange_answer *answer);
	/* Writes the caller's address as text, for logs. */
	void (*address)(struct exchange_sink *sink, char *text, size_t size);
};

struct exchange_sink {
	const struct exchange_sink_vtable *vtable;
};

/*
 * Starts an exchange, which takes ownership of the request. Returns NULL if the
 * sink got the answer during the call. is_hop: the request was handed over by
 * another node; it is never handed on, and answers get the headers of a hop.
 */
struct exchange *exchange_start(struct edge *edge, struct exchange_sink *sink,
				struct message *request, bool is_hop);

/*
 * Frees the exchange of a caller that left: closes the connection to the
 * backend server and calls no finish.
 */
void exchange_cancel(struct exchange *exchange);

/*
 * Answers the caller as this node's stop ends: 504 if the request is at a
 * backend server or a peer, else 503, or what an earlier send led to.
 */
void exchange_end_by_stop(struct exchange *exchange);

#ifdef __cplusplus
}
#endif

#endif
