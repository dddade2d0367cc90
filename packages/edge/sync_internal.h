/*
 * sync_parts - what the files of sync share; not for other modules
 */
#ifndef EDGE_SYNC_INTERNAL_H
#define EDGE_SYNC_INTERNAL_H

#include "core/read_plan.h"
#include "edge/lane.h"
#include "edge/sync.h"

/*
 * Until the answer to a call to the platform begins, beyond the time that it
 * may be held: two round trips of a continent's width, and an answer fifty
 * times slower than usual.
 */
#define SYNC_CALL_TIMEOUT_US (1000 * US_PER_MS)

/*
 * Longest time that an answer of the platform may arrive: one of the largest
 * size, 16 MB, over the narrowest link that nodes have, 10 Mbit/s, takes 13.4
 * s.
 */
#define SYNC_MAX_TRANSFER_US (20 * US_PER_S)

struct follower;

/* A time that is fixed, or a part of that within which changes are known. */
struct follow_time {
	uint64_t us;
	uint32_t percent; /* not 0: the part */
};

/* How a table is followed. */
struct follow_rule {
	const char *name;
	enum registry_table table;
	struct follow_time hold; /* how long the platform may hold a call */
	struct follow_time interval; /* from one call's start to the next */
	struct follow_time confirmation_ttl; /* how long a neighbour's word is
						good */
	uint64_t max_transfer_us; /* for an answer */
	uint64_t mismatch_interval_us; /* between reads for a word that differs
					*/
	uint32_t max_peer_attempts; /* of neighbours, for one that differs */
	bool rereads_when_behind; /* where it differs, rather than each change
				     since */
	void (*apply)(struct sync *sync, const struct registry_row *row);
	/* After a whole read as of that version: what it didn't hold is gone.
	 */
	void (*prune)(struct sync *sync, GHashTable *seen);
};

struct follower {
	struct sync *sync;
	const struct follow_rule *rule;
	struct lane lane;
	uv_timer_t timer;
	uint64_t version; /* follow from here */
	bool loaded; /* the table was read whole */
	char *page_key; /* last key of the pages read so far */
	uint64_t page_version; /* version of the first page */
	uint64_t page_as_of_us; /* when the platform gave it */
	GHashTable *seen; /* keys of the pages read so far */
	/* Key -> value, as the platform gave them; not of backend servers. */
	GHashTable *rows;
	uint64_t called_us;
	bool superseded; /* a neighbour gave the table while it was out */
	uint64_t peer_asked_us; /* a neighbour, last */
	uint32_t peer_attempts; /* of neighbours in a row without the table */
	enum read_cause cause; /* of the latest step */
	uint64_t answered_us; /* last good answer */
	uint64_t confirmed_us; /* the platform confirmed what is believed */
	uint64_t mismatched_us; /* and by then it said otherwise to a neighbour
				 */
	uint32_t failures; /* in a row */
};

#define FOLLOWERS SYNC_TABLES

struct sync {
	struct edge *edge;
	struct follower followers[FOLLOWERS];
	uint64_t started_us; /* when members were known, else the start */
	struct lane own_lane; /* writes this node's row */
	uv_timer_t own_timer;
	uint32_t own_failures; /* of its writes, in a row */
	bool own_row_current; /* this node's row is in the table as it should be
			       */
	struct lane peer_lane; /* asks a neighbour for tables */
	uint32_t requested_tables; /* sum of SNAPSHOT_TABLE(); 0: not asking */
	uint32_t last_requested_tables; /* the same of the latest question */
	bool requested_from_reader; /* the neighbour asked is the region's
				       reader */
	GBytes *snapshot; /* the latest snapshot, for neighbours */
	uint32_t snapshot_tables;
	uint64_t snapshot_us; /* when it was made */
	uint64_t link_busy_until_us; /* see read_may_give() */
	bool platform_was_away; /* since the last rows of backend servers */
	bool routes_unreadable; /* the newest routes can't be read */
	uint64_t expiry_grace_until_us; /* missing backend servers are kept till
					 * then
					 */
};

/* sync_plan.c: how each table is followed. */
extern const struct follow_rule follow_rules[FOLLOWERS];

/* sync_plan.c: how soon what the platform says must be known here. */
uint64_t sync_change_deadline_us(const struct edge *edge);

/* sync_plan.c: this node among those of its region that may read. */
uint32_t sync_own_rank(const struct sync *sync);

uint64_t follower_time_us(const struct follower *follower,
			  const struct follow_time *time);

/* sync_plan.c: ask the platform now; no call may be out for longer than its
 * time. */
void follower_call(struct follower *follower);

/* sync_plan.c: ask whom the plan says, or wait. */
void follower_step(struct follower *follower);

/* sync_plan.c: look again after so long. */
void follower_step_later(struct follower *follower, uint64_t delay_us);

/* sync_answer.c: the platform's answer, NULL without one; see lane_done. */
void follower_answered(void *context, const struct message *answer,
		       const char *cause);

/* sync_answer.c: a pass over the whole table ends; what it didn't hold is gone.
 */
void follower_end_pass(struct follower *follower, uint64_t version,
		       uint64_t as_of_us);

/* sync_answer.c: keep the row as the platform gave it. */
void follower_keep_row(struct follower *follower,
		       const struct registry_row *row);

/* sync_neighbours.c: ask a neighbour for what this node should know. */
void sync_ask_peer(struct sync *sync);

/* sync_neighbours.c: whether the reader's word was another one lately. */
bool follower_has_mismatch(const struct follower *follower);

/* sync_own.c: write this node's own row, again if need be. */
void sync_write_own_row(struct sync *sync);
void sync_write_own_row_later(struct sync *sync, uint64_t delay_us);

/* sync_tables.c: what a row says, and what a whole table doesn't say. */
void apply_config_row(struct sync *sync, const struct registry_row *row);
void prune_config(struct sync *sync, GHashTable *seen);
void apply_backend_row(struct sync *sync, const struct registry_row *row);
void prune_backends(struct sync *sync, GHashTable *seen);
void apply_member_row(struct sync *sync, const struct registry_row *row);
void prune_members(struct sync *sync, GHashTable *seen);

#endif
