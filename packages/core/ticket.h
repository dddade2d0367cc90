/*
 * ticket - the right of a non-idempotent request to run once, at one node
 *
 * A ticket names the node, its incarnation and its epoch when it was issued.
 * Only that incarnation runs it, and the ledger there remembers it until the
 * epoch is too old to be accepted. A restarted node has another incarnation,
 * so that what its forgotten ledger held can't run again.
 */
#ifndef CORE_TICKET_H
#define CORE_TICKET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An epoch lasts this long; tickets of the last EPOCHS_KEPT are accepted. */
#define TICKET_EPOCH_US (60 * 1000 * 1000ull)
#define TICKET_EPOCHS_KEPT 10

struct ticket {
	char node[NAME_SIZE]; /* where it runs */
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t issuer; /* incarnation of the node that gave it out */
	uint64_t sequence; /* of the issuer */
};

/* Text form, as the header carries it; text holds ID_SIZE bytes. */
void ticket_format(const struct ticket *ticket, char *text);

/* RESULT_OK or RESULT_TICKET_MALFORMED. */
enum result ticket_parse(const char *text, struct ticket *ticket);

/*
 * ledger - what became of tickets and attempts at this incarnation
 *
 * Keyed by any id (an entry keeps tickets, a gate keeps ticket and attempt).
 * Not thread-safe: the owner's lock guards it.
 */
struct ledger;

enum ledger_state {
	LEDGER_ABSENT,
	LEDGER_RUNNING,
	LEDGER_DONE, /* the answer is kept */
	LEDGER_UNKNOWN, /* ended without an answer; it may have run */
	LEDGER_FENCED, /* a tombstone: it never runs */
};

struct ledger_answer {
	int http_status;
	char *content_type; /* for g_free() */
	char *body; /* for g_free() */
	uint64_t body_bytes;
};

struct ledger *ledger_new(uint32_t most_entries);
void ledger_free(struct ledger *ledger);

/*
 * Start an id. RESULT_OK where it was absent; RESULT_IN_PROGRESS,
 * RESULT_OUTCOME_UNKNOWN or RESULT_FENCED by its state otherwise. Where it is
 * done, RESULT_OK with *answer set to the kept one, valid while the lock is
 * held. RESULT_OVERLOAD where the ledger is full: nothing was started.
 */
enum result ledger_start(struct ledger *ledger, const char *id, uint64_t epoch,
			 const struct ledger_answer **answer);

/* The started id ended. LEDGER_ABSENT: proved not run, and may start again. */
void ledger_finish(struct ledger *ledger, const char *id,
		   enum ledger_state state, struct ledger_answer *answer);

/* Put a tombstone where the id is absent; the state that was found. */
enum ledger_state ledger_fence(struct ledger *ledger, const char *id,
			       uint64_t epoch,
			       const struct ledger_answer **answer);

/* Forget what was started in epochs before this one. */
void ledger_forget(struct ledger *ledger, uint64_t oldest_epoch);

uint32_t ledger_count(const struct ledger *ledger);

#ifdef __cplusplus
}
#endif

#endif
