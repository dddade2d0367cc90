#include "adapters/trace.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include <jansson.h>

#include "adapters/metrics.h"
#include "adapters/pairs.h"
#include "core/result.h"

#define NODE_SIZE 64
#define ATTRIBUTES_SIZE 2048
#define BUFFER_MAX_BYTES (1024 * 1024)
#define CLOSE_TIMEOUT_US G_USEC_PER_SEC
#define WRITE_POLL_MS 50
#define NS_PER_US 1000
#define SEED_WORDS 8
#define PERMILLE 1000
#define FLAG_SAMPLED 1

/* Offsets in "00-<32 digits>-<16 digits>-<2 digits>". */
#define TRACE_ID_AT 3
#define SPAN_ID_AT 36
#define FLAGS_AT 53

/* Numbers and status codes that OTLP gives. */
#define STATUS_OK 1
#define STATUS_ERROR 2

/*
 * Spans wait in pending for the writer thread, so that a disk that hangs holds
 * up the writer and no request; what doesn't fit is dropped and counted.
 */
struct trace_writer {
	pthread_mutex_t lock; /* guards pending and stopping; innermost */
	pthread_cond_t filled;
	GString *pending;
	bool stopping;
	int64_t stop_by_us; /* set before stopping */
	int fd;
	pthread_t thread;
	struct metric *written;
	struct metric *dropped;
	char node[NODE_SIZE];
};

static struct trace_writer writer = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.filled = PTHREAD_COND_INITIALIZER,
};
static atomic_bool trace_is_open;
static _Atomic uint32_t sample_permille;

static pthread_key_t random_key;
static pthread_once_t random_once = PTHREAD_ONCE_INIT;

static void free_random(void *random)
{
	g_rand_free(random);
}

static void create_random_key(void)
{
	pthread_key_create(&random_key, free_random);
}

/* The thread's own generator: ids take no lock and no system call. */
static GRand *get_random(void)
{
	guint32 seed[SEED_WORDS];
	GRand *random;

	pthread_once(&random_once, create_random_key);
	random = pthread_getspecific(random_key);
	if (random)
		return random;
	/* Up to 256 bytes come whole once the pool is ready. */
	while (getrandom(seed, sizeof(seed), 0) != sizeof(seed))
		g_assert(errno == EINTR);
	random = g_rand_new_with_seed_array(seed, SEED_WORDS);
	pthread_setspecific(random_key, random);
	return random;
}

static bool is_zero(const uint8_t *bytes, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		if (bytes[i])
			return false;
	return true;
}

static void fill_random(uint8_t *bytes, size_t size)
{
	GRand *random = get_random();

	do {
		size_t i;

		for (i = 0; i < size; i += sizeof(guint32)) {
			guint32 word = g_rand_int(random);

			memcpy(bytes + i, &word, sizeof(word));
		}
	} while (is_zero(bytes, size));
}

static void start_root(struct trace_context *context)
{
	uint32_t permille =
		atomic_load_explicit(&sample_permille, memory_order_relaxed);

	fill_random(context->trace_id, sizeof(context->trace_id));
	fill_random(context->span_id, sizeof(context->span_id));
	context->sampled = (uint32_t)g_rand_int_range(get_random(), 0,
						      PERMILLE) < permille;
}

/* The standard allows lower-case digits only. */
static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool parse_hex(const char *text, uint8_t *bytes, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++) {
		int high = hex_value(text[2 * i]);
		int low = hex_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static void format_hex(const uint8_t *bytes, size_t size, char *text)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < size; i++) {
		text[2 * i] = digits[bytes[i] >> 4];
		text[2 * i + 1] = digits[bytes[i] & 15];
	}
	text[2 * size] = '\0';
}

/* Version 00 has this length; a later one may go on after another dash. */
static bool length_is_allowed(const char *text, uint8_t version)
{
	size_t length = strnlen(text, TRACEPARENT_SIZE);

	if (version == 0xff || length < TRACEPARENT_SIZE - 1)
		return false;
	return length == TRACEPARENT_SIZE - 1 ||
	       (version > 0 && text[TRACEPARENT_SIZE - 1] == '-');
}

static bool parse(const char *text, struct trace_context *context)
{
	uint8_t version;
	uint8_t flags;

	if (strnlen(text, TRACE_ID_AT) < TRACE_ID_AT ||
	    !parse_hex(text, &version, 1) || !length_is_allowed(text, version))
		return false;
	if (text[TRACE_ID_AT - 1] != '-' || text[SPAN_ID_AT - 1] != '-' ||
	    text[FLAGS_AT - 1] != '-')
		return false;
	if (!parse_hex(text + TRACE_ID_AT, context->trace_id,
		       sizeof(context->trace_id)) ||
	    !parse_hex(text + SPAN_ID_AT, context->span_id,
		       sizeof(context->span_id)) ||
	    !parse_hex(text + FLAGS_AT, &flags, 1))
		return false;
	context->sampled = flags & FLAG_SAMPLED;
	return !is_zero(context->trace_id, sizeof(context->trace_id)) &&
	       !is_zero(context->span_id, sizeof(context->span_id));
}

