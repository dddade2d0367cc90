/* Rates that backend servers name: how they are read. */
#include <gtest/gtest.h>

#include <string>

#include "core/rate_limit.h"

namespace
{

struct parse_case {
	const char *name;
	std::string text;
	double per_s; /* 0: refused */
};

const parse_case parse_cases[] = {
	{ "Whole", "2", 2 },
	{ "Decimal", "1.8", 1.8 },
	{ "Small", "0.001", 0.001 },
	{ "Largest", "1000000", 1000000 },
	{ "Empty", "", 0 },
	{ "Zero", "0", 0 },
	{ "TooSmall", "0.0001", 0 },
	{ "TooLarge", "1000000.5", 0 },
	{ "Negative", "-1", 0 },
	{ "Signed", "+1", 0 },
	{ "NotANumber", "nan", 0 },
	{ "Infinite", "inf", 0 },
	{ "Exponent", "1e300", 0 },
	{ "Hexadecimal", "0x10", 0 },
	{ "TwoPoints", "1.2.3", 0 },
	{ "PointLast", "2.", 0 },
	{ "Two", "2, 3", 0 },
	{ "Spaces", " 2", 0 },
	{ "Kilobyte", std::string(1024, '1'), 0 },
};

class ParseTest : public ::testing::TestWithParam<parse_case>
{
};

TEST_P(ParseTest, OnlyAPlainRateIsRead)
{
	const parse_case &c = GetParam();
	double per_s = 7;

	EXPECT_EQ(c.per_s != 0, rate_limit_parse(c.text.c_str(), &per_s));
	EXPECT_DOUBLE_EQ(c.per_s != 0 ? c.per_s : 7, per_s);
}

INSTANTIATE_TEST_SUITE_P(RateLimit, ParseTest, ::testing::ValuesIn(parse_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
