/*
 * lane - HTTP calls to one server, one after another on a kept connection
 *
 * Not thread-safe. Each call ends with exactly one call of its done function:
 * with an answer, or with NULL where there was none in time. A connection whose
 * answer is outstanding at that time is closed, never used again.
 *
 * The timeout is for the answer's first byte. An answer that is arriving is
 * aborted when no byte comes for a while, and at max_transfer_us. A retry would
 * begin at the first byte again: with a short limit on the whole call, an
 * answer that takes longer would never arrive while its bytes fill the link.
 */
#ifndef EDGE_LANE_H
#define EDGE_LANE_H

#include <uv.h>

#include "edge/link.h"
#include "edge/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct lane;
struct lane_conn;

/* answer is valid during the call only; cause says why there is none. */
typedef void (*lane_done)(void *context, const struct message *answer,
			  const char *cause);

struct lane {
	uv_loop_t *loop;
	struct endpoint to;
	struct lane_conn *conn; /* NULL: none yet */
	uv_timer_t timer;
	GString *request; /* until the connection is open */
	lane_done done; /* of the current call; NULL: none */
	void *context;
	uint64_t got_bytes; /* received of the latest answer, complete or not */
	uint64_t max_transfer_us; /* maximum time from an answer's first byte to
				     its last */
	uint64_t max_body_bytes; /* limit of an answer's body */
	/*
	 * The timeout expired; the socket is read once more before the abort,
	 * since the answer may already be there.
	 */
	bool reading_once_more;
	uint64_t first_byte_ms; /* uv_now() at the first byte of the latest
				   answer */
	uint64_t transfer_deadline_ms; /* uv_now() by which the answer must be
					  complete; 0: it hasn't begun */
};

/* max_transfer_us bounds an answer that arrives a few bytes at a time. */
void lane_init(struct lane *lane, uv_loop_t *loop, const struct endpoint *to,
	       uint64_t max_transfer_us);
void lane_close(struct lane *lane);

/* Sets the address for the next calls; aborts the current one. */
void lane_set_address(struct lane *lane, const struct endpoint *to);

bool lane_is_busy(const struct lane *lane);

/* In the done function: time since the answer's first byte. */
uint64_t lane_transfer_us(const struct lane *lane);

/* Whether the answer to the current call is arriving. */
bool lane_is_receiving(const struct lane *lane);

/*
 * Limits the body of the next answers; 0: the maximum for any answer. A longer
 * one ends the call with LINK_TOO_LARGE, as soon as its head says so.
 */
void lane_limit_body(struct lane *lane, uint64_t bytes);

/*
 * Starts a call; there must be no current one. body is a string or NULL,
 * timeout_us the time until the answer's first byte.
 */
void lane_call(struct lane *lane, const char *method, const char *target,
	       const char *body, uint64_t timeout_us, lane_done done,
	       void *context);

/* Ends the current call, if any, without an answer. */
void lane_abort(struct lane *lane, const char *cause);

#ifdef __cplusplus
}
#endif

#endif
