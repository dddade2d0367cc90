/*
 * member_table - the known nodes, and which of them are live
 *
 * The platform's table lists the nodes; heartbeats that nodes relay to each
 * other show which are live. A member whose heartbeat number hasn't increased
 * for MEMBER_TIMEOUT_US counts as dead until it does. Not thread-safe.
 */
#ifndef CORE_MEMBER_TABLE_H
#define CORE_MEMBER_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/endpoint.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Time without a heartbeat after which a member counts as dead. Short, since
 * callers cache the look-ups that still name it. Six heartbeat intervals of 500
 * ms, so that two datagrams lost in a row on a relayed path don't remove a live
 * member.
 */
#define MEMBER_TIMEOUT_US 3000000ull

struct member {
	char *name;
	uint32_t hash; /* of the name; identifies it in heartbeats */
	char *domain;
	char *region;
	struct endpoint front; /* for callers; port 0: unknown */
	struct endpoint peer; /* for heartbeats; port 0: unknown */
	uint32_t link_mbps; /* of its VM; 0: unknown */
	uint64_t heartbeat; /* highest number received */
	uint64_t heartbeat_us; /* when that number was received; 0: never */
	uint64_t listed_us; /* when its row was first read; 0: unknown */
	bool leaving; /* takes no requests: is stopping or still starting */
	bool partitioned; /* reaches no backend server by itself */
	uint32_t next_batch; /* of updates to send to it, see gossip_spread.c */
};

struct member_table {
	GHashTable *by_name; /* name -> struct member, owned */
	struct member *self; /* also in by_name */
};

struct member_table *member_table_new(const char *self_name);
void member_table_free(struct member_table *table);

/* Finds the member of this name, or adds it. */
struct member *member_table_put(struct member_table *table, const char *name);
struct member *member_table_find(struct member_table *table, const char *name);
struct member *member_table_find_hash(struct member_table *table,
				      uint32_t hash);

/* Removes the member; ignored for this node itself. */
void member_table_remove(struct member_table *table, const char *name);

/* Stores a received heartbeat; false if its number isn't a new highest one. */
bool member_note_heartbeat(struct member *member, uint64_t heartbeat,
			   bool leaving, uint64_t now_us);

/* Whether it takes requests: live and not leaving. */
bool member_serves(const struct member_table *table,
		   const struct member *member, uint64_t now_us);

/* Number of members, this node included. */
uint32_t member_table_count(const struct member_table *table);

/* Digest of members and their addresses, equal on nodes that agree. */
uint64_t member_table_digest(const struct member_table *table);

/*
 * The members that callers of a region should use: serving ones of the region
 * that reach servers by themselves; if there are none, such ones of all
 * regions, then partitioned ones of the region, then of all. Stores at most max
 * entries, borrowed from the table, and returns their number.
 */
uint32_t member_table_entries(const struct member_table *table,
			      const char *region, uint64_t now_us,
			      const struct member **entries, uint32_t max);

/*
 * The reader of this node's region: the serving member that reads the
 * platform's tables and sends them to all others of the region. It is the one
 * with the widest link, then the lowest hash. While members disagree for a
 * moment, more than one reads, which does no harm.
 */
const struct member *member_table_reader(const struct member_table *table,
					 uint64_t now_us);

/*
 * Whether this node is the reader. Members listed for less than
 * MEMBER_TIMEOUT_US count as live even without a heartbeat; otherwise all nodes
 * that start together would take themselves for the reader.
 */
bool member_table_is_reader(const struct member_table *table, uint64_t now_us);

/* Place of this node in its region's order of readers, with dead members. */
uint32_t member_table_reader_rank(const struct member_table *table);

/* The first others in that order, at most max; returns their number. */
uint32_t member_table_first_readers(const struct member_table *table,
				    const struct member **first, uint32_t max);

/*
 * A member that this node should delete from the platform's table: without a
 * heartbeat for forget_us, and of this region or of one without any serving
 * member. NULL if there is none, or if this node isn't the reader.
 */
const struct member *member_table_find_expired(const struct member_table *table,
					       uint64_t forget_us,
					       uint64_t now_us);

/*
 * Place of this node in the rendezvous order of all members for this hash; 0 is
 * the first. Dead members keep their places, so that two sides of a network
 * partition don't both take themselves for the owner.
 */
uint32_t member_table_rank(const struct member_table *table, uint32_t hash);

/* The same among the serving members of this node's region. */
uint32_t member_table_near_rank(const struct member_table *table, uint32_t hash,
				uint64_t now_us);

/*
 * The same among all members of the given region, dead ones too; UINT32_MAX if
 * this node isn't in it. And the number of members there.
 */
uint32_t member_table_region_rank(const struct member_table *table,
				  const char *region, uint32_t hash);
uint32_t member_table_region_count(const struct member_table *table,
				   const char *region);

/*
 * One of the first members of that order: a serving one, neither this node nor
 * the one whose hash is excluded. The search starts at a place given by spread,
 * a random number from 0 to 1. NULL if there is none.
 */
const struct member *member_table_region_pick(const struct member_table *table,
					      const char *region, uint32_t hash,
					      uint32_t first, uint32_t excluded,
					      double spread, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
