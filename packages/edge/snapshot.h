/*
 * snapshot - what a node knows of the platform's tables, for a neighbour
 *
 * A node that starts, or whose rows differ from its region's reader's, has them
 * from a neighbour where it can, so that the platform isn't asked for the same
 * by each. Each table comes whole, with the platform's version and how long ago
 * the platform confirmed it. Backend servers come as what is believed of them,
 * in the form in which beats tell of changes; of those whose entries are
 * missing, and which may be back in a moment, only the ids. Encoded by
 * GVariant.
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
 * Where neighbours ask for it, on the peer address. The parameter is a sum of
 * SNAPSHOT_TABLE(), and all tables where it is missing.
 */
#define SNAPSHOT_PATH "/v1/snapshot"
#define SNAPSHOT_PARAMETER "tables"

#define SNAPSHOT_TABLE(table) (1u << (table))
#define SNAPSHOT_ALL UINT32_MAX

struct snapshot_table {
	uint32_t table; /* enum registry_table */
	uint64_t version; /* of the platform's newest row in it */
	uint32_t age_ms; /* since the platform confirmed it, at most */
};

struct snapshot_row {
	uint32_t table; /* enum registry_table */
	const char *key;
	const char *value; /* as the registry decodes it */
};

/* The tables come first, then rows, then backend servers. */
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
/* The bytes, for g_bytes_unref(). */
GBytes *snapshot_end(struct snapshot_writer *writer);

/* Visit all of it; false, and nothing visited, where it is no snapshot. */
bool snapshot_read(const void *bytes, size_t length,
		   const struct snapshot_visitor *visitor, void *context);

#ifdef __cplusplus
}
#endif

#endif
