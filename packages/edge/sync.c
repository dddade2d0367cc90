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

/*
 * A beat's word doesn't count its own way: one way of a continent's width, and
 * a queue of half of that time and a quarter of a second on a narrow link.
 */
#define BEAT_UNDER_WAY_US (400 * US_PER_MS)

/*
 * Where all nodes start for the first time, each writes its row within this,
 * for a table takes some 200 writes a second, and reads the others' rows then.
 */
#define FIRST_ROW_SPREAD_US (1500 * US_PER_MS)
#define FIRST_MEMBERS_US (2 * US_PER_S)

/* Written anyway after so long, where the table can't be read. */
#define OWN_ROW_LATEST_US (1500 * US_PER_MS)

/* An answer's first byte was under way for no longer than this. */
#define UNDER_WAY_US (100 * US_PER_MS)

/*
 * Of the time within which a change must be known: how long a call for routes
 * is held, one for backend servers, the time from one of these to the next, and
 * how long a neighbour's word is good. A call that is answered at once is
 * followed by a pause and one that is held, so the word is up to the sum of the
 * first two old. The rest is for a call of one's own, after one that failed.
 */
#define CONFIG_WAIT_PERCENT 36
#define WAIT_PERCENT 20
#define SPACING_PERCENT 36
#define WORD_PERCENT 72
G_STATIC_ASSERT(WAIT_PERCENT + SPACING_PERCENT < WORD_PERCENT);

/*
 * Members' rows may be known late: beats tell who lives. The word outlasts two
 * of the reader's own calls.
 */
#define MEMBERS_SPACING_US (20 * US_PER_S)
#define MEMBERS_WORD_US (50 * US_PER_S)

/*
 * Between two calls because a neighbour knows otherwise: where this node is the
 * one that knows more, the neighbour has caught up by then. Members may be
 * known later than the rest, and all change theirs when all start.
 */
#define MISMATCH_US (800 * US_PER_MS)
#define MEMBERS_MISMATCH_US (2 * US_PER_S)

/*
 * Neighbours asked for what differs before the platform is. One for routes: a
 * large document doesn't fit a neighbour's link, and must be there soon.
 */
#define ASKS_MOST 8

/*
 * An answer about backend servers: what it says grows old as it comes,
 * and a new connection may be quick where this one trickles. A page of 1 MB
 * takes 0.8 s over 10 Mbit/s, which callers' traffic may fill at the time.
 */
#define BACKENDS_ARRIVAL_US (5 * US_PER_S)

/*
 * Changes that are so much larger than the whole table hold more than its
 * newest rows: it is read whole instead. Below the least size either is quick.
 */
#define CHANGES_MOST_PERCENT 150
#define CHANGES_MOST_LEAST (64 * 1024)

/* A row's names and version in an answer. */
#define ROW_OVERHEAD 200

static uint64_t wait_us(const struct follower *follower);
static uint32_t own_rank(const struct sync *sync);

/* --- the own row ---------------------------------------------------------- */

static void on_own_time(uv_timer_t *timer)
{
	sync_write_own_row(timer->data);
}

static void on_own_written(void *context, const struct message *answer,
			   const char *cause)
{
	struct sync *sync = context;
	uint64_t retry_us;

	if (answer && answer->status == 200) {
		sync->own_listed = true;
		sync->own_failures = 0;
		return;
	}
	retry_us = read_retry_us(++sync->own_failures, own_rank(sync),
				 g_random_double());
	log_event(LOG_WARNING, "own-row", "written=no status=%u cause=%s",
		  answer ? answer->status : 0, cause ? cause : "status");
	uv_timer_start(&sync->own_timer, on_own_time, retry_us / US_PER_MS, 0);
}

void sync_write_own_row(struct sync *sync)
{
	struct edge *edge = sync->edge;
	struct member_record record = {
		.domain = edge->settings.domain,
		.region = edge->settings.region,
		.front = edge->settings.front,
		.peer = edge->settings.peer,
		.link_mbps = (uint32_t)edge->settings.link_mbps,
	};
	struct registry_call call;

	if (lane_is_busy(&sync->own_lane) || sync->own_listed)
		return;
	edge->registry->vtable->put_member(edge->registry, edge->settings.name,
					   &record, &call);
	metric_add(edge->stats.registry_writes, 1);
	lane_call(&sync->own_lane, call.method, call.target, call.body,
		  SYNC_CALL_TIMEOUT_US, on_own_written, sync);
	registry_call_release(&call);
}

