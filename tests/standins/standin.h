/*
 * standin - what the stand-ins share: a CivetWeb server and its answers
 *
 * Handlers run on the server's worker threads, one a connection.
 */
#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define STANDIN_ADDRESS_SIZE 64

struct standin_endpoint {
	char address[STANDIN_ADDRESS_SIZE]; /* IP number */
	uint16_t port;
};

/* Read "ADDRESS:PORT". */
bool standin_parse_endpoint(const char *text,
			    struct standin_endpoint *endpoint);

struct standin_server;

/* Serve every path by the handler; NULL and an error where it can't listen. */
struct standin_server *
standin_server_open(const struct standin_endpoint *endpoint, uint32_t threads,
		    mg_request_handler handler, void *data, GError **error);

/* Cut all connections, as a process that dies does, and stop listening. */
void standin_server_close(struct standin_server *server);

/* The request's body, for g_free(); NULL where it is too large or cut. */
char *standin_read_body(struct mg_connection *conn, size_t *bytes);

/* Whole answer in one write; headers is "Name: value\r\n…" or NULL. */
int standin_answer(struct mg_connection *conn, int status, const char *headers,
		   const char *content_type, const void *body, size_t bytes);

/* JSON answer; takes over the reference to body. */
int standin_answer_json(struct mg_connection *conn, int status,
			const char *headers, json_t *body);

/* Socket of the connection, or -1. */
int standin_socket(const struct mg_connection *conn);

/* When the connection was opened, on the clock of event_now_us(). */
uint64_t standin_opened_us(const struct mg_connection *conn);

/* Close the connection without an answer. */
int standin_drop(struct mg_connection *conn);

/* Sleep that long, or until the peer closes; false if it did. */
bool standin_wait_open(int fd, uint64_t wait_us);

/* Block SIGTERM and SIGINT; call it before any thread starts. */
void standin_block_signals(void);

/* Wait for SIGTERM or SIGINT. */
void standin_wait_for_signal(void);

#ifdef __cplusplus
}
#endif

#endif
