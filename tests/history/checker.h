/*
 * checker - decide from the history of a run whether the promises were kept
 *
 * Every promise is judged after the run, on what callers were told, backend
 * servers did and nodes decided; nothing is taken from the run's driver but
 * what it did itself. A promise whose events didn't occur is "not exercised",
 * which is no proof of it.
 */
#ifndef HISTORY_CHECKER_H
#define HISTORY_CHECKER_H

#include "history/events.h"

#ifdef __cplusplus
extern "C" {
#endif

enum promise {
	PROMISE_SHIFT_CAP, /* admissions in any second are within the cap */
	PROMISE_OVERLOAD, /* no backend server gets more than its slots */
	PROMISE_OWN_ANSWER, /* one end a request, with its own answer */
	PROMISE_NOT_RUN, /* what was refused as not run has no run */
	PROMISE_ONCE, /* a request with a ticket runs at most once */
	PROMISE_LEAVING, /* no new work at a leaving server past the bound */
	PROMISE_STOP, /* a planned stop cuts no request */
	PROMISE_CONFIG, /* accepted versions get everywhere, none goes back */
	PROMISE_COUNT,
};

struct bounds {
	uint64_t leaving_us;
	uint64_t config_us;
};

struct verdict {
	uint64_t checked[PROMISE_COUNT]; /* 0: not exercised */
	uint64_t broken[PROMISE_COUNT];
	GPtrArray *findings; /* text for each breach, the first few of each */
};

const char *promise_name(enum promise promise);

/* The promise of this name, or -1. */
int promise_from_name(const char *name);

/* Judge all; events are sorted. The verdict is for verdict_release(). */
void checker_judge(struct events *events, const struct bounds *bounds,
		   struct verdict *verdict);
void verdict_release(struct verdict *verdict);

#ifdef __cplusplus
}
#endif

#endif
