#include "edge/quarantine_store.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/read_plan.h"
#include "edge/lane.h"
#include "edge/sync.h"

/* Time-out until an answer of the platform begins. */
#define CALL_TIMEOUT_US (1000 * US_PER_MS)

/*
 * Limit of rows that wait for a write, and of rows that this node remembers as
 * its own; further ones aren't written, or not remembered. More than the
 * servers that crash while the store can't be reached.
 */
#define MAX_PENDING_ROWS 64

/* 16 hexadecimal digits and the NUL. */
#define KEY_SIZE 17

struct quarantine_store {
	struct edge *edge;
	struct lane lane;
	uv_timer_t timer;
	bool members_known; /* needed to know which nodes read */
	bool read_done; /* rows read, or left to other nodes */
	char *page_key; /* last key read so far; NULL: none */
	uint32_t rows; /* rows read so far */
	uint64_t pending[MAX_PENDING_ROWS]; /* fingerprints to write */
	uint32_t pending_count;
	uint64_t writing; /* fingerprint of the write in progress */
	bool changed; /* changed during that write */
	uint64_t own_rows[MAX_PENDING_ROWS]; /* fingerprints that this node
						wrote */
	uint32_t own_row_count;
	uint32_t failures; /* consecutive failed calls */
};

static void step(struct quarantine_store *store);

static uint64_t wall_clock_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}

static void on_timer(uv_timer_t *timer)
{
	step(timer->data);
}

static void step_later(struct quarantine_store *store, uint64_t delay_us)
{
	uv_timer_start(&store->timer, on_timer, delay_us / US_PER_MS, 0);
}

static void step_after_failure(struct quarantine_store *store,
			       const char *cause)
{
	uint32_t rank = member_table_reader_rank(store->edge->members);

	log_event(LOG_WARNING, "quarantines-lost", "cause=%s failures=%u",
		  cause, ++store->failures);
	step_later(store, read_retry_delay_us(store->failures, rank,
					      g_random_double()));
}

static bool has_current_era(const struct quarantine_store *store,
			    const struct message *answer)
{
	struct sync *sync = store->edge->sync;

	return !sync || sync_check_era(sync, answer, "quarantines");
}

/* --- writing ------------------------------------------------------------ */

static void fill_record(const struct suspect *suspect, uint64_t now_us,
			struct quarantine_record *record)
{
	uint32_t i;

	memset(record, 0, sizeof(*record));
	record->rounds = suspect->rounds;
	if (suspect->until_us > now_us)
		record->left_ms = (suspect->until_us - now_us) / US_PER_MS;
	record->written_ms = wall_clock_ms();
	record->by_hand = suspect->by_hand;
	for (i = 0; i < MIN(suspect->crash_count, QUARANTINE_MAX_INCARNATIONS);
	     i++)
		record->incarnations[record->incarnation_count++] =
			suspect->crashes[i].incarnation;
	record->request = (char *)suspect->text;
}

static void add_own_row(struct quarantine_store *store, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < store->own_row_count; i++)
		if (store->own_rows[i] == fingerprint)
			return;
	if (store->own_row_count < MAX_PENDING_ROWS)
		store->own_rows[store->own_row_count++] = fingerprint;
}

static void remove_written(struct quarantine_store *store)
{
	uint32_t i;

	for (i = 0; i < store->pending_count; i++)
		if (store->pending[i] == store->writing)
			store->pending[i] =
				store->pending[--store->pending_count];
	store->writing = 0;
}

static void on_written(void *context, const struct message *answer,
		       const char *cause)
{
	struct quarantine_store *store = context;

	if (!answer || !has_current_era(store, answer) ||
	    answer->status != 200) {
		step_after_failure(store, answer ? "status" : cause);
		return;
	}
	store->failures = 0;
	if (!store->changed)
		remove_written(store);
	step(store);
}

static void write_row(struct quarantine_store *store)
{
	struct edge *edge = store->edge;
	const struct registry *registry = edge->registry;
	const struct suspect *suspect;
	struct quarantine_record record;
	struct registry_call call;
	char key[KEY_SIZE];

	store->writing = store->pending[0];
	store->changed = false;
	suspect = suspect_table_find(edge->suspects, store->writing);
	g_snprintf(key, sizeof(key), "%016" PRIx64, store->writing);
	if (suspect && suspect->rounds) {
		fill_record(suspect, edge_now_us(edge), &record);
		add_own_row(store, store->writing);
	}
	registry->vtable->build_put_quarantine(
		registry, key, suspect && suspect->rounds ? &record : NULL,
		&call);
	metric_add(edge->stats.registry_writes, 1);
	lane_call(&store->lane, call.method, call.target, call.body,
		  CALL_TIMEOUT_US, on_written, store);
	registry_call_release(&call);
}

