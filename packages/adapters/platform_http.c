#include "adapters/platform_http.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "core/build_options.h"
#include "core/result.h"

/* A value as JSON text: most bytes of a configuration are at most escaped. */
#define ROW_ANSWER_MAX_BYTES (2 * CONFIG_MAX_BYTES + 4096)
#define LIST_ANSWER_MAX_BYTES (1024 * 1024)
#define ROW_MAX_VALUES 16
#define US_PER_MS 1000
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_SERVER_ERRORS 500

struct platform_http {
	struct platform platform; /* first: the vtable */
	char *base; /* "http://address:port" */
	long timeout_ms;
	/* Handles for reads that keep a connection, free for the next call. */
	pthread_mutex_t lock; /* guards idle; held for no I/O */
	GQueue idle;
};

/* One request and what came of it. */
struct exchange {
	char *url;
	const char *body; /* of a PUT, else NULL */
	uint64_t expected_version; /* for a PUT */
	size_t answer_max_bytes;
	GString *answer;
	bool too_large;
	CURLcode code;
	long status; /* 0 where none came */
	bool maybe_sent;
	char detail[CURL_ERROR_SIZE];
};

static void init_curl(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/*
 * An answer without end, of a faulty platform or of what sits at its address,
 * would grow until the node is killed: the transfer ends at the bound.
 */
static size_t take_answer(char *data, size_t size, size_t count, void *context)
{
	struct exchange *exchange = context;
	size_t length = size * count;

	if (length > exchange->answer_max_bytes - exchange->answer->len) {
		exchange->too_large = true;
		return 0;
	}
	g_string_append_len(exchange->answer, data, (gssize)length);
	return length;
}

static void *take_handle(struct platform_http *http, bool write)
{
	CURL *curl = NULL;

	if (!write) {
		pthread_mutex_lock(&http->lock);
		curl = g_queue_pop_tail(&http->idle);
		pthread_mutex_unlock(&http->lock);
	}
	if (!curl)
		curl = curl_easy_init();
	else
		curl_easy_reset(curl);
	return curl;
}

/*
 * The connection of a failed call may have gone silent for good, lost by
 * something on the way: each call on it would time out. It is closed, so that
 * the next call opens a new one.
 */
static void give_back_handle(struct platform_http *http, CURL *curl,
			     const struct exchange *exchange)
{
	if (exchange->body || exchange->code != CURLE_OK) {
		curl_easy_cleanup(curl);
		return;
	}
	pthread_mutex_lock(&http->lock);
	g_queue_push_tail(&http->idle, curl);
	pthread_mutex_unlock(&http->lock);
}

/*
 * curl sends a request once more by itself where a kept connection turns out
 * closed before an answer. The first copy may have been written; the second
 * would then meet the new version, and a write that took effect would be told
 * as a conflict. A connection of its own for each write, kept for no other,
 * leaves curl nothing to resend on.
 */
static struct curl_slist *set_write(CURL *curl, const struct exchange *exchange)
{
	char match[40];

	g_snprintf(match, sizeof(match), "If-Match: %" PRIu64,
		   exchange->expected_version);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, exchange->body);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)strlen(exchange->body));
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	/* No wait of a second for "100 Continue" on large values. */
	return curl_slist_append(curl_slist_append(NULL, match), "Expect:");
}

static void set_options(CURL *curl, const struct platform_http *http,
			struct exchange *exchange)
{
	curl_easy_setopt(curl, CURLOPT_URL, exchange->url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	/* No proxy, whatever the environment names. */
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, http->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, exchange->detail);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_answer);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
}

/* Whether a byte of the request can have left: a connection stood. */
static bool connection_stood(CURL *curl, CURLcode code)
{
	curl_off_t connected_us = 0;

	if (code == CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connected_us);
	return connected_us > 0;
}

static void perform(struct platform_http *http, struct exchange *exchange)
{
	CURL *curl = take_handle(http, exchange->body != NULL);
	struct curl_slist *headers = NULL;

	exchange->answer = g_string_new(NULL);
	set_options(curl, http, exchange);
	if (exchange->body)
		headers = set_write(curl, exchange);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	exchange->code = curl_easy_perform(curl);
	exchange->maybe_sent = connection_stood(curl, exchange->code);
	if (exchange->code == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &exchange->status);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, NULL);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, NULL);
	curl_slist_free_all(headers);
	give_back_handle(http, curl, exchange);
}

static void exchange_release(struct exchange *exchange)
{
	g_string_free(exchange->answer, TRUE);
	g_free(exchange->url);
}

