#include "edge/heartbeat.h"

#include <string.h>

#include "core/duration.h"

/* Format version; nodes ignore datagrams of another one. */
#define HEARTBEAT_VERSION 11

/*
 * A suspect: fingerprint, crashes (incarnation, age, run time), number of
 * quarantines and time left of the latest, whether an operator set it, whether
 * it was cleared and how long ago, and its current run (incarnation and time
 * left). Times in ms.
 */
#define SUSPECT_TYPE "(ta(uuu)uubbuuu)"

/* Rates of servers: incarnation, rate per second, age in ms. */
#define RATES_TYPE "a(udu)"

/*
 * Tokens: incarnation or account, number requested, number lent, wait in ms,
 * whether they are an account's.
 */
#define TOKENS_TYPE "a(uuuqb)"

/* Servers' loads: incarnation, requests, work time in percent, age in ms. */
#define REPORTS_TYPE "a(uqqq)"

/*
 * Demand: service, region, age in ms, requests per 10 s by priority, and of the
 * largest accounts.
 */
#define DEMANDS_TYPE "a(uuqaua(uu))"

#define HEARTBEAT_TYPE                                     \
	"(ua(utbb)a(uuq)a(uu)a(uttuu)a" HEARTBEAT_ROW_TYPE \
	"a" SUSPECT_TYPE RATES_TYPE TOKENS_TYPE REPORTS_TYPE DEMANDS_TYPE ")"

void heartbeat_row_add(GVariantBuilder *rows, const struct heartbeat_row *row)
{
	g_variant_builder_add(rows, HEARTBEAT_ROW_TYPE, row->id, row->service,
			      row->domain, row->address.address,
			      (guint16)row->address.port, row->slots,
			      (gboolean)row->draining, row->cold_left_ms,
			      (guint64)row->started_ms,
			      (guint64)row->version.number, row->version.era);
}

static void add_suspect(GVariantBuilder *suspects,
			const struct suspect_update *update)
{
	GVariantBuilder crashes;
	uint32_t i;

	g_variant_builder_init(&crashes, G_VARIANT_TYPE("a(uuu)"));
	for (i = 0; i < update->crash_count; i++)
		g_variant_builder_add(
			&crashes, "(uuu)", update->crashes[i].incarnation,
			(guint32)(update->crashes[i].age_us / US_PER_MS),
			(guint32)(update->crashes[i].ran_us / US_PER_MS));
	g_variant_builder_add(
		suspects, SUSPECT_TYPE, (guint64)update->fingerprint, &crashes,
		update->rounds, (guint32)(update->left_us / US_PER_MS),
		(gboolean)update->by_hand, (gboolean)update->cleared,
		(guint32)(update->cleared_age_us / US_PER_MS),
		update->run_incarnation,
		(guint32)(update->run_left_us / US_PER_MS));
}

static void add_rates(GVariantBuilder *rates, const struct heartbeat *heartbeat)
{
	uint32_t i;

	g_variant_builder_init(rates, G_VARIANT_TYPE(RATES_TYPE));
	for (i = 0; i < heartbeat->rate_count; i++)
		g_variant_builder_add(
			rates, "(udu)", heartbeat->rates[i].incarnation,
			heartbeat->rates[i].per_s,
			(guint32)(heartbeat->rates[i].age_us / US_PER_MS));
}

static void add_tokens(GVariantBuilder *tokens,
		       const struct heartbeat *heartbeat)
{
	uint32_t i;

	g_variant_builder_init(tokens, G_VARIANT_TYPE(TOKENS_TYPE));
	for (i = 0; i < heartbeat->token_count; i++)
		g_variant_builder_add(
			tokens, "(uuuqb)", heartbeat->tokens[i].incarnation,
			heartbeat->tokens[i].requested,
			heartbeat->tokens[i].lent,
			(guint16)MIN(heartbeat->tokens[i].wait_ms, UINT16_MAX),
			(gboolean)heartbeat->tokens[i].is_account);
}

