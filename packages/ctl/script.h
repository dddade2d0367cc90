/*
 * script - the operator's sentences, from the words of a command line or from
 * the lines of a stream
 */
#ifndef CTL_SCRIPT_H
#define CTL_SCRIPT_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "core/admin.h"
#include "core/query.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A line, its end included. */
#define SCRIPT_LINE_SIZE (QUERY_MAX_BYTES + 3)

/*
 * The sentence that the words (NULL ends them) make, for g_free(). One word
 * alone is a whole sentence; among several, one with blanks gets quotes.
 */
char *script_join_words(const char *const *words);

/*
 * Read the next sentence of a stream, one a line, into SCRIPT_LINE_SIZE bytes;
 * empty lines and those that begin with # are passed over. False at the end. A
 * longer line is cut, which query_parse() refuses.
 */
bool script_read_line(FILE *stream, char *line);

/* A new random command id, for g_free(). RESULT_SYSTEM on failure. */
char *script_new_id(GError **error);

/*
 * The id of the request of a script's n-th sentence, for g_free(). The same
 * sentence (and document) at the same position of the script has the same id.
 */
char *script_line_id(const char *script_id, uint32_t number,
		     const struct admin_request *request);

/*
 * The whole of a configuration document's file, for g_free().
 * RESULT_SETTINGS_UNREADABLE or RESULT_CONFIG_INVALID (too large) on failure.
 */
char *script_read_document(const char *path, GError **error);

#ifdef __cplusplus
}
#endif

#endif
