#include "edge/beat.h"

#include <string.h>

#include "core/duration.h"

/* Format version, so that nodes of two versions ignore each other's news. */
#define BEAT_VERSION 7

/*
 * A suspect: fingerprint, crashes (life, age, run), quarantines and what is
 * left of the latest, whether it is an operator's, its clearing (if any, and
 * age), and its run (life and time left). Times in ms.
 */
#define SUSPECT_TYPE "(ta(uuu)uubbuuu)"

/* Rates that servers named: life, rate, age in ms. */
#define RATES_TYPE "a(udu)"

/* Tokens: life, how many are asked for, how many are lent, wait in ms. */
#define TOKENS_TYPE "a(uuuu)"

#define BEAT_TYPE                                   \
	"(ua(utb)a(uuq)a(uu)a(uttu)a" BEAT_ROW_TYPE \
	"a" SUSPECT_TYPE RATES_TYPE TOKENS_TYPE ")"

void beat_row_add(GVariantBuilder *rows, const struct beat_row *row)
{
	g_variant_builder_add(rows, BEAT_ROW_TYPE, row->id, row->service,
			      row->domain, row->address.address,
			      (guint16)row->address.port, row->slots,
			      (gboolean)row->draining, row->cold_left_ms,
			      (guint64)row->started_ms, (guint64)row->version);
}

static void add_suspect(GVariantBuilder *suspects,
			const struct suspect_update *word)
{
	GVariantBuilder crashes;
	uint32_t i;

	g_variant_builder_init(&crashes, G_VARIANT_TYPE("a(uuu)"));
	for (i = 0; i < word->crash_count; i++)
		g_variant_builder_add(
			&crashes, "(uuu)", word->crashes[i].life,
			(guint32)(word->crashes[i].age_us / US_PER_MS),
			(guint32)(word->crashes[i].ran_us / US_PER_MS));
	g_variant_builder_add(suspects, SUSPECT_TYPE,
			      (guint64)word->fingerprint, &crashes,
			      word->rounds,
			      (guint32)(word->left_us / US_PER_MS),
			      (gboolean)word->by_hand, (gboolean)word->cleared,
			      (guint32)(word->cleared_age_us / US_PER_MS),
			      word->run_incarnation,
			      (guint32)(word->run_left_us / US_PER_MS));
}

static void add_rates(GVariantBuilder *rates, const struct beat *beat)
{
	uint32_t i;

	g_variant_builder_init(rates, G_VARIANT_TYPE(RATES_TYPE));
	for (i = 0; i < beat->rate_count; i++)
		g_variant_builder_add(
			rates, "(udu)", beat->rates[i].incarnation,
			beat->rates[i].per_s,
			(guint32)(beat->rates[i].age_us / US_PER_MS));
}

static void add_tokens(GVariantBuilder *tokens, const struct beat *beat)
{
	uint32_t i;

	g_variant_builder_init(tokens, G_VARIANT_TYPE(TOKENS_TYPE));
	for (i = 0; i < beat->token_count; i++)
		g_variant_builder_add(tokens, "(uuuu)", beat->tokens[i].life,
				      beat->tokens[i].asked,
				      beat->tokens[i].lent,
				      beat->tokens[i].wait_ms);
}

