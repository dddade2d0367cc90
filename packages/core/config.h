/*
 * config - the configuration document: what is served where, and the shifts
 *
 * The platform keeps it as one version-numbered row of JSON. A struct config
 * is read-only once decoded and holds names as text and references as indices
 * into its own arrays. Not thread-safe while being changed; shared freely once
 * published.
 *
 * Source: docs/CONFIG.md has the document's shape.
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

#define CONFIG_NONE UINT32_MAX

/* How a service's requests are treated when not all can run at once. */
enum service_class {
	SERVICE_INTERACTIVE,
	SERVICE_NON_IDEMPOTENT,
	SERVICE_BACKGROUND,
	SERVICE_CLASS_COUNT,
};

struct config_service {
	char name[NAME_SIZE];
	enum service_class class_of;
	uint64_t timeout_us; /* when the caller names no deadline */
	bool stopped;
};

/* A failure domain that has its own entry VMs and backend servers. */
struct config_place {
	char name[NAME_SIZE];
	char region[NAME_SIZE];
	bool drained;
};

/* An entry VM and the node on it. */
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

/* One way between two regions; places of one region use the entry (r, r). */
struct config_link {
	char from[NAME_SIZE];
	char to[NAME_SIZE];
	uint64_t one_way_us;
	uint32_t limit_per_s; /* requests a second; 0 is no limit */
};

struct config_shift {
	char id[ID_SIZE];
	uint32_t service;
	uint32_t from;
	uint32_t to;
	uint32_t share_permille;
	uint32_t cap_per_s; /* requests a second that arrive at to */
	uint32_t seats; /* that the cap is split into, for the shift's life */
};

/* Callers whose address lies in the block belong to the place. */
struct config_block {
	uint32_t prefix; /* IPv4, host byte order */
	uint32_t prefix_bits;
	uint32_t place;
};

/* A command that the row has taken in, so that a lost answer can be settled. */
struct config_command {
	char id[ID_SIZE];
	uint64_t version; /* that it made */
};

struct config {
	uint64_t version;
	struct config_service *services;
	struct config_place *places;
	struct config_node *nodes;
	struct config_backend *backends;
	struct config_link *links;
	struct config_shift *shifts;
	struct config_block *blocks; /* by prefix, then by bits */
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
 * Decode and check a whole document; NULL and an error of RESULT_CONFIG_INVALID
 * that names the member at fault otherwise. text need not end in NUL.
 */
struct config *config_decode(const char *text, size_t len, GError **error);

/* The document as JSON text, for g_free(). */
char *config_encode(const struct config *config);

/* A deep copy, for a change to be made to; for config_free(). */
struct config *config_copy(const struct config *config);

void config_free(struct config *config);

/* Index of the named item, or CONFIG_NONE. */
uint32_t config_find_service(const struct config *config, const char *name);
uint32_t config_find_place(const struct config *config, const char *name);
uint32_t config_find_node(const struct config *config, const char *name);
uint32_t config_find_backend(const struct config *config, const char *name);
uint32_t config_find_shift(const struct config *config, const char *id);

/* Version that the command made, or 0 where the document doesn't know it. */
uint64_t config_find_command(const struct config *config, const char *id);

/* Remember a command; the oldest goes when CONFIG_COMMANDS_KEPT are there. */
void config_add_command(struct config *config, const char *id);

/* Seats for a new shift to the place: one for each node that takes work. */
uint32_t config_default_seats(const struct config *config, uint32_t place);

/* Append a shift or take one away by index. */
void config_add_shift(struct config *config, const struct config_shift *shift);
void config_remove_shift(struct config *config, uint32_t index);

/* One-way time between two places, in microseconds. */
uint64_t config_one_way_us(const struct config *config, uint32_t from,
			   uint32_t to);

/* Requests a second that the link between two places bears; 0 is no limit. */
uint32_t config_link_limit_per_s(const struct config *config, uint32_t from,
				 uint32_t to);

/* Place of the caller's IPv4 address (host byte order), or CONFIG_NONE. */
uint32_t config_place_of_address(const struct config *config, uint32_t address);

/* Whether the text may serve as a name or id that fits size bytes. */
bool config_name_is_valid(const char *text, size_t size);

/* The name of a class as the document writes it, and back; -1 if none. */
const char *service_class_name(enum service_class class_of);
int service_class_from_name(const char *name);

#ifdef __cplusplus
}
#endif

#endif
