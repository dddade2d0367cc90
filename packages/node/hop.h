/*
 * hop - a request handed from an entry node to another node of the place that
 * was chosen, and the fence that settles what became of it
 */
#ifndef NODE_HOP_H
#define NODE_HOP_H

#include <stdbool.h>

#include "core/config.h"
#include "node/request.h"
#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What the sender knows of the hop that it made. */
struct hop {
	const struct config_node *target;
	uint64_t incarnation; /* of the target, 0: not known */
	uint64_t round_trip_us; /* of the link */
	uint64_t silence_us; /* 0: an answer is waited for to the end */
	bool idempotent;
	bool (*may_repeat)(void *context);
	void *context;
};

/*
 * Send the request to the target's gate and take its answer. A non-idempotent
 * request whose connection broke is fenced: the answer is then the kept one,
 * RESULT_FENCED (not run, and never will) or RESULT_OUTCOME_UNKNOWN.
 */
void hop_send(struct node *node, const struct hop *hop, struct request *request,
	      struct answer *answer);

/*
 * The target's side: serve a hop once, whatever arrives twice. incarnation is
 * the one that the sender meant, 0 if it named none.
 */
void hop_serve(struct node *node, uint64_t incarnation, struct request *request,
	       struct answer *answer);

/* The target's side: say what became of a hop, or see that it never runs. */
void hop_fence(struct node *node, uint64_t incarnation, const char *ticket,
	       uint32_t attempt, struct answer *answer);

#ifdef __cplusplus
}
#endif

#endif