static void set_failure(GError **error, enum result code,
			const struct exchange *exchange)
{
	const char *detail = exchange->detail;

	if (exchange->code == CURLE_OK) {
		g_set_error(error, RESULT_ERROR, (gint)code,
			    "platform: %s: status %ld", exchange->url,
			    exchange->status);
		return;
	}
	if (exchange->too_large)
		detail = "answer too large";
	else if (!*detail)
		detail = curl_easy_strerror(exchange->code);
	g_set_error(error, RESULT_ERROR, (gint)code, "platform: %s: %s",
		    exchange->url, detail);
}

/* The JSON object of the answer; NULL and the error set where it is none. */
static json_t *parse_answer(const struct exchange *exchange, enum result code,
			    GError **error)
{
	json_error_t where;
	json_t *json = json_loadb(exchange->answer->str, exchange->answer->len,
				  JSON_REJECT_DUPLICATES, &where);

	if (!json)
		g_set_error(error, RESULT_ERROR, (gint)code,
			    "platform: %s: answer, byte %d: %s", exchange->url,
			    where.position, where.text);
	return json;
}

static void set_malformed(GError **error, enum result code,
			  const struct exchange *exchange, const char *what)
{
	g_set_error(error, RESULT_ERROR, (gint)code,
		    "platform: %s: answer has no %s", exchange->url, what);
}

static char *make_row_url(const struct platform_http *http, const char *table,
			  const char *key)
{
	char *table_part = g_uri_escape_string(table, NULL, FALSE);
	char *key_part = g_uri_escape_string(key, NULL, FALSE);
	char *url = g_strdup_printf("%s/v1/tables/%s/%s", http->base,
				    table_part, key_part);

	g_free(table_part);
	g_free(key_part);
	return url;
}

/*
 * Decoded, many small values take some forty-five times their text: an answer
 * within the bound of bytes could still take more memory than a small VM has. A
 * row is one flat object, so its values are counted before any is decoded.
 */
static bool has_few_values(const GString *text)
{
	bool quoted = false;
	uint32_t count = 0;
	gsize i;

	for (i = 0; i < text->len && count <= ROW_MAX_VALUES; i++) {
		char c = text->str[i];

		if (quoted && c == '\\')
			i++;
		else if (c == '"')
			quoted = !quoted;
		else if (!quoted && (c == '[' || c == '{' || c == ','))
			count++;
	}
	return count <= ROW_MAX_VALUES;
}

static json_t *parse_row(const struct exchange *exchange, enum result code,
			 GError **error)
{
	if (has_few_values(exchange->answer))
		return parse_answer(exchange, code, error);
	set_malformed(error, code, exchange, "row but many values");
	return NULL;
}

static bool take_row(const struct exchange *exchange, struct platform_row *row,
		     GError **error)
{
	json_t *json = parse_row(exchange, RESULT_PLATFORM_UNAVAILABLE, error);
	json_t *value = json_object_get(json, "value");
	json_int_t version =
		json_integer_value(json_object_get(json, "version"));
	bool ok = version > 0 && json_is_string(value) &&
		  json_string_length(value) <= CONFIG_MAX_BYTES;

	if (ok) {
		row->version = (uint64_t)version;
		row->value = g_strdup(json_string_value(value));
	} else if (json) {
		set_malformed(error, RESULT_PLATFORM_UNAVAILABLE, exchange,
			      "version and value of a row");
	}
	json_decref(json);
	return ok;
}

static bool http_read(struct platform *platform, const char *table,
		      const char *key, struct platform_row *row, GError **error)
{
	struct platform_http *http = (struct platform_http *)platform;
	struct exchange exchange = {
		.url = make_row_url(http, table, key),
		.answer_max_bytes = ROW_ANSWER_MAX_BYTES,
	};
	bool ok = false;

	memset(row, 0, sizeof(*row));
	perform(http, &exchange);
	if (exchange.status == HTTP_OK)
		ok = take_row(&exchange, row, error);
	else if (exchange.status == HTTP_NOT_FOUND)
		ok = true;
	else
		set_failure(error, RESULT_PLATFORM_UNAVAILABLE, &exchange);
	exchange_release(&exchange);
	return ok;
}

/*
 * What a write without "200" or "412" came to. An answer of 500 and above, or
 * 408, may come from something on the way that has passed the request on.
 */
static enum result write_failure(const struct exchange *exchange)
{
	bool refused = exchange->status > 0 &&
		       exchange->status < HTTP_SERVER_ERRORS &&
		       exchange->status != HTTP_REQUEST_TIMEOUT &&
		       exchange->status / 100 == 4;

	if (exchange->status == HTTP_PRECONDITION_FAILED)
		return RESULT_CONFLICT;
	if (refused || !exchange->maybe_sent)
		return RESULT_PLATFORM_UNAVAILABLE;
	return RESULT_UNSETTLED;
}

