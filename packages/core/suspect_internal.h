/*
 * suspect_parts - what the files of suspect_table share; not for other modules
 */
#ifndef CORE_SUSPECT_INTERNAL_H
#define CORE_SUSPECT_INTERNAL_H

#include "core/suspect_table.h"

/*
 * suspect_evidence.c: which crashes count, and against whom. A crash is added
 * to those of the request; whether it is one that wasn't known.
 */
bool suspect_add_crash(struct suspect_table *table, struct suspect *entry,
		       const struct backend_table *backends,
		       const struct suspect_crash *crash);
void suspect_drop_crashes_before(struct suspect *entry, uint64_t before_us);

/* Count anew those of the request that speak against it; whether it changed. */
bool suspect_recount_crashes(struct suspect_table *table, struct suspect *entry,
			     const struct backend_table *backends);

/*
 * Begin and lift first quarantines of the request, and of those that were at a
 * server with it; later ones stand on a try that failed.
 */
void suspect_reevaluate_related(struct suspect_table *table,
				const struct suspect *related);

void suspect_begin_quarantine(struct suspect *entry, uint64_t now_us);
uint64_t suspect_quarantine_us(uint32_t rounds);

#endif