static void add_reports(GVariantBuilder *reports,
			const struct heartbeat *heartbeat)
{
	uint32_t i;

	g_variant_builder_init(reports, G_VARIANT_TYPE(REPORTS_TYPE));
	for (i = 0; i < heartbeat->report_count; i++)
		g_variant_builder_add(
			reports, "(uqqq)", heartbeat->reports[i].incarnation,
			(guint16)heartbeat->reports[i].total,
			(guint16)heartbeat->reports[i].work_percent,
			(guint16)heartbeat->reports[i].age_ms);
}

static void add_demand(GVariantBuilder *demands,
		       const struct heartbeat_demand *demand)
{
	GVariantBuilder levels;
	GVariantBuilder accounts;
	uint32_t i;

	g_variant_builder_init(&levels, G_VARIANT_TYPE("au"));
	for (i = 0; i < HEARTBEAT_DEMAND_LEVELS; i++)
		g_variant_builder_add(&levels, "u", demand->per_10s[i]);
	g_variant_builder_init(&accounts, G_VARIANT_TYPE("a(uu)"));
	for (i = 0; i < demand->account_count; i++)
		g_variant_builder_add(&accounts, "(uu)",
				      demand->accounts[i].account,
				      demand->accounts[i].per_10s);
	g_variant_builder_add(demands, "(uuqaua(uu))", demand->service,
			      demand->region, (guint16)demand->age_ms, &levels,
			      &accounts);
}

static void add_demands(GVariantBuilder *demands,
			const struct heartbeat *heartbeat)
{
	uint32_t i;

	g_variant_builder_init(demands, G_VARIANT_TYPE(DEMANDS_TYPE));
	for (i = 0; i < heartbeat->demand_count; i++)
		add_demand(demands, &heartbeat->demands[i]);
}

GBytes *heartbeat_encode(const struct heartbeat *heartbeat)
{
	GVariantBuilder members;
	GVariantBuilder pairs;
	GVariantBuilder loads;
	GVariantBuilder digests;
	GVariantBuilder rows;
	GVariantBuilder suspects;
	GVariantBuilder rates;
	GVariantBuilder tokens;
	GVariantBuilder reports;
	GVariantBuilder demands;
	GVariant *variant;
	GBytes *bytes;
	uint32_t i;

	g_variant_builder_init(&members, G_VARIANT_TYPE("a(utbb)"));
	for (i = 0; i < heartbeat->member_count; i++)
		g_variant_builder_add(
			&members, "(utbb)", heartbeat->members[i].member,
			(guint64)heartbeat->members[i].number,
			(gboolean)heartbeat->members[i].leaving,
			(gboolean)heartbeat->members[i].partitioned);
	g_variant_builder_init(&pairs, G_VARIANT_TYPE("a(uuq)"));
	for (i = 0; i < heartbeat->pair_count; i++)
		g_variant_builder_add(&pairs, "(uuq)",
				      heartbeat->pairs[i].pair.backend,
				      heartbeat->pairs[i].pair.object,
				      (guint16)heartbeat->pairs[i].ready_ms);
	g_variant_builder_init(&loads, G_VARIANT_TYPE("a(uu)"));
	for (i = 0; i < heartbeat->load_count; i++)
		g_variant_builder_add(&loads, "(uu)",
				      heartbeat->loads[i].incarnation,
				      heartbeat->loads[i].in_flight);
	g_variant_builder_init(&digests, G_VARIANT_TYPE("a(uttuu)"));
	for (i = 0; i < heartbeat->digest_count; i++)
		g_variant_builder_add(
			&digests, "(uttuu)", heartbeat->digests[i].table,
			(guint64)heartbeat->digests[i].digest,
			(guint64)heartbeat->digests[i].version.number,
			heartbeat->digests[i].age_ms,
			heartbeat->digests[i].version.era);
	g_variant_builder_init(&rows, G_VARIANT_TYPE("a" HEARTBEAT_ROW_TYPE));
	for (i = 0; i < heartbeat->row_count; i++)
		heartbeat_row_add(&rows, &heartbeat->rows[i]);
	g_variant_builder_init(&suspects, G_VARIANT_TYPE("a" SUSPECT_TYPE));
	for (i = 0; i < heartbeat->suspect_count; i++)
		add_suspect(&suspects, &heartbeat->suspects[i]);
	add_rates(&rates, heartbeat);
	add_tokens(&tokens, heartbeat);
	add_reports(&reports, heartbeat);
	add_demands(&demands, heartbeat);
	variant = g_variant_ref_sink(
		g_variant_new(HEARTBEAT_TYPE, HEARTBEAT_VERSION, &members,
			      &pairs, &loads, &digests, &rows, &suspects,
			      &rates, &tokens, &reports, &demands));
	bytes = g_variant_get_data_as_bytes(variant);
	g_variant_unref(variant);
	return bytes;
}

