#include "emulator/account_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/duration.h"
#include "edge/message.h"

/* What an account may exceed its rate by, as nodes are told. */
#define WINDOW_US (5 * US_PER_S)
#define OVERAGE 0.1
#define SLACK 20

/* A removed key is in nobody's use after so long. */
#define REVOKED_US (2500 * US_PER_MS)

/* Nodes share the rates from so long after the first call. */
#define SETTLE_US (8 * US_PER_S)

/* Of the calls within their rate, what may be refused for it. */
#define REFUSED_MOST 0.05

/* Of the rate, what the hot account must get. */
#define USED_LEAST 0.7

/* One call in so many carries a key that nobody has. */
#define UNKNOWN_ONE_IN 50
#define UNKNOWN_KEY "key-of-nobody"

struct watched_account {
	char *name;
	char *key;
	char *second_key; /* of the last account, to be taken away */
	GArray *runs_us; /* of uint64_t */
	uint32_t asked; /* since it settled */
	uint32_t served;
	uint32_t over_quota;
};

struct watched_call {
	struct watched_account *account; /* NULL: a key of nobody */
	const char *key;
	uint64_t called_us;
};

struct account_watch {
	struct watched_account *accounts;
	uint32_t count;
	double per_s;
	GHashTable *calls; /* id -> struct watched_call */
	uint64_t first_us;
	uint64_t revoked_us; /* 0: not yet */
	uint32_t keys_seen; /* by servers */
	uint32_t misnamed; /* runs under another account's name */
	uint32_t unknown_runs;
	uint32_t late_runs; /* with a key that was taken away */
	uint64_t last_revoked_us; /* latest run with it, since then */
	uint32_t denied; /* 401 for a good key */
};

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

struct account_watch *account_watch_new(const char *text)
{
	struct account_watch *watch = g_new0(struct account_watch, 1);
	uint32_t i;

	if (sscanf(text, "%" SCNu32 ":%lf", &watch->count, &watch->per_s) !=
		    2 ||
	    watch->count < 2) {
		g_free(watch);
		return NULL;
	}
	watch->accounts = g_new0(struct watched_account, watch->count);
	watch->calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < watch->count; i++) {
		struct watched_account *account = &watch->accounts[i];

		account->name = g_strdup_printf("account-%u", i);
		account->key =
			g_strdup_printf("key-%u-%08x", i, g_random_int());
		account->runs_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	}
	watch->accounts[watch->count - 1].second_key =
		g_strdup_printf("key-second-%08x", g_random_int());
	return watch;
}

void account_watch_append(const struct account_watch *watch, GString *text)
{
	uint32_t i;

	g_string_append(text, ",\"tenants\":{");
	for (i = 0; i < watch->count; i++) {
		const struct watched_account *account = &watch->accounts[i];

		g_string_append_printf(text, "%s\"%s\":{\"api_keys\":[\"%s\"",
				       i ? "," : "", account->name,
				       account->key);
		if (account->second_key && !watch->revoked_us)
			g_string_append_printf(text, ",\"%s\"",
					       account->second_key);
		g_string_append_printf(
			text,
			"],\"priority\":1,\"rate_per_s\":%g,\"burst\":%g}",
			watch->per_s, watch->per_s);
	}
	g_string_append(text, "}");
}

void account_watch_revoke(struct account_watch *watch)
{
	watch->revoked_us = now_us();
}

static bool is_late(const struct account_watch *watch,
		    const struct watched_call *call)
{
	return call->account && call->key == call->account->second_key &&
	       watch->revoked_us &&
	       call->called_us > watch->revoked_us + REVOKED_US;
}

static bool holds_key(const struct message *request)
{
	GString *headers = g_string_new(NULL);
	bool found;

	message_copy_headers(request, NULL, headers);
	found = strstr(headers->str, "key-") != NULL ||
		message_header(request, "X-Api-Key") != NULL;
	g_string_free(headers, TRUE);
	return found;
}

static void on_run(void *context, const struct message *request)
{
	struct account_watch *watch = context;
	const char *name = message_header(request, "Lilacfield-Tenant");
	const char *id = message_header(request, "Lilacfield-Attempt-Id");
	const struct watched_call *call =
		id ? g_hash_table_lookup(watch->calls, id) : NULL;
	uint64_t at_us = now_us();

	watch->keys_seen += holds_key(request);
	if (!call)
		return;
	if (!call->account) {
		watch->unknown_runs++;
		return;
	}
	watch->late_runs += is_late(watch, call);
	if (watch->revoked_us && call->key == call->account->second_key)
		watch->last_revoked_us =
			MAX(watch->last_revoked_us, at_us - watch->revoked_us);
	watch->misnamed += !name || strcmp(name, call->account->name) != 0;
	g_array_append_val(call->account->runs_us, at_us);
}

