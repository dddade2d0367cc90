/*
 * fingerprint - identifies a request that is sent again
 *
 * Covers method, host, path with query, caller and body, but not the request id
 * and the deadline, which are new with each attempt. It is XXH3 of xxHash:
 * equal requests have equal fingerprints on all nodes, and different ones
 * collide only by chance. It is no cryptographic hash.
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
	const char *caller; /* named by the request; NULL: not named */
	const void *body;
	size_t body_bytes;
};

/* Never 0, which stands for no fingerprint. */
uint64_t fingerprint_of(const struct fingerprint_input *parts);

#ifdef __cplusplus
}
#endif

#endif