static void read_members(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 member;
	guint64 number;
	gboolean leaving;
	gboolean partitioned;

	while (heartbeat->member_count < HEARTBEAT_MAX_MEMBERS &&
	       g_variant_iter_next(iter, "(utbb)", &member, &number, &leaving,
				   &partitioned)) {
		struct heartbeat_member *entry =
			&heartbeat->members[heartbeat->member_count++];

		entry->member = member;
		entry->number = number;
		entry->leaving = leaving;
		entry->partitioned = partitioned;
	}
}

static void read_pairs(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 backend;
	guint32 object;
	guint16 ready_ms;

	while (heartbeat->pair_count < HEARTBEAT_MAX_PAIRS &&
	       g_variant_iter_next(iter, "(uuq)", &backend, &object,
				   &ready_ms)) {
		struct heartbeat_pair *pair =
			&heartbeat->pairs[heartbeat->pair_count++];

		pair->pair.backend = backend;
		pair->pair.object = object;
		pair->ready_ms = ready_ms;
	}
}

static void read_loads(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 backend;
	guint32 in_flight;

	while (heartbeat->load_count < HEARTBEAT_MAX_LOADS &&
	       g_variant_iter_next(iter, "(uu)", &backend, &in_flight)) {
		struct heartbeat_load *load =
			&heartbeat->loads[heartbeat->load_count++];

		load->incarnation = backend;
		load->in_flight = in_flight;
	}
}

static void read_digests(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 table;
	guint64 digest;
	guint64 version;
	guint32 age_ms;
	guint32 era;

	while (heartbeat->digest_count < HEARTBEAT_MAX_DIGESTS &&
	       g_variant_iter_next(iter, "(uttuu)", &table, &digest, &version,
				   &age_ms, &era)) {
		struct heartbeat_digest *entry =
			&heartbeat->digests[heartbeat->digest_count++];

		entry->table = table;
		entry->digest = digest;
		entry->version.number = version;
		entry->version.era = era;
		entry->age_ms = age_ms;
	}
}

bool heartbeat_row_next(GVariantIter *iter, struct heartbeat_row *row)
{
	const char *id;
	const char *service;
	const char *domain;
	const char *address;
	guint16 port;
	guint32 slots;
	gboolean draining;
	guint32 cold_left_ms;
	guint64 started_ms;
	guint64 version;
	guint32 era;

	if (!g_variant_iter_next(iter, "(&s&s&s&squbuttu)", &id, &service,
				 &domain, &address, &port, &slots, &draining,
				 &cold_left_ms, &started_ms, &version, &era))
		return false;
	g_strlcpy(row->id, id, sizeof(row->id));
	g_strlcpy(row->service, service, sizeof(row->service));
	g_strlcpy(row->domain, domain, sizeof(row->domain));
	g_strlcpy(row->address.address, address, sizeof(row->address.address));
	row->address.port = port;
	row->slots = slots;
	row->draining = draining;
	row->cold_left_ms = cold_left_ms;
	row->started_ms = started_ms;
	row->version.number = version;
	row->version.era = era;
	return true;
}

