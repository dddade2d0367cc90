/*
 * run - a node from start to stop
 */
#ifndef EDGE_RUN_H
#define EDGE_RUN_H

#include <glib.h>
#include <stdbool.h>

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Serve until SIGTERM or SIGINT has brought the stop to its end. SIGHUP, and a
 * change of the file, bring the settings in force that may change.
 * RESULT_SYSTEM where a listener can't be opened.
 */
bool run_node(const struct edge_settings *settings, const char *settings_path,
	      const struct dialect *dialect, const struct registry *registry,
	      GError **error);

#ifdef __cplusplus
}
#endif

#endif
