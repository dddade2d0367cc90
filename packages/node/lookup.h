/*
 * lookup - which entry VMs a caller should use, in order of preference
 */
#ifndef NODE_LOOKUP_H
#define NODE_LOOKUP_H

#include <stdint.h>

#include "core/result.h"
#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Entry nodes that one look-up names at most. */
#define LOOKUP_MOST_NODES 4

/*
 * The answer's JSON for g_free(). from names the caller's place (NULL or
 * unknown: by address, then this node's place); address is the caller's IPv4
 * number in host byte order.
 */
enum result lookup_answer(struct node *node, const char *service,
			  const char *from, uint32_t address, char **json);

#ifdef __cplusplus
}
#endif

#endif
