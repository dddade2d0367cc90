/*
 * command - operators' sentences: answered from what this node knows, or put
 * into the platform's configuration row under a command id
 */
#ifndef NODE_COMMAND_H
#define NODE_COMMAND_H

#include <stddef.h>

#include "core/result.h"
#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The row that holds the configuration. */
#define CONFIG_TABLE "config"
#define CONFIG_KEY "current"

/* Run the body of POST /v1/command; *json is the answer for g_free(). */
enum result command_run(struct node *node, const char *body, size_t len,
			char **json);

/* Whether the configuration row has taken the command in. */
enum result command_find(struct node *node, const char *id, char **json);

#ifdef __cplusplus
}
#endif

#endif
