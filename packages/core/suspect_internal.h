/*
 * suspect_internal - shared by the files of suspect_table; not for other
 * modules
 */
#ifndef CORE_SUSPECT_INTERNAL_H
#define CORE_SUSPECT_INTERNAL_H

#include "core/suspect_table.h"

/*
 * suspect_evidence.c decides which crashes count, and against which request.
 * Adds a crash to a request; returns whether it is a new one.
 */
bool suspect_add_crash(struct suspect_table *table, struct suspect *entry,
		       const struct backend_table *backends,
		       const struct suspect_crash *crash);

/*
 * Lists the crashes of a request that peers are told of, the latest first;
 * returns their number, at most SUSPECT_MAX_LISTED_CRASHES.
 */
#define SUSPECT_MAX_LISTED_CRASHES \
	(SUSPECT_MAX_CRASHES + SUSPECT_MAX_UNCOUNTED_PER_REQUEST)
uint32_t suspect_list_crashes(const struct suspect_table *table,
			      const struct suspect *entry,
			      struct suspect_crash *crashes);
void suspect_drop_crashes_before(struct suspect *entry, uint64_t before_us);

/* fingerprint: 0 for all requests. */
void suspect_drop_uncounted_crashes(struct suspect_table *table,
				    uint64_t fingerprint, uint64_t before_us);

/* Keeps the crash of a retry after a quarantine, which explains others. */
void suspect_add_retry_crash(struct suspect_table *table,
			     const struct suspect *entry,
			     const struct suspect_crash *crash);

/*
 * Recounts the crashes that are evidence against a request; returns whether the
 * number changed.
 */
bool suspect_recount_crashes(struct suspect_table *table, struct suspect *entry,
			     const struct backend_table *backends);

/*
 * Begins or lifts the first quarantine of the request and of those that shared
 * a server with it. Later quarantines rest on a failed retry and stay.
 */
void suspect_reevaluate_related(struct suspect_table *table,
				const struct suspect *related);

uint64_t suspect_latest_crash_us(const struct suspect *entry);

/*
 * Notes servers that crashed without a request as cause: the request was
 * answered, like all others that were running there.
 */
void suspect_note_unrelated_crashes(struct suspect_table *table,
				    const struct suspect *entry,
				    uint64_t answered_us);

/*
 * A peer has quarantined the request: that no server crashed by itself as far
 * as the peer knows is enough.
 */
void suspect_confirm_quarantine(struct suspect_table *table,
				struct suspect *entry);

void suspect_begin_quarantine(struct suspect *entry, uint64_t now_us);
uint64_t suspect_quarantine_us(uint32_t rounds);

#endif
