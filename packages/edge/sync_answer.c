#include "edge/sync_internal.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/quarantine_store.h"

/* Longest time from sending to receiving the first byte of an answer. */
#define MAX_FIRST_BYTE_DELAY_US (100 * US_PER_MS)

/*
 * Schedules the next call: at once after a partial answer or a page of a table,
 * else when the table's interval is over.
 */
static void call_next(struct follower *follower,
		      const struct registry_rows *rows)
{
	uint64_t since_us =
		edge_now_us(follower->sync->edge) - follower->called_us;
	uint64_t spacing =
		follower->loaded ?
			follow_time_to_us(follower, &follower->rule->interval) :
			0;

	if (follower->loaded && rows->has_more) {
		follower_call(follower);
		return;
	}
	follower_step_later(follower,
			    spacing > since_us ? spacing - since_us : 0);
}

static void forget_pages(struct follower *follower)
{
	g_clear_pointer(&follower->page_key, g_free);
	g_hash_table_remove_all(follower->seen);
}

void follower_begin_full_read(struct follower *follower)
{
	follower->loaded = false;
	follower->full_reads++;
	forget_pages(follower);
}

void follower_restart(struct follower *follower)
{
	follower_begin_full_read(follower);
	if (lane_is_busy(&follower->lane) &&
	    !lane_is_receiving(&follower->lane))
		lane_abort(&follower->lane, "restarted");
	else
		follower_step_later(follower, 0);
}

/* Entries missing in the first rows after the platform was unreachable. */
static uint32_t count_missing(const struct follower *follower,
			      const struct registry_rows *rows)
{
	const struct edge *edge = follower->sync->edge;
	uint32_t known = g_hash_table_size(edge->backends->by_id);
	uint32_t deleted = 0;
	guint i;

	for (i = 0; i < rows->rows->len; i++)
		if (g_array_index(rows->rows, struct registry_row, i).deleted)
			deleted++;
	if (follower->loaded)
		return MIN(deleted, known);
	return known - MIN(rows->rows->len - deleted, known);
}

/*
 * Missing entries are kept for the grace multiplied by the fraction of entries
 * that are missing: where most are there the platform wasn't down, or has long
 * been back, and a missing server has left.
 */
static void set_expiry_grace(struct follower *follower,
			     const struct registry_rows *rows)
{
	struct sync *sync = follower->sync;
	uint32_t known = g_hash_table_size(sync->edge->backends->by_id);
	uint32_t missing = count_missing(follower, rows);

	sync->platform_was_away = false;
	if (!known)
		return;
	sync->expiry_grace_until_us = MAX(
		sync->expiry_grace_until_us,
		edge_now_us(sync->edge) +
			(uint64_t)((double)missing / known * EXPIRY_GRACE_US));
	log_event(LOG_INFO, "lapse-weighed", "known=%u missing=%u", known,
		  missing);
}

static void keep_row(struct follower *follower, const struct registry_row *row)
{
	/*
	 * Snapshots hold backend servers as in the backend table, not as raw
	 * rows.
	 */
	if (follower->rule->table == REGISTRY_BACKENDS)
		return;
	/* A snapshot can only hold valid UTF-8. */
	if (row->deleted || !g_utf8_validate(row->value, -1, NULL))
		g_hash_table_remove(follower->rows, row->key);
	else
		g_hash_table_replace(follower->rows, g_strdup(row->key),
				     g_strdup(row->value));
}

void follower_apply_row(struct follower *follower,
			const struct registry_row *row)
{
	follower_confirm_row(follower, row->key);
	if (follower->rule->apply(follower->sync, row))
		keep_row(follower, row);
}

static gboolean is_unseen(gpointer key, gpointer value, gpointer seen)
{
	(void)value;
	return !g_hash_table_contains(seen, key);
}

