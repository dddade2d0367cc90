/*
 * query - the operators' query and command language
 *
 * A sentence is one query or one command; docs/LANGUAGE.md has the grammar. A
 * syntax error names the offending word, its position and what was expected.
 * Pure functions: no files are read and no clock is used.
 */
#ifndef CORE_QUERY_H
#define CORE_QUERY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum length of a sentence, in bytes. */
#define QUERY_MAX_BYTES 1024

/* Shares are written as a percentage with at most one decimal. */
#define QUERY_PERMILLE_PER_PERCENT 10
#define QUERY_SHARE_MAX_PERMILLE 1000

enum query_verb {
	QUERY_WHERE, /* where requests for a service from a place go */
	QUERY_SHOW_PLACES,
	QUERY_SHOW_NODES,
	QUERY_SHOW_BACKENDS,
	QUERY_SHOW_SERVICES,
	QUERY_SHOW_SHIFTS,
	QUERY_SHOW_VERSION, /* and the nodes where it is in force */
	QUERY_SHOW_ROUTES,
	QUERY_SHOW_REFUSALS, /* requests the node refused itself, by cause */
	QUERY_SHOW_SUSPECTS, /* requests suspected of crashing servers */
	QUERY_SHOW_LIMITS, /* rate limits set by backend servers */
	QUERY_SHOW_ACCOUNTS, /* client accounts: quotas and counts */
	QUERY_SHOW_ROOM, /* capacity and demand of a service */
	QUERY_SHOW_MEMORY, /* held bytes of requests and answers */
	QUERY_SHOW_FAULTS, /* parts of the configuration that aren't usable */
	QUERY_QUARANTINE, /* quarantine a request by its fingerprint */
	QUERY_RELEASE, /* end a quarantine */
	QUERY_CMD_SHIFT, /* the first command; see query_is_command() */
	QUERY_CMD_CANCEL, /* remove a shift */
	QUERY_CMD_DRAIN, /* a place, node or backend server */
	QUERY_CMD_UNDRAIN,
	QUERY_CMD_STOP, /* a service */
	QUERY_CMD_START,
	QUERY_CMD_LOAD, /* replace the whole configuration */
};

/* The kind of thing that a command names. */
enum query_entity {
	QUERY_ENTITY_NONE,
	QUERY_ENTITY_PLACE,
	QUERY_ENTITY_NODE,
	QUERY_ENTITY_BACKEND,
	QUERY_ENTITY_SERVICE,
};

/* A parsed sentence. Texts that it doesn't give are empty, numbers are 0. */
struct query {
	enum query_verb verb;
	enum query_entity entity; /* for drain, undrain, stop and start */
	char entity_name[NAME_SIZE]; /* of that entity */
	char service[NAME_SIZE]; /* for where and shift; filter for show */
	char from[NAME_SIZE];
	char to[NAME_SIZE];
	char place[NAME_SIZE]; /* filter for show */
	char object_key[ID_SIZE]; /* for where: the caller's affinity key */
	char shift[ID_SIZE]; /* id to add (empty: the command's id) or cancel */
	char file[QUERY_MAX_BYTES]; /* for load; lilacctl reads it */
	uint64_t fingerprint; /* for quarantine and release */
	uint32_t share_permille;
	uint32_t cap_per_s;
};

/* Parse a sentence. RESULT_SYNTAX or RESULT_OUT_OF_RANGE on failure. */
bool query_parse(const char *text, struct query *query, GError **error);

/* Whether the sentence changes the configuration. */
bool query_is_command(const struct query *query);

/* Whether the text is a valid id of a command or a shift. */
bool query_id_is_valid(const char *id);

/* Name of the entity type for messages, for example "place". */
const char *query_entity_type_name(enum query_entity entity);

/*
 * Index of the named entity in its list of the configuration, or CONFIG_NONE
 * and an error of RESULT_UNKNOWN_NAME.
 */
uint32_t query_find_entity(const struct config *config,
			   enum query_entity entity, const char *name,
			   GError **error);

/*
 * Apply a command to a copy of the configuration and add its id to the command
 * history. The copy keeps the old version; the caller sets the new one after
 * storing it. Call config_find_command() first: a command must not be applied
 * twice. RESULT_CONFLICT, RESULT_UNKNOWN_NAME or RESULT_OUT_OF_RANGE on
 * failure. For QUERY_CMD_LOAD use query_load().
 */
struct config *query_apply(const struct config *config,
			   const struct query *query, const char *command_id,
			   GError **error);

/*
 * Decode a document (JSON, len bytes) that replaces the configuration. The
 * command history of config replaces the document's own, and command_id is
 * added to it. config is NULL where there is none yet. RESULT_CONFIG_INVALID,
 * RESULT_CONFLICT or RESULT_OUT_OF_RANGE on failure.
 */
struct config *query_load(const struct config *config, const char *document,
			  size_t len, const char *command_id, GError **error);

/* The effect of an applied command as one line of text, for g_free(). */
char *query_describe_effect(const struct query *query, const char *command_id);

#ifdef __cplusplus
}
#endif

#endif
