/*
 * sync - follows the platform's tables and keeps the node's own row there
 *
 * Each table has a lane of its own. A table is read whole, then followed from
 * that version on; where the history is lost it is read whole again. What is
 * known stays in force while the platform is away.
 */
#ifndef EDGE_SYNC_H
#define EDGE_SYNC_H

#include "edge/beat.h"
#include "edge/edge.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sync;

struct sync *sync_open(struct edge *edge);
/* End all calls. The memory may be freed once the loop has turned. */
void sync_close(struct sync *sync);

/* Tables of the platform that are followed. */
#define SYNC_TABLES 3

/* How a table stands. */
struct sync_table_state {
	const char *name;
	uint64_t version; /* of the newest row known */
	bool loaded; /* it was read whole */
	uint64_t confirmed_us; /* when the platform last confirmed it */
	uint32_t failures; /* of calls, in a row */
};

/* Fill in SYNC_TABLES views; returns how many. */
uint32_t sync_table_states(const struct sync *sync,
			   struct sync_table_state *views);

/*
 * How long ago the platform's word, one's own or a neighbour's, confirmed the
 * routes in force; UINT64_MAX: never.
 */
uint64_t sync_routes_age_us(const struct sync *sync);

/*
 * Whether what the routes and limits in force don't allow may be denied with a
 * 4xx. Callers don't come back after one, so it may not where a change could be
 * in force elsewhere by now that isn't here: the routes were confirmed too long
 * ago or never, a neighbour that asked later knows others, others are arriving,
 * or the newest can't be read. NULL: no.
 */
bool sync_may_deny(const struct sync *sync);

/* For how long missing backend servers are still taken for lapsed ones. */
uint64_t sync_expiry_grace_left_us(const struct sync *sync);

/*
 * One node of a region reads the tables for all of it. It vouches for what it
 * believes by digests; a neighbour whose digest is the same has the platform's
 * word by it, up to the same version, and calls the platform itself only where
 * digests differ or the word grows old.
 */
uint32_t sync_fill_digests(const struct sync *sync, struct beat_vouch *vouches);
void sync_receive_digest(struct sync *sync, const struct beat_vouch *vouch);

/*
 * What this node knows of the tables (a sum of SNAPSHOT_TABLE()), for a
 * neighbour and for g_bytes_unref(); NULL where its link has no room for it.
 */
GBytes *sync_snapshot(struct sync *sync, uint32_t tables);

/*
 * A neighbour beats from there. Where this node can't reach the platform and
 * knows too little to serve, it asks the neighbour for its snapshot.
 */
void sync_receive_peer_address(struct sync *sync, const struct endpoint *from);

/*
 * The node has become ready: it may read for its region from now on, and looks
 * again at whom to ask.
 */
void sync_became_ready(struct sync *sync);

/* A node was heard of that the members' table didn't name yet. */
void sync_read_members(struct sync *sync);

/*
 * Strike a node that is lost for good from the platform's table, if there is
 * one: nodes are replaced every day, and rows of those that are gone would take
 * their parts of the extra requests and of cold servers for ever.
 */
void sync_remove_lost_member(struct sync *sync);

/* The platform has another address. */
void sync_redirect(struct sync *sync, const struct endpoint *to);

/* Ask at once: the node was suspended, and what it knows is old. */
void sync_refresh(struct sync *sync);

#ifdef __cplusplus
}
#endif

#endif
