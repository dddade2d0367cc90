#include "adapters/pairs.h"

#include <gtest/gtest.h>
#include <inttypes.h>
#include <string>
#include <utility>
#include <vector>

namespace
{

bool format(std::string *text, size_t size, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

bool format(std::string *text, size_t size, const char *format, ...)
{
	std::vector<char> buffer(size);
	va_list args;
	bool whole;

	va_start(args, format);
	whole = pairs_format(buffer.data(), size, format, args);
	va_end(args);
	*text = buffer.data();
	return whole;
}

struct value_case {
	const char *value;
	const char *bare; /* for a=%s */
	const char *quoted; /* for a="%s" */
};

} // namespace

class PairsValue : public testing::TestWithParam<value_case>
{
};

TEST_P(PairsValue, IsWrittenSafelyAndReadBack)
{
	const value_case &c = GetParam();

	for (bool quoted : { false, true }) {
		std::string text;
		const char *key;
		const char *value;
		char *rest;

		ASSERT_TRUE(
			quoted ? format(&text, 256, "a=\"%s\" b=1", c.value) :
				 format(&text, 256, "a=%s b=1", c.value));
		EXPECT_EQ(std::string(quoted ? c.quoted : c.bare) + " b=1",
			  text);
		rest = pairs_next(&text[0], &key, &value);
		ASSERT_NE(nullptr, rest);
		EXPECT_STREQ("a", key);
		EXPECT_STREQ(c.value, value);
		rest = pairs_next(rest, &key, &value);
		ASSERT_NE(nullptr, rest);
		EXPECT_STREQ("b", key);
		EXPECT_STREQ("1", value);
		EXPECT_EQ(nullptr, pairs_next(rest, &key, &value));
	}
}

INSTANTIATE_TEST_SUITE_P(
	Values, PairsValue,
	testing::Values(
		value_case{ "plain", "a=plain", "a=\"plain\"" },
		value_case{ "", "a=\"\"", "a=\"\"" },
		value_case{ "two words", "a=\"two words\"", "a=\"two words\"" },
		value_case{ "x level=error", "a=\"x level=error\"",
			    "a=\"x level=error\"" },
		value_case{ "x=y", "a=\"x=y\"", "a=\"x=y\"" },
		value_case{ "\" b=2", "a=\"\\\" b=2\"", "a=\"\\\" b=2\"" },
		value_case{ "back\\", "a=\"back\\\\\"", "a=\"back\\\\\"" },
		value_case{ "l1\nl2\r\t", "a=\"l1\\nl2\\r\\t\"",
			    "a=\"l1\\nl2\\r\\t\"" },
		value_case{ "\x1b[2J\x7f", "a=\"\\x1b[2J\\x7f\"",
			    "a=\"\\x1b[2J\\x7f\"" },
		value_case{ "\xc3\xa9", "a=\xc3\xa9", "a=\"\xc3\xa9\"" }));

TEST(Pairs, NumbersArePrintedAsPrintfDoes)
{
	std::string text;

	EXPECT_TRUE(format(&text, 256,
			   "a=%" PRIu64 " b=%d c=%05.1f d=%zu e=%x f=%c g=%lld "
			   "h=%% i=%.3s",
			   UINT64_MAX, -7, 2.25, (size_t)9, 0xbeefu, 'z',
			   (long long)INT64_MIN, "cutoff"));
	EXPECT_EQ("a=18446744073709551615 b=-7 c=002.2 d=9 e=beef f=z "
		  "g=-9223372036854775808 h=% i=cut",
		  text);
}

TEST(Pairs, CutTextClosesItsQuoteAndSaysSo)
{
	const std::string newlines(400, '\n');
	size_t size;

	for (size = 20; size < 120; size++) {
		std::string text;

		EXPECT_FALSE(format(&text, size, "a=%s", newlines.c_str()));
		EXPECT_LT(text.size(), size);
		EXPECT_EQ(std::string::npos, text.find('\n'));
		EXPECT_EQ(text.size() - 10, text.rfind("\" cut=true")) << text;
	}
}

TEST(Pairs, LongValueIsCutAndTheNextPairStays)
{
	std::string text;

	EXPECT_TRUE(format(&text, 1024, "a=%s b=1",
			   std::string(4096, 'x').c_str()));
	EXPECT_EQ("a=" + std::string(PAIRS_VALUE_MAX, 'x') + "... b=1", text);
}
