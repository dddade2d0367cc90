/*
 * duration - time spans as people write them: "250ms", "2.5s"
 */
#ifndef CORE_DURATION_H
#define CORE_DURATION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)

/* Parses a number with the unit "ms" or "s"; false unless from 0 s to 1 day. */
bool duration_parse(const char *text, uint64_t *span_us);

/* The same, but more than 1 day counts as 1 day. */
bool duration_parse_capped(const char *text, uint64_t *span_us);

/*
 * Parses seconds without a unit: digits with at most one decimal point, as in
 * the header Retry-After. More than 1 day counts as 1 day.
 */
bool duration_parse_seconds(const char *text, uint64_t *span_us);

#ifdef __cplusplus
}
#endif

#endif
