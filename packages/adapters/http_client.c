#include "adapters/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

/* Data unacknowledged for this long means that the path lost the connection. */
#define USER_TIMEOUT_MS 2000

/* Connections that one channel keeps open. */
#define CHANNEL_CONNECTIONS 32

#define HEADERS_MAX_BYTES 16384
#define URL_SIZE 2048
#define POLL_MS 1000

/* A multi handle has its own connections and serves one exchange at a time. */
struct channel {
	CURLM *multi;
	CURL *easy;
	struct channel *next;
};

struct http_client {
	pthread_mutex_t lock;
	struct channel *idle; /* last used first, so that few stay warm */
};

/* What is known of one try while it runs. */
struct attempt {
	const struct http_request *request;
	struct http_answer *answer;
	GString *body;
	struct curl_slist *headers;
	size_t header_bytes;
	char error[CURL_ERROR_SIZE];
	bool has_length; /* Content-Length or chunked: the end is known */
	bool too_large;
	bool heard; /* a byte came back */
	uint32_t sends; /* connections that the request went out on */
	bool ended;
	CURLcode code;
};

static uint64_t monotonic_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static size_t take_body(char *data, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;
	size_t bytes = size * count;

	attempt->heard = true;
	if (attempt->body->len + bytes > attempt->request->answer_max_bytes) {
		attempt->too_large = true;
		return 0;
	}
	g_string_append_len(attempt->body, data, (gssize)bytes);
	return bytes;
}

static bool is_header(const char *line, const char *name)
{
	size_t len = strlen(name);

	return !g_ascii_strncasecmp(line, name, len) && line[len] == ':';
}

static const char *header_value(const char *line)
{
	const char *value = strchr(line, ':') + 1;

	return value + strspn(value, " \t");
}

static size_t take_header(char *data, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;
	size_t bytes = size * count;
	char *line;

	attempt->heard = true;
	attempt->header_bytes += bytes;
	if (attempt->header_bytes > HEADERS_MAX_BYTES) {
		attempt->too_large = true;
		return 0;
	}
	line = g_strchomp(g_strndup(data, bytes));
	if (is_header(line, "Content-Length") ||
	    is_header(line, "Transfer-Encoding"))
		attempt->has_length = true;
	if (strchr(line, ':'))
		g_ptr_array_add(attempt->answer->header_lines, line);
	else
		g_free(line);
	return bytes;
}

/*
 * A connection that something between the two ends lost track of shows as data
 * that is never acknowledged. The kernel then breaks it after the user timeout,
 * instead of retransmitting for a quarter of an hour.
 */
static int prepare_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int timeout_ms = USER_TIMEOUT_MS;

	(void)context;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
	return CURL_SOCKOPT_OK;
}

static struct curl_slist *make_headers(const struct http_request *request)
{
	struct curl_slist *list = NULL;
	uint32_t i;

	/* Both cost a round trip or bytes, and mean nothing here. */
	list = curl_slist_append(list, "Expect:");
	list = curl_slist_append(list, "Accept:");
	for (i = 0; i < request->header_count; i++) {
		char *line = g_strdup_printf("%s: %s", request->headers[i].name,
					     request->headers[i].value);

		list = curl_slist_append(list, line);
		g_free(line);
	}
	return list;
}

static long to_ms(uint64_t us)
{
	return (long)((us + 999) / 1000);
}

