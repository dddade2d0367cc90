/*
 * entry - a caller's request at its entry node: admit, steer, forward, answer
 */
#ifndef NODE_ENTRY_H
#define NODE_ENTRY_H

#include "node/request.h"
#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serve the request to its one final answer, as soon as that is known. */
void entry_serve(struct node *node, struct request *request,
		 struct answer *answer);

#ifdef __cplusplus
}
#endif

#endif