static void add_pending(struct quarantine_store *store, uint64_t fingerprint)
{
	uint32_t i;

	if (fingerprint == store->writing)
		store->changed = true;
	for (i = 0; i < store->pending_count; i++)
		if (store->pending[i] == fingerprint)
			return;
	if (store->pending_count < MAX_PENDING_ROWS)
		store->pending[store->pending_count++] = fingerprint;
}

void quarantine_store_write(struct quarantine_store *store,
			    uint64_t fingerprint)
{
	add_pending(store, fingerprint);
	step(store);
}

void quarantine_store_rewrite(struct quarantine_store *store)
{
	const struct edge *edge = store->edge;
	const struct suspect_table *suspects = edge->suspects;
	bool is_reader =
		member_table_is_reader(edge->members, edge_now_us(edge));
	uint32_t i;

	for (i = 0; i < store->own_row_count; i++)
		add_pending(store, store->own_rows[i]);
	for (i = 0; is_reader && i < SUSPECT_MAX_ENTRIES; i++)
		if (suspects->keys[i] && (suspects->entries[i].rounds ||
					  suspects->entries[i].cleared_us))
			add_pending(store, suspects->keys[i]);
	/* Called while an answer is handled, which may be the store's own. */
	step_later(store, 0);
}

void quarantine_store_remove_lifted(struct quarantine_store *store)
{
	uint32_t i;

	for (i = store->own_row_count; i > 0; i--) {
		uint64_t fingerprint = store->own_rows[i - 1];

		if (suspect_is_quarantined(store->edge->suspects, fingerprint))
			continue;
		store->own_rows[i - 1] =
			store->own_rows[--store->own_row_count];
		log_event(LOG_WARNING, "quarantine-lifted",
			  "fingerprint=%016" PRIx64, fingerprint);
		quarantine_store_write(store, fingerprint);
	}
}

/* --- reading ------------------------------------------------------------ */

/*
 * Time since the row was written. The clocks of nodes differ by little compared
 * with a quarantine's length.
 */
static uint64_t elapsed_ms(const struct quarantine_record *record)
{
	uint64_t now_ms = wall_clock_ms();

	return now_ms > record->written_ms ? now_ms - record->written_ms : 0;
}

static uint64_t left_us(const struct quarantine_record *record)
{
	uint64_t ms = elapsed_ms(record);

	return ms < record->left_ms ? (record->left_ms - ms) * US_PER_MS : 0;
}

/* Ended longer ago than nodes keep a suspect. */
static bool is_expired(const struct quarantine_record *record)
{
	uint64_t ms = elapsed_ms(record);

	return ms >= record->left_ms &&
	       ms - record->left_ms >= SUSPECT_TTL_US / US_PER_MS;
}

static bool import_record(struct edge *edge, uint64_t fingerprint,
			  const struct quarantine_record *record)
{
	struct suspect_update update = {
		.fingerprint = fingerprint,
		.crash_count = record->incarnation_count,
		.rounds = record->rounds,
		.left_us = left_us(record),
		.by_hand = record->by_hand,
	};
	uint32_t i;

	for (i = 0; i < record->incarnation_count; i++) {
		update.crashes[i].incarnation = record->incarnations[i];
		update.crashes[i].age_us = i * US_PER_MS;
	}
	return suspect_apply_update(edge->suspects, &update,
				    edge->members->self->hash, edge->backends,
				    edge_now_us(edge));
}

static void set_request_text(struct edge *edge, uint64_t fingerprint,
			     const char *text)
{
	struct suspect *suspect =
		suspect_table_find(edge->suspects, fingerprint);

	if (suspect && !*suspect->text)
		g_strlcpy(suspect->text, text, sizeof(suspect->text));
}

