#include "standins/relay.h"

#include <glib.h>
#include <string.h>

#include "edge/wire.h"

#define BACKLOG 128

struct pair;

/* One side of a connection through the relay. */
struct end {
	uv_tcp_t tcp;
	struct pair *pair;
	bool is_target;
	bool closed; /* it sent its end */
};

struct pair {
	struct relay *relay;
	struct end caller;
	struct end target;
	uv_connect_t connect;
	GList link; /* in relay->pairs */
	uint32_t handles; /* not yet closed */
	uint32_t parcels; /* on their way */
	bool closing;
	bool stale; /* nothing passes any more */
};

struct relay {
	uv_loop_t *loop;
	uv_tcp_t tcp;
	struct endpoint at;
	struct endpoint to;
	enum relay_harm harm;
	GQueue pairs;
	bool closing;
	bool closed; /* the listener's handle is */
};

/* Bytes that are late; without bytes, the end of them. */
struct parcel {
	uv_timer_t timer;
	struct end *to;
	GString *bytes;
};

/* --- ending ------------------------------------------------------------- */

static void free_when_empty(struct relay *relay)
{
	if (relay->closed && !relay->pairs.length)
		g_free(relay);
}

static void free_pair(struct pair *pair)
{
	struct relay *relay = pair->relay;

	if (pair->handles || pair->parcels)
		return;
	g_queue_unlink(&relay->pairs, &pair->link);
	g_free(pair);
	free_when_empty(relay);
}

static void on_end_closed(uv_handle_t *handle)
{
	struct end *end = handle->data;

	end->pair->handles--;
	free_pair(end->pair);
}

static void close_pair(struct pair *pair, bool reset)
{
	struct end *ends[] = { &pair->caller, &pair->target };
	size_t i;

	if (pair->closing)
		return;
	pair->closing = true;
	for (i = 0; i < G_N_ELEMENTS(ends); i++)
		if (!reset || uv_tcp_close_reset(&ends[i]->tcp, on_end_closed))
			uv_close((uv_handle_t *)&ends[i]->tcp, on_end_closed);
}

/* --- passing on --------------------------------------------------------- */

static struct end *other(struct end *end)
{
	return end->is_target ? &end->pair->caller : &end->pair->target;
}

static void on_shut_down(uv_shutdown_t *request, int status)
{
	struct end *end = request->data;

	g_free(request);
	if (status || (end->closed && other(end)->closed))
		close_pair(end->pair, false);
}

static void pass(struct end *to, GString *bytes)
{
	uv_shutdown_t *shutdown;

	if (to->pair->closing) {
		if (bytes)
			g_string_free(bytes, TRUE);
		return;
	}
	if (bytes) {
		wire_write((uv_stream_t *)&to->tcp, bytes, NULL, NULL);
		return;
	}
	shutdown = g_new0(uv_shutdown_t, 1);
	shutdown->data = to;
	if (uv_shutdown(shutdown, (uv_stream_t *)&to->tcp, on_shut_down))
		on_shut_down(shutdown, UV_ENOTCONN);
}

static void on_parcel_closed(uv_handle_t *handle)
{
	struct parcel *parcel = handle->data;
	struct pair *pair = parcel->to->pair;

	g_free(parcel);
	pair->parcels--;
	free_pair(pair);
}

static void on_parcel_due(uv_timer_t *timer)
{
	struct parcel *parcel = timer->data;

	pass(parcel->to, parcel->bytes);
	uv_close((uv_handle_t *)timer, on_parcel_closed);
}

static void pass_late(struct end *to, GString *bytes)
{
	struct parcel *parcel = g_new0(struct parcel, 1);

	parcel->to = to;
	parcel->bytes = bytes;
	to->pair->parcels++;
	uv_timer_init(to->pair->relay->loop, &parcel->timer);
	parcel->timer.data = parcel;
	uv_timer_start(&parcel->timer, on_parcel_due, RELAY_DELAY_MS, 0);
}

static bool is_lost(const struct end *to)
{
	switch (to->pair->relay->harm) {
	case RELAY_CUT:
		return true;
	case RELAY_CUT_THERE:
		return to->is_target;
	case RELAY_CUT_BACK:
		return !to->is_target;
	default:
		return to->pair->stale;
	}
}

