/* Client accounts: their keys, their regions, and their rate over all nodes. */
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/account.h"
#include "core/account_quota.h"
#include "core/duration.h"
#include "core/result.h"

namespace
{

class AccountTableTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		table = account_table_new();
		a = account_table_add(table, "a", nullptr);
		b = account_table_add(table, "b", nullptr);
	}
	void TearDown() override
	{
		account_table_free(table);
	}
	bool add_key(struct account *account, const std::string &key)
	{
		char *digest = account_key_digest(key.c_str());
		bool added = account_table_add_digest(table, account, digest,
						      nullptr);

		g_free(digest);
		return added;
	}
	struct account_table *table;
	struct account *a;
	struct account *b;
};

TEST_F(AccountTableTest, EachKeyOfAnAccountNamesIt)
{
	EXPECT_TRUE(add_key(a, "k1"));
	EXPECT_TRUE(add_key(a, "k2"));
	EXPECT_TRUE(add_key(a, "k2"));
	EXPECT_TRUE(add_key(b, "k3"));
	EXPECT_EQ(a, account_table_find_key(table, "k1"));
	EXPECT_EQ(a, account_table_find_key(table, "k2"));
	EXPECT_EQ(b, account_table_find_key(table, "k3"));
	EXPECT_EQ(nullptr, account_table_find_key(table, "k4"));
}

TEST_F(AccountTableTest, KeyOfTwoAccountsIsAnError)
{
	GError *error = nullptr;
	char *digest = account_key_digest("k1");

	ASSERT_TRUE(add_key(a, "k1"));
	EXPECT_FALSE(account_table_add_digest(table, b, digest, &error));
	EXPECT_TRUE(
		g_error_matches(error, RESULT_ERROR, RESULT_CONFIG_INVALID));
	EXPECT_EQ(nullptr, strstr(error->message, digest));
	EXPECT_EQ(table->unusable, account_table_find_key(table, "k1"));
	EXPECT_TRUE(table->unusable->unusable);
	g_clear_error(&error);
	g_free(digest);
}

TEST_F(AccountTableTest, NameUsedTwiceIsAnError)
{
	GError *error = nullptr;

	EXPECT_EQ(nullptr, account_table_add(table, "a", &error));
	EXPECT_NE(nullptr, error);
	g_clear_error(&error);
}

struct name_case {
	const char *name;
	std::string account;
	bool valid;
};

const name_case name_cases[] = {
	{ "Plain", "yefi830", true },
	{ "NotAscii", "caf\xc3\xa9", true },
	{ "Longest", std::string(ACCOUNT_NAME_MAX_BYTES, 'n'), true },
	{ "TooLong", std::string(ACCOUNT_NAME_MAX_BYTES + 1, 'n'), false },
	{ "Empty", "", false },
	{ "Spaces", "a  b (c)", true },
	{ "SpaceInFront", " a", false },
	{ "SpaceBehind", "a ", false },
	{ "OnlyASpace", " ", false },
	{ "Tab", "a\tb", false },
	{ "AnotherHeader", "a\r\nX-Api-Key: k", false },
	{ "Delete", "a\x7f", false },
};

class AccountNameTest : public ::testing::TestWithParam<name_case>
{
};

/* Guards against a name that adds headers to a request. */
TEST_P(AccountNameTest, OnlyNamesThatFitAHeaderAreAccepted)
{
	struct account_table *table = account_table_new();
	GError *error = nullptr;

	EXPECT_EQ(GetParam().valid,
		  account_table_add(table, GetParam().account.c_str(),
				    &error) != nullptr);
	EXPECT_EQ(GetParam().valid, error == nullptr);
	g_clear_error(&error);
	account_table_free(table);
}

