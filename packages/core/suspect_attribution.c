#include "core/suspect_internal.h"

uint64_t suspect_quarantine_us(uint32_t rounds)
{
	return SUSPECT_QUARANTINE_US << (rounds - 1);
}

void suspect_begin_quarantine(struct suspect *entry, uint64_t now_us)
{
	entry->rounds = MIN(entry->rounds + 1, SUSPECT_MAX_ROUNDS);
	entry->until_us = now_us + suspect_quarantine_us(entry->rounds);
}

static bool has_quarantine_crashes(const struct suspect *entry)
{
	return entry->evidence_crashes >= SUSPECT_QUARANTINE_CRASHES;
}

static bool has_counted_crash_of(const struct suspect *entry,
				 uint32_t incarnation)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (entry->crashes[i].incarnation == incarnation)
			return true;
	return false;
}

bool suspect_has_crash_of(const struct suspect_table *table,
			  const struct suspect *entry, uint32_t incarnation)
{
	uint32_t i;

	if (has_counted_crash_of(entry, incarnation))
		return true;
	for (i = 0; i < suspect_uncounted_crashes(table); i++) {
		const struct suspect_uncounted_crash *uncounted =
			&table->uncounted_crashes[i];

		if (uncounted->crash.incarnation == incarnation &&
		    uncounted->fingerprint == entry->fingerprint)
			return true;
	}
	return false;
}

/* Whether other was running at a server whose crash counts against entry. */
static bool shares_crash(const struct suspect_table *table,
			 const struct suspect *entry,
			 const struct suspect *other)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		if (suspect_has_crash_of(table, other,
					 entry->crashes[i].incarnation))
			return true;
	return false;
}

/* Another request that may have caused some of its crashes. */
static bool may_explain_crashes(const struct suspect_table *table,
				const struct suspect *entry,
				const struct suspect *other)
{
	return other != entry && has_quarantine_crashes(other) &&
	       shares_crash(table, entry, other);
}

static void mark_shared(const struct suspect_table *table,
			const struct suspect *entry,
			const struct suspect *other, bool *is_shared)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		is_shared[i] |= suspect_has_crash_of(
			table, other, entry->crashes[i].incarnation);
}

/* Crashes that no other request can have caused. */
static uint32_t count_exclusive(const struct suspect_table *table,
				const struct suspect *entry)
{
	bool is_shared[SUSPECT_MAX_CRASHES] = { false };
	uint32_t exclusive = 0;
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++)
		if (may_explain_crashes(table, entry, &table->entries[i]))
			mark_shared(table, entry, &table->entries[i],
				    is_shared);
	for (i = 0; i < entry->crash_count; i++)
		exclusive += !is_shared[i];
	return MIN(exclusive, entry->evidence_crashes);
}

/* Largest number of exclusive crashes of a request that may explain these. */
static uint32_t max_others_exclusive(const struct suspect_table *table,
				     const struct suspect *entry)
{
	uint32_t max = 0;
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++)
		if (may_explain_crashes(table, entry, &table->entries[i]))
			max = MAX(max,
				  count_exclusive(table, &table->entries[i]));
	return max;
}

uint64_t suspect_latest_crash_us(const struct suspect *entry)
{
	uint64_t latest_us = 0;
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++)
		latest_us = MAX(latest_us, entry->crashes[i].at_us);
	return latest_us;
}

/* Servers crash by themselves, so some of its crashes may be by chance. */
static bool is_amid_unrelated_crashes(const struct suspect_table *table,
				      const struct suspect *entry)
{
	uint64_t latest_us = suspect_latest_crash_us(entry);

	return table->unrelated_crash_us &&
	       MAX(table->unrelated_crash_us, latest_us) -
			       MIN(table->unrelated_crash_us, latest_us) <
		       SUSPECT_UNRELATED_CRASH_US;
}

/* Whether one other request ran at all servers that others explain. */
static bool has_single_explanation(const struct suspect_table *table,
				   const struct suspect *entry,
				   uint32_t exclusive)
{
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++) {
		const struct suspect *other = &table->entries[i];
		bool is_shared[SUSPECT_MAX_CRASHES] = { false };
		uint32_t shared = 0;
		uint32_t j;

		if (!may_explain_crashes(table, entry, other))
			continue;
		mark_shared(table, entry, other, is_shared);
		for (j = 0; j < entry->crash_count; j++)
			shared += is_shared[j];
		if (shared + exclusive >= entry->crash_count)
			return true;
	}
	return false;
}

enum attribution {
	ATTRIBUTION_OTHER, /* too few crashes, or explained by others */
	ATTRIBUTION_UNDECIDED, /* another request has as much evidence */
	ATTRIBUTION_CAUSE,
};

