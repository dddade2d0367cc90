#include "edge/accounts.h"

#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/gossip.h"
#include "edge/sync.h"

/* How long an answer of a peer may take, besides the round trip. */
#define ANSWER_TIMEOUT_US (100 * US_PER_MS)

/* Times that a request asks: as many holders as there are, and once more. */
#define MAX_ASKS 5

/* Accounts with metrics of their own; all others share one set. */
#define MAX_LABELLED 100
#define SHARED_LABEL "other"

/*
 * A node whose questions all remain unanswered for CUT_OFF_US is cut off from
 * the holders: requests aren't held any more, and only one question is asked
 * each PROBE_US. Questions further apart than FORGET_US say nothing together.
 */
#define CUT_OFF_US (250 * US_PER_MS)
#define PROBE_US (100 * US_PER_MS)
#define FORGET_US (500 * US_PER_MS)

struct accounts {
	struct edge *edge;
	GHashTable *by_name; /* name -> struct account_state, owned */
	GHashTable *by_hash; /* hash of the name -> struct account_state */
	GPtrArray *regions; /* names, sorted, borrowed from the settings */
	uint64_t routes_version; /* that the parts were computed for */
	uint64_t members_digest;
	bool may_hold;
	bool any_limited;
	bool settings_changed;
	uint64_t unanswered_us; /* first question since an answer; 0: none */
	uint64_t asked_us; /* latest question */
	GHashTable *labelled; /* names of accounts with metrics of their own */
};

static void state_free(gpointer data)
{
	struct account_state *state = data;

	g_free(state->name);
	g_free(state);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* All regions that the settings name, each once. */
static GPtrArray *collect_regions(const struct edge_settings *settings)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *regions = g_ptr_array_new();
	GHashTableIter iter;
	gpointer region;

	if (settings->regions) {
		g_hash_table_iter_init(&iter, settings->regions);
		while (g_hash_table_iter_next(&iter, NULL, &region))
			if (g_hash_table_add(seen, region))
				g_ptr_array_add(regions, region);
	}
	g_hash_table_destroy(seen);
	g_ptr_array_sort(regions, compare_names);
	return regions;
}

struct accounts *accounts_new(struct edge *edge)
{
	struct accounts *accounts = g_new0(struct accounts, 1);

	accounts->edge = edge;
	accounts->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  state_free);
	accounts->by_hash = g_hash_table_new(NULL, NULL);
	accounts->labelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	accounts->regions = collect_regions(&edge->settings);
	return accounts;
}

void accounts_free(struct accounts *accounts)
{
	g_hash_table_destroy(accounts->labelled);
	g_hash_table_destroy(accounts->by_hash);
	g_hash_table_destroy(accounts->by_name);
	g_ptr_array_unref(accounts->regions);
	g_free(accounts);
}

GHashTable *accounts_by_name(const struct accounts *accounts)
{
	return accounts->by_name;
}

/* --- parts of the rate -------------------------------------------------- */

static bool may_hold(const struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);
	struct account_quota_standing standing = {
		.was_listed = edge->was_listed,
		.up_us = now_us - edge->began_us,
		.contact_age_us = UINT64_MAX,
	};
	struct sync_table_state tables[SYNC_TABLES];
	GHashTableIter iter;
	gpointer value;

	if (!edge->sync)
		return false;
	sync_table_states(edge->sync, tables);
	standing.members_loaded = tables[REGISTRY_MEMBERS].loaded;
	if (tables[REGISTRY_MEMBERS].confirmed_us)
		standing.contact_age_us =
			now_us - tables[REGISTRY_MEMBERS].confirmed_us;
	g_hash_table_iter_init(&iter, edge->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member != edge->members->self && member->heartbeat_us &&
		    !strcmp(member->region, edge->settings.region))
			standing.contact_age_us =
				MIN(standing.contact_age_us,
				    now_us - member->heartbeat_us);
	}
	return account_quota_may_hold(&standing);
}

static struct account_quota_place place_of(const struct accounts *accounts)
{
	const struct edge *edge = accounts->edge;

	return (struct account_quota_place){
		.members = edge->members,
		.regions = accounts->regions,
		.region = edge->settings.region,
		.may_hold = accounts->may_hold,
	};
}

static void update_state(struct accounts *accounts, struct account_state *state,
			 const struct account *account)
{
	const struct edge *edge = accounts->edge;
	const struct account_quota_place place = place_of(accounts);

	account_quota_update(&state->quota, account,
			     &edge->settings.account_quota, &place,
			     edge_now_us(edge));
}

static const char *label_of(struct accounts *accounts, const char *name)
{
	if (g_hash_table_contains(accounts->labelled, name))
		return name;
	if (g_hash_table_size(accounts->labelled) >= MAX_LABELLED ||
	    strpbrk(name, "\"\\\n"))
		return SHARED_LABEL;
	g_hash_table_add(accounts->labelled, g_strdup(name));
	return name;
}

