/*
 * retry - what follows when a request's send did not bring an answer to deliver
 *
 * Pure. A non-idempotent request goes to another backend server only where it
 * is certain that the last one did not run it.
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
	SEND_NOT_EXECUTED, /* the backend server says that it did not run */
	SEND_FAILED, /* the backend server ran it and failed it (5xx) */
	SEND_BROKEN, /* no whole answer: it may have run */
};

enum retry_decision {
	RETRY_FREE, /* try another: nothing arrived anywhere */
	RETRY_BUDGETED, /* try another if the budget of extra requests allows */
	RETRY_NONE, /* answer now */
};

struct retry_state {
	bool idempotent;
	uint32_t sends; /* requests that left this node */
	uint32_t max_attempts; /* sends at most */
	uint32_t unreachable; /* tries that never left */
	uint64_t left_us; /* until the answer is due */
	uint64_t usual_us; /* usual time of an answer */
};

/* Tries that may fail to connect before the request is refused. */
#define RETRY_MAX_UNREACHABLE 3

enum retry_decision retry_decide(const struct retry_state *state,
				 enum send_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
