#include "core/budget.h"

#include <gtest/gtest.h>

struct budget_case {
	const char *name;
	uint32_t share_permille;
	uint32_t burst;
	int earned;
	int granted; /* of the attempts made right after */
};

class BudgetTable : public testing::TestWithParam<budget_case>
{
};

/*
 * Guards against retries that prolong an overload: without a limit, each
 * refused request is sent again, and the extra attempts are refused as well.
 */
TEST_P(BudgetTable, PaysForItsShareAndNoMore)
{
	const budget_case &c = GetParam();
	struct budget budget;
	int granted = 0;

	budget_init(&budget, c.share_permille, c.burst);
	EXPECT_FALSE(budget_spend(&budget));
	for (int i = 0; i < c.earned; i++)
		budget_earn(&budget);
	for (int i = 0; i < c.earned + 1; i++)
		granted += budget_spend(&budget);
	EXPECT_EQ(c.granted, granted);
}

INSTANTIATE_TEST_SUITE_P(
	Shares, BudgetTable,
	testing::Values(budget_case{ "tenth", 100, 50, 100, 10 },
			budget_case{ "just short of one", 100, 50, 9, 0 },
			budget_case{ "burst is the most", 100, 3, 1000, 3 },
			budget_case{ "all", 1000, 8, 5, 5 },
			budget_case{ "nothing", 0, 8, 500, 0 }),
	[](const testing::TestParamInfo<budget_case> &info) {
		std::string name = info.param.name;
		for (char &c : name)
			c = isalnum(c) ? c : '_';
		return name;
	});
