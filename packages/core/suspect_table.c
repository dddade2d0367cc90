#include "core/suspect_table.h"

#include <string.h>

#include "core/hash.h"

/*
 * Ends of servers so close to each other may have one cause, as a failure
 * domain's loss of power. A word of another region is under way for about as
 * long.
 */
#define TOGETHER_US (60 * US_PER_MS)

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

static uint64_t difference(uint64_t a, uint64_t b)
{
	return MAX(a, b) - MIN(a, b);
}

static bool survived(const struct backend_table *backends,
		     const struct suspect_crash *crash)
{
	const struct backend *backend =
		backend_table_find_life(backends, crash->life);

	return backend && backend->alive_us > crash->at_us &&
	       backend->unreachable_us <= crash->at_us;
}

/* Hash of the server's failure domain; 0: not known. */
static uint32_t domain_of(const struct backend_table *backends, uint32_t life)
{
	const struct backend *backend = backend_table_find_life(backends, life);

	return backend ? hash_text(backend->domain) : 0;
}

/* The remembered moment that it belongs to, or NULL. */
static struct suspect_domain_end *
find_domain_end(struct suspect_table *table,
		const struct backend_table *backends,
		const struct suspect_crash *crash)
{
	uint32_t domain = domain_of(backends, crash->life);
	uint32_t i;

	for (i = 0; domain && i < SUSPECT_DOMAIN_ENDS_MOST; i++) {
		struct suspect_domain_end *end = &table->domain_ends[i];

		if (end->domain == domain &&
		    difference(end->at_us, crash->at_us) < TOGETHER_US)
			return end;
	}
	return NULL;
}

static void drop_crashes_before(struct suspect *entry, uint64_t before_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (entry->crashes[i].at_us > before_us)
			entry->crashes[kept++] = entry->crashes[i];
	entry->crash_count = kept;
	entry->counted = MIN(entry->counted, kept);
}

static void drop_crashes_of_living(struct suspect *entry,
				   const struct backend_table *backends)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (!survived(backends, &entry->crashes[i]))
			entry->crashes[kept++] = entry->crashes[i];
	entry->crash_count = kept;
}

/*
 * Whether another server ended under it in the same moment. Each of the two may
 * have come with a word that was under way.
 */
static bool has_companion(const struct suspect *entry,
			  const struct suspect_crash *crash)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (entry->crashes[i].life != crash->life &&
		    difference(entry->crashes[i].at_us, crash->at_us) <
			    2 * TOGETHER_US)
			return true;
	return false;
}

/* One that was at several of a domain's servers may be what ended them. */
static bool speaks_against(struct suspect_table *table,
			   const struct suspect *entry,
			   const struct backend_table *backends,
			   const struct suspect_crash *crash)
{
	return !find_domain_end(table, backends, crash) ||
	       has_companion(entry, crash);
}

static void review(struct suspect_table *table, struct suspect *entry,
		   const struct backend_table *backends)
{
	uint32_t i;

	drop_crashes_of_living(entry, backends);
	entry->counted = 0;
	for (i = 0; i < entry->crash_count; i++)
		entry->counted += speaks_against(table, entry, backends,
						 &entry->crashes[i]);
}

static void review_all(struct suspect_table *table,
		       const struct backend_table *backends)
{
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++)
		if (table->keys[i])
			review(table, &table->entries[i], backends);
}

/* Servers of one moment: few, so that a set of their lives is an array. */
static bool has_life(const GArray *lives, uint32_t life)
{
	guint i;

	for (i = 0; i < lives->len; i++)
		if (g_array_index(lives, uint32_t, i) == life)
			return true;
	return false;
}

static void add_life(GArray *lives, uint32_t life)
{
	if (!has_life(lives, life))
		g_array_append_val(lives, life);
}

/*
 * The lives of the crash's domain that are known to have ended with it: all,
 * and those at which one request was that was at several.
 */
static void collect_lives(const struct suspect_table *table,
			  const struct backend_table *backends,
			  const struct suspect_crash *crash, GArray *lives,
			  GArray *shared)
{
	uint32_t domain = domain_of(backends, crash->life);
	uint32_t i;
	uint32_t j;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		const struct suspect *entry = &table->entries[i];

		for (j = 0; j < entry->crash_count; j++) {
			const struct suspect_crash *other = &entry->crashes[j];

			if (difference(other->at_us, crash->at_us) >=
				    TOGETHER_US ||
			    domain_of(backends, other->life) != domain)
				continue;
			add_life(lives, other->life);
			if (has_companion(entry, other))
				add_life(shared, other->life);
		}
	}
}

