#include "adapters/settings.h"

#include <gtest/gtest.h>

#include "adapters/temp_file.h"
#include "core/result.h"

namespace
{

const char node_table[] = "[node]\n"
			  "name = \"n1\"\n"
			  "place = \"central-1\"\n"
			  "address = \"127.1.1.1\"\n"
			  "http_port = 8080\n"
			  "peer_port = 8081\n";
const char platform_table[] = "[platform]\n"
			      "address = \"127.0.9.1\"\n"
			      "port = 7000\n";

std::string with(const char *rest)
{
	return std::string(node_table) + platform_table + rest;
}

std::string without(const char *line)
{
	std::string text = with("");
	size_t at = text.find(line);

	EXPECT_NE(std::string::npos, at);
	return text.erase(at, text.find('\n', at) + 1 - at);
}

struct bad_case {
	const char *name;
	std::string text;
	/* All of these stand in the message. */
	std::vector<const char *> parts;
};

std::string case_name(const testing::TestParamInfo<bad_case> &info)
{
	return info.param.name;
}

std::string many_peers()
{
	std::string peers = "[seeds]\npeers = [";

	for (int i = 0; i < 17; i++)
		peers += "\"127.1.1.1:1\",";
	return peers + "]\n";
}

std::string node_with(const char *line)
{
	return std::string("[node]\n") + line + "\n";
}

/* The two tables that must be there have nine lines. */
const bad_case bad_cases[] = {
	{ "Empty", "", { "missing key node.name" } },
	{ "NoPlace", without("place"), { "missing key node.place" } },
	{ "NoPort",
	  without("port = 7000"),
	  { "missing key platform.port", "1 to 65535" } },
	{ "UnknownKey",
	  with("colour = 1\n"),
	  { ":10: unknown key platform.colour" } },
	{ "UnknownTable",
	  with("[paint]\ncolour = 1\n"),
	  { ":11: unknown key paint.colour" } },
	{ "KeyAboveTables",
	  "colour = 1\n" + with(""),
	  { ":1: unknown key colour" } },
	{ "TableWithinTable",
	  with("[limits.more]\nhttp_threads = 9\n"),
	  { ":10: unknown key limits.more" } },
	{ "KeyTwice", with("port = 7001\n"), { ":10:8: ", "port" } },
	{ "Syntax", with("[limits\n"), { ":10:" } },
	{ "NotUtf8", with("[log]\npath = \"\xff\"\n"), {} },
	{ "StringForNumber",
	  with("[limits]\nhttp_threads = \"64\"\n"),
	  { ":11: limits.http_threads must be", "4 to 4096" } },
	{ "FloatForNumber",
	  with("[limits]\nhttp_threads = 64.0\n"),
	  { "limits.http_threads must be" } },
	{ "NumberForString", with("[log]\npath = 1\n"), { "log.path must be" } },
	{ "BelowRange", with("[limits]\nhttp_threads = 3\n"), { "4 to 4096" } },
	{ "AboveRange",
	  with("[limits]\nbody_max_bytes = 1048577\n"),
	  { "1024 to 1048576" } },
	{ "Negative",
	  with("[steering]\nstop_linger_ms = -1\n"),
	  { "steering.stop_linger_ms" } },
	{ "BeyondSixtyFourBits",
	  with("[limits]\nhttp_threads = 9223372036854775808\n"),
	  { ":11:" } },
	{ "NameWithBlank", node_with("name = \"n 1\""), { ":2: node.name" } },
	{ "NameEmpty", node_with("name = \"\""), { ":2: node.name must be" } },
	{ "NameTooLong",
	  node_with(("name = \"" + std::string(64, 'n') + "\"").c_str()),
	  { ":2: node.name must be", "1 to 63" } },
	{ "NameWithNul",
	  node_with("name = \"n1\\u0000\""),
	  { ":2: node.name must be" } },
	{ "AddressIsAHostName",
	  node_with("address = \"localhost\""),
	  { ":2: node.address must be", "IPv4" } },
	{ "PortZero", node_with("http_port = 0"), { ":2: node.http_port" } },
	{ "LevelUnknown",
	  with("[log]\nlevel = \"loud\"\n"),
	  { "log.level must be", "debug" } },
	{ "PathTooLong",
	  with(("[log]\npath = \"" + std::string(256, 'p') + "\"").c_str()),
	  { "at most 255" } },
	{ "PeerWithoutPort",
	  with("[seeds]\npeers = [\"127.1.1.1\"]\n"),
	  { "seeds.peers must be" } },
	{ "PeerPortTooLarge",
	  with("[seeds]\npeers = [\"127.1.1.1:65536\"]\n"),
	  { "seeds.peers must be" } },
	{ "PeersMixed",
	  with("[seeds]\npeers = [\"127.1.1.1:1\", 2]\n"),
	  { "seeds.peers must be" } },
	{ "PeersTooMany", with(many_peers().c_str()), { "at most 16" } },
};

} // namespace

