/*
 * snapshot - what a node knows of the platform's tables, for a neighbour
 *
 * A node that starts while the platform is away knows nothing. A neighbour that
 * beats to it gives it the rows as the platform gave them, which it takes for
 * hearsay: versions still only go forward, and the platform's own answer
 * replaces all of it. Encoded by GVariant.
 */
#ifndef EDGE_SNAPSHOT_H
#define EDGE_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Where neighbours ask for it, on the peer address. */
#define SNAPSHOT_PATH "/v1/snapshot"

struct snapshot_row {
	uint32_t table; /* enum registry_table */
	const char *key;
	const char *value; /* as the registry decodes it */
};

typedef void (*snapshot_visitor)(void *context, const struct snapshot_row *row);

struct snapshot_writer {
	GVariantBuilder rows;
};

void snapshot_begin(struct snapshot_writer *writer);
void snapshot_add(struct snapshot_writer *writer,
		  const struct snapshot_row *row);
/* The bytes, for g_bytes_unref(). */
GBytes *snapshot_end(struct snapshot_writer *writer);

/* Visit all rows; false, and none visited, where the bytes are no snapshot. */
bool snapshot_read(const void *bytes, size_t length, snapshot_visitor visitor,
		   void *context);

#ifdef __cplusplus
}
#endif

#endif