static uint32_t count_servers(const struct backend_table *backends,
			      uint32_t domain)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;

		count += hash_text(backend->domain) == domain;
	}
	return count;
}

/*
 * Several servers of a domain may have ended in the same moment. A request that
 * was at two of them may be what ended these, and is often heard of last.
 */
static void note_domain_end(struct suspect_table *table,
			    const struct backend_table *backends,
			    const struct suspect_crash *crash)
{
	uint32_t domain = domain_of(backends, crash->life);
	struct suspect_domain_end *end =
		find_domain_end(table, backends, crash);
	GArray *lives = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GArray *shared = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t ended;

	if (domain)
		collect_lives(table, backends, crash, lives, shared);
	ended = lives->len - shared->len;
	if (!end && ended >= SUSPECT_DOMAIN_ENDS &&
	    2 * ended >= count_servers(backends, domain)) {
		end = &table->domain_ends[table->domain_end_next++ %
					  SUSPECT_DOMAIN_ENDS_MOST];
		end->domain = domain;
		end->at_us = crash->at_us;
		review_all(table, backends);
	} else if (end && shared->len && ended < SUSPECT_DOMAIN_ENDS) {
		memset(end, 0, sizeof(*end));
		review_all(table, backends);
	}
	g_array_unref(lives);
	g_array_unref(shared);
}

/*
 * Whether both may have one cause that isn't the request: at the same time, and
 * neither run began when the other server had ended.
 */
static bool may_share_cause(const struct suspect_crash *a,
			    const struct suspect_crash *b)
{
	const struct suspect_crash *first = a->at_us < b->at_us ? a : b;
	const struct suspect_crash *last = first == a ? b : a;

	return last->at_us - first->at_us < TOGETHER_US &&
	       last->at_us < first->at_us + last->ran_us;
}

/* Three that may have one cause don't make a quarantine; two more would. */
static bool is_new_crash(const struct suspect *entry,
			 const struct suspect_crash *crash)
{
	uint32_t together = 0;
	uint32_t i;

	if (crash->at_us <= entry->cleared_us)
		return false;
	for (i = 0; i < entry->crash_count; i++) {
		if (entry->crashes[i].life == crash->life)
			return false;
		together += may_share_cause(&entry->crashes[i], crash);
	}
	return together < SUSPECT_CRASHES - 1;
}

/* --- judgement ----------------------------------------------------------- */

static uint64_t quarantine_us(uint32_t rounds)
{
	return SUSPECT_QUARANTINE_US << (rounds - 1);
}

static void begin_quarantine(struct suspect *entry, uint64_t now_us)
{
	entry->rounds = MIN(entry->rounds + 1, SUSPECT_ROUNDS_MOST);
	entry->until_us = now_us + quarantine_us(entry->rounds);
}

static bool has_enough_crashes(const struct suspect *entry)
{
	return entry->counted >= SUSPECT_CRASHES;
}

static bool was_at(const struct suspect *entry, uint32_t life)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (entry->crashes[i].life == life)
			return true;
	return false;
}

/* Crashes that no other request with as many can have caused. */
static uint32_t count_own(const struct suspect_table *table,
			  const struct suspect *entry)
{
	bool is_others[SUSPECT_CRASHES_KEPT] = { false };
	uint32_t own = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		const struct suspect *other = &table->entries[i];

		if (other == entry || !has_enough_crashes(other))
			continue;
		for (j = 0; j < entry->crash_count; j++)
			is_others[j] |= was_at(other, entry->crashes[j].life);
	}
	for (j = 0; j < entry->crash_count; j++)
		own += !is_others[j];
	return MIN(own, entry->counted);
}

/* The most that one has which was at a server with it. */
static uint32_t count_rivals_own(const struct suspect_table *table,
				 const struct suspect *entry)
{
	uint32_t most = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		const struct suspect *other = &table->entries[i];

		if (other == entry || !has_enough_crashes(other))
			continue;
		for (j = 0; j < entry->crash_count; j++)
			if (was_at(other, entry->crashes[j].life))
				break;
		if (j < entry->crash_count)
			most = MAX(most, count_own(table, other));
	}
	return most;
}

enum judgement {
	JUDGEMENT_FREE,
	JUDGEMENT_OPEN, /* as much speaks against another */
	JUDGEMENT_GUILTY,
};

/*
 * What stood beside a request that crashes servers may have been there each
 * time. Then the crashes that one of them has for itself decide, and where none
 * has any, the next run: suspects run one by one.
 */
