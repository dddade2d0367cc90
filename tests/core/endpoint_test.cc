#include "core/endpoint.h"

#include <gtest/gtest.h>
#include <string>

struct endpoint_case {
	std::string text;
	bool good;
	const char *address;
	uint16_t port;
};

class Endpoint : public testing::TestWithParam<endpoint_case>
{
};

TEST_P(Endpoint, ParsesOnlyCompleteEndpoints)
{
	const endpoint_case &c = GetParam();
	struct endpoint endpoint;

	ASSERT_EQ(c.good, endpoint_parse(c.text.c_str(), &endpoint));
	if (!c.good)
		return;
	EXPECT_STREQ(c.address, endpoint.address);
	EXPECT_EQ(c.port, endpoint.port);
}

INSTANTIATE_TEST_SUITE_P(
	Texts, Endpoint,
	testing::Values(
		endpoint_case{ "127.1.1.1:8080", true, "127.1.1.1", 8080 },
		endpoint_case{ "127.1.1.1:1", true, "127.1.1.1", 1 },
		endpoint_case{ "127.1.1.1:65535", true, "127.1.1.1", 65535 },
		endpoint_case{ "127.1.1.1:0", false, "", 0 },
		endpoint_case{ "127.1.1.1:65536", false, "", 0 },
		endpoint_case{ "127.1.1.1:", false, "", 0 },
		endpoint_case{ "127.1.1.1", false, "", 0 },
		endpoint_case{ "127.1.1.1:80:80", false, "", 0 },
		endpoint_case{ "127.1.1.1: 80", false, "", 0 },
		endpoint_case{ ":8080", false, "", 0 },
		endpoint_case{ "localhost:8080", false, "", 0 },
		endpoint_case{ "127.1.1.1:" + std::string(60, '0') + "80",
			       false, "", 0 },
		endpoint_case{ std::string(200, '1') + ":80", false, "", 0 }));
