/*
 * loops - the node's periodic work, each kind on a thread of its own
 *
 * Configuration and VM list from the platform, reports to and from peers,
 * probes of backend servers, seats of shifts.
 */
#ifndef NODE_LOOPS_H
#define NODE_LOOPS_H

#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

struct loops;

struct loops *loops_open(struct node *node);
void loops_close(struct loops *loops);

/*
 * Exchange with the siblings at once: a version came, here or there. Harmless
 * where no loops run.
 */
void loops_hurry(struct node *node);

/* The handler of peers' calls. */
struct peer_handler loops_peer_handler(struct node *node);

#ifdef __cplusplus
}
#endif

#endif
