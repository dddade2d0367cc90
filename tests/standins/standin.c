#include "standins/standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>

#include "core/build_options.h"
#include "core/result.h"

#define KEEP_ALIVE_MS "60000"
#define PORT_MAX 65535

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

static int highest_fd(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return 1024;
	return (int)limit.rlim_cur;
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

struct mg_context *standin_listen(const struct standin_endpoint *endpoint,
				  uint32_t threads, mg_request_handler handler,
				  void *data, GError **error)
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
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *server;

	snprintf(ports, sizeof(ports), "%s:%u", endpoint->address,
		 endpoint->port);
	snprintf(thread_count, sizeof(thread_count), "%u", threads);
	server = mg_start(&callbacks, data, options);
	if (!server) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "can't listen on %s", ports);
		return NULL;
	}
	mg_set_request_handler(server, "/", handler, data);
	return server;
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

/*
 * CivetWeb keeps the socket to itself, but a stand-in needs it to notice that
 * its peer gave up and to close without an answer. The pair of peer and own
 * port names one socket of this process, so a search finds the right one.
 */
int standin_socket(const struct mg_connection *conn)
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
