#include "edge/gossip_internal.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/accounts.h"
#include "edge/quarantine_store.h"
#include "edge/server_limits.h"

/*
 * Requests that break off at one server do so together: a short delay sends
 * their updates as one datagram to each node. RESEND_US later they are
 * broadcast again.
 */
#define BATCH_DELAY_US (3 * US_PER_MS)
#define RESEND_US (40 * US_PER_MS)

/*
 * Suspects sent with a heartbeat; quarantines are repeated until they are
 * cleared or expire, so a few each time are enough.
 */
#define SUSPECTS_PER_HEARTBEAT 4

/*
 * Each ROUNDS_PER_RATES heartbeats, RATES_PER_HEARTBEAT servers' rates are
 * repeated, in turn, for nodes that were partitioned when the rates were
 * broadcast.
 */
#define RATES_PER_HEARTBEAT 4
#define ROUNDS_PER_RATES 7

static void on_broadcast_timer(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;
	struct edge *edge = gossip->edge;
	struct heartbeat heartbeat = { .member_count = 0 };

	gossip_add_sender(gossip, &heartbeat);
	heartbeat.suspect_count = suspect_collect_broadcast(
		edge->suspects, edge->members->self->hash, edge_now_us(edge),
		heartbeat.suspects, HEARTBEAT_MAX_SUSPECTS);
	heartbeat.rate_count = server_limits_broadcast_updates(
		edge, heartbeat.rates, HEARTBEAT_MAX_RATES);
	if (heartbeat.suspect_count || heartbeat.rate_count)
		gossip_send_to_all(gossip, &heartbeat);
	if (suspect_has_broadcast(edge->suspects) ||
	    server_limits_have_broadcast(edge))
		uv_timer_start(timer, on_broadcast_timer, RESEND_US / US_PER_MS,
			       0);
}

void gossip_updates_open(struct gossip *gossip)
{
	uv_timer_init(gossip->edge->loop, &gossip->broadcast_timer);
	gossip->broadcast_timer.data = gossip;
	gossip->edge->gossip = gossip;
}

void gossip_updates_close(struct gossip *gossip)
{
	gossip->edge->gossip = NULL;
	uv_close((uv_handle_t *)&gossip->broadcast_timer, NULL);
}

void gossip_schedule_broadcast(struct gossip *gossip)
{
	if (!uv_is_active((uv_handle_t *)&gossip->broadcast_timer))
		uv_timer_start(&gossip->broadcast_timer, on_broadcast_timer,
			       BATCH_DELAY_US / US_PER_MS, 0);
}

void gossip_send_updates(struct gossip *gossip)
{
	struct edge *edge = gossip->edge;
	struct heartbeat heartbeat = { .member_count = 0 };
	uint64_t now_us = edge_now_us(edge);

	suspect_table_expire(edge->suspects, now_us);
	if (edge->quarantines)
		quarantine_store_remove_lifted(edge->quarantines);
	gossip_add_sender(gossip, &heartbeat);
	heartbeat.suspect_count = suspect_collect_updates(
		edge->suspects, edge->members->self->hash, now_us,
		heartbeat.suspects, SUSPECTS_PER_HEARTBEAT);
	if (gossip->rounds % ROUNDS_PER_RATES == 0)
		heartbeat.rate_count = server_limits_heartbeat_updates(
			edge, heartbeat.rates, RATES_PER_HEARTBEAT);
	if (heartbeat.suspect_count || heartbeat.rate_count)
		gossip_send_to_sample(gossip, &heartbeat);
}

/*
 * A node that isn't ready yet may have just started and knows no quarantines
 * and no rates. With only the random sample of heartbeats it might send
 * requests before it receives them.
 */
static void update_starting_node(struct gossip *gossip,
				 const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	const struct heartbeat_member *sender = &heartbeat->members[0];
	const struct member *member =
		member_table_find_hash(edge->members, sender->member);
	struct heartbeat updates = { .member_count = 0 };

	if (!sender->leaving || !member || member == edge->members->self ||
	    !member->peer.port)
		return;
	gossip_add_sender(gossip, &updates);
	updates.suspect_count = suspect_collect_updates(
		edge->suspects, edge->members->self->hash, edge_now_us(edge),
		updates.suspects, HEARTBEAT_MAX_SUSPECTS);
	updates.rate_count = server_limits_heartbeat_updates(
		edge, updates.rates, HEARTBEAT_MAX_RATES);
	if (updates.suspect_count || updates.rate_count)
		gossip_send_to_one(gossip, member, &updates);
}

