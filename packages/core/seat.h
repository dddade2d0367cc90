/*
 * seat - the right to admit a part of a shift's cap, held under a lease
 *
 * Each shift has as many seats as its receiving place has configured nodes. A
 * seat is a row in the platform's table; who holds it may admit the seat's part
 * of the cap at the receiving place, counted exactly over any one second. Pure:
 * the owner reads and writes the row and passes results in. Not thread-safe.
 *
 * No clocks of two machines are compared: the holder counts its lease from
 * before it sent the write; another node takes a seat only after it has seen
 * the row unchanged for lease and drift on its own clock, and admits nothing
 * for one window after that, so that no second holds admissions of both.
 *
 * The row's value is "HOLDER NONCE", or "free" after a holder gave it up; the
 * nonce is new with each write. A write whose answer was lost is settled by
 * reading: where the row has the write's nonce, the lease counts from when
 * that write was sent.
 *
 * A node that holds another's seat gives it up after SEAT_BORROW_MAX_US, so
 * that the node whose own it is gets it back.
 *
 * now_us comes from a clock that counts suspension, read under the owner's lock
 * right before the call.
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

#define SEAT_LEASE_US (6 * 1000 * 1000ull)
#define SEAT_RENEW_US (2 * 1000 * 1000ull)
#define SEAT_CLOCK_DRIFT_US (1 * 1000 * 1000ull)
#define SEAT_WINDOW_US (1 * 1000 * 1000ull)
#define SEAT_BORROW_MAX_US (60 * 1000 * 1000ull)

/* Longest holder's name, with the NUL, that leaves room for the nonce. */
#define SEAT_HOLDER_SIZE (ID_SIZE - 21)

struct seat;

/* What the owner should do with the seat's row now. */
enum seat_action {
	SEAT_IDLE,
	SEAT_READ, /* read the row, then seat_row_read() */
	SEAT_WRITE, /* write value at version, then seat_row_written() */
};

struct seat_step {
	enum seat_action action;
	uint64_t expected_version; /* for SEAT_WRITE */
	char value[ID_SIZE]; /* for SEAT_WRITE */
};

/* holder names this node and its incarnation, without blanks; unique for ever;
 * shorter than SEAT_HOLDER_SIZE, else NULL is returned. */
struct seat *seat_new(const char *holder, uint32_t quota_per_s);
void seat_free(struct seat *seat);

/* Part of a cap for the seat of this rank among count; the parts add to cap. */
uint32_t seat_quota(uint32_t cap_per_s, uint32_t rank, uint32_t count);

/* A cap was replaced: the part changes, what was admitted still counts. */
void seat_set_quota(struct seat *seat, uint32_t quota_per_s);

/* Stop admitting now and, in later steps, hand the row back; for a stop. */
void seat_release(struct seat *seat);

/*
 * What to do now; the owner calls it a few times a second and has one read or
 * write of the row under way at a time. While the row is another's it is read
 * about each SEAT_RENEW_US, so a node should watch few seats besides its own.
 * preferred: this node's own seat; others' are taken only when they lapse.
 */
void seat_next_step(struct seat *seat, bool preferred, uint64_t now_us,
		    struct seat_step *step);

/* The row as read; value is NULL where the row doesn't exist. */
void seat_row_read(struct seat *seat, uint64_t version, const char *value,
		   uint64_t now_us);

/*
 * The write that was sent at sent_us (read before sending) succeeded (version)
 * or did not, or may have (0); the row is read again then.
 */
void seat_row_written(struct seat *seat, uint64_t version, uint64_t sent_us,
		      uint64_t now_us);

/* Whether the lease holds at this moment. */
bool seat_is_held(const struct seat *seat, uint64_t now_us);

/* Admit one shifted request: the lease holds and the part isn't used up. */
bool seat_admit(struct seat *seat, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