static void read_rows(GVariantIter *iter, struct heartbeat *heartbeat)
{
	while (heartbeat->row_count < HEARTBEAT_MAX_ROWS &&
	       heartbeat_row_next(iter, &heartbeat->rows[heartbeat->row_count]))
		heartbeat->row_count++;
}

/*
 * More crashes than a node may send are counted as one too many, so that the
 * update is rejected as invalid.
 */
static void read_crashes(GVariantIter *iter, struct suspect_update *update)
{
	guint32 incarnation;
	guint32 age_ms;
	guint32 ran_ms;

	while (update->crash_count <= SUSPECT_MAX_CRASHES &&
	       g_variant_iter_next(iter, "(uuu)", &incarnation, &age_ms,
				   &ran_ms)) {
		uint32_t at = update->crash_count++;

		if (at == SUSPECT_MAX_CRASHES)
			continue;
		update->crashes[at].incarnation = incarnation;
		update->crashes[at].age_us = age_ms * US_PER_MS;
		update->crashes[at].ran_us = ran_ms * US_PER_MS;
	}
}

static void read_suspects(GVariantIter *iter, struct heartbeat *heartbeat)
{
	GVariantIter *crashes;
	guint64 fingerprint;
	guint32 rounds;
	guint32 left_ms;
	gboolean by_hand;
	gboolean cleared;
	guint32 cleared_age_ms;
	guint32 run_incarnation;
	guint32 run_left_ms;

	while (heartbeat->suspect_count < HEARTBEAT_MAX_SUSPECTS &&
	       g_variant_iter_next(iter, SUSPECT_TYPE, &fingerprint, &crashes,
				   &rounds, &left_ms, &by_hand, &cleared,
				   &cleared_age_ms, &run_incarnation,
				   &run_left_ms)) {
		struct suspect_update *update =
			&heartbeat->suspects[heartbeat->suspect_count++];

		update->fingerprint = fingerprint;
		read_crashes(crashes, update);
		update->rounds = rounds;
		update->left_us = left_ms * US_PER_MS;
		update->by_hand = by_hand;
		update->cleared = cleared;
		update->cleared_age_us = cleared_age_ms * US_PER_MS;
		update->run_incarnation = run_incarnation;
		update->run_left_us = run_left_ms * US_PER_MS;
		g_variant_iter_free(crashes);
	}
}

static void read_rates(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 incarnation;
	double per_s;
	guint32 age_ms;

	while (heartbeat->rate_count < HEARTBEAT_MAX_RATES &&
	       g_variant_iter_next(iter, "(udu)", &incarnation, &per_s,
				   &age_ms)) {
		struct rate_update *update =
			&heartbeat->rates[heartbeat->rate_count++];

		update->incarnation = incarnation;
		update->per_s = per_s;
		update->age_us = age_ms * US_PER_MS;
	}
}

static void read_tokens(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 incarnation;
	guint32 requested;
	guint32 lent;
	guint16 wait_ms;
	gboolean is_account;

	while (heartbeat->token_count < HEARTBEAT_MAX_TOKENS &&
	       g_variant_iter_next(iter, "(uuuqb)", &incarnation, &requested,
				   &lent, &wait_ms, &is_account)) {
		struct heartbeat_token *token =
			&heartbeat->tokens[heartbeat->token_count++];

		token->incarnation = incarnation;
		token->requested = requested;
		token->lent = lent;
		token->wait_ms = wait_ms;
		token->is_account = is_account;
	}
}

static void read_reports(GVariantIter *iter, struct heartbeat *heartbeat)
{
	guint32 incarnation;
	guint16 total;
	guint16 work_percent;
	guint16 age_ms;

	while (heartbeat->report_count < HEARTBEAT_MAX_REPORTS &&
	       g_variant_iter_next(iter, "(uqqq)", &incarnation, &total,
				   &work_percent, &age_ms)) {
		struct heartbeat_report *report =
			&heartbeat->reports[heartbeat->report_count++];

		report->incarnation = incarnation;
		report->total = total;
		report->work_percent = work_percent;
		report->age_ms = age_ms;
	}
}

