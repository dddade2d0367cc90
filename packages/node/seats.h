/*
 * seats - the seats of shifts towards this node's place
 */
#ifndef NODE_SEATS_H
#define NODE_SEATS_H

#include <stdbool.h>

#include "node/state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Admit one request of the shift on any seat held here. */
bool seats_admit(struct node *node, const char *shift);

/* Stop admitting and hand the rows back in the next rounds. */
void seats_give_up(struct node *node);

/* Agree with the configuration in force, and renew, claim or read the rows. */
void seats_keep(struct node *node);

#ifdef __cplusplus
}
#endif

#endif
