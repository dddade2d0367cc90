/*
 * link - an outgoing HTTP/1.1 connection on the event loop
 *
 * One request at a time. The owner embeds the link, gets its events by the
 * vtable and sets timeouts itself. After link_close() the only event is
 * released, where the owner frees the memory.
 */
#ifndef EDGE_LINK_H
#define EDGE_LINK_H

#include <stdbool.h>
#include <uv.h>

#include "core/endpoint.h"
#include "edge/byte_budget.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct link;

/* Cause of an end: the answer's body is over the limit. */
#define LINK_TOO_LARGE "answer too large"

/* Cause of an end: others wait for the bytes that the answer holds. */
#define LINK_DROPPED "no bytes left for the answer"

struct link_vtable {
	void (*opened)(struct link *link);
	/* Bytes of the awaited answer were received. May be NULL. */
	void (*progressed)(struct link *link);
	/*
	 * A complete answer, which the owner frees. Where it belongs to another
	 * request, the owner sets awaiting to read on.
	 */
	void (*answered)(struct link *link, struct message *answer);
	/* The connection failed, was closed, or received an invalid answer. */
	void (*ended)(struct link *link, const char *cause);
	void (*released)(struct link *link);
};

struct link {
	const struct link_vtable *vtable;
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct message_reader reader;
	struct byte_budget *budget; /* of answers; NULL: not counted. Set before
				       link_open() */
	struct byte_account account;
	bool paused; /* reading waits for the budget */
	bool dropped; /* ended, with the cause LINK_DROPPED */
	bool open; /* connected */
	bool closing;
	bool awaiting; /* a request was sent and its answer isn't complete */
	bool writing; /* a request isn't written completely */
	bool resets; /* closing the socket resets the connection */
	bool invalid; /* ended, as the bytes received were no valid answer */
	bool extra_bytes; /* bytes followed the answer: don't reuse the
			     connection */
	uint64_t request_bytes; /* of the latest request */
	uint64_t got_bytes; /* received of the awaited answer */
};

/*
 * Starts to connect. Returns 0, or a libuv error if that fails at once; ended()
 * isn't called then. Later failures are reported by ended().
 */
int link_open(struct link *link, const struct link_vtable *vtable,
	      uv_loop_t *loop, const struct endpoint *to,
	      const struct message_limits *limits);

/*
 * Sends a request and takes ownership of its text. is_head: the method is HEAD.
 * If the process ends before the answer, the kernel resets the connection.
 */
void link_send(struct link *link, GString *request, bool is_head);

/* The same; the body follows the text, and must not change until written. */
void link_send_with_body(struct link *link, GString *request, GByteArray *body,
			 bool is_head);

/*
 * The awaited answer, of which the headers are complete and the body may not
 * be; NULL before that. Valid until the link is released.
 */
const struct message *link_partial_answer(const struct link *link);

/* What the other side hasn't got of a request, in bytes. */
struct link_backlog {
	uint64_t queued_bytes; /* not written to the socket */
	uint64_t unacked_bytes; /* written, and not acknowledged */
};

/* Fields are 0 once the connection has failed. */
void link_get_backlog(const struct link *link, struct link_backlog *backlog);

/* Whether the other side has acknowledged no byte of the latest request. */
bool link_is_unacked(const struct link *link);

/*
 * Closes the connection: with a TCP reset while an answer is awaited. After a
 * close in order the kernel would retransmit the request for minutes, and the
 * other side would run it long after it was given up.
 */
void link_close(struct link *link);

#ifdef __cplusplus
}
#endif

#endif
