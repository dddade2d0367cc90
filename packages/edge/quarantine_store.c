#include "edge/quarantine_store.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/read_plan.h"
#include "edge/lane.h"

/* Until an answer of the platform begins. */
#define CALL_TIMEOUT_US (1000 * US_PER_MS)

/* Rows that wait to be written; more than servers crash in a store's outage. */
#define WAITING_MOST 64

/* 16 hexadecimal digits and the NUL. */
#define KEY_SIZE 17

struct quarantine_store {
	struct edge *edge;
	struct lane lane;
	uv_timer_t timer;
	bool members_known; /* and so who reads */
	bool is_read; /* the rows were read, or others of the region do it */
	char *page_key; /* last key of the pages read so far; NULL: none */
	uint32_t rows; /* in these */
	uint64_t waiting[WAITING_MOST]; /* fingerprints of rows to be written */
	uint32_t waiting_count;
	uint64_t writing; /* of these, the one whose call is out */
	bool changed; /* it changed since that call was made */
	uint64_t kept[WAITING_MOST]; /* fingerprints whose rows this node wrote
				      */
	uint32_t kept_count;
	uint32_t failures; /* of calls, in a row */
};

static void step(struct quarantine_store *store);

static uint64_t real_ms(void)
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
	uint32_t rank = member_table_read_rank(store->edge->members);

	log_event(LOG_WARNING, "quarantines-lost", "cause=%s failures=%u",
		  cause, ++store->failures);
	step_later(store,
		   read_retry_us(store->failures, rank, g_random_double()));
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
	record->written_ms = real_ms();
	record->by_hand = suspect->by_hand;
	for (i = 0; i < MIN(suspect->crash_count, QUARANTINE_MAX_INCARNATIONS);
	     i++)
		record->incarnations[record->incarnation_count++] =
			suspect->crashes[i].life;
	record->request = (char *)suspect->text;
}

static void note_kept(struct quarantine_store *store, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < store->kept_count; i++)
		if (store->kept[i] == fingerprint)
			return;
	if (store->kept_count < WAITING_MOST)
		store->kept[store->kept_count++] = fingerprint;
}

static void forget_written(struct quarantine_store *store)
{
	uint32_t i;

	for (i = 0; i < store->waiting_count; i++)
		if (store->waiting[i] == store->writing)
			store->waiting[i] =
				store->waiting[--store->waiting_count];
	store->writing = 0;
}

static void on_written(void *context, const struct message *answer,
		       const char *cause)
{
	struct quarantine_store *store = context;

	if (!answer || answer->status != 200) {
		step_after_failure(store, answer ? "status" : cause);
		return;
	}
	store->failures = 0;
	if (!store->changed)
		forget_written(store);
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

	store->writing = store->waiting[0];
	store->changed = false;
	suspect = suspect_table_find(edge->suspects, store->writing);
	g_snprintf(key, sizeof(key), "%016" PRIx64, store->writing);
	if (suspect && suspect->rounds) {
		fill_record(suspect, edge_now_us(edge), &record);
		note_kept(store, store->writing);
	}
	registry->vtable->build_put_quarantine(
		registry, key, suspect && suspect->rounds ? &record : NULL,
		&call);
	metric_add(edge->stats.registry_writes, 1);
	lane_call(&store->lane, call.method, call.target, call.body,
		  CALL_TIMEOUT_US, on_written, store);
	registry_call_release(&call);
}

void quarantine_store_keep(struct quarantine_store *store, uint64_t fingerprint)
{
	uint32_t i;

	if (fingerprint == store->writing)
		store->changed = true;
	for (i = 0; i < store->waiting_count; i++)
		if (store->waiting[i] == fingerprint)
			return;
	if (store->waiting_count == WAITING_MOST)
		return;
	store->waiting[store->waiting_count++] = fingerprint;
	step(store);
}

