#include "core/suspect_internal.h"

#include <stdlib.h>
#include <string.h>

#include "core/hash.h"

/*
 * Crashes this close to each other may have one cause, such as a power failure
 * of a failure domain. An update from another region takes about as long.
 */
#define SIMULTANEOUS_US (60 * US_PER_MS)

/* --- crashes ------------------------------------------------------------ */

static uint64_t difference(uint64_t a, uint64_t b)
{
	return MAX(a, b) - MIN(a, b);
}

static bool survived(const struct backend_table *backends,
		     const struct suspect_crash *crash)
{
	const struct backend *backend =
		backend_table_find_incarnation(backends, crash->incarnation);

	return backend && backend->alive_us > crash->at_us &&
	       backend->unreachable_us <= crash->at_us;
}

/*
 * Kept in the crash: the platform's list drops a server soon after its crash.
 */
static void set_domain(const struct backend_table *backends,
		       struct suspect_crash *crash)
{
	const struct backend *backend =
		backend_table_find_incarnation(backends, crash->incarnation);

	if (backend)
		crash->domain = hash_text(backend->domain);
}

/* Returns the recorded outage that the crash belongs to, or NULL. */
static struct suspect_domain_outage *
find_domain_outage(struct suspect_table *table,
		   const struct suspect_crash *crash)
{
	uint32_t i;

	for (i = 0; crash->domain && i < SUSPECT_MAX_DOMAIN_OUTAGES; i++) {
		struct suspect_domain_outage *outage =
			&table->domain_outages[i];

		if (outage->domain == crash->domain &&
		    difference(outage->at_us, crash->at_us) < SIMULTANEOUS_US)
			return outage;
	}
	return NULL;
}

uint32_t suspect_uncounted_crashes(const struct suspect_table *table)
{
	return MIN(table->uncounted_crash_next, SUSPECT_MAX_UNCOUNTED_CRASHES);
}

/* Index of the request's oldest one if it has its share, else of the next. */
static uint32_t uncounted_slot(const struct suspect_table *table,
			       uint64_t fingerprint)
{
	uint32_t oldest = SUSPECT_MAX_UNCOUNTED_CRASHES;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < suspect_uncounted_crashes(table); i++) {
		const struct suspect_uncounted_crash *uncounted =
			&table->uncounted_crashes[i];

		if (uncounted->fingerprint != fingerprint)
			continue;
		count++;
		if (oldest == SUSPECT_MAX_UNCOUNTED_CRASHES ||
		    uncounted->crash.at_us <
			    table->uncounted_crashes[oldest].crash.at_us)
			oldest = i;
	}
	return count < SUSPECT_MAX_UNCOUNTED_PER_REQUEST ?
		       table->uncounted_crash_next %
			       SUSPECT_MAX_UNCOUNTED_CRASHES :
		       oldest;
}

static void add_uncounted_crash(struct suspect_table *table,
				const struct suspect *entry,
				const struct suspect_crash *crash, bool is_told)
{
	uint32_t slot = uncounted_slot(table, entry->fingerprint);
	struct suspect_uncounted_crash *uncounted =
		&table->uncounted_crashes[slot];

	if (slot == table->uncounted_crash_next % SUSPECT_MAX_UNCOUNTED_CRASHES)
		table->uncounted_crash_next++;
	uncounted->fingerprint = entry->fingerprint;
	uncounted->crash = *crash;
	uncounted->is_told = is_told;
}

void suspect_drop_uncounted_crashes(struct suspect_table *table,
				    uint64_t fingerprint, uint64_t before_us)
{
	uint32_t i;

	for (i = 0; i < suspect_uncounted_crashes(table); i++) {
		struct suspect_uncounted_crash *uncounted =
			&table->uncounted_crashes[i];

		if ((!fingerprint || uncounted->fingerprint == fingerprint) &&
		    uncounted->crash.at_us <= before_us)
			memset(uncounted, 0, sizeof(*uncounted));
	}
}

static int compare_latest_first(const void *a, const void *b)
{
	uint64_t a_us = ((const struct suspect_crash *)a)->at_us;
	uint64_t b_us = ((const struct suspect_crash *)b)->at_us;

	return (a_us < b_us) - (a_us > b_us);
}

uint32_t suspect_list_crashes(const struct suspect_table *table,
			      const struct suspect *entry,
			      struct suspect_crash *crashes)
{
	uint32_t count = entry->crash_count;
	uint32_t i;

