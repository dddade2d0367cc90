/*
 * toml - a TOML text as a flat run of values with their lines
 *
 * The parser's exceptions end here: a syntax error comes back as a GError that
 * names line and column.
 */
#ifndef ADAPTERS_TOML_H
#define ADAPTERS_TOML_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum toml_type {
	TOML_INTEGER,
	TOML_STRING,
	TOML_STRINGS, /* array that holds nothing but strings */
	TOML_OTHER,
};

/* One value; its texts live until the visit returns. */
struct toml_value {
	const char *table; /* "" for a value above the first table */
	const char *key;
	uint32_t line;
	enum toml_type type;
	int64_t integer;
	const char *string;
	const char *const *strings; /* NULL-terminated */
};

/* Return false with the error set to end the visit. */
typedef bool (*toml_visitor)(void *context, const struct toml_value *value,
			     GError **error);

/*
 * Visit the values of each table in the text; name stands in messages.
 * RESULT_SETTINGS_INVALID for a syntax error, else the visitor's error. A table
 * within a table is visited as one value of type TOML_OTHER.
 */
bool toml_visit(const char *name, const char *text, size_t length,
		toml_visitor visitor, void *context, GError **error);

#ifdef __cplusplus
}
#endif

#endif