static void read_demand(GVariantIter *levels, GVariantIter *accounts,
			struct heartbeat_demand *demand)
{
	guint32 account;
	guint32 per_10s;
	uint32_t i;

	for (i = 0; i < HEARTBEAT_DEMAND_LEVELS &&
		    g_variant_iter_next(levels, "u", &per_10s);
	     i++)
		demand->per_10s[i] = per_10s;
	while (demand->account_count < HEARTBEAT_DEMAND_ACCOUNTS &&
	       g_variant_iter_next(accounts, "(uu)", &account, &per_10s)) {
		struct heartbeat_account_demand *entry =
			&demand->accounts[demand->account_count++];

		entry->account = account;
		entry->per_10s = per_10s;
	}
}

static void read_demands(GVariantIter *iter, struct heartbeat *heartbeat)
{
	GVariantIter *levels;
	GVariantIter *accounts;
	guint32 service;
	guint32 region;
	guint16 age_ms;

	while (heartbeat->demand_count < HEARTBEAT_MAX_DEMANDS &&
	       g_variant_iter_next(iter, "(uuqaua(uu))", &service, &region,
				   &age_ms, &levels, &accounts)) {
		struct heartbeat_demand *demand =
			&heartbeat->demands[heartbeat->demand_count++];

		demand->service = service;
		demand->region = region;
		demand->age_ms = age_ms;
		read_demand(levels, accounts, demand);
		g_variant_iter_free(levels);
		g_variant_iter_free(accounts);
	}
}

bool heartbeat_decode(const void *bytes, size_t length,
		      struct heartbeat *heartbeat)
{
	GVariant *variant;
	GVariantIter *members;
	GVariantIter *pairs;
	GVariantIter *loads;
	GVariantIter *digests;
	GVariantIter *rows;
	GVariantIter *suspects;
	GVariantIter *rates;
	GVariantIter *tokens;
	GVariantIter *reports;
	GVariantIter *demands;
	guint32 version;
	gpointer copy;

	memset(heartbeat, 0, sizeof(*heartbeat));
	if (!length || length > HEARTBEAT_MAX_BYTES)
		return false;
	/* GVariant needs aligned bytes; memory of the heap is. */
	copy = g_memdup2(bytes, length);
	variant = g_variant_ref_sink(
		g_variant_new_from_data(G_VARIANT_TYPE(HEARTBEAT_TYPE), copy,
					length, FALSE, g_free, copy));
	if (!g_variant_is_normal_form(variant)) {
		g_variant_unref(variant);
		return false;
	}
	g_variant_get(variant, HEARTBEAT_TYPE, &version, &members, &pairs,
		      &loads, &digests, &rows, &suspects, &rates, &tokens,
		      &reports, &demands);
	if (version == HEARTBEAT_VERSION) {
		read_members(members, heartbeat);
		read_pairs(pairs, heartbeat);
		read_loads(loads, heartbeat);
		read_digests(digests, heartbeat);
		read_rows(rows, heartbeat);
		read_suspects(suspects, heartbeat);
		read_rates(rates, heartbeat);
		read_tokens(tokens, heartbeat);
		read_reports(reports, heartbeat);
		read_demands(demands, heartbeat);
	}
	g_variant_iter_free(members);
	g_variant_iter_free(pairs);
	g_variant_iter_free(loads);
	g_variant_iter_free(digests);
	g_variant_iter_free(rows);
	g_variant_iter_free(suspects);
	g_variant_iter_free(rates);
	g_variant_iter_free(tokens);
	g_variant_iter_free(reports);
	g_variant_iter_free(demands);
	g_variant_unref(variant);
	return heartbeat->member_count > 0;
}
