#include "core/suspect_parts.h"

#include <string.h>

/* By how much a claim outlives its wait, for timers that are late. */
#define CLAIM_EXTRA_US (60 * US_PER_MS)

/* What was cleared is told for so long, then forgotten. */
#define CLEARED_KEEP_US (30 * US_PER_S)

/*
 * How often a change of one that two servers ended under is told with beats,
 * beside the word to all at once: datagrams may be lost. Others are many, and
 * most of them innocent.
 */
#define TELL_OWN 5
#define TELL_TAKEN 1

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

	for (i = 0; table->count && i < SUSPECTS_MOST; i++)
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
	table->keys[at] = 0;
	memset(&table->entries[at], 0, sizeof(table->entries[at]));
	table->count--;
}

/* Less is known against the one that goes first. */
static bool goes_before(const struct suspect *a, const struct suspect *b)
{
	if (a->counted != b->counted)
		return a->counted < b->counted;
	return a->touched_us < b->touched_us;
}

/* A place for one more; SUSPECTS_MOST if all are of quarantined requests. */
static uint32_t free_place(struct suspect_table *table)
{
	uint32_t place = SUSPECTS_MOST;
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		const struct suspect *entry = &table->entries[i];

		if (!table->keys[i])
			return i;
		if (!entry->rounds &&
		    (place == SUSPECTS_MOST ||
		     goes_before(entry, &table->entries[place])))
			place = i;
	}
	if (place < SUSPECTS_MOST)
		remove_at(table, place);
	return place;
}

/* The entry, made where it is missing; NULL where there is no place. */
static struct suspect *obtain(struct suspect_table *table, uint64_t fingerprint)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);
	uint32_t place;

	if (entry || !fingerprint)
		return entry;
	place = free_place(table);
	if (place == SUSPECTS_MOST)
		return NULL;
	table->keys[place] = fingerprint;
	entry = &table->entries[place];
	entry->fingerprint = fingerprint;
	table->count++;
	return entry;
}

/* One crash makes suspects of all that was there, most of them innocent. */
static bool is_strong_suspect(const struct suspect *entry)
{
	return entry->rounds || entry->counted > 1;
}

static void note_change(struct suspect *entry, uint8_t times, uint64_t now_us)
{
	entry->touched_us = now_us;
	entry->tells = times;
}

/* To be told to all at once, and again where one lost datagram may cost much.
 */
static void make_urgent(struct suspect *entry)
{
	entry->urgent = is_strong_suspect(entry) ? 2 : 1;
}

/* --- crashes ------------------------------------------------------------ */

bool suspect_crashed(struct suspect_table *table, uint64_t fingerprint,
		     const struct backend_table *backends,
		     const struct suspect_crash *crash, const char *text)
{
	struct suspect *entry = obtain(table, fingerprint);

	if (!entry)
		return false;
	if (!*entry->text)
		g_strlcpy(entry->text, text, sizeof(entry->text));
	suspect_review(table, entry, backends);
	if (entry->rounds && entry->until_us <= crash->at_us)
		suspect_begin_quarantine(entry, crash->at_us);
	else if (!suspect_add_crash(table, entry, backends, crash))
		return false;
	entry->seen_here = true;
	note_change(entry, is_strong_suspect(entry) ? TELL_OWN : 0,
		    crash->at_us);
	make_urgent(entry);
	return true;
}

static bool clear(struct suspect *entry, uint64_t at_us)
{
	if (at_us <= entry->cleared_us)
		return false;
	entry->cleared_us = at_us;
	entry->rounds = 0;
	entry->by_hand = false;
	suspect_drop_crashes_before(entry, at_us);
	return true;
}

void suspect_cleared(struct suspect_table *table, uint64_t fingerprint,
		     uint64_t now_us)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);
	struct suspect before;
	bool was_strong;

	if (!entry || (!entry->crash_count && !entry->rounds))
		return;
	was_strong = is_strong_suspect(entry);
	before = *entry;
	clear(entry, now_us);
	suspect_judge_around(table, &before);
	note_change(entry, was_strong ? TELL_OWN : 0, now_us);
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
	return !run->life;
}

