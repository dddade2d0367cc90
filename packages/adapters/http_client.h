/*
 * http_client - one HTTP exchange with a node or a backend server
 *
 * Calls block until the answer is whole, the time is over or the connection
 * broke. Connections are kept and reused, but one whose answer is outstanding
 * never is. Thread-safe: any number of threads may call at the same time.
 *
 * A client that resends by itself can run a request twice: libcurl does so on
 * a reused connection that the far side closed. Whoever may not repeat a
 * request sets fresh_connection, where libcurl has nothing to resend on.
 */
#ifndef ADAPTERS_HTTP_CLIENT_H
#define ADAPTERS_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define HTTP_MAX_HEADERS 16

struct http_header {
	const char *name;
	const char *value;
};

struct http_request {
	const char *method;
	const char *address; /* IP number */
	uint16_t port;
	const char *path; /* with the query */
	const char *body; /* NULL: none */
	size_t body_bytes;
	struct http_header headers[HTTP_MAX_HEADERS];
	uint32_t header_count;
	uint64_t timeout_us; /* for the whole exchange */
	uint64_t connect_timeout_us; /* 0: timeout_us */
	size_t answer_max_bytes;
	bool fresh_connection; /* and closed after: see above */
	/*
	 * On a reused connection that said nothing for silence_us (0: never),
	 * may_repeat(context) is asked once; if true the connection is closed
	 * and the request sent again on a new one.
	 */
	uint64_t silence_us;
	bool (*may_repeat)(void *context);
	void *context;
};

enum http_outcome {
	HTTP_ANSWERED, /* whole; any status */
	HTTP_CONNECT_FAILED, /* no byte of the request went out */
	HTTP_BROKEN, /* failed after a byte may have gone out */
	HTTP_TIMED_OUT, /* as broken, but by the time */
	HTTP_TOO_LARGE, /* the answer passed answer_max_bytes */
};

struct http_answer {
	enum http_outcome outcome;
	int status;
	char *body; /* NUL-terminated; may hold others */
	size_t body_bytes;
	char *content_type; /* NULL: none */
	GPtrArray *header_lines; /* "Name: value" */
	bool repeated; /* sent more than once; the last one was judged */
};

struct http_client;

struct http_client *http_client_new(void);
void http_client_free(struct http_client *client);

void http_request_add_header(struct http_request *request, const char *name,
			     const char *value);

/* Always fills in answer, which http_answer_release() ends. */
void http_client_exchange(struct http_client *client,
			  const struct http_request *request,
			  struct http_answer *answer);

/* Value of the header of that name (any case), or NULL. */
const char *http_answer_header(const struct http_answer *answer,
			       const char *name);

void http_answer_release(struct http_answer *answer);

const char *http_outcome_name(enum http_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
