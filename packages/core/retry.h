/*
 * retry - whether a request is sent again when an attempt has failed
 *
 * Pure. A non-idempotent request goes to another backend server only if the
 * previous one certainly didn't run it.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum send_outcome {
	SEND_UNREACHABLE, /* never left this node */
	SEND_NOT_EXECUTED, /* the backend server reports: not run */
	SEND_FAILED, /* the backend server ran it and it failed (5xx) */
	SEND_BROKEN, /* no complete answer: it may have run */
};

enum retry_decision {
	RETRY_FREE, /* retry; no server got the request */
	RETRY_BUDGETED, /* retry if the retry budget (extra_budget) allows */
	RETRY_NONE, /* don't retry: answer the caller */
};

struct retry_state {
	bool idempotent;
	uint32_t sends; /* requests that left this node */
	uint32_t max_attempts; /* limit of sends */
	uint32_t unreachable; /* attempts that failed to connect */
	uint64_t left_us; /* until the answer is due */
	uint64_t usual_us; /* average time to an answer */
};

/* Attempts that may fail to connect before the request is refused. */
#define RETRY_MAX_UNREACHABLE 3

/* Decides what to do after an attempt of this outcome. */
enum retry_decision retry_decide(const struct retry_state *state,
				 enum send_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
