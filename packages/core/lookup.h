/*
 * lookup - which entry nodes a caller should use, in order
 *
 * Callers have no balancer before the entry nodes: they ask any node. The order
 * is the home place's nodes, then the home region's, then the others' by
 * one-way time, each spread by a random draw. An answer of three or more keeps
 * a place for a node of another place of the region and for one of another
 * region, so that a caller outlives the loss of either. Nodes that leave or are
 * dead, and those of drained places, are named only where no other is left.
 *
 * A table is built once for a configuration and is read-only then; it doesn't
 * refer to the configuration. Look-ups take time in the order of the answer and
 * of the unusable nodes passed over, and allocate nothing.
 */
#ifndef CORE_LOOKUP_H
#define CORE_LOOKUP_H

#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Nodes that one answer names at most. */
#define LOOKUP_MAX_NODES 16

enum lookup_node_state {
	LOOKUP_ALIVE,
	LOOKUP_LEAVING,
	LOOKUP_DEAD,
};

struct lookup_table;

/* Takes memory in the order of regions times places. */
struct lookup_table *lookup_table_new(const struct config *config);
void lookup_table_free(struct lookup_table *table);

/*
 * Write the indices (in the configuration) of at most `most` nodes, no more
 * than LOOKUP_MAX_NODES, and return how many. home is the caller's place or
 * CONFIG_NONE: then the nodes are spread over all places. states has an enum
 * lookup_node_state for each node of the configuration; NULL: all are alive.
 */
uint32_t lookup_order(const struct lookup_table *table, uint32_t home,
		      const uint8_t *states, uint32_t draw, uint32_t *nodes,
		      uint32_t max_nodes);

#ifdef __cplusplus
}
#endif

#endif