static bool take_version(const struct exchange *exchange, uint64_t *new_version,
			 GError **error)
{
	json_t *json = parse_row(exchange, RESULT_UNSETTLED, error);
	json_int_t version =
		json_integer_value(json_object_get(json, "version"));
	bool ok = version > 0 && (uint64_t)version > exchange->expected_version;

	if (ok)
		*new_version = (uint64_t)version;
	else if (json)
		set_malformed(error, RESULT_UNSETTLED, exchange,
			      "version newer than the one before");
	json_decref(json);
	return ok;
}

static bool http_write(struct platform *platform, const char *table,
		       const char *key, const char *value,
		       uint64_t expected_version, uint64_t *new_version,
		       GError **error)
{
	struct platform_http *http = (struct platform_http *)platform;
	struct exchange exchange = {
		.body = value,
		.answer_max_bytes = ROW_ANSWER_MAX_BYTES,
		.expected_version = expected_version,
	};
	bool ok = false;

	if (strlen(value) > CONFIG_MAX_BYTES) {
		g_set_error(error, RESULT_ERROR, RESULT_OUT_OF_RANGE,
			    "platform: %s/%s: value of more than %d bytes",
			    table, key, CONFIG_MAX_BYTES);
		return false;
	}
	exchange.url = make_row_url(http, table, key);
	perform(http, &exchange);
	if (exchange.status == HTTP_OK)
		ok = take_version(&exchange, new_version, error);
	else
		set_failure(error, write_failure(&exchange), &exchange);
	exchange_release(&exchange);
	return ok;
}

static enum vm_state vm_state_from_name(const char *name)
{
	if (!strcmp(name, "live"))
		return VM_LIVE;
	if (!strcmp(name, "leaving"))
		return VM_LEAVING;
	/* A state of a later platform says nothing to this one. */
	return VM_UNKNOWN;
}

static bool take_vm(const json_t *json, struct platform_vm *vm)
{
	const char *address =
		json_string_value(json_object_get(json, "address"));
	const char *state = json_string_value(json_object_get(json, "state"));

	if (!address || !state || !g_hostname_is_ip_address(address))
		return false;
	vm->address = g_strdup(address);
	vm->state = vm_state_from_name(state);
	return true;
}

static bool take_vms(const struct exchange *exchange,
		     struct platform_vm_list *list, GError **error)
{
	json_t *json =
		parse_answer(exchange, RESULT_PLATFORM_UNAVAILABLE, error);
	json_t *vms = json_object_get(json, "vms");
	bool ok = json_is_array(vms);
	json_t *vm;
	size_t i;

	if (ok)
		list->vms = g_new0(struct platform_vm, json_array_size(vms));
	json_array_foreach (vms, i, vm) {
		ok = take_vm(vm, &list->vms[i]);
		if (!ok)
			break;
		list->count++;
	}
	if (json && !ok)
		set_malformed(error, RESULT_PLATFORM_UNAVAILABLE, exchange,
			      "list of VMs, each with address and state");
	if (!ok)
		platform_vm_list_release(list);
	json_decref(json);
	return ok;
}

static bool http_list_vms(struct platform *platform,
			  struct platform_vm_list *list, GError **error)
{
	struct platform_http *http = (struct platform_http *)platform;
	struct exchange exchange = {
		.url = g_strdup_printf("%s/v1/vms", http->base),
		.answer_max_bytes = LIST_ANSWER_MAX_BYTES,
	};
	bool ok = false;

	memset(list, 0, sizeof(*list));
	perform(http, &exchange);
	if (exchange.status == HTTP_OK)
		ok = take_vms(&exchange, list, error);
	else
		set_failure(error, RESULT_PLATFORM_UNAVAILABLE, &exchange);
	exchange_release(&exchange);
	return ok;
}

static const struct platform_vtable http_vtable = {
	.read = http_read,
	.write = http_write,
	.list_vms = http_list_vms,
};

struct platform *platform_http_new(const char *address, uint16_t port,
				   uint64_t timeout_us)
{
	static pthread_once_t curl_once = PTHREAD_ONCE_INIT;
	struct platform_http *http = g_new0(struct platform_http, 1);

	pthread_once(&curl_once, init_curl);
	http->platform.vtable = &http_vtable;
	http->base = g_strdup_printf("http://%s:%u", address, port);
	/* To curl, 0 would mean no time-out at all. */
	http->timeout_ms = MAX(1, (long)(timeout_us / US_PER_MS));
	pthread_mutex_init(&http->lock, NULL);
	g_queue_init(&http->idle);
	return &http->platform;
}

void platform_http_free(struct platform *platform)
{
	struct platform_http *http = (struct platform_http *)platform;

	if (!http)
		return;
	g_queue_clear_full(&http->idle, curl_easy_cleanup);
	pthread_mutex_destroy(&http->lock);
	g_free(http->base);
	g_free(http);
}