static void prepare_easy(CURL *easy, struct attempt *attempt,
			 uint64_t timeout_us, bool fresh)
{
	const struct http_request *request = attempt->request;
	uint64_t connect_us = request->connect_timeout_us;
	char url[URL_SIZE];

	g_snprintf(url, sizeof(url), "http://%s:%u%s", request->address,
		   request->port, request->path);
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, to_ms(timeout_us));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 to_ms(connect_us ? MIN(connect_us, timeout_us) :
					    timeout_us));
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, attempt->headers);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, attempt->error);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, prepare_socket);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 request->fresh_connection ? 1L : 0L);
	if (request->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body_bytes);
	}
	if (!strcmp(request->method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

/* Move the transfer on; true once it has ended. */
static bool step(struct channel *channel, struct attempt *attempt)
{
	CURLMsg *message;
	int running = 0;
	int left = 0;

	curl_multi_perform(channel->multi, &running);
	message = curl_multi_info_read(channel->multi, &left);
	if (message && message->msg == CURLMSG_DONE) {
		attempt->ended = true;
		attempt->code = message->data.result;
	}
	return attempt->ended;
}

static bool is_reused(CURL *easy)
{
	long connects = 0;
	curl_off_t sent = 0;

	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &sent);
	return sent > 0 && !connects;
}

/* Run to the end, or to silent_at_us on a reused connection: false then. */
static bool run(struct channel *channel, struct attempt *attempt,
		uint64_t silent_at_us)
{
	while (!step(channel, attempt)) {
		int wait_ms = POLL_MS;

		if (silent_at_us && !attempt->heard) {
			uint64_t now_us = monotonic_us();

			if (now_us >= silent_at_us) {
				if (is_reused(channel->easy))
					return false;
				silent_at_us = 0;
			} else {
				wait_ms = (int)to_ms(silent_at_us - now_us);
			}
		}
		curl_multi_poll(channel->multi, NULL, 0, wait_ms, NULL);
	}
	return true;
}

static enum http_outcome judge(const struct attempt *attempt)
{
	const struct http_request *request = attempt->request;

	if (attempt->too_large)
		return HTTP_TOO_LARGE;
	if (attempt->code == CURLE_OK) {
		/*
		 * Without a length the end of the answer is the end of the
		 * connection, and a cut answer would look whole.
		 */
		if (!attempt->has_length &&
		    strcmp(request->method, "HEAD") != 0 && attempt->body->len)
			return HTTP_BROKEN;
		return HTTP_ANSWERED;
	}
	if (!attempt->sends)
		return HTTP_CONNECT_FAILED;
	if (attempt->code == CURLE_OPERATION_TIMEDOUT)
		return HTTP_TIMED_OUT;
	return HTTP_BROKEN;
}

/*
 * Called when a connection is there, new or kept, and the request goes out on
 * it. On a kept connection that dies without an answer the library sends it
 * again by itself, and tells of the last try only: that it couldn't connect, or
 * that it was refused. The node or backend server may have run the first one
 * before it died, so that neither proves "not run"; the count tells.
 */
static int count_send(void *context, char *remote, char *local, int remote_port,
		      int local_port)
{
	struct attempt *attempt = context;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	attempt->sends++;
	return CURL_PREREQFUNC_OK;
}

static void start(struct channel *channel, struct attempt *attempt,
		  uint64_t timeout_us, bool fresh)
{
	attempt->heard = false;
	attempt->ended = false;
	prepare_easy(channel->easy, attempt, timeout_us, fresh);
	curl_easy_setopt(channel->easy, CURLOPT_PREREQFUNCTION, count_send);
	curl_easy_setopt(channel->easy, CURLOPT_PREREQDATA, attempt);
	curl_multi_add_handle(channel->multi, channel->easy);
}

/* Taking an unfinished transfer out closes its connection. */
static void stop(struct channel *channel)
{
	curl_multi_remove_handle(channel->multi, channel->easy);
}

static void exchange(struct channel *channel, struct attempt *attempt)
{
	const struct http_request *request = attempt->request;
	uint64_t start_us = monotonic_us();
	uint64_t end_us = start_us + request->timeout_us;
	uint64_t silent_at_us = 0;

	if (request->silence_us && request->may_repeat)
		silent_at_us = start_us + request->silence_us;
	start(channel, attempt, request->timeout_us, request->fresh_connection);
	if (!run(channel, attempt, silent_at_us)) {
		if (request->may_repeat(request->context) &&
		    monotonic_us() < end_us) {
			stop(channel);
			start(channel, attempt, end_us - monotonic_us(), true);
		}
		run(channel, attempt, 0);
	}
	attempt->answer->outcome = judge(attempt);
	attempt->answer->repeated = attempt->sends > 1;
}

static struct channel *channel_new(void)
{
	struct channel *channel = g_new0(struct channel, 1);

	channel->multi = curl_multi_init();
	channel->easy = curl_easy_init();
	curl_multi_setopt(channel->multi, CURLMOPT_MAXCONNECTS,
			  (long)CHANNEL_CONNECTIONS);
	return channel;
}

static void channel_free(struct channel *channel)
{
	curl_easy_cleanup(channel->easy);
	curl_multi_cleanup(channel->multi);
	g_free(channel);
}

static struct channel *take_channel(struct http_client *client)
{
	struct channel *channel;

	pthread_mutex_lock(&client->lock);
	channel = client->idle;
	if (channel)
		client->idle = channel->next;
	pthread_mutex_unlock(&client->lock);
	return channel ? channel : channel_new();
}

static void give_back(struct http_client *client, struct channel *channel)
{
	pthread_mutex_lock(&client->lock);
	channel->next = client->idle;
	client->idle = channel;
	pthread_mutex_unlock(&client->lock);
}

struct http_client *http_client_new(void)
{
	struct http_client *client = g_new0(struct http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_mutex_init(&client->lock, NULL);
	return client;
}

void http_client_free(struct http_client *client)
{
	while (client->idle) {
		struct channel *channel = client->idle;

		client->idle = channel->next;
		channel_free(channel);
	}
	pthread_mutex_destroy(&client->lock);
	g_free(client);
	curl_global_cleanup();
}

void http_request_add_header(struct http_request *request, const char *name,
			     const char *value)
{
	g_return_if_fail(request->header_count < HTTP_MAX_HEADERS);
	request->headers[request->header_count].name = name;
	request->headers[request->header_count].value = value;
	request->header_count++;
}

void http_client_exchange(struct http_client *client,
			  const struct http_request *request,
			  struct http_answer *answer)
{
	struct attempt attempt = { .request = request, .answer = answer };
	struct channel *channel = take_channel(client);
	long status = 0;

	memset(answer, 0, sizeof(*answer));
	answer->header_lines = g_ptr_array_new_with_free_func(g_free);
	attempt.body = g_string_new(NULL);
	attempt.headers = make_headers(request);
	exchange(channel, &attempt);
	curl_easy_getinfo(channel->easy, CURLINFO_RESPONSE_CODE, &status);
	stop(channel);
	curl_slist_free_all(attempt.headers);
	give_back(client, channel);

	answer->status = (int)status;
	answer->content_type =
		g_strdup(http_answer_header(answer, "Content-Type"));
	answer->body_bytes = attempt.body->len;
	answer->body = g_string_free(attempt.body, FALSE);
}

const char *http_answer_header(const struct http_answer *answer,
			       const char *name)
{
	guint i;

	for (i = 0; i < answer->header_lines->len; i++) {
		const char *line = g_ptr_array_index(answer->header_lines, i);

		if (is_header(line, name))
			return header_value(line);
	}
	return NULL;
}

void http_answer_release(struct http_answer *answer)
{
	g_free(answer->body);
	g_free(answer->content_type);
	if (answer->header_lines)
		g_ptr_array_unref(answer->header_lines);
	memset(answer, 0, sizeof(*answer));
}

const char *http_outcome_name(enum http_outcome outcome)
{
	static const char *const names[] = {
		[HTTP_ANSWERED] = "answered",
		[HTTP_CONNECT_FAILED] = "connect-failed",
		[HTTP_BROKEN] = "broken",
		[HTTP_TIMED_OUT] = "timed-out",
		[HTTP_TOO_LARGE] = "too-large",
	};

	return names[outcome];
}
