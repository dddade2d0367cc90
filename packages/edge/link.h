/*
 * link - an outgoing HTTP/1.1 connection on the event loop
 *
 * One request at a time. The owner embeds the link and hears of it through its
 * vtable; it sets time-outs itself. After link_close() no event comes but
 * released, where the owner frees its memory.
 */
#ifndef EDGE_LINK_H
#define EDGE_LINK_H

#include <stdbool.h>
#include <uv.h>

#include "core/endpoint.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct link;

/* Why a connection ended: the answer's body is over the limit. */
#define LINK_TOO_LARGE "answer too large"

struct link_vtable {
	void (*opened)(struct link *link);
	/* Bytes of the answer that is due have come; may be NULL. */
	void (*progressed)(struct link *link);
	/*
	 * A whole answer, which the owner frees. Where it is another request's,
	 * the owner sets awaiting to go on reading.
	 */
	void (*answered)(struct link *link, struct message *answer);
	/* The connection failed, ended, or brought what is no answer. */
	void (*ended)(struct link *link, const char *cause);
	void (*released)(struct link *link);
};

struct link {
	const struct link_vtable *vtable;
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct message_reader reader;
	bool open; /* connected */
	bool closing;
	bool awaiting; /* an answer is due */
	bool writing; /* part of a request isn't out yet */
	bool extra_bytes; /* bytes came after the answer: don't use it again */
	uint64_t got_bytes; /* of the answer that is due, so far */
};

/* Start to connect; ended() tells of a failure. 0 or a libuv error. */
int link_open(struct link *link, const struct link_vtable *vtable,
	      uv_loop_t *loop, const struct endpoint *to,
	      const struct message_limits *limits);

/* Send a request, taking its text over. */
void link_send(struct link *link, GString *request, bool is_head);

void link_close(struct link *link);

/* Cut the connection so that the other side sees it at once. */
void link_reset(struct link *link);

#ifdef __cplusplus
}
#endif

#endif
