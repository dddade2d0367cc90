/*
 * peer_rpc - reports and configuration between nodes, over ONC RPC
 *
 * A node tells peers what it knows and takes what they know in the same call.
 * The server runs on one thread and hands each message to the handler; calls
 * are made on the caller's thread and give up after their time-out. No port
 * mapper is used: ports come from the configuration.
 */
#ifndef ADAPTERS_PEER_RPC_H
#define ADAPTERS_PEER_RPC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PEER_MAX_REPORTS 2048
#define PEER_MAX_BACKENDS 64

/* What a node says of one service at its own place. */
struct peer_service_report {
	char service[NAME_SIZE];
	struct gate_summary summary;
};

/* What one node says of itself, passed on by others with its age. */
struct peer_report {
	char node[NAME_SIZE];
	uint64_t incarnation;
	uint64_t sequence; /* grows with each report of the incarnation */
	uint64_t ticket_epoch;
	uint64_t config_version;
	uint64_t age_us; /* since the node made it, in its and others' hands */
	bool leaving;
	uint32_t service_count;
	struct peer_service_report *services;
	uint32_t leaving_backend_count;
	char (*leaving_backends)[NAME_SIZE]; /* known at the place to leave */
};

struct peer_message {
	char sender[NAME_SIZE];
	uint32_t report_count;
	struct peer_report *reports; /* the sender's own comes first */
};

void peer_message_release(struct peer_message *message);

struct peer_handler {
	void *context;
	/* Take in a message and fill in the answer, which is released after. */
	void (*exchange)(void *context, const struct peer_message *message,
			 struct peer_message *answer);
	/* Configuration text for g_free() if newer than version, else NULL. */
	char *(*config)(void *context, uint64_t newer_than, uint64_t *version);
};

struct peer_server;

/* Listen on TCP at the IPv4 address and port; one server a process. */
struct peer_server *peer_server_open(const char *address, uint16_t port,
				     const struct peer_handler *handler,
				     GError **error);
void peer_server_close(struct peer_server *server);

struct peer_client;

/* A client keeps one connection, opened at need, closed on any failure. */
struct peer_client *peer_client_new(const char *address, uint16_t port,
				    uint64_t timeout_us);
void peer_client_free(struct peer_client *client);

/* RESULT_UNREACHABLE on failure; answer is for peer_message_release(). */
bool peer_client_exchange(struct peer_client *client,
			  const struct peer_message *message,
			  struct peer_message *answer, GError **error);

/* Newer configuration text for g_free(); *text is NULL where there is none. */
bool peer_client_config(struct peer_client *client, uint64_t newer_than,
			uint64_t *version, char **text, GError **error);

#ifdef __cplusplus
}
#endif

#endif
