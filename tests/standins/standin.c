#include "standins/standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>

#include "core/build_options.h"
#include "core/result.h"
#include "standins/event_log.h"

#define KEEP_ALIVE_MS "60000"
#define PORT_MAX 65535
#define FD_NOT_SEARCHED (-2)

struct connection {
	int fd; /* guarded by the server's lock; -1: not found */
	uint64_t opened_us;
};

struct standin_server {
	struct mg_context *context;
	int listener; /* -1: not found */
	pthread_mutex_t lock;
	GHashTable *connections; /* set of struct connection */
};

static const char *status_text(int status)
{
	return mg_get_response_code_text(NULL, status);
}

static bool is_ipv4_peer(int fd, const struct in_addr *address, int port)
{
	struct sockaddr_in peer = { 0 };
	socklen_t len = sizeof(peer);

	if (getpeername(fd, (struct sockaddr *)&peer, &len))
		return false;
	return peer.sin_family == AF_INET &&
	       peer.sin_addr.s_addr == address->s_addr &&
	       ntohs(peer.sin_port) == port;
}

static bool is_ipv4_local_port(int fd, int port)
{
	struct sockaddr_in local = { 0 };
	socklen_t len = sizeof(local);

	if (getsockname(fd, (struct sockaddr *)&local, &len))
		return false;
	return ntohs(local.sin_port) == port;
}

static bool is_listener(int fd, const struct in_addr *address, int port)
{
	struct sockaddr_in local = { 0 };
	socklen_t len = sizeof(local);
	int listens = 0;
	socklen_t listens_len = sizeof(listens);

	if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_len) ||
	    !listens)
		return false;
	if (getsockname(fd, (struct sockaddr *)&local, &len))
		return false;
	return local.sin_addr.s_addr == address->s_addr &&
	       ntohs(local.sin_port) == port;
}

static int highest_fd(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return 1024;
	return (int)limit.rlim_cur;
}

/*
 * CivetWeb keeps the socket to itself, but a stand-in needs it to notice that
 * its peer gave up and to close without an answer. The pair of peer and own
 * port names one socket of this process, so a search finds the right one.
 */
static int find_socket(const struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct in_addr address;
	int most = highest_fd();
	int fd;

	if (inet_pton(AF_INET, info->remote_addr, &address) != 1)
		return -1;
	for (fd = 0; fd < most; fd++)
		if (is_ipv4_peer(fd, &address, info->remote_port) &&
		    is_ipv4_local_port(fd, info->server_port))
			return fd;
	return -1;
}

/* The socket that listens at the endpoint, or -1. */
static int find_listener(const struct standin_endpoint *endpoint)
{
	struct in_addr address;
	int most = highest_fd();
	int fd;

	if (inet_pton(AF_INET, endpoint->address, &address) != 1)
		return -1;
	for (fd = 0; fd < most; fd++)
		if (is_listener(fd, &address, endpoint->port))
			return fd;
	return -1;
}

static struct standin_server *server_of(const struct mg_connection *conn)
{
	return mg_get_user_data(mg_get_context(conn));
}

static int open_connection(const struct mg_connection *conn, void **conn_data)
{
	struct standin_server *server = server_of(conn);
	struct connection *connection = g_new0(struct connection, 1);

	connection->fd = FD_NOT_SEARCHED;
	connection->opened_us = event_now_us();
	pthread_mutex_lock(&server->lock);
	g_hash_table_add(server->connections, connection);
	pthread_mutex_unlock(&server->lock);
	*conn_data = connection;
	return 0;
}

/* Called before the socket is closed, while its number is still its own. */
static void forget_connection(const struct mg_connection *conn)
{
	struct standin_server *server = server_of(conn);
	struct connection *connection = mg_get_user_connection_data(conn);

	if (!connection)
		return;
	pthread_mutex_lock(&server->lock);
	g_hash_table_remove(server->connections, connection);
	pthread_mutex_unlock(&server->lock);
	g_free(connection);
}

/* CivetWeb's own messages tell of peers that gave up, which tests do often. */
static int drop_message(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

static void cut_connections(struct standin_server *server)
{
	GHashTableIter iter;
	void *key;

	pthread_mutex_lock(&server->lock);
	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct connection *connection = key;

		if (connection->fd >= 0)
			shutdown(connection->fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&server->lock);
}

static void release_server(struct standin_server *server)
{
	g_hash_table_unref(server->connections);
	pthread_mutex_destroy(&server->lock);
	g_free(server);
}

bool standin_parse_endpoint(const char *text, struct standin_endpoint *endpoint)
{
	struct in_addr address;
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(endpoint->address))
		return false;
	g_strlcpy(endpoint->address, text, (size_t)(colon - text) + 1);
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 1 || port > PORT_MAX)
		return false;
	endpoint->port = (uint16_t)port;
	return inet_pton(AF_INET, endpoint->address, &address) == 1;
}

