/*
 * caller - one caller's requests, as docs/API.md asks callers to behave
 *
 * An idempotent request goes to the next node on a connection that fails or an
 * answer of "not run", after the time that the answer names. A non-idempotent
 * one is only ever sent again to the same node with the same ticket, to learn
 * what became of it; it gets a new ticket where no byte of it went out or,
 * with reissue, where the answer proved "not run". One a thread.
 */
#ifndef TOOLS_CALLER_H
#define TOOLS_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "standins/event_log.h"
#include "tools/lookup_cache.h"

struct caller_options {
	const char *service;
	const char *place; /* of the callers; may be empty */
	uint64_t timeout_us;
	uint64_t settle_us; /* beyond it, to learn what became of it */
	bool reissue;
};

enum call_end {
	CALL_ANSWERED,
	CALL_REFUSED, /* not run */
	CALL_UNKNOWN,
	CALL_WRONG, /* not the whole answer to this request */
	CALL_END_COUNT,
};

struct call {
	enum call_end end;
	int result; /* last result code, or EXCHANGE_NO_RESULT */
	char node[NAME_SIZE]; /* that answered last */
	char place[NAME_SIZE];
	char ticket[ID_SIZE];
	uint32_t sends;
	uint32_t cuts; /* connections that ended after a byte went out */
	uint64_t first_cut_us; /* when; 0: never */
	uint32_t runs; /* as the answer says; 0: no answer */
};

struct caller;

/* What is pointed to outlives the caller. */
struct caller *caller_new(const struct caller_options *options,
			  struct lookup_cache *lookups, struct event_log *log,
			  uint32_t seed);
void caller_free(struct caller *caller);

/* Make the request with this id; it started at start_us by its schedule. */
void caller_call(struct caller *caller, const char *id, uint64_t start_us,
		 struct call *call);

const char *call_end_name(enum call_end end);

#endif
