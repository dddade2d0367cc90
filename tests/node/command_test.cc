#include <gtest/gtest.h>
#include <jansson.h>

#include "node/command.h"
#include "node/fakes.h"

class Command : public testing::Test
{
      protected:
	void SetUp() override
	{
		metrics_open();
		fake = new fake_node;
		fake->platform.rows["config/current"] = { 1, fake_document };
		fake->apply_everywhere(1);
	}

	void TearDown() override
	{
		delete fake;
		metrics_close();
	}

	enum result run(const char *sentence, const char *id,
			uint64_t *version = nullptr)
	{
		json_t *body =
			json_pack("{s:s, s:s}", "sentence", sentence, "id", id);
		char *text = json_dumps(body, 0);
		char *answer = nullptr;
		enum result result =
			command_run(fake->node, text, strlen(text), &answer);
		json_t *root = json_loads(answer ? answer : "", 0, nullptr);

		if (version)
			*version = json_integer_value(
				json_object_get(root, "version"));
		json_decref(root);
		g_free(answer);
		free(text);
		json_decref(body);
		return result;
	}

	uint64_t row_version()
	{
		return fake->platform.rows["config/current"].first;
	}

	fake_node *fake;
};

TEST_F(Command, IsTakenInOnce)
{
	uint64_t version = 0;

	EXPECT_EQ(RESULT_OK, run("drain place sur-1", "c1", &version));
	EXPECT_EQ(2u, version);
	EXPECT_EQ(RESULT_OK, run("drain place sur-1", "c1", &version));
	EXPECT_EQ(2u, version);
	EXPECT_EQ(2u, row_version());
}

/*
 * An operator's drain is written, and the platform's answer is lost. Trying
 * again blindly would report a conflict with the operator's own command; the
 * id in the row shows that it was taken in.
 */
TEST_F(Command, LostAnswerIsSettledByReadingTheIdBack)
{
	uint64_t version = 0;

	fake->platform.lose_answers = 1;
	EXPECT_EQ(RESULT_OK, run("drain place sur-1", "c1", &version));
	EXPECT_EQ(2u, version);
	EXPECT_EQ(2u, row_version());
}

/*
 * The write took effect, its answer was lost and the platform stays away.
 * "Unavailable" would be read as "not taken in", and the operator would be
 * surprised by a drain that nobody commanded.
 */
TEST_F(Command, WhatCanNotBeSettledIsSaidSo)
{
	fake->platform.lose_answers = 1;
	fake->platform.down_after_loss = true;
	EXPECT_EQ(RESULT_UNSETTLED, run("drain place sur-1", "c1"));
}

/* Two operators at the same moment: the later one is applied to the newer. */
TEST_F(Command, RaceIsAppliedAnewOnWhatIsThere)
{
	uint64_t version = 0;

	fake->platform.steal = 1;
	EXPECT_EQ(RESULT_OK, run("drain place sur-1", "c1", &version));
	EXPECT_EQ(3u, version);
}

/* Nothing was written, so nothing is unsettled. */
TEST_F(Command, RaceLostEachTimeIsAConflict)
{
	fake->platform.steal = 100;
	EXPECT_EQ(RESULT_CONFLICT, run("drain place sur-1", "c1"));
}

TEST_F(Command, IsInForceAtTheNodeThatTookItAtOnce)
{
	EXPECT_EQ(RESULT_OK, run("drain place sur-1", "c1"));
	EXPECT_EQ(2u, state_version(fake->node));
}

/* Each drains one of the two places; both together would stop the service. */
TEST_F(Command, SecondOfTwoThatDoNotGoTogetherIsAConflict)
{
	EXPECT_EQ(RESULT_OK, run("drain place sur-1", "c1"));
	EXPECT_EQ(RESULT_CONFLICT, run("drain place central-1", "c2"));
	EXPECT_EQ(2u, row_version());
}

TEST_F(Command, OutageAndBadInputAreNumbered)
{
	struct {
		const char *sentence;
		int down;
		enum result result;
	} cases[] = {
		{ "drain place sur-1", 1, RESULT_PLATFORM_UNAVAILABLE },
		{ "drain place nowhere", 0, RESULT_UNKNOWN_NAME },
		{ "dance place sur-1", 0, RESULT_SYNTAX },
		{ "show places", 0, RESULT_OK },
		{ "show version", 0, RESULT_OK },
		{ "where historia from central-1", 0, RESULT_OK },
		{ "where nothing from central-1", 0, RESULT_UNKNOWN_NAME },
	};

	for (const auto &c : cases) {
		fake->platform.down = c.down;
		EXPECT_EQ(c.result, run(c.sentence, "c9")) << c.sentence;
	}
	EXPECT_EQ(1u, row_version());
}
