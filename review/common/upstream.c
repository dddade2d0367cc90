#define _GNU_SOURCE
#include "upstream.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static pthread_mutex_t arrivals_lock = PTHREAD_MUTEX_INITIALIZER;
static GArray *arrivals;

struct arrival *arrivals_copy(size_t *count)
{
	struct arrival *copy;

	pthread_mutex_lock(&arrivals_lock);
	*count = arrivals ? arrivals->len : 0;
	copy = g_new(struct arrival, *count + 1);
	if (*count)
		memcpy(copy, arrivals->data, *count * sizeof(*copy));
	pthread_mutex_unlock(&arrivals_lock);
	return copy;
}

bool upstream_is_cold(const struct upstream *upstream, double at_ms)
{
	return at_ms >= upstream->cold_from_ms &&
	       at_ms < upstream->cold_until_ms;
}

char body_byte(const char *id, size_t at)
{
	return id[at % strlen(id)];
}

void upstream_check_in(const struct upstream *upstream)
{
	static int sequence;
	double at_ms = now_ms();
	double left_ms = upstream_is_cold(upstream, at_ms) ?
				 upstream->cold_until_ms - at_ms :
				 0;
	char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		"\"cold_left\":\"%.0fms\",\"seq\":%d}",
		upstream->service, upstream->address, upstream->port,
		upstream->zone, upstream->slots, left_ms, ++sequence);

	store_put("servers", upstream->id, value);
	g_free(value);
}

/* --- requests ----------------------------------------------------------- */

static void log_arrival(const struct upstream *upstream, const char *id,
			double sent_ms)
{
	struct arrival arrival = { .upstream = upstream,
				   .sent_ms = sent_ms,
				   .at_ms = now_ms() };

	arrival.cold = upstream_is_cold(upstream, arrival.at_ms);
	g_strlcpy(arrival.id, id, sizeof(arrival.id));
	pthread_mutex_lock(&arrivals_lock);
	if (!arrivals)
		arrivals = g_array_new(FALSE, FALSE, sizeof(arrival));
	g_array_append_val(arrivals, arrival);
	pthread_mutex_unlock(&arrivals_lock);
	note("upstream %s%s: request %s arrives, sent at %.3f", upstream->id,
	     arrival.cold ? " (cold)" : "", id, sent_ms / 1e3);
}

/* Waits for a slot; false: the queue is full. */
static bool take_slot(struct upstream *upstream)
{
	bool taken = true;

	pthread_mutex_lock(&upstream->lock);
	if (upstream->running >= upstream->slots &&
	    upstream->waiting >= upstream->queue)
		taken = false;
	upstream->waiting++;
	while (taken && upstream->running >= upstream->slots)
		pthread_cond_wait(&upstream->freed, &upstream->lock);
	upstream->waiting--;
	if (taken)
		upstream->running++;
	pthread_mutex_unlock(&upstream->lock);
	return taken;
}

static int free_slot(struct upstream *upstream)
{
	int number;

	pthread_mutex_lock(&upstream->lock);
	upstream->running--;
	number = ++upstream->answers;
	pthread_cond_signal(&upstream->freed);
	pthread_mutex_unlock(&upstream->lock);
	return number;
}

