/*
 * quarantine_store - quarantined requests in the platform's store
 *
 * Quarantines that nodes exchange are lost when all nodes fail at once, so the
 * node that sees a quarantine begin writes a row. In each region the nodes that
 * read the other tables first at a start also read these rows, before they
 * serve; heartbeats bring them to the other nodes. Not thread-safe.
 */
#ifndef EDGE_QUARANTINE_STORE_H
#define EDGE_QUARANTINE_STORE_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct quarantine_store;

struct quarantine_store *quarantine_store_open(struct edge *edge);
/* End all calls. The memory may be freed after one more turn of the loop. */
void quarantine_store_close(struct quarantine_store *store);

/*
 * Write the request's row as it is now: its quarantine began, changed or ended.
 */
void quarantine_store_write(struct quarantine_store *store,
			    uint64_t fingerprint);

/*
 * Remove rows that this node wrote for requests no longer quarantined: updates
 * of other nodes may have lifted the quarantine.
 */
void quarantine_store_remove_lifted(struct quarantine_store *store);

/*
 * The platform's tables were restored from a copy: write rows of this node
 * again, and remove those of requests released lately. The region's reader does
 * so for all nodes, which may have failed since.
 */
void quarantine_store_rewrite(struct quarantine_store *store);

/* The region's nodes are known, and so which of them read the rows. */
void quarantine_store_members_known(struct quarantine_store *store);

/*
 * Whether this node is still reading the rows after its start. Until then it
 * may send a request that has crashed servers.
 */
bool quarantine_store_is_reading(const struct quarantine_store *store);

/* Set another address of the platform. */
void quarantine_store_redirect(struct quarantine_store *store,
			       const struct endpoint *to);

#ifdef __cplusplus
}
#endif

#endif