/* An order of claims that all nodes agree on. */
static bool claim_precedes(const struct suspect_run *claim,
			   const struct suspect_query *query)
{
	if (claim->fingerprint != query->fingerprint)
		return claim->fingerprint < query->fingerprint;
	return claim->node < query->node;
}

/* Whether the query's request has to wait for this run. */
static bool holds_back(const struct suspect_run *run,
		       const struct suspect_query *query, bool has_claimed)
{
	bool is_same = run->fingerprint == query->fingerprint;

	if (!is_claim(run) || !has_claimed)
		return is_same;
	return claim_precedes(run, query);
}

static bool is_at_work(struct suspect_table *table,
		       const struct suspect_query *query, bool has_claimed,
		       uint64_t now_us)
{
	uint32_t i;

	drop_ended_runs(table, now_us);
	for (i = 0; i < table->run_count; i++)
		if (holds_back(&table->runs[i], query, has_claimed))
			return true;
	return false;
}

static bool end_run(struct suspect_table *table, uint64_t fingerprint,
		    uint32_t node)
{
	struct suspect_run *run = find_run(table, fingerprint, node);

	if (run)
		remove_run(table, (uint32_t)(run - table->runs));
	return run != NULL;
}

static void put_run(struct suspect_table *table, const struct suspect_run *run)
{
	end_run(table, run->fingerprint, run->node);
	if (table->run_count < SUSPECT_RUNS_MOST)
		table->runs[table->run_count++] = *run;
}

void suspect_run_begins(struct suspect_table *table,
			const struct suspect_run *run)
{
	struct suspect *entry = suspect_table_find(table, run->fingerprint);

	put_run(table, run);
	if (entry)
		make_urgent(entry);
}

void suspect_run_ends(struct suspect_table *table, uint64_t fingerprint,
		      uint32_t node)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);

	/* Others wait for the end of a run that they were told of. */
	if (end_run(table, fingerprint, node) && entry)
		make_urgent(entry);
}

bool suspect_runs_on(const struct suspect_table *table, uint32_t life,
		     bool apart_only, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < table->run_count; i++)
		if (table->runs[i].life == life &&
		    (table->runs[i].apart || !apart_only) &&
		    table->runs[i].until_us > now_us)
			return true;
	return false;
}

/* --- rulings ------------------------------------------------------------ */

static bool has_claim(struct suspect_table *table,
		      const struct suspect_query *query, uint64_t now_us)
{
	const struct suspect_run *run =
		find_run(table, query->fingerprint, query->node);

	return query->has_claimed && run && is_claim(run) &&
	       run->until_us > now_us;
}

void suspect_rule(struct suspect_table *table,
		  const struct suspect_query *query,
		  const struct backend_table *backends, uint64_t now_us,
		  struct suspect_ruling *ruling)
{
	struct suspect *entry = suspect_table_find(table, query->fingerprint);
	bool has_claimed = has_claim(table, query, now_us);

	memset(ruling, 0, sizeof(*ruling));
	if (!entry)
		return;
	if (suspect_review(table, entry, backends))
		suspect_judge_around(table, entry);
	if (entry->rounds && (entry->until_us > now_us || !query->is_prober)) {
		ruling->verdict = SUSPECT_QUARANTINED;
		ruling->left_us =
			entry->until_us > now_us ? entry->until_us - now_us : 0;
		return;
	}
	if (!entry->rounds && !entry->counted)
		return;
	ruling->apart = is_strong_suspect(entry);
	ruling->claims = ruling->apart && !has_claimed;
	ruling->verdict = SUSPECT_ALONE;
	if (is_at_work(table, query, has_claimed, now_us) ||
	    (ruling->claims && table->run_count == SUSPECT_RUNS_MOST))
		ruling->verdict = SUSPECT_AT_WORK;
}

void suspect_claim(struct suspect_table *table, uint64_t fingerprint,
		   uint32_t node, uint64_t now_us)
{
	const struct suspect_run claim = {
		.fingerprint = fingerprint,
		.node = node,
		.until_us = now_us + SUSPECT_CLAIM_US + CLAIM_EXTRA_US,
		.apart = true,
	};

	suspect_run_begins(table, &claim);
}

