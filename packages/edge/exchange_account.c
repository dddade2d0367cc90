#include "edge/exchange_internal.h"

#include <stddef.h>

#include "core/duration.h"
#include "edge/sync.h"

/* Another node, which the caller may choose next, can serve it at once. */
#define RETRY_ELSEWHERE_US (100 * US_PER_MS)

/* --- identity ----------------------------------------------------------- */

/* Returns whether the request may go on. */
static bool set_account(struct exchange *exchange,
			const struct account *account)
{
	if (account->unusable) {
		exchange->not_run = HOP_NOT_RUN_PEER;
		exchange_finish_refused(exchange, EXCHANGE_UNUSABLE_RETRY_US,
					"account unusable");
		return false;
	}
	exchange->query.account = account;
	exchange->hops.account = account;
	if (account->has_priority)
		exchange->query.priority = account->priority;
	exchange->account = accounts_state(exchange->edge->accounts, account);
	exchange->account->users++;
	exchange->account->requests++;
	return true;
}

/* A final error only if the key can't have been added meanwhile. */
static bool deny_key(struct exchange *exchange, const char *cause)
{
	if (sync_may_deny(exchange->edge->sync) &&
	    !exchange->routes->accounts->lacks_keys)
		exchange_finish_denied(exchange, 401, cause);
	else
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"keys unconfirmed");
	return false;
}

static bool identify_caller(struct exchange *exchange)
{
	const char *header = exchange->edge->dialect->account_key;
	const struct message *request = exchange->request;
	const char *key = message_header(request, header);
	const struct account *account = NULL;

	if (message_count_headers(request, header) > 1) {
		exchange_finish_denied(exchange, 400, "more than one key");
		return false;
	}
	if (key)
		account =
			account_table_find_key(exchange->routes->accounts, key);
	if (account)
		return set_account(exchange, account);
	if (!exchange->query.route->keyless)
		return deny_key(exchange, key ? "unknown key" : "no key");
	return true;
}

/* The node that handed the request over has checked the key. */
static bool identify_hop(struct exchange *exchange)
{
	const char *name = message_header(exchange->request, HOP_ACCOUNT);
	const struct account *account = NULL;

	if (name)
		account = account_table_find(exchange->routes->accounts, name);
	if (account)
		return set_account(exchange, account);
	if (!name && exchange->query.route->keyless)
		return true;
	exchange->not_run = HOP_NOT_RUN_PEER;
	exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
				"unknown account");
	return false;
}

bool exchange_identify(struct exchange *exchange)
{
	if (!exchange->routes->accounts)
		return true;
	if (exchange->is_hop)
		return identify_hop(exchange);
	return identify_caller(exchange);
}

/* --- quota -------------------------------------------------------------- */

static void on_wake(struct account_waiter *waiter)
{
	struct exchange *exchange =
		(struct exchange *)((char *)waiter -
				    offsetof(struct exchange, account_waiter));

	exchange->held_until_us = 0;
	exchange_dispatch(exchange);
}

static const struct account_waiter_vtable waiter_events = {
	.wake = on_wake,
};

void exchange_stop_waiting(struct exchange *exchange)
{
	if (exchange->account)
		accounts_leave(exchange->account, &exchange->account_waiter);
}

static void refuse(struct exchange *exchange)
{
	struct account_state *account = exchange->account;

	accounts_count(account, ACCOUNT_REFUSED_QUOTA);
	exchange_finish_over_quota(
		exchange,
		accounts_retry_after_us(exchange->edge->accounts, account,
					exchange->query.patience_us));
}

bool exchange_admit_account(struct exchange *exchange)
{
	struct account_state *account = exchange->account;
	uint64_t wait_us = 0;

	if (!account || exchange->has_account_token)
		return true;
	exchange->account_waiter.vtable = &waiter_events;
	switch (accounts_admit(exchange->edge->accounts, account,
			       &exchange->account_waiter,
			       &exchange->account_asks, &wait_us)) {
	case ACCOUNT_RUN:
		return true;
	case ACCOUNT_WAIT:
		exchange_hold_for(exchange, wait_us);
		return false;
	case ACCOUNT_OVER_QUOTA:
		refuse(exchange);
		return false;
	case ACCOUNT_CUT_OFF:
		exchange->not_run = exchange->is_hop ? HOP_NOT_RUN_PEER : NULL;
		exchange_finish_unserved(exchange, RETRY_ELSEWHERE_US,
					 "quota out of reach");
		return false;
	}
	return true;
}

void exchange_take_account_token(struct exchange *exchange)
{
	if (exchange->account && !exchange->has_account_token)
		exchange->has_account_token =
			rate_limit_take(&exchange->account->quota.limit,
					exchange_now_us(exchange));
}

void exchange_spend_account_token(struct exchange *exchange)
{
	exchange->spent_account_token = exchange->has_account_token;
	exchange->has_account_token = false;
}

void exchange_return_account_token(struct exchange *exchange)
{
	if (exchange->has_account_token || exchange->spent_account_token)
		rate_limit_give_back(&exchange->account->quota.limit,
				     exchange_now_us(exchange));
	exchange->has_account_token = false;
	exchange->spent_account_token = false;
}

void exchange_release_account(struct exchange *exchange)
{
	if (!exchange->account)
		return;
	exchange_stop_waiting(exchange);
	exchange->account->users--;
	exchange->account = NULL;
}