bool trace_context_parse(const char *text, struct trace_context *context)
{
	if (parse(text, context))
		return true;
	start_root(context);
	return false;
}

void trace_context_format(const struct trace_context *context, char *text)
{
	g_strlcpy(text, "00-", TRACEPARENT_SIZE);
	format_hex(context->trace_id, sizeof(context->trace_id),
		   text + TRACE_ID_AT);
	text[SPAN_ID_AT - 1] = '-';
	format_hex(context->span_id, sizeof(context->span_id),
		   text + SPAN_ID_AT);
	text[FLAGS_AT - 1] = '-';
	g_strlcpy(text + FLAGS_AT, context->sampled ? "01" : "00",
		  TRACEPARENT_SIZE - FLAGS_AT);
}

static void start_clock(struct trace_span *span)
{
	span->start_unix_ns = (uint64_t)g_get_real_time() * NS_PER_US;
	span->start_us = (uint64_t)g_get_monotonic_time();
}

static void start_below(struct trace_span *span,
			const struct trace_context *parent)
{
	span->context = *parent;
	memcpy(span->parent_span_id, parent->span_id,
	       sizeof(span->parent_span_id));
	fill_random(span->context.span_id, sizeof(span->context.span_id));
}

void trace_span_start(struct trace_span *span, const char *name,
		      const char *traceparent)
{
	struct trace_context parent;

	memset(span, 0, sizeof(*span));
	span->name = name;
	span->kind = TRACE_SERVER;
	if (traceparent && parse(traceparent, &parent))
		start_below(span, &parent);
	else
		start_root(&span->context);
	start_clock(span);
}

void trace_span_start_child(struct trace_span *span, const char *name,
			    const struct trace_span *parent)
{
	memset(span, 0, sizeof(*span));
	span->name = name;
	span->kind = TRACE_INTERNAL;
	start_below(span, &parent->context);
	start_clock(span);
}

static void add_attribute(json_t *attributes, const char *key,
			  const char *value)
{
	json_t *attribute = json_pack("{s:s, s:{s:s}}", "key", key, "value",
				      "stringValue", value);

	/* jansson takes no bytes that aren't UTF-8; a caller may send some. */
	if (!attribute)
		attribute = json_pack("{s:s, s:{s:s}}", "key", "malformed",
				      "value", "stringValue", "not UTF-8");
	json_array_append_new(attributes, attribute);
}

static json_t *make_attributes(char *pairs)
{
	json_t *attributes = json_array();
	const char *key;
	const char *value;

	add_attribute(attributes, "node", writer.node);
	while ((pairs = pairs_next(pairs, &key, &value)))
		add_attribute(attributes, *key ? key : "note", value);
	return attributes;
}

static json_t *make_status(int result)
{
	if (result == RESULT_OK)
		return json_pack("{s:i}", "code", STATUS_OK);
	return json_pack("{s:i, s:s}", "code", STATUS_ERROR, "message",
			 result_name(result_from_number(result)));
}

/* Numbers of 64 bits are strings in OTLP's JSON. */
static json_t *make_time(uint64_t time_ns)
{
	return json_sprintf("%" PRIu64, time_ns);
}

static json_t *make_span(const struct trace_span *span, int result, char *pairs)
{
	char trace_id[2 * sizeof(span->context.trace_id) + 1];
	char span_id[2 * sizeof(span->context.span_id) + 1];
	char parent_id[2 * sizeof(span->parent_span_id) + 1] = "";
	uint64_t duration_us =
		(uint64_t)g_get_monotonic_time() - span->start_us;
	uint64_t end_ns = span->start_unix_ns + duration_us * NS_PER_US;

	format_hex(span->context.trace_id, sizeof(span->context.trace_id),
		   trace_id);
	format_hex(span->context.span_id, sizeof(span->context.span_id),
		   span_id);
	if (!is_zero(span->parent_span_id, sizeof(span->parent_span_id)))
		format_hex(span->parent_span_id, sizeof(span->parent_span_id),
			   parent_id);
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:o, s:o, s:o, s:o}",
			 "traceId", trace_id, "spanId", span_id, "parentSpanId",
			 parent_id, "name", span->name, "kind", (int)span->kind,
			 "startTimeUnixNano", make_time(span->start_unix_ns),
			 "endTimeUnixNano", make_time(end_ns), "attributes",
			 make_attributes(pairs), "status", make_status(result));
}