	memcpy(crashes, entry->crashes, count * sizeof(*crashes));
	for (i = 0; i < suspect_uncounted_crashes(table); i++)
		if (table->uncounted_crashes[i].fingerprint ==
			    entry->fingerprint &&
		    table->uncounted_crashes[i].is_told)
			crashes[count++] = table->uncounted_crashes[i].crash;
	qsort(crashes, count, sizeof(*crashes), compare_latest_first);
	return count;
}

void suspect_add_retry_crash(struct suspect_table *table,
			     const struct suspect *entry,
			     const struct suspect_crash *crash)
{
	add_uncounted_crash(table, entry, crash, false);
}

void suspect_drop_crashes_before(struct suspect *entry, uint64_t before_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (entry->crashes[i].at_us > before_us)
			entry->crashes[kept++] = entry->crashes[i];
	entry->crash_count = kept;
	entry->evidence_crashes = MIN(entry->evidence_crashes, kept);
}

static void drop_crashes_of_live_servers(struct suspect *entry,
					 const struct backend_table *backends)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (!survived(backends, &entry->crashes[i]))
			entry->crashes[kept++] = entry->crashes[i];
	entry->crash_count = kept;
}

/* Either crash may come from an update, delayed by up to SIMULTANEOUS_US. */
bool suspect_has_simultaneous_crash(const struct suspect *entry,
				    const struct suspect_crash *crash)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (entry->crashes[i].incarnation != crash->incarnation &&
		    entry->crashes[i].domain == crash->domain &&
		    difference(entry->crashes[i].at_us, crash->at_us) <
			    2 * SIMULTANEOUS_US)
			return true;
	return false;
}

/*
 * Crashes in a domain outage don't count, unless the request ran at several of
 * the domain's servers and may have caused it.
 */
static bool is_evidence(struct suspect_table *table,
			const struct suspect *entry,
			const struct suspect_crash *crash)
{
	return !find_domain_outage(table, crash) ||
	       suspect_has_simultaneous_crash(entry, crash);
}

bool suspect_recount_crashes(struct suspect_table *table, struct suspect *entry,
			     const struct backend_table *backends)
{
	uint32_t before = entry->evidence_crashes;
	uint32_t i;

	drop_crashes_of_live_servers(entry, backends);
	entry->evidence_crashes = 0;
	for (i = 0; i < entry->crash_count; i++) {
		set_domain(backends, &entry->crashes[i]);
		entry->evidence_crashes +=
			is_evidence(table, entry, &entry->crashes[i]);
	}
	return entry->evidence_crashes != before;
}

/* --- domain outages ------------------------------------------------------ */

static void recount_all(struct suspect_table *table,
			const struct backend_table *backends)
{
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++)
		if (table->keys[i] &&
		    suspect_recount_crashes(table, &table->entries[i],
					    backends))
			suspect_reevaluate(table, &table->entries[i]);
}

/* Servers that crashed at one moment are few, so an array serves as a set. */
static bool has_incarnation(const GArray *incarnations, uint32_t incarnation)
{
	guint i;

	for (i = 0; i < incarnations->len; i++)
		if (g_array_index(incarnations, uint32_t, i) == incarnation)
			return true;
	return false;
}

static void add_incarnation(GArray *incarnations, uint32_t incarnation)
{
	if (!has_incarnation(incarnations, incarnation))
		g_array_append_val(incarnations, incarnation);
}

/*
 * Collects the servers of the crash's domain that crashed with it: all in
 * incarnations, and in shared those with a request that ran at several of them.
 */
