#include "edge/gossip_parts.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/quarantine_store.h"
#include "edge/server_limits.h"

/*
 * What breaks off at one server breaks off together; told together, it is one
 * datagram to each node. It is told again after the second of these.
 */
#define GATHER_US (3 * US_PER_MS)
#define AGAIN_US (40 * US_PER_MS)

/* Of a beat: quarantines are told again and again. */
#define WORDS_A_BEAT 4

/*
 * Servers' rates are told again in turn, so many with each seventh beat, for a
 * node may have been cut off.
 */
#define RATES_A_BEAT 4
#define RATES_EVERY 7

static void on_word_timer(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;
	struct edge *edge = gossip->edge;
	struct beat beat = { .life_count = 0 };

	gossip_sign(gossip, &beat);
	beat.suspect_count = suspect_urgent_words(
		edge->suspects, edge->members->self->hash, edge_now_us(edge),
		beat.suspects, BEAT_MAX_SUSPECTS);
	beat.rate_count = server_limits_broadcast_updates(edge, beat.rates,
							  BEAT_MAX_RATES);
	if (beat.suspect_count || beat.rate_count)
		gossip_send_to_all(gossip, &beat);
	if (suspect_is_urgent(edge->suspects) ||
	    server_limits_have_broadcast(edge))
		uv_timer_start(timer, on_word_timer, AGAIN_US / US_PER_MS, 0);
}

void gossip_words_open(struct gossip *gossip)
{
	uv_timer_init(gossip->edge->loop, &gossip->word_timer);
	gossip->word_timer.data = gossip;
	gossip->edge->gossip = gossip;
}

void gossip_words_close(struct gossip *gossip)
{
	gossip->edge->gossip = NULL;
	uv_close((uv_handle_t *)&gossip->word_timer, NULL);
}

void gossip_tell_words(struct gossip *gossip)
{
	if (!uv_is_active((uv_handle_t *)&gossip->word_timer))
		uv_timer_start(&gossip->word_timer, on_word_timer,
			       GATHER_US / US_PER_MS, 0);
}

void gossip_beat_words(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct beat beat = { .life_count = 0 };
	uint64_t now_us = edge_now_us(edge);

	suspect_table_expire(edge->suspects, now_us);
	if (edge->quarantines)
		quarantine_store_review(edge->quarantines);
	gossip_sign(gossip, &beat);
	beat.suspect_count = suspect_words(edge->suspects,
					   edge->members->self->hash, now_us,
					   beat.suspects, WORDS_A_BEAT);
	if (gossip->rounds % RATES_EVERY == 0)
		beat.rate_count = server_limits_heartbeat_updates(
			edge, beat.rates, RATES_A_BEAT);
	if (beat.suspect_count || beat.rate_count)
		gossip_send_to_some(gossip, &beat);
}

/*
 * A node that isn't ready yet may have just started, and knows no quarantine
 * and no server's rate. Told by chance with beats, it would send first.
 */
static void tell_starting(struct gossip *gossip, const struct beat *beat)
{
	struct edge *edge = gossip->edge;
	const struct beat_life *sender = &beat->lives[0];
	const struct member *member =
		member_table_find_hash(edge->members, sender->member);
	struct beat words = { .life_count = 0 };

	if (!sender->leaving || !member || member == edge->members->self ||
	    !member->peer.port)
		return;
	gossip_sign(gossip, &words);
	words.suspect_count = suspect_words(edge->suspects,
					    edge->members->self->hash,
					    edge_now_us(edge), words.suspects,
					    BEAT_MAX_SUSPECTS);
	words.rate_count = server_limits_heartbeat_updates(edge, words.rates,
							   BEAT_MAX_RATES);
	if (words.suspect_count || words.rate_count)
		gossip_send_to_one(gossip, member, &words);
}

void gossip_ask_tokens(struct gossip *gossip, const struct member *member,
		       uint32_t life, uint32_t count)
{
	struct beat beat = { .life_count = 0 };

	gossip_sign(gossip, &beat);
	beat.tokens[beat.token_count].life = life;
	beat.tokens[beat.token_count++].asked = count;
	gossip_send_to_one(gossip, member, &beat);
}

static void take_tokens(struct gossip *gossip, const struct beat *beat)
{
	struct edge *edge = gossip->edge;
	struct beat answers = { .life_count = 0 };
	const struct member *from;
	uint32_t i;

	if (!beat->token_count)
		return;
	from = member_table_find_hash(edge->members, beat->lives[0].member);
	if (!from || from == edge->members->self || !from->peer.port)
		return;
	gossip_sign(gossip, &answers);
	for (i = 0; i < beat->token_count; i++)
		if (server_limits_handle_token(
			    edge, from, &beat->tokens[i],
			    &answers.tokens[answers.token_count]))
			answers.token_count++;
	if (answers.token_count)
		gossip_send_to_one(gossip, from, &answers);
}

/*
 * Crashes that several nodes saw may add up here first. One of those that saw
 * any writes the row, not each node that hears of all.
 */
static void note_quarantine(struct edge *edge, const struct suspect_word *word)
{
	const struct suspect *suspect =
		suspect_table_find(edge->suspects, word->fingerprint);

	log_event(LOG_WARNING, "quarantine-told",
		  "fingerprint=%016" PRIx64 " crashes=%u rounds=%u "
		  "by_hand=%s left_us=%" PRIu64,
		  word->fingerprint, word->crash_count, word->rounds,
		  word->by_hand ? "yes" : "no", word->left_us);
	if (suspect->seen_here && edge->quarantines)
		quarantine_store_keep(edge->quarantines, word->fingerprint);
}

void gossip_take_words(struct gossip *gossip, const struct beat *beat)
{
	struct edge *edge = gossip->edge;
	uint64_t now_us = edge_now_us(edge);
	uint32_t i;

	tell_starting(gossip, beat);
	take_tokens(gossip, beat);
	for (i = 0; i < beat->rate_count; i++)
		if (!server_limits_apply_update(edge, &beat->rates[i]))
			metric_add(edge->stats.words_rejected, 1);
	for (i = 0; i < beat->suspect_count; i++) {
		const struct suspect_word *word = &beat->suspects[i];
		bool was = suspect_is_quarantined(edge->suspects,
						  word->fingerprint);

		if (!suspect_take(edge->suspects, word, beat->lives[0].member,
				  edge->backends, now_us))
			metric_add(edge->stats.words_rejected, 1);
		else if (!was && suspect_is_quarantined(edge->suspects,
							word->fingerprint))
			note_quarantine(edge, word);
	}
}
