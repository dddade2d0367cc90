/* Where nodes read the platform's tables from, alone and among hundreds. */
#include <functional>
#include <vector>

#include <glib.h>
#include <gtest/gtest.h>

#include "core/duration.h"
#include "core/read_plan.h"

namespace
{

const uint64_t TTL_US = 2 * US_PER_S;
const uint64_t NOW_US = 100 * US_PER_S;

struct plan_case {
	const char *name;
	bool loaded;
	bool is_reader;
	uint32_t rank;
	bool has_peers;
	uint64_t since_start_us;
	uint64_t confirmation_age_us;
	bool version_differs;
	bool other_table_fails;
	uint32_t peer_attempts;
	enum read_source source;
	enum read_cause cause;
};

const plan_case plan_cases[] = {
	{ "FirstNodeCallsPlatformAtStart", false, false, 2, true, 0, 0, false,
	  false, 0, READ_PLATFORM, READ_AT_START },
	{ "OtherNodeAsksPeerAtStart", false, false, 3, true, 0, 0, false, false,
	  9, READ_PEER, READ_AT_START },
	{ "OtherNodeCallsPlatformAfterStartWait", false, false, 3, true,
	  1500 * US_PER_MS, 0, false, false, 9, READ_PLATFORM, READ_AT_START },
	{ "WaitsWhileNoPeerIsKnown", false, false, READ_RANK_UNKNOWN, false, 0,
	  0, false, false, 0, READ_NONE, READ_AT_START },
	{ "ReaderCallsPlatform", true, true, 0, true, NOW_US, 0, false, false,
	  0, READ_PLATFORM, READ_AS_READER },
	{ "ValidConfirmationNeedsNoCall", true, false, 9, true, NOW_US, 0,
	  false, false, 0, READ_NONE, READ_UP_TO_DATE },
	{ "ExpiredConfirmationNeedsCall", true, false, 9, true, NOW_US, TTL_US,
	  false, false, 0, READ_PLATFORM, READ_CONFIRMATION_EXPIRED },
	{ "DifferingVersionIsReadFromPeer", true, false, 9, true, NOW_US, 0,
	  true, false, 1, READ_PEER, READ_VERSION_DIFFERS },
	{ "DifferingVersionFromPlatformAfterAttempts", true, false, 9, true,
	  NOW_US, 0, true, false, 2, READ_PLATFORM, READ_VERSION_DIFFERS },
	{ "DifferingVersionFromPlatformWithoutPeers", true, false, 9, false,
	  NOW_US, 0, true, false, 0, READ_PLATFORM, READ_VERSION_DIFFERS },
	{ "ExpiryComesBeforeDifferingVersion", true, false, 9, true, NOW_US,
	  TTL_US, true, false, 0, READ_PLATFORM, READ_CONFIRMATION_EXPIRED },
	{ "LeavesRetryToOtherTable", true, false, 9, true, NOW_US, TTL_US,
	  false, true, 0, READ_NONE, READ_CONFIRMATION_EXPIRED },
	{ "FirstNodesRetryAllTables", true, false, 2, true, NOW_US, TTL_US,
	  false, true, 0, READ_PLATFORM, READ_CONFIRMATION_EXPIRED },
};

class ReadPlanTest : public ::testing::TestWithParam<plan_case>
{
};

TEST_P(ReadPlanTest, ChoosesSourceAndCause)
{
	const plan_case &c = GetParam();
	const struct read_state state = {
		.is_reader = c.is_reader,
		.loaded = c.loaded,
		.rank = c.rank,
		.has_peers = c.has_peers,
		.started_us = NOW_US - c.since_start_us,
		.confirmed_us = NOW_US - c.confirmation_age_us,
		.confirmation_ttl_us = TTL_US,
		.version_differs = c.version_differs,
		.other_table_fails = c.other_table_fails,
		.peer_attempts = c.peer_attempts,
		.max_peer_attempts = 2,
	};
	struct read_step step;

	read_plan(&state, NOW_US, &step);
	EXPECT_EQ(c.source, step.source);
	EXPECT_EQ(c.cause, step.cause);
}

INSTANTIATE_TEST_SUITE_P(Cases, ReadPlanTest, ::testing::ValuesIn(plan_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * Hundreds of nodes of a region start at the same time after a power failure.
 * If each reads the three tables from the platform, over a thousand calls come
 * at once, and rejected ones are retried later still. Only the first nodes may
 * call, so that the number of calls doesn't grow with the nodes; if those are
 * lost, the others must still get the tables.
 */
class StartTest : public ::testing::Test
{
      protected:
	struct Node {
		struct read_state state = {};
		uint64_t next_us = 0;
		uint64_t loaded_us = UINT64_MAX; /* when it has the table */
		uint32_t calls = 0;
	};
	static constexpr uint64_t PLATFORM_READ_US = 600 * US_PER_MS;
	static constexpr uint64_t PEER_READ_US = 20 * US_PER_MS;

	/* Start count nodes; the first `lost` ones never come up. */
	void run(uint32_t count, uint32_t lost)
	{
		nodes.assign(count, Node());
		for (uint32_t i = 0; i < count; i++) {
			nodes[i].state.rank = i;
			nodes[i].state.has_peers = count > 1;
			nodes[i].state.confirmation_ttl_us = TTL_US;
		}
		for (uint64_t now = 0; now < 5 * US_PER_S; now += 10000)
			for (uint32_t i = lost; i < count; i++)
				turn(nodes[i], now, lost);
	}
	void turn(Node &node, uint64_t now, uint32_t lost)
	{
		struct read_step step;

		if (node.loaded_us != UINT64_MAX || now < node.next_us)
			return;
		read_plan(&node.state, now, &step);
		if (step.source == READ_PLATFORM) {
			node.calls++;
			node.loaded_us = now + PLATFORM_READ_US;
		} else if (step.source == READ_PEER &&
			   peer_has_table(node, now, lost)) {
			node.loaded_us = now + PEER_READ_US;
		}
		node.next_us = now + step.wait_us;
	}
	bool peer_has_table(Node &node, uint64_t now, uint32_t lost)
	{
		uint32_t peer = (node.state.rank + node.state.peer_attempts++) %
				READ_FIRST_NODES;

		return peer >= lost && nodes[peer].loaded_us <= now;
	}
	uint32_t calls() const
	{
		uint32_t sum = 0;

		for (const Node &node : nodes)
			sum += node.calls;
		return sum;
	}
	uint64_t last_loaded_us(uint32_t from) const
	{
		uint64_t last = 0;

		for (size_t i = from; i < nodes.size(); i++)
			last = MAX(last, nodes[i].loaded_us);
		return last;
	}
	std::vector<Node> nodes;
};

TEST_F(StartTest, CallsDoNotGrowWithTheNodes)
{
	for (uint32_t count : { 1u, 3u, 98u, 367u }) {
		run(count, 0);
		EXPECT_EQ(MIN(count, READ_FIRST_NODES), calls()) << count;
		EXPECT_LE(last_loaded_us(0), US_PER_S) << count;
	}
}

TEST_F(StartTest, LossOfOneFirstNodeCausesNoExtraCall)
{
	run(98, 1);
	EXPECT_EQ(READ_FIRST_NODES - 1u, calls());
	EXPECT_LE(last_loaded_us(1), 1200 * US_PER_MS);
}

TEST_F(StartTest, WithoutFirstNodesTheOthersCallThePlatform)
{
	run(98, READ_FIRST_NODES);
	EXPECT_EQ(95u, calls());
	EXPECT_LE(last_loaded_us(READ_FIRST_NODES), 2200 * US_PER_MS);
}

/*
 * The store rejects all calls for five seconds. If hundreds of nodes retry
 * several times a second each, these useless calls are most of a day's calls.
 * Only the first nodes may retry often, so that they notice within half a
 * second that the store is back.
 */
TEST(ReadRetryTest, FewNodesRetryOftenWhileTheStoreIsDown)
{
	const uint64_t down_us = 5 * US_PER_S;
	uint32_t calls = 0;
	uint32_t calls_of_first = 0;

	for (uint32_t rank = 0; rank < 98; rank++) {
		uint64_t now_us = 0;
		uint32_t failures = 0;

		while (now_us < down_us) {
			uint64_t pause_us =
				read_retry_delay_us(++failures, rank, 0.5);

			EXPECT_LE(pause_us, rank < READ_FIRST_NODES ?
						    400 * US_PER_MS :
						    1600 * US_PER_MS);
			EXPECT_GE(pause_us, 150 * US_PER_MS);
			now_us += pause_us;
		}
		calls += failures;
		calls_of_first += rank < READ_FIRST_NODES ? failures : 0;
	}
	EXPECT_GE(calls_of_first, 3u * 12);
	EXPECT_LE(calls - calls_of_first, 95u * 6);
}

/* Nodes whose calls failed at the same time must not retry at the same time. */
TEST(ReadRetryTest, DelaysHaveJitter)
{
	EXPECT_GT(read_retry_delay_us(9, 50, 0.0) -
			  read_retry_delay_us(9, 50, 1.0),
		  300 * US_PER_MS);
}

/* Half of the link is left for callers if all peers ask at the same time. */
TEST(ReadMayServePeerTest, HalfOfTheLinkStaysFree)
{
	const struct {
		uint64_t bytes;
		uint32_t link_mbps;
		int min; /* answers within a second */
		int max;
	} cases[] = {
		{ 100000, 200, 115, 140 },
		{ 10000, 10, 50, 75 },
		{ 1000000, 10, 0, 0 }, /* would occupy the link for seconds */
		{ 100, 0, 600, 700 },
	};

	for (const auto &c : cases) {
		uint64_t busy_until_us = 0;
		int served = 0;

		for (uint64_t now = 0; now < US_PER_S; now += 1000)
			for (int i = 0; i < 10; i++)
				served += read_may_serve_peer(&busy_until_us,
							      c.bytes,
							      c.link_mbps, now);
		EXPECT_GE(served, c.min) << c.bytes << " " << c.link_mbps;
		EXPECT_LE(served, c.max) << c.bytes << " " << c.link_mbps;
	}
}

} // namespace
