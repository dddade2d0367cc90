#include "edge/server_limits.h"

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/gossip.h"

/*
 * A node that starts may replace another as a quota holder, which receives the
 * new member list within two seconds; until then both would use the quota. So a
 * node uses none for this long after its start.
 */
#define QUOTA_DELAY_US (5 * US_PER_S)

/* How often a new rate is broadcast, since datagrams may be lost. */
#define BROADCAST_COUNT 2

/* Minimum time between two broadcasts of a server's rate. */
#define BROADCAST_INTERVAL_US (200 * US_PER_MS)

static double quota_of(const struct edge *edge, const struct backend *backend)
{
	uint64_t now_us = edge_now_us(edge);
	double per_s = rate_limit_effective(&backend->limit, now_us);

	if (per_s == 0 || now_us - edge->began_us < QUOTA_DELAY_US)
		return 0;
	return rate_limit_quota(edge->members, backend->region, backend->hash,
				per_s);
}

static void update_quota(struct edge *edge, struct backend *backend)
{
	rate_limit_set_quota(&backend->limit, quota_of(edge, backend),
			     edge_now_us(edge));
}

void server_limits_update_quotas(struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);
	bool any_limited = false;
	GHashTableIter iter;
	gpointer value;

	if (!edge->any_rate_limited)
		return;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;
		bool is_limited =
			rate_limit_is_limited(&backend->limit, now_us);

		if (is_limited)
			update_quota(edge, backend);
		if (is_limited || backend->limit.broadcasts_left)
			any_limited = true;
	}
	edge->any_rate_limited = any_limited;
}

static void record_change(struct edge *edge, struct backend *backend,
			  const char *by)
{
	edge->any_rate_limited = true;
	update_quota(edge, backend);
	log_event(LOG_INFO, "backend-limit",
		  "backend=%s per_s=%g part_per_s=%g by=%s", backend->id,
		  backend->limit.per_s, backend->limit.quota_per_s, by);
}

void server_limits_apply_answer(struct edge *edge, struct backend *backend,
				const struct message *answer, uint64_t sent_us)
{
	const char *name = edge->dialect->rate_limit;
	const char *text = message_header(answer, name);
	double per_s = 0;

	if (text && (message_count_headers(answer, name) > 1 ||
		     !rate_limit_parse(text, &per_s))) {
		if (!backend->limit.rejected++)
			log_event(LOG_WARNING, "backend-limit-refused",
				  "backend=%s limit=%.32s", backend->id, text);
		return;
	}
	if (!rate_limit_apply_answer(&backend->limit, per_s, sent_us,
				     edge_now_us(edge)))
		return;
	record_change(edge, backend, "answer");
	backend->limit.broadcasts_left = BROADCAST_COUNT;
	if (edge->gossip)
		gossip_schedule_broadcast(edge->gossip);
}

bool server_limits_apply_update(struct edge *edge,
				const struct rate_update *update)
{
	struct backend *backend = backend_table_find_incarnation(
		edge->backends, update->incarnation);
	uint64_t now_us = edge_now_us(edge);

	if (!rate_limit_update_is_valid(update))
		return false;
	if (backend && rate_limit_apply_update(
			       &backend->limit, update->per_s,
			       now_us - MIN(now_us, update->age_us), now_us))
		record_change(edge, backend, "word");
	return true;
}

/* Requests tokens from one quota holder, unless an answer of it is due. */
static void borrow_from_one(struct edge *edge, struct backend *backend,
			    uint32_t tokens)
{
	const struct member *holder = rate_limit_pick_holder(
		&backend->limit, edge->members, backend->region, backend->hash,
		g_random_double(), edge_now_us(edge));

	if (holder && rate_limit_mark_asked(&backend->limit, holder->hash))
		gossip_request_tokens(edge->gossip, holder,
				      backend->incarnation, tokens);
}

bool server_limits_borrow(struct edge *edge, struct backend *backend,
			  uint64_t round_trip_us)
{
	uint32_t tokens;
	uint32_t holders;
	uint32_t i;

	if (!edge->gossip)
		return false;
	tokens = rate_limit_begin_borrowing(&backend->limit, round_trip_us,
					    edge_now_us(edge));
	/*
	 * A second request would cost another round trip, so several holders
	 * are asked at once if that takes time.
	 */
	holders = round_trip_us ? MIN(tokens, RATE_LIMIT_MAX_ASKED) : 1;
	for (i = 0; i < holders; i++)
		borrow_from_one(edge, backend,
				(tokens + holders - 1) / holders);
	return backend->limit.asked_count > 0;
}

bool server_limits_handle_token(struct edge *edge, const struct member *from,
				const struct heartbeat_token *token,
				struct heartbeat_token *answer)
{
	struct backend *backend = backend_table_find_incarnation(
		edge->backends, token->incarnation);
	uint64_t now_us = edge_now_us(edge);
	uint64_t wait_us;

	if (!backend)
		return false;
	if (!token->requested) {
		rate_limit_apply_loan(&backend->limit, from->hash, token->lent,
				      token->wait_ms * US_PER_MS, now_us);
		return false;
	}
	answer->incarnation = token->incarnation;
	answer->requested = 0;
	answer->lent = rate_limit_lend(&backend->limit, token->requested,
				       now_us, &wait_us);
	answer->wait_ms = (uint32_t)(wait_us / US_PER_MS) + 1;
	return true;
}

static void fill_update(const struct edge *edge, const struct backend *backend,
			struct rate_update *update)
{
	update->incarnation = backend->incarnation;
	update->per_s = backend->limit.per_s;
	update->age_us = edge_now_us(edge) - backend->limit.learned_us;
}

uint32_t server_limits_broadcast_updates(struct edge *edge,
					 struct rate_update *updates,
					 uint32_t max_count)
{
	uint64_t now_us = edge_now_us(edge);
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	if (!edge->any_rate_limited)
		return 0;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (count < max_count &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;

		if (!backend->limit.broadcasts_left ||
		    now_us - backend->limit.broadcast_us <
			    BROADCAST_INTERVAL_US)
			continue;
		backend->limit.broadcasts_left--;
		backend->limit.broadcast_us = now_us;
		fill_update(edge, backend, &updates[count++]);
	}
	return count;
}

/* Rates beyond max_count come with the next call. */
uint32_t server_limits_heartbeat_updates(struct edge *edge,
					 struct rate_update *updates,
					 uint32_t max_count)
{
	uint32_t seen = 0;
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	if (!edge->any_rate_limited)
		return 0;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (count < max_count &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;

		if (backend->limit.per_s && seen++ >= edge->rates_sent)
			fill_update(edge, backend, &updates[count++]);
	}
	edge->rates_sent = count == max_count ? edge->rates_sent + count : 0;
	return count;
}

bool server_limits_have_broadcast(const struct edge *edge)
{
	GHashTableIter iter;
	gpointer value;

	if (!edge->any_rate_limited)
		return false;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct backend *)value)->limit.broadcasts_left)
			return true;
	return false;
}
