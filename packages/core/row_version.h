/*
 * row_version - version of a row at the platform, comparable across restores
 *
 * The platform's versions rise with each change. When it restores its tables
 * from a copy, they go back and are given out again, for other changes. Of two
 * versions the later one is that of the later era, then the higher number.
 */
#ifndef CORE_ROW_VERSION_H
#define CORE_ROW_VERSION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct row_version {
	uint64_t number; /* 0: unknown */
	uint32_t era; /* number of restores; 0: none, or not told */
};

/* Whether a is older than b. */
static inline bool row_version_is_older(struct row_version a,
					struct row_version b)
{
	return a.era != b.era ? a.era < b.era : a.number < b.number;
}

static inline struct row_version row_version_max(struct row_version a,
						 struct row_version b)
{
	return row_version_is_older(a, b) ? b : a;
}

#ifdef __cplusplus
}
#endif

#endif
