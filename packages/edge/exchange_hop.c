#include "edge/exchange_internal.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/reach_watch.h"
#include "edge/server_notices.h"

/*
 * A connection to a peer that acknowledges nothing for so long is given up,
 * also while its answer is awaited: keep-alive probes are sent meanwhile.
 */
#define SILENCE_MS 1500
#define KEEP_ALIVE_S 1

bool exchange_must_hop(const struct exchange *exchange)
{
	return !exchange->is_hop && reach_watch_is_partitioned(exchange->edge);
}

/* --- the end of a hop --------------------------------------------------- */

static void log_failed(const struct exchange *exchange, const char *cause,
		       bool again)
{
	log_event(LOG_INFO, "hop-failed",
		  "request=%s peer=%s cause=%s sent=%s sends=%u "
		  "left_us=%" PRIu64 " again=%s",
		  exchange->request_id, exchange->peer->address->id, cause,
		  exchange->sent_us ? "yes" : "no", exchange->retry.sends,
		  exchange_left_us(exchange), again ? "yes" : "no");
}

/* Whether another peer may be asked after one that didn't run the request. */
static bool may_ask_another(const struct exchange *exchange)
{
	return exchange->hops.tried_count < HOPS_MAX_TRIED &&
	       exchange_left_us(exchange);
}

static void forget_send(struct exchange *exchange)
{
	if (!exchange->sent_us)
		return;
	exchange->unsettled--;
	exchange->retry.sends--;
	exchange->sent_us = 0;
}

/* The peer didn't run the request, and never will. */
static void after_refusal(struct exchange *exchange, bool may_try_another,
			  uint64_t retry_after_us, const char *cause)
{
	bool again = may_try_another && may_ask_another(exchange);

	log_failed(exchange, cause, again);
	forget_send(exchange);
	exchange->peer = NULL;
	exchange->connect_deadline_us = 0;
	if (again)
		exchange_dispatch(exchange);
	else
		exchange_finish_unserved(exchange, retry_after_us, cause);
}

void exchange_hop_unreachable(struct exchange *exchange, const char *cause)
{
	struct hop_peer *peer = exchange->peer;

	hops_failed(exchange->edge->hops, peer);
	exchange_drop_conn(exchange);
	exchange->peer = peer;
	after_refusal(exchange, true, EXCHANGE_RETRY_AFTER_US, cause);
}

/*
 * The request left this node: servers may have run it, as often as it had
 * attempts left.
 */
static void after_broken(struct exchange *exchange, const char *cause)
{
	hops_failed(exchange->edge->hops, exchange->peer);
	log_failed(exchange, cause, false);
	exchange_finish_failed(exchange, 504, cause);
}

void exchange_hop_timed_out(struct exchange *exchange)
{
	if (exchange->sent_us) {
		hops_failed(exchange->edge->hops, exchange->peer);
		log_failed(exchange, "timeout", false);
		exchange_finish_failed(exchange, 504, "timeout");
	} else if (exchange->unsettled) {
		exchange_finish_failed(exchange, 504, "timeout");
	} else {
		exchange_finish_unserved(exchange, EXCHANGE_RETRY_AFTER_US,
					 "timeout");
	}
}

/* --- events of the connection ------------------------------------------- */

static GString *format_hop(const struct exchange *exchange)
{
	const struct dialect *dialect = exchange->edge->dialect;
	const struct account *account = exchange->query.account;
	const char *names[] = { dialect->deadline_ms,  dialect->account_key,
				dialect->account_name, HOP_SENDS,
				HOP_ACCOUNT,	       NULL };
	GString *text = g_string_sized_new(512);
	GString *own = g_string_new(NULL);

	g_string_append_printf(own, HOP_SENDS ": %u\r\n",
			       exchange->retry.sends);
	if (account)
		g_string_append_printf(own, HOP_ACCOUNT ": %s\r\n",
				       account->name);
	exchange_format(exchange, names, own->str, text);
	g_string_free(own, TRUE);
	return text;
}

static void send_hop(struct exchange *exchange)
{
	GString *request = format_hop(exchange);

	exchange->connect_deadline_us = 0;
	exchange->sent_us = exchange_now_us(exchange);
	exchange->retry.sends++;
	exchange->unsettled++;
	hops_sent(exchange->edge->hops, exchange->peer);
	log_event(LOG_DEBUG, "hop",
		  "request=%s peer=%s kept=%u room=%u left_us=%" PRIu64,
		  exchange->request_id, exchange->peer->address->id,
		  exchange->conn->uses, exchange->peer->room,
		  exchange_left_us(exchange));
	exchange_arm_timer(exchange);
	link_send_with_body(&exchange->conn->link, request,
			    exchange->request->body,
			    exchange->request->method == HTTP_HEAD);
}