/* --- following ---------------------------------------------------------- */

static const struct follow_rule rules[FOLLOWERS] = {
	/*
	 * Changes are rare and must be in force soon: held calls. Until one is
	 * answered nothing is confirmed, and a connection that fell silent
	 * shows when it isn't: the hold and what a beat needs stay below a
	 * neighbour's word, hold and time-out near the time within which a
	 * change must be known.
	 */
	{
		.name = "config",
		.table = REGISTRY_CONFIG,
		.wait.percent = CONFIG_WAIT_PERCENT,
		.spacing.us = 50 * US_PER_MS,
		.word.percent = WORD_PERCENT,
		.arrival_most_us = SYNC_ARRIVAL_MOST_US,
		.mismatch_us = MISMATCH_US,
		.asks_most = 1,
		.reads_anew = true,
		.apply = apply_config_row,
		.prune = prune_config,
	},
	/* Held for so short that its answers tell of the path, too. */
	{
		.name = "backends",
		.table = REGISTRY_BACKENDS,
		.wait.percent = WAIT_PERCENT,
		.spacing.percent = SPACING_PERCENT,
		.word.percent = WORD_PERCENT,
		.arrival_most_us = BACKENDS_ARRIVAL_US,
		.mismatch_us = MISMATCH_US,
		.asks_most = ASKS_MOST,
		.apply = apply_backend_row,
		.prune = prune_backends,
	},
	{
		.name = "members",
		.table = REGISTRY_MEMBERS,
		.wait.us = 15 * US_PER_S,
		.spacing.us = MEMBERS_SPACING_US,
		.word.us = MEMBERS_WORD_US,
		.arrival_most_us = SYNC_ARRIVAL_MOST_US,
		.mismatch_us = MEMBERS_MISMATCH_US,
		.asks_most = ASKS_MOST,
		.apply = apply_member_row,
		.prune = prune_members,
	},
};

/* How soon what the platform says must be known here. */
static uint64_t change_within_us(const struct edge *edge)
{
	return MIN(edge->settings.leave_within_us,
		   edge->settings.config_within_us);
}

static uint64_t time_us(const struct follower *follower,
			const struct follow_time *time)
{
	if (!time->percent)
		return time->us;
	return change_within_us(follower->sync->edge) * time->percent / 100;
}

static bool reads_for_region(const struct sync *sync)
{
	const struct edge *edge = sync->edge;

	return member_table_reads(edge->members, edge_now_us(edge));
}

static uint32_t own_rank(const struct sync *sync)
{
	if (!sync->followers[REGISTRY_MEMBERS].whole)
		return READ_RANK_UNKNOWN;
	return member_table_read_rank(sync->edge->members);
}

/* Nobody can tell a node which nodes there are before it has read that. */
static uint32_t read_rank(const struct follower *follower)
{
	if (follower->rule->table == REGISTRY_MEMBERS)
		return 0;
	return own_rank(follower->sync);
}

/*
 * Whether its calls fail and go on. Where a neighbour's word spares them they
 * don't, and nobody would notice that the path is back.
 */
static bool tries_path(const struct follower *follower)
{
	uint64_t until_us = follower->confirmed_us +
			    time_us(follower, &follower->rule->word);

	return follower->failures &&
	       until_us <= edge_now_us(follower->sync->edge);
}

static void fill_state(const struct follower *follower,
		       struct read_state *state)
{
	const struct sync *sync = follower->sync;
	const struct member *neighbour;

	state->is_reader = reads_for_region(sync);
	state->whole = follower->whole;
	state->rank = read_rank(follower);
	state->has_neighbours = member_table_first_readers(sync->edge->members,
							   &neighbour, 1) > 0;
	state->started_us = sync->started_us;
	state->confirmed_us = follower->confirmed_us;
	state->word_us = time_us(follower, &follower->rule->word);
	state->differs = follower_differs(follower);
	state->path_fails = follower->rule->table != REGISTRY_BACKENDS &&
			    tries_path(&sync->followers[REGISTRY_BACKENDS]);
	state->asks = follower->asks;
	state->asks_most = follower->rule->asks_most;
}

void follower_step(struct follower *follower)
{
	struct read_state state;
	struct read_step step;

	fill_state(follower, &state);
	read_plan(&state, edge_now_us(follower->sync->edge), &step);
	follower->cause = step.cause;
	if (step.from == READ_PLATFORM) {
		follower_call(follower);
		return;
	}
	if (step.from == READ_NEIGHBOUR)
		sync_ask_neighbour(follower->sync);
	follower_step_later(follower, step.wait_us);
}