TEST(Settings, ShortestFileHasTheDefaultsOfThePage)
{
	temp_file file(with(""));
	struct settings settings;
	GError *error = NULL;

	ASSERT_TRUE(settings_load(&settings, file.path.c_str(), &error));
	EXPECT_STREQ("n1", settings.name);
	EXPECT_STREQ("central-1", settings.place);
	EXPECT_STREQ("127.1.1.1", settings.address);
	EXPECT_EQ(8080, settings.http_port);
	EXPECT_EQ(8081, settings.peer_port);
	EXPECT_STREQ("127.0.9.1", settings.platform_address);
	EXPECT_EQ(7000, settings.platform_port);
	EXPECT_EQ(500000u, settings.platform_timeout_us);
	EXPECT_EQ(1000000u, settings.poll_interval_us);
	EXPECT_EQ(0u, settings.seed_count);
	EXPECT_EQ(512u, settings.http_threads);
	EXPECT_EQ(1048576u, settings.body_max_bytes);
	EXPECT_EQ(2000000u, settings.header_timeout_us);
	EXPECT_EQ(100u, settings.retry_share_permille);
	EXPECT_EQ(1000000u, settings.lookup_ttl_us);
	EXPECT_EQ(200000u, settings.report_interval_us);
	EXPECT_EQ(200000u, settings.probe_interval_us);
	EXPECT_EQ(600000000u, settings.stop_linger_us);
	EXPECT_STREQ("", settings.log_path);
	EXPECT_STREQ("info", settings.log_level);
	EXPECT_STREQ("", settings.trace_path);
	EXPECT_EQ(1000u, settings.trace_permille);
}

/* The page's example is a file that works, and tells the true defaults. */
TEST(Settings, PageAgreesWithTheProgram)
{
	std::string here = __FILE__;
	std::string page =
		here.substr(0, here.rfind("/tests/")) + "/docs/SETTINGS.md";
	std::ostringstream text;
	struct settings shown;
	struct settings fallback;
	size_t start;

	text << std::ifstream(page).rdbuf();
	start = text.str().find("```toml\n") + 8;
	temp_file example(text.str().substr(
		start, text.str().find("```", start) - start));
	temp_file shortest(with(""));
	ASSERT_TRUE(settings_load(&shown, example.path.c_str(), NULL));
	ASSERT_TRUE(settings_load(&fallback, shortest.path.c_str(), NULL));
	EXPECT_EQ(1u, shown.seed_count);
	EXPECT_STREQ("127.1.2.1:8081", shown.seeds[0]);
	memset(shown.seeds, 0, sizeof(shown.seeds));
	shown.seed_count = 0;
	/* Both were cleared before they were filled, so gaps are equal too. */
	EXPECT_EQ(0, memcmp(&shown, &fallback, sizeof(shown)));
}

TEST(Settings, GivenValuesGoBeforeDefaults)
{
	temp_file file(with("timeout_ms = 10\n"
			    "[seeds]\n"
			    "peers = [\"127.1.2.1:1\", \"127.1.3.1:65535\"]\n"
			    "[steering]\nretry_share_permille = 0\n"
			    "stop_linger_ms = 600000\n"
			    "[log]\nlevel = \"debug\"\n"
			    "[trace]\npath = \"/t\"\nsample_permille = 0\n"));
	struct settings settings;

	ASSERT_TRUE(settings_load(&settings, file.path.c_str(), NULL));
	EXPECT_EQ(10000u, settings.platform_timeout_us);
	ASSERT_EQ(2u, settings.seed_count);
	EXPECT_STREQ("127.1.2.1:1", settings.seeds[0]);
	EXPECT_STREQ("127.1.3.1:65535", settings.seeds[1]);
	EXPECT_EQ(0u, settings.retry_share_permille);
	EXPECT_EQ(600000000u, settings.stop_linger_us);
	EXPECT_STREQ("debug", settings.log_level);
	EXPECT_STREQ("/t", settings.trace_path);
	EXPECT_EQ(0u, settings.trace_permille);
}

TEST(Settings, AbsentFileIsUnreadable)
{
	struct settings settings;
	GError *error = NULL;

	EXPECT_FALSE(settings_load(&settings, "/nonexistent/n1.toml", &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR,
				    RESULT_SETTINGS_UNREADABLE));
	g_clear_error(&error);
}

TEST(Settings, EndlessFileIsUnreadable)
{
	struct settings settings;
	GError *error = NULL;

	EXPECT_FALSE(settings_load(&settings, "/dev/zero", &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR,
				    RESULT_SETTINGS_UNREADABLE));
	g_clear_error(&error);
}

class BadSettings : public testing::TestWithParam<bad_case>
{
};

TEST_P(BadSettings, AreRefusedByName)
{
	temp_file file(GetParam().text);
	struct settings settings;
	GError *error = NULL;

	ASSERT_FALSE(settings_load(&settings, file.path.c_str(), &error));
	EXPECT_EQ(RESULT_SETTINGS_INVALID, error->code);
	EXPECT_EQ(0u, std::string(error->message).find(file.path));
	for (const char *part : GetParam().parts)
		EXPECT_NE(nullptr, strstr(error->message, part))
			<< error->message;
	g_clear_error(&error);
}

INSTANTIATE_TEST_SUITE_P(Cases, BadSettings, testing::ValuesIn(bad_cases),
			 case_name);
