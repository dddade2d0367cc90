/*
 * Updates that reach all nodes of the region: warm servers and servers' loads
 * of services that coordinate. A batch goes with a heartbeat to the peers that
 * it is sent to, and to the others SPREAD_DELAY_TICKS later, together with the
 * batches after it: a peer is sent each batch once, in few datagrams.
 */
#include "edge/gossip_internal.h"

#include "core/duration.h"

/* Ticks after which a batch goes to peers that got no heartbeat since. */
#define SPREAD_DELAY_TICKS 2

/* Ticks for which batches are kept for peers that couldn't be sent to. */
#define SPREAD_KEEP_TICKS 8

/*
 * Limit of peers sent to in one tick besides those that get a heartbeat, per
 * Mbit/s of the link. Datagrams of a few updates then take a twelfth of it;
 * more peers are sent to in the next ticks.
 */
#define SPREAD_PEERS_PER_MBPS 4

/*
 * Sizes of encoded entries, rounded up, and of an empty datagram. A demand
 * with all its accounts has more than a hundred bytes.
 */
#define BASE_BYTES 64
#define MEMBER_BYTES 24
#define PAIR_BYTES 12
#define LOAD_BYTES 8
#define DIGEST_BYTES 32
#define REPORT_BYTES 12
#define DEMAND_BYTES 136

struct report_entry {
	uint32_t incarnation;
	struct backend_report report;
};

struct gossip_batch {
	uint32_t number;
	uint32_t tick; /* of the timer, when it was collected */
	GArray *pairs; /* struct warm_update */
	GArray *reports; /* struct report_entry, the latest first */
};

/* Where the next datagram to a peer begins. */
struct position {
	guint batch;
	guint pair;
	guint report;
};

static void batch_free(gpointer value)
{
	struct gossip_batch *batch = value;

	g_array_unref(batch->pairs);
	g_array_unref(batch->reports);
	g_free(batch);
}

void gossip_spread_open(struct gossip *gossip)
{
	gossip->batches = g_ptr_array_new_with_free_func(batch_free);
}

void gossip_spread_close(struct gossip *gossip)
{
	g_ptr_array_unref(gossip->batches);
}

/* --- collecting --------------------------------------------------------- */

static bool pair_coordinates(const struct edge *edge, struct warm_pair pair)
{
	const struct backend *backend =
		backend_table_find_incarnation(edge->backends, pair.backend);

	return backend && gossip_backend_coordinates(edge, backend);
}

static void take_pairs(const struct edge *edge, struct gossip_batch *batch,
		       struct heartbeat *heartbeat)
{
	GArray *updates = edge->warmth.updates;
	uint64_t now_us = edge_now_us(edge);
	guint taken;

	for (taken = 0;
	     taken < updates->len &&
	     heartbeat->pair_count + batch->pairs->len < HEARTBEAT_MAX_PAIRS;
	     taken++) {
		const struct warm_update *update =
			&g_array_index(updates, struct warm_update, taken);

		if (pair_coordinates(edge, update->pair))
			g_array_append_val(batch->pairs, *update);
		else
			gossip_add_pair(heartbeat, update, now_us);
	}
	g_array_remove_range(updates, 0, taken);
}

static gint compare_ages(gconstpointer a, gconstpointer b)
{
	const struct backend *left = *(const struct backend *const *)a;
	const struct backend *right = *(const struct backend *const *)b;

	return (left->reports.newest.at_us < right->reports.newest.at_us) -
	       (left->reports.newest.at_us > right->reports.newest.at_us);
}

static bool is_due_far(const struct backend *backend, uint64_t now_us)
{
	return backend->reports.far_pending &&
	       backend_has_report(backend, now_us);
}

/* Servers with a report to send, the latest reports first. */
static GPtrArray *find_due(const struct edge *edge,
			   bool (*is_due)(const struct backend *, uint64_t))
{
	GPtrArray *due = g_ptr_array_new();
	uint64_t now_us = edge_now_us(edge);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_due(value, now_us))
			g_ptr_array_add(due, value);
	g_ptr_array_sort(due, compare_ages);
	if (due->len > HEARTBEAT_MAX_REPORTS)
		g_ptr_array_set_size(due, HEARTBEAT_MAX_REPORTS);
	return due;
}