static void register_metrics(struct accounts *accounts,
			     struct account_state *state)
{
	static const char *const outcomes[] = {
		[ACCOUNT_SERVED] = "served",
		[ACCOUNT_REFUSED_QUOTA] = "over_quota",
		[ACCOUNT_REFUSED] = "refused",
	};
	const char *name = label_of(accounts, state->name);
	uint32_t i;

	for (i = 0; i < ACCOUNT_OUTCOMES; i++) {
		char *labels = g_strdup_printf("account=\"%s\",outcome=\"%s\"",
					       name, outcomes[i]);

		state->metrics[i] = metric_counter(
			"lilacfield_account_requests_total",
			"requests of an account by how they ended", labels);
		g_free(labels);
	}
}

void accounts_count(struct account_state *state, enum account_outcome outcome)
{
	state->ended[outcome]++;
	metric_add(state->metrics[outcome], 1);
}

static struct account_state *add_state(struct accounts *accounts,
				       const struct account *account)
{
	struct account_state *state = g_new0(struct account_state, 1);

	state->name = g_strdup(account->name);
	state->quota.hash = account->hash;
	g_queue_init(&state->waiting);
	register_metrics(accounts, state);
	g_hash_table_insert(accounts->by_name, state->name, state);
	g_hash_table_insert(accounts->by_hash,
			    GUINT_TO_POINTER(state->quota.hash), state);
	return state;
}

struct account_state *accounts_state(struct accounts *accounts,
				     const struct account *account)
{
	struct account_state *state =
		g_hash_table_lookup(accounts->by_name, account->name);

	if (state)
		return state;
	state = add_state(accounts, account);
	update_state(accounts, state, account);
	return state;
}

/* Forgets accounts that the configuration no longer has. */
static void prune(struct accounts *accounts, const struct route_table *routes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account_state *state = value;

		if (state->users ||
		    (routes && routes->accounts &&
		     account_table_find(routes->accounts, state->name)))
			continue;
		g_hash_table_remove(accounts->by_hash,
				    GUINT_TO_POINTER(state->quota.hash));
		g_hash_table_iter_remove(&iter);
	}
}

static void update_all(struct accounts *accounts)
{
	const struct route_table *routes = accounts->edge->routes;
	GHashTableIter iter;
	gpointer value;

	accounts->any_limited = false;
	prune(accounts, routes);
	if (!routes || !routes->accounts)
		return;
	g_hash_table_iter_init(&iter, routes->accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account *account = value;

		update_state(accounts, accounts_state(accounts, account),
			     account);
		if (account->per_s > 0)
			accounts->any_limited = true;
	}
}

void accounts_update_quotas(struct accounts *accounts)
{
	const struct edge *edge = accounts->edge;
	uint64_t version = edge->routes ? edge->routes->version : 0;
	uint64_t digest;
	bool holds;

	if (version == accounts->routes_version && !accounts->any_limited)
		return;
	if (accounts->settings_changed)
		accounts->members_digest = 0;
	accounts->settings_changed = false;
	digest = member_table_digest(edge->members);
	holds = may_hold(edge);
	if (version == accounts->routes_version &&
	    digest == accounts->members_digest && holds == accounts->may_hold)
		return;
	if (holds != accounts->may_hold)
		log_event(LOG_INFO, "account-parts", "held=%s",
			  holds ? "yes" : "no");
	accounts->routes_version = version;
	accounts->members_digest = digest;
	accounts->may_hold = holds;
	update_all(accounts);
}

void accounts_settings_changed(struct accounts *accounts)
{
	accounts->settings_changed = true;
}

/* --- tokens ------------------------------------------------------------- */

/* Longest round trip to a region other than this node's. */
static uint64_t far_round_trip_us(const struct accounts *accounts)
{
	const struct edge *edge = accounts->edge;
	uint64_t longest_us = 0;
	guint i;

	for (i = 0; i < accounts->regions->len; i++) {
		const char *region = accounts->regions->pdata[i];

		if (strcmp(region, edge->settings.region) != 0)
			longest_us =
				MAX(longest_us,
				    chooser_link_us(&edge->chooser, region));
	}
	return longest_us;
}

static bool is_cut_off(const struct accounts *accounts)
{
	uint64_t now_us = edge_now_us(accounts->edge);

	return accounts->unanswered_us &&
	       now_us - accounts->asked_us < FORGET_US &&
	       now_us - accounts->unanswered_us > CUT_OFF_US;
}

static void note_question(struct accounts *accounts)
{
	uint64_t now_us = edge_now_us(accounts->edge);

	if (!accounts->unanswered_us || now_us - accounts->asked_us > FORGET_US)
		accounts->unanswered_us = now_us;
	accounts->asked_us = now_us;
}

