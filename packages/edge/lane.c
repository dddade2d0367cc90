#include "edge/lane.h"

#include <string.h>

#include "core/duration.h"

/* Largest answer: a page of 500 rows, or a row of 64 KB in base64 and JSON. */
static const struct message_limits answer_limits = { 64 * 1024,
						     16 * 1024 * 1024 };

/*
 * An answer that is arriving counts as lost after so long without a byte: a
 * path of a continent's width whose packet is sent again takes a third of it.
 */
#define SILENCE_US (1000 * US_PER_MS)

/*
 * Longest time that an answer may arrive: one of the largest size over the
 * narrowest link that nodes have, 10 Mbit/s, takes 13.4 s.
 */
#define ARRIVAL_MOST_US (20 * US_PER_S)

struct lane_conn {
	struct link link; /* first member */
	struct lane *lane; /* NULL once the lane has let go of it */
};

static void let_go(struct lane *lane)
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

static void on_timeout(uv_timer_t *timer)
{
	lane_abort(timer->data, "timeout");
}

static void on_progressed(struct link *link)
{
	struct lane *lane = ((struct lane_conn *)link)->lane;
	uint64_t now_ms;
	uint64_t end_ms;

	if (!lane)
		return;
	now_ms = uv_now(lane->loop);
	if (!lane->begun_ms)
		lane->begun_ms = now_ms;
	end_ms = lane->begun_ms + ARRIVAL_MOST_US / US_PER_MS;
	if (now_ms < end_ms)
		uv_timer_start(&lane->timer, on_timeout,
			       MIN(SILENCE_US / US_PER_MS, end_ms - now_ms), 0);
}

static void on_answered(struct link *link, struct message *answer)
{
	struct lane *lane = ((struct lane_conn *)link)->lane;

	if (lane)
		lane->got_bytes = link->got_bytes;
	if (lane && (!answer->keep_alive || link->extra))
		let_go(lane);
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
	let_go(lane);
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

void lane_init(struct lane *lane, uv_loop_t *loop, const struct endpoint *to)
{
	memset(lane, 0, sizeof(*lane));
	lane->loop = loop;
	lane->to = *to;
	uv_timer_init(loop, &lane->timer);
	lane->timer.data = lane;
}

void lane_close(struct lane *lane)
{
	lane->done = NULL;
	lane_abort(lane, "closed");
	uv_close((uv_handle_t *)&lane->timer, NULL);
}

void lane_redirect(struct lane *lane, const struct endpoint *to)
{
	lane->to = *to;
	lane_abort(lane, "another address");
}

bool lane_is_busy(const struct lane *lane)
{
	return lane->done != NULL;
}

bool lane_is_receiving(const struct lane *lane)
{
	return lane_is_busy(lane) && lane->conn && lane->conn->link.awaiting &&
	       lane->conn->link.got_bytes > 0;
}

uint64_t lane_arriving_us(const struct lane *lane)
{
	if (!lane->begun_ms)
		return 0;
	return (uv_now(lane->loop) - lane->begun_ms) * US_PER_MS;
}

void lane_abort(struct lane *lane, const char *cause)
{
	let_go(lane);
	finish(lane, NULL, cause);
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
	GString *request = compose(lane, method, target, body);

	lane->done = done;
	lane->context = context;
	lane->got_bytes = 0;
	lane->begun_ms = 0;
	uv_timer_start(&lane->timer, on_timeout, timeout_us / US_PER_MS, 0);
	if (lane->conn) {
		link_send(&lane->conn->link, request, false);
		return;
	}
	lane->request = request;
	lane->conn = g_new0(struct lane_conn, 1);
	lane->conn->lane = lane;
	if (link_open(&lane->conn->link, &link_events, lane->loop, &lane->to,
		      &answer_limits))
		lane_abort(lane, "connect");
}
