/*
 * lookup - which entry nodes a caller should use, in order
 *
 * There is no load balancer in front of the entry nodes; callers look up nodes
 * at any node. The order is the home place's nodes, then the home region's,
 * then the others' by one-way time, each in random order. An answer of three or
 * more nodes includes one of another place of the region and one of another
 * region, so that a caller survives the loss of its place or region. Leaving
 * and dead nodes, drained nodes and nodes of drained places are returned only
 * if no other node is left.
 *
 * A table is built from a configuration, is read-only afterwards and doesn't
 * refer to the configuration. The time of a look-up grows with the size of the
 * answer and the number of unusable nodes skipped; it doesn't allocate.
 */
#ifndef CORE_LOOKUP_H
#define CORE_LOOKUP_H

#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum number of nodes in an answer. */
#define LOOKUP_MAX_NODES 16

enum lookup_node_state {
	LOOKUP_ALIVE,
	LOOKUP_LEAVING,
	LOOKUP_DEAD,
};

struct lookup_table;

/* Needs memory proportional to regions times places. */
struct lookup_table *lookup_table_new(const struct config *config);
void lookup_table_free(struct lookup_table *table);

/*
 * Write up to max_nodes (and LOOKUP_MAX_NODES) nodes as indices in the
 * configuration and return their number. home is the caller's place;
 * CONFIG_NONE spreads the nodes over all places. states has an enum
 * lookup_node_state for each node of the configuration; NULL: all are alive.
 * draw is a random number.
 */
uint32_t lookup_order(const struct lookup_table *table, uint32_t home,
		      const uint8_t *states, uint32_t draw, uint32_t *nodes,
		      uint32_t max_nodes);

#ifdef __cplusplus
}
#endif

#endif
