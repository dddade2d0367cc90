#include "core/fingerprint.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/*
 * Includes the NUL, so that text moved from one field to the next changes the
 * hash.
 */
static void hash_text_field(XXH3_state_t *state, const char *text)
{
	XXH3_64bits_update(state, text ? text : "",
			   text ? strlen(text) + 1 : 1);
}

uint64_t fingerprint_of(const struct fingerprint_input *parts)
{
	XXH3_state_t state;
	uint64_t hash;

	XXH3_INITSTATE(&state);
	XXH3_64bits_reset(&state);
	hash_text_field(&state, parts->method);
	hash_text_field(&state, parts->host);
	hash_text_field(&state, parts->target);
	hash_text_field(&state, parts->caller);
	XXH3_64bits_update(&state, parts->body, parts->body_bytes);
	hash = XXH3_64bits_digest(&state);
	return hash ? hash : 1;
}