static void take_reports(const struct edge *edge, struct gossip_batch *batch)
{
	GPtrArray *due = find_due(edge, backend_report_is_due);
	guint i;

	for (i = 0; i < due->len; i++) {
		struct backend *backend = due->pdata[i];
		const struct report_entry entry = {
			.incarnation = backend->incarnation,
			.report = backend->reports.newest,
		};

		backend_report_sent(backend);
		g_array_append_val(batch->reports, entry);
	}
	g_ptr_array_unref(due);
}

void gossip_spread_collect(struct gossip *gossip, struct heartbeat *heartbeat)
{
	struct gossip_batch *batch = g_new0(struct gossip_batch, 1);

	batch->tick = gossip->ticks;
	batch->pairs = g_array_new(FALSE, FALSE, sizeof(struct warm_update));
	batch->reports = g_array_new(FALSE, FALSE, sizeof(struct report_entry));
	take_pairs(gossip->edge, batch, heartbeat);
	take_reports(gossip->edge, batch);
	if (batch->pairs->len || batch->reports->len) {
		batch->number = gossip->next_batch++;
		g_ptr_array_add(gossip->batches, batch);
	} else {
		batch_free(batch);
	}
}

void gossip_spread_cancel(struct gossip *gossip,
			  const struct heartbeat_pair *pair)
{
	guint b;
	guint i;

	for (b = 0; b < gossip->batches->len; b++) {
		struct gossip_batch *batch = gossip->batches->pdata[b];

		for (i = batch->pairs->len; i > 0; i--) {
			const struct warm_update *update = &g_array_index(
				batch->pairs, struct warm_update, i - 1);

			if (update->relayed &&
			    update->pair.object == pair->pair.object &&
			    update->pair.backend == pair->pair.backend &&
			    (update->ready_us || !pair->ready_ms))
				g_array_remove_index_fast(batch->pairs, i - 1);
		}
	}
}

/* --- filling datagrams -------------------------------------------------- */

uint32_t gossip_bytes_left(const struct heartbeat *heartbeat)
{
	uint32_t bytes = BASE_BYTES + MEMBER_BYTES * heartbeat->member_count +
			 PAIR_BYTES * heartbeat->pair_count +
			 LOAD_BYTES * heartbeat->load_count +
			 DIGEST_BYTES * heartbeat->digest_count +
			 REPORT_BYTES * heartbeat->report_count +
			 DEMAND_BYTES * heartbeat->demand_count;

	return HEARTBEAT_MAX_BYTES - MIN(bytes, HEARTBEAT_MAX_BYTES);
}

static bool has_pair_room(const struct heartbeat *heartbeat)
{
	return heartbeat->pair_count < HEARTBEAT_MAX_PAIRS &&
	       gossip_bytes_left(heartbeat) >= PAIR_BYTES;
}

static bool has_report_room(const struct heartbeat *heartbeat)
{
	return heartbeat->report_count < HEARTBEAT_MAX_REPORTS &&
	       gossip_bytes_left(heartbeat) >= REPORT_BYTES;
}

static void add_report(struct heartbeat *heartbeat, uint32_t incarnation,
		       const struct backend_report *report, uint64_t now_us)
{
	struct heartbeat_report *entry;

	if (now_us >= report->at_us + BACKEND_REPORT_VALID_US)
		return;
	entry = &heartbeat->reports[heartbeat->report_count++];
	entry->incarnation = incarnation;
	entry->total = (uint16_t)report->total;
	entry->work_percent = (uint16_t)report->work_percent;
	entry->age_ms = (uint16_t)((now_us - report->at_us) / US_PER_MS);
}

/*
 * Adds entries from the position on and moves that to the first that doesn't
 * fit.
 */
static void fill(const struct gossip *gossip, struct heartbeat *heartbeat,
		 struct position *at)
{
	uint64_t now_us = edge_now_us(gossip->edge);

	for (; at->batch < gossip->batches->len; at->batch++) {
		const struct gossip_batch *batch =
			gossip->batches->pdata[at->batch];

		for (; at->pair < batch->pairs->len; at->pair++) {
			if (!has_pair_room(heartbeat))
				return;
			gossip_add_pair(heartbeat,
					&g_array_index(batch->pairs,
						       struct warm_update,
						       at->pair),
					now_us);
		}
		for (; at->report < batch->reports->len; at->report++) {
			const struct report_entry *entry =
				&g_array_index(batch->reports,
					       struct report_entry, at->report);

			if (!has_report_room(heartbeat))
				return;
			add_report(heartbeat, entry->incarnation,
				   &entry->report, now_us);
		}
		at->pair = 0;
		at->report = 0;
	}
}

