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
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PEER_MAX_REPORTS 2048
#define PEER_MAX_SERVICES 1024
#define PEER_MAX_BACKENDS 4096

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
	uint64_t shares_version; /* declared: see core/share.h */
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

/* Free what the message points to; it is empty then. */
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

/* Bounds on what peers, or others who reach the port, can take. */
struct peer_server_limits {
	uint32_t connections; /* one more closes the one longest without news */
	size_t held_bytes; /* of calls and answers under way, together */
	int64_t idle_us; /* between two calls */
	int64_t stall_us; /* for one call to come in, or one answer to go */
};

/*
 * Listen on TCP at the IPv4 address and port (0: any free one). The handler
 * runs on the server's thread, so what it waits for holds up all peers.
 * RESULT_SYSTEM on failure.
 */
struct peer_server *peer_server_open(const char *address, uint16_t port,
				     const struct peer_handler *handler,
				     GError **error);
struct peer_server *peer_server_open_limited(
	const char *address, uint16_t port, const struct peer_handler *handler,
	const struct peer_server_limits *limits, GError **error);

uint16_t peer_server_port(const struct peer_server *server);

/* Ends calls under way without an answer. */
void peer_server_close(struct peer_server *server);

struct peer_client;

/*
 * A client keeps one connection, opened at need, closed on any failure. Calls
 * of several threads go one after the other; the time-out is for each whole
 * call, its connecting included.
 */
struct peer_client *peer_client_new(const char *address, uint16_t port,
				    uint64_t timeout_us);
void peer_client_free(struct peer_client *client);

/*
 * answer is for peer_message_release(). RESULT_UNREACHABLE on failure. What is
 * beyond the bounds above, or 4 MiB in all, is left out from the end, both
 * ways, and counted in lilacfield_peer_cut_total.
 */
bool peer_client_exchange(struct peer_client *client,
			  const struct peer_message *message,
			  struct peer_message *answer, GError **error);

/*
 * Newer configuration text for g_free(); *text is NULL where there is none.
 * RESULT_UNREACHABLE on failure.
 */
bool peer_client_config(struct peer_client *client, uint64_t newer_than,
			uint64_t *version, char **text, GError **error);

#ifdef __cplusplus
}
#endif

#endif
