#include "edge/exchange_internal.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/sync.h"

static void on_timer_closed(uv_handle_t *handle)
{
	struct exchange *exchange = handle->data;

	g_free(exchange);
}

void exchange_release_choice(struct exchange *exchange)
{
	struct backend *backend = exchange->choice.backend;

	if (!backend)
		return;
	exchange_record_run_end(exchange);
	if (exchange->took_token)
		rate_limit_give_back(&backend->limit,
				     exchange_now_us(exchange));
	exchange->took_token = false;
	if (exchange->has_account_token)
		exchange_return_account_token(exchange);
	backend_end(backend, exchange->choice.work_us);
	backend_unref(backend);
	exchange->choice.backend = NULL;
}

void exchange_detach_conn(struct exchange *exchange)
{
	exchange->sent_us = 0;
	exchange->ack_deadline_us = 0;
	exchange->conn = NULL;
	exchange->peer = NULL;
	exchange_release_choice(exchange);
}

/* Records that a request is given up before it is answered. */
static void record_abandoned(const struct exchange *exchange)
{
	struct stats *stats = &exchange->edge->stats;
	const struct conn *conn = exchange->conn;
	struct link_backlog backlog;

	if (!exchange->sent_us || !conn->link.awaiting)
		return;
	link_get_backlog(&conn->link, &backlog);
	metric_add(stats->abandoned, 1);
	if (backlog.unacked_bytes)
		metric_add(stats->abandoned_unacked, 1);
	log_event(LOG_INFO, "send-abandoned",
		  "request=%s backend=%s after_us=%" PRIu64
		  " queued_bytes=%" PRIu64 " unacked_bytes=%" PRIu64 " kept=%u",
		  exchange->request_id, conn->backend->id,
		  exchange_now_us(exchange) - exchange->sent_us,
		  backlog.queued_bytes, backlog.unacked_bytes, conn->uses);
}

void exchange_drop_conn(struct exchange *exchange)
{
	struct conn *conn = exchange->conn;

	if (!conn)
		return;
	record_abandoned(exchange);
	exchange_detach_conn(exchange);
	pool_drop(conn);
}

