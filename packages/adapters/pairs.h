/*
 * pairs - "key=value" pairs from a format, safe against what the values hold
 *
 * Logs and traces carry text that callers chose (request ids, header values).
 * A %s value that holds a blank, a quote, '=' or a control byte is put in
 * quotes and escaped; within quotes of the format itself it is escaped only.
 * So no value can end its line or pass for another pair.
 */
#ifndef ADAPTERS_PAIRS_H
#define ADAPTERS_PAIRS_H

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Longest %s value in bytes, before escapes; the rest is cut and "..." put. */
#define PAIRS_VALUE_MAX 512

/*
 * Write the pairs to text of size bytes (more than 16), NUL included; false
 * where they were cut, which the text says by a last pair "cut=true".
 * Conversions are those of printf without %n and "*".
 * args is spent after it, as after vprintf().
 */
bool pairs_format(char *text, size_t size, const char *format, va_list args)
	G_GNUC_PRINTF(3, 0);

/*
 * Split the next pair off text, in place and with quotes and escapes undone;
 * NULL at the end, else where to go on. A word without '=' is a key of "".
 */
char *pairs_next(char *text, const char **key, const char **value);

#ifdef __cplusplus
}
#endif

#endif
