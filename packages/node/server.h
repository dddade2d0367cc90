/*
 * server - the node's HTTP doors: callers', peers' and operators'
 */
#ifndef NODE_SERVER_H
#define NODE_SERVER_H

#include <glib.h>

#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

struct server;

struct server *server_open(struct node *node, GError **error);
void server_close(struct server *server);

#ifdef __cplusplus
}
#endif

#endif