static enum judgement judge(const struct suspect_table *table,
			    const struct suspect *entry)
{
	uint32_t rivals_own;
	uint32_t own;

	if (!has_enough_crashes(entry))
		return JUDGEMENT_FREE;
	own = count_own(table, entry);
	if (!own)
		return JUDGEMENT_FREE;
	if (own > 1 || entry->counted > SUSPECT_CRASHES)
		return JUDGEMENT_GUILTY;
	rivals_own = count_rivals_own(table, entry);
	if (rivals_own == 1)
		return JUDGEMENT_OPEN;
	return rivals_own ? JUDGEMENT_FREE : JUDGEMENT_GUILTY;
}

static uint64_t latest_crash_us(const struct suspect *entry)
{
	uint64_t latest_us = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		latest_us = MAX(latest_us, entry->crashes[i].at_us);
	return latest_us;
}

/* A first quarantine stands on its crashes, later ones on a try that failed. */
static void judge_all(struct suspect_table *table)
{
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		struct suspect *entry = &table->entries[i];
		enum judgement judgement;

		if (entry->by_hand || entry->rounds > 1 ||
		    (!entry->rounds && !has_enough_crashes(entry)))
			continue;
		judgement = judge(table, entry);
		if (judgement == JUDGEMENT_FREE)
			entry->rounds = 0;
		else if (judgement == JUDGEMENT_GUILTY && !entry->rounds)
			begin_quarantine(entry, latest_crash_us(entry));
	}
}

/* --- evidence ------------------------------------------------------------ */

/*
 * Place of the one to be forgotten: one that doesn't count, or the oldest. Were
 * the latest ones not remembered, those at which others had been would never be
 * followed by one that was its own.
 */
static uint32_t least_crash(struct suspect_table *table,
			    const struct suspect *entry,
			    const struct backend_table *backends)
{
	uint32_t least = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++) {
		if (!speaks_against(table, entry, backends, &entry->crashes[i]))
			return i;
		if (entry->crashes[i].at_us < entry->crashes[least].at_us)
			least = i;
	}
	return least;
}

static bool keep_crash(struct suspect_table *table, struct suspect *entry,
		       const struct backend_table *backends,
		       const struct suspect_crash *crash)
{
	uint32_t at;

	if (entry->crash_count < SUSPECT_CRASHES_KEPT) {
		entry->crashes[entry->crash_count++] = *crash;
		return true;
	}
	at = least_crash(table, entry, backends);
	if (entry->crashes[at].at_us >= crash->at_us)
		return false;
	entry->crashes[at] = *crash;
	return true;
}

/* Whether it was one that wasn't known. */
static bool add_crash(struct suspect_table *table, struct suspect *entry,
		      const struct backend_table *backends,
		      const struct suspect_crash *crash)
{
	if (entry->rounds > 1 || !is_new_crash(entry, crash) ||
	    !keep_crash(table, entry, backends, crash))
		return false;
	note_domain_end(table, backends, crash);
	review(table, entry, backends);
	judge_all(table);
	return true;
}

bool suspect_crashed(struct suspect_table *table, uint64_t fingerprint,
		     const struct backend_table *backends,
		     const struct suspect_crash *crash, const char *text)
{
	struct suspect *entry = obtain(table, fingerprint);

	if (!entry)
		return false;
	if (!*entry->text)
		g_strlcpy(entry->text, text, sizeof(entry->text));
	review(table, entry, backends);
	if (entry->rounds && entry->until_us <= crash->at_us)
		begin_quarantine(entry, crash->at_us);
	else if (!add_crash(table, entry, backends, crash))
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
	drop_crashes_before(entry, at_us);
	return true;
}

void suspect_cleared(struct suspect_table *table, uint64_t fingerprint,
		     uint64_t now_us)
{
	struct suspect *entry = suspect_table_find(table, fingerprint);
	bool was_strong;

	if (!entry || (!entry->crash_count && !entry->rounds))
		return;
	was_strong = is_strong_suspect(entry);
	clear(entry, now_us);
	judge_all(table);
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
	review(table, entry, backends);
	judge_all(table);
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
		begin_quarantine(entry, now_us);
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
	if (word->left_us > (word->rounds ? quarantine_us(word->rounds) : 0))
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

		news |= add_crash(table, entry, backends, &crash);
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
	news = word->cleared &&
	       clear(entry, before(now_us, word->cleared_age_us));
	news |= take_crashes(table, entry, word, backends, now_us);
	review(table, entry, backends);
	if (news)
		judge_all(table);
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
