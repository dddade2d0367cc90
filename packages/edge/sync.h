/*
 * sync - follows the platform's tables and maintains the node's own row
 *
 * Each table has a connection (lane) of its own. A table is read in full, then
 * followed by its changes from that version on; where the platform no longer
 * has the changes since, it is read in full again. What is loaded stays in
 * force while the platform is unreachable.
 */
#ifndef EDGE_SYNC_H
#define EDGE_SYNC_H

#include "edge/heartbeat.h"
#include "edge/edge.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sync;

struct sync *sync_open(struct edge *edge);
/* End all calls. The memory may be freed after one more turn of the loop. */
void sync_close(struct sync *sync);

/* Number of the platform's tables that are followed. */
#define SYNC_TABLES 3

/* State of a followed table. */
struct sync_table_state {
	const char *name;
	uint64_t version; /* of the newest row applied */
	uint32_t era; /* of that version */
	bool loaded; /* read in full */
	uint64_t confirmed_us; /* last confirmation by the platform */
	uint32_t failures; /* consecutive failed calls */
};

/* Fill in SYNC_TABLES states. Returns their count. */
uint32_t sync_table_states(const struct sync *sync,
			   struct sync_table_state *states);

/*
 * Age of the routes in force: time since the platform, directly or through a
 * peer, last confirmed them. UINT64_MAX: never confirmed.
 */
uint64_t sync_routes_age_us(const struct sync *sync);

/*
 * Whether a request that the routes and limits in force don't allow may be
 * denied with a 4xx. Callers don't retry after a 4xx, so it must not be sent
 * where another version may already be in force elsewhere: the routes were
 * confirmed too long ago or never, the region's reader reported other routes
 * since, new routes are arriving, the newest routes can't be decoded, or the
 * platform was restored and may have lost newer ones. false for NULL.
 */
bool sync_may_deny(const struct sync *sync);

/*
 * Remaining time for which missing backend servers are treated as expired
 * entries and kept, not removed.
 */
uint64_t sync_expiry_grace_left_us(const struct sync *sync);

/*
 * One node of a region, the reader, reads the tables for the whole region and
 * sends digests of its tables with its heartbeats. At a peer with the same
 * digest the table is confirmed up to the same version; it calls the platform
 * itself only where digests differ or the confirmation expires.
 */
uint32_t sync_fill_digests(const struct sync *sync,
			   struct heartbeat_digest *digests);
void sync_receive_digest(struct sync *sync,
			 const struct heartbeat_digest *received);

/*
 * Snapshot of the tables (sum of SNAPSHOT_TABLE()) that this node has loaded,
 * for a peer. The caller releases it by g_bytes_unref(). NULL where the node's
 * link has no capacity for it.
 */
GBytes *sync_snapshot(struct sync *sync, uint32_t tables);

/*
 * A heartbeat came from that peer address. If calls to the platform fail and
 * this node still lacks the routes or the backend servers, it asks the peer for
 * a snapshot.
 */
void sync_receive_peer_address(struct sync *sync, const struct endpoint *from);

/*
 * The node has become ready and may be its region's reader: each table chooses
 * its source again.
 */
void sync_became_ready(struct sync *sync);

/* A node that isn't in the members' table sent a heartbeat: read the table. */
void sync_read_members(struct sync *sync);

/*
 * Remove one node that is lost for good, if any, from the platform's table.
 * Nodes are replaced daily; rows of lost ones would hold their shares of the
 * extra requests and of cold servers for ever.
 */
void sync_remove_lost_member(struct sync *sync);

/*
 * Whether the platform's answer tells the latest era that is known, or a later
 * one, which then begins: tables of an earlier era are read again. An answer of
 * another era, or of none, must not be used. call names it in logs.
 */
bool sync_check_era(struct sync *sync, const struct message *answer,
		    const char *call);

/* Set another address of the platform. */
void sync_redirect(struct sync *sync, const struct endpoint *to);

/*
 * Abort held calls and call again at once: the process was suspended, and its
 * tables may be out of date.
 */
void sync_refresh(struct sync *sync);

#ifdef __cplusplus
}
#endif

#endif
