#include <gtest/gtest.h>

#include "core/stop_plan.h"

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t AT = 1000 * MS; /* the signal */

struct stop_plan_case {
	const char *name;
	uint64_t keep_ms;
	uint64_t max_ms;
	uint64_t closes_ms; /* these three since the signal */
	uint64_t ends_ms;
	uint64_t exits_ms;
};

const stop_plan_case stop_plan_cases[] = {
	{ "Usual", 1000, 6000, 3000, 5700, 5900 },
	{ "LookupsKeptLong", 5000, 6000, 3000, 5700, 5900 },
	{ "LongStop", 1000, 30000, 3000, 29700, 29900 },
	{ "ShortStop", 1000, 200, 100, 150, 150 },
	{ "NoTime", 1000, 0, 0, 0, 0 },
};

class StopPlanTest : public ::testing::TestWithParam<stop_plan_case>
{
};

TEST_P(StopPlanTest, MomentsAreInOrderAndBeforeTheKill)
{
	const stop_plan_case &c = GetParam();
	struct stop_plan plan = {};

	stop_plan_begin(&plan, AT, c.keep_ms * MS, c.max_ms * MS);
	EXPECT_EQ(AT, plan.began_us);
	EXPECT_EQ(AT + c.closes_ms * MS, plan.closes_us);
	EXPECT_EQ(AT + c.ends_ms * MS, plan.ends_us);
	EXPECT_EQ(AT + c.exits_ms * MS, plan.exits_us);
}

/* Guards against requests that are sent and cut when the node's stop ends. */
TEST_P(StopPlanTest, AllowsWhatIsDueBeforeTheEnd)
{
	struct stop_plan plan = {};

	EXPECT_TRUE(stop_plan_allows(&plan, UINT64_MAX));
	stop_plan_begin(&plan, AT, GetParam().keep_ms * MS,
			GetParam().max_ms * MS);
	EXPECT_TRUE(stop_plan_allows(&plan, plan.ends_us));
	EXPECT_FALSE(stop_plan_allows(&plan, plan.ends_us + 1));
}

/* Guards against settings or signals that move the end of a stop. */
TEST_P(StopPlanTest, StaysAsItWasMade)
{
	struct stop_plan plan = {};

	stop_plan_begin(&plan, AT, GetParam().keep_ms * MS,
			GetParam().max_ms * MS);
	stop_plan_begin(&plan, 3 * AT, 7 * MS, 60000 * MS);
	EXPECT_EQ(AT, plan.began_us);
	EXPECT_EQ(AT + GetParam().ends_ms * MS, plan.ends_us);
}

INSTANTIATE_TEST_SUITE_P(Cases, StopPlanTest,
			 ::testing::ValuesIn(stop_plan_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
