#include "edge/sync_parts.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/quarantine_store.h"

/*
 * Entries of backend servers that lapsed while the platform was away come back
 * within about 2 s of its return. A missing one is kept for as much of this as
 * the part of entries that are missing: where most are there the platform
 * wasn't away, or has long been back, and a missing server has left.
 */
#define LAPSE_KEEP_US (2200 * US_PER_MS)

/* An answer's first byte was under way for no longer than this. */
#define UNDER_WAY_US (100 * US_PER_MS)

/* After an answer that was cut short, or a page of a table, at once. */
static void call_next(struct follower *follower,
		      const struct registry_rows *rows)
{
	uint64_t since_us =
		edge_now_us(follower->sync->edge) - follower->called_us;
	uint64_t spacing =
		follower->whole ?
			follower_time_us(follower, &follower->rule->spacing) :
			0;

	if (follower->whole && rows->has_more) {
		follower_call(follower);
		return;
	}
	follower_step_later(follower,
			    spacing > since_us ? spacing - since_us : 0);
}

static void begin_whole_read(struct follower *follower)
{
	follower->whole = false;
	g_clear_pointer(&follower->page_key, g_free);
	g_hash_table_remove_all(follower->seen);
}

/* Entries that the first rows after the platform was away show as missing. */
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
	if (follower->whole)
		return MIN(deleted, known);
	return known - MIN(rows->rows->len - deleted, known);
}

static void weigh_lapse(struct follower *follower,
			const struct registry_rows *rows)
{
	struct sync *sync = follower->sync;
	uint32_t known = g_hash_table_size(sync->edge->backends->by_id);
	uint32_t missing = count_missing(follower, rows);

	sync->was_away = false;
	if (!known)
		return;
	sync->lapse_until_us =
		edge_now_us(sync->edge) +
		(uint64_t)((double)missing / known * LAPSE_KEEP_US);
	log_event(LOG_INFO, "lapse-weighed", "known=%u missing=%u", known,
		  missing);
}

void follower_keep_row(struct follower *follower,
		       const struct registry_row *row)
{
	/* These are told as they are believed, not as they came. */
	if (follower->rule->table == REGISTRY_BACKENDS)
		return;
	/* Bytes that are no text can't be told to a neighbour. */
	if (row->deleted || !g_utf8_validate(row->value, -1, NULL))
		g_hash_table_remove(follower->rows, row->key);
	else
		g_hash_table_replace(follower->rows, g_strdup(row->key),
				     g_strdup(row->value));
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

	if (follower->rule->table == REGISTRY_BACKENDS && sync->was_away)
		weigh_lapse(follower, rows);
	for (i = 0; i < rows->rows->len; i++) {
		const struct registry_row *row =
			&g_array_index(rows->rows, struct registry_row, i);

		if (!row->deleted && !row->value)
			continue;
		if (!follower->whole)
			g_hash_table_add(follower->seen, g_strdup(row->key));
		follower_keep_row(follower, row);
		follower->rule->apply(follower->sync, row);
	}
}

/*
 * The platform's word is as of when it answered, not of when the answer was
 * whole. One that took seconds to arrive would else be taken for fresh, and
 * what was acknowledged meanwhile denied for as much longer than it may. The
 * same holds for one that waited in its socket while the process stood still.
 */
static uint64_t answered_by_us(const struct follower *follower)
{
	uint64_t came_us = edge_earliest_arrival_us(follower->sync->edge);
	uint64_t passed_us = lane_arrival_us(&follower->lane) + UNDER_WAY_US;

	return MAX(follower->called_us, came_us - MIN(came_us, passed_us));
}

/* What is believed of the table is the platform's word of that time. */
static void confirm(struct follower *follower, uint64_t as_of_us)
{
	follower->confirmed_us = MAX(follower->confirmed_us, as_of_us);
}

/*
 * The other nodes are known: this node makes itself known where it isn't yet,
 * and can tell whom to ask for the rest.
 */
static void know_members(struct sync *sync)
{
	uint32_t i;

	uv_timer_stop(&sync->own_timer);
	sync_write_own_row(sync);
	if (edge_is_ready(sync->edge))
		return;
	sync->started_us = edge_now_us(sync->edge);
	for (i = 0; i < FOLLOWERS; i++)
		if (!sync->followers[i].whole)
			follower_step_later(&sync->followers[i], 0);
}

void follower_end_pass(struct follower *follower, uint64_t version,
		       uint64_t as_of_us)
{
	follower->version = version;
	follower->rule->prune(follower->sync, follower->seen);
	g_hash_table_foreach_remove(follower->rows, is_unseen, follower->seen);
	log_event(LOG_INFO, "table-read", "table=%s rows=%u version=%" PRIu64,
		  follower->rule->name, g_hash_table_size(follower->seen),
		  version);
	begin_whole_read(follower);
	follower->whole = true;
	follower->asks = 0;
	confirm(follower, as_of_us);
	if (follower->rule->table == REGISTRY_MEMBERS)
		know_members(follower->sync);
	if (follower->rule->table == REGISTRY_MEMBERS &&
	    follower->sync->edge->quarantines)
		quarantine_store_members_known(
			follower->sync->edge->quarantines);
}

