/*
 * local - requests that a node answers by itself: readiness, look-ups of nodes,
 * metrics, operators' commands, snapshots for peers
 */
#ifndef EDGE_LOCAL_H
#define EDGE_LOCAL_H

#include "edge/caller.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct local_answer {
	uint16_t status;
	GString *headers;
	GByteArray *body;
};

void local_answer(struct edge *edge, enum listener_kind kind,
		  const struct message *request, struct local_answer *answer);
void local_answer_release(struct local_answer *answer);

#ifdef __cplusplus
}
#endif

#endif
