#include "core/suspect_parts.h"

#include <string.h>

#include "core/hash.h"

/*
 * Ends of servers so close to each other may have one cause, as a failure
 * domain's loss of power. A word of another region is under way for about as
 * long.
 */
#define TOGETHER_US (60 * US_PER_MS)

/* --- crashes ------------------------------------------------------------ */

static uint64_t difference(uint64_t a, uint64_t b)
{
	return MAX(a, b) - MIN(a, b);
}

static bool survived(const struct backend_table *backends,
		     const struct suspect_crash *crash)
{
	const struct backend *backend =
		backend_table_find_incarnation(backends, crash->life);

	return backend && backend->alive_us > crash->at_us &&
	       backend->unreachable_us <= crash->at_us;
}

/* The platform's list forgets a server soon after its end. */
static void note_domain(const struct backend_table *backends,
			struct suspect_crash *crash)
{
	const struct backend *backend =
		backend_table_find_incarnation(backends, crash->life);

	if (backend)
		crash->domain = hash_text(backend->domain);
}

/* The remembered moment that it belongs to, or NULL. */
static struct suspect_domain_end *
find_domain_end(struct suspect_table *table, const struct suspect_crash *crash)
{
	uint32_t i;

	for (i = 0; crash->domain && i < SUSPECT_DOMAIN_ENDS_MOST; i++) {
		struct suspect_domain_end *end = &table->domain_ends[i];

		if (end->domain == crash->domain &&
		    difference(end->at_us, crash->at_us) < TOGETHER_US)
			return end;
	}
	return NULL;
}

void suspect_drop_crashes_before(struct suspect *entry, uint64_t before_us)
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
			   const struct suspect_crash *crash)
{
	return !find_domain_end(table, crash) || has_companion(entry, crash);
}

bool suspect_review(struct suspect_table *table, struct suspect *entry,
		    const struct backend_table *backends)
{
	uint32_t before = entry->counted;
	uint32_t i;

	drop_crashes_of_living(entry, backends);
	entry->counted = 0;
	for (i = 0; i < entry->crash_count; i++) {
		note_domain(backends, &entry->crashes[i]);
		entry->counted +=
			speaks_against(table, entry, &entry->crashes[i]);
	}
	return entry->counted != before;
}

/* --- judgement ----------------------------------------------------------- */

uint64_t suspect_quarantine_us(uint32_t rounds)
{
	return SUSPECT_QUARANTINE_US << (rounds - 1);
}

void suspect_begin_quarantine(struct suspect *entry, uint64_t now_us)
{
	entry->rounds = MIN(entry->rounds + 1, SUSPECT_ROUNDS_MOST);
	entry->until_us = now_us + suspect_quarantine_us(entry->rounds);
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

static bool shares_server(const struct suspect *a, const struct suspect *b)
{
	uint32_t i;

	for (i = 0; i < a->crash_count; i++)
		if (was_at(b, a->crashes[i].life))
			return true;
	return false;
}

/* Another request that may have caused some of its crashes. */
static bool is_rival(const struct suspect *entry, const struct suspect *other)
{
	return other != entry && has_enough_crashes(other) &&
	       shares_server(entry, other);
}

static void mark_shared(const struct suspect *entry,
			const struct suspect *rival, bool *is_shared)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		is_shared[i] |= was_at(rival, entry->crashes[i].life);
}

/* Crashes that no rival can have caused. */
static uint32_t count_own(const struct suspect_table *table,
			  const struct suspect *entry)
{
	bool is_shared[SUSPECT_CRASHES_KEPT] = { false };
	uint32_t own = 0;
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++)
		if (is_rival(entry, &table->entries[i]))
			mark_shared(entry, &table->entries[i], is_shared);
	for (i = 0; i < entry->crash_count; i++)
		own += !is_shared[i];
	return MIN(own, entry->counted);
}

