/* When a node counts as partitioned from all backend servers, and as back. */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/duration.h"
#include "core/reach.h"

namespace
{

constexpr uint32_t MANY = 36;

enum event { FAILS, ACCEPTS };

struct step {
	enum event event;
	uint32_t server;
	uint64_t after_ms; /* the previous step */
	enum reach_state state; /* after it */
};

struct state_case {
	const char *name;
	uint32_t known;
	std::vector<step> steps;
};

const state_case state_cases[] = {
	{ "OneServerFailsManyTimes",
	  MANY,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 1, 10, REACH_CONNECTED },
	    { FAILS, 1, 10, REACH_CONNECTED } } },
	{ "TwoServersFailAndAThirdAccepts",
	  MANY,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 10, REACH_IN_DOUBT },
	    { ACCEPTS, 3, 1, REACH_CONNECTED } } },
	{ "ADoubtBeginsAnewAfterAnAccept",
	  MANY,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 10, REACH_IN_DOUBT },
	    { ACCEPTS, 3, 1, REACH_CONNECTED },
	    { FAILS, 4, 250, REACH_CONNECTED },
	    { FAILS, 5, 1, REACH_IN_DOUBT } } },
	{ "FailuresBesideAcceptsTellNothing",
	  MANY,
	  { { ACCEPTS, 9, 0, REACH_CONNECTED },
	    { FAILS, 1, 100, REACH_CONNECTED },
	    { FAILS, 2, 100, REACH_CONNECTED },
	    { ACCEPTS, 9, 40, REACH_CONNECTED },
	    { FAILS, 3, 200, REACH_CONNECTED },
	    { FAILS, 4, 49, REACH_CONNECTED },
	    { FAILS, 5, 1, REACH_CONNECTED },
	    { FAILS, 6, 1, REACH_IN_DOUBT } } },
	{ "FailuresFarApartAreNotOneLoss",
	  MANY,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 3001, REACH_CONNECTED },
	    { FAILS, 3, 3001, REACH_CONNECTED } } },
	{ "FiveServersFail",
	  MANY,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 10, REACH_IN_DOUBT },
	    { FAILS, 3, 10, REACH_IN_DOUBT },
	    { FAILS, 3, 10, REACH_IN_DOUBT },
	    { FAILS, 4, 10, REACH_IN_DOUBT },
	    { FAILS, 5, 10, REACH_PARTITIONED } } },
	{ "AllOfFewServersFail",
	  3,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 10, REACH_IN_DOUBT },
	    { FAILS, 3, 10, REACH_PARTITIONED } } },
	{ "TheOnlyServerFails", 1, { { FAILS, 1, 0, REACH_PARTITIONED } } },
	{ "NoServerIsKnown", 0, { { FAILS, 1, 0, REACH_CONNECTED } } },
	{ "TwoServersAcceptAgain",
	  5,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 0, REACH_IN_DOUBT },
	    { FAILS, 3, 0, REACH_IN_DOUBT },
	    { FAILS, 4, 0, REACH_IN_DOUBT },
	    { FAILS, 5, 0, REACH_PARTITIONED },
	    { ACCEPTS, 1, 900, REACH_PARTITIONED },
	    { ACCEPTS, 1, 1, REACH_PARTITIONED },
	    { ACCEPTS, 2, 1, REACH_CONNECTED } } },
	{ "OneServerOfManyIsNoWayBack",
	  5,
	  { { FAILS, 1, 0, REACH_CONNECTED },
	    { FAILS, 2, 0, REACH_IN_DOUBT },
	    { FAILS, 3, 0, REACH_IN_DOUBT },
	    { FAILS, 4, 0, REACH_IN_DOUBT },
	    { FAILS, 5, 0, REACH_PARTITIONED },
	    { ACCEPTS, 1, 250, REACH_PARTITIONED },
	    { FAILS, 2, 250, REACH_PARTITIONED },
	    { ACCEPTS, 1, 250, REACH_PARTITIONED } } },
	{ "TheOnlyServerAcceptsAgain",
	  1,
	  { { FAILS, 1, 0, REACH_PARTITIONED },
	    { ACCEPTS, 1, 250, REACH_CONNECTED } } },
};

class ReachStateTest : public ::testing::TestWithParam<state_case>
{
};