static void apply_rows(struct follower *follower,
		       const struct registry_rows *rows)
{
	struct sync *sync = follower->sync;
	guint i;

	if (follower->rule->table == REGISTRY_BACKENDS &&
	    sync->platform_was_away)
		set_expiry_grace(follower, rows);
	for (i = 0; i < rows->rows->len; i++) {
		const struct registry_row *row =
			&g_array_index(rows->rows, struct registry_row, i);

		if (row->bad_key ||
		    (!row->deleted && !row->value &&
		     follower->rule->table != REGISTRY_BACKENDS))
			continue;
		if (!follower->loaded)
			g_hash_table_add(follower->seen, g_strdup(row->key));
		follower_apply_row(follower, row);
	}
}

/*
 * The answer holds the state of when the platform sent it, not of when its last
 * byte arrived. Otherwise an answer that took seconds to arrive would count as
 * fresh, and routes acknowledged meanwhile would be denied for that much
 * longer. The same holds for one that waited in the socket while the process
 * was paused.
 */
static uint64_t answer_as_of_us(const struct follower *follower)
{
	uint64_t received_us = edge_earliest_arrival_us(follower->sync->edge);
	uint64_t elapsed_us =
		lane_transfer_us(&follower->lane) + MAX_FIRST_BYTE_DELAY_US;

	return MAX(follower->called_us,
		   received_us - MIN(received_us, elapsed_us));
}

/* Marks the rows as confirmed by the platform at that time. */
static void confirm(struct follower *follower, uint64_t as_of_us)
{
	follower->confirmed_us = MAX(follower->confirmed_us, as_of_us);
}

/*
 * The members are loaded: writes this node's row if it is missing or out of
 * date there, and lets the other tables choose a peer as their source.
 */
static void handle_members_loaded(struct sync *sync)
{
	uint32_t i;

	if (!sync->own_row_lost) {
		uv_timer_stop(&sync->own_timer);
		sync_write_own_row(sync);
	}
	if (edge_is_ready(sync->edge))
		return;
	sync->started_us = edge_now_us(sync->edge);
	for (i = 0; i < FOLLOWERS; i++)
		if (!sync->followers[i].loaded)
			follower_step_later(&sync->followers[i], 0);
}

void follower_end_pass(struct follower *follower, struct row_version version,
		       uint64_t as_of_us)
{
	follower_keep_unconfirmed(follower, version);
	follower->version = version;
	follower->rule->prune(follower->sync, follower->seen);
	g_hash_table_foreach_remove(follower->rows, is_unseen, follower->seen);
	log_event(LOG_INFO, "table-read",
		  "table=%s rows=%u version=%" PRIu64 " era=%u",
		  follower->rule->name, g_hash_table_size(follower->seen),
		  version.number, version.era);
	forget_pages(follower);
	follower->loaded = true;
	follower->peer_attempts = 0;
	confirm(follower, as_of_us);
	if (follower->rule->table == REGISTRY_MEMBERS)
		handle_members_loaded(follower->sync);
	if (follower->rule->table == REGISTRY_MEMBERS &&
	    follower->sync->edge->quarantines)
		quarantine_store_members_known(
			follower->sync->edge->quarantines);
}

/*
 * Logs the first of these answers in a row, the second, the fourth and so on.
 */
static void note_older(struct follower *follower, struct row_version version)
{
	metric_add(follower->sync->edge->stats.registry_older, 1);
	follower->older_answers++;
	if (follower->older_answers & (follower->older_answers - 1))
		return;
	log_event(LOG_WARNING, "registry-older",
		  "table=%s answers=%u version=%" PRIu64 " known=%" PRIu64
		  " era=%u",
		  follower->rule->name, follower->older_answers, version.number,
		  follower->version.number, version.era);
}

