/*
 * unframed - a backend server's answer that ends with its connection, on its
 * way to a client that reads slowly, while the node's process is killed
 */
#define _GNU_SOURCE
#include "stand.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_BYTES 540000
#define HOST "media.example"
#define ID "i-7f3a91c2"

/* The client takes so much at a time, and so often. */
#define PIECE_BYTES 8192
#define PIECE_MS 20

/* The node is killed once the client has so much. */
#define KILL_BYTES 100000

static int server_fd;
static int server_port;
static char body[BODY_BYTES];

static void *serve(void *context)
{
	int fd = (int)(intptr_t)context;
	struct http request;
	char attempt[64];
	char head[512];
	char rest[64];

	if (http_read_request(fd, &request) &&
	    http_header(&request, "Lilacfield-Attempt-Id", attempt,
			sizeof(attempt))) {
		record("server: runs %s", attempt);
		sleep_ms(50);
		snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nLilacfield-Attempt-Id: %s\r\n"
			 "Lilacfield-Response-Seal: 3e1b.07.5a2.600.0.c9f2\r\n"
			 "Connection: close\r\n\r\n",
			 attempt);
		if (send_all(fd, head, strlen(head)) &&
		    send_all(fd, body, sizeof(body)))
			record("server: answered %s, 200, %d bytes of body, "
			       "ended by the end of the connection",
			       attempt, BODY_BYTES);
		shutdown(fd, SHUT_WR);
		while (recv(fd, rest, sizeof(rest), 0) > 0)
			;
	}
	http_release(&request);
	close(fd);
	return NULL;
}

static void *accept_servers(void *context)
{
	(void)context;
	for (;;) {
		int fd = accept(server_fd, NULL, NULL);
		pthread_t thread;

		if (fd >= 0 && !pthread_create(&thread, NULL, serve,
					       (void *)(intptr_t)fd))
			pthread_detach(thread);
	}
	return NULL;
}

static void write_rows(void)
{
	char row[512];

	store_put("op", "config",
		  "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
		  "\"prefix\",\"service\",\"kind\",\"timeout\","
		  "\"target_latency\",\"max_attempts\",\"priority\"],\"rows\":"
		  "[[\"media-pack\",\"" HOST "\",\"/media/\",\"advisory-hub\","
		  "\"download\",\"4000ms\",\"500ms\",2,0]]},"
		  "\"services\":{\"columns\":[\"name\",\"warmup\",\"cold_per_s\","
		  "\"health_path\"],\"rows\":[[\"advisory-hub\",\"0s\",100,"
		  "\"/health\"]]},\"limits\":{\"max_header_bytes\":16384,"
		  "\"max_body_bytes\":1048576,\"header_timeout\":\"3s\","
		  "\"idle_timeout\":\"15s\"}}");
	snprintf(row, sizeof(row),
		 "{\"service\":\"advisory-hub\",\"addr\":\"127.0.0.1:%d\","
		 "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":9,"
		 "\"state\":\"ready\",\"cold_left\":\"0s\",\"seq\":1}",
		 server_port);
	store_put("servers", ID, row);
}

struct answer {
	char bytes[BODY_BYTES + 65536];
	size_t length;
	bool whole_end; /* the connection ended in order */
};

/* Reads as a slow client does; kills the node after some pieces. */
static void read_slowly(int fd, struct node *node, struct answer *answer)
{
	for (;;) {
		ssize_t count = recv(fd, answer->bytes + answer->length,
				     PIECE_BYTES, 0);

		if (count <= 0) {
			answer->whole_end = count == 0;
			record("client: the connection ends %s",
			       count ? strerror(errno) : "in order");
			return;
		}
		answer->length += (size_t)count;
		if (answer->length > KILL_BYTES && trouble &&
		    node->pid) {
			record("the node is killed (SIGKILL); the client has "
			       "%zu bytes",
			       answer->length);
			node_kill(node);
		}
		sleep_ms(PIECE_MS);
		if (answer->length + PIECE_BYTES > sizeof(answer->bytes))
			return;
	}
}

static int judge(const struct answer *answer)
{
	static char text[BODY_BYTES + 65537];
	const char *end;
	size_t got;

	memcpy(text, answer->bytes, answer->length);
	text[answer->length] = '\0';
	end = strstr(text, "\r\n\r\n");
	if (!end) {
		record("client: no whole head");
		return 0;
	}
	got = answer->length - (size_t)(end + 4 - text);
	record("client: head of the answer: %.*s", (int)(end - text), text);
	if (strncmp(text, "HTTP/1.1 200", 12) != 0) {
		record("client: no success");
		return 0;
	}
	if (strcasestr(text, "\r\nContent-Length:") ||
	    strcasestr(text, "\r\nTransfer-Encoding:")) {
		record("client: the head tells where the body ends; %zu bytes "
		       "came",
		       got);
		return 0;
	}
	record("client: the body ends with the connection; %zu of %d bytes "
	       "came",
	       got, BODY_BYTES);
	return answer->whole_end &&
	       (got != BODY_BYTES || memcmp(end + 4, body, got) != 0);
}

int main(int argc, char **argv)
{
	static struct answer answer;
	struct node node = { .name = "n1",
			     .address = "127.0.0.1",
			     .zone = "zone-a" };
	pthread_t thread;
	char request[512];
	int broken;
	int fd;

	if (argc != 3)
		return 2;
	edge_program = argv[1];
	record_open(argv[2]);
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	for (size_t i = 0; i < sizeof(body); i++)
		body[i] = (char)('a' + i / 1000 % 26);
	store_start("127.0.0.1");
	server_fd = listen_at("127.0.0.1", &server_port);
	pthread_create(&thread, NULL, accept_servers, NULL);
	write_rows();
	node_start(&node, "seoul", "\"zone-a\" = \"seoul\"\n", "");
	if (!node_wait_ready(&node, 20))
		cannot_run("the node isn't ready");
	fd = dial("127.0.0.1", node.front, 4096, 1448);
	if (fd < 0)
		cannot_run("no connection to the node");
	snprintf(request, sizeof(request),
		 "GET /media/7 HTTP/1.1\r\nHost: " HOST "\r\n"
		 "Lilacfield-Attempt-Id: 9c41d07be2a35f68\r\n"
		 "Lilacfield-Affinity-Key: 17\r\n"
		 "Lilacfield-Deadline-Ms: 4000\r\n\r\n");
	record("client: sends 9c41d07be2a35f68");
	send_all(fd, request, strlen(request));
	read_slowly(fd, &node, &answer);
	close(fd);
	broken = judge(&answer);
	record(broken ? "MIXED is broken: a part of a body looks complete" :
			"the rule held");
	nodes_end();
	return broken ? 1 : 0;
}
