#include "core/config.h"
#include "core/query.h"
#include "core/result.h"

#include <gtest/gtest.h>
#include <cstring>
#include <string>

static const char good_document[] = R"({
  "services": [{"name": "svc-certif", "class": "non-idempotent",
                "timeout_us": 5000000}],
  "places": [{"name": "central-1", "region": "central"},
             {"name": "central-2", "region": "central"},
             {"name": "sur-1", "region": "sur", "drained": true}],
  "nodes": [{"name": "n1", "place": "central-1", "address": "127.1.1.1",
             "http_port": 8080, "peer_port": 8081}],
  "backends": [{"name": "b1", "service": "svc-certif", "place": "sur-1",
                "address": "127.1.1.9", "port": 9000, "slots": 3}],
  "links": [{"from": "central", "to": "sur", "one_way_us": 55000}],
  "shifts": [{"id": "s1", "service": "svc-certif", "from": "central-1",
              "to": "central-2", "share_permille": 300, "cap_per_s": 40}],
  "blocks": [{"prefix": "127.1.0.0/16", "place": "central-1"},
             {"prefix": "127.1.7.0/24", "place": "sur-1"}],
  "commands": [{"id": "c1", "version": 7}]
})";

static struct config *decode(const std::string &text, GError **error)
{
	return config_decode(text.data(), text.size(), error);
}

TEST(Config, EncodingAndDecodingPreservesIt)
{
	struct config *first = decode(good_document, nullptr);
	ASSERT_NE(nullptr, first);
	char *text = config_encode(first);
	struct config *second = decode(text, nullptr);
	ASSERT_NE(nullptr, second);
	char *again = config_encode(second);
	EXPECT_STREQ(text, again);
	EXPECT_EQ(3u, second->place_count);
	EXPECT_TRUE(second->places[2].drained);
	EXPECT_EQ(2u, second->backends[0].place);
	EXPECT_EQ(300u, second->shifts[0].share_permille);
	EXPECT_EQ(7u, config_find_command(second, "c1"));
	g_free(text);
	g_free(again);
	config_free(first);
	config_free(second);
}

TEST(Config, LongestPrefixDecidesThePlace)
{
	struct config *config = decode(good_document, nullptr);
	struct {
		uint32_t address;
		uint32_t place;
	} cases[] = {
		{ 0x7f010001, 0 },
		{ 0x7f010705, 2 },
		{ 0x7f020001, CONFIG_NONE },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.place, config_place_of_address(config, c.address));
	config_free(config);
}

TEST(Config, LinksHoldInBothDirections)
{
	struct config *config = decode(good_document, nullptr);

	EXPECT_EQ(55000u, config_one_way_us(config, 0, 2));
	EXPECT_EQ(55000u, config_one_way_us(config, 2, 0));
	EXPECT_EQ(500u, config_one_way_us(config, 0, 1));
	EXPECT_EQ(0u, config_one_way_us(config, 0, 0));
	config_free(config);
}

/* A change that makes the good document invalid, and text of the error. */
struct bad_case {
	const char *find;
	const char *replace;
	const char *message;
};

class BadConfig : public testing::TestWithParam<bad_case>
{
};

TEST_P(BadConfig, IsRejectedAndErrorNamesTheMember)
{
	const bad_case &c = GetParam();
	std::string text = good_document;
	size_t at = text.find(c.find);
	GError *error = nullptr;

	ASSERT_NE(std::string::npos, at);
	text.replace(at, strlen(c.find), c.replace);
	EXPECT_EQ(nullptr, decode(text, &error));
	ASSERT_NE(nullptr, error);
	EXPECT_EQ(RESULT_CONFIG_INVALID, error->code);
	EXPECT_NE(nullptr, strstr(error->message, c.message)) << error->message;
	g_error_free(error);
}

INSTANTIATE_TEST_SUITE_P(
	Members, BadConfig,
	testing::Values(
		bad_case{ "non-idempotent", "swift", "services[0].class" },
		bad_case{ "5000000", "1", "services[0].timeout_us" },
		bad_case{ "central-2\", \"region", "central-1\", \"region",
			  "places[1].name" },
		bad_case{ "{\"id\": \"c1\", \"version\": 7}",
			  "{\"id\": \"c1\", \"version\": 7},"
			  "{\"id\": \"c1\", \"version\": 8}",
			  "commands[1].id" },
		bad_case{ "\"drained\": true", "\"drained\": 1",
			  "places[2].drained" },
		bad_case{ "\"drained\": true", "\"draind\": true",
			  "places[2].draind" },
		bad_case{ "127.1.1.1", "localhost", "nodes[0].address" },
		bad_case{ "8080", "80800", "nodes[0].http_port" },
		bad_case{ "\"slots\": 3", "\"slots\": 0", "backends[0].slots" },
		bad_case{ "\"slots\": 3", "\"slots\": 3.5",
			  "backends[0].slots" },
		bad_case{ "svc-certif\", \"place", "svc-x\", \"place",
			  "backends[0].service" },
		bad_case{ "\"to\": \"central-2", "\"to\": \"central-1",
			  "shifts[0].to" },
		bad_case{ "300", "1001", "shifts[0].share_permille" },
		bad_case{ "127.1.0.0/16", "127.1.0.1/16", "blocks[0].prefix" },
		bad_case{ "127.1.0.0/16", "127.1.0.0/33", "blocks[0].prefix" },
		bad_case{ "\"links\"", "\"lynx\"", "lynx: unknown member" },
		bad_case{ "\"links\": [", "\"links\": [7,", "links[0]" },
		bad_case{ "{", "[", "line" }));

TEST(Config, KeepsTheNewestCommands)
{
	struct config *config = decode("{}", nullptr);
	char id[32];

	for (int i = 0; i < CONFIG_COMMANDS_KEPT + 3; i++) {
		snprintf(id, sizeof(id), "c%d", i);
		config->version = i;
		config_add_command(config, id);
	}
	EXPECT_EQ((uint32_t)CONFIG_COMMANDS_KEPT, config->command_count);
	EXPECT_EQ(0u, config_find_command(config, "c2"));
	EXPECT_EQ(4u, config_find_command(config, "c3"));
	config_free(config);
}

/*
 * Guards against exceeding a shift's cap when nodes are added. A cap of 100 is
 * split over two nodes, then a third is added. If the number of seats followed,
 * a node still on the old version would admit 50 a second and the two others 33
 * each: 116 in all.
 */
TEST(Config, SeatsOfAnExistingShiftNeverChange)
{
	std::string text = good_document;
	struct config *before;
	struct config *after;

	/* The shift's destination needs a backend server. */
	text.replace(text.find("\"place\": \"sur-1\","), 17,
		     "\"place\": \"central-2\",");
	before = decode(text, nullptr);

	EXPECT_EQ(1u, before->shifts[0].seats);
	text.replace(text.find("\"nodes\": ["), 10,
		     R"("nodes": [{"name": "n8", "place": "central-2",
			"address": "127.1.1.8", "http_port": 1, "peer_port": 2},
			{"name": "n9", "place": "central-2",
			"address": "127.1.1.9", "http_port": 1, "peer_port": 2},
			)");
	after = query_load(before, text.data(), text.size(), "c9", nullptr);
	ASSERT_NE(nullptr, after);
	EXPECT_EQ(3u, after->node_count);
	EXPECT_EQ(1u, after->shifts[0].seats);
	config_free(before);
	config_free(after);
}
