/*
 * log - one line of key=value pairs for each event, through GLib's logging
 *
 *     log_event(LOG_INFO, "config-in-force", "version=%" PRIu64, version);
 *
 * prints: ts_us=… level=info node=… event=config-in-force version=7
 */
#ifndef ADAPTERS_LOG_H
#define ADAPTERS_LOG_H

#include <glib.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

enum log_level {
	LOG_ERROR,
	LOG_WARNING,
	LOG_INFO,
	LOG_DEBUG,
};

/*
 * Lines go to path, or to stderr where path is empty. Thread-safe after it. A
 * line that a full pipe can't take at once is dropped; a later line says how
 * many were, as lost_lines=N. Messages of libraries are event=library.
 * RESULT_SYSTEM on failure.
 */
bool log_open(const char *node, const char *path, enum log_level most,
	      GError **error);
void log_close(void);

/*
 * format holds "key=value" pairs. %s values are quoted and escaped where they
 * need it (see pairs.h), so text of callers can be passed as it is.
 */
void log_event(enum log_level level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/* Level of this name, or -1. */
int log_level_from_name(const char *name);

#ifdef __cplusplus
}
#endif

#endif
