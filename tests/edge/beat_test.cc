/* Datagrams between nodes: they come whole, cut, spoiled, or from elsewhere. */
#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>

#include "edge/beat.h"

namespace
{

struct beat full_beat()
{
	struct beat beat = {};

	for (uint32_t i = 0; i < 3; i++)
		beat.lives[beat.life_count++] = { i + 1, 100 + i, i == 2 };
	for (uint32_t i = 0; i < 20; i++)
		beat.pairs[beat.pair_count++] = { { i, i * 7 }, (uint16_t)i };
	for (uint32_t i = 0; i < 10; i++)
		beat.loads[beat.load_count++] = { i, i + 1 };
	beat.vouches[beat.vouch_count++] = { 1, 0x1234567890abcdefull, 3148,
					     250 };
	for (uint32_t i = 0; i < 2; i++) {
		struct beat_row *row = &beat.rows[beat.row_count++];

		g_strlcpy(row->id, i ? "i-left" : "i-1", sizeof(row->id));
		if (!i)
			g_strlcpy(row->service, "s", sizeof(row->service));
		g_strlcpy(row->address.address, "10.0.0.1",
			  sizeof(row->address.address));
		row->address.port = 80;
		row->slots = 3;
		row->draining = !i;
		row->cold_left_ms = 1200;
		row->started_ms = 1777081648000ull + i;
		row->version = 5166 + i;
	}
	return beat;
}

std::string encode(const struct beat &beat)
{
	GBytes *bytes = beat_encode(&beat);
	gsize length;
	const char *data =
		static_cast<const char *>(g_bytes_get_data(bytes, &length));
	std::string text(data, length);

	g_bytes_unref(bytes);
	return text;
}

TEST(BeatTest, ComesBackAsItWent)
{
	struct beat sent = full_beat();
	struct beat got;
	std::string bytes = encode(sent);

	ASSERT_LE(bytes.size(), (size_t)BEAT_MAX_BYTES);
	ASSERT_TRUE(beat_decode(bytes.data(), bytes.size(), &got));
	EXPECT_EQ(3u, got.life_count);
	EXPECT_EQ(102u, got.lives[2].number);
	EXPECT_TRUE(got.lives[2].leaving);
	EXPECT_EQ(20u, got.pair_count);
	EXPECT_EQ(133u, got.pairs[19].pair.object);
	EXPECT_EQ(19u, got.pairs[19].ready_ms);
	EXPECT_EQ(10u, got.loads[9].in_flight);
	EXPECT_EQ(sent.vouches[0].digest, got.vouches[0].digest);
	EXPECT_EQ(3148u, got.vouches[0].version);
	EXPECT_EQ(250u, got.vouches[0].age_ms);
	EXPECT_EQ(5167u, got.rows[1].version);
	EXPECT_STREQ("i-left", got.rows[1].id);
	EXPECT_STREQ("", got.rows[1].service);
	EXPECT_TRUE(got.rows[0].draining);
	EXPECT_EQ(80, got.rows[0].address.port);
	EXPECT_EQ(1777081648001u, got.rows[1].started_ms);
}

/* The fullest beat that a node makes still fits into one frame. */
TEST(BeatTest, TheFullestFitsIntoAFrame)
{
	struct beat beat = {};

	beat.life_count = BEAT_MAX_LIVES;
	beat.pair_count = BEAT_MAX_PAIRS;
	beat.load_count = BEAT_MAX_LOADS;
	beat.vouch_count = BEAT_MAX_VOUCHES;
	EXPECT_LE(encode(beat).size(), (size_t)BEAT_MAX_BYTES);
}

/* The words that go to all at once, as many as one datagram may hold. */
TEST(BeatTest, TheMostWordsFitIntoAFrame)
{
	struct beat beat = {};
	struct beat got;

	beat.life_count = 1;
	beat.suspect_count = BEAT_MAX_SUSPECTS;
	for (struct suspect_update &word : beat.suspects)
		word.crash_count = SUSPECT_MAX_CRASHES;
	beat.rate_count = BEAT_MAX_RATES;
	beat.rates[19] = { 7, 1.8, 2000000 };
	beat.token_count = BEAT_MAX_TOKENS;
	beat.tokens[7] = { 9, false, true, 250 };
	std::string bytes = encode(beat);
	ASSERT_LE(bytes.size(), (size_t)BEAT_MAX_BYTES);
	ASSERT_TRUE(beat_decode(bytes.data(), bytes.size(), &got));
	EXPECT_EQ(7u, got.rates[19].incarnation);
	EXPECT_DOUBLE_EQ(1.8, got.rates[19].per_s);
	EXPECT_EQ(2000000u, got.rates[19].age_us);
	EXPECT_EQ(9u, got.tokens[7].life);
	EXPECT_TRUE(got.tokens[7].lent);
	EXPECT_EQ(250u, got.tokens[7].wait_ms);
}

TEST(BeatTest, WhatIsNoBeatIsNotRead)
{
	std::string bytes = encode(full_beat());
	std::mt19937 random(5);
	struct beat got;

	EXPECT_FALSE(beat_decode("", 0, &got));
	EXPECT_FALSE(beat_decode("hello", 5, &got));
	EXPECT_FALSE(beat_decode(std::string(5000, 'x').data(), 5000, &got));
	for (int round = 0; round < 5000; round++) {
		std::string spoiled = bytes;

		for (int i = 0; i < 3; i++)
			spoiled[random() % spoiled.size()] = (char)random();
		spoiled.resize(1 + random() % spoiled.size());
		if (!beat_decode(spoiled.data(), spoiled.size(), &got))
			continue;
		EXPECT_LE(got.life_count, (uint32_t)BEAT_MAX_LIVES);
		EXPECT_LE(got.row_count, (uint32_t)BEAT_MAX_ROWS);
	}
}

} // namespace
