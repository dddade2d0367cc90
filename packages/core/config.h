/*
 * config - the configuration document: services, places, servers and shifts
 *
 * The platform stores it as one versioned row of JSON; docs/CONFIG.md has the
 * schema. A struct config refers to its items by index in its own arrays. Not
 * thread-safe while it is being changed; read-only and shared between threads
 * after it has been published.
 */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An index that means "no such item". */
#define CONFIG_NONE UINT32_MAX

/* How the requests of a service are treated under overload. */
enum service_class {
	SERVICE_INTERACTIVE,
	SERVICE_NON_IDEMPOTENT,
	SERVICE_BACKGROUND,
	SERVICE_CLASS_COUNT,
};

struct config_service {
	char name[NAME_SIZE];
	enum service_class class_of;
	uint64_t timeout_us; /* default if the caller sets no deadline */
	bool stopped;
};

/* A failure domain with its own entry VMs and backend servers. */
struct config_place {
	char name[NAME_SIZE];
	char region[NAME_SIZE];
	bool drained;
};

/* A node and its entry VM. */
struct config_node {
	char name[NAME_SIZE];
	char address[NAME_SIZE]; /* IP number */
	uint32_t place;
	uint16_t http_port;
	uint16_t peer_port;
	bool drained;
};

struct config_backend {
	char name[NAME_SIZE];
	char address[NAME_SIZE]; /* IP number */
	uint32_t service;
	uint32_t place;
	uint32_t slots;
	uint16_t port;
	bool drained;
};

/*
 * The network link between two regions; an entry (r, r) is for the places
 * within region r. It holds in both directions unless the reverse is listed
 * too.
 */
struct config_link {
	char from[NAME_SIZE];
	char to[NAME_SIZE];
	uint64_t one_way_us;
	uint32_t limit_per_s; /* 0: no limit */
};

struct config_shift {
	char id[ID_SIZE];
	uint32_t service;
	uint32_t from;
	uint32_t to;
	uint32_t share_permille;
	uint32_t cap_per_s; /* maximum rate of requests that arrive at to */
	uint32_t seats; /* number of quotas that the cap is split into; fixed
			   for the shift's lifetime */
};

/* Callers with an address in this CIDR block belong to the place. */
struct config_block {
	uint32_t prefix; /* IPv4, host byte order */
	uint32_t prefix_bits;
	uint32_t place;
};

/*
 * An applied command. It is stored with the configuration so that a client that
 * lost the answer can find out whether the command was applied.
 */
struct config_command {
	char id[ID_SIZE];
	uint64_t version; /* created by the command */
};

struct config {
	uint64_t version;
	struct config_service *services;
	struct config_place *places;
	struct config_node *nodes;
	struct config_backend *backends;
	struct config_link *links;
	struct config_shift *shifts;
	struct config_block *blocks; /* sorted by prefix, then prefix_bits */
	struct config_command *commands; /* oldest first */
	uint32_t service_count;
	uint32_t place_count;
	uint32_t node_count;
	uint32_t backend_count;
	uint32_t link_count;
	uint32_t shift_count;
	uint32_t block_count;
	uint32_t command_count;
};

/*
 * Decode and validate a document; for config_free(). text need not end in NUL.
 * NULL on failure, with an error of RESULT_CONFIG_INVALID that names the
 * invalid member. The version is 0.
 */
struct config *config_decode(const char *text, size_t len, GError **error);

/* The document as JSON text, for g_free(). */
char *config_encode(const struct config *config);

/* A deep copy, for config_free(). */
struct config *config_copy(const struct config *config);

void config_free(struct config *config);

/* Index of the item with this name or id, or CONFIG_NONE. */
uint32_t config_find_service(const struct config *config, const char *name);
uint32_t config_find_place(const struct config *config, const char *name);
uint32_t config_find_node(const struct config *config, const char *name);
uint32_t config_find_backend(const struct config *config, const char *name);
uint32_t config_find_shift(const struct config *config, const char *id);

/* Version that the command created, or 0 if the history lacks its id. */
uint64_t config_find_command(const struct config *config, const char *id);

/*
 * Add a command to the history, as creating version + 1. The oldest one is
 * removed when there are CONFIG_COMMANDS_KEPT.
 */
void config_add_command(struct config *config, const char *id);

/*
 * Seats of a new shift to the place: one per undrained node, at least 1
 * and at most SHIFT_MAX_SEATS.
 */
uint32_t config_default_seats(const struct config *config, uint32_t place);

/* Append a shift, or remove one by index. */
void config_add_shift(struct config *config, const struct config_shift *shift);
void config_remove_shift(struct config *config, uint32_t index);

/* One-way network delay between two places, in microseconds. */
uint64_t config_one_way_us(const struct config *config, uint32_t from,
			   uint32_t to);

/* Maximum rate of requests on the link between two places; 0: no limit. */
uint32_t config_link_limit_per_s(const struct config *config, uint32_t from,
				 uint32_t to);

/* Place of the caller's IPv4 address (host byte order), or CONFIG_NONE. */
uint32_t config_place_of_address(const struct config *config, uint32_t address);

/* Whether the text is a valid name or id that fits size bytes, NUL included. */
bool config_name_is_valid(const char *text, size_t size);

/* Convert a class to its name in the document, and back (-1 if invalid). */
const char *service_class_name(enum service_class class_of);
int service_class_from_name(const char *name);

#ifdef __cplusplus
}
#endif

#endif
