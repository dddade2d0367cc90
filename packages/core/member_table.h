/*
 * member_table - the nodes that are known, and which of them live
 *
 * The platform's table says which nodes there are; beats that nodes pass on to
 * each other say which of them live. A member whose beat number hasn't risen
 * for MEMBER_SILENT_US counts as dead until it does. Not thread-safe.
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
 * A dead node must leave the look-ups before callers' copies of them name it
 * for long; six beats of 500 ms, so that two lost datagrams in a row on the way
 * over another member don't remove a live one.
 */
#define MEMBER_SILENT_US 3000000ull

struct member {
	char *name;
	uint32_t hash; /* of the name, as beats carry it */
	char *domain;
	char *region;
	struct endpoint front; /* for callers */
	struct endpoint peer; /* for beats */
	uint32_t link_mbps; /* of its VM; 0: not said */
	uint64_t heartbeat; /* highest number heard */
	uint64_t heard_us; /* when it rose; 0: never */
	uint64_t known_us; /* when its row was first read */
	bool leaving;
};

struct member_table {
	GHashTable *by_name; /* owns */
	struct member *self; /* also in by_name */
};

struct member_table *member_table_new(const char *self_name);
void member_table_free(struct member_table *table);

/* The member of this name, made where it is missing. */
struct member *member_table_put(struct member_table *table, const char *name);
struct member *member_table_find(struct member_table *table, const char *name);
struct member *member_table_find_hash(struct member_table *table,
				      uint32_t hash);

/* Forget the member; never oneself. */
void member_table_remove(struct member_table *table, const char *name);

/* Take a beat over; whether it was news. */
bool member_heard(struct member *member, uint64_t beat, bool leaving,
		  uint64_t now_us);

/* Whether it takes requests: heard of lately and not leaving. */
bool member_serves(const struct member_table *table,
		   const struct member *member, uint64_t now_us);

/* All members known, oneself included. */
uint32_t member_table_count(const struct member_table *table);

/* One number for who is known and where: the same where two nodes agree. */
uint64_t member_table_digest(const struct member_table *table);

/*
 * The members that callers of this region and domain should use: those of the
 * region, else all. At most most entries are stored; returns how many.
 */
uint32_t member_table_entries(const struct member_table *table,
			      const char *region, uint64_t now_us,
			      const struct member **entries, uint32_t most);

/*
 * The member of one's own region that reads the platform's tables for all of
 * it: of the live ones with the widest link the one with the lowest hash, since
 * a reader tells all of its region. Members that disagree for a moment read
 * once too often.
 */
const struct member *member_table_reader(const struct member_table *table,
					 uint64_t now_us);

/*
 * Whether oneself reads for the region. A node that has just started has heard
 * nobody yet: members that it has known for less than MEMBER_SILENT_US count as
 * live, or all that start together would take themselves for the reader.
 */
bool member_table_reads(const struct member_table *table, uint64_t now_us);

/* How many of one's own region, dead ones too, come before oneself in that. */
uint32_t member_table_read_rank(const struct member_table *table);

/* The first others of one's own region in that order; returns how many. */
uint32_t member_table_first_readers(const struct member_table *table,
				    const struct member **first, uint32_t most);

/*
 * A member that this node, which reads for its region, should strike from the
 * platform's table: silent for forget_us, and of this region or of one where
 * nobody lives. NULL if there is none.
 */
const struct member *member_table_lost(const struct member_table *table,
				       uint64_t forget_us, uint64_t now_us);

/*
 * Place of oneself in the rendezvous order of all known members for this hash,
 * 0 first. Dead ones keep their place: two sides of a cut must not both think
 * that they are the owner.
 */
uint32_t member_table_rank(const struct member_table *table, uint32_t hash);

/* The same among the live members of one's own region. */
uint32_t member_table_near_rank(const struct member_table *table, uint32_t hash,
				uint64_t now_us);

/*
 * The same among the members of this region, dead ones too; UINT32_MAX for one
 * that isn't of it. And how many these are.
 */
uint32_t member_table_region_rank(const struct member_table *table,
				  const char *region, uint32_t hash);
uint32_t member_table_region_count(const struct member_table *table,
				   const char *region);

/*
 * One of the first so many of that order that lives and is neither oneself nor
 * of this hash, drawn by spread, 0 to 1; NULL if none does.
 */
const struct member *member_table_region_draw(const struct member_table *table,
					      const char *region, uint32_t hash,
					      uint32_t first, uint32_t but,
					      double spread, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