struct standin_server *
standin_server_open(const struct standin_endpoint *endpoint, uint32_t threads,
		    mg_request_handler handler, void *data, GError **error)
{
	char ports[STANDIN_ADDRESS_SIZE + 8];
	char thread_count[16];
	const char *options[] = {
		"listening_ports",
		ports,
		"num_threads",
		thread_count,
		"tcp_nodelay",
		"1",
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		KEEP_ALIVE_MS,
		"request_timeout_ms",
		KEEP_ALIVE_MS,
		NULL,
	};
	struct mg_callbacks callbacks = {
		.init_connection = open_connection,
		.connection_close = forget_connection,
		.log_message = drop_message,
	};
	struct standin_server *server = g_new0(struct standin_server, 1);

	pthread_mutex_init(&server->lock, NULL);
	server->connections = g_hash_table_new(NULL, NULL);
	snprintf(ports, sizeof(ports), "%s:%u", endpoint->address,
		 endpoint->port);
	snprintf(thread_count, sizeof(thread_count), "%u", threads);
	server->context = mg_start(&callbacks, server, options);
	if (!server->context) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "can't listen on %s", ports);
		release_server(server);
		return NULL;
	}
	server->listener = find_listener(endpoint);
	mg_set_request_handler(server->context, "/", handler, data);
	return server;
}

void standin_server_close(struct standin_server *server)
{
	if (!server)
		return;
	/* Refuses at once, and wakes CivetWeb's thread from its long poll. */
	if (server->listener >= 0)
		shutdown(server->listener, SHUT_RDWR);
	cut_connections(server);
	mg_stop(server->context);
	release_server(server);
}

char *standin_read_body(struct mg_connection *conn, size_t *bytes)
{
	GByteArray *body = g_byte_array_new();
	uint8_t part[4096];
	int got;

	while ((got = mg_read(conn, part, sizeof(part))) > 0) {
		g_byte_array_append(body, part, (guint)got);
		if (body->len > CONFIG_MAX_BYTES)
			break;
	}
	if (got != 0) {
		g_byte_array_free(body, TRUE);
		return NULL;
	}
	*bytes = body->len;
	g_byte_array_append(body, (const guint8 *)"", 1);
	return (char *)g_byte_array_free(body, FALSE);
}

int standin_answer(struct mg_connection *conn, int status, const char *headers,
		   const char *content_type, const void *body, size_t bytes)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"HTTP/1.1 %d %s\r\n"
			"Content-Type: %s\r\n"
			"Content-Length: %zu\r\n"
			"%s\r\n",
			status, status_text(status), content_type, bytes,
			headers ? headers : "");
	g_string_append_len(text, body, (gssize)bytes);
	mg_write(conn, text->str, text->len);
	g_string_free(text, TRUE);
	return status;
}

int standin_answer_json(struct mg_connection *conn, int status,
			const char *headers, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	standin_answer(conn, status, headers, "application/json", text,
		       strlen(text));
	free(text);
	return status;
}

int standin_socket(const struct mg_connection *conn)
{
	struct connection *connection = mg_get_user_connection_data(conn);
	struct standin_server *server = server_of(conn);
	int fd;

	if (!connection)
		return -1;
	pthread_mutex_lock(&server->lock);
	/* CivetWeb tells the peer's port from the first request on. */
	if (connection->fd == FD_NOT_SEARCHED)
		connection->fd = find_socket(conn);
	fd = connection->fd;
	pthread_mutex_unlock(&server->lock);
	return fd;
}

uint64_t standin_opened_us(const struct mg_connection *conn)
{
	const struct connection *connection = mg_get_user_connection_data(conn);

	return connection ? connection->opened_us : 0;
}

int standin_drop(struct mg_connection *conn)
{
	int fd = standin_socket(conn);

	if (fd >= 0)
		shutdown(fd, SHUT_RDWR);
	return 500;
}

bool standin_wait_open(int fd, uint64_t wait_us)
{
	struct pollfd item = { .fd = fd, .events = POLLRDHUP };
	struct timespec wait = {
		.tv_sec = (time_t)(wait_us / 1000000),
		.tv_nsec = (long)(wait_us % 1000000) * 1000,
	};

	/* A negative fd is skipped by poll, which then only sleeps. */
	return ppoll(&item, 1, &wait, NULL) <= 0;
}

void standin_block_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void standin_wait_for_signal(void)
{
	sigset_t signals;
	int which;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigwait(&signals, &which);
}
