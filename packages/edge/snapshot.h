/*
 * snapshot - a node's copy of the platform's tables, encoded for a peer
 *
 * A node that starts, or whose tables differ from its region's reader's, loads
 * them from a peer where it can, so that not every node reads them from the
 * platform. Each table is complete, with the platform's version and the time
 * since the platform confirmed it. Backend servers have the format that
 * heartbeats use for changes. Of those whose entries expired, and which may
 * come back shortly, there are only the ids. Encoded by GVariant.
 */
#ifndef EDGE_SNAPSHOT_H
#define EDGE_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/heartbeat.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Path on the peer address. The parameter is a sum of SNAPSHOT_TABLE(); all
 * tables where it is missing.
 */
#define SNAPSHOT_PATH "/v1/snapshot"
#define SNAPSHOT_PARAMETER "tables"

#define SNAPSHOT_TABLE(table) (1u << (table))
#define SNAPSHOT_ALL UINT32_MAX

struct snapshot_table {
	uint32_t table; /* enum registry_table */
	struct row_version version; /* of the platform's newest row in it */
	uint32_t age_ms; /* upper bound of the time since the platform confirmed
			    it */
};

struct snapshot_row {
	uint32_t table; /* enum registry_table */
	const char *key;
	const char *value; /* decoded by the registry */
};

/*
 * Called in this order: all tables, all rows, all backend servers, the ids of
 * all expired entries.
 */
struct snapshot_visitor {
	void (*table)(void *context, const struct snapshot_table *table);
	void (*row)(void *context, const struct snapshot_row *row);
	void (*backend)(void *context, const struct heartbeat_row *backend);
	void (*expired)(void *context, const char *id);
};

struct snapshot_writer {
	GVariantBuilder tables;
	GVariantBuilder rows;
	GVariantBuilder backends;
	GVariantBuilder expired;
};

void snapshot_begin(struct snapshot_writer *writer);
void snapshot_add_table(struct snapshot_writer *writer,
			const struct snapshot_table *table);
void snapshot_add_row(struct snapshot_writer *writer,
		      const struct snapshot_row *row);
void snapshot_add_backend(struct snapshot_writer *writer,
			  const struct heartbeat_row *backend);
void snapshot_add_expired(struct snapshot_writer *writer, const char *id);
/* Returns the encoded bytes, for g_bytes_unref(). */
GBytes *snapshot_end(struct snapshot_writer *writer);

/*
 * Visits all of it. False, with nothing visited, where the bytes aren't a valid
 * snapshot.
 */
bool snapshot_read(const void *bytes, size_t length,
		   const struct snapshot_visitor *visitor, void *context);

#ifdef __cplusplus
}
#endif

#endif
