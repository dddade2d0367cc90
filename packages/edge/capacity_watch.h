/*
 * capacity_watch - tells operators which services are short of capacity
 *
 * Writes a line to the log when a service becomes short of capacity and when it
 * has recovered, and keeps its metrics.
 */
#ifndef EDGE_CAPACITY_WATCH_H
#define EDGE_CAPACITY_WATCH_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct capacity_watch;

struct capacity_watch *capacity_watch_new(void);
void capacity_watch_free(struct capacity_watch *watch);

/* Looks at all coordinating services; due several times a second. */
void capacity_watch_check(struct capacity_watch *watch, struct edge *edge);

#ifdef __cplusplus
}
#endif

#endif