/*
 * A request may have run beside one that crashes servers each time. The
 * exclusive crashes of either then decide, and if neither has any, the next
 * run, as suspects run one at a time.
 */
static enum attribution attribute_crashes(const struct suspect_table *table,
					  const struct suspect *entry)
{
	uint32_t others_exclusive;
	uint32_t exclusive;

	if (!has_quarantine_crashes(entry))
		return ATTRIBUTION_OTHER;
	exclusive = count_exclusive(table, entry);
	if (!exclusive)
		return ATTRIBUTION_OTHER;
	if (exclusive > 1 ||
	    entry->evidence_crashes > SUSPECT_QUARANTINE_CRASHES)
		return ATTRIBUTION_CAUSE;
	others_exclusive = max_others_exclusive(table, entry);
	if (!others_exclusive)
		return ATTRIBUTION_CAUSE;
	if (others_exclusive == 1)
		return ATTRIBUTION_UNDECIDED;
	return is_amid_unrelated_crashes(table, entry) ||
			       has_single_explanation(table, entry, exclusive) ?
		       ATTRIBUTION_OTHER :
		       ATTRIBUTION_UNDECIDED;
}

static bool has_enough_crashes(const struct suspect_table *table,
			       const struct suspect *entry)
{
	uint32_t needed = SUSPECT_QUARANTINE_CRASHES +
			  is_amid_unrelated_crashes(table, entry);

	return entry->evidence_crashes >= needed;
}

/* Re-evaluates the first quarantine; later ones rest on a failed retry. */
void suspect_reevaluate(const struct suspect_table *table,
			struct suspect *entry)
{
	enum attribution attribution;

	if (entry->by_hand || entry->rounds > 1 ||
	    (!entry->rounds && !has_quarantine_crashes(entry)))
		return;
	attribution = attribute_crashes(table, entry);
	if (attribution == ATTRIBUTION_OTHER)
		entry->rounds = 0;
	else if (attribution == ATTRIBUTION_CAUSE && !entry->rounds &&
		 has_enough_crashes(table, entry))
		suspect_begin_quarantine(entry, suspect_latest_crash_us(entry));
}

void suspect_confirm_quarantine(struct suspect_table *table,
				struct suspect *entry)
{
	if (has_quarantine_crashes(entry) &&
	    is_amid_unrelated_crashes(table, entry) &&
	    attribute_crashes(table, entry) == ATTRIBUTION_CAUSE)
		suspect_begin_quarantine(entry, suspect_latest_crash_us(entry));
}

void suspect_reevaluate_related(struct suspect_table *table,
				const struct suspect *related)
{
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++) {
		struct suspect *entry = &table->entries[i];

		if ((entry->rounds || has_quarantine_crashes(entry)) &&
		    (entry->fingerprint == related->fingerprint ||
		     shares_crash(table, related, entry) ||
		     shares_crash(table, entry, related)))
			suspect_reevaluate(table, entry);
	}
}

/* What others only explain together may be by chance from now on. */
void suspect_note_unrelated_crash(struct suspect_table *table, uint64_t at_us)
{
	bool is_first =
		!table->unrelated_crash_us ||
		table->unrelated_crash_us + SUSPECT_UNRELATED_CRASH_US <= at_us;
	uint32_t i;

	table->unrelated_crash_us = MAX(table->unrelated_crash_us, at_us);
	for (i = 0; is_first && i < SUSPECT_MAX_ENTRIES; i++)
		if (table->entries[i].rounds)
			suspect_reevaluate(table, &table->entries[i]);
}

static bool has_crashed_under_others(const struct suspect_table *table,
				     const struct suspect *entry,
				     uint32_t incarnation)
{
	uint32_t i;

	for (i = 0; i < SUSPECT_MAX_ENTRIES; i++)
		if (&table->entries[i] != entry &&
		    has_counted_crash_of(&table->entries[i], incarnation))
			return true;
	for (i = 0; i < suspect_uncounted_crashes(table); i++)
		if (table->uncounted_crashes[i].crash.incarnation ==
			    incarnation &&
		    table->uncounted_crashes[i].fingerprint !=
			    entry->fingerprint)
			return true;
	return false;
}

void suspect_note_unrelated_crashes(struct suspect_table *table,
				    const struct suspect *entry,
				    uint64_t answered_us)
{
	uint32_t i;

	for (i = 0; i < entry->crash_count; i++) {
		const struct suspect_crash *crash = &entry->crashes[i];

		if (crash->at_us <= answered_us &&
		    !has_crashed_under_others(table, entry, crash->incarnation))
			suspect_note_unrelated_crash(table, answered_us);
	}
}
