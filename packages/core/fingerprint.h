/*
 * fingerprint - what makes two requests the same when one comes again
 *
 * Method, host, path with query, caller and body; not the id and the deadline,
 * which each try has anew. By XXH3 of xxHash: equal requests have equal
 * fingerprints on all nodes, and others don't by chance. It is no
 * cryptographic hash.
 */
#ifndef CORE_FINGERPRINT_H
#define CORE_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fingerprint_input {
	const char *method;
	const char *host;
	const char *target; /* path and query, as the caller wrote them */
	const char *caller; /* who asks, as the request says; NULL: it doesn't
			     */
	const void *body;
	size_t body_bytes;
};

/* Never 0, so that 0 may stand for none. */
uint64_t fingerprint_of(const struct fingerprint_input *parts);

#ifdef __cplusplus
}
#endif

#endif