static void request_tokens(struct gossip *gossip, const struct member *member,
			   const struct heartbeat_token *token)
{
	struct heartbeat heartbeat = { .member_count = 0 };

	gossip_add_sender(gossip, &heartbeat);
	heartbeat.tokens[heartbeat.token_count++] = *token;
	gossip_send_to_one(gossip, member, &heartbeat);
}

void gossip_request_tokens(struct gossip *gossip, const struct member *member,
			   uint32_t incarnation, uint32_t count)
{
	const struct heartbeat_token token = {
		.incarnation = incarnation,
		.requested = count,
	};

	request_tokens(gossip, member, &token);
}

void gossip_request_account_tokens(struct gossip *gossip,
				   const struct member *member,
				   uint32_t account, uint32_t count)
{
	const struct heartbeat_token token = {
		.incarnation = account,
		.is_account = true,
		.requested = count,
	};

	request_tokens(gossip, member, &token);
}

static bool handle_token(struct edge *edge, const struct member *from,
			 const struct heartbeat_token *token,
			 struct heartbeat_token *answer)
{
	if (token->is_account)
		return accounts_handle_token(edge->accounts, from, token,
					     answer);
	return server_limits_handle_token(edge, from, token, answer);
}

static void apply_tokens(struct gossip *gossip,
			 const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	struct heartbeat answers = { .member_count = 0 };
	const struct member *from;
	uint32_t i;

	if (!heartbeat->token_count)
		return;
	from = member_table_find_hash(edge->members,
				      heartbeat->members[0].member);
	if (!from || from == edge->members->self || !from->peer.port)
		return;
	gossip_add_sender(gossip, &answers);
	for (i = 0; i < heartbeat->token_count; i++)
		if (handle_token(edge, from, &heartbeat->tokens[i],
				 &answers.tokens[answers.token_count]))
			answers.token_count++;
	if (answers.token_count)
		gossip_send_to_one(gossip, from, &answers);
}

/*
 * Crashes that several nodes saw may add up to a quarantine first at this node.
 * Only nodes that saw one of the crashes store the row, not each node that
 * receives the update.
 */
static void handle_new_quarantine(struct edge *edge,
				  const struct suspect_update *update)
{
	const struct suspect *suspect =
		suspect_table_find(edge->suspects, update->fingerprint);

	log_event(LOG_WARNING, "quarantine-told",
		  "fingerprint=%016" PRIx64 " crashes=%u rounds=%u "
		  "by_hand=%s left_us=%" PRIu64,
		  update->fingerprint, update->crash_count, update->rounds,
		  update->by_hand ? "yes" : "no", update->left_us);
	if (suspect->seen_locally && edge->quarantines)
		quarantine_store_write(edge->quarantines, update->fingerprint);
}

void gossip_apply_updates(struct gossip *gossip,
			  const struct heartbeat *heartbeat)
{
	struct edge *edge = gossip->edge;
	uint64_t now_us = edge_now_us(edge);
	uint32_t i;

	update_starting_node(gossip, heartbeat);
	apply_tokens(gossip, heartbeat);
	for (i = 0; i < heartbeat->rate_count; i++)
		if (!server_limits_apply_update(edge, &heartbeat->rates[i]))
			metric_add(edge->stats.updates_rejected, 1);
	for (i = 0; i < heartbeat->suspect_count; i++) {
		const struct suspect_update *update = &heartbeat->suspects[i];
		bool was_quarantined = suspect_is_quarantined(
			edge->suspects, update->fingerprint);

		if (!suspect_apply_update(edge->suspects, update,
					  heartbeat->members[0].member,
					  edge->backends, now_us))
			metric_add(edge->stats.updates_rejected, 1);
		else if (!was_quarantined &&
			 suspect_is_quarantined(edge->suspects,
						update->fingerprint))
			handle_new_quarantine(edge, update);
	}
}
