/*
 * request - a caller's request on its way through a node, and its answer
 */
#ifndef NODE_REQUEST_H
#define NODE_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "adapters/http_client.h"
#include "adapters/trace.h"
#include "core/build_options.h"
#include "core/result.h"
#include "core/ticket.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Strings belong to whoever made the request, for as long as it is served. */
struct request {
	const char *method;
	const char *service;
	const char *path; /* below the service, with the query */
	const char *body; /* NULL: none */
	const char *content_type; /* NULL: none */
	size_t body_bytes;
	uint64_t deadline_us; /* on the clock */
	uint32_t attempt; /* of the hop, from 1 */
	char id[ID_SIZE];
	char ticket[ID_SIZE]; /* empty: none */
	char origin[NAME_SIZE]; /* the caller's place; empty: unknown */
	char shift[ID_SIZE]; /* that brought it here; empty: none */
	struct trace_span span; /* of this hop */
};

struct answer {
	enum result result;
	int http_status; /* where the result is RESULT_OK */
	char *body; /* for g_free() */
	size_t body_bytes;
	char *content_type; /* for g_free(); NULL: none */
	uint64_t retry_after_us; /* 0: not said */
	char node[NAME_SIZE]; /* to ask instead, or that served */
	char place[NAME_SIZE];
	char backend[NAME_SIZE];
};

void answer_init(struct answer *answer);
void answer_release(struct answer *answer);

/* Drop what the answer holds and refuse or give up with the code. */
void answer_set(struct answer *answer, enum result result,
		uint64_t retry_after_us);

/* Take the status and the body over from a whole HTTP answer. */
void answer_take(struct answer *answer, struct http_answer *http);

/*
 * Say what the ledger knows of an id that a fence found without an answer: the
 * refusal where it never runs, else what became of it.
 */
void answer_from_state(struct answer *answer, enum ledger_state state,
		       enum result refusal, uint64_t retry_after_us);

/* A copy of a ledger's kept answer, and the copy for a ledger to keep. */
void answer_from_kept(struct answer *answer, const struct ledger_answer *kept);
void answer_to_kept(const struct answer *answer, struct ledger_answer *kept);

#ifdef __cplusplus
}
#endif

#endif