INSTANTIATE_TEST_SUITE_P(Cases, AccountNameTest,
			 ::testing::ValuesIn(name_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a digest that was read being accepted as a key. */
TEST_F(AccountTableTest, DigestIsNoKey)
{
	char *digest = account_key_digest("k1");

	ASSERT_TRUE(add_key(a, "k1"));
	EXPECT_EQ(nullptr, account_table_find_key(table, digest));
	g_free(digest);
}

TEST_F(AccountTableTest, NoKeyMatchesEmptyOrOverlongText)
{
	std::string longest(ACCOUNT_KEY_MAX_BYTES, 'k');

	ASSERT_TRUE(add_key(a, longest));
	ASSERT_TRUE(add_key(a, ""));
	EXPECT_EQ(a, account_table_find_key(table, longest.c_str()));
	EXPECT_EQ(nullptr,
		  account_table_find_key(table, (longest + "k").c_str()));
	EXPECT_EQ(nullptr, account_table_find_key(table, ""));
}

struct digest_case {
	const char *name;
	std::string digest;
	bool valid;
};

const digest_case digest_cases[] = {
	{ "Whole", "sha256:" + std::string(64, 'a'), true },
	{ "RawKey", "apjsujqurtyiikdrbn4r", false },
	{ "Short", "sha256:" + std::string(63, 'a'), false },
	{ "Long", "sha256:" + std::string(65, 'a'), false },
	{ "UpperCase", "sha256:" + std::string(64, 'A'), false },
	{ "OtherHash", "sha512:" + std::string(64, 'a'), false },
	{ "Empty", "", false },
};

class DigestTest : public ::testing::TestWithParam<digest_case>
{
};

TEST_P(DigestTest, OnlyWholeDigestsAreAccepted)
{
	struct account_table *table = account_table_new();
	struct account *account = account_table_add(table, "a", nullptr);

	EXPECT_EQ(GetParam().valid,
		  account_table_add_digest(table, account,
					   GetParam().digest.c_str(), nullptr));
	account_table_free(table);
}

INSTANTIATE_TEST_SUITE_P(Cases, DigestTest, ::testing::ValuesIn(digest_cases),
			 [](const auto &info) { return info.param.name; });

TEST_F(AccountTableTest, RegionsBindOnlyWhereNamed)
{
	g_ptr_array_add(a->regions, g_strdup("r1"));
	EXPECT_TRUE(account_allows_region(a, "r1"));
	EXPECT_FALSE(account_allows_region(a, "r2"));
	EXPECT_TRUE(account_allows_region(b, "r2"));
	EXPECT_TRUE(account_allows_region(nullptr, "r2"));
}

/* --- the rate over all nodes -------------------------------------------- */

struct total_case {
	const char *name;
	double per_s;
	double burst;
	struct account_quota_rule rule;
	uint32_t regions;
	uint32_t parts;
};

const struct account_quota_rule loose = { 5 * US_PER_S, 0.1, 20 };
const struct account_quota_rule strict = { 5 * US_PER_S, 0, 0 };

const total_case total_cases[] = {
	{ "Usual", 42, 42, loose, 3, 6 },
	{ "Large", 400, 400, loose, 3, 6 },
	{ "Small", 1, 1, loose, 3, 6 },
	{ "Tiny", 0.1, 0, loose, 3, 6 },
	{ "NoBurst", 100, 0, loose, 3, 6 },
	{ "NineRegions", 42, 42, loose, 9, 18 },
	{ "OneRegion", 42, 42, loose, 1, 2 },
	{ "Strict", 42, 42, strict, 3, 6 },
	{ "StrictNoBurst", 100, 0, strict, 3, 2 },
	{ "StrictSmall", 1, 3, strict, 3, 1 },
};

class QuotaTotalTest : public ::testing::TestWithParam<total_case>
{
};

/* The bound is the operators': (rate * window + burst) and its overage. */
TEST_P(QuotaTotalTest, PartsStayWithinWhatTheAccountMaySend)
{
	const total_case &it = GetParam();
	struct account account = {};
	double window_s = (double)it.rule.window_us / (double)US_PER_S;
	double allowed =
		(it.per_s * window_s + it.burst) * (1 + it.rule.overage) +
		it.rule.slack;
	struct account_quota_total total;

	account.per_s = it.per_s;
	account.burst = it.burst;
	total = account_quota_total(&account, &it.rule, it.regions);
	/* Tokens half a second old may still arrive in the window. */
	EXPECT_LE(total.per_s * (window_s + 0.5) + total.burst, allowed + 1e-6);
	EXPECT_GT(total.per_s, 0.8 * it.per_s);
	EXPECT_EQ(it.parts, total.parts);
	EXPECT_GE(total.burst / total.parts, 1);
}

INSTANTIATE_TEST_SUITE_P(Cases, QuotaTotalTest,
			 ::testing::ValuesIn(total_cases),
			 [](const auto &info) { return info.param.name; });

TEST(QuotaHoldersTest, RegionsHoldAllPartsTogether)
{
	GPtrArray *regions = g_ptr_array_new();
	struct account account = {};

	for (const char *region : { "r1", "r2", "r3" })
		g_ptr_array_add(regions, (gpointer)region);
	for (account.hash = 0; account.hash < 5; account.hash++)
		for (uint32_t parts = 1; parts <= 7; parts++) {
			uint32_t sum = 0;

			for (const char *region : { "r1", "r2", "r3" })
				sum += account_quota_holders(&account, parts,
							     regions, region);
			EXPECT_EQ(parts, sum);
		}
	EXPECT_EQ(0u, account_quota_holders(&account, 6, regions, "r9"));
	g_ptr_array_unref(regions);
}

struct standing_case {
	const char *name;
	struct account_quota_standing standing;
	bool holds;
};

const standing_case standing_cases[] = {
	{ "Restarted", { true, true, 0, 0 }, true },
	{ "NewNode", { true, false, 2 * US_PER_S, 0 }, false },
	{ "NewNodeLater", { true, false, 6 * US_PER_S, 0 }, true },
	{ "MembersUnknown", { false, false, 60 * US_PER_S, 0 }, false },
	{ "HearsNobody", { true, true, 60 * US_PER_S, 4 * US_PER_S }, false },
	{ "HeardJustNow", { true, true, 60 * US_PER_S, 2 * US_PER_S }, true },
};

class QuotaStandingTest : public ::testing::TestWithParam<standing_case>
{
};

TEST_P(QuotaStandingTest, PartIsUsedOnlyWhereNobodyElseDoes)
{
	EXPECT_EQ(GetParam().holds,
		  account_quota_may_hold(&GetParam().standing));
}

INSTANTIATE_TEST_SUITE_P(Cases, QuotaStandingTest,
			 ::testing::ValuesIn(standing_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
