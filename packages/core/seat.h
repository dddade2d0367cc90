/*
 * seat - lease on a quota of a shift's cap
 *
 * A shift's cap, in requests a second, is split into seats with a quota each:
 * one seat for each node of the receiving place that wasn't drained when the
 * shift was made, at least 1 and at most SHIFT_MAX_SEATS. A seat is a row in a
 * table of the platform. The node that holds the lease on it may admit its
 * quota at the receiving place; no period of one second has more admissions
 * than that. Does no I/O: the owner reads and writes the row and passes in the
 * results. Not thread-safe.
 *
 * Clocks of different machines are never compared. A holder's lease runs from
 * just before it sent its write. Another node acquires the seat only after it
 * has seen the row unchanged for SEAT_LEASE_US + SEAT_CLOCK_DRIFT_US on its own
 * clock, and admits nothing for SEAT_WINDOW_US after that, so that no second
 * has admissions of both.
 *
 * The row's value is "HOLDER NONCE", or "free" after its holder released it.
 * Each write has a new nonce. If the answer to a write is lost, the row is
 * read; if it has the write's nonce, the lease runs from when that write was
 * sent.
 *
 * Each seat has one preferred node. Another node that holds it releases it
 * after SEAT_BORROW_MAX_US, so that the preferred node gets it back.
 *
 * now_us must come from a clock that runs on while the machine is suspended,
 * read under the owner's lock right before the call.
 */
#ifndef CORE_SEAT_H
#define CORE_SEAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A lease lasts this long unless renewed, each SEAT_RENEW_US. */
#define SEAT_LEASE_US (6 * 1000 * 1000ull)
#define SEAT_RENEW_US (2 * 1000 * 1000ull)
/* Allowance for clocks that run at different rates during a lease. */
#define SEAT_CLOCK_DRIFT_US (1 * 1000 * 1000ull)
/* Period over which admissions are counted. */
#define SEAT_WINDOW_US (1 * 1000 * 1000ull)
#define SEAT_BORROW_MAX_US (60 * 1000 * 1000ull)

/* Size of a holder's name with the NUL; leaves room for blank and nonce. */
#define SEAT_HOLDER_SIZE (ID_SIZE - 21)

struct seat;

/* What the owner must do with the seat's row now. */
enum seat_action {
	SEAT_IDLE,
	SEAT_READ, /* read the row, then call seat_row_read() */
	SEAT_WRITE, /* write value if the row has expected_version, then call
		     * seat_row_written() */
};

struct seat_step {
	enum seat_action action;
	uint64_t expected_version; /* for SEAT_WRITE */
	char value[ID_SIZE]; /* for SEAT_WRITE */
};

/*
 * holder identifies this node and its incarnation and must never be reused.
 * Returns NULL if it contains a blank or doesn't fit in SEAT_HOLDER_SIZE.
 */
struct seat *seat_new(const char *holder, uint32_t quota_per_s);
void seat_free(struct seat *seat);

/* Quota of the seat of this rank among count; the quotas add up to the cap. */
uint32_t seat_quota(uint32_t cap_per_s, uint32_t rank, uint32_t count);

/* Change the quota; past admissions still count against it. */
void seat_set_quota(struct seat *seat, uint32_t quota_per_s);

/* Stop admitting now and free the row in later steps, when the node stops. */
void seat_release(struct seat *seat);

/*
 * Determine what to do next. The owner calls it a few times a second and does
 * one read or write of the row at a time. While another node holds the row, it
 * is read about each SEAT_RENEW_US, so a node should watch few seats besides
 * its own. preferred: whether this node is the preferred one for the seat; any
 * other acquires it only once its lease has expired or it has stayed free.
 */
void seat_next_step(struct seat *seat, bool preferred, uint64_t now_us,
		    struct seat_step *step);

/* Process the row as read; value is NULL if the row doesn't exist. */
void seat_row_read(struct seat *seat, uint64_t version, const char *value,
		   uint64_t now_us);

/*
 * Process the result of a write. sent_us is the time just before it was sent.
 * version is the row's new version, or 0 if the write failed or its outcome is
 * unknown; the row is read again then.
 */
void seat_row_written(struct seat *seat, uint64_t version, uint64_t sent_us,
		      uint64_t now_us);

/* Whether this node has the lease now. */
bool seat_is_held(const struct seat *seat, uint64_t now_us);

/* Admit one shifted request; false without the lease or quota. */
bool seat_admit(struct seat *seat, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
