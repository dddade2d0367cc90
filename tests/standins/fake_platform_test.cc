#include "standins/fake_platform.h"

#include "standins/standin_fixture.h"

#define PLATFORM_PORT 7100

class Platform : public testing::Test
{
      protected:
	void SetUp() override
	{
		endpoint = test_endpoint(PLATFORM_PORT);
		platform = fake_platform_open(&endpoint, 4, nullptr);
		ASSERT_NE(nullptr, platform);
	}
	void TearDown() override
	{
		fake_platform_close(platform);
	}

	struct standin_endpoint endpoint;
	struct fake_platform *platform;
};

struct write_step {
	const char *match;
	const char *value;
	long status;
	const char *answer;
	const char *row; /* as read back */
};

TEST_F(Platform, WritesOnlyTheVersionThatIsExpected)
{
	const struct write_step steps[] = {
		{ "If-Match: 1", "a", 412, "{\"version\":0}", "{}" },
		{ "If-Match: 0", "b", 200, "{\"version\":1}",
		  "{\"version\":1,\"value\":\"b\"}" },
		{ "If-Match: 0", "c", 412, "{\"version\":1}",
		  "{\"version\":1,\"value\":\"b\"}" },
		{ "If-Match: 1", "d", 200, "{\"version\":2}",
		  "{\"version\":2,\"value\":\"d\"}" },
		{ "X-None: 1", "e", 400, "{}",
		  "{\"version\":2,\"value\":\"d\"}" },
	};

	for (const write_step &s : steps) {
		Asked put(endpoint, "PUT", "/v1/tables/t/k", s.value, s.match);
		Asked get(endpoint, "GET", "/v1/tables/t/k");

		EXPECT_EQ(s.status, put.came.status) << s.value;
		EXPECT_EQ(s.answer, put.body()) << s.value;
		EXPECT_EQ(s.row, get.body()) << s.value;
	}
}

TEST_F(Platform, TransactionWritesAllOrNothing)
{
	Asked first(endpoint, "POST", "/v1/transactions",
		    "{\"writes\":["
		    "{\"table\":\"t\",\"key\":\"a\",\"version\":0,"
		    "\"value\":\"1\"}]}");
	Asked second(endpoint, "POST", "/v1/transactions",
		     "{\"writes\":["
		     "{\"table\":\"t\",\"key\":\"b\",\"version\":0,"
		     "\"value\":\"2\"},"
		     "{\"table\":\"t\",\"key\":\"a\",\"version\":0,"
		     "\"value\":\"2\"}]}");
	Asked rows(endpoint, "GET", "/v1/tables/t?prefix=");

	EXPECT_EQ(200, first.came.status);
	EXPECT_EQ(412, second.came.status);
	EXPECT_EQ("{\"rows\":[{\"key\":\"a\",\"version\":1,\"value\":\"1\"}]}",
		  rows.body());
}

/*
 * A writer sees its connection end without an answer and takes the write for
 * failed; the row has changed all the same. The answer was lost on its way.
 */
TEST_F(Platform, LostAnswerComesAfterTheWrite)
{
	Asked fault(endpoint, "POST", "/control", "{\"lose_answers\":1}");
	Asked lost(endpoint, "PUT", "/v1/tables/t/k", "x", "If-Match: 0");
	Asked row(endpoint, "GET", "/v1/tables/t/k");
	Asked next(endpoint, "PUT", "/v1/tables/t/k", "y", "If-Match: 1");

	EXPECT_EQ(EXCHANGE_CUT, lost.came.fate);
	EXPECT_EQ("{\"version\":1,\"value\":\"x\"}", row.body());
	EXPECT_EQ(200, next.came.status);
}

struct outage {
	const char *fault;
	enum exchange_fate fate;
	long status;
};

TEST_F(Platform, OutageChangesNothing)
{
	const struct outage outages[] = {
		{ "{\"down\":true}", EXCHANGE_CUT, 0 },
		{ "{\"down\":false,\"refuse\":true}", EXCHANGE_WHOLE, 503 },
	};

	for (const outage &o : outages) {
		Asked fault(endpoint, "POST", "/control", o.fault);
		Asked put(endpoint, "PUT", "/v1/tables/t/k", "x",
			  "If-Match: 0");

		EXPECT_EQ(o.fate, put.came.fate) << o.fault;
		EXPECT_EQ(o.status, put.came.status) << o.fault;
	}
	Asked mend(endpoint, "POST", "/control", "{\"refuse\":false}");
	Asked row(endpoint, "GET", "/v1/tables/t/k");
	EXPECT_EQ(404, row.came.status);
}

TEST_F(Platform, ListOfVmsLags)
{
	const char *vms = "{\"vms\":[{\"address\":\"127.0.0.9\","
			  "\"state\":\"live\"}]}";
	Asked set(endpoint, "POST", "/control", vms);
	Asked now(endpoint, "GET", "/v1/vms");
	Asked lag(endpoint, "POST", "/control", "{\"vms_lag_us\":60000000}");
	Asked before(endpoint, "GET", "/v1/vms");

	EXPECT_EQ(vms, now.body());
	EXPECT_EQ("{\"vms\":[]}", before.body());
}
