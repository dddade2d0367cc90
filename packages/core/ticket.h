/*
 * ticket - idempotency key of a non-idempotent request, valid at one node
 *
 * A ticket lets a request run at most once. It names a node, the node's
 * incarnation and the epoch in which it was issued. Only that incarnation runs
 * it, and the ledger there keeps an entry for it until the epoch is too old to
 * be accepted. A restarted node has lost its ledger, but has another
 * incarnation, so the tickets of the lost ledger can't run again.
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

/* Length of an epoch; tickets of this many most recent epochs are accepted. */
#define TICKET_EPOCH_US (20 * 1000 * 1000ull)
#define TICKET_EPOCHS_ACCEPTED 10

struct ticket {
	char node[NAME_SIZE]; /* that runs it */
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t issuer; /* incarnation of the node that issued it */
	uint64_t sequence; /* number given by the issuer */
};

/*
 * Write the ticket as text, as sent in the HTTP header; text must have room for
 * ID_SIZE bytes. The format is the node's name and four numbers in base 32 (0-9
 * a-v), in the order of the members, separated by colons:
 *
 *     entry-1:5g3k:2a:9v0c:1
 *
 * A ticket has exactly one text form, so the text can be used as a key.
 */
void ticket_format(const struct ticket *ticket, char *text);

/* RESULT_OK, or RESULT_TICKET_MALFORMED with *ticket unchanged. */
enum result ticket_parse(const char *text, struct ticket *ticket);

/* Epoch at this time since the incarnation began. */
uint64_t ticket_epoch(uint64_t since_start_us);

/* Oldest epoch whose tickets are accepted in current_epoch. */
uint64_t ticket_oldest_epoch(uint64_t current_epoch);

/*
 * Whether a ticket's epoch is accepted now. A ticket that is too old may have
 * run and its entry expired (answered by RESULT_OUTCOME_UNKNOWN); one from a
 * future epoch was never issued (RESULT_TICKET_MALFORMED).
 */
bool ticket_epoch_accepted(uint64_t epoch, uint64_t current_epoch);

/*
 * ledger - states and answers of tickets and attempts at this incarnation
 *
 * A deduplication table keyed by any id: the entry role uses tickets, the gate
 * role ticket and attempt. Not thread-safe: the owner's lock guards it.
 *
 * It has two limits. Number of entries: a full ledger starts nothing more; it
 * never evicts an entry whose epoch is still accepted, since the ticket could
 * run twice then. Bytes of kept answers: above the limit the oldest answers are
 * dropped and their entries stay as LEDGER_DROPPED, so that a resend gets
 * RESULT_ANSWER_DROPPED (it ran) and never "not run".
 */
struct ledger;

enum ledger_state {
	LEDGER_ABSENT,
	LEDGER_RUNNING,
	LEDGER_DONE, /* the answer is kept */
	LEDGER_UNKNOWN, /* ended without an answer; it may have run */
	LEDGER_FENCED, /* tombstone: it never runs */
	LEDGER_DROPPED, /* it ran; the answer was dropped to save memory */
};

struct ledger_answer {
	int http_status;
	char *content_type; /* owned, from GLib; may be NULL */
	char *body; /* owned, from GLib; may be NULL */
	uint64_t body_bytes;
};

struct ledger *ledger_new(uint32_t max_entries);

/* Set the limit on the kept answers' bytes; default LEDGER_MAX_ANSWER_BYTES. */
void ledger_limit_bytes(struct ledger *ledger, uint64_t max_bytes);

void ledger_free(struct ledger *ledger);

/*
 * Start an id. Returns RESULT_OK and sets *answer to NULL if the id was absent
 * and is running now. If it is done, returns RESULT_OK and sets *answer to the
 * kept answer, valid while the lock is held. In other states returns
 * RESULT_IN_PROGRESS, RESULT_OUTCOME_UNKNOWN, RESULT_ANSWER_DROPPED or
 * RESULT_FENCED. Returns RESULT_OVERLOAD if the ledger is full and
 * RESULT_OUTCOME_UNKNOWN if the epoch has expired; nothing is started then.
 */
enum result ledger_start(struct ledger *ledger, const char *id, uint64_t epoch,
			 const struct ledger_answer **answer);

/*
 * Set the final state of a started id: LEDGER_DONE with its answer,
 * LEDGER_UNKNOWN, or LEDGER_ABSENT if it is certain that it didn't run; it may
 * start again then. The ledger takes ownership of the answer's strings and
 * clears *answer, which may be NULL except for LEDGER_DONE. LEDGER_UNKNOWN may
 * change to done or absent later; the other states stay.
 */
void ledger_finish(struct ledger *ledger, const char *id,
		   enum ledger_state state, struct ledger_answer *answer);

/*
 * Put a tombstone if the id is absent. Returns the state found, with *answer
 * set if it is LEDGER_DONE. After LEDGER_ABSENT or LEDGER_FENCED the id never
 * runs. LEDGER_UNKNOWN also means that no tombstone could be put because the
 * epoch has expired or the ledger is full (an eighth of the entries is reserved
 * for tombstones).
 */
enum ledger_state ledger_fence(struct ledger *ledger, const char *id,
			       uint64_t epoch,
			       const struct ledger_answer **answer);

/*
 * Remove the entries of epochs before oldest_epoch and refuse to start ids of
 * them from now on. Entries that are running are removed when they end. Takes
 * O(entries) if oldest_epoch has grown, else does nothing.
 */
void ledger_expire(struct ledger *ledger, uint64_t oldest_epoch);

uint32_t ledger_count(const struct ledger *ledger);

/* Bytes of the kept answers. */
uint64_t ledger_bytes(const struct ledger *ledger);

#ifdef __cplusplus
}
#endif

#endif
