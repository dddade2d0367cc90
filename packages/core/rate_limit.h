/*
 * rate_limit - the rate that a backend server in need takes from all nodes
 *
 * The server names it in its answers, for as long as it holds. Pure; not
 * thread-safe. Times are those of the clock port.
 */
#ifndef CORE_RATE_LIMIT_H
#define CORE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Rates that are believed, in requests a second; others are an error. */
#define RATE_LIMIT_LEAST_PER_S 0.001
#define RATE_LIMIT_MOST_PER_S 1000000.0

struct rate_limit {
	double per_s; /* of all nodes together; 0: none is named */
	uint32_t refused; /* words that can't be read */
};

/*
 * Read a rate as servers write it, digits with at most one point; false where
 * it is anything else or out of bounds.
 */
bool rate_limit_parse(const char *text, double *per_s);

#ifdef __cplusplus
}
#endif

#endif
