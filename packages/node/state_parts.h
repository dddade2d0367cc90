/*
 * state_parts - what the sources of the state module share; not for others
 *
 * state.c has the node, the services and the configuration in force;
 * state_shares.c the shares of slots and what the gates are told;
 * state_reports.c what steer and the look-ups are told. All three functions
 * are called under apply_lock.
 */
#ifndef NODE_STATE_PARTS_H
#define NODE_STATE_PARTS_H

#include "node/state.h"

/* Tell a service's gate its backend servers; before is the last version. */
void state_set_backends(struct node *node, const struct snapshot *snapshot,
			const struct snapshot *before, uint32_t index,
			uint64_t now_us);

/* Begin the snapshot's version of the shares. */
void state_change_shares(struct node *node, const struct snapshot *snapshot);

/* Tell a service's steer its places and shifts. */
void state_set_steer(const struct snapshot *snapshot, uint32_t index,
		     uint64_t now_us);

#endif
