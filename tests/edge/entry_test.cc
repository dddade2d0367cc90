/*
 * Entries of backend servers that other writers put into the platform's list,
 * among good ones: such an entry names no server, and the others hold.
 */
#include "edge/edge_world.h"

namespace
{

class EntryTest : public EdgeWorld
{
      protected:
	bool knows(const std::string &id)
	{
		return backend_table_find(edge->backends, id.c_str()) !=
		       nullptr;
	}
	/* Entries of each kind that name no server, one to a key. */
	void put_bad_entries(const std::string &prefix)
	{
		const std::string nested =
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":4,\"state\":\"ready\",\"more\":" +
			std::string(20000, '[') + std::string(20000, ']') + "}";
		const char *const values[] = {
			"",
			"null",
			"[]",
			"\xff\xfe\x01",
			"{\"service\":7}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:0\",\"zone\":"
			"\"d1\",\"slots\":4,\"state\":\"ready\"}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":99999,\"state\":\"ready\"}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":0,\"state\":\"ready\"}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":4,\"state\":\"ready\",\"born\":1.5}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":4,\"state\":\"unsure\"}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:65536\","
			"\"zone\":\"d1\",\"slots\":4,\"state\":\"ready\"}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":1e999,\"state\":\"ready\"}",
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":"
			"\"d1\",\"slots\":4,\"state\":\"ready\",\"seq\":"
			"999999999999999999999999999999}",
			nested.c_str(),
		};

		for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
			bad.push_back(prefix + std::to_string(i));
			store_stand_put(store, "servers", bad.back().c_str(),
					values[i]);
		}
		/* A service that no route leads to. */
		store_stand_put(store, "servers", (prefix + "unknown").c_str(),
				"{\"service\":\"?\",\"addr\":\"127.0.0.1:9\","
				"\"zone\":\"d1\",\"slots\":4,\"state\":"
				"\"ready\"}");
		/* Keys that name nothing; their values are those of i-1. */
		for (const std::string &key : bad_keys)
			store_stand_put(store, "servers", key.c_str(),
					store_stand_get(store, "servers",
							"i-1"));
	}
	void expect_only_good()
	{
		for (const std::string &id : bad)
			EXPECT_FALSE(knows(id)) << id;
		for (const std::string &key : bad_keys)
			EXPECT_FALSE(knows(key)) << key;
		for (App &app : apps)
			EXPECT_TRUE(knows(app.id)) << app.id;
		for (int i = 0; i < 8; i++)
			EXPECT_EQ(200,
				  status_of(answer_to(get(
					  "a" + std::to_string(i), "/o/"))));
	}
	const std::vector<std::string> bad_keys = { "", "i-1\r\nX: y",
						    std::string(64, 'i') };
	std::vector<std::string> bad;
};

TEST_F(EntryTest, ListMixesGoodAndBadEntries)
{
	add_app("i-1");
	put_bad_entries("a-");
	put_bad_entries("z-");
	add_app("i-2");
	start_node();
	expect_only_good();
}

TEST_F(EntryTest, FeedPageMixesGoodAndBadEntries)
{
	add_app("i-1");
	start_node();
	put_bad_entries("a-");
	add_app("i-2");
	put_bad_entries("z-");
	add_app("i-3");
	wait_for([this] { return knows("i-3"); }, "the last entry is read");
	expect_only_good();
}

/* A full page of a list that ends with a bad entry is followed by the next. */
TEST_F(EntryTest, BadEntryAtTheEndOfAPageHidesNoLaterOne)
{
	char key[16];

	for (int i = 0; i < 1000; i++) {
		g_snprintf(key, sizeof(key), "a-%04d", i);
		store_stand_put(store, "servers", key, "{}");
	}
	add_app("i-1");
	start_node();
	expect_only_good();
}

/*
 * A good entry is replaced by an unreadable one: the server that it named may
 * be gone, and its address another's.
 */
TEST_F(EntryTest, UnreadableSuccessorEndsTheUseOfAServer)
{
	App &app = add_app("i-1");

	add_app("i-2");
	start_node();
	ASSERT_TRUE(knows("i-1"));
	list_app(app, "ready", "0ms", 2, ",\"born\":\"yesterday\"");
	wait_for([this] { return !knows("i-1"); });
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(200, status_of(answer_to(
				       get("b" + std::to_string(i), "/o/"))));
	EXPECT_EQ(0u, app_stand_total_runs(app.stand));
}

} // namespace
