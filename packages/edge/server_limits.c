#include "edge/server_limits.h"

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/gossip.h"

/*
 * A node that starts may displace another as a sender, which hears of it within
 * two seconds; until then both would use the part.
 */
#define SENDER_WAIT_US (5 * US_PER_S)

/* Times that a rate is told to all nodes at once, for a datagram may be lost.
 */
#define URGENT_TELLS 2

/* Between two times that a server's rate is told to all nodes at once. */
#define URGENT_SPACING_US (200 * US_PER_MS)

static double part_of(const struct edge *edge, const struct backend *backend)
{
	uint64_t now_us = edge_now_us(edge);
	double per_s = rate_limit_effective(&backend->limit, now_us);

	if (per_s == 0 || now_us - edge->began_us < SENDER_WAIT_US)
		return 0;
	return rate_limit_quota(edge->members, backend->region, backend->hash,
				per_s);
}

static void share(struct edge *edge, struct backend *backend)
{
	rate_limit_set_quota(&backend->limit, part_of(edge, backend),
			     edge_now_us(edge));
}

void server_limits_share(struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);
	bool are_limited = false;
	GHashTableIter iter;
	gpointer value;

	if (!edge->are_limited)
		return;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;
		bool is_limited =
			rate_limit_is_limited(&backend->limit, now_us);

		if (is_limited)
			share(edge, backend);
		if (is_limited || backend->limit.broadcasts_left)
			are_limited = true;
	}
	edge->are_limited = are_limited;
}

static void note_change(struct edge *edge, struct backend *backend,
			const char *by)
{
	edge->are_limited = true;
	share(edge, backend);
	log_event(LOG_INFO, "backend-limit",
		  "backend=%s per_s=%g part_per_s=%g by=%s", backend->id,
		  backend->limit.per_s, backend->limit.quota_per_s, by);
}

void server_limits_heard(struct edge *edge, struct backend *backend,
			 const struct message *answer, uint64_t sent_us)
{
	const char *name = edge->dialect->rate_limit;
	const char *text = message_header(answer, name);
	double per_s = 0;

	if (text && (message_count(answer, name) > 1 ||
		     !rate_limit_parse(text, &per_s))) {
		if (!backend->limit.rejected++)
			log_event(LOG_WARNING, "backend-limit-refused",
				  "backend=%s limit=%.32s", backend->id, text);
		return;
	}
	if (!rate_limit_apply_answer(&backend->limit, per_s, sent_us,
				     edge_now_us(edge)))
		return;
	note_change(edge, backend, "answer");
	backend->limit.broadcasts_left = URGENT_TELLS;
	if (edge->gossip)
		gossip_schedule_broadcast(edge->gossip);
}

bool server_limits_take(struct edge *edge, const struct rate_update *word)
{
	struct backend *backend = backend_table_find_incarnation(
		edge->backends, word->incarnation);
	uint64_t now_us = edge_now_us(edge);

	if (!rate_limit_update_is_valid(word))
		return false;
	if (backend &&
	    rate_limit_apply_update(&backend->limit, word->per_s,
				    now_us - MIN(now_us, word->age_us), now_us))
		note_change(edge, backend, "word");
	return true;
}

/* One of the senders, for so many tokens, unless it is asked already. */
static void ask_one(struct edge *edge, struct backend *backend, uint32_t tokens)
{
	const struct member *sender = rate_limit_pick_holder(
		&backend->limit, edge->members, backend->region, backend->hash,
		g_random_double(), edge_now_us(edge));

	if (sender && rate_limit_mark_asked(&backend->limit, sender->hash))
		gossip_request_tokens(edge->gossip, sender,
				      backend->incarnation, tokens);
}

bool server_limits_ask(struct edge *edge, struct backend *backend,
		       uint64_t way_us)
{
	uint32_t tokens;
	uint32_t senders;
	uint32_t i;

	if (!edge->gossip)
		return false;
	tokens = rate_limit_begin_borrowing(&backend->limit, way_us,
					    edge_now_us(edge));
	/* A second question would cost the way once more. */
	senders = way_us ? MIN(tokens, RATE_LIMIT_MAX_ASKED) : 1;
	for (i = 0; i < senders; i++)
		ask_one(edge, backend, (tokens + senders - 1) / senders);
	return backend->limit.asked_count > 0;
}

bool server_limits_token(struct edge *edge, const struct member *from,
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

static void fill_word(const struct edge *edge, const struct backend *backend,
		      struct rate_update *word)
{
	word->incarnation = backend->incarnation;
	word->per_s = backend->limit.per_s;
	word->age_us = edge_now_us(edge) - backend->limit.learned_us;
}

uint32_t server_limits_urgent_words(struct edge *edge,
				    struct rate_update *words, uint32_t most)
{
	uint64_t now_us = edge_now_us(edge);
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	if (!edge->are_limited)
		return 0;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (count < most && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct backend *backend = value;

		if (!backend->limit.broadcasts_left ||
		    now_us - backend->limit.broadcast_us < URGENT_SPACING_US)
			continue;
		backend->limit.broadcasts_left--;
		backend->limit.broadcast_us = now_us;
		fill_word(edge, backend, &words[count++]);
	}
	return count;
}

/* Those that were passed over this time are told the next time. */
uint32_t server_limits_words(struct edge *edge, struct rate_update *words,
			     uint32_t most)
{
	uint32_t seen = 0;
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	if (!edge->are_limited)
		return 0;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (count < most && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;

		if (backend->limit.per_s && seen++ >= edge->rates_told)
			fill_word(edge, backend, &words[count++]);
	}
	edge->rates_told = count == most ? edge->rates_told + count : 0;
	return count;
}

bool server_limits_are_urgent(const struct edge *edge)
{
	GHashTableIter iter;
	gpointer value;

	if (!edge->are_limited)
		return false;
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct backend *)value)->limit.broadcasts_left)
			return true;
	return false;
}
