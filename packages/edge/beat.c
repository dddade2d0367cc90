#include "edge/beat.h"

#include <string.h>

/* Format version, so that nodes of two versions ignore each other's news. */
#define BEAT_VERSION 1

#define BEAT_TYPE "(ua(utb)a(uu)a(uu))"

GBytes *beat_encode(const struct beat *beat)
{
	GVariantBuilder lives;
	GVariantBuilder pairs;
	GVariantBuilder loads;
	GVariant *variant;
	GBytes *bytes;
	uint32_t i;

	g_variant_builder_init(&lives, G_VARIANT_TYPE("a(utb)"));
	for (i = 0; i < beat->life_count; i++)
		g_variant_builder_add(&lives, "(utb)", beat->lives[i].member,
				      (guint64)beat->lives[i].number,
				      (gboolean)beat->lives[i].leaving);
	g_variant_builder_init(&pairs, G_VARIANT_TYPE("a(uu)"));
	for (i = 0; i < beat->pair_count; i++)
		g_variant_builder_add(&pairs, "(uu)", beat->pairs[i].backend,
				      beat->pairs[i].object);
	g_variant_builder_init(&loads, G_VARIANT_TYPE("a(uu)"));
	for (i = 0; i < beat->load_count; i++)
		g_variant_builder_add(&loads, "(uu)", beat->loads[i].backend,
				      beat->loads[i].in_flight);
	variant = g_variant_ref_sink(
		g_variant_new(BEAT_TYPE, BEAT_VERSION, &lives, &pairs, &loads));
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

	while (beat->pair_count < BEAT_MAX_PAIRS &&
	       g_variant_iter_next(iter, "(uu)", &backend, &object)) {
		struct warm_pair *pair = &beat->pairs[beat->pair_count++];

		pair->backend = backend;
		pair->object = object;
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

bool beat_decode(const void *bytes, size_t length, struct beat *beat)
{
	GVariant *variant;
	GVariantIter *lives;
	GVariantIter *pairs;
	GVariantIter *loads;
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
	g_variant_get(variant, BEAT_TYPE, &version, &lives, &pairs, &loads);
	if (version == BEAT_VERSION) {
		read_lives(lives, beat);
		read_pairs(pairs, beat);
		read_loads(loads, beat);
	}
	g_variant_iter_free(lives);
	g_variant_iter_free(pairs);
	g_variant_iter_free(loads);
	g_variant_unref(variant);
	return beat->life_count > 0;
}
