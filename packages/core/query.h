/*
 * query - the operators' query and command language
 *
 * One sentence a command; docs/LANGUAGE.md has the grammar. A syntax error
 * names the word at fault, its position and what was expected. Pure: no
 * file is read and no time is taken.
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

/* Longest sentence, in bytes. */
#define QUERY_MAX_BYTES 1024

/* A share in the language is a percentage with one decimal at most. */
#define QUERY_PERMILLE_PER_PERCENT 10
#define QUERY_SHARE_MAX_PERMILLE 1000

enum query_verb {
	QUERY_WHERE, /* where does SERVICE from PLACE go */
	QUERY_SHOW_PLACES,
	QUERY_SHOW_NODES,
	QUERY_SHOW_BACKENDS,
	QUERY_SHOW_SERVICES,
	QUERY_SHOW_SHIFTS,
	QUERY_SHOW_VERSION, /* and where it is in force */
	QUERY_SHOW_ROUTES,
	QUERY_SHOW_REFUSALS, /* answers of the node's own, by cause */
	QUERY_SHOW_SUSPECTS, /* requests that servers ended under */
	QUERY_SHOW_LIMITS, /* backend servers that named a rate */
	QUERY_QUARANTINE, /* one of these, by hand */
	QUERY_RELEASE,
	QUERY_CMD_SHIFT,
	QUERY_CMD_CANCEL, /* a shift */
	QUERY_CMD_DRAIN, /* place, node or backend server */
	QUERY_CMD_UNDRAIN,
	QUERY_CMD_STOP, /* a service */
	QUERY_CMD_START,
	QUERY_CMD_LOAD, /* replace the whole document */
};

enum query_entity {
	QUERY_ENTITY_NONE,
	QUERY_ENTITY_PLACE,
	QUERY_ENTITY_NODE,
	QUERY_ENTITY_BACKEND,
	QUERY_ENTITY_SERVICE,
};

/* Texts that the sentence doesn't give are empty. */
struct query {
	enum query_verb verb;
	enum query_entity object; /* of drain, undrain, stop and start */
	char name[NAME_SIZE]; /* of the object */
	char service[NAME_SIZE]; /* of where and shift; filter of show */
	char from[NAME_SIZE];
	char to[NAME_SIZE];
	char place[NAME_SIZE]; /* filter of show */
	char object_key[ID_SIZE]; /* of where: a caller's affinity key */
	char shift[ID_SIZE]; /* to add (empty: the command's id) or cancel */
	char file[QUERY_MAX_BYTES]; /* that load names; lilacctl reads it */
	uint64_t fingerprint; /* of quarantine and release */
	uint32_t share_permille;
	uint32_t cap_per_s;
};

/* RESULT_SYNTAX or RESULT_OUT_OF_RANGE on failure. */
bool query_parse(const char *text, struct query *query, GError **error);

/* Whether it changes the configuration. */
bool query_is_command(const struct query *query);

/* Whether the text may serve as the id of a command or a shift. */
bool query_id_is_valid(const char *id);

/* What messages call the kind of object: "place", "backend". */
const char *query_entity_type_name(enum query_entity object);

/*
 * Index of the object in the configuration, or CONFIG_NONE and an error of
 * RESULT_UNKNOWN_NAME.
 */
uint32_t query_find_entity(const struct config *config,
			   enum query_entity object, const char *name,
			   GError **error);

/*
 * Apply a command under its id to a copy of the configuration; the new one has
 * no version yet. The caller has asked config_find_command() before: an id that
 * the document knows is not applied again. RESULT_CONFLICT, RESULT_UNKNOWN_NAME
 * or RESULT_OUT_OF_RANGE on failure. QUERY_CMD_LOAD goes to query_load().
 */
struct config *query_apply(const struct config *config,
			   const struct query *query, const char *command_id,
			   GError **error);

/*
 * The document (JSON, len bytes) that replaces the configuration under the
 * command's id; the command ids that config knows are kept in place of the
 * document's own. config is NULL where there is none yet. RESULT_CONFIG_INVALID
 * or RESULT_CONFLICT on failure.
 */
struct config *query_load(const struct config *config, const char *document,
			  size_t len, const char *command_id, GError **error);

/* What a command has made true, as one line of text for g_free(). */
char *query_describe_effect(const struct query *query, const char *command_id);

#ifdef __cplusplus
}
#endif

#endif
