/*
 * store_stand - the platform's metadata store, as its protocol is published
 *
 * Rows in tables with one version counter, atomic transactions, a feed of each
 * change with a bounded history, held calls, answers of 500 rows at most.
 * Faults are set from outside: silent, refusing, slow, behind a narrow link,
 * losing answers, forgetting its history, coming back from a copy. Writes of
 * operator and backend servers go in by store_stand_put().
 */
#ifndef STANDINS_STORE_STAND_H
#define STANDINS_STORE_STAND_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "core/endpoint.h"

#ifdef __cplusplus
extern "C" {
#endif

struct store_stand;

struct store_faults {
	bool silent; /* takes connections, answers nothing */
	unsigned refuse_status; /* 0, or the status of every answer */
	uint64_t slow_us; /* each answer is late by this */
	bool lose_answers; /* does the write, then resets the connection */
	uint64_t bytes_per_s; /* 0, or the rate of each answer's body */
	const char *silent_table; /* NULL, or one whose followers hear nothing
				   */
};

struct store_stand *store_stand_open(uv_loop_t *loop,
				     const struct endpoint *at);
void store_stand_close(struct store_stand *store);
const struct endpoint *store_stand_at(const struct store_stand *store);

/* Put a row's value (not base64); NULL deletes it. */
void store_stand_put(struct store_stand *store, const char *table,
		     const char *key, const char *value);

/* The row's value, or NULL. */
const char *store_stand_get(const struct store_stand *store, const char *table,
			    const char *key);

void store_stand_set_faults(struct store_stand *store,
			    const struct store_faults *faults);

/* Forget what changed so far: who follows from before gets 410. */
void store_stand_forget(struct store_stand *store);

/* Keep a copy of the rows and their version, in place of an earlier one. */
void store_stand_copy(struct store_stand *store);

/*
 * Come back from the copy, as the next era: what was written since is gone, its
 * versions are given out again, and connections are reset.
 */
void store_stand_restore(struct store_stand *store);

/* Era in all answers from now on, as text; NULL: none. The first is 1. */
void store_stand_set_era(struct store_stand *store, const char *era);

/* Version of the newest change. */
uint64_t store_stand_version(const struct store_stand *store);

/* Calls taken, also refused ones. */
uint64_t store_stand_calls(const struct store_stand *store);

#ifdef __cplusplus
}
#endif

#endif
