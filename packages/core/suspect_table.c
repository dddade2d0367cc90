#include "core/suspect_internal.h"

#include <string.h>

/* A claim expires this long after its wait, since timers may be late. */
#define CLAIM_MARGIN_US (60 * US_PER_MS)

/* How long a cleared entry is kept, so that its update reaches the peers. */
#define CLEARED_TTL_US (30 * US_PER_S)

/*
 * Heartbeats that carry a change, learned by this node or from a peer, besides
 * the broadcast: datagrams may be lost. Only for requests that have two crashes
 * or more, that are or were quarantined, or that an operator released. Suspects
 * with one crash go into no heartbeats: they are many and mostly innocent.
 */
#define HEARTBEATS_LOCAL 5
#define HEARTBEATS_RECEIVED 1

struct suspect_table *suspect_table_new(void)
{
	return g_new0(struct suspect_table, 1);
}

void suspect_table_free(struct suspect_table *table)
{
	g_free(table);
}

struct suspect *suspect_table_find(struct suspect_table *table,
				   uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; table->count && i < SUSPECT_MAX_ENTRIES; i++)
		if (table->keys[i] == fingerprint)
			return &table->entries[i];
	return NULL;
}

bool suspect_is_quarantined(struct suspect_table *table, uint64_t fingerprint)
{
	const struct suspect *entry = suspect_table_find(table, fingerprint);

	return entry && entry->rounds;
}

static void remove_at(struct suspect_table *table, uint32_t at)
{
	suspect_drop_uncounted_crashes(table, table->keys[at], UINT64_MAX);
	table->keys[at] = 0;
	memset(&table->entries[at], 0, sizeof(table->entries[at]));
	table->count--;
}

/* Whether a is evicted first: it has less evidence against it, or is older. */
static bool is_evicted_before(const struct suspect *a, const struct suspect *b)
{
	if (a->evidence_crashes != b->evidence_crashes)
		return a->evidence_crashes < b->evidence_crashes;
	return a->updated_us < b->updated_us;
}

/*
 * Index of a free slot, after an eviction if need be; SUSPECT_MAX_ENTRIES if
 * all requests are quarantined.
 */
static uint32_t free_slot(struct suspect_table *table)
{
	uint32_t slot = SUSPECT_MAX_ENTRIES;
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++) {
		const struct suspect *entry = &table->entries[i];

		if (!table->keys[i])
			return i;
		if (!entry->rounds &&
		    (slot == SUSPECT_MAX_ENTRIES ||
		     is_evicted_before(entry, &table->entries[slot])))
			slot = i;
	}
	if (slot < SUSPECT_MAX_ENTRIES)
		remove_at(table, slot);
	return slot;
}

/* Returns the entry, added if missing; NULL if there is no slot. */
static struct suspect *find_or_add(struct suspect_table *table,
				   uint64_t fingerprint)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);
	uint32_t slot;

	if (entry || !fingerprint)
		return entry;
	slot = free_slot(table);
	if (slot == SUSPECT_MAX_ENTRIES)
		return NULL;
	table->keys[slot] = fingerprint;
	entry = &table->entries[slot];
	entry->fingerprint = fingerprint;
	table->count++;
	return entry;
}

/*
 * With one crash all requests at the server are suspects, and most are
 * innocent.
 */
static bool is_strong_suspect(const struct suspect *entry)
{
	return entry->rounds || entry->evidence_crashes > 1;
}

static void mark_changed(struct suspect *entry, uint8_t times, uint64_t now_us)
{
	entry->updated_us = now_us;
	entry->heartbeats_left = times;
}

/* Sent twice where the loss of one datagram may allow another crash. */
static void schedule_broadcast(struct suspect *entry)
{
	entry->broadcasts_left = is_strong_suspect(entry) ? 2 : 1;
}

/* --- crashes ------------------------------------------------------------ */

bool suspect_add_own_crash(struct suspect_table *table, uint64_t fingerprint,
			   const struct backend_table *backends,
			   const struct suspect_crash *crash, const char *text)
{
	struct suspect *entry = find_or_add(table, fingerprint);

	if (!entry)
		return false;
	if (!*entry->text)
		g_strlcpy(entry->text, text, sizeof(entry->text));
	suspect_recount_crashes(table, entry, backends);
	if (entry->rounds && entry->until_us <= crash->at_us) {
		suspect_begin_quarantine(entry, crash->at_us);
		suspect_add_retry_crash(table, entry, crash);
	} else if (!suspect_add_crash(table, entry, backends, crash))
		return false;
	entry->seen_locally = true;
	mark_changed(entry, is_strong_suspect(entry) ? HEARTBEATS_LOCAL : 0,
		     crash->at_us);
	schedule_broadcast(entry);
	return true;
}