static void apply_page(struct follower *follower,
		       const struct registry_rows *rows)
{
	const struct row_version version =
		sync_version(follower->sync, rows->version);
	const struct registry_row *last;

	if (!follower->page_key) {
		follower->page_version = version;
		follower->page_as_of_us = answer_as_of_us(follower);
	}
	/*
	 * A lagging replica sends an older state, which would restore rows
	 * that were removed: ignored, and read again.
	 */
	if (row_version_is_older(version, follower->version)) {
		note_older(follower, version);
		return;
	}
	follower->older_answers = 0;
	apply_rows(follower, rows);
	if (rows->has_more && rows->rows->len) {
		last = &g_array_index(rows->rows, struct registry_row,
				      rows->rows->len - 1);
		g_free(follower->page_key);
		follower->page_key = g_strdup(last->key);
		return;
	}
	follower_end_pass(follower, follower->page_version,
			  follower->page_as_of_us);
}

/*
 * A broken path to the platform would block the held calls of the other tables
 * for their whole hold, even past its recovery. The time-out of the short call
 * for backend servers ends them all, and so does its success after failures. An
 * answer that is arriving is left alone: it may be what fills the link and
 * delayed the short call, and would start from its first byte. Its own time-out
 * ends it when no bytes come.
 */
static void abort_held_calls(struct sync *sync, const struct follower *except)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (&sync->followers[i] != except &&
		    sync->followers[i].called_us <= except->called_us &&
		    !lane_is_receiving(&sync->followers[i].lane))
			lane_abort(&sync->followers[i].lane, "silent path");
}

/* The path works again: repeats calls held on it. */
static void resume_others(struct sync *sync, const struct follower *except)
{
	uint32_t i;

	abort_held_calls(sync, except);
	for (i = 0; i < FOLLOWERS; i++)
		if (&sync->followers[i] != except &&
		    !lane_is_busy(&sync->followers[i].lane))
			follower_step_later(&sync->followers[i], 0);
}

static void note_success(struct follower *follower)
{
	struct sync *sync = follower->sync;
	uint64_t now_us = edge_now_us(sync->edge);
	uint64_t gap_us = now_us - follower->answered_us;

	if (follower->failures)
		log_event(LOG_INFO, "registry-regained",
			  "table=%s failures=%u gap_us=%" PRIu64,
			  follower->rule->name, follower->failures, gap_us);
	/*
	 * The platform counts as unreachable without a valid answer for this
	 * long.
	 */
	if (follower->rule->table == REGISTRY_BACKENDS &&
	    follower->answered_us &&
	    (follower->failures ||
	     gap_us > sync_change_deadline_us(sync->edge)))
		sync->platform_was_away = true;
	if (follower->rule->table == REGISTRY_BACKENDS && follower->failures)
		resume_others(sync, follower);
	follower->answered_us = now_us;
	follower->failures = 0;
}

/*
 * Logs the first consecutive failure, the second, the fourth and so on, which
 * is ten lines for one that lasts a minute. The bytes received distinguish a
 * slow path from one without any answer.
 */
static void log_failure(const struct follower *follower, const char *cause)
{
	uint64_t now_us = edge_now_us(follower->sync->edge);

	if (follower->failures & (follower->failures - 1))
		return;
	log_event(LOG_WARNING, "registry-lost",
		  "table=%s cause=%s failures=%u whole=%s took_us=%" PRIu64
		  " got_bytes=%" PRIu64 " confirmed_age_us=%" PRIu64,
		  follower->rule->name, cause, follower->failures,
		  follower->loaded ? "yes" : "no", now_us - follower->called_us,
		  follower->lane.got_bytes, now_us - follower->confirmed_us);
}

static void note_failure(struct follower *follower, const char *cause)
{
	struct stats *stats = &follower->sync->edge->stats;

	metric_add(stats->registry_failures, 1);
	metric_add(stats->registry_lost_bytes, follower->lane.got_bytes);
	follower->failures++;
	log_failure(follower, cause);
	follower_step_later(follower,
			    read_retry_delay_us(follower->failures,
						sync_own_rank(follower->sync),
						g_random_double()));
}

/*
 * Logs how far behind the node was and whether the answer was complete: last is
 * the version of its last row, version is where to continue.
 */