/* Asks for tokens for all that wait; false if there is nobody to ask. */
static bool ask(struct accounts *accounts, struct account_state *state)
{
	const struct edge *edge = accounts->edge;
	const struct account_quota_place place = place_of(accounts);
	struct account_quota_asked asked;
	uint32_t i;

	if (!edge->gossip ||
	    !account_quota_ask(&state->quota, &place,
			       g_queue_get_length(&state->waiting) + 1,
			       far_round_trip_us(accounts), g_random_double(),
			       edge_now_us(edge), &asked))
		return false;
	note_question(accounts);
	for (i = 0; i < asked.count; i++)
		gossip_request_account_tokens(edge->gossip, asked.holders[i],
					      state->quota.hash, asked.tokens);
	return true;
}

enum account_verdict accounts_admit(struct accounts *accounts,
				    struct account_state *state,
				    struct account_waiter *waiter,
				    uint32_t *asks, uint64_t *wait_us)
{
	struct rate_limit *limit = &state->quota.limit;
	uint64_t now_us = edge_now_us(accounts->edge);
	uint64_t due_us;

	if (rate_limit_allows(limit, now_us))
		return ACCOUNT_RUN;
	if (now_us < limit->ask_again_us)
		return ACCOUNT_OVER_QUOTA;
	if (is_cut_off(accounts)) {
		if (now_us - accounts->asked_us > PROBE_US)
			ask(accounts, state);
		return ACCOUNT_CUT_OFF;
	}
	if (*asks >= MAX_ASKS)
		return now_us - state->refused_us < FORGET_US ?
			       ACCOUNT_OVER_QUOTA :
			       ACCOUNT_CUT_OFF;
	++*asks;
	if (!rate_limit_may_borrow(limit, now_us))
		rate_limit_count_miss(limit);
	else if (!ask(accounts, state))
		return limit->quota_per_s > 0 ? ACCOUNT_OVER_QUOTA :
						ACCOUNT_CUT_OFF;
	due_us = limit->asked_us + limit->round_trip_us + ANSWER_TIMEOUT_US;
	*wait_us = due_us - MIN(now_us, due_us);
	g_queue_push_tail_link(&state->waiting, &waiter->link);
	waiter->link.data = waiter;
	waiter->is_waiting = true;
	return ACCOUNT_WAIT;
}

void accounts_leave(struct account_state *state, struct account_waiter *waiter)
{
	if (!waiter->is_waiting)
		return;
	waiter->is_waiting = false;
	g_queue_unlink(&state->waiting, &waiter->link);
}

/* Wakes the requests that can be decided now, the oldest first. */
static void wake_waiters(struct accounts *accounts, struct account_state *state)
{
	const struct rate_limit *limit = &state->quota.limit;
	uint32_t count = g_queue_get_length(&state->waiting);

	while (count-- && !g_queue_is_empty(&state->waiting)) {
		struct account_waiter *waiter =
			g_queue_peek_head(&state->waiting);
		uint64_t now_us = edge_now_us(accounts->edge);

		/* Answers of other holders are still due. */
		if (!rate_limit_allows(limit, now_us) && limit->asked_count)
			return;
		accounts_leave(state, waiter);
		waiter->vtable->wake(waiter);
	}
}

bool accounts_handle_token(struct accounts *accounts, const struct member *from,
			   const struct heartbeat_token *token,
			   struct heartbeat_token *answer)
{
	struct account_state *state = g_hash_table_lookup(
		accounts->by_hash, GUINT_TO_POINTER(token->incarnation));
	const struct account_quota_place place = place_of(accounts);
	uint64_t now_us = edge_now_us(accounts->edge);
	uint64_t wait_us;

	if (!state)
		return false;
	if (!token->requested) {
		accounts->unanswered_us = 0;
		if (!token->lent)
			state->refused_us = now_us;
		account_quota_apply_loan(&state->quota, &place, from->hash,
					 token->lent,
					 token->wait_ms * US_PER_MS, now_us);
		wake_waiters(accounts, state);
		return false;
	}
	answer->incarnation = token->incarnation;
	answer->is_account = true;
	answer->requested = 0;
	answer->lent = rate_limit_lend(&state->quota.limit, token->requested,
				       now_us, &wait_us);
	answer->wait_ms = (uint32_t)(wait_us / US_PER_MS) + 1;
	return true;
}

uint64_t accounts_retry_after_us(struct accounts *accounts,
				 struct account_state *state,
				 uint64_t patience_us)
{
	struct edge *edge = accounts->edge;
	uint32_t nodes = MAX(member_table_count(edge->members),
			     edge->settings.min_nodes_assumed);

	/* Each node brings back its share of the account's callers. */
	return admission_schedule_retry_us(&state->returns,
					   state->quota.limit.per_s / nodes,
					   patience_us, g_random_double(),
					   edge_now_us(edge));
}
