/*
 * dialect - the HTTP header, path and parameter names of a platform
 *
 * Each platform provides one constant instance. Header names are compared
 * case-insensitively. All strings are static.
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
	/* Request headers */
	const char *attempt_id; /* of a caller's attempt; echoed in the answer
				 */
	const char *object_key; /* affinity key of an object */
	const char *deadline_ms; /* remaining time until the sender gives up */
	const char *expect_instance; /* the only instance that may run it */
	const char *caller; /* identifies the caller to backend servers */
	/* A caller's key to its account; never sent on. */
	const char *account_key;
	const char *account_name; /* what backend servers get instead */

	/* Response headers */
	const char *not_executed; /* if present, the request did not run */
	const char *seal; /* required in each success of a backend server */
	const char *load; /* "running,waiting,slots" */
	const char *leaving; /* "1": the server will stop soon */
	/* Max requests/s that a backend server accepts from all nodes. */
	const char *rate_limit;

	/* Requests that a node answers itself */
	const char *ready_path;
	const char *lookup_path;
	const char *lookup_region; /* query parameters of a look-up */
	const char *lookup_domain;

	/* Return the body of a look-up's answer; free with g_free(). */
	char *(*format_lookup)(const struct endpoint *entries, uint32_t count,
			       uint64_t ttl_us);
};

#ifdef __cplusplus
}
#endif

#endif