bool suspect_quarantine(struct suspect_table *table, uint64_t fingerprint,
			uint64_t now_us)
{
	struct suspect *entry = obtain(table, fingerprint);

	if (!entry)
		return false;
	entry->by_hand = true;
	if (!entry->rounds)
		suspect_begin_quarantine(entry, now_us);
	note_change(entry, TELL_OWN, now_us);
	make_urgent(entry);
	return true;
}

bool suspect_release(struct suspect_table *table, uint64_t fingerprint,
		     uint64_t now_us)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);

	if (!entry)
		return false;
	clear(entry, now_us);
	note_change(entry, TELL_OWN, now_us);
	make_urgent(entry);
	return true;
}

/* --- words -------------------------------------------------------------- */

static bool is_sound(const struct suspect_word *word)
{
	uint32_t i;

	if (!word->fingerprint || word->crash_count > SUSPECT_CRASHES_KEPT ||
	    word->rounds > SUSPECT_ROUNDS_MOST ||
	    word->run_left_us > SUSPECT_RUN_MOST_US)
		return false;
	if (word->left_us >
	    (word->rounds ? suspect_quarantine_us(word->rounds) : 0))
		return false;
	for (i = 0; i < word->crash_count; i++)
		if (word->crashes[i].age_us > SUSPECT_KEEP_US ||
		    word->crashes[i].ran_us > SUSPECT_KEEP_US)
			return false;
	return true;
}

static uint64_t before(uint64_t now_us, uint64_t age_us)
{
	return now_us > age_us ? now_us - age_us : 0;
}

static bool take_crashes(struct suspect_table *table, struct suspect *entry,
			 const struct suspect_word *word,
			 const struct backend_table *backends, uint64_t now_us)
{
	bool news = false;
	uint32_t i;

	for (i = 0; i < word->crash_count; i++) {
		const struct suspect_crash crash = {
			.life = word->crashes[i].life,
			.at_us = before(now_us, word->crashes[i].age_us),
			.ran_us = word->crashes[i].ran_us,
		};

		news |= suspect_add_crash(table, entry, backends, &crash);
	}
	return news;
}

/* A neighbour's word alone quarantines nothing: its crashes have to count. */
static bool take_quarantine(struct suspect *entry,
			    const struct suspect_word *word, uint64_t now_us)
{
	if (word->rounds <= entry->rounds)
		return false;
	if (!word->by_hand && !entry->rounds)
		return false;
	entry->rounds = word->rounds;
	entry->until_us = now_us + word->left_us;
	entry->by_hand = word->by_hand;
	return true;
}

static void take_run(struct suspect_table *table,
		     const struct suspect_word *word, uint32_t sender,
		     uint64_t now_us)
{
	const struct suspect_run run = {
		.fingerprint = word->fingerprint,
		.node = sender,
		.life = word->run_life,
		.until_us = now_us + word->run_left_us,
		.apart = word->rounds || word->crash_count > 1,
	};

	if (word->run_left_us)
		put_run(table, &run);
	else
		end_run(table, word->fingerprint, sender);
}

bool suspect_take(struct suspect_table *table, const struct suspect_word *word,
		  uint32_t sender, const struct backend_table *backends,
		  uint64_t now_us)
{
	struct suspect *entry;
	struct suspect known;
	bool news;

	if (!is_sound(word))
		return false;
	take_run(table, word, sender, now_us);
	if (word->crash_count || word->rounds)
		entry = obtain(table, word->fingerprint);
	else
		entry = suspect_table_find(table, word->fingerprint);
	if (!entry)
		return true;
	known = *entry;
	news = word->cleared &&
	       clear(entry, before(now_us, word->cleared_age_us));
	if (news)
		suspect_judge_around(table, &known);
	news |= take_crashes(table, entry, word, backends, now_us);
	if (suspect_review(table, entry, backends))
		suspect_judge_around(table, entry);
	news |= take_quarantine(entry, word, now_us);
	if (news)
		note_change(entry, is_strong_suspect(entry) ? TELL_TAKEN : 0,
			    now_us);
	return true;
}

