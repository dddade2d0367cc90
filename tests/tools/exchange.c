#include "tools/exchange.h"

#include <stdlib.h>
#include <string.h>

#include "core/result.h"
#include "core/wire.h"

#define CONNECT_TIMEOUT_MS 500L

static size_t take_body(char *data, size_t size, size_t count, void *context)
{
	struct exchange *exchange = context;

	g_string_append_len(exchange->body, data, (gssize)(size * count));
	return size * count;
}

/* Value of the header line where it has this name, for g_free(); else NULL. */
static char *value_of(const char *line, size_t bytes, const char *name)
{
	size_t name_bytes = strlen(name);

	if (bytes <= name_bytes || line[name_bytes] != ':' ||
	    g_ascii_strncasecmp(line, name, name_bytes) != 0)
		return NULL;
	return g_strstrip(
		g_strndup(line + name_bytes + 1, bytes - name_bytes - 1));
}

static void take_text(const char *line, size_t bytes, const char *name,
		      char *text)
{
	char *value = value_of(line, bytes, name);

	if (value)
		g_strlcpy(text, value, NAME_SIZE);
	g_free(value);
}

static size_t take_header(char *line, size_t size, size_t count, void *context)
{
	struct exchange *exchange = context;
	size_t bytes = size * count;
	char *value = value_of(line, bytes, WIRE_HEADER_RESULT);

	if (value)
		exchange->result = atoi(value); /* NOLINT(cert-err34-c) */
	g_free(value);
	value = value_of(line, bytes, WIRE_HEADER_RETRY_AFTER_US);
	if (value)
		exchange->retry_after_us = strtoull(value, NULL, 10);
	g_free(value);
	value = value_of(line, bytes, WIRE_HEADER_BACKEND_NOT_RUN);
	if (value)
		exchange->shed = !strcmp(value, "1");
	g_free(value);
	take_text(line, bytes, WIRE_HEADER_NODE, exchange->node);
	take_text(line, bytes, WIRE_HEADER_PLACE, exchange->place);
	take_text(line, bytes, WIRE_HEADER_BACKEND, exchange->backend);
	return bytes;
}

/*
 * Called when a connection is there, new or kept, and the request goes out on
 * it. Where a kept one dies without an answer libcurl sends the request again
 * by itself and tells of the last try only; the count tells of all.
 */
static int count_send(void *context, char *remote, char *local, int remote_port,
		      int local_port)
{
	struct exchange *exchange = context;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	exchange->connections++;
	return CURL_PREREQFUNC_OK;
}

static enum exchange_fate fate_of(const struct exchange *exchange,
				  CURLcode code)
{
	enum result result = result_from_number(exchange->result);

	if (!exchange->connections)
		return EXCHANGE_NOT_SENT;
	/* A refusal on the second connection proves nothing of the first. */
	if (code == CURLE_OK && exchange->connections > 1 &&
	    result_proves_not_run(result))
		return EXCHANGE_CUT;
	if (code == CURLE_OK)
		return EXCHANGE_WHOLE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return EXCHANGE_TIMED_OUT;
	return EXCHANGE_CUT;
}

static void clear(struct exchange *exchange)
{
	GString *body = exchange->body;

	memset(exchange, 0, sizeof(*exchange));
	exchange->result = EXCHANGE_NO_RESULT;
	exchange->body = g_string_truncate(body, 0);
}

void exchange_init(struct exchange *exchange)
{
	exchange->body = g_string_new(NULL);
	clear(exchange);
}

void exchange_release(struct exchange *exchange)
{
	g_string_free(exchange->body, TRUE);
}

void exchange_run(struct exchange *exchange, CURL *curl,
		  const struct exchange_request *request)
{
	long fresh = request->fresh_connection;

	clear(exchange);
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, request->url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 (long)(request->timeout_us / 1000) + 1);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, exchange);
	/*
	 * libcurl sends a request again by itself where a reused connection
	 * turns out to be closed, which would run a non-idempotent one twice.
	 */
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, fresh);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, fresh);
	if (request->body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
	if (request->method)
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, count_send);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, exchange);
	exchange->fate = fate_of(exchange, curl_easy_perform(curl));
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &exchange->status);
}
