/*
 * dialect - the names that callers and backend servers use on the wire
 *
 * A translator fills one in. Names of headers are compared without regard to
 * case. All texts live as long as the program.
 */
#ifndef PORTS_DIALECT_H
#define PORTS_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct endpoint;

struct dialect {
	/* Headers of requests */
	const char *attempt_id; /* one try of a caller; answers echo it */
	const char *object_key; /* requests for one object share its value */
	const char *deadline_ms; /* how long the sender goes on waiting */
	const char *expect_instance; /* only this start may run the request */
	const char *caller; /* who sends it, as a backend server can tell */

	/* Headers of answers */
	const char *not_executed; /* present: the request did not run */
	const char *seal; /* each success of a backend server bears one */
	const char *load; /* "running,waiting,slots" */
	/* Requests a second that it takes from all nodes together. */
	const char *rate_limit;

	/* What a node answers itself */
	const char *ready_path;
	const char *lookup_path;
	const char *lookup_region; /* names in the look-up's query */
	const char *lookup_domain;

	/* The body of a look-up's answer, for g_free(). */
	char *(*format_lookup)(const struct endpoint *entries, uint32_t count,
			       uint64_t ttl_us);
};

#ifdef __cplusplus
}
#endif

#endif
