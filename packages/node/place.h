/*
 * place - a place's gate at one of its nodes: a slot, or "not run"
 */
#ifndef NODE_PLACE_H
#define NODE_PLACE_H

#include "node/request.h"
#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Run the request at a backend server of this node's place, or refuse it. */
void place_serve(struct node *node, const struct snapshot *snapshot,
		 uint32_t service_index, struct request *request,
		 struct answer *answer);

#ifdef __cplusplus
}
#endif

#endif