static bool clear_entry(struct suspect_table *table, struct suspect *entry,
			uint64_t at_us)
{
	if (at_us <= entry->cleared_us)
		return false;
	entry->cleared_us = at_us;
	entry->rounds = 0;
	entry->by_hand = false;
	suspect_drop_crashes_before(entry, at_us);
	suspect_drop_uncounted_crashes(table, entry->fingerprint, at_us);
	return true;
}

void suspect_clear(struct suspect_table *table, uint64_t fingerprint,
		   uint64_t now_us)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);
	struct suspect before;
	bool was_strong;

	if (!entry || (!entry->crash_count && !entry->rounds))
		return;
	was_strong = is_strong_suspect(entry);
	before = *entry;
	suspect_note_unrelated_crashes(table, entry, now_us);
	clear_entry(table, entry, now_us);
	suspect_reevaluate_related(table, &before);
	mark_changed(entry, was_strong ? HEARTBEATS_LOCAL : 0, now_us);
}

/* --- runs --------------------------------------------------------------- */

static void remove_run(struct suspect_table *table, uint32_t at)
{
	table->runs[at] = table->runs[--table->run_count];
}

static void drop_ended_runs(struct suspect_table *table, uint64_t now_us)
{
	uint32_t i;

	for (i = table->run_count; i > 0; i--)
		if (table->runs[i - 1].until_us <= now_us)
			remove_run(table, i - 1);
}

static struct suspect_run *find_run(struct suspect_table *table,
				    uint64_t fingerprint, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < table->run_count; i++) {
		struct suspect_run *run = &table->runs[i];

		if (run->fingerprint == fingerprint && run->node == node)
			return run;
	}
	return NULL;
}

static bool is_claim(const struct suspect_run *run)
{
	return !run->incarnation;
}

/* Order of claims, the same at all nodes. */
static bool claim_precedes(const struct suspect_run *claim,
			   const struct suspect_query *query)
{
	if (claim->fingerprint != query->fingerprint)
		return claim->fingerprint < query->fingerprint;
	return claim->node < query->node;
}

/* Whether the query's request has to wait for this run. */
static bool blocks(const struct suspect_run *run,
		   const struct suspect_query *query, bool has_claimed)
{
	bool is_same = run->fingerprint == query->fingerprint;

	if (!is_claim(run) || !has_claimed)
		return is_same;
	return claim_precedes(run, query);
}

static bool is_blocked(struct suspect_table *table,
		       const struct suspect_query *query, bool has_claimed,
		       uint64_t now_us)
{
	uint32_t i;

	drop_ended_runs(table, now_us);
	for (i = 0; i < table->run_count; i++)
		if (blocks(&table->runs[i], query, has_claimed))
			return true;
	return false;
}

static bool take_out_run(struct suspect_table *table, uint64_t fingerprint,
			 uint32_t node)
{
	struct suspect_run *run = find_run(table, fingerprint, node);

	if (run)
		remove_run(table, (uint32_t)(run - table->runs));
	return run != NULL;
}

static void put_run(struct suspect_table *table, const struct suspect_run *run)
{
	take_out_run(table, run->fingerprint, run->node);
	if (table->run_count < SUSPECT_MAX_RUNS)
		table->runs[table->run_count++] = *run;
}

void suspect_begin_run(struct suspect_table *table,
		       const struct suspect_run *run)
{
	struct suspect *entry = suspect_table_find(table, run->fingerprint);

	put_run(table, run);
	if (entry)
		schedule_broadcast(entry);
}

void suspect_end_run(struct suspect_table *table, uint64_t fingerprint,
		     uint32_t node)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);

	/* Other nodes wait for the end of a run that they know of. */
	if (take_out_run(table, fingerprint, node) && entry)
		schedule_broadcast(entry);
}

bool suspect_runs_on(const struct suspect_table *table, uint32_t incarnation,
		     bool isolated_only, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < table->run_count; i++)
		if (table->runs[i].incarnation == incarnation &&
		    (table->runs[i].isolated || !isolated_only) &&
		    table->runs[i].until_us > now_us)
			return true;
	return false;
}