static void log_followed(const struct follower *follower,
			 const struct registry_rows *rows)
{
	const struct registry_row *last;

	if (!rows->rows->len || follower->cause == READ_AS_READER)
		return;
	last = &g_array_index(rows->rows, struct registry_row,
			      rows->rows->len - 1);
	log_event(LOG_INFO, "table-followed",
		  "table=%s cause=%s rows=%u after=%" PRIu64 " last=%" PRIu64
		  " version=%" PRIu64 " confirmed_age_us=%" PRIu64,
		  follower->rule->name, read_cause_name(follower->cause),
		  rows->rows->len, follower->version.number, last->version,
		  rows->version,
		  edge_now_us(follower->sync->edge) - follower->confirmed_us);
}

/*
 * An answer cut at a maximum of rows doesn't confirm the table: otherwise the
 * node would fetch the rest as late as if there were none.
 */
static void apply_changes(struct follower *follower,
			  const struct registry_rows *rows)
{
	log_followed(follower, rows);
	apply_rows(follower, rows);
	follower->version = row_version_max(
		follower->version, sync_version(follower->sync, rows->version));
	if (!rows->has_more)
		confirm(follower, answer_as_of_us(follower));
}

/*
 * Reads the table in full after the answer with its changes was too large:
 * changes may contain several versions of a row, the table only the newest.
 */
static void reread_table(struct follower *follower)
{
	metric_add(follower->sync->edge->stats.registry_lost_bytes,
		   follower->lane.got_bytes);
	follower_begin_full_read(follower);
	follower_call(follower);
}

/* Whether the call's answer can't be used: a full read has begun since. */
static bool is_abandoned(const struct follower *follower)
{
	return !follower->superseded &&
	       follower->call_full_reads != follower->full_reads;
}

/*
 * Whether the call asked what follows a version or a page of another era. Its
 * answer may lack any change since: a restored platform gives out versions
 * again, from below the one that the call named.
 */
static bool asked_another_era(const struct follower *follower)
{
	return follower->call_continues &&
	       follower->call_era != follower->sync->era;
}

void follower_answered(void *context, const struct message *answer,
		       const char *cause)
{
	struct follower *follower = context;
	struct sync *sync = follower->sync;
	struct edge *edge = sync->edge;
	struct registry_rows rows = { 0 };
	enum registry_result result;

	if (!answer && is_abandoned(follower)) {
		follower_step_later(follower, 0);
		return;
	}
	if (!answer && follower->loaded && !strcmp(cause, LINK_TOO_LARGE)) {
		reread_table(follower);
		return;
	}
	if (!answer) {
		bool first_timeout = !strcmp(cause, "timeout") &&
				     !follower->failures;

		note_failure(follower, cause);
		if (first_timeout && follower->rule->table == REGISTRY_BACKENDS)
			abort_held_calls(sync, follower);
		return;
	}
	if (!sync_check_era(sync, answer, follower->rule->name)) {
		note_failure(follower, "era");
		return;
	}
	if (is_abandoned(follower) || asked_another_era(follower)) {
		metric_add(edge->stats.registry_lost_bytes,
			   follower->lane.got_bytes);
		note_success(follower);
		follower_begin_full_read(follower);
		follower_step(follower);
		return;
	}
	result = edge->registry->vtable->decode(
		edge->registry, answer->status,
		(const char *)answer->body->data, answer->body->len, &rows);
	switch (result) {
	case REGISTRY_OK:
		metric_add(edge->stats.registry_bytes,
			   follower->lane.got_bytes);
		note_success(follower);
		if (follower->superseded) {
			/* Rows may be older than the peer's table: ignored. */
		} else if (!follower->loaded) {
			apply_page(follower, &rows);
		} else {
			apply_changes(follower, &rows);
		}
		call_next(follower, &rows);
		break;
	case REGISTRY_HISTORY_LOST:
		log_event(LOG_WARNING, "history-lost",
			  "table=%s after=%" PRIu64, follower->rule->name,
			  follower->version.number);
		note_success(follower);
		follower_begin_full_read(follower);
		call_next(follower, &rows);
		break;
	default:
		note_failure(follower, "refused");
		break;
	}
	registry_rows_release(&rows);
}
