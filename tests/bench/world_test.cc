#include "bench/world.h"

#include <gtest/gtest.h>

#include <string>

/* Cases of the bench that run in less than a second, by name and service. */
static const char *const small_cases[][2] = {
	{ "steady-120", "inventario" },
	{ "place-lost", "pedidos" },
	{ "drain-80", "inventario" },
};

class WorldCase : public testing::TestWithParam<int>
{
      protected:
	void SetUp() override
	{
		for (uint32_t i = 0; i < world_case_count; i++)
			if (std::string(world_cases[i].name) ==
				    small_cases[GetParam()][0] &&
			    std::string(world_cases[i].shape->name) ==
				    small_cases[GetParam()][1])
				run = &world_cases[i];
		ASSERT_NE(nullptr, run);
		world_run_case(run, &ours, 1, &measure);
	}

	void TearDown() override
	{
		g_array_free(measure.latencies_us, TRUE);
	}

	const struct world_case *run = nullptr;
	struct world_measure measure = {};
};

TEST_P(WorldCase, OverloadsNothingRunsNothingTwiceLosesNothing)
{
	EXPECT_GT(measure.answered, 1000u);
	EXPECT_EQ(0u, measure.overload);
	EXPECT_EQ(0u, measure.doubled);
	EXPECT_EQ(0u, measure.to_leaving);
	EXPECT_LE(measure.extra_attempts * 10, measure.admitted + 100);
}

TEST_P(WorldCase, SameSeedSameResult)
{
	struct world_measure again;

	world_run_case(run, &ours, 1, &again);
	EXPECT_EQ(measure.offered, again.offered);
	EXPECT_EQ(measure.answered, again.answered);
	ASSERT_EQ(measure.latencies_us->len, again.latencies_us->len);
	EXPECT_EQ(0,
		  memcmp(measure.latencies_us->data, again.latencies_us->data,
			 again.latencies_us->len * sizeof(uint64_t)));
	g_array_free(again.latencies_us, TRUE);
}

INSTANTIATE_TEST_SUITE_P(Small, WorldCase, testing::Range(0, 3));
