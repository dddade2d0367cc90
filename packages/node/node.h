/*
 * node - one node as a whole: opened, stopped gracefully, closed
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <glib.h>
#include <stdbool.h>

#include "adapters/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

struct running_node;

/* Listen and work; settings must outlive the node. */
struct running_node *node_open(const struct settings *settings, GError **error);

/*
 * Stop gracefully: leave the look-ups, let callers' cached ones run out, serve
 * what is in flight to its end. Returns when nothing is in flight, or after
 * the settings' longest wait: false then.
 */
bool node_stop(struct running_node *running);

void node_close(struct running_node *running);

#ifdef __cplusplus
}
#endif

#endif