static void hand_over(const char *line, size_t length)
{
	bool fits;

	pthread_mutex_lock(&writer.lock);
	fits = !writer.stopping &&
	       writer.pending->len + length + 1 <= BUFFER_MAX_BYTES;
	if (fits) {
		g_string_append_len(writer.pending, line, (gssize)length);
		g_string_append_c(writer.pending, '\n');
		pthread_cond_signal(&writer.filled);
	}
	pthread_mutex_unlock(&writer.lock);
	metric_add(fits ? writer.written : writer.dropped, 1);
}

void trace_span_end(const struct trace_span *span, int result,
		    const char *attributes_format, ...)
{
	char pairs[ATTRIBUTES_SIZE];
	json_t *json;
	char *line;
	va_list args;

	if (!span->context.sampled || !atomic_load(&trace_is_open))
		return;
	va_start(args, attributes_format);
	(void)pairs_format(pairs, sizeof(pairs), attributes_format, args);
	va_end(args);
	json = make_span(span, result, pairs);
	line = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	hand_over(line, strlen(line));
	free(line);
}

static bool must_give_up(void)
{
	bool over;

	pthread_mutex_lock(&writer.lock);
	over = writer.stopping && g_get_monotonic_time() >= writer.stop_by_us;
	pthread_mutex_unlock(&writer.lock);
	return over;
}

/*
 * The file may be a pipe whose reader has stopped: writes don't block, and at
 * the close the rest is given up after a time, so that the node can end.
 */
static bool write_whole(const char *text, size_t length)
{
	while (length) {
		struct pollfd ready = { .fd = writer.fd, .events = POLLOUT };
		ssize_t written = write(writer.fd, text, length);

		if (written < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		if (written > 0) {
			text += written;
			length -= (size_t)written;
			continue;
		}
		if (must_give_up())
			return false;
		(void)poll(&ready, 1, WRITE_POLL_MS);
	}
	return true;
}

static void count_dropped_lines(const GString *text)
{
	uint64_t lines = 0;
	gsize i;

	for (i = 0; i < text->len; i++)
		lines += text->str[i] == '\n';
	metric_add(writer.dropped, lines);
}

static void *run_writer(void *unused)
{
	GString *batch = g_string_new(NULL);
	bool stopping;

	(void)unused;
	do {
		GString *filled;

		pthread_mutex_lock(&writer.lock);
		while (!writer.pending->len && !writer.stopping)
			pthread_cond_wait(&writer.filled, &writer.lock);
		filled = writer.pending;
		writer.pending = batch;
		stopping = writer.stopping;
		pthread_mutex_unlock(&writer.lock);
		batch = filled;
		if (!write_whole(batch->str, batch->len))
			count_dropped_lines(batch);
		g_string_truncate(batch, 0);
	} while (!stopping);
	g_string_free(batch, TRUE);
	return NULL;
}

static bool fail_open(const char *path, int failure, GError **error)
{
	g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "trace file %s: %s",
		    path, g_strerror(failure));
	return false;
}

static void open_metrics(void)
{
	writer.written = metric_counter("lilacfield_trace_spans_total",
					"Spans handed to the trace file.",
					NULL);
	writer.dropped = metric_counter("lilacfield_trace_spans_dropped_total",
					"Spans that the trace file was too "
					"slow for or didn't take.",
					NULL);
}

bool trace_open(const char *node, const char *path, uint32_t permille,
		GError **error)
{
	int failure;

	trace_close();
	if (!path || !*path)
		return true;
	writer.fd = open(path,
			 O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | O_NONBLOCK,
			 0644);
	if (writer.fd < 0)
		return fail_open(path, errno, error);
	g_strlcpy(writer.node, node, sizeof(writer.node));
	open_metrics();
	writer.pending = g_string_new(NULL);
	writer.stopping = false;
	failure = pthread_create(&writer.thread, NULL, run_writer, NULL);
	if (failure) {
		g_string_free(writer.pending, TRUE);
		close(writer.fd);
		return fail_open(path, failure, error);
	}
	atomic_store(&sample_permille, permille);
	atomic_store(&trace_is_open, true);
	return true;
}

void trace_close(void)
{
	atomic_store(&sample_permille, 0);
	if (!atomic_exchange(&trace_is_open, false))
		return;
	pthread_mutex_lock(&writer.lock);
	writer.stop_by_us = g_get_monotonic_time() + CLOSE_TIMEOUT_US;
	writer.stopping = true;
	pthread_cond_signal(&writer.filled);
	pthread_mutex_unlock(&writer.lock);
	pthread_join(writer.thread, NULL);
	g_string_free(writer.pending, TRUE);
	close(writer.fd);
}
