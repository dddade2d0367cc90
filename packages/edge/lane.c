#include "edge/lane.h"

#include <string.h>

#include "core/duration.h"

#define MAX_HEAD_BYTES (64 * 1024)

/* Largest body: a page of 500 rows, or the row of all routes in base64. */
#define MAX_BODY_BYTES (16 * 1024 * 1024)

/*
 * An answer that is arriving counts as lost after so long without a byte: on a
 * path across a continent the retransmission of a packet takes a third of it.
 */
#define RECEIVE_TIMEOUT_US (1000 * US_PER_MS)

/*
 * Delay of a call's abort after its time-out, in which the loop reads the
 * sockets once more.
 */
#define LAST_READ_MS 1

struct lane_conn {
	struct link link; /* must be the first member */
	struct lane *lane; /* NULL after detach_connection() */
};

static void detach_connection(struct lane *lane)
{
	struct lane_conn *conn = lane->conn;

	if (!conn)
		return;
	lane->conn = NULL;
	lane->got_bytes = conn->link.got_bytes;
	conn->lane = NULL;
	link_close(&conn->link);
}

static void finish(struct lane *lane, const struct message *answer,
		   const char *cause)
{
	lane_done done = lane->done;

	uv_timer_stop(&lane->timer);
	if (lane->request)
		g_string_free(lane->request, TRUE);
	lane->request = NULL;
	lane->done = NULL;
	if (done)
		done(lane->context, answer, cause);
}

static void on_opened(struct link *link)
{
	struct lane *lane = ((struct lane_conn *)link)->lane;
	GString *request = lane ? lane->request : NULL;

	if (!request)
		return;
	lane->request = NULL;
	link_send(link, request, false);
}

/*
 * The loop runs timers before it reads. After a stall (it decoded a large
 * document, or the process didn't get the CPU) the timeout has expired while
 * the answer's bytes lie in the socket; aborted, all of them would have to be
 * sent again. So it reads once more before it aborts.
 */
static void on_timeout(uv_timer_t *timer)
{
	struct lane *lane = timer->data;

	if (lane->reading_once_more) {
		lane_abort(lane, "timeout");
		return;
	}
	lane->reading_once_more = true;
	uv_timer_start(timer, on_timeout, LAST_READ_MS, 0);
}

static void on_progressed(struct link *link)
{
	struct lane *lane = ((struct lane_conn *)link)->lane;
	uint64_t now_ms;

	if (!lane)
		return;
	now_ms = uv_now(lane->loop);
	if (!lane->transfer_deadline_ms) {
		lane->first_byte_ms = now_ms;
		lane->transfer_deadline_ms =
			now_ms + lane->max_transfer_us / US_PER_MS;
	}
	if (now_ms >= lane->transfer_deadline_ms)
		return;
	lane->reading_once_more = false;
	uv_timer_start(&lane->timer, on_timeout,
		       MIN(RECEIVE_TIMEOUT_US / US_PER_MS,
			   lane->transfer_deadline_ms - now_ms),
		       0);
}

static void on_answered(struct link *link, struct message *answer)
{
	struct lane *lane = ((struct lane_conn *)link)->lane;

	if (lane)
		lane->got_bytes = link->got_bytes;
	if (lane && (!answer->keep_alive || link->extra_bytes))
		detach_connection(lane);
	if (lane)
		finish(lane, answer, NULL);
	message_free(answer);
}

static void on_ended(struct link *link, const char *cause)
{
	struct lane *lane = ((struct lane_conn *)link)->lane;

	if (!lane) {
		link_close(link);
		return;
	}
	detach_connection(lane);
	finish(lane, NULL, cause);
}

static void on_released(struct link *link)
{
	g_free(link);
}

static const struct link_vtable link_events = {
	.opened = on_opened,
	.progressed = on_progressed,
	.answered = on_answered,
	.ended = on_ended,
	.released = on_released,
};

void lane_init(struct lane *lane, uv_loop_t *loop, const struct endpoint *to,
	       uint64_t max_transfer_us)
{
	memset(lane, 0, sizeof(*lane));
	lane->loop = loop;
	lane->to = *to;
	lane->max_transfer_us = max_transfer_us;
	lane->max_body_bytes = MAX_BODY_BYTES;
	uv_timer_init(loop, &lane->timer);
	lane->timer.data = lane;
}

void lane_close(struct lane *lane)
{
	lane->done = NULL;
	lane_abort(lane, "closed");
	uv_close((uv_handle_t *)&lane->timer, NULL);
}

void lane_set_address(struct lane *lane, const struct endpoint *to)
{
	lane->to = *to;
	lane_abort(lane, "another address");
}

bool lane_is_busy(const struct lane *lane)
{
	return lane->done != NULL;
}

uint64_t lane_transfer_us(const struct lane *lane)
{
	return (uv_now(lane->loop) - lane->first_byte_ms) * US_PER_MS;
}

bool lane_is_receiving(const struct lane *lane)
{
	return lane_is_busy(lane) && lane->conn && lane->conn->link.awaiting &&
	       lane->conn->link.got_bytes > 0;
}

void lane_abort(struct lane *lane, const char *cause)
{
	detach_connection(lane);
	finish(lane, NULL, cause);
}

void lane_limit_body(struct lane *lane, uint64_t bytes)
{
	lane->max_body_bytes = bytes && bytes < MAX_BODY_BYTES ? bytes :
								 MAX_BODY_BYTES;
}

static GString *compose(const struct lane *lane, const char *method,
			const char *target, const char *body)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n",
			       method, target, lane->to.address, lane->to.port);
	if (body)
		g_string_append_printf(text,
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n\r\n%s",
				       strlen(body), body);
	else
		g_string_append(text, "\r\n");
	return text;
}

void lane_call(struct lane *lane, const char *method, const char *target,
	       const char *body, uint64_t timeout_us, lane_done done,
	       void *context)
{
	const struct message_limits limits = { MAX_HEAD_BYTES,
					       lane->max_body_bytes };
	GString *request = compose(lane, method, target, body);

	lane->done = done;
	lane->context = context;
	lane->got_bytes = 0;
	lane->transfer_deadline_ms = 0;
	lane->reading_once_more = false;
	/* The callback that makes the call may have decoded for long. */
	uv_update_time(lane->loop);
	uv_timer_start(&lane->timer, on_timeout, timeout_us / US_PER_MS, 0);
	if (lane->conn) {
		lane->conn->link.reader.limits = limits;
		link_send(&lane->conn->link, request, false);
		return;
	}
	lane->request = request;
	lane->conn = g_new0(struct lane_conn, 1);
	lane->conn->lane = lane;
	if (link_open(&lane->conn->link, &link_events, lane->loop, &lane->to,
		      &limits))
		lane_abort(lane, "connect");
}
