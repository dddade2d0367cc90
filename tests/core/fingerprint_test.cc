/*
 * Which requests count as equal.
 */
#include <cstring>
#include <string>

#include <gtest/gtest.h>

#include "core/fingerprint.h"

namespace
{

struct request {
	const char *method;
	const char *host;
	const char *target;
	const char *caller;
	const char *body;
};

uint64_t hash(const request &request)
{
	const struct fingerprint_input parts = {
		.method = request.method,
		.host = request.host,
		.target = request.target,
		.caller = request.caller,
		.body = request.body,
		.body_bytes = strlen(request.body),
	};

	return fingerprint_of(&parts);
}

const request original = { "POST", "h.example", "/o/1?q=2", "k1", "body" };

struct fingerprint_case {
	const char *name;
	request other;
	bool same;
};

const fingerprint_case cases[] = {
	{ "Again", { "POST", "h.example", "/o/1?q=2", "k1", "body" }, true },
	{ "Method", { "PUT", "h.example", "/o/1?q=2", "k1", "body" }, false },
	{ "Host", { "POST", "g.example", "/o/1?q=2", "k1", "body" }, false },
	{ "Path", { "POST", "h.example", "/o/2?q=2", "k1", "body" }, false },
	{ "Query", { "POST", "h.example", "/o/1?q=3", "k1", "body" }, false },
	{ "Caller", { "POST", "h.example", "/o/1?q=2", "k2", "body" }, false },
	{ "NoCaller",
	  { "POST", "h.example", "/o/1?q=2", nullptr, "body" },
	  false },
	{ "Body", { "POST", "h.example", "/o/1?q=2", "k1", "bodY" }, false },
	{ "PartsShifted",
	  { "POST", "h.example", "/o/1?q=2k", "1", "body" },
	  false },
};

class FingerprintTest : public ::testing::TestWithParam<fingerprint_case>
{
};

TEST_P(FingerprintTest, EqualRequestsHaveEqualFingerprints)
{
	EXPECT_EQ(GetParam().same, hash(original) == hash(GetParam().other));
	EXPECT_NE(0u, hash(GetParam().other));
}

INSTANTIATE_TEST_SUITE_P(Cases, FingerprintTest, ::testing::ValuesIn(cases),
			 [](const auto &info) { return info.param.name; });

} /* namespace */