void account_watch_add(struct account_watch *watch, struct app_stand *stand)
{
	app_stand_watch_runs(stand, on_run, watch);
}

const char *account_watch_call(struct account_watch *watch, const char *id)
{
	struct watched_call *call = g_new0(struct watched_call, 1);
	uint32_t which = 0;

	if (!watch->first_us)
		watch->first_us = now_us();
	call->called_us = now_us();
	call->key = UNKNOWN_KEY;
	if (g_random_int_range(0, 2))
		which = (uint32_t)g_random_int_range(1, (gint32)watch->count);
	if (g_random_int_range(0, UNKNOWN_ONE_IN)) {
		struct watched_account *account = &watch->accounts[which];

		call->account = account;
		call->key = account->key;
		if (account->second_key && g_random_int_range(0, 2))
			call->key = account->second_key;
		account->asked += call->called_us >
					  watch->first_us + SETTLE_US &&
				  !(watch->revoked_us &&
				    call->key == account->second_key);
	}
	g_hash_table_insert(watch->calls, g_strdup(id), call);
	return call->key;
}

bool account_watch_answered(struct account_watch *watch, const char *id,
			    uint16_t status)
{
	const struct watched_call *call = g_hash_table_lookup(watch->calls, id);

	if (!call->account)
		return status != 401 && status != 503;
	if (status == 401 &&
	    !(call->key == call->account->second_key && watch->revoked_us)) {
		watch->denied++;
		return true;
	}
	if (call->called_us > watch->first_us + SETTLE_US) {
		call->account->over_quota += status == 429;
		call->account->served += status == 200;
	}
	return false;
}

static uint32_t most_in_a_window(const GArray *runs_us)
{
	guint first = 0;
	uint32_t most = 0;
	guint i;

	for (i = 0; i < runs_us->len; i++) {
		uint64_t at_us = g_array_index(runs_us, uint64_t, i);

		while (at_us - g_array_index(runs_us, uint64_t, first) >=
		       WINDOW_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* Share of the rate that ran from when the nodes had settled on. */
static double used(const struct account_watch *watch, const GArray *runs_us)
{
	uint64_t from_us = watch->first_us + SETTLE_US;
	uint64_t last_us = from_us;
	uint32_t runs = 0;
	guint i;

	for (i = 0; i < runs_us->len; i++) {
		uint64_t at_us = g_array_index(runs_us, uint64_t, i);

		runs += at_us > from_us;
		last_us = MAX(last_us, at_us);
	}
	if (last_us == from_us)
		return 0;
	return runs * (double)US_PER_S /
	       (watch->per_s * (double)(last_us - from_us));
}

bool account_watch_report(const struct account_watch *watch)
{
	double allowed =
		(watch->per_s * WINDOW_US / (double)US_PER_S + watch->per_s) *
			(1 + OVERAGE) +
		SLACK;
	double hot = used(watch, watch->accounts[0].runs_us);
	uint32_t most = 0;
	uint32_t asked = 0;
	uint32_t refused = 0;
	uint32_t served = 0;
	double worst = 1;
	uint32_t i;

	for (i = 0; i < watch->count; i++)
		most = MAX(most, most_in_a_window(watch->accounts[i].runs_us));
	for (i = 1; i < watch->count; i++) {
		asked += watch->accounts[i].asked;
		refused += watch->accounts[i].over_quota;
		served += watch->accounts[i].served;
		worst = MIN(worst, (double)watch->accounts[i].served /
					   MAX(watch->accounts[i].asked, 1));
	}
	printf("%u accounts of %g a second: in 5 s at most %u ran, allowed %g; "
	       "hot one used %.2f of its rate; of the others' %u calls %u were "
	       "refused for it, %.3f served, of the worst one's %.3f\n"
	       "keys seen by servers %u, other names %u, runs without a key "
	       "%u, late with one taken away %u, the last %" PRIu64
	       " ms after, good keys denied %u\n",
	       watch->count, watch->per_s, most, allowed, hot, asked, refused,
	       (double)served / MAX(asked, 1), worst, watch->keys_seen,
	       watch->misnamed, watch->unknown_runs, watch->late_runs,
	       watch->last_revoked_us / US_PER_MS, watch->denied);
	return most > allowed || hot < USED_LEAST ||
	       refused > REFUSED_MOST * asked || watch->keys_seen ||
	       watch->misnamed || watch->unknown_runs || watch->late_runs ||
	       watch->denied;
}
