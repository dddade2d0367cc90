#include "standins/http_stand.h"

#include <stdio.h>
#include <string.h>

#include "edge/wire.h"

static const struct message_limits limits = { 256 * 1024, 64 * 1024 * 1024 };

struct http_stand {
	uv_tcp_t tcp;
	uv_loop_t *loop;
	struct endpoint at;
	const struct http_stand_events *events;
	void *context;
	GPtrArray *conns;
	bool silent;
};

struct stand_conn {
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	struct http_stand *stand;
	struct message_reader reader;
	GByteArray *ahead;
	struct http_call *call; /* that isn't answered yet */
	bool closing;
};

static void on_closed(uv_handle_t *handle)
{
	struct stand_conn *conn = handle->data;

	message_reader_release(&conn->reader);
	g_byte_array_unref(conn->ahead);
	g_free(conn);
}

static void conn_close(struct stand_conn *conn, bool reset)
{
	struct http_call *call = conn->call;

	if (conn->closing)
		return;
	conn->closing = true;
	conn->call = NULL;
	g_ptr_array_remove(conn->stand->conns, conn);
	if (call) {
		call->conn = NULL;
		if (conn->stand->events->left)
			conn->stand->events->left(conn->stand->context, call);
	}
	if (!reset || uv_tcp_close_reset(&conn->tcp, on_closed))
		uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void take_request(struct stand_conn *conn)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->request = message_reader_take(&conn->reader);
	call->conn = conn;
	message_reader_next(&conn->reader, false);
	conn->call = call;
	conn->stand->events->called(conn->stand->context, call);
}

static void feed(struct stand_conn *conn)
{
	while (conn->ahead->len && !conn->call && !conn->closing &&
	       !conn->stand->silent) {
		size_t used = 0;
		enum message_state state = message_reader_feed(
			&conn->reader, (const char *)conn->ahead->data,
			conn->ahead->len, &used);

		g_byte_array_remove_range(conn->ahead, 0, (guint)used);
		if (state == MESSAGE_COMPLETE)
			take_request(conn);
		else if (state != MESSAGE_PARTIAL)
			conn_close(conn, true);
	}
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct stand_conn *conn = stream->data;

	if (conn->closing || !count)
		return;
	if (count < 0) {
		conn_close(conn, false);
		return;
	}
	g_byte_array_append(conn->ahead, (const guint8 *)buffer->base,
			    (guint)count);
	feed(conn);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct http_stand *stand = stream->data;
	struct stand_conn *conn = g_new0(struct stand_conn, 1);

	conn->stand = stand;
	conn->ahead = g_byte_array_new();
	message_reader_init(&conn->reader, HTTP_REQUEST, &limits);
	uv_tcp_init(stand->loop, &conn->tcp);
	conn->tcp.data = conn;
	g_ptr_array_add(stand->conns, conn);
	if (status || uv_accept(stream, (uv_stream_t *)&conn->tcp) ||
	    uv_read_start((uv_stream_t *)&conn->tcp, wire_buffer, on_read))
		conn_close(conn, false);
	else
		uv_tcp_nodelay(&conn->tcp, 1);
}

struct http_stand *http_stand_open(uv_loop_t *loop, const struct endpoint *at,
				   const struct http_stand_events *events,
				   void *context)
{
	struct http_stand *stand = g_new0(struct http_stand, 1);
	struct sockaddr_in address;
	int length = sizeof(address);

	stand->loop = loop;
	stand->at = *at;
	stand->events = events;
	stand->context = context;
	stand->conns = g_ptr_array_new();
	uv_tcp_init(loop, &stand->tcp);
	stand->tcp.data = stand;
	uv_ip4_addr(at->address, at->port, &address);
	if (uv_tcp_bind(&stand->tcp, (const struct sockaddr *)&address, 0) ||
	    uv_listen((uv_stream_t *)&stand->tcp, 512, on_connection)) {
		uv_close((uv_handle_t *)&stand->tcp, NULL);
		return NULL;
	}
	uv_tcp_getsockname(&stand->tcp, (struct sockaddr *)&address, &length);
	stand->at.port = ntohs(address.sin_port);
	return stand;
}

const struct endpoint *http_stand_at(const struct http_stand *stand)
{
	return &stand->at;
}

static void on_stand_closed(uv_handle_t *handle)
{
	struct http_stand *stand = handle->data;

	/* Connections that are still open keep what they point to. */
	if (stand->conns->len)
		return;
	g_ptr_array_unref(stand->conns);
	g_free(stand);
}

void http_stand_reset_connections(struct http_stand *stand)
{
	while (stand->conns->len)
		conn_close(stand->conns->pdata[0], true);
}

void http_stand_close(struct http_stand *stand, bool reset)
{
	while (stand->conns->len)
		conn_close(stand->conns->pdata[0], reset);
	uv_close((uv_handle_t *)&stand->tcp, on_stand_closed);
}

void http_stand_silence(struct http_stand *stand, bool silent)
{
	guint i;

	stand->silent = silent;
	for (i = stand->conns->len; !silent && i > 0; i--)
		feed(stand->conns->pdata[i - 1]);
}

uint32_t http_stand_connections(const struct http_stand *stand)
{
	return stand->conns->len;
}

void http_call_address(const struct http_call *call, char *address, size_t size)
{
	struct sockaddr_in from;
	int length = sizeof(from);

	*address = '\0';
	if (!call->conn ||
	    uv_tcp_getpeername(&call->conn->tcp, (struct sockaddr *)&from,
			       &length))
		return;
	uv_ip4_name(&from, address, size);
}

static void call_free(struct http_call *call)
{
	message_free(call->request);
	g_free(call);
}

void http_call_write(struct http_call *call, const char *bytes, size_t length)
{
	if (call->conn)
		wire_write((uv_stream_t *)&call->conn->tcp,
			   g_string_new_len(bytes, (gssize)length), NULL, NULL);
}

void http_call_end(struct http_call *call)
{
	struct stand_conn *conn = call->conn;

	call_free(call);
	if (!conn)
		return;
	conn->call = NULL;
	feed(conn);
}

static void on_shut_down(uv_shutdown_t *request, int status)
{
	struct stand_conn *conn = request->data;

	(void)status;
	conn_close(conn, false);
}

void http_call_close(struct http_call *call, bool reset)
{
	struct stand_conn *conn = call->conn;

	call_free(call);
	if (!conn)
		return;
	conn->call = NULL;
	if (reset) {
		conn_close(conn, true);
		return;
	}
	conn->shutdown.data = conn;
	if (uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp,
			on_shut_down))
		conn_close(conn, false);
}

void http_call_answer(struct http_call *call, unsigned status,
		      const char *headers, const char *body, size_t length)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text, "HTTP/1.1 %u %s\r\n%sContent-Length: %zu\r\n\r\n", status,
		http_status_str((enum http_status)status),
		headers ? headers : "", length);
	if (call->request->method != HTTP_HEAD)
		g_string_append_len(text, body, (gssize)length);
	http_call_write(call, text->str, text->len);
	g_string_free(text, TRUE);
	http_call_end(call);
}