static void fill_run(const struct suspect_table *table,
		     const struct suspect *entry, uint32_t node,
		     uint64_t now_us, struct suspect_word *word)
{
	uint32_t i;

	for (i = 0; i < table->run_count; i++) {
		const struct suspect_run *run = &table->runs[i];

		if (run->fingerprint != entry->fingerprint ||
		    run->node != node || run->until_us <= now_us)
			continue;
		word->run_life = run->life;
		word->run_left_us =
			MIN(run->until_us - now_us, SUSPECT_RUN_MOST_US);
	}
}

static void fill_word(const struct suspect_table *table,
		      const struct suspect *entry, uint32_t node,
		      uint64_t now_us, struct suspect_word *word)
{
	uint32_t i;

	memset(word, 0, sizeof(*word));
	word->fingerprint = entry->fingerprint;
	word->crash_count = entry->crash_count;
	for (i = 0; i < entry->crash_count; i++) {
		word->crashes[i].life = entry->crashes[i].life;
		word->crashes[i].age_us =
			MIN(now_us - entry->crashes[i].at_us, SUSPECT_KEEP_US);
		word->crashes[i].ran_us = entry->crashes[i].ran_us;
	}
	word->rounds = entry->rounds;
	if (entry->rounds && entry->until_us > now_us)
		word->left_us = entry->until_us - now_us;
	word->by_hand = entry->by_hand;
	word->cleared = entry->cleared_us > 0;
	word->cleared_age_us = word->cleared ? now_us - entry->cleared_us : 0;
	fill_run(table, entry, node, now_us, word);
}

uint32_t suspect_urgent_words(struct suspect_table *table, uint32_t node,
			      uint64_t now_us, struct suspect_word *words,
			      uint32_t most)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; table->count && i < SUSPECTS_MOST && count < most; i++) {
		struct suspect *entry = &table->entries[i];

		if (!table->keys[i] || !entry->urgent)
			continue;
		entry->urgent--;
		fill_word(table, entry, node, now_us, &words[count++]);
	}
	return count;
}

bool suspect_is_urgent(const struct suspect_table *table)
{
	uint32_t i;

	for (i = 0; table->count && i < SUSPECTS_MOST; i++)
		if (table->keys[i] && table->entries[i].urgent)
			return true;
	return false;
}

uint32_t suspect_words(struct suspect_table *table, uint32_t node,
		       uint64_t now_us, struct suspect_word *words,
		       uint32_t most)
{
	uint32_t first = table->told;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; table->count && i < SUSPECTS_MOST && count < most; i++) {
		uint32_t at = (first + i) % SUSPECTS_MOST;
		struct suspect *entry = &table->entries[at];

		if (!table->keys[at] || (!entry->tells && !entry->rounds))
			continue;
		if (entry->tells)
			entry->tells--;
		fill_word(table, entry, node, now_us, &words[count++]);
		table->told = at + 1;
	}
	return count;
}

void suspect_table_expire(struct suspect_table *table, uint64_t now_us)
{
	uint32_t i;

	drop_ended_runs(table, now_us);
	for (i = 0; table->count && i < SUSPECTS_MOST; i++) {
		const struct suspect *entry = &table->entries[i];
		bool cleared = !entry->counted && !entry->rounds;
		uint64_t keep_us = cleared ? CLEARED_KEEP_US : SUSPECT_KEEP_US;
		uint64_t from_us = MAX(entry->touched_us, entry->until_us);

		if (table->keys[i] && from_us + keep_us <= now_us)
			remove_at(table, i);
	}
}

const char *suspect_verdict_name(enum suspect_verdict verdict)
{
	switch (verdict) {
	case SUSPECT_NONE:
		return "none";
	case SUSPECT_ALONE:
		return "suspect";
	case SUSPECT_AT_WORK:
		return "suspect at work";
	case SUSPECT_QUARANTINED:
		return "quarantined";
	}
	return "unknown";
}
