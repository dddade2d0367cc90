#include "adapters/peer_rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <rpc/rpc.h>

#include "adapters/metrics.h"
#include "adapters/peer_codec.h"
#include "adapters/peer_record.h"
#include "core/result.h"

#define US_PER_MS 1000
#define BACKLOG 128
#define ACCEPT_PAUSE_US (100 * US_PER_MS)
/* Slots of the poll set before the connections. */
#define POLL_WAKE 0
#define POLL_LISTEN 1
#define POLL_CONNECTIONS 2

/* One peer's connection: it sends a call, then takes the answer. */
struct connection {
	int fd;
	struct peer_record call;
	GByteArray *answer; /* NULL: none to send */
	size_t sent;
	int64_t since_us; /* start of this call, of this answer or of idling */
	bool ended;
};

struct peer_server {
	struct peer_handler handler;
	struct peer_server_limits limits;
	int listen_fd;
	int wake_fd; /* readable once the server is to end */
	uint16_t port;
	pthread_t thread;
	/* The thread's own */
	GPtrArray *connections;
	size_t held_bytes; /* in calls and answers under way */
	int64_t accept_after_us;
	struct metric *calls;
	struct metric *refused;
	struct metric *open;
};

static const struct peer_server_limits default_limits = {
	.connections = 256,
	.held_bytes = 64 * 1024 * 1024,
	.idle_us = 60 * G_USEC_PER_SEC,
	.stall_us = 10 * G_USEC_PER_SEC,
};

static size_t count_held(const struct connection *connection)
{
	return connection->call.data->len +
	       (connection->answer ? connection->answer->len : 0);
}

static void connection_free(gpointer data)
{
	struct connection *connection = data;

	close(connection->fd);
	peer_record_release(&connection->call);
	if (connection->answer)
		g_byte_array_free(connection->answer, TRUE);
	g_free(connection);
}

static void drop_connection(struct peer_server *server, guint index)
{
	server->held_bytes -= count_held(server->connections->pdata[index]);
	g_ptr_array_remove_index(server->connections, index);
	metric_set(server->open, server->connections->len);
}

/*
 * Connections of peers that vanished without a word, or of anyone who only
 * connects, could take all places and shut out the peers that live. The one
 * that has moved nothing for the longest makes place for the new one.
 */
static void make_place(struct peer_server *server)
{
	guint oldest = 0;
	guint i;

	if (server->connections->len < server->limits.connections)
		return;
	for (i = 1; i < server->connections->len; i++) {
		const struct connection *one = server->connections->pdata[i];
		const struct connection *other =
			server->connections->pdata[oldest];

		if (one->since_us < other->since_us)
			oldest = i;
	}
	metric_add(server->refused, 1);
	drop_connection(server, oldest);
}

static void accept_connection(struct peer_server *server, int64_t now_us)
{
	struct connection *connection;
	int on = 1;
	int fd = accept4(server->listen_fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0) {
		/*
		 * Out of descriptors the listening socket stays readable, and
		 * the loop would spin: it is left alone for a while.
		 */
		if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
			server->accept_after_us = now_us + ACCEPT_PAUSE_US;
		return;
	}
	make_place(server);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	connection = g_new0(struct connection, 1);
	connection->fd = fd;
	connection->since_us = now_us;
	peer_record_init(&connection->call, PEER_CALL_MAX_BYTES);
	g_ptr_array_add(server->connections, connection);
	metric_set(server->open, server->connections->len);
}

static GByteArray *answer_exchange(struct peer_server *server,
				   const struct peer_call *call)
{
	struct peer_message answer = { 0 };
	GByteArray *record;

	server->handler.exchange(server->handler.context, &call->message,
				 &answer);
	record = peer_encode_exchange_answer(call->xid, &answer);
	peer_message_release(&answer);
	return record;
}

static GByteArray *answer_config(struct peer_server *server,
				 const struct peer_call *call)
{
	uint64_t version = 0;
	char *text = server->handler.config(server->handler.context,
					    call->newer_than, &version);
	GByteArray *record =
		peer_encode_config_answer(call->xid, version, text);

	g_free(text);
	return record;
}

/* The answer's record, or NULL where there can be none. */
static GByteArray *answer_call(struct peer_server *server,
			       const struct peer_call *call)
{
	GByteArray *record = NULL;

	switch (call->procedure) {
	case PEER_CALL_NOTHING:
		return peer_encode_empty_answer(call->xid, SUCCESS);
	case PEER_CALL_EXCHANGE:
		record = answer_exchange(server, call);
		break;
	case PEER_CALL_CONFIG:
		record = answer_config(server, call);
		break;
	case PEER_CALL_REFUSED:
		metric_add(server->refused, 1);
		return peer_encode_empty_answer(call->xid, call->refusal);
	}
	metric_add(server->calls, 1);
	return record ? record :
			peer_encode_empty_answer(call->xid, SYSTEM_ERR);
}