static void forward(struct end *to, GString *bytes)
{
	/* What was lost can't be made up for: the rest would be other bytes. */
	if (is_lost(to))
		to->pair->stale = true;
	if (to->pair->stale) {
		if (bytes)
			g_string_free(bytes, TRUE);
	} else if (to->pair->relay->harm == RELAY_DELAY || to->pair->parcels) {
		pass_late(to, bytes);
	} else {
		pass(to, bytes);
	}
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct end *from = stream->data;

	if (from->pair->closing || !count)
		return;
	if (count > 0) {
		forward(other(from), g_string_new_len(buffer->base, count));
	} else if (count == UV_EOF) {
		from->closed = true;
		uv_read_stop(stream);
		forward(other(from), NULL);
		if (other(from)->closed)
			close_pair(from->pair, false);
	} else {
		close_pair(from->pair, true);
	}
}

/* --- connections -------------------------------------------------------- */

static void on_connected(uv_connect_t *request, int status)
{
	struct pair *pair = request->data;

	if (pair->closing)
		return;
	if (status) {
		close_pair(pair, true);
		return;
	}
	uv_read_start((uv_stream_t *)&pair->caller.tcp, wire_buffer, on_read);
	uv_read_start((uv_stream_t *)&pair->target.tcp, wire_buffer, on_read);
}

static void init_end(struct end *end, struct pair *pair, bool is_target)
{
	end->pair = pair;
	end->is_target = is_target;
	uv_tcp_init(pair->relay->loop, &end->tcp);
	end->tcp.data = end;
	pair->handles++;
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct relay *relay = stream->data;
	struct sockaddr_in to;
	struct pair *pair;

	if (status)
		return;
	pair = g_new0(struct pair, 1);
	pair->relay = relay;
	pair->link.data = pair;
	pair->connect.data = pair;
	g_queue_push_tail_link(&relay->pairs, &pair->link);
	init_end(&pair->caller, pair, false);
	init_end(&pair->target, pair, true);
	uv_ip4_addr(relay->to.address, relay->to.port, &to);
	if (uv_accept(stream, (uv_stream_t *)&pair->caller.tcp) ||
	    uv_tcp_connect(&pair->connect, &pair->target.tcp,
			   (const struct sockaddr *)&to, on_connected))
		close_pair(pair, false);
}

static bool listen_at(struct relay *relay, const struct endpoint *at)
{
	struct sockaddr_in address;
	int length = sizeof(address);

	uv_ip4_addr(at->address, at->port, &address);
	if (uv_tcp_bind(&relay->tcp, (const struct sockaddr *)&address, 0) ||
	    uv_listen((uv_stream_t *)&relay->tcp, BACKLOG, on_connection) ||
	    uv_tcp_getsockname(&relay->tcp, (struct sockaddr *)&address,
			       &length))
		return false;
	relay->at = *at;
	relay->at.port = ntohs(address.sin_port);
	return true;
}

static void on_relay_closed(uv_handle_t *handle)
{
	struct relay *relay = handle->data;

	relay->closed = true;
	free_when_empty(relay);
}

struct relay *relay_open(uv_loop_t *loop, const struct endpoint *at,
			 const struct endpoint *to)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->loop = loop;
	relay->to = *to;
	g_queue_init(&relay->pairs);
	uv_tcp_init(loop, &relay->tcp);
	relay->tcp.data = relay;
	if (listen_at(relay, at))
		return relay;
	relay_close(relay);
	return NULL;
}

static void close_each(gpointer data, gpointer unused)
{
	(void)unused;
	close_pair(data, true);
}

void relay_close(struct relay *relay)
{
	relay->closing = true;
	g_queue_foreach(&relay->pairs, close_each, NULL);
	uv_close((uv_handle_t *)&relay->tcp, on_relay_closed);
}

const struct endpoint *relay_at(const struct relay *relay)
{
	return &relay->at;
}

static void make_stale(gpointer data, gpointer unused)
{
	struct pair *pair = data;

	(void)unused;
	pair->stale = true;
}

void relay_set(struct relay *relay, enum relay_harm harm)
{
	relay->harm = harm;
	if (harm == RELAY_RESET)
		g_queue_foreach(&relay->pairs, close_each, NULL);
	if (harm == RELAY_STALE)
		g_queue_foreach(&relay->pairs, make_stale, NULL);
}

uint32_t relay_connections(const struct relay *relay)
{
	return relay->pairs.length;
}