static void take_page(struct follower *follower,
		      const struct registry_rows *rows)
{
	const struct registry_row *last;

	if (!follower->page_key) {
		follower->page_version = rows->version;
		follower->page_as_of_us = answered_by_us(follower);
	}
	/*
	 * A replica that lags gives a table as it was: taken for news, it would
	 * bring back what has left. Ask again.
	 */
	if (rows->version < follower->version)
		return;
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
 * A path to the platform that fell silent holds the other tables' waiting calls
 * for as long as they may wait, also past its return. The short call's time-out
 * tells for all, and so does its success after failures. An answer that is
 * arriving isn't waiting: it may be what fills the link and made the short call
 * late, and cut off it begins anew. Its own silence ends it.
 */
static void abort_waiting(struct sync *sync, const struct follower *but)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (&sync->followers[i] != but &&
		    sync->followers[i].called_us <= but->called_us &&
		    !lane_is_receiving(&sync->followers[i].lane))
			lane_abort(&sync->followers[i].lane, "silent path");
}

/* The path is back: calls that still wait on it are made anew. */
static void resume_others(struct sync *sync, const struct follower *but)
{
	uint32_t i;

	abort_waiting(sync, but);
	for (i = 0; i < FOLLOWERS; i++)
		if (&sync->followers[i] != but &&
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
	/* Without a good answer for so long the platform counts as away. */
	if (follower->rule->table == REGISTRY_BACKENDS &&
	    follower->answered_us &&
	    (follower->failures || gap_us > sync_change_within_us(sync->edge)))
		sync->was_away = true;
	if (follower->rule->table == REGISTRY_BACKENDS && follower->failures)
		resume_others(sync, follower);
	follower->answered_us = now_us;
	follower->failures = 0;
}

/*
 * The first failure in a row, the second, the fourth and so on: one that goes
 * on for a minute shows in ten lines. What had arrived by then tells a slow
 * path from a silent one.
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
		  follower->whole ? "yes" : "no", now_us - follower->called_us,
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
			    read_retry_us(follower->failures,
					  sync_own_rank(follower->sync),
					  g_random_double()));
}

/*
 * How far behind the node was, and whether the answer went all the way: last is
 * the version of its last row, version where to go on.
 */
static void log_followed(const struct follower *follower,
			 const struct registry_rows *rows)
{
	const struct registry_row *last;

	if (!rows->rows->len || follower->cause == READ_FOLLOWS)
		return;
	last = &g_array_index(rows->rows, struct registry_row,
			      rows->rows->len - 1);
	log_event(LOG_INFO, "table-followed",
		  "table=%s cause=%s rows=%u after=%" PRIu64 " last=%" PRIu64
		  " version=%" PRIu64 " confirmed_age_us=%" PRIu64,
		  follower->rule->name, read_cause_name(follower->cause),
		  rows->rows->len, follower->version, last->version,
		  rows->version,
		  edge_now_us(follower->sync->edge) - follower->confirmed_us);
}

/*
 * Changes up to some number of rows don't confirm what is believed: taken for
 * all, a node would hear of the next ones as late as if there were none.
 */
static void take_changes(struct follower *follower,
			 const struct registry_rows *rows)
{
	log_followed(follower, rows);
	apply_rows(follower, rows);
	follower->version = MAX(follower->version, rows->version);
	if (!rows->has_more)
		confirm(follower, answered_by_us(follower));
}

/*
 * The changes since hold each version of a large document, one after the other,
 * and the table only the newest.
 */
static void read_anew(struct follower *follower)
{
	metric_add(follower->sync->edge->stats.registry_lost_bytes,
		   follower->lane.got_bytes);
	begin_whole_read(follower);
	follower_call(follower);
}

void follower_answered(void *context, const struct message *answer,
		       const char *cause)
{
	struct follower *follower = context;
	struct edge *edge = follower->sync->edge;
	struct registry_rows rows = { 0 };
	enum registry_result result;

	if (!answer && follower->whole && !strcmp(cause, LINK_TOO_LARGE)) {
		read_anew(follower);
		return;
	}
	if (!answer) {
		bool silent = !strcmp(cause, "timeout") && !follower->failures;

		note_failure(follower, cause);
		if (silent && follower->rule->table == REGISTRY_BACKENDS)
			abort_waiting(follower->sync, follower);
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
		if (follower->overtaken) {
			/* A page, or rows older than what is known by now. */
		} else if (!follower->whole) {
			take_page(follower, &rows);
		} else {
			take_changes(follower, &rows);
		}
		call_next(follower, &rows);
		break;
	case REGISTRY_HISTORY_LOST:
		log_event(LOG_WARNING, "history-lost",
			  "table=%s after=%" PRIu64, follower->rule->name,
			  follower->version);
		note_success(follower);
		begin_whole_read(follower);
		call_next(follower, &rows);
		break;
	default:
		note_failure(follower, "refused");
		break;
	}
	registry_rows_release(&rows);
}
