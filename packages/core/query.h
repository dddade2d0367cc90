/*
 * query - the operators' query and command language
 *
 * One sentence a command; docs/LANGUAGE.md has the grammar. A syntax error
 * names the word it stumbled on, its position and what was expected.
 */
#ifndef CORE_QUERY_H
#define CORE_QUERY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/config.h"

#ifdef __cplusplus
extern "C" {
#endif

enum query_verb {
	QUERY_WHERE, /* where does SERVICE from PLACE go */
	QUERY_SHOW_PLACES,
	QUERY_SHOW_NODES,
	QUERY_SHOW_BACKENDS,
	QUERY_SHOW_SERVICES,
	QUERY_SHOW_SHIFTS,
	QUERY_SHOW_VERSION, /* and where it is in force */
	COMMAND_SHIFT,
	COMMAND_CANCEL, /* a shift */
	COMMAND_DRAIN, /* place, node or backend server */
	COMMAND_UNDRAIN,
	COMMAND_STOP, /* a service */
	COMMAND_START,
	COMMAND_LOAD, /* replace the whole document */
};

enum query_object {
	OBJECT_NONE,
	OBJECT_PLACE,
	OBJECT_NODE,
	OBJECT_BACKEND,
	OBJECT_SERVICE,
};

struct query {
	enum query_verb verb;
	enum query_object object; /* of drain and undrain */
	char name[NAME_SIZE]; /* of the object, or the shift to cancel */
	char service[NAME_SIZE];
	char from[NAME_SIZE];
	char to[NAME_SIZE];
	uint32_t share_permille;
	uint32_t cap_per_s;
};

/* RESULT_SYNTAX or RESULT_OUT_OF_RANGE on failure. */
bool query_parse(const char *text, struct query *query, GError **error);

/* Whether it changes the configuration. */
bool query_is_command(const struct query *query);

/*
 * Apply a command under its id to a copy of the configuration; the new one has
 * no version yet. RESULT_CONFLICT, RESULT_UNKNOWN_NAME or RESULT_OUT_OF_RANGE
 * on failure.
 */
struct config *query_apply(const struct config *config,
			   const struct query *query, const char *command_id,
			   GError **error);

#ifdef __cplusplus
}
#endif

#endif