GBytes *beat_encode(const struct beat *beat)
{
	GVariantBuilder lives;
	GVariantBuilder pairs;
	GVariantBuilder loads;
	GVariantBuilder vouches;
	GVariantBuilder rows;
	GVariantBuilder suspects;
	GVariantBuilder rates;
	GVariantBuilder tokens;
	GVariant *variant;
	GBytes *bytes;
	uint32_t i;

	g_variant_builder_init(&lives, G_VARIANT_TYPE("a(utb)"));
	for (i = 0; i < beat->life_count; i++)
		g_variant_builder_add(&lives, "(utb)", beat->lives[i].member,
				      (guint64)beat->lives[i].number,
				      (gboolean)beat->lives[i].leaving);
	g_variant_builder_init(&pairs, G_VARIANT_TYPE("a(uuq)"));
	for (i = 0; i < beat->pair_count; i++)
		g_variant_builder_add(&pairs, "(uuq)",
				      beat->pairs[i].pair.backend,
				      beat->pairs[i].pair.object,
				      (guint16)beat->pairs[i].ready_ms);
	g_variant_builder_init(&loads, G_VARIANT_TYPE("a(uu)"));
	for (i = 0; i < beat->load_count; i++)
		g_variant_builder_add(&loads, "(uu)", beat->loads[i].backend,
				      beat->loads[i].in_flight);
	g_variant_builder_init(&vouches, G_VARIANT_TYPE("a(uttu)"));
	for (i = 0; i < beat->vouch_count; i++)
		g_variant_builder_add(&vouches, "(uttu)",
				      beat->vouches[i].table,
				      (guint64)beat->vouches[i].digest,
				      (guint64)beat->vouches[i].version,
				      beat->vouches[i].age_ms);
	g_variant_builder_init(&rows, G_VARIANT_TYPE("a" BEAT_ROW_TYPE));
	for (i = 0; i < beat->row_count; i++)
		beat_row_add(&rows, &beat->rows[i]);
	g_variant_builder_init(&suspects, G_VARIANT_TYPE("a" SUSPECT_TYPE));
	for (i = 0; i < beat->suspect_count; i++)
		add_suspect(&suspects, &beat->suspects[i]);
	add_rates(&rates, beat);
	add_tokens(&tokens, beat);
	variant = g_variant_ref_sink(
		g_variant_new(BEAT_TYPE, BEAT_VERSION, &lives, &pairs, &loads,
			      &vouches, &rows, &suspects, &rates, &tokens));
	bytes = g_variant_get_data_as_bytes(variant);
	g_variant_unref(variant);
	return bytes;
}

static void read_lives(GVariantIter *iter, struct beat *beat)
{
	guint32 member;
	guint64 number;
	gboolean leaving;

	while (beat->life_count < BEAT_MAX_LIVES &&
	       g_variant_iter_next(iter, "(utb)", &member, &number, &leaving)) {
		struct beat_life *life = &beat->lives[beat->life_count++];

		life->member = member;
		life->number = number;
		life->leaving = leaving;
	}
}

static void read_pairs(GVariantIter *iter, struct beat *beat)
{
	guint32 backend;
	guint32 object;
	guint16 ready_ms;

	while (beat->pair_count < BEAT_MAX_PAIRS &&
	       g_variant_iter_next(iter, "(uuq)", &backend, &object,
				   &ready_ms)) {
		struct beat_pair *pair = &beat->pairs[beat->pair_count++];

		pair->pair.backend = backend;
		pair->pair.object = object;
		pair->ready_ms = ready_ms;
	}
}

static void read_loads(GVariantIter *iter, struct beat *beat)
{
	guint32 backend;
	guint32 in_flight;

	while (beat->load_count < BEAT_MAX_LOADS &&
	       g_variant_iter_next(iter, "(uu)", &backend, &in_flight)) {
		struct beat_load *load = &beat->loads[beat->load_count++];

		load->backend = backend;
		load->in_flight = in_flight;
	}
}

static void read_vouches(GVariantIter *iter, struct beat *beat)
{
	guint32 table;
	guint64 digest;
	guint64 version;
	guint32 age_ms;

	while (beat->vouch_count < BEAT_MAX_VOUCHES &&
	       g_variant_iter_next(iter, "(uttu)", &table, &digest, &version,
				   &age_ms)) {
		struct beat_vouch *vouch = &beat->vouches[beat->vouch_count++];

		vouch->table = table;
		vouch->digest = digest;
		vouch->version = version;
		vouch->age_ms = age_ms;
	}
}

bool beat_row_next(GVariantIter *iter, struct beat_row *row)
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

	if (!g_variant_iter_next(iter, "(&s&s&s&squbutt)", &id, &service,
				 &domain, &address, &port, &slots, &draining,
				 &cold_left_ms, &started_ms, &version))
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
	row->version = version;
	return true;
}

static void read_rows(GVariantIter *iter, struct beat *beat)
{
	while (beat->row_count < BEAT_MAX_ROWS &&
	       beat_row_next(iter, &beat->rows[beat->row_count]))
		beat->row_count++;
}

