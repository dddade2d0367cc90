#include "core/result.h"

#include <gtest/gtest.h>

struct result_case {
	int number;
	const char *name;
	bool not_run;
	int exit_status;
};

class ResultTable : public testing::TestWithParam<result_case>
{
};

TEST_P(ResultTable, NumberNameAndMeaningAgree)
{
	const result_case &c = GetParam();
	enum result code = result_from_number(c.number);

	EXPECT_EQ(c.number, (int)code);
	EXPECT_STREQ(c.name, result_name(code));
	EXPECT_EQ(c.not_run, result_proves_not_run(code));
	EXPECT_EQ(c.exit_status, result_exit_status(code));
}

INSTANTIATE_TEST_SUITE_P(
	Codes, ResultTable,
	testing::Values(result_case{ 0, "ok", false, 0 },
			result_case{ 101, "overload", true, 1 },
			result_case{ 113, "fenced", true, 1 },
			result_case{ 201, "outcome-unknown", false, 2 },
			result_case{ 204, "timed-out", false, 2 },
			result_case{ 302, "conflict", false, 3 },
			result_case{ 403, "config-invalid", false, 4 },
			result_case{ 501, "internal", false, 5 }));

TEST(Result, UnknownNumberIsInternal)
{
	EXPECT_EQ(RESULT_INTERNAL, result_from_number(999));
}
