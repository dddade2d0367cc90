/*
 * admin_json - the members that every JSON answer has, and safe values in them
 */
#ifndef CORE_ADMIN_JSON_H
#define CORE_ADMIN_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An object with "result", "name" and "message". */
json_t *admin_json_new_answer(enum result code, const char *message);

/* The object as text for g_free(); the object is released. */
char *admin_json_to_text(json_t *root);

/* A number, at most INT64_MAX as JSON holds it. */
json_t *admin_json_number(uint64_t value);

/* A text; what isn't valid UTF-8, which JSON can't hold, is replaced. */
json_t *admin_json_text(const char *text);

/* A value that may not be known: null then. */
json_t *admin_json_number_or_null(bool known, uint64_t value);
json_t *admin_json_boolean_or_null(bool known, bool value);

/* An age or an expected time, of which UINT64_MAX means that there is none. */
json_t *admin_json_time_us_or_null(uint64_t value_us);

#ifdef __cplusplus
}
#endif

#endif