/* The most crashes that a rival has for itself. */
static uint32_t count_rivals_own(const struct suspect_table *table,
				 const struct suspect *entry)
{
	uint32_t most = 0;
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++)
		if (is_rival(entry, &table->entries[i]))
			most = MAX(most, count_own(table, &table->entries[i]));
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
static void judge_one(const struct suspect_table *table, struct suspect *entry)
{
	enum judgement judgement;

	if (entry->by_hand || entry->rounds > 1 ||
	    (!entry->rounds && !has_enough_crashes(entry)))
		return;
	judgement = judge(table, entry);
	if (judgement == JUDGEMENT_FREE)
		entry->rounds = 0;
	else if (judgement == JUDGEMENT_GUILTY && !entry->rounds)
		suspect_begin_quarantine(entry, latest_crash_us(entry));
}

void suspect_judge_around(struct suspect_table *table,
			  const struct suspect *around)
{
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		struct suspect *entry = &table->entries[i];

		if ((entry->rounds || has_enough_crashes(entry)) &&
		    (entry->fingerprint == around->fingerprint ||
		     shares_server(around, entry)))
			judge_one(table, entry);
	}
}

/* --- ends of failure domains --------------------------------------------- */

static void review_all(struct suspect_table *table,
		       const struct backend_table *backends)
{
	uint32_t i;

	for (i = 0; i < SUSPECTS_MOST; i++)
		if (table->keys[i] &&
		    suspect_review(table, &table->entries[i], backends))
			judge_one(table, &table->entries[i]);
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
			  const struct suspect_crash *crash, GArray *lives,
			  GArray *shared)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < SUSPECTS_MOST; i++) {
		const struct suspect *entry = &table->entries[i];

		for (j = 0; j < entry->crash_count; j++) {
			const struct suspect_crash *other = &entry->crashes[j];

			if (difference(other->at_us, crash->at_us) >=
				    TOGETHER_US ||
			    other->domain != crash->domain)
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
	struct suspect_domain_end *end = find_domain_end(table, crash);
	GArray *lives = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GArray *shared = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t ended;

	if (crash->domain)
		collect_lives(table, crash, lives, shared);
	ended = lives->len - shared->len;
	if (!end && ended >= SUSPECT_DOMAIN_ENDS &&
	    2 * ended >= count_servers(backends, crash->domain)) {
		end = &table->domain_ends[table->domain_end_next++ %
					  SUSPECT_DOMAIN_ENDS_MOST];
		end->domain = crash->domain;
		end->at_us = crash->at_us;
		review_all(table, backends);
	} else if (end && shared->len && ended < SUSPECT_DOMAIN_ENDS) {
		memset(end, 0, sizeof(*end));
		review_all(table, backends);
	}
	g_array_unref(lives);
	g_array_unref(shared);
}

/* --- new crashes --------------------------------------------------------- */

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

/*
 * Place of the one to be forgotten: one that doesn't count, or the oldest. Were
 * the latest ones not remembered, those at which others had been would never be
 * followed by one that was its own.
 */
static uint32_t least_crash(struct suspect_table *table,
			    const struct suspect *entry)
{
	uint32_t least = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++) {
		if (!speaks_against(table, entry, &entry->crashes[i]))
			return i;
		if (entry->crashes[i].at_us < entry->crashes[least].at_us)
			least = i;
	}
	return least;
}

static bool keep_crash(struct suspect_table *table, struct suspect *entry,
		       const struct suspect_crash *crash)
{
	uint32_t at;

	if (entry->crash_count < SUSPECT_CRASHES_KEPT) {
		entry->crashes[entry->crash_count++] = *crash;
		return true;
	}
	at = least_crash(table, entry);
	if (entry->crashes[at].at_us >= crash->at_us)
		return false;
	entry->crashes[at] = *crash;
	return true;
}

/* Whether it was one that wasn't known. */
bool suspect_add_crash(struct suspect_table *table, struct suspect *entry,
		       const struct backend_table *backends,
		       const struct suspect_crash *crash)
{
	struct suspect_crash known = *crash;

	note_domain(backends, &known);
	if (entry->rounds > 1 || !is_new_crash(entry, &known) ||
	    !keep_crash(table, entry, &known))
		return false;
	note_domain_end(table, backends, &known);
	suspect_review(table, entry, backends);
	suspect_judge_around(table, entry);
	return true;
}