void quarantine_store_review(struct quarantine_store *store)
{
	uint32_t i;

	for (i = store->kept_count; i > 0; i--) {
		uint64_t fingerprint = store->kept[i - 1];

		if (suspect_is_quarantined(store->edge->suspects, fingerprint))
			continue;
		store->kept[i - 1] = store->kept[--store->kept_count];
		log_event(LOG_WARNING, "quarantine-lifted",
			  "fingerprint=%016" PRIx64, fingerprint);
		quarantine_store_keep(store, fingerprint);
	}
}

/* --- reading ------------------------------------------------------------ */

/* Clocks of two nodes differ by little against a quarantine. */
static uint64_t passed_ms(const struct quarantine_record *record)
{
	uint64_t now_ms = real_ms();

	return now_ms > record->written_ms ? now_ms - record->written_ms : 0;
}

static uint64_t left_us(const struct quarantine_record *record)
{
	uint64_t ms = passed_ms(record);

	return ms < record->left_ms ? (record->left_ms - ms) * US_PER_MS : 0;
}

/* Ended for so long that nodes have forgotten it. */
static bool is_over(const struct quarantine_record *record)
{
	uint64_t ms = passed_ms(record);

	return ms >= record->left_ms &&
	       ms - record->left_ms >= SUSPECT_KEEP_US / US_PER_MS;
}

static bool take_record(struct edge *edge, uint64_t fingerprint,
			const struct quarantine_record *record)
{
	struct suspect_word word = {
		.fingerprint = fingerprint,
		.crash_count = record->incarnation_count,
		.rounds = record->rounds,
		.left_us = left_us(record),
		.by_hand = record->by_hand,
	};
	uint32_t i;

	for (i = 0; i < record->incarnation_count; i++) {
		word.crashes[i].life = record->incarnations[i];
		word.crashes[i].age_us = i * US_PER_MS;
	}
	return suspect_take(edge->suspects, &word, edge->members->self->hash,
			    edge->backends, edge_now_us(edge));
}

static void keep_text(struct edge *edge, uint64_t fingerprint, const char *text)
{
	struct suspect *suspect =
		suspect_table_find(edge->suspects, fingerprint);

	if (suspect && !*suspect->text)
		g_strlcpy(suspect->text, text, sizeof(suspect->text));
}

static void take_row(struct quarantine_store *store,
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
	if (is_over(&record)) {
		quarantine_store_keep(store, fingerprint);
	} else if (take_record(edge, fingerprint, &record)) {
		keep_text(edge, fingerprint, record.request);
	} else {
		log_event(LOG_WARNING, "quarantine-refused",
			  "key=%s cause=absurd", row->key);
	}
	quarantine_record_release(&record);
}

/* Where there are more rows, the next page begins after the last one. */
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
	store->is_read = true;
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

	if (!answer) {
		step_after_failure(store, cause);
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
		take_row(store,
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
	stats_count_read(&edge->stats, READ_STARTS);
	lane_call(&store->lane, call.method, call.target, call.body,
		  CALL_TIMEOUT_US, on_read, store);
	registry_call_release(&call);
}

static void step(struct quarantine_store *store)
{
	struct edge *edge = store->edge;

	if (lane_is_busy(&store->lane))
		return;
	/* Before the members are known, nobody knows who reads. */
	if (!store->is_read && !store->members_known)
		return;
	if (!store->is_read &&
	    member_table_read_rank(edge->members) >= READ_FIRST_NODES)
		store->is_read = true;
	if (!store->is_read)
		read_rows(store);
	else if (store->waiting_count)
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
	if (!store->is_read)
		step(store);
}

bool quarantine_store_is_reading(const struct quarantine_store *store)
{
	return !store->is_read && !store->failures &&
	       lane_is_busy(&store->lane);
}

void quarantine_store_redirect(struct quarantine_store *store,
			       const struct endpoint *to)
{
	lane_redirect(&store->lane, to);
}
