#include "edge/wire.h"

/* Maximum of one read: several requests, or a large part of an answer. */
#define READ_BYTES (32 * 1024)

struct write_request {
	uv_write_t request;
	GString *text;
	wire_written written;
	void *context;
};

void wire_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[READ_BYTES];

	(void)handle;
	(void)suggested;
	buffer->base = bytes;
	buffer->len = sizeof(bytes);
}

static void on_written(uv_write_t *request, int status)
{
	struct write_request *write = request->data;

	if (write->written)
		write->written(write->context, status);
	g_string_free(write->text, TRUE);
	g_free(write);
}

void wire_write(uv_stream_t *stream, GString *text, wire_written written,
		void *context)
{
	struct write_request *write = g_new0(struct write_request, 1);
	uv_buf_t buffer = uv_buf_init(text->str, (unsigned)text->len);

	write->request.data = write;
	write->text = text;
	write->written = written;
	write->context = context;
	if (uv_write(&write->request, stream, &buffer, 1, on_written))
		on_written(&write->request, UV_EPIPE);
}
