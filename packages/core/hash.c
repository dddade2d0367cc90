#include "core/hash.h"

#include <string.h>

#include <xxhash.h>

uint32_t hash_text(const char *text)
{
	return XXH32(text, strlen(text), 0);
}

uint64_t hash_pair(uint32_t a, uint32_t b)
{
	uint32_t pair[2] = { a, b };

	return XXH64(pair, sizeof(pair), 0);
}