/* --- decisions ---------------------------------------------------------- */

static bool has_claim(struct suspect_table *table,
		      const struct suspect_query *query, uint64_t now_us)
{
	const struct suspect_run *run =
		find_run(table, query->fingerprint, query->node);

	return query->has_claimed && run && is_claim(run) &&
	       run->until_us > now_us;
}

/*
 * The node that saw the first crash retries the request once it knows of other
 * nodes' crashes under it; the others wait until they know of that retry.
 */
static uint64_t first_retry_wait_us(const struct suspect *entry,
				    uint64_t now_us)
{
	uint64_t delay_us = entry->seen_locally ? SUSPECT_UPDATE_DELAY_US :
						  2 * SUSPECT_UPDATE_DELAY_US;
	uint64_t due_us = suspect_latest_crash_us(entry) + delay_us;

	return due_us > now_us ? due_us - now_us : 0;
}

void suspect_decide(struct suspect_table *table,
		    const struct suspect_query *query,
		    const struct backend_table *backends, uint64_t now_us,
		    struct suspect_decision *decision)
{
	struct suspect *entry = suspect_table_find(table, query->fingerprint);
	bool has_claimed = has_claim(table, query, now_us);

	memset(decision, 0, sizeof(*decision));
	if (!entry)
		return;
	if (suspect_recount_crashes(table, entry, backends))
		suspect_reevaluate_related(table, entry);
	if (entry->rounds && (entry->until_us > now_us || !query->is_prober)) {
		decision->verdict = SUSPECT_QUARANTINED;
		decision->left_us =
			entry->until_us > now_us ? entry->until_us - now_us : 0;
		return;
	}
	if (!entry->rounds && !entry->evidence_crashes)
		return;
	decision->isolated = is_strong_suspect(entry);
	decision->needs_claim = decision->isolated && !has_claimed;
	decision->wait_us =
		decision->isolated ? 0 : first_retry_wait_us(entry, now_us);
	decision->verdict = SUSPECT_MAY_RUN;
	if (is_blocked(table, query, has_claimed, now_us) ||
	    (decision->needs_claim && table->run_count == SUSPECT_MAX_RUNS))
		decision->verdict = SUSPECT_RUNNING;
}

void suspect_claim(struct suspect_table *table, uint64_t fingerprint,
		   uint32_t node, uint64_t now_us)
{
	const struct suspect_run claim = {
		.fingerprint = fingerprint,
		.node = node,
		.until_us = now_us + SUSPECT_CLAIM_WAIT_US + CLAIM_MARGIN_US,
		.isolated = true,
	};

	suspect_begin_run(table, &claim);
}

bool suspect_quarantine(struct suspect_table *table, uint64_t fingerprint,
			uint64_t now_us)
{
	struct suspect *entry = find_or_add(table, fingerprint);

	if (!entry)
		return false;
	entry->by_hand = true;
	if (!entry->rounds)
		suspect_begin_quarantine(entry, now_us);
	mark_changed(entry, HEARTBEATS_LOCAL, now_us);
	schedule_broadcast(entry);
	return true;
}

bool suspect_release(struct suspect_table *table, uint64_t fingerprint,
		     uint64_t now_us)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);

	if (!entry)
		return false;
	clear_entry(table, entry, now_us);
	mark_changed(entry, HEARTBEATS_LOCAL, now_us);
	schedule_broadcast(entry);
	return true;
}

/* --- updates ------------------------------------------------------------ */

static bool is_valid(const struct suspect_update *update)
{
	uint32_t i;

	if (!update->fingerprint || update->crash_count > SUSPECT_MAX_CRASHES ||
	    update->rounds > SUSPECT_MAX_ROUNDS ||
	    update->run_left_us > SUSPECT_MAX_RUN_US)
		return false;
	if (update->left_us >
	    (update->rounds ? suspect_quarantine_us(update->rounds) : 0))
		return false;
	for (i = 0; i < update->crash_count; i++)
		if (update->crashes[i].age_us > SUSPECT_TTL_US ||
		    update->crashes[i].ran_us > SUSPECT_TTL_US)
			return false;
	return true;
}