TEST_P(ReachStateTest, FollowsFromServersThatFailAndAccept)
{
	struct reach reach = {};
	uint64_t now_us = 100 * US_PER_S;
	size_t i = 0;

	for (const step &step : GetParam().steps) {
		now_us += step.after_ms * US_PER_MS;
		if (step.event == FAILS)
			reach_failed(&reach, step.server, GetParam().known,
				     now_us);
		else
			reach_accepted(&reach, step.server, GetParam().known,
				       now_us);
		EXPECT_STREQ(reach_state_name(step.state),
			     reach_state_name(reach.state))
			<< "step " << ++i;
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, ReachStateTest,
			 ::testing::ValuesIn(state_cases),
			 [](const auto &info) { return info.param.name; });

TEST(ReachTest, KeptConnectionsAreTrustedOnceOneAnswers)
{
	struct reach reach = {};

	EXPECT_TRUE(reach_kept_connections_work(&reach));
	reach_answered(&reach, 99);
	reach_failed(&reach, 1, 1, 100);
	ASSERT_EQ(REACH_PARTITIONED, reach.state);
	EXPECT_FALSE(reach_kept_connections_work(&reach));
	reach_answered(&reach, 101);
	EXPECT_TRUE(reach_kept_connections_work(&reach));
}

class ReachProbeTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		backends = backend_table_new();
		for (const char *service : { "s", "t" })
			for (const char *domain : { "d1", "d2", "d3", "d4" })
				add(service, domain);
	}
	void TearDown() override
	{
		backend_table_free(backends);
	}
	void add(const std::string &service, const std::string &domain)
	{
		std::string id = service + "-" + domain;
		struct backend_info info = {};

		info.id = id.c_str();
		info.service = service.c_str();
		info.domain = domain.c_str();
		info.region = domain < "d3" ? "r1" : "r2";
		info.slots = 4;
		backend_table_put(backends, &info, 1);
	}
	std::vector<std::string> pick(uint32_t max)
	{
		struct backend *picked[REACH_MAX_PROBES];
		uint32_t count = reach_pick_probes(&reach, backends, "d1", "r1",
						   turn++, picked, max);
		std::vector<std::string> ids;

		for (uint32_t i = 0; i < count; i++)
			ids.push_back(picked[i]->id);
		return ids;
	}
	void fail(const char *id)
	{
		reach_failed(&reach,
			     backend_table_find(backends, id)->incarnation, 8,
			     1);
	}
	struct backend_table *backends;
	struct reach reach = {};
	uint32_t turn = 0;
};

/* A dead service must not make a node believe that it is partitioned. */
TEST_F(ReachProbeTest, AskAnotherServiceThanTheOneThatFails)
{
	fail("s-d1");
	fail("s-d2");
	for (int i = 0; i < 20; i++) {
		std::vector<std::string> ids = pick(3);

		ASSERT_EQ(3u, ids.size());
		EXPECT_EQ('t', ids[0][0]) << ids[0];
	}
}

/* A dead failure domain must not make a node believe that it is partitioned. */
TEST_F(ReachProbeTest, AskAnotherDomainThanTheOneThatFails)
{
	fail("s-d1");
	fail("t-d1");
	for (int i = 0; i < 20; i++)
		for (const std::string &id : pick(3))
			EXPECT_NE("d1", id.substr(2)) << id;
}

TEST_F(ReachProbeTest, BeginNearbyWithoutFailures)
{
	EXPECT_EQ("d1", pick(1)[0].substr(2));
}

TEST_F(ReachProbeTest, NeverAskMoreThanThereAre)
{
	backend_table_free(backends);
	backends = backend_table_new();
	EXPECT_EQ(0u, pick(3).size());
	add("s", "d1");
	EXPECT_EQ(1u, pick(3).size());
}

/* After a cut the servers it made unreachable were refused for seconds. */
TEST_F(ReachProbeTest, BackoffsOfALostWayAreForgotten)
{
	struct backend *before = backend_table_find(backends, "s-d1");
	struct backend *since = backend_table_find(backends, "s-d2");

	backend_unreachable(backends, before, 1000);
	backend_unreachable(backends, since, 2000);
	backend_table_forget_unreachable(backends, 1500);
	EXPECT_GT(before->shun_until_us, 2000u);
	EXPECT_EQ(0u, since->shun_until_us);
	EXPECT_EQ(0u, since->unreachable_us);
	EXPECT_EQ(0u, backends->last_unreachable_us);
}

} // namespace
