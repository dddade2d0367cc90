#include "standins/relay.h"

#include <glib.h>
#include <linux/filter.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/wire.h"

#define BACKLOG 128

/* A narrow link is served each so often, its connections a part in turn. */
#define PIECE_MS 10
#define PART_BYTES 4096

struct pair;

/* One side of a connection through the relay. */
struct end {
	uv_tcp_t tcp;
	struct pair *pair;
	bool is_target;
	bool closed; /* it sent its end */
	GString *queue; /* bytes for it that a narrow link holds, or NULL */
	size_t passed; /* of these */
	bool ends; /* after them: the other side sent its end */
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
	bool silent; /* nothing passes for now */
};

struct relay {
	uv_loop_t *loop;
	uv_tcp_t tcp;
	struct endpoint at;
	struct endpoint to;
	enum relay_harm harm;
	uint64_t bytes_per_s; /* of a narrow link */
	uv_timer_t pieces; /* of what it holds */
	uint64_t served_ms; /* uv_now() up to which its time is used */
	GQueue pairs;
	bool closing;
	bool closed; /* all handles but the pairs' are */
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
	if (pair->caller.queue)
		g_string_free(pair->caller.queue, TRUE);
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

static size_t held_bytes(const struct end *to)
{
	return to->queue ? to->queue->len - to->passed : 0;
}

/* Pass on at most so many of the bytes that are held; returns how many. */
static size_t pass_part(struct end *to, size_t most)
{
	size_t length = MIN(held_bytes(to), most);

	if (!length || to->pair->closing || to->pair->stale)
		return 0;
	pass(to, g_string_new_len(to->queue->str + to->passed, (gssize)length));
	to->passed += length;
	if (held_bytes(to))
		return length;
	g_string_truncate(to->queue, 0);
	to->passed = 0;
	if (to->ends)
		pass(to, NULL);
	return length;
}

static void on_piece(uv_timer_t *timer)
{
	struct relay *relay = timer->data;
	uint64_t now_ms = uv_now(relay->loop);
	size_t left = relay->bytes_per_s * (now_ms - relay->served_ms) / 1000;
	size_t before;
	GList *link;

	relay->served_ms = now_ms;
	do {
		before = left;
		for (link = relay->pairs.head; link && left; link = link->next)
			left -= pass_part(&((struct pair *)link->data)->caller,
					  MIN(left, PART_BYTES));
	} while (left && left < before);
	/* The link had nothing left to bring. */
	if (left)
		uv_timer_stop(timer);
}

static void pass_narrow(struct end *to, GString *bytes)
{
	struct relay *relay = to->pair->relay;

	if (!to->queue)
		to->queue = g_string_new(NULL);
	if (bytes) {
		g_string_append_len(to->queue, bytes->str, (gssize)bytes->len);
		g_string_free(bytes, TRUE);
	} else if (held_bytes(to)) {
		to->ends = true;
	} else {
		pass(to, NULL);
	}
	if (uv_is_active((uv_handle_t *)&relay->pieces))
		return;
	relay->served_ms = uv_now(relay->loop);
	uv_timer_start(&relay->pieces, on_piece, PIECE_MS, PIECE_MS);
}

/* Bytes over a narrow link, and what follows those that it holds. */
static bool is_narrow(const struct end *to)
{
	if (held_bytes(to))
		return true;
	return to->pair->relay->harm == RELAY_NARROW && !to->is_target;
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
	} else if (is_narrow(to)) {
		pass_narrow(to, bytes);
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

/* The target sees the caller's address, as it would without the relay. */
static void bind_as_caller(struct pair *pair)
{
	struct sockaddr_in from;
	int length = sizeof(from);

	if (uv_tcp_getpeername(&pair->caller.tcp, (struct sockaddr *)&from,
			       &length))
		return;
	from.sin_port = 0;
	uv_tcp_bind(&pair->target.tcp, (const struct sockaddr *)&from, 0);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct relay *relay = stream->data;
	struct sockaddr_in to;
	int failed;
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
	failed = uv_accept(stream, (uv_stream_t *)&pair->caller.tcp);
	if (!failed)
		bind_as_caller(pair);
	if (failed ||
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

static void on_pieces_closed(uv_handle_t *handle)
{
	struct relay *relay = handle->data;

	relay->closed = true;
	free_when_empty(relay);
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct relay *relay = handle->data;

	uv_close((uv_handle_t *)&relay->pieces, on_pieces_closed);
}

struct relay *relay_open(uv_loop_t *loop, const struct endpoint *at,
			 const struct endpoint *to)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->loop = loop;
	relay->to = *to;
	g_queue_init(&relay->pairs);
	uv_timer_init(loop, &relay->pieces);
	relay->pieces.data = relay;
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
	uv_close((uv_handle_t *)&relay->tcp, on_listener_closed);
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

void relay_narrow(struct relay *relay, uint64_t bytes_per_s)
{
	relay->bytes_per_s = bytes_per_s;
	relay_set(relay, RELAY_NARROW);
}

static bool comes_from(const struct pair *pair, const char *address)
{
	struct sockaddr_in from;
	int length = sizeof(from);
	char text[INET_ADDRSTRLEN];

	return !uv_tcp_getpeername(&pair->caller.tcp, (struct sockaddr *)&from,
				   &length) &&
	       !uv_ip4_name(&from, text, sizeof(text)) &&
	       !strcmp(text, address);
}

void relay_reset_caller(struct relay *relay, const char *address)
{
	GList *next;
	GList *at;

	for (at = relay->pairs.head; at; at = next) {
		next = at->next;
		if (comes_from(at->data, address))
			close_pair(at->data, true);
	}
}

/* The kernel drops what comes, acknowledgements too. */
static void drop_packets(const struct pair *pair, bool drop)
{
	struct sock_filter none = BPF_STMT(BPF_RET | BPF_K, 0);
	const struct sock_fprog program = { 1, &none };
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&pair->caller.tcp, &fd))
		return;
	if (setsockopt(fd, SOL_SOCKET,
		       drop ? SO_ATTACH_FILTER : SO_DETACH_FILTER, &program,
		       sizeof(program)))
		g_error("relay: packets can't be dropped");
}

static void silence_pair(struct pair *pair, bool silent)
{
	uv_stream_t *streams[] = { (uv_stream_t *)&pair->caller.tcp,
				   (uv_stream_t *)&pair->target.tcp };
	size_t i;

	if (pair->closing || pair->silent == silent)
		return;
	pair->silent = silent;
	drop_packets(pair, silent);
	for (i = 0; i < G_N_ELEMENTS(streams); i++)
		if (silent)
			uv_read_stop(streams[i]);
		else
			uv_read_start(streams[i], wire_buffer, on_read);
}

void relay_silence_caller(struct relay *relay, const char *address, bool silent)
{
	GList *at;

	for (at = relay->pairs.head; at; at = at->next)
		if (comes_from(at->data, address))
			silence_pair(at->data, silent);
}

uint32_t relay_connections(const struct relay *relay)
{
	return relay->pairs.length;
}
