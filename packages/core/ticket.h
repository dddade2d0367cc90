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
#define TICKET_EPOCH_US (20 * 1000 * 1000ull)
#define TICKET_EPOCHS_ACCEPTED 10

struct ticket {
	char node[NAME_SIZE]; /* where it runs */
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t issuer; /* incarnation of the node that gave it out */
	uint64_t sequence; /* of the issuer */
};

/*
 * Text form, as the header carries it; text holds ID_SIZE bytes. The node's
 * name and four numbers in base 32 (0-9 a-v), split by colons:
 *
 *     entry-1:5g3k:2a:9v0c:1
 *
 * A ticket has one text form only, so that the text may serve as a key.
 */
void ticket_format(const struct ticket *ticket, char *text);

/* RESULT_OK or RESULT_TICKET_MALFORMED; then *ticket is left alone. */
enum result ticket_parse(const char *text, struct ticket *ticket);

/* Epoch at this many microseconds since the incarnation began. */
uint64_t ticket_epoch(uint64_t since_start_us);

/* The oldest epoch whose tickets are accepted in this one. */
uint64_t ticket_oldest_epoch(uint64_t current_epoch);

/*
 * Whether a ticket's epoch is accepted now. One that is too old may have run
 * and been forgotten (RESULT_OUTCOME_UNKNOWN); one from the future was never
 * issued (RESULT_TICKET_MALFORMED).
 */
bool ticket_epoch_accepted(uint64_t epoch, uint64_t current_epoch);

/*
 * ledger - what became of tickets and attempts at this incarnation
 *
 * Keyed by any id (an entry keeps tickets, a gate keeps ticket and attempt).
 * Not thread-safe: the owner's lock guards it.
 *
 * Bounded twice. Entries: a full ledger starts nothing more, and never drops an
 * entry whose epoch is still accepted, since a forgotten ticket could run
 * twice. Kept answers: past their bound in bytes the oldest answers are let go
 * and their entries stay as LEDGER_DROPPED; a resend is told that the request
 * ran and that its answer isn't kept, never "not run".
 */
struct ledger;

enum ledger_state {
	LEDGER_ABSENT,
	LEDGER_RUNNING,
	LEDGER_DONE, /* the answer is kept */
	LEDGER_UNKNOWN, /* ended without an answer; it may have run */
	LEDGER_FENCED, /* a tombstone: it never runs */
	LEDGER_DROPPED, /* it ran; the answer was let go for want of memory */
};

struct ledger_answer {
	int http_status;
	char *content_type; /* for g_free() */
	char *body; /* for g_free() */
	uint64_t body_bytes;
};

struct ledger *ledger_new(uint32_t max_entries);

/* Bound on the kept answers' bytes, LEDGER_MAX_ANSWER_BYTES at first. */
void ledger_limit_bytes(struct ledger *ledger, uint64_t max_bytes);

void ledger_free(struct ledger *ledger);

/*
 * Start an id. RESULT_OK where it was absent; RESULT_IN_PROGRESS,
 * RESULT_OUTCOME_UNKNOWN, RESULT_ANSWER_DROPPED or RESULT_FENCED by its state
 * otherwise. Where it is done, RESULT_OK with *answer set to the kept one,
 * valid while the lock is held. RESULT_OVERLOAD where the ledger is full:
 * nothing was started. RESULT_OUTCOME_UNKNOWN for an epoch already forgotten.
 */
enum result ledger_start(struct ledger *ledger, const char *id, uint64_t epoch,
			 const struct ledger_answer **answer);

/*
 * The started id ended: LEDGER_DONE with its answer, LEDGER_UNKNOWN, or
 * LEDGER_ABSENT: proved not run, and may start again. The answer's strings are
 * taken over and the answer is cleared; it may be NULL but for LEDGER_DONE. An
 * unknown id may still become done or absent later; other ends stand.
 */
void ledger_finish(struct ledger *ledger, const char *id,
		   enum ledger_state state, struct ledger_answer *answer);

/*
 * Put a tombstone where the id is absent; the state that was found. Both
 * LEDGER_ABSENT and LEDGER_FENCED prove that it never runs. LEDGER_UNKNOWN also
 * where no tombstone could be put: the epoch is forgotten or no room is left
 * (an eighth of the entries is held back for tombstones).
 */
enum ledger_state ledger_fence(struct ledger *ledger, const char *id,
			       uint64_t epoch,
			       const struct ledger_answer **answer);

/*
 * Forget what was started in epochs before this one, and start nothing of them
 * any more. What still runs is forgotten when it ends. O(entries) when the
 * epoch has grown, nothing otherwise.
 */
void ledger_expire(struct ledger *ledger, uint64_t oldest_epoch);

uint32_t ledger_count(const struct ledger *ledger);

/* Bytes of the answers that are kept. */
uint64_t ledger_bytes(const struct ledger *ledger);

#ifdef __cplusplus
}
#endif

#endif
