/*
 * sync_internal - declarations shared by the files of sync only
 */
#ifndef EDGE_SYNC_INTERNAL_H
#define EDGE_SYNC_INTERNAL_H

#include "core/read_plan.h"
#include "edge/lane.h"
#include "edge/sync.h"

/*
 * When the platform is back after an outage, expired entries of backend servers
 * are written again within about 2 s.
 */
#define EXPIRY_GRACE_US (2200 * US_PER_MS)

/*
 * Time-out until an answer of the platform begins, beyond the hold: two round
 * trips across a continent, and an answer fifty times slower than usual.
 */
#define SYNC_CALL_TIMEOUT_US (1000 * US_PER_MS)

/*
 * Longest transfer of an answer: the largest one, 16 MB, takes 13.4 s over the
 * narrowest link of a node, 10 Mbit/s.
 */
#define SYNC_MAX_TRANSFER_US (20 * US_PER_S)

struct follower;

/* A fixed time, or a percentage of sync_change_deadline_us(). */
struct follow_time {
	uint64_t us;
	uint32_t percent; /* 0: us holds */
};

/* How a table is followed. */
struct follow_rule {
	const char *name;
	enum registry_table table;
	struct follow_time hold; /* the platform holds a call up to this */
	struct follow_time interval; /* from start to start of two calls */
	struct follow_time confirmation_ttl; /* of a digest by the reader */
	uint64_t max_transfer_us; /* of an answer */
	uint64_t mismatch_interval_us; /* min. between mismatch reads */
	uint32_t max_peer_attempts; /* for one mismatch */
	bool rereads_when_behind; /* by a full read, not by all changes since */
	/* False where what is known is newer: the row isn't kept. */
	bool (*apply)(struct sync *sync, const struct registry_row *row);
	/*
	 * Remove what isn't in seen, the keys of a full read as of the
	 * follower's version.
	 */
	void (*prune)(struct sync *sync, GHashTable *seen);
};

struct follower {
	struct sync *sync;
	const struct follow_rule *rule;
	struct lane lane;
	uv_timer_t timer;
	struct row_version version; /* changes are read from here on */
	bool loaded; /* read in full */
	char *page_key; /* last key read so far; NULL: none */
	struct row_version page_version; /* version of the first page */
	uint64_t page_as_of_us; /* when the platform sent it */
	GHashTable *seen; /* keys read so far in this full read */
	/* Key -> value as the platform sent them; empty for backend servers. */
	GHashTable *rows;
	/* Keys of these that the restored table lacks; see sync_era.c. */
	GHashTable *unconfirmed;
	uint64_t called_us;
	uint32_t full_reads; /* begun so far */
	uint32_t call_full_reads; /* the same at the time of the call */
	bool call_continues; /* the call goes on from a version or a page */
	uint32_t call_era; /* of that version or page */
	bool superseded; /* a peer's table was applied during the call */
	uint64_t peer_asked_us; /* last request to a peer */
	uint32_t peer_attempts; /* consecutive requests without the table */
	enum read_cause cause; /* of the latest read */
	uint64_t answered_us; /* last valid answer */
	uint64_t confirmed_us; /* platform's confirmation of the rows */
	uint64_t mismatched_us; /* as of then the reader's digest differed */
	uint32_t failures; /* consecutive */
	uint32_t older_answers; /* consecutive */
};

#define FOLLOWERS SYNC_TABLES