static void on_step_time(uv_timer_t *timer)
{
	follower_step(timer->data);
}

void follower_step_later(struct follower *follower, uint64_t delay_us)
{
	uv_timer_start(&follower->timer, on_step_time,
		       (delay_us + US_PER_MS - 1) / US_PER_MS, 0);
}

/* After an answer that was cut short, or a page of a table, at once. */
static void call_next(struct follower *follower,
		      const struct registry_rows *rows)
{
	uint64_t since_us =
		edge_now_us(follower->sync->edge) - follower->called_us;
	uint64_t spacing = follower->whole ?
				   time_us(follower, &follower->rule->spacing) :
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
	uint64_t came_us = edge_came_by_us(follower->sync->edge);
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
	    (follower->failures || gap_us > change_within_us(sync->edge)))
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
	follower_step_later(follower, read_retry_us(follower->failures,
						    own_rank(follower->sync),
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

static void on_answer(void *context, const struct message *answer,
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

/*
 * A held call tells of a change at once. A node that has a neighbour's word
 * calls because the word differs: what there is to know is there already.
 */
static uint64_t wait_us(const struct follower *follower)
{
	/* After a failure there is much to know, and the path to be tried. */
	if (follower->failures)
		return 0;
	if (!reads_for_region(follower->sync))
		return 0;
	return time_us(follower, &follower->rule->wait);
}

static uint64_t base64_bytes(uint64_t bytes)
{
	return (bytes + 2) / 3 * 4;
}

/* How large an answer about changes may be; 0: as large as any. */
static uint64_t changes_most(const struct follower *follower)
{
	uint64_t whole_bytes = 0;
	GHashTableIter iter;
	gpointer value;

	if (!follower->rule->reads_anew || !follower->whole)
		return 0;
	g_hash_table_iter_init(&iter, follower->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		whole_bytes += base64_bytes(strlen(value)) + ROW_OVERHEAD;
	return MAX(whole_bytes * CHANGES_MOST_PERCENT / 100,
		   CHANGES_MOST_LEAST);
}

void follower_call(struct follower *follower)
{
	struct edge *edge = follower->sync->edge;
	const struct registry *registry = edge->registry;
	const struct follow_rule *rule = follower->rule;
	uint64_t timeout_us = SYNC_CALL_TIMEOUT_US;
	struct registry_call call;

	if (lane_is_busy(&follower->lane))
		return;
	lane_limit_body(&follower->lane, changes_most(follower));
	if (follower->whole) {
		registry->vtable->follow(registry, rule->table,
					 follower->version, wait_us(follower),
					 &call);
		timeout_us += wait_us(follower);
	} else {
		registry->vtable->read(
			registry, rule->table,
			follower->page_key ? follower->page_key : "", &call);
	}
	follower->called_us = edge_now_us(edge);
	follower->overtaken = false;
	log_event(LOG_DEBUG, "registry-call", "table=%s whole=%s cause=%s",
		  rule->name, follower->whole ? "yes" : "no",
		  read_cause_name(follower->cause));
	stats_count_read(&edge->stats, follower->cause);
	lane_call(&follower->lane, call.method, call.target, call.body,
		  timeout_us, on_answer, follower);
	registry_call_release(&call);
}

static void follower_open(struct follower *follower, struct sync *sync,
			  const struct follow_rule *rule)
{
	struct edge *edge = sync->edge;

	follower->sync = sync;
	follower->rule = rule;
	follower->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	follower->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lane_init(&follower->lane, edge->loop, &edge->settings.registry,
		  rule->arrival_most_us);
	uv_timer_init(edge->loop, &follower->timer);
	follower->timer.data = follower;
}

/*
 * The members' table comes first, for it says whom to ask for the others. Where
 * all nodes start for the first time it is empty until they have written it.
 */
static void begin_start(struct sync *sync)
{
	struct edge *edge = sync->edge;
	uint64_t members_us = 0;
	uint64_t own_us = OWN_ROW_LATEST_US;
	uint32_t i;

	if (edge->settings.first_start) {
		members_us = FIRST_MEMBERS_US;
		own_us = (uint64_t)(g_random_double() * FIRST_ROW_SPREAD_US);
	}
	sync->started_us = edge_now_us(edge) + members_us;
	uv_timer_start(&sync->own_timer, on_own_time, own_us / US_PER_MS, 0);
	for (i = 0; i < FOLLOWERS; i++)
		follower_step_later(&sync->followers[i], members_us);
}

struct sync *sync_open(struct edge *edge)
{
	struct sync *sync = g_new0(struct sync, 1);
	uint32_t i;

	sync->edge = edge;
	edge->sync = sync;
	lane_init(&sync->own_lane, edge->loop, &edge->settings.registry,
		  SYNC_ARRIVAL_MOST_US);
	lane_init(&sync->neighbour, edge->loop, &edge->settings.peer,
		  SYNC_ARRIVAL_MOST_US);
	uv_timer_init(edge->loop, &sync->own_timer);
	sync->own_timer.data = sync;
	for (i = 0; i < FOLLOWERS; i++)
		follower_open(&sync->followers[i], sync, &rules[i]);
	begin_start(sync);
	return sync;
}

void sync_close(struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		lane_close(&sync->followers[i].lane);
		uv_close((uv_handle_t *)&sync->followers[i].timer, NULL);
		g_hash_table_destroy(sync->followers[i].seen);
		g_hash_table_destroy(sync->followers[i].rows);
		g_free(sync->followers[i].page_key);
	}
	lane_close(&sync->own_lane);
	lane_close(&sync->neighbour);
	g_clear_pointer(&sync->given, g_bytes_unref);
	uv_close((uv_handle_t *)&sync->own_timer, NULL);
}

void sync_became_ready(struct sync *sync)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		if (!lane_is_busy(&sync->followers[i].lane))
			follower_step_later(&sync->followers[i], 0);
}

uint32_t sync_views(const struct sync *sync, struct sync_view *views)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++) {
		const struct follower *follower = &sync->followers[i];

		views[i].name = follower->rule->name;
		views[i].version = follower->version;
		views[i].whole = follower->whole;
		views[i].confirmed_us = follower->confirmed_us;
		views[i].failures = follower->failures;
	}
	return FOLLOWERS;
}

