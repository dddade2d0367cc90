/*
 * hash - hashes that are equal on all nodes, by xxHash
 */
#ifndef CORE_HASH_H
#define CORE_HASH_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Hash of a NUL-terminated string. */
uint32_t hash_text(const char *text);

/* Hash of two hashes, for rendezvous orders. */
uint64_t hash_pair(uint32_t a, uint32_t b);

#ifdef __cplusplus
}
#endif

#endif