static void send_answer(struct connection *connection, int64_t now_us)
{
	ssize_t length = send(connection->fd,
			      connection->answer->data + connection->sent,
			      connection->answer->len - connection->sent,
			      MSG_NOSIGNAL);

	if (length < 0) {
		connection->ended = errno != EAGAIN && errno != EINTR;
		return;
	}
	connection->sent += (size_t)length;
	if (connection->sent < connection->answer->len)
		return;
	g_byte_array_free(connection->answer, TRUE);
	connection->answer = NULL;
	connection->since_us = now_us;
}

/* The call is whole: its memory goes before that of the answer comes. */
static void handle_call(struct peer_server *server,
			struct connection *connection, int64_t now_us)
{
	struct peer_call call;
	bool ok = peer_decode_call(connection->call.data, &call);

	peer_record_release(&connection->call);
	peer_record_init(&connection->call, PEER_CALL_MAX_BYTES);
	if (!ok) {
		metric_add(server->refused, 1);
		connection->ended = true;
		return;
	}
	connection->answer = answer_call(server, &call);
	peer_message_release(&call.message);
	connection->sent = 0;
	connection->since_us = now_us;
	connection->ended = !connection->answer;
	if (connection->answer)
		send_answer(connection, now_us);
}

static void receive_call(struct peer_server *server,
			 struct connection *connection, int64_t now_us)
{
	bool was_empty = peer_record_is_empty(&connection->call);

	switch (peer_record_receive(&connection->call, connection->fd)) {
	case PEER_RECORD_COMPLETE:
		handle_call(server, connection, now_us);
		break;
	case PEER_RECORD_BROKEN:
		connection->ended = true;
		break;
	case PEER_RECORD_PARTIAL:
		if (was_empty)
			connection->since_us = now_us;
		break;
	}
}

/*
 * Many peers that each send a large call, or take a large answer slowly, would
 * together take more memory than a small VM has. The one whose step passes the
 * bound on the whole is closed; its peer calls again.
 */
static void serve_connection(struct peer_server *server,
			     struct connection *connection, int64_t now_us)
{
	server->held_bytes -= count_held(connection);
	if (connection->answer)
		send_answer(connection, now_us);
	else
		receive_call(server, connection, now_us);
	server->held_bytes += count_held(connection);
	if (server->held_bytes > server->limits.held_bytes) {
		metric_add(server->refused, 1);
		connection->ended = true;
	}
}

static bool is_idle(const struct connection *connection)
{
	return !connection->answer && peer_record_is_empty(&connection->call);
}

/* A call or an answer under way may take only so long, however it drips. */
static int64_t end_of_patience(const struct peer_server *server,
			       const struct connection *connection)
{
	return connection->since_us + (is_idle(connection) ?
					       server->limits.idle_us :
					       server->limits.stall_us);
}

static void drop_ended(struct peer_server *server, int64_t now_us)
{
	guint i = 0;

	while (i < server->connections->len) {
		const struct connection *connection =
			server->connections->pdata[i];
		bool late = now_us >= end_of_patience(server, connection);

		if (!connection->ended && !late) {
			i++;
			continue;
		}
		if (!connection->ended && !is_idle(connection))
			metric_add(server->refused, 1);
		drop_connection(server, i);
	}
}

static int wait_ms(const struct peer_server *server, int64_t now_us)
{
	int64_t until_us = INT64_MAX;
	guint i;

	if (server->accept_after_us > now_us)
		until_us = server->accept_after_us;
	for (i = 0; i < server->connections->len; i++)
		until_us = MIN(until_us,
			       end_of_patience(server,
					       server->connections->pdata[i]));
	if (until_us == INT64_MAX)
		return -1;
	return (int)(MAX(0, until_us - now_us) / US_PER_MS) + 1;
}

static void fill_poll_set(const struct peer_server *server, GArray *set,
			  int64_t now_us)
{
	struct pollfd wake = { .fd = server->wake_fd, .events = POLLIN };
	struct pollfd accepting = { .fd = server->listen_fd, .events = POLLIN };
	guint i;

	if (server->accept_after_us > now_us)
		accepting.fd = -1;
	g_array_set_size(set, 0);
	g_array_append_val(set, wake);
	g_array_append_val(set, accepting);
	for (i = 0; i < server->connections->len; i++) {
		const struct connection *connection =
			server->connections->pdata[i];
		struct pollfd one = { .fd = connection->fd };

		one.events = connection->answer ? POLLOUT : POLLIN;
		g_array_append_val(set, one);
	}
}