static void exchange_free(struct exchange *exchange)
{
	uint32_t i;

	exchange->ended = true;
	exchange_drop_conn(exchange);
	exchange_release_account(exchange);
	for (i = 0; i < exchange->query.tried_count; i++)
		backend_unref((struct backend *)exchange->query.tried[i]);
	message_free(exchange->request);
	message_free(exchange->failed_answer);
	byte_account_close(&exchange->kept);
	route_table_unref(exchange->routes);
	exchange->edge->exchanges--;
	exchange->edge->hops_taken -= exchange->is_hop;
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static void finish(struct exchange *exchange,
		   const struct exchange_answer *answer)
{
	struct exchange_sink *sink = exchange->sink;
	uint64_t took_us = exchange_now_us(exchange) - exchange->arrived_us;

	metric_observe_us(exchange->edge->stats.latency_us, took_us);
	log_event(answer->status < 400 ? LOG_DEBUG : LOG_INFO, "answered",
		  "request=%s status=%u took_us=%" PRIu64
		  " sends=%u unreachable=%u",
		  exchange->request_id, answer->status, took_us,
		  exchange->retry.sends, exchange->retry.unreachable);
	exchange->sink = NULL;
	if (sink)
		sink->vtable->finish(sink, answer);
	exchange_free(exchange);
}

/* Version and age of this node's routes as log fields; free with g_free(). */
static char *format_routes_state(const struct edge *edge)
{
	uint64_t age_us = edge->sync ? sync_routes_age_us(edge->sync) :
				       UINT64_MAX;

	if (!edge->routes)
		return g_strdup("routes_version=none");
	if (age_us == UINT64_MAX)
		return g_strdup_printf("routes_version=%" PRIu64
				       " routes_age_us=unconfirmed",
				       edge->routes->version);
	return g_strdup_printf("routes_version=%" PRIu64
			       " routes_age_us=%" PRIu64,
			       edge->routes->version, age_us);
}

static void append_leaving(const struct exchange *exchange, GString *headers)
{
	const struct choose_query *query = &exchange->query;
	const char *before = HOP_LEAVING ": ";
	uint32_t i;

	for (i = 0; i < query->tried_count; i++) {
		if (!query->tried[i]->said_leaving)
			continue;
		g_string_append_printf(headers, "%s%08x", before,
				       query->tried[i]->incarnation);
		before = ",";
	}
	if (*before == ',')
		g_string_append(headers, "\r\n");
}

/* Headers between nodes, for the node that handed the request over. */
static void append_hop_headers(const struct exchange *exchange,
			       GString *headers)
{
	if (!exchange->is_hop)
		return;
	g_string_append_printf(headers, HOP_ROOM ": %u\r\n",
			       hops_room(exchange->edge));
	if (exchange->not_run)
		g_string_append_printf(headers, HOP_NOT_RUN ": %s\r\n",
				       exchange->not_run);
	append_leaving(exchange, headers);
}

static void finish_generated(struct exchange *exchange, uint16_t status,
			     uint64_t retry_after_us, const char *cause)
{
	struct edge *edge = exchange->edge;
	GString *headers = g_string_new(NULL);
	GByteArray *body = g_byte_array_new();
	char *routes_state = format_routes_state(edge);
	const struct exchange_answer answer = { status, headers, body, false };

	if (retry_after_us)
		g_string_append_printf(headers, "Retry-After: %.3f\r\n",
				       (double)retry_after_us /
					       (double)US_PER_S);
	append_hop_headers(exchange, headers);
	g_string_append(headers, "Content-Type: text/plain\r\n");
	g_byte_array_append(body, (const guint8 *)cause, strlen(cause));
	g_byte_array_append(body, (const guint8 *)"\n", 1);
	edge_record_refusal(edge, cause, status, exchange->request_id);
	log_event(LOG_INFO, "own-answer",
		  "request=%s status=%u cause=%s account=%s unsettled=%u "
		  "kept=%u %s",
		  exchange->request_id, status, cause,
		  exchange->account ? exchange->account->name : "none",
		  exchange->unsettled, exchange_conn_uses(exchange),
		  routes_state);
	g_free(routes_state);
	finish(exchange, &answer);
	g_string_free(headers, TRUE);
	g_byte_array_unref(body);
}

static void set_not_run(struct exchange *exchange)
{
	if (!exchange->is_hop)
		return;
	metric_add(exchange->edge->stats.hops_refused, 1);
	if (!exchange->not_run)
		exchange->not_run = HOP_NOT_RUN_SERVERS;
}

/*
 * A 503 promises that the request has not run and never will, so a request that
 * may have run gets 502 instead.
 */
void exchange_finish_refused(struct exchange *exchange, uint64_t retry_after_us,
			     const char *cause)
{
	struct stats *stats = &exchange->edge->stats;

	if (exchange->unsettled) {
		metric_add(stats->failed, 1);
		finish_generated(exchange, 502, 0, cause);
		return;
	}
	metric_add(stats->refused, 1);
	if (exchange->account)
		accounts_count(exchange->account, ACCOUNT_REFUSED);
	set_not_run(exchange);
	finish_generated(exchange, 503, retry_after_us, cause);
}

void exchange_finish_over_quota(struct exchange *exchange,
				uint64_t retry_after_us)
{
	if (exchange->unsettled || exchange->failed_answer) {
		exchange_finish_unserved(exchange, retry_after_us,
					 "over quota");
		return;
	}
	metric_add(exchange->edge->stats.over_quota, 1);
	set_not_run(exchange);
	finish_generated(exchange, 429, retry_after_us, "over quota");
}

void exchange_finish_failed(struct exchange *exchange, uint16_t status,
			    const char *cause)
{
	metric_add(exchange->edge->stats.failed, 1);
	finish_generated(exchange, status, 0, cause);
}

void exchange_finish_denied(struct exchange *exchange, uint16_t status,
			    const char *cause)
{
	metric_add(exchange->edge->stats.denied, 1);
	set_not_run(exchange);
	finish_generated(exchange, status, 0, cause);
}

void exchange_deliver(struct exchange *exchange, const struct message *answer)
{
	GString *headers = g_string_new(NULL);
	const char *length = message_header(answer, "Content-Length");
	const char *const *between_nodes = NULL;
	const struct exchange_answer outgoing = {
		.status = answer->status,
		.headers = headers,
		.body = answer->body,
		.until_close = answer->until_close,
	};

	if (exchange->is_hop || exchange->answered_by_peer)
		between_nodes = hops_headers();
	message_copy_headers(answer, between_nodes, headers);
	append_hop_headers(exchange, headers);
	if (exchange->request->method == HTTP_HEAD && length)
		g_string_append_printf(headers, "Content-Length: %s\r\n",
				       length);
	metric_add(exchange->edge->stats.delivered, 1);
	if (exchange->account && answer->status < 300)
		accounts_count(exchange->account, ACCOUNT_SERVED);
	finish(exchange, &outgoing);
	g_string_free(headers, TRUE);
}

/* A peer may be asked only if no earlier send may have run. */
void exchange_finish_stopping(struct exchange *exchange)
{
	if (!exchange->unsettled && !exchange->failed_answer)
		exchange->not_run = HOP_NOT_RUN_PEER;
	exchange_finish_unserved(exchange, EXCHANGE_STOP_RETRY_AFTER_US,
				 "stopping");
}

static void log_cut(const struct exchange *exchange)
{
	const struct edge *edge = exchange->edge;

	metric_add(edge->stats.stop_cut, 1);
	log_event(LOG_WARNING, "stop-cuts",
		  "request=%s read_us=%" PRId64 " due_us=%" PRId64
		  " sent=%s sends=%u unsettled=%u",
		  exchange->request_id,
		  (int64_t)(exchange->arrived_us - edge->stop.began_us),
		  (int64_t)(exchange->due_us - edge->stop.began_us),
		  exchange->sent_us ? "yes" : "no", exchange->retry.sends,
		  exchange->unsettled);
}

void exchange_end_by_stop(struct exchange *exchange)
{
	log_cut(exchange);
	if (exchange->sent_us) {
		exchange_finish_failed(exchange, 504, "stopping");
		return;
	}
	exchange_finish_stopping(exchange);
}

void exchange_cancel(struct exchange *exchange)
{
	metric_add(exchange->edge->stats.cancelled, 1);
	log_event(LOG_INFO, "caller-left",
		  "request=%s after_us=%" PRIu64 " sends=%u",
		  exchange->request_id,
		  exchange_now_us(exchange) - exchange->arrived_us,
		  exchange->retry.sends);
	exchange->sink = NULL;
	exchange_free(exchange);
}