uint64_t sync_routes_age_us(const struct sync *sync)
{
	const struct follower *follower = &sync->followers[REGISTRY_CONFIG];

	if (!follower->confirmed_us)
		return UINT64_MAX;
	return edge_now_us(sync->edge) - follower->confirmed_us;
}

bool sync_routes_are_current(const struct sync *sync)
{
	const struct follower *follower = &sync->followers[REGISTRY_CONFIG];

	return sync->edge->routes && follower->whole && !sync->routes_unread &&
	       follower->doubted_us <= follower->confirmed_us &&
	       !lane_is_receiving(&follower->lane) &&
	       sync_routes_age_us(sync) + BEAT_UNDER_WAY_US <=
		       sync->edge->settings.config_within_us;
}

uint64_t sync_lapse_left_us(const struct sync *sync)
{
	uint64_t now_us = edge_now_us(sync->edge);

	return sync->lapse_until_us > now_us ? sync->lapse_until_us - now_us :
					       0;
}

static void on_struck(void *context, const struct message *answer,
		      const char *cause)
{
	(void)context;
	log_event(LOG_INFO, "member-struck", "done=%s cause=%s",
		  answer && answer->status == 200 ? "yes" : "no",
		  cause ? cause : "");
}

void sync_strike_lost(struct sync *sync)
{
	struct edge *edge = sync->edge;
	const struct member *lost = member_table_lost(
		edge->members, edge->settings.forget_us, edge_now_us(edge));
	struct registry_call call;

	if (!lost || lane_is_busy(&sync->own_lane) || !sync->own_listed)
		return;
	log_event(LOG_INFO, "member-lost", "member=%s", lost->name);
	edge->registry->vtable->put_member(edge->registry, lost->name, NULL,
					   &call);
	metric_add(edge->stats.registry_writes, 1);
	lane_call(&sync->own_lane, call.method, call.target, call.body,
		  SYNC_CALL_TIMEOUT_US, on_struck, sync);
	registry_call_release(&call);
	member_table_remove(edge->members, lost->name);
}

void sync_redirect(struct sync *sync, const struct endpoint *to)
{
	uint32_t i;

	for (i = 0; i < FOLLOWERS; i++)
		lane_redirect(&sync->followers[i].lane, to);
	lane_redirect(&sync->own_lane, to);
}

void sync_refresh(struct sync *sync)
{
	uint32_t i;

	/* Cut off each time, an answer that takes longer never arrives. */
	for (i = 0; i < FOLLOWERS; i++)
		if (!lane_is_receiving(&sync->followers[i].lane))
			lane_abort(&sync->followers[i].lane, "suspended");
}
