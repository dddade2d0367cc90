/*
 * quarantine_store - quarantined requests in the platform's store
 *
 * What nodes tell each other of quarantines is gone when all of them die at
 * once. The node that sees a quarantine begin writes a row. Of each region
 * those that read the other tables at a start read the rows, too, before they
 * serve; beats bring them to the others. Not thread-safe.
 */
#ifndef EDGE_QUARANTINE_STORE_H
#define EDGE_QUARANTINE_STORE_H

#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct quarantine_store;

struct quarantine_store *quarantine_store_open(struct edge *edge);
/* End all calls. The memory may be freed once the loop has turned. */
void quarantine_store_close(struct quarantine_store *store);

/* Write the row anew: the quarantine began, goes on, or was ended. */
void quarantine_store_write(struct quarantine_store *store,
			    uint64_t fingerprint);

/*
 * Remove rows that this node wrote for requests that aren't quarantined any
 * more: what other nodes told since may speak for them.
 */
void quarantine_store_remove_lifted(struct quarantine_store *store);

/* The nodes of the region are known, and so who reads. */
void quarantine_store_members_known(struct quarantine_store *store);

/*
 * Whether this node is reading the rows, after its start. What it sends before
 * may be a request that has crashed servers.
 */
bool quarantine_store_is_reading(const struct quarantine_store *store);

/* The platform has another address. */
void quarantine_store_redirect(struct quarantine_store *store,
			       const struct endpoint *to);

#ifdef __cplusplus
}
#endif

#endif
