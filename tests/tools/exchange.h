/*
 * exchange - one HTTP request to a node and what came back
 */
#ifndef TOOLS_EXCHANGE_H
#define TOOLS_EXCHANGE_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"

#ifdef __cplusplus
extern "C" {
#endif

#define EXCHANGE_NO_RESULT (-1)

enum exchange_fate {
	EXCHANGE_WHOLE, /* a whole answer is there */
	EXCHANGE_NOT_SENT, /* no byte of the request went out */
	EXCHANGE_CUT, /* the connection ended after a byte went out */
	EXCHANGE_TIMED_OUT, /* silence after a byte went out */
};

struct exchange {
	enum exchange_fate fate;
	long status;
	int result; /* X-Lilac-Result, or EXCHANGE_NO_RESULT */
	uint64_t retry_after_us; /* 0: none named */
	uint32_t connections; /* that the request went out on */
	bool shed; /* a backend server's own "not run" */
	char node[NAME_SIZE];
	char place[NAME_SIZE];
	char backend[NAME_SIZE];
	GString *body;
};

/* What to send; by default GET, or POST where there is a body. */
struct exchange_request {
	const char *method; /* NULL: the default */
	const char *url;
	const struct curl_slist *headers;
	const char *body;
	uint64_t timeout_us;
	bool fresh_connection; /* libcurl must not resend it by itself */
};

void exchange_init(struct exchange *exchange);
void exchange_release(struct exchange *exchange);

void exchange_run(struct exchange *exchange, CURL *curl,
		  const struct exchange_request *request);

#ifdef __cplusplus
}
#endif

#endif
