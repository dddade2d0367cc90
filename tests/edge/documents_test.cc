/* Entries of the platform's tables, from whoever wrote them, as records. */
#include <gtest/gtest.h>

#include <string>

#include "platform/documents.h"
#include "platform/store.h"

namespace
{

struct entry_case {
	const char *name;
	const char *text;
	bool good;
};

#define ENTRY(slots, state, more)                                     \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":" slots ",\"state\":" state more "}"

const entry_case entry_cases[] = {
	{ "Ready", ENTRY("4", "\"ready\"", ""), true },
	{ "Draining", ENTRY("4", "\"draining\"", ""), true },
	{ "Cold", ENTRY("4", "\"ready\"", ",\"cold_left\":\"3s\""), true },
	{ "WithItsStart", ENTRY("4", "\"ready\"", ",\"born\":1777081648000"),
	  true },
	{ "StartAsText", ENTRY("4", "\"ready\"", ",\"born\":\"1777\""), false },
	{ "StartWithAFraction", ENTRY("4", "\"ready\"", ",\"born\":1.5"),
	  false },
	{ "StartBeforeTime", ENTRY("4", "\"ready\"", ",\"born\":-1"), false },
	{ "UnknownState", ENTRY("4", "\"asleep\"", ""), false },
	{ "StateAsNumber", ENTRY("4", "1", ""), false },
	{ "SlotsAsText", ENTRY("\"4\"", "\"ready\"", ""), false },
	{ "ColdAsNumber", ENTRY("4", "\"ready\"", ",\"cold_left\":3"), false },
	{ "NoAddress",
	  "{\"service\":\"s\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}",
	  false },
	{ "AList", "[1,2]", false },
	{ "NotJson", "\x01\xff{", false },
	{ "Nothing", "", false },
};

class EntryTest : public ::testing::TestWithParam<entry_case>
{
};

/*
 * Somebody else writes into the table of backend servers: fields of other
 * types, states that don't exist, bytes that are no text. Taken as they come,
 * requests went to an address that nobody meant.
 */
TEST_P(EntryTest, OnlyAWholeEntryNamesAServer)
{
	struct backend_record record;
	GError *error = nullptr;

	EXPECT_EQ(GetParam().good,
		  document_backend(GetParam().text, &record, &error));
	EXPECT_EQ(GetParam().good, error == nullptr);
	g_clear_error(&error);
	backend_record_release(&record);
}

INSTANTIATE_TEST_SUITE_P(Cases, EntryTest, ::testing::ValuesIn(entry_cases),
			 [](const auto &info) { return info.param.name; });

TEST(EntryStartTest, TheStartIsRead)
{
	struct backend_record record;

	ASSERT_TRUE(document_backend(ENTRY("4", "\"ready\"",
					   ",\"born\":1777081648000"),
				     &record, nullptr));
	EXPECT_EQ(1777081648000u, record.started_ms);
	backend_record_release(&record);
}

/*
 * A key with a NUL makes the whole answer invalid to a strict parser: one entry
 * of another writer took away all servers of a node that starts.
 */
TEST(StoreDecodeTest, AStrangeKeyLeavesTheOtherRows)
{
	const struct registry *store = platform_store();
	const std::string body =
		"{\"ver\":7,\"now\":\"1s\",\"has_more\":false,\"rows\":["
		"{\"key\":\"a\\u0000b\",\"ver\":3,\"value\":\"AAAA\"},"
		"{\"key\":\"i-1\",\"ver\":4,\"value\":\"%%%\"},"
		"{\"key\":\"i-2\",\"ver\":5,\"value\":\"e30=\"},17]}";
	struct registry_rows rows;

	ASSERT_EQ(REGISTRY_OK, store->vtable->decode(store, 200, body.c_str(),
						     body.size(), &rows));
	ASSERT_EQ(4u, rows.rows->len);
	EXPECT_STREQ("i-2",
		     g_array_index(rows.rows, struct registry_row, 2).key);
	EXPECT_STREQ("{}",
		     g_array_index(rows.rows, struct registry_row, 2).value);
	registry_rows_release(&rows);
}

} // namespace