static uint64_t time_before(uint64_t now_us, uint64_t age_us)
{
	return now_us > age_us ? now_us - age_us : 0;
}

static bool apply_crashes(struct suspect_table *table, struct suspect *entry,
			  const struct suspect_update *update,
			  const struct backend_table *backends, uint64_t now_us)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < update->crash_count; i++) {
		const struct suspect_crash crash = {
			.incarnation = update->crashes[i].incarnation,
			.at_us = time_before(now_us, update->crashes[i].age_us),
			.ran_us = update->crashes[i].ran_us,
		};

		changed |= suspect_add_crash(table, entry, backends, &crash);
	}
	return changed;
}

static bool apply_answer(struct suspect_table *table, struct suspect *entry,
			 uint64_t answered_us)
{
	const struct suspect before = *entry;

	suspect_note_unrelated_crashes(table, entry, answered_us);
	if (!clear_entry(table, entry, answered_us))
		return false;
	suspect_reevaluate_related(table, &before);
	return true;
}

/* A peer's update quarantines nothing by itself: its crashes have to count. */
static bool apply_quarantine(struct suspect_table *table, struct suspect *entry,
			     const struct suspect_update *update,
			     uint64_t now_us)
{
	if (update->rounds <= entry->rounds)
		return false;
	if (!update->by_hand && !entry->rounds)
		suspect_confirm_quarantine(table, entry);
	if (!update->by_hand && !entry->rounds)
		return false;
	entry->rounds = update->rounds;
	entry->until_us = now_us + update->left_us;
	entry->by_hand = update->by_hand;
	return true;
}

static void apply_run(struct suspect_table *table,
		      const struct suspect_update *update, uint32_t sender,
		      uint64_t now_us)
{
	const struct suspect_run run = {
		.fingerprint = update->fingerprint,
		.node = sender,
		.incarnation = update->run_incarnation,
		.until_us = now_us + update->run_left_us,
		.isolated = update->rounds || update->crash_count > 1,
	};

	if (update->run_left_us)
		put_run(table, &run);
	else
		take_out_run(table, update->fingerprint, sender);
}

bool suspect_apply_update(struct suspect_table *table,
			  const struct suspect_update *update, uint32_t sender,
			  const struct backend_table *backends, uint64_t now_us)
{
	struct suspect *entry;
	bool changed;

	if (!is_valid(update))
		return false;
	apply_run(table, update, sender, now_us);
	if (update->crash_count || update->rounds)
		entry = find_or_add(table, update->fingerprint);
	else
		entry = suspect_table_find(table, update->fingerprint);
	if (!entry)
		return true;
	changed = update->cleared &&
		  apply_answer(table, entry,
			       time_before(now_us, update->cleared_age_us));
	changed |= apply_crashes(table, entry, update, backends, now_us);
	if (suspect_recount_crashes(table, entry, backends))
		suspect_reevaluate_related(table, entry);
	changed |= apply_quarantine(table, entry, update, now_us);
	if (changed)
		mark_changed(entry,
			     is_strong_suspect(entry) ? HEARTBEATS_RECEIVED : 0,
			     now_us);
	return true;
}

static void fill_run(const struct suspect_table *table,
		     const struct suspect *entry, uint32_t node,
		     uint64_t now_us, struct suspect_update *update)
{
	uint32_t i;

	for (i = 0; i < table->run_count; i++) {
		const struct suspect_run *run = &table->runs[i];

		if (run->fingerprint != entry->fingerprint ||
		    run->node != node || run->until_us <= now_us)
			continue;
		update->run_incarnation = run->incarnation;
		update->run_left_us =
			MIN(run->until_us - now_us, SUSPECT_MAX_RUN_US);
	}
}

static void fill_update(const struct suspect_table *table,
			const struct suspect *entry, uint32_t node,
			uint64_t now_us, struct suspect_update *update)
{
	memset(update, 0, sizeof(*update));
	update->fingerprint = entry->fingerprint;
	update->rounds = entry->rounds;
	if (entry->rounds && entry->until_us > now_us)
		update->left_us = entry->until_us - now_us;
	update->by_hand = entry->by_hand;
	update->cleared = entry->cleared_us > 0;
	update->cleared_age_us = update->cleared ? now_us - entry->cleared_us :
						   0;
	fill_run(table, entry, node, now_us, update);
}