struct sync {
	struct edge *edge;
	struct follower followers[FOLLOWERS];
	uint64_t started_us; /* when members were loaded, else the start */
	struct lane own_lane; /* for this node's row */
	uv_timer_t own_timer;
	uint32_t own_failures; /* consecutive failed writes */
	bool own_row_current; /* the members' table has this node's row as it is
				 now */
	bool own_row_lost; /* it may be, by a restore; peers may still have it
			    */
	struct lane peer_lane; /* for snapshots of peers */
	uint32_t requested_tables; /* sum of SNAPSHOT_TABLE(); 0: no request */
	uint32_t last_requested_tables; /* of the last request */
	bool requested_from_reader; /* the peer is the region's reader */
	GBytes *snapshot; /* latest snapshot for peers */
	uint32_t snapshot_tables;
	uint64_t snapshot_us; /* when it was built */
	uint64_t link_busy_until_us; /* for read_may_serve_peer() */
	bool platform_was_away; /* and no backend rows since */
	bool routes_unreadable; /* newest version can't be decoded */
	bool routes_reverted; /* the platform's are older than those in force */
	uint64_t expiry_grace_until_us; /* missing servers are kept till */
	bool era_known; /* some answer or peer told an era */
	uint32_t era; /* the latest one told */
	uint64_t restored_until_us; /* lost rows may be written again till then
				     */
	uint32_t refused_eras; /* consecutive answers */
	uv_timer_t settle_timer; /* tables with unconfirmed rows are read again
				  */
};

/* sync_plan.c: rules by table. */
extern const struct follow_rule follow_rules[FOLLOWERS];

/*
 * sync_plan.c: time within which a change at the platform must be in force
 * here.
 */
uint64_t sync_change_deadline_us(const struct edge *edge);

/*
 * sync_plan.c: rank of this node among those of its region that may read, or
 * READ_RANK_UNKNOWN.
 */
uint32_t sync_own_rank(const struct sync *sync);

/* sync_plan.c: the time in microseconds, with a percentage resolved. */
uint64_t follow_time_to_us(const struct follower *follower,
			   const struct follow_time *time);

/* sync_plan.c: call the platform now, unless a call is in progress. */
void follower_call(struct follower *follower);

/* sync_plan.c: read from the source that the plan chooses, or wait. */
void follower_step(struct follower *follower);

/* sync_plan.c: run follower_step() after this delay. */
void follower_step_later(struct follower *follower, uint64_t delay_us);

/*
 * sync_answer.c: handle the platform's answer, NULL without one; see lane_done.
 */
void follower_answered(void *context, const struct message *answer,
		       const char *cause);

/* A version of the platform's table in the latest era. */
static inline struct row_version sync_version(const struct sync *sync,
					      uint64_t number)
{
	const struct row_version version = { number, sync->era };

	return version;
}

/* sync_answer.c: read the table from its first page on. */
void follower_begin_full_read(struct follower *follower);

/* The same, in place of a call that is held by the platform. */
void follower_restart(struct follower *follower);

/* sync_answer.c: end a full read; remove rows that it didn't contain. */
void follower_end_pass(struct follower *follower, struct row_version version,
		       uint64_t as_of_us);

/* sync_answer.c: apply a row, and keep it as the platform sent it. */
void follower_apply_row(struct follower *follower,
			const struct registry_row *row);

/* sync_era.c: a later era begins; source says who told it. */
void sync_begin_era(struct sync *sync, uint32_t era, const char *source);

/*
 * sync_era.c: a full read ends: keep rows that it lacks, where it is the first
 * in an era, until their writers had time to write them again.
 */
void follower_keep_unconfirmed(struct follower *follower,
			       struct row_version version);

/* sync_era.c: the row was received. */
void follower_confirm_row(struct follower *follower, const char *key);

/* sync_peers.c: request from a peer the tables that are missing or differ. */
void sync_ask_peer(struct sync *sync);

/*
 * sync_peers.c: whether the reader's digest differed since the last
 * confirmation.
 */
bool follower_has_mismatch(const struct follower *follower);

/* sync_own_row.c: write this node's own row; retried until it succeeds. */
void sync_write_own_row(struct sync *sync);
void sync_write_own_row_later(struct sync *sync, uint64_t delay_us);

/* sync_tables.c: apply a row; remove what a full read didn't contain. */
bool apply_config_row(struct sync *sync, const struct registry_row *row);
void prune_config(struct sync *sync, GHashTable *seen);
bool apply_backend_row(struct sync *sync, const struct registry_row *row);
void prune_backends(struct sync *sync, GHashTable *seen);
bool apply_member_row(struct sync *sync, const struct registry_row *row);
void prune_members(struct sync *sync, GHashTable *seen);

#endif
