/*
 * http_stand - an HTTP server on an event loop, for stand-ins
 *
 * Each request becomes a call, which the stand-in answers now or later, once.
 */
#ifndef STANDINS_HTTP_STAND_H
#define STANDINS_HTTP_STAND_H

#include <stdbool.h>
#include <uv.h>

#include "core/endpoint.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct http_stand;
struct stand_conn;

struct http_call {
	struct message *request;
	struct stand_conn *conn; /* NULL once the client has left */
	void *data; /* the stand-in's */
};

struct http_stand_events {
	void (*called)(void *context, struct http_call *call);
	/* The client left before its answer; the call goes on to be answered.
	 */
	void (*left)(void *context, struct http_call *call);
};

/* Listen at an address, port 0 for any; NULL on failure. */
struct http_stand *http_stand_open(uv_loop_t *loop, const struct endpoint *at,
				   const struct http_stand_events *events,
				   void *context);
const struct endpoint *http_stand_at(const struct http_stand *stand);

/* Reset all connections; new ones are accepted. */
void http_stand_reset_connections(struct http_stand *stand);

/* No new connections; those that are open are reset if asked. */
void http_stand_close(struct http_stand *stand, bool reset);

/* Silent: what comes in is neither read nor answered, until it is set back. */
void http_stand_silence(struct http_stand *stand, bool silent);
uint32_t http_stand_connections(const struct http_stand *stand);

/* The client's address, without the port; empty once it has left. */
void http_call_address(const struct http_call *call, char *address,
		       size_t size);

/* Answer; headers are lines with their ends. The call is freed. */
void http_call_answer(struct http_call *call, unsigned status,
		      const char *headers, const char *body, size_t length);

/* Write bytes as they are. */
void http_call_write(struct http_call *call, const char *bytes, size_t length);

/* End the call without more; end the connection in order, or reset it. */
void http_call_end(struct http_call *call);
void http_call_close(struct http_call *call, bool reset);

#ifdef __cplusplus
}
#endif

#endif