/* More crashes than a node tells are told as one too many: a bad word. */
static void read_crashes(GVariantIter *iter, struct suspect_update *word)
{
	guint32 life;
	guint32 age_ms;
	guint32 ran_ms;

	while (word->crash_count <= SUSPECT_MAX_CRASHES &&
	       g_variant_iter_next(iter, "(uuu)", &life, &age_ms, &ran_ms)) {
		uint32_t at = word->crash_count++;

		if (at == SUSPECT_MAX_CRASHES)
			continue;
		word->crashes[at].life = life;
		word->crashes[at].age_us = age_ms * US_PER_MS;
		word->crashes[at].ran_us = ran_ms * US_PER_MS;
	}
}

static void read_suspects(GVariantIter *iter, struct beat *beat)
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

	while (beat->suspect_count < BEAT_MAX_SUSPECTS &&
	       g_variant_iter_next(iter, SUSPECT_TYPE, &fingerprint, &crashes,
				   &rounds, &left_ms, &by_hand, &cleared,
				   &cleared_age_ms, &run_incarnation,
				   &run_left_ms)) {
		struct suspect_update *word =
			&beat->suspects[beat->suspect_count++];

		word->fingerprint = fingerprint;
		read_crashes(crashes, word);
		word->rounds = rounds;
		word->left_us = left_ms * US_PER_MS;
		word->by_hand = by_hand;
		word->cleared = cleared;
		word->cleared_age_us = cleared_age_ms * US_PER_MS;
		word->run_incarnation = run_incarnation;
		word->run_left_us = run_left_ms * US_PER_MS;
		g_variant_iter_free(crashes);
	}
}

static void read_rates(GVariantIter *iter, struct beat *beat)
{
	guint32 life;
	double per_s;
	guint32 age_ms;

	while (beat->rate_count < BEAT_MAX_RATES &&
	       g_variant_iter_next(iter, "(udu)", &life, &per_s, &age_ms)) {
		struct rate_update *word = &beat->rates[beat->rate_count++];

		word->incarnation = life;
		word->per_s = per_s;
		word->age_us = age_ms * US_PER_MS;
	}
}

static void read_tokens(GVariantIter *iter, struct beat *beat)
{
	guint32 life;
	guint32 asked;
	guint32 lent;
	guint32 wait_ms;

	while (beat->token_count < BEAT_MAX_TOKENS &&
	       g_variant_iter_next(iter, "(uuuu)", &life, &asked, &lent,
				   &wait_ms)) {
		struct beat_token *token = &beat->tokens[beat->token_count++];

		token->life = life;
		token->asked = asked;
		token->lent = lent;
		token->wait_ms = wait_ms;
	}
}

bool beat_decode(const void *bytes, size_t length, struct beat *beat)
{
	GVariant *variant;
	GVariantIter *lives;
	GVariantIter *pairs;
	GVariantIter *loads;
	GVariantIter *vouches;
	GVariantIter *rows;
	GVariantIter *suspects;
	GVariantIter *rates;
	GVariantIter *tokens;
	guint32 version;
	gpointer copy;

	memset(beat, 0, sizeof(*beat));
	if (!length || length > BEAT_MAX_BYTES)
		return false;
	/* GVariant wants its bytes aligned, which a copy of the heap is. */
	copy = g_memdup2(bytes, length);
	variant = g_variant_ref_sink(g_variant_new_from_data(
		G_VARIANT_TYPE(BEAT_TYPE), copy, length, FALSE, g_free, copy));
	if (!g_variant_is_normal_form(variant)) {
		g_variant_unref(variant);
		return false;
	}
	g_variant_get(variant, BEAT_TYPE, &version, &lives, &pairs, &loads,
		      &vouches, &rows, &suspects, &rates, &tokens);
	if (version == BEAT_VERSION) {
		read_lives(lives, beat);
		read_pairs(pairs, beat);
		read_loads(loads, beat);
		read_vouches(vouches, beat);
		read_rows(rows, beat);
		read_suspects(suspects, beat);
		read_rates(rates, beat);
		read_tokens(tokens, beat);
	}
	g_variant_iter_free(lives);
	g_variant_iter_free(pairs);
	g_variant_iter_free(loads);
	g_variant_iter_free(vouches);
	g_variant_iter_free(rows);
	g_variant_iter_free(suspects);
	g_variant_iter_free(rates);
	g_variant_iter_free(tokens);
	g_variant_unref(variant);
	return beat->life_count > 0;
}
