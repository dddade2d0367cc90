/*
 * share - a node's shares of its place's slots, exact while nodes come and go
 *
 * Each version of the configuration splits the slots of every backend server
 * among the place's nodes. A share that shrinks takes effect at once. One that
 * grows waits until all other nodes of the place have declared the same
 * version, which they do once their requests in flight fit their own share in
 * it. Until then a node uses the smaller share, so the sum never exceeds the
 * slots, in whatever order the versions arrive. Pure; not thread-safe.
 */
#ifndef CORE_SHARE_H
#define CORE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"

#ifdef __cplusplus
extern "C" {
#endif

struct share_table;

/* This node's share of one backend server's slots in a version. */
struct share_target {
	const char *backend;
	uint32_t slots;
};

struct share_table *share_table_new(void);
void share_table_free(struct share_table *table);

/* Applies a newer version: smaller shares take effect, larger ones wait. */
void share_table_apply_version(struct share_table *table, uint64_t version,
			       const struct share_target *targets,
			       uint32_t count);

/* All other nodes have declared the version: larger shares take effect, too. */
void share_table_settle(struct share_table *table, uint64_t version);

/* Slots of the backend server that may be used now. */
uint32_t share_table_slots(const struct share_table *table,
			   const char *backend);

/* Whether all shares of the current version are in effect. */
bool share_table_is_settled(const struct share_table *table);

uint64_t share_table_version(const struct share_table *table);

#ifdef __cplusplus
}
#endif

#endif
