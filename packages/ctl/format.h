/*
 * format - an answer as text for people: an aligned table and its message
 */
#ifndef CTL_FORMAT_H
#define CTL_FORMAT_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The answer as lines of text, for g_free(): the table if there is one, then
 * the message with version and id of a command. What isn't known is "-".
 */
char *format_answer(const json_t *body);

/* "conflict (302): …" and when to come back, one line, for g_free(). */
char *format_error(const json_t *body);

#ifdef __cplusplus
}
#endif

#endif
