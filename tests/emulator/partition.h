/*
 * partition - nodes that lose the way to all backend servers for a while, and
 * callers that stay on each node's connections meanwhile
 *
 * A plan is MANNER:NODE,NODE...@AT_S:FOR_S. At the nodes named, new connections
 * to servers hang or are refused; what happens to open ones is the manner:
 *
 *     hang      they fall silent and go on afterwards; new ones hang
 *     reset     they are reset; new ones hang
 *     refuse    they go on; new ones are refused
 *
 * A node is told apart by the address that its connections come from. Where new
 * ones go instead is written to CUTS/NODE.cut, which node_with_cuts reads.
 *
 * The judge compares the callers' requests at these nodes with those at the
 * others, from JUDGED_AFTER_MS after the cut begins until it ends, and again
 * after it.
 */
#ifndef EMULATOR_PARTITION_H
#define EMULATOR_PARTITION_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "core/endpoint.h"
#include "standins/relay.h"
#include "standins/store_stand.h"

struct partition;

/* NULL for a bad plan, or if the port before the store's is taken. */
struct partition *partition_new(uv_loop_t *loop, struct store_stand *rows,
				const struct endpoint *store, const char *plan,
				const char *cuts);

/* A server is reached through the relay. */
void partition_add_server(struct partition *partition, struct relay *relay);

/* Callers' path for a service: they send METHOD /PATH/x. */
void partition_add_service(struct partition *partition, const char *name,
			   bool once);

/* The nodes have written their rows: callers come, the cut is due. */
void partition_begin(struct partition *partition);

/* Callers send nothing more. */
void partition_end(struct partition *partition);

/* Print what callers saw; true if nodes were served too badly. */
bool partition_report(const struct partition *partition);

#endif