/* Serve all that is ready; false once the server is to end. */
static bool serve_ready(struct peer_server *server, const GArray *set)
{
	const struct pollfd *fds = (const struct pollfd *)set->data;
	int64_t now_us = g_get_monotonic_time();
	guint i;

	if (fds[POLL_WAKE].revents)
		return false;
	for (i = POLL_CONNECTIONS; i < set->len; i++)
		if (fds[i].revents)
			serve_connection(
				server,
				server->connections->pdata[i - POLL_CONNECTIONS],
				now_us);
	drop_ended(server, now_us);
	if (fds[POLL_LISTEN].revents)
		accept_connection(server, now_us);
	return true;
}

static void *run_server(void *data)
{
	struct peer_server *server = data;
	GArray *set = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	bool running = true;

	while (running) {
		int64_t now_us = g_get_monotonic_time();

		fill_poll_set(server, set, now_us);
		if (poll((struct pollfd *)set->data, set->len,
			 wait_ms(server, now_us)) < 0)
			continue; /* EINTR, or ENOMEM for a moment */
		running = serve_ready(server, set);
	}
	g_array_free(set, TRUE);
	return NULL;
}

static int bind_socket(int fd, const char *address, uint16_t port)
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	int on = 1;

	name.sin_port = htons(port);
	if (inet_pton(AF_INET, address, &name.sin_addr) != 1)
		return EINVAL;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (struct sockaddr *)&name, sizeof(name)) ||
	    listen(fd, BACKLOG))
		return errno;
	return 0;
}

static int open_listener(struct peer_server *server, const char *address,
			 uint16_t port)
{
	struct sockaddr_in name = { 0 };
	socklen_t size = sizeof(name);
	int failure;

	server->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (server->listen_fd < 0)
		return errno;
	failure = bind_socket(server->listen_fd, address, port);
	if (failure)
		return failure;
	if (getsockname(server->listen_fd, (struct sockaddr *)&name, &size))
		return errno;
	server->port = ntohs(name.sin_port);
	server->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return server->wake_fd < 0 ? errno : 0;
}

static void open_metrics(struct peer_server *server)
{
	server->calls = metric_counter("lilacfield_peer_calls_total",
				       "Calls of peers that were answered.",
				       NULL);
	server->refused = metric_counter("lilacfield_peer_refused_total",
					 "Calls and connections of peers that "
					 "were malformed, stalled or beyond a "
					 "bound.",
					 NULL);
	server->open = metric_gauge("lilacfield_peer_connections",
				    "Open connections of peers.", NULL);
}

static void server_free(struct peer_server *server)
{
	if (server->listen_fd >= 0)
		close(server->listen_fd);
	if (server->wake_fd >= 0)
		close(server->wake_fd);
	g_ptr_array_free(server->connections, TRUE);
	g_free(server);
}

static void set_open_error(GError **error, const char *address, uint16_t port,
			   int failure)
{
	g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
		    "peer server on %s:%u: %s", address, port,
		    g_strerror(failure));
}

struct peer_server *peer_server_open_limited(
	const char *address, uint16_t port, const struct peer_handler *handler,
	const struct peer_server_limits *limits, GError **error)
{
	struct peer_server *server = g_new0(struct peer_server, 1);
	int failure;

	server->handler = *handler;
	server->limits = *limits;
	server->listen_fd = -1;
	server->wake_fd = -1;
	server->connections = g_ptr_array_new_with_free_func(connection_free);
	failure = open_listener(server, address, port);
	if (failure) {
		set_open_error(error, address, port, failure);
		server_free(server);
		return NULL;
	}
	open_metrics(server);
	failure = pthread_create(&server->thread, NULL, run_server, server);
	if (!failure)
		return server;
	set_open_error(error, address, port, failure);
	server_free(server);
	return NULL;
}

struct peer_server *peer_server_open(const char *address, uint16_t port,
				     const struct peer_handler *handler,
				     GError **error)
{
	return peer_server_open_limited(address, port, handler, &default_limits,
					error);
}

uint16_t peer_server_port(const struct peer_server *server)
{
	return server->port;
}

void peer_server_close(struct peer_server *server)
{
	uint64_t one = 1;

	if (!server)
		return;
	/* An eventfd takes this count always. */
	(void)!write(server->wake_fd, &one, sizeof(one));
	pthread_join(server->thread, NULL);
	server_free(server);
}
