#include "edge/wire.h"

#include <stdbool.h>

#include "edge/byte_budget.h"

struct write_request {
	uv_write_t request;
	GString *text;
	GByteArray *body; /* holds a reference; NULL: none */
	wire_written written;
	void *context;
};

void wire_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/* Several requests, or a large part of an answer. */
	static char bytes[BYTE_READ_MAX];

	(void)handle;
	(void)suggested;
	buffer->base = bytes;
	buffer->len = sizeof(bytes);
}

static void on_written(uv_write_t *request, int status)
{
	struct write_request *write = request->data;
	size_t bytes = write->text->len + (write->body ? write->body->len : 0);

	g_string_free(write->text, TRUE);
	if (write->body)
		g_byte_array_unref(write->body);
	if (write->written)
		write->written(write->context, status, bytes);
	g_free(write);
}

void wire_write(uv_stream_t *stream, GString *text, wire_written written,
		void *context)
{
	wire_write_with_body(stream, text, NULL, written, context);
}

void wire_write_with_body(uv_stream_t *stream, GString *text, GByteArray *body,
			  wire_written written, void *context)
{
	struct write_request *write = g_new0(struct write_request, 1);
	bool has_body = body && body->len;
	const uv_buf_t buffers[] = {
		uv_buf_init(text->str, (unsigned)text->len),
		uv_buf_init(has_body ? (char *)body->data : NULL,
			    has_body ? body->len : 0),
	};

	write->request.data = write;
	write->text = text;
	write->body = has_body ? g_byte_array_ref(body) : NULL;
	write->written = written;
	write->context = context;
	if (uv_write(&write->request, stream, buffers, has_body ? 2 : 1,
		     on_written))
		on_written(&write->request, UV_EPIPE);
}
