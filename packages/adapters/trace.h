/*
 * trace - W3C trace context, and one span record a hop as a line of OTLP JSON
 *
 * Thread-safe after trace_open(). Start times are Unix nanoseconds, as OTLP has
 * them; durations come from the monotonic clock.
 */
#ifndef ADAPTERS_TRACE_H
#define ADAPTERS_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define TRACEPARENT_SIZE 56

struct trace_context {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	bool sampled;
};

/* Numbers of OTLP's span kinds. */
enum trace_kind {
	TRACE_INTERNAL = 1,
	TRACE_SERVER = 2,
};

struct trace_span {
	struct trace_context context; /* of this span */
	uint8_t parent_span_id[8]; /* zero for a root */
	enum trace_kind kind;
	const char *name; /* constant; lives until the end */
	uint64_t start_unix_ns;
	uint64_t start_us; /* monotonic, for the duration */
};

/*
 * Spans go to path, a line each; none where it is empty. Requests never wait
 * for the file: spans that it is too slow for are dropped and counted.
 * RESULT_SYSTEM on failure.
 */
bool trace_open(const char *node, const char *path, uint32_t sample_permille,
		GError **error);
/* No span may be ended during or after it. Waits a second for a slow file. */
void trace_close(void);

/* Read a traceparent header; false, and a new root, where it is malformed. */
bool trace_context_parse(const char *text, struct trace_context *context);

/* Text for the next hop; text holds TRACEPARENT_SIZE bytes. */
void trace_context_format(const struct trace_context *context, char *text);

/* Start a span below the context of the header, or a root where NULL. */
void trace_span_start(struct trace_span *span, const char *name,
		      const char *traceparent);

/* Start a span below another one of this node. */
void trace_span_start_child(struct trace_span *span, const char *name,
			    const struct trace_span *parent);

/*
 * End it; attributes are "key=value" pairs divided by blanks, with %s values
 * quoted where needed (see pairs.h), result is the numbered result code.
 */
void trace_span_end(const struct trace_span *span, int result,
		    const char *attributes_format, ...) G_GNUC_PRINTF(3, 4);

#ifdef __cplusplus
}
#endif

#endif