static void collect_incarnations(const struct suspect_table *table,
				 const struct suspect_crash *crash,
				 GArray *incarnations, GArray *shared)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++) {
		const struct suspect *entry = &table->entries[i];

		for (j = 0; j < entry->crash_count; j++) {
			const struct suspect_crash *other = &entry->crashes[j];

			if (difference(other->at_us, crash->at_us) >=
				    SIMULTANEOUS_US ||
			    other->domain != crash->domain)
				continue;
			add_incarnation(incarnations, other->incarnation);
			if (suspect_has_simultaneous_crash(entry, other))
				add_incarnation(shared, other->incarnation);
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

bool suspect_is_domain_outage(const struct backend_table *backends,
			      uint32_t domain, uint32_t crashed)
{
	return crashed >= SUSPECT_DOMAIN_OUTAGE_SERVERS &&
	       2 * crashed >= count_servers(backends, domain);
}

/*
 * Records a domain outage once enough servers crashed at one moment, or removes
 * it. Servers that shared a request don't count for it: the request may have
 * crashed them, and is often reported last.
 */
static void update_domain_outage(struct suspect_table *table,
				 const struct backend_table *backends,
				 const struct suspect_crash *crash)
{
	struct suspect_domain_outage *outage = find_domain_outage(table, crash);
	GArray *incarnations = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GArray *shared = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t ended;

	if (crash->domain)
		collect_incarnations(table, crash, incarnations, shared);
	ended = incarnations->len - shared->len;
	if (!outage &&
	    suspect_is_domain_outage(backends, crash->domain, ended)) {
		outage = &table->domain_outages[table->domain_outage_next++ %
						SUSPECT_MAX_DOMAIN_OUTAGES];
		outage->domain = crash->domain;
		outage->at_us = crash->at_us;
		suspect_note_unrelated_crash(table, crash->at_us);
		recount_all(table, backends);
	} else if (outage && shared->len &&
		   ended < SUSPECT_DOMAIN_OUTAGE_SERVERS) {
		memset(outage, 0, sizeof(*outage));
		recount_all(table, backends);
	}
	g_array_unref(incarnations);
	g_array_unref(shared);
}

/* --- new crashes --------------------------------------------------------- */

/*
 * Whether both may have one cause other than the request, such as a power
 * failure: they are simultaneous and in one failure domain, and the run at the
 * later one had begun before the earlier crash.
 */
static bool may_share_cause(const struct suspect_crash *a,
			    const struct suspect_crash *b)
{
	const struct suspect_crash *first = a->at_us < b->at_us ? a : b;
	const struct suspect_crash *last = first == a ? b : a;

	if (a->domain && b->domain && a->domain != b->domain)
		return false;
	return last->at_us - first->at_us < SIMULTANEOUS_US &&
	       last->at_us < first->at_us + last->ran_us;
}

static bool is_new_crash(const struct suspect_table *table,
			 const struct suspect *entry,
			 const struct suspect_crash *crash)
{
	return crash->at_us > entry->cleared_us &&
	       !suspect_has_crash_of(table, entry, crash->incarnation);
}

/*
 * At most two crashes that may share a cause count: a third would quarantine
 * the request for what may be a single failure.
 */
static bool may_be_single_failure(const struct suspect *entry,
				  const struct suspect_crash *crash)
{
	uint32_t together = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		together += may_share_cause(&entry->crashes[i], crash);
	return together >= SUSPECT_QUARANTINE_CRASHES - 1;
}

/*
 * Index of the crash to replace: one that doesn't count, else the oldest.
 * Without the latest crashes, a request whose first ones were shared with
 * others would never get an exclusive one.
 */
static uint32_t find_evictable_crash(struct suspect_table *table,
				     const struct suspect *entry)
{
	uint32_t evictable = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++) {
		if (!is_evidence(table, entry, &entry->crashes[i]))
			return i;
		if (entry->crashes[i].at_us < entry->crashes[evictable].at_us)
			evictable = i;
	}
	return evictable;
}

/* Returns whether peers are told of it. */
static bool store_crash(struct suspect_table *table, struct suspect *entry,
			const struct suspect_crash *crash)
{
	uint32_t at;

	if (may_be_single_failure(entry, crash)) {
		add_uncounted_crash(table, entry, crash, false);
		return false;
	}
	if (entry->crash_count < SUSPECT_MAX_CRASHES) {
		entry->crashes[entry->crash_count++] = *crash;
		return true;
	}
	at = find_evictable_crash(table, entry);
	if (entry->crashes[at].at_us >= crash->at_us) {
		add_uncounted_crash(table, entry, crash, true);
		return true;
	}
	add_uncounted_crash(table, entry, &entry->crashes[at], true);
	entry->crashes[at] = *crash;
	return true;
}

bool suspect_add_crash(struct suspect_table *table, struct suspect *entry,
		       const struct backend_table *backends,
		       const struct suspect_crash *crash)
{
	struct suspect_crash known = *crash;
	bool is_told;

	if (entry->rounds > 1 || !is_new_crash(table, entry, crash))
		return false;
	set_domain(backends, &known);
	is_told = store_crash(table, entry, &known);
	update_domain_outage(table, backends, &known);
	suspect_recount_crashes(table, entry, backends);
	suspect_reevaluate_related(table, entry);
	return is_told;
}