static void import_row(struct quarantine_store *store,
		       const struct registry_row *row)
{
	struct edge *edge = store->edge;
	const struct registry *registry = edge->registry;
	uint64_t fingerprint = g_ascii_strtoull(row->key, NULL, 16);
	struct quarantine_record record;
	GError *error = NULL;

	if (!row->value)
		return;
	if (!registry->vtable->decode_quarantine(registry, row->value, &record,
						 &error)) {
		log_event(LOG_WARNING, "quarantine-refused", "key=%s cause=%s",
			  row->key, error->message);
		g_error_free(error);
		return;
	}
	if (is_expired(&record)) {
		quarantine_store_write(store, fingerprint);
	} else if (import_record(edge, fingerprint, &record)) {
		set_request_text(edge, fingerprint, record.request);
	} else {
		log_event(LOG_WARNING, "quarantine-refused",
			  "key=%s cause=absurd", row->key);
	}
	quarantine_record_release(&record);
}

/*
 * After the last page the read is done; otherwise the next page begins after
 * the last key.
 */
static void end_page(struct quarantine_store *store,
		     const struct registry_rows *rows)
{
	store->rows += rows->rows->len;
	g_clear_pointer(&store->page_key, g_free);
	if (rows->has_more && rows->rows->len) {
		store->page_key =
			g_strdup(g_array_index(rows->rows, struct registry_row,
					       rows->rows->len - 1)
					 .key);
		return;
	}
	store->read_done = true;
	log_event(LOG_INFO, "table-read", "table=quarantines rows=%u",
		  store->rows);
}

static void on_read(void *context, const struct message *answer,
		    const char *cause)
{
	struct quarantine_store *store = context;
	const struct registry *registry = store->edge->registry;
	struct registry_rows rows;
	enum registry_result result;
	guint i;

	if (!answer || !has_current_era(store, answer)) {
		step_after_failure(store, answer ? "era" : cause);
		return;
	}
	result = registry->vtable->decode(registry, answer->status,
					  (const char *)answer->body->data,
					  answer->body->len, &rows);
	if (result != REGISTRY_OK) {
		step_after_failure(store, "status");
		return;
	}
	store->failures = 0;
	for (i = 0; i < rows.rows->len; i++)
		import_row(store,
			   &g_array_index(rows.rows, struct registry_row, i));
	end_page(store, &rows);
	registry_rows_release(&rows);
	step(store);
}

static void read_rows(struct quarantine_store *store)
{
	struct edge *edge = store->edge;
	struct registry_call call;

	edge->registry->vtable->build_read(
		edge->registry, REGISTRY_QUARANTINES,
		store->page_key ? store->page_key : "", &call);
	stats_count_read(&edge->stats, READ_AT_START);
	lane_call(&store->lane, call.method, call.target, call.body,
		  CALL_TIMEOUT_US, on_read, store);
	registry_call_release(&call);
}

static void step(struct quarantine_store *store)
{
	struct edge *edge = store->edge;

	if (lane_is_busy(&store->lane))
		return;
	/*
	 * Whether this node reads the quarantines depends on its rank in the
	 * member table, so wait until that is loaded.
	 */
	if (!store->read_done && !store->members_known)
		return;
	if (!store->read_done &&
	    member_table_reader_rank(edge->members) >= READ_FIRST_NODES)
		store->read_done = true;
	if (!store->read_done)
		read_rows(store);
	else if (store->pending_count)
		write_row(store);
}

struct quarantine_store *quarantine_store_open(struct edge *edge)
{
	struct quarantine_store *store = g_new0(struct quarantine_store, 1);

	store->edge = edge;
	lane_init(&store->lane, edge->loop, &edge->settings.registry,
		  20 * US_PER_S);
	uv_timer_init(edge->loop, &store->timer);
	store->timer.data = store;
	edge->quarantines = store;
	return store;
}

void quarantine_store_close(struct quarantine_store *store)
{
	store->edge->quarantines = NULL;
	lane_close(&store->lane);
	g_clear_pointer(&store->page_key, g_free);
	uv_close((uv_handle_t *)&store->timer, NULL);
}

void quarantine_store_members_known(struct quarantine_store *store)
{
	store->members_known = true;
	if (!store->read_done)
		step(store);
}

bool quarantine_store_is_reading(const struct quarantine_store *store)
{
	return !store->read_done && !store->failures &&
	       lane_is_busy(&store->lane);
}

void quarantine_store_redirect(struct quarantine_store *store,
			       const struct endpoint *to)
{
	lane_set_address(&store->lane, to);
}
