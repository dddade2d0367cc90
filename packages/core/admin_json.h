/*
 * admin_json - building blocks of JSON answers
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

/* Convert the object to text for g_free(), and release the object. */
char *admin_json_to_text(json_t *root);

/* A number; values above INT64_MAX, jansson's limit, become INT64_MAX. */
json_t *admin_json_number(uint64_t value);

/* A string; invalid UTF-8, which JSON doesn't allow, is replaced. */
json_t *admin_json_text(const char *text);

/* A value, or null if it isn't known. */
json_t *admin_json_number_or_null(bool known, uint64_t value);
json_t *admin_json_boolean_or_null(bool known, bool value);

/* A time in microseconds, or null for UINT64_MAX, which stands for none. */
json_t *admin_json_time_us_or_null(uint64_t value_us);

#ifdef __cplusplus
}
#endif

#endif