void gossip_add_far_reports(struct gossip *gossip, struct heartbeat *heartbeat)
{
	GPtrArray *due = find_due(gossip->edge, is_due_far);
	uint64_t now_us = edge_now_us(gossip->edge);
	guint i;

	for (i = 0; i < due->len && has_report_room(heartbeat); i++) {
		struct backend *backend = due->pdata[i];

		add_report(heartbeat, backend->incarnation,
			   &backend->reports.newest, now_us);
		backend->reports.far_pending = false;
	}
	g_ptr_array_unref(due);
}

/* --- sending ------------------------------------------------------------ */

/* Index of the first batch that the member lacks; the number kept if none. */
static guint first_lacking(const struct gossip *gossip,
			   const struct member *member)
{
	guint i;

	for (i = 0; i < gossip->batches->len; i++) {
		const struct gossip_batch *batch = gossip->batches->pdata[i];

		if (batch->number >= member->next_batch)
			break;
	}
	return i;
}

static void send_from(struct gossip *gossip, const GPtrArray *peers, guint from,
		      const struct heartbeat *first)
{
	struct position at = { .batch = from };
	struct heartbeat heartbeat = *first;
	guint i;

	do {
		GBytes *bytes;

		fill(gossip, &heartbeat, &at);
		bytes = heartbeat_encode(&heartbeat);
		for (i = 0; i < peers->len; i++)
			gossip_send_bytes(gossip, peers->pdata[i], bytes);
		g_bytes_unref(bytes);
		heartbeat = (struct heartbeat){ .member_count = 0 };
		gossip_add_sender(gossip, &heartbeat);
	} while (at.batch < gossip->batches->len);
	for (i = 0; i < peers->len; i++)
		((struct member *)peers->pdata[i])->next_batch =
			gossip->next_batch;
}

void gossip_spread_send(struct gossip *gossip, const GPtrArray *peers,
			const struct heartbeat *first)
{
	GPtrArray *same = g_ptr_array_new();
	guint from;
	guint i;

	for (from = 0; from <= gossip->batches->len; from++) {
		for (i = 0; i < peers->len; i++)
			if (first_lacking(gossip, peers->pdata[i]) == from)
				g_ptr_array_add(same, peers->pdata[i]);
		if (same->len)
			send_from(gossip, same, from, first);
		g_ptr_array_set_size(same, 0);
	}
	g_ptr_array_unref(same);
}

static void drop_old(struct gossip *gossip)
{
	while (gossip->batches->len) {
		const struct gossip_batch *oldest = gossip->batches->pdata[0];

		if (gossip->ticks - oldest->tick <= SPREAD_KEEP_TICKS)
			return;
		g_ptr_array_remove_index(gossip->batches, 0);
	}
}

static bool is_overdue(const struct gossip *gossip, const struct member *member)
{
	guint from = first_lacking(gossip, member);
	const struct gossip_batch *batch;

	if (from == gossip->batches->len)
		return false;
	batch = gossip->batches->pdata[from];
	return gossip->ticks - batch->tick >= SPREAD_DELAY_TICKS &&
	       edge_now_us(gossip->edge) <
		       member->heartbeat_us + MEMBER_TIMEOUT_US;
}

void gossip_spread_tick(struct gossip *gossip)
{
	double link_mbps = gossip->edge->settings.link_mbps;
	guint max_peers = SPREAD_PEERS_PER_MBPS * (guint)MAX(link_mbps, 1);
	struct heartbeat heartbeat = { .member_count = 0 };
	GPtrArray *overdue;
	GPtrArray *near;
	guint i;

	drop_old(gossip);
	if (!gossip->batches->len)
		return;
	near = gossip_find_near(gossip);
	overdue = g_ptr_array_new();
	for (i = 0; i < near->len && overdue->len < max_peers; i++)
		if (is_overdue(gossip, near->pdata[i]))
			g_ptr_array_add(overdue, near->pdata[i]);
	gossip_add_sender(gossip, &heartbeat);
	gossip_spread_send(gossip, overdue, &heartbeat);
	g_ptr_array_unref(overdue);
	g_ptr_array_unref(near);
}
