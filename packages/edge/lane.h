/*
 * lane - calls to one server, one after another on a kept connection
 *
 * Not thread-safe. A call ends with exactly one call of its done function: with
 * an answer, or with NULL where there was none in time. A connection whose
 * answer is outstanding is closed then, never used again.
 *
 * The time-out is for the answer's first byte. One that is arriving is ended
 * only by silence: a retry would begin at the first byte again, so a limit on
 * the whole call keeps an answer that takes longer from ever arriving, while
 * its bytes fill the link.
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

/* answer is lent; cause says why there is none. */
typedef void (*lane_done)(void *context, const struct message *answer,
			  const char *cause);

struct lane {
	uv_loop_t *loop;
	struct endpoint to;
	struct lane_conn *conn; /* NULL: none yet */
	uv_timer_t timer;
	GString *request; /* waits for the connection */
	lane_done done; /* of the call that is out; NULL: none */
	void *context;
	uint64_t got_bytes; /* of the latest answer, whole or not */
	uint64_t max_transfer_us; /* longest time that an answer may arrive */
	uint64_t max_body_bytes; /* bytes of an answer's body */
	bool last_read; /* the time was over; a last read comes first */
	uint64_t first_byte_ms; /* uv_now() when the latest answer's first byte
				 * came
				 */
	uint64_t transfer_deadline_ms; /* uv_now() by which an answer has
			    arrived; 0: none has begun to */
};

/* max_transfer_us ends an answer that trickles. */
void lane_init(struct lane *lane, uv_loop_t *loop, const struct endpoint *to,
	       uint64_t max_transfer_us);
void lane_close(struct lane *lane);

/* Calls go to another address from the next one on. */
void lane_set_address(struct lane *lane, const struct endpoint *to);

bool lane_is_busy(const struct lane *lane);

/* In the done function: for how long the answer has been arriving. */
uint64_t lane_transfer_us(const struct lane *lane);

/* Whether the answer to the call that is out is arriving. */
bool lane_is_receiving(const struct lane *lane);

/*
 * The next calls end with LINK_TOO_LARGE where the answer's body has more
 * bytes, as soon as its head says so; 0: the most that any answer may have.
 */
void lane_limit_body(struct lane *lane, uint64_t bytes);

/*
 * Start a call; none may be out. The body is text or NULL, timeout_us the time
 * until the answer begins.
 */
void lane_call(struct lane *lane, const char *method, const char *target,
	       const char *body, uint64_t timeout_us, lane_done done,
	       void *context);

/* End the call that is out, if any, without an answer. */
void lane_abort(struct lane *lane, const char *cause);

#ifdef __cplusplus
}
#endif

#endif
