#include "edge/accounts.h"
#include "edge/admin_internal.h"

#include <string.h>

#include "core/admin_json.h"
#include "core/admin_table.h"

static const char *const columns[] = {
	"account", "priority", "regions", "per_s",	"burst",   "part_per_s",
	"tokens",  "requests", "served",  "over_quota", "refused", "waiting",
};

static void add_account(const struct edge *edge, const struct account *account,
			struct admin_table *table)
{
	const struct account_state *state =
		accounts_state(edge->accounts, account);
	const struct rate_limit *limit = &state->quota.limit;
	uint64_t now_us = edge_now_us(edge);
	json_t *const values[] = {
		admin_json_text(account->name),
		admin_json_number_or_null(account->has_priority,
					  account->priority),
		admin_json_number(account->regions->len),
		json_real(account->per_s),
		json_real(account->burst),
		json_real(limit->quota_per_s),
		json_real(limit->per_s > 0 ? rate_limit_tokens(limit, now_us) :
					     0),
		admin_json_number(state->requests),
		admin_json_number(state->ended[ACCOUNT_SERVED]),
		admin_json_number(state->ended[ACCOUNT_REFUSED_QUOTA]),
		admin_json_number(state->ended[ACCOUNT_REFUSED]),
		admin_json_number(
			g_queue_get_length((GQueue *)&state->waiting)),
	};

	ADMIN_TABLE_ADD(table, columns, values);
}

static gint compare_accounts(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct account *)a)->name,
		      ((const struct account *)b)->name);
}

json_t *admin_show_accounts(const struct edge *edge)
{
	struct admin_table table = ADMIN_TABLE_NEW(columns);
	GList *accounts = NULL;
	const GList *at;

	if (edge->routes && edge->routes->accounts)
		accounts = g_list_sort(g_hash_table_get_values(
					       edge->routes->accounts->by_name),
				       compare_accounts);
	for (at = accounts; at; at = at->next)
		add_account(edge, at->data, &table);
	g_list_free(accounts);
	return admin_finish_table(edge, &table, "accounts");
}