static bool answer_rejected(struct upstream *upstream, int fd, const char *id,
			    const char *status, const char *more)
{
	return send_text(fd,
			 "HTTP/1.1 %s\r\nLilacfield-Attempt-Id: %s\r\n"
			 "Lilacfield-Not-Executed: 1\r\n%s"
			 "Lilacfield-Instance-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 status, id, more, upstream->id);
}

static bool answer_health(struct upstream *upstream, int fd)
{
	double at_ms = now_ms();
	char cold[64] = "";

	if (upstream_is_cold(upstream, at_ms))
		snprintf(cold, sizeof(cold), "Lilacfield-Cold-Ms: %.0f\r\n",
			 upstream->cold_until_ms - at_ms);
	return send_text(fd,
			 "HTTP/1.1 200 OK\r\nLilacfield-Instance-Id: %s\r\n%s"
			 "Lilacfield-Server-Load: %d,%d,%d\r\n"
			 "Content-Length: 0\r\n\r\n",
			 upstream->id, cold, upstream->running,
			 upstream->waiting, upstream->slots);
}

/* False: the connection ends with the answer. */
static bool answer_success(struct upstream *upstream, int fd, const char *id,
			   int number)
{
	bool unframed = upstream->unframed_each &&
			number % upstream->unframed_each == 0;
	char *body = g_malloc(upstream->answer_bytes + 1);
	char length[64] = "Connection: close\r\n";
	bool sent;
	size_t i;

	for (i = 0; i < upstream->answer_bytes; i++)
		body[i] = body_byte(id, i);
	if (!unframed)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
			 upstream->answer_bytes);
	note("upstream %s: request %s ran, answers 200 with %zu bytes, %s",
	     upstream->id, id, upstream->answer_bytes,
	     unframed ? "without a length" : "with a length");
	sent = send_text(fd,
			 "HTTP/1.1 200 OK\r\nLilacfield-Attempt-Id: %s\r\n"
			 "Lilacfield-Response-Seal: %s.%zu\r\n"
			 "Lilacfield-Server-Load: %d,%d,%d\r\n%s\r\n",
			 id, id, upstream->answer_bytes, upstream->running,
			 upstream->waiting, upstream->slots, length) &&
	       send_all(fd, body, upstream->answer_bytes);
	g_free(body);
	return sent && !unframed;
}

static bool run_request(struct upstream *upstream, int fd,
			const struct http *http)
{
	char expected[64];
	char sent[32] = "";
	char id[64] = "none";
	double work_ms = upstream->work_ms;

	header_of(http, "Lilacfield-Attempt-Id", id, sizeof(id));
	header_of(http, "X-Sent-At", sent, sizeof(sent));
	if (header_of(http, "Lilacfield-Expect-Instance", expected,
		      sizeof(expected)) &&
	    strcmp(expected, upstream->id))
		return answer_rejected(upstream, fd, id,
				       "421 Misdirected Request", "");
	log_arrival(upstream, id, strtod(sent, NULL));
	if (upstream_is_cold(upstream, now_ms()))
		work_ms *= 2;
	if (!take_slot(upstream))
		return answer_rejected(upstream, fd, id,
				       "503 Service Unavailable", "");
	sleep_ms(work_ms);
	return answer_success(upstream, fd, id, free_slot(upstream));
}

struct served {
	struct upstream *upstream;
	int fd;
};

static void *serve(void *context)
{
	struct served served = *(struct served *)context;
	struct stream stream;
	struct http http;
	bool keep = true;

	g_free(context);
	stream_init(&stream, served.fd);
	while (keep && read_http(&stream, &http)) {
		if (!strncmp(http.head, "GET /health ", 12))
			keep = answer_health(served.upstream, served.fd);
		else
			keep = run_request(served.upstream, served.fd, &http);
		free_http(&http);
	}
	stream_end(&stream);
	return NULL;
}

struct listening {
	struct upstream *upstream;
	int fd;
};

static void *listen_on(void *context)
{
	const struct listening *listening = context;

	for (;;) {
		struct served *served = g_new(struct served, 1);
		pthread_t thread;
		int one = 1;

		served->upstream = listening->upstream;
		served->fd = accept4(listening->fd, NULL, NULL, SOCK_CLOEXEC);
		if (served->fd < 0) {
			g_free(served);
			continue;
		}
		setsockopt(served->fd, IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof(one));
		pthread_create(&thread, NULL, serve, served);
		pthread_detach(thread);
	}
	return NULL;
}

void upstream_start(struct upstream *upstream)
{
	struct listening *listening = g_new(struct listening, 1);
	pthread_t thread;

	pthread_mutex_init(&upstream->lock, NULL);
	pthread_cond_init(&upstream->freed, NULL);
	listening->upstream = upstream;
	listening->fd = serve_at(upstream->address, upstream->port);
	if (listening->fd < 0)
		exit(2);
	pthread_create(&thread, NULL, listen_on, listening);
	pthread_detach(thread);
	upstream_check_in(upstream);
}