static void detect_silence(struct conn *conn)
{
	unsigned silence_ms = SILENCE_MS;
	uv_os_fd_t fd;

	if (uv_tcp_keepalive(&conn->link.tcp, 1, KEEP_ALIVE_S) ||
	    uv_fileno((const uv_handle_t *)&conn->link.tcp, &fd) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
		       sizeof(silence_ms)))
		log_event(LOG_WARNING, "hop-unwatched", "peer=%s",
			  conn->backend->id);
}

static void on_opened(struct conn_user *user, struct conn *conn)
{
	struct exchange *exchange = (struct exchange *)user;

	if (exchange_outlasts_stop(exchange)) {
		exchange_dispatch_unsent(exchange);
		return;
	}
	detect_silence(conn);
	send_hop(exchange);
}

static uint64_t retry_after_us(const struct message *answer)
{
	uint64_t after_us;

	if (!duration_parse_seconds(message_header(answer, "Retry-After"),
				    &after_us) ||
	    !after_us)
		return EXCHANGE_RETRY_AFTER_US;
	return after_us;
}

static void give_back_conn(struct exchange *exchange,
			   const struct message *answer)
{
	struct conn *conn = exchange->conn;

	exchange_detach_conn(exchange);
	pool_give_back(conn, answer);
}

static void on_not_run(struct exchange *exchange, struct message *answer)
{
	const char *reason = message_header(answer, HOP_NOT_RUN);
	bool may_try_another = !reason || !strcmp(reason, HOP_NOT_RUN_PEER);
	uint64_t after_us = retry_after_us(answer);
	struct hop_peer *peer = exchange->peer;
	uint64_t sent_us = exchange->sent_us;

	give_back_conn(exchange, answer);
	message_free(answer);
	exchange->peer = peer;
	exchange->sent_us = sent_us;
	after_refusal(exchange, may_try_another, after_us,
		      may_try_another ? "no peer" : "refused by a peer");
}

/* Answers without the headers of a hop aren't those of a request. */
static void on_answered(struct conn_user *user, struct conn *conn,
			struct message *answer)
{
	struct exchange *exchange = (struct exchange *)user;
	const char *room = message_header(answer, HOP_ROOM);

	(void)conn;
	hops_answered(exchange->edge->hops, exchange->peer, room);
	server_notices_apply_hop(exchange->edge, answer);
	if (!room || message_header(answer, HOP_NOT_RUN)) {
		on_not_run(exchange, answer);
		return;
	}
	give_back_conn(exchange, answer);
	exchange->answered_by_peer = true;
	exchange_deliver(exchange, answer);
	message_free(answer);
}

static void on_ended(struct conn_user *user, struct conn *conn,
		     const char *cause)
{
	struct exchange *exchange = (struct exchange *)user;

	(void)conn;
	if (exchange->sent_us)
		after_broken(exchange, cause);
	else
		exchange_hop_unreachable(exchange, cause);
}

static const struct conn_user_vtable hop_events = {
	.opened = on_opened,
	.answered = on_answered,
	.ended = on_ended,
};

/* --- the start ---------------------------------------------------------- */

static void connect_to_peer(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	struct backend *address = exchange->peer->address;

	exchange->conn = pool_connect(&edge->pool, address, &exchange->user);
	if (!exchange->conn) {
		exchange_hop_unreachable(exchange, "connect");
		return;
	}
	exchange->connect_rechecked = false;
	exchange->connect_deadline_us =
		exchange_now_us(exchange) +
		exchange_connect_timeout_us(exchange, address->region);
	exchange_arm_timer(exchange);
}

void exchange_hop(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	struct hop_peer *peer = NULL;

	if (exchange->hops.tried_count < HOPS_MAX_TRIED)
		peer = hops_pick(edge->hops, &exchange->hops);
	if (!peer) {
		exchange_finish_unserved(exchange, EXCHANGE_RETRY_AFTER_US,
					 "partitioned");
		return;
	}
	exchange->hops.tried[exchange->hops.tried_count++] = peer;
	exchange->peer = peer;
	exchange->user.vtable = &hop_events;
	exchange->conn = pool_take(&edge->pool, peer->address,
				   exchange_max_idle_us(exchange),
				   &exchange->user);
	if (exchange->conn)
		send_hop(exchange);
	else
		connect_to_peer(exchange);
}
