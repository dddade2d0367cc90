/*
 * suspect_internal - shared by the files of suspect_table; not for other
 * modules
 */
#ifndef CORE_SUSPECT_INTERNAL_H
#define CORE_SUSPECT_INTERNAL_H

#include "core/suspect_table.h"

/* Crashes of one request that peers are told of. */
#define SUSPECT_MAX_LISTED_CRASHES \
	(SUSPECT_MAX_CRASHES + SUSPECT_MAX_UNCOUNTED_PER_REQUEST)

/*
 * suspect_evidence.c keeps the crashes and decides which count. Adds a crash to
 * a request; returns whether it is a new one that peers are told of.
 */
bool suspect_add_crash(struct suspect_table *table, struct suspect *entry,
		       const struct backend_table *backends,
		       const struct suspect_crash *crash);

/* Keeps the crash of a retry after a quarantine, which explains others. */
void suspect_add_retry_crash(struct suspect_table *table,
			     const struct suspect *entry,
			     const struct suspect_crash *crash);

/*
 * Lists the crashes of a request that peers are told of, the latest first;
 * returns their number, at most SUSPECT_MAX_LISTED_CRASHES.
 */
uint32_t suspect_list_crashes(const struct suspect_table *table,
			      const struct suspect *entry,
			      struct suspect_crash *crashes);
uint64_t suspect_latest_crash_us(const struct suspect *entry);

/* Uncounted crashes in use, those of removed requests included. */
uint32_t suspect_uncounted_crashes(const struct suspect_table *table);

/* Drop crashes up to before_us. fingerprint: 0 for all requests. */
void suspect_drop_crashes_before(struct suspect *entry, uint64_t before_us);
void suspect_drop_uncounted_crashes(struct suspect_table *table,
				    uint64_t fingerprint, uint64_t before_us);

/*
 * Recounts the crashes that are evidence against a request; returns whether the
 * number changed.
 */
bool suspect_recount_crashes(struct suspect_table *table, struct suspect *entry,
			     const struct backend_table *backends);

/*
 * suspect_attribution.c decides which request the crashes count against. Begins
 * or lifts the first quarantine of one request, or of it and of those that
 * shared a server with it. Later quarantines rest on a failed retry and stay.
 */
void suspect_reevaluate(const struct suspect_table *table,
			struct suspect *entry);
void suspect_reevaluate_related(struct suspect_table *table,
				const struct suspect *related);

/*
 * A peer has quarantined the request: that no server crashed by itself as far
 * as the peer knows is enough.
 */
void suspect_confirm_quarantine(struct suspect_table *table,
				struct suspect *entry);

/*
 * Notes that a server crashed without a request as cause, or those servers at
 * which entry and all others that were running there were answered since.
 */
void suspect_note_unrelated_crash(struct suspect_table *table, uint64_t at_us);
void suspect_note_unrelated_crashes(struct suspect_table *table,
				    const struct suspect *entry,
				    uint64_t answered_us);

void suspect_begin_quarantine(struct suspect *entry, uint64_t now_us);
uint64_t suspect_quarantine_us(uint32_t rounds);

#endif
