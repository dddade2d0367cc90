/*
 * run - runs a node from start to stop
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
 * Serve until a stop, begun by SIGTERM or SIGINT, has finished. Settings that
 * may change at run time are reloaded on SIGHUP and every two seconds.
 * Returns false and sets error (RESULT_SYSTEM) if a listener or the gossip
 * socket can't be opened.
 */
bool run_node(const struct edge_settings *settings, const char *settings_path,
	      const struct dialect *dialect, const struct registry *registry,
	      GError **error);

#ifdef __cplusplus
}
#endif

#endif