static void fill_crashes(const struct suspect_crash *crashes, uint32_t count,
			 uint64_t now_us, struct suspect_update *update)
{
	uint32_t i;

	update->crash_count = MIN(count, SUSPECT_MAX_CRASHES);
	for (i = 0; i < update->crash_count; i++) {
		update->crashes[i].incarnation = crashes[i].incarnation;
		update->crashes[i].age_us =
			MIN(now_us - crashes[i].at_us, SUSPECT_TTL_US);
		update->crashes[i].ran_us = crashes[i].ran_us;
	}
}

/*
 * Fills in at most max_count updates on a request, several if it has more
 * crashes than one update holds, and returns their number.
 */
static uint32_t fill_updates(const struct suspect_table *table,
			     const struct suspect *entry, uint32_t node,
			     uint64_t now_us, struct suspect_update *updates,
			     uint32_t max_count)
{
	struct suspect_crash crashes[SUSPECT_MAX_LISTED_CRASHES];
	uint32_t crash_count = suspect_list_crashes(table, entry, crashes);
	uint32_t parts = MAX(1, (crash_count + SUSPECT_MAX_CRASHES - 1) /
					SUSPECT_MAX_CRASHES);
	uint32_t count = MIN(parts, max_count);
	uint32_t i;

	/* The latest crashes last: peers keep the state of the last update. */
	for (i = 0; i < count; i++) {
		uint32_t first = (count - 1 - i) * SUSPECT_MAX_CRASHES;

		fill_update(table, entry, node, now_us, &updates[i]);
		fill_crashes(&crashes[first], crash_count - first, now_us,
			     &updates[i]);
	}
	return count;
}

uint32_t suspect_collect_broadcast(struct suspect_table *table, uint32_t node,
				   uint64_t now_us,
				   struct suspect_update *updates,
				   uint32_t max_count)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0;
	     table->count && i < SUSPECT_MAX_ENTRIES && count < max_count;
	     i++) {
		struct suspect *entry = &table->entries[i];

		if (!table->keys[i] || !entry->broadcasts_left)
			continue;
		entry->broadcasts_left--;
		count += fill_updates(table, entry, node, now_us,
				      &updates[count], max_count - count);
	}
	return count;
}

bool suspect_has_broadcast(const struct suspect_table *table)
{
	uint32_t i;

	for (i = 0; table->count && i < SUSPECT_MAX_ENTRIES; i++)
		if (table->keys[i] && table->entries[i].broadcasts_left)
			return true;
	return false;
}

uint32_t suspect_collect_updates(struct suspect_table *table, uint32_t node,
				 uint64_t now_us,
				 struct suspect_update *updates,
				 uint32_t max_count)
{
	uint32_t first = table->next_update;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0;
	     table->count && i < SUSPECT_MAX_ENTRIES && count < max_count;
	     i++) {
		uint32_t at = (first + i) % SUSPECT_MAX_ENTRIES;
		struct suspect *entry = &table->entries[at];

		if (!table->keys[at] ||
		    (!entry->heartbeats_left && !entry->rounds))
			continue;
		if (entry->heartbeats_left)
			entry->heartbeats_left--;
		count += fill_updates(table, entry, node, now_us,
				      &updates[count], max_count - count);
		table->next_update = at + 1;
	}
	return count;
}

void suspect_table_expire(struct suspect_table *table, uint64_t now_us)
{
	uint32_t i;

	drop_ended_runs(table, now_us);
	suspect_drop_uncounted_crashes(table, 0,
				       time_before(now_us, SUSPECT_TTL_US));
	for (i = 0; table->count && i < SUSPECT_MAX_ENTRIES; i++) {
		const struct suspect *entry = &table->entries[i];
		bool cleared = !entry->evidence_crashes && !entry->rounds;
		uint64_t keep_us = cleared ? CLEARED_TTL_US : SUSPECT_TTL_US;
		uint64_t from_us = MAX(entry->updated_us, entry->until_us);

		if (table->keys[i] && from_us + keep_us <= now_us)
			remove_at(table, i);
	}
}

const char *suspect_verdict_name(enum suspect_verdict verdict)
{
	switch (verdict) {
	case SUSPECT_NONE:
		return "none";
	case SUSPECT_MAY_RUN:
		return "suspect";
	case SUSPECT_RUNNING:
		return "suspect at work";
	case SUSPECT_QUARANTINED:
		return "quarantined";
	}
	return "unknown";
}
