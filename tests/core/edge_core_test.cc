/* Tests of small modules of the data path. */
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "core/backend_table.h"
#include "core/duration.h"
#include "core/extra_budget.h"
#include "core/member_table.h"
#include "core/region_flow.h"
#include "core/retry.h"
#include "core/route_table.h"
#include "core/warmth.h"

namespace
{

struct span_case {
	const char *text;
	bool good;
	uint64_t us;
};

TEST(DurationTest, ParsesSpans)
{
	const span_case cases[] = {
		{ "250ms", true, 250000 }, { "2.5s", true, 2500000 },
		{ "0ms", true, 0 },	   { "1s", true, 1000000 },
		{ "", false, 0 },	   { "5", false, 0 },
		{ "ms", false, 0 },	   { "-1s", false, 0 },
		{ "1s ", false, 0 },	   { "1m", false, 0 },
		{ "99999999s", false, 0 }, { "nan s", false, 0 },
	};

	for (const span_case &c : cases) {
		uint64_t us = 0;

		EXPECT_EQ(c.good, duration_parse(c.text, &us)) << c.text;
		if (c.good) {
			EXPECT_EQ(c.us, us) << c.text;
		}
	}
	EXPECT_FALSE(duration_parse(nullptr, nullptr));
}

TEST(DurationTest, CappedDurationsCountAsADay)
{
	const uint64_t day_us = 86400 * US_PER_S;
	const span_case cases[] = {
		{ "2.5s", true, 2500000 },
		{ "1e3ms", true, US_PER_S },
		{ "86400s", true, day_us },
		{ "86401s", true, day_us },
		{ "172800000ms", true, day_us },
		{ "1e999s", true, day_us },
		{ "0s", true, 0 },
		{ "-1s", false, 0 },
		{ "1", false, 0 },
		{ "1h", false, 0 },
		{ "", false, 0 },
	};

	for (const span_case &c : cases) {
		uint64_t us = 0;

		EXPECT_EQ(c.good, duration_parse_capped(c.text, &us)) << c.text;
		EXPECT_EQ(c.us, us) << c.text;
	}
	EXPECT_FALSE(duration_parse_capped(nullptr, nullptr));
}

TEST(DurationTest, ParsesSecondsWithoutAUnit)
{
	const uint64_t day_us = 86400 * US_PER_S;
	const span_case cases[] = {
		{ "0", true, 0 },
		{ "3", true, 3 * US_PER_S },
		{ "0.25", true, 250000 },
		{ "86400", true, day_us },
		{ "86401", true, day_us },
		{ "99999999999999999999999", true, day_us },
		{ "", false, 0 },
		{ "-1", false, 0 },
		{ "+1", false, 0 },
		{ ".5", false, 0 },
		{ "5.", false, 0 },
		{ "1.2.3", false, 0 },
		{ "1s", false, 0 },
		{ "1e3", false, 0 },
		{ "0x10", false, 0 },
		{ "inf", false, 0 },
		{ "nan", false, 0 },
		{ "Fri, 31 Dec 2027 23:59:59 GMT", false, 0 },
	};

	for (const span_case &c : cases) {
		uint64_t us = 0;

		EXPECT_EQ(c.good, duration_parse_seconds(c.text, &us))
			<< c.text;
		EXPECT_EQ(c.us, us) << c.text;
	}
	EXPECT_FALSE(duration_parse_seconds(nullptr, nullptr));
}

class RouteTableTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		table = route_table_new(3);
		for (const char *name : { "s", "t" })
			route_table_add_service(table, name);
		add("root", "h.example", "/", "s");
		add("long", "h.example", "/a/b/", "t");
		add("short", "h.example", "/a/", "s");
		add("other", "x.example", "/a/", "t");
	}
	void TearDown() override
	{
		route_table_unref(table);
	}
	struct route *add(const char *name, const char *host,
			  const char *prefix, const char *service)
	{
		struct route *route =
			route_table_add(table, route_new(name, host, prefix));

		route->timeout_us = 1;
		route->target_us = 1;
		route_add_service(route, service, 1);
		return route;
	}
	struct route_table *table;
};

TEST_F(RouteTableTest, TheLongestPrefixOfTheHostIsFound)
{
	const char *cases[][3] = {
		{ "h.example", "/a/b/c", "long" },
		{ "h.example", "/a/b/", "long" },
		{ "h.example", "/a/b", "short" },
		{ "h.example", "/a?x=/a/b/", "root" },
		{ "h.example", "/", "root" },
		{ "H.EXAMPLE", "/a/", "short" },
		{ "h.example:8080", "/a/", "short" },
		{ "x.example", "/a/b/", "other" },
		{ "x.example", "/", nullptr },
		{ "y.example", "/a/", nullptr },
		{ "", "/a/", nullptr },
		{ "h.example/a", "/b/", nullptr },
		{ "h.example", "/a//b/", "short" },
		{ "h.example", "/a/b/c/d/e/f/", "long" },
		{ "h.example", "a/b/", nullptr },
		{ "h.example", "", nullptr },
		{ "h.example", "*", nullptr },
	};

	route_table_seal(table);
	for (const auto &c : cases) {
		struct route *route = route_table_find(table, c[0], c[1]);

		EXPECT_STREQ(c[2], route ? route->name : nullptr)
			<< c[0] << c[1];
	}
}

struct defect_case {
	const char *name;
	const char *host;
	const char *prefix;
	const char *service;
	double weight;
	uint32_t max_attempts;
	bool placed;
	const char *cause; /* part of the fault's */
};

const defect_case defect_cases[] = {
	{ "BarePrefix", "h.example", "/l", "s", 1, 1, false, "prefix" },
	{ "PrefixWithoutRoot", "h.example", "l/", "s", 1, 1, false, "prefix" },
	{ "EmptyPrefix", "h.example", "", "s", 1, 1, false, "prefix" },
	{ "EmptyHost", "", "/l/", "s", 1, 1, false, "host" },
	{ "UnknownService", "h.example", "/l/", "nobody", 1, 1, true,
	  "nobody" },
	{ "NoWeight", "h.example", "/l/", "s", 0, 1, true, "weight" },
	{ "NoAttempt", "h.example", "/l/", "s", 1, 0, true, "attempts" },
};

class RouteDefectTest : public RouteTableTest,
			public ::testing::WithParamInterface<defect_case>
{
};

/* Guards against a defect of one route that decides about the others. */
TEST_P(RouteDefectTest, IsAFaultOfThisRouteAlone)
{
	const defect_case &c = GetParam();
	struct route *route = add("lost", c.host, c.prefix, c.service);

	((struct route_service *)route->services->pdata[0])->weight = c.weight;
	route->max_attempts = c.max_attempts;
	route_table_seal(table);
	ASSERT_EQ(1u, table->fault_count);
	const auto *fault = (const struct route_fault *)table->faults->pdata[0];
	EXPECT_STREQ("lost", fault->entry);
	EXPECT_NE(nullptr, strstr(fault->cause, c.cause)) << fault->cause;
	EXPECT_EQ(!c.placed, table->lacks_routes);
	struct route *found = route_table_find(table, "h.example", "/l/");
	EXPECT_STREQ(c.placed ? "lost" : "root", found->name);
	EXPECT_EQ(c.placed, found->unusable);
	found = route_table_find(table, "h.example", "/a/b/");
	EXPECT_STREQ("long", found->name);
	EXPECT_FALSE(found->unusable);
	EXPECT_STREQ("t", route_next_service(found));
}

INSTANTIATE_TEST_SUITE_P(Cases, RouteDefectTest,
			 ::testing::ValuesIn(defect_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a version of faults that fills the log and the memory. */
TEST_F(RouteTableTest, OnlyTheFirstFaultsAreKept)
{
	for (uint32_t i = 0; i < 5 * ROUTE_TABLE_MAX_FAULTS; i++)
		route_table_add_fault(table, "r", "odd");
	EXPECT_EQ(5u * ROUTE_TABLE_MAX_FAULTS, table->fault_count);
	EXPECT_EQ((guint)ROUTE_TABLE_MAX_FAULTS, table->faults->len);
}

/* After any number of requests the split is off by at most one request. */
TEST_F(RouteTableTest, ASplitKeepsItsWeights)
{
	struct route *route = add("split", "h.example", "/s/", "s");
	std::map<std::string, int> counts;

	static_cast<struct route_service *>(route->services->pdata[0])->weight =
		90;
	route_add_service(route, "t", 10);
	route_table_seal(table);
	for (int i = 1; i <= 200; i++) {
		counts[route_next_service(route)]++;
		EXPECT_LE(abs(counts["t"] * 10 - i), 10);
	}
	EXPECT_EQ(20, counts["t"]);
}

struct split_case {
	const char *name;
	std::vector<double> weights;
	int requests; /* of each table */
};

const split_case split_cases[] = {
	{ "OneIn200", { 199, 1 }, 10 },
	{ "OneIn200First", { 1, 199 }, 10 },
	{ "OneRequest", { 9, 1 }, 1 },
	{ "Three", { 98, 1, 1 }, 10 },
	{ "ThreeByOneRequest", { 5, 3, 2 }, 1 },
	{ "OneWithoutWeight", { 3, 0, 1 }, 1 },
	{ "LastWithoutWeight", { 3, 1, 0 }, 3 },
};

class SplitStartTest : public ::testing::TestWithParam<split_case>
{
};

/*
 * Guards against a small part of a split that gets nothing where many nodes
 * have few requests each, or versions follow each other quickly.
 */
TEST_P(SplitStartTest, ManyTablesKeepTheSharesTogether)
{
	const split_case &c = GetParam();
	const int tables = 20000;
	std::map<std::string, int> counts;
	double sum = 0;

	g_random_set_seed(1);
	for (int n = 0; n < tables; n++) {
		struct route_table *table = route_table_new(1);
		struct route *route =
			route_table_add(table, route_new("r", "h", "/"));

		route->timeout_us = 1;
		route->target_us = 1;
		for (size_t i = 0; i < c.weights.size(); i++) {
			const std::string name = std::to_string(i);

			route_table_add_service(table, name.c_str());
			route_add_service(route, name.c_str(), c.weights[i]);
		}
		route_table_seal(table);
		for (int i = 0; i < c.requests; i++)
			counts[route_next_service(route)]++;
		route_table_unref(table);
	}
	for (double weight : c.weights)
		sum += weight;
	for (size_t i = 0; i < c.weights.size(); i++) {
		double due = c.weights[i] / sum * tables * c.requests;

		EXPECT_NEAR(due, counts[std::to_string(i)], 0.15 * due) << i;
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, SplitStartTest,
			 ::testing::ValuesIn(split_cases),
			 [](const auto &info) { return info.param.name; });

struct retry_case {
	const char *name;
	bool idempotent;
	uint32_t sends;
	uint32_t unreachable;
	uint64_t left_ms;
	enum send_outcome outcome;
	enum retry_decision step;
};

TEST(RetryTest, OnlyRequestsThatMayRunTwiceAreRetried)
{
	const retry_case cases[] = {
		{ "unreachable: free retry", false, 0, 1, 900, SEND_UNREACHABLE,
		  RETRY_FREE },
		{ "unreachable three times", false, 0, 3, 900, SEND_UNREACHABLE,
		  RETRY_NONE },
		{ "not executed: another server", false, 1, 0, 900,
		  SEND_NOT_EXECUTED, RETRY_BUDGETED },
		{ "broken: it may have run", false, 1, 0, 900, SEND_BROKEN,
		  RETRY_NONE },
		{ "failed: it ran", false, 1, 0, 900, SEND_FAILED, RETRY_NONE },
		{ "broken, idempotent", true, 1, 0, 900, SEND_BROKEN,
		  RETRY_BUDGETED },
		{ "failed, idempotent", true, 1, 0, 900, SEND_FAILED,
		  RETRY_BUDGETED },
		{ "all attempts used", true, 2, 0, 900, SEND_BROKEN,
		  RETRY_NONE },
		{ "no time for an answer", true, 1, 0, 90, SEND_BROKEN,
		  RETRY_NONE },
	};

	for (const retry_case &c : cases) {
		struct retry_state state = {};

		state.idempotent = c.idempotent;
		state.sends = c.sends;
		state.max_attempts = 2;
		state.unreachable = c.unreachable;
		state.left_us = c.left_ms * US_PER_MS;
		state.usual_us = 100 * US_PER_MS;
		EXPECT_EQ(c.step, retry_decide(&state, c.outcome)) << c.name;
	}
}

/* In any window the extra requests of all nodes together keep the limit. */
TEST(ExtraBudgetTest, TheLimitHoldsInEveryWindow)
{
	const struct extra_budget_rule rule = { 0.2, 50, 10 * US_PER_S };
	std::vector<uint64_t> taken;
	std::vector<uint64_t> first;
	struct extra_budget nodes[5] = {};

	for (uint64_t ms = 1; ms < 60000; ms += 20) {
		uint64_t now_us = ms * US_PER_MS;
		struct extra_budget *node = &nodes[(ms / 20) % 5];

		if (ms < 20000 || ms > 40000) {
			extra_budget_record_first(node, &rule, now_us);
			first.push_back(now_us);
		}
		while (extra_budget_take(node, &rule, 5, now_us))
			taken.push_back(now_us);
	}
	ASSERT_GT(taken.size(), 50u);
	for (uint64_t end = rule.window_us; end < 60 * US_PER_S;
	     end += 500 * US_PER_MS) {
		auto within = [&](const std::vector<uint64_t> &times,
				  uint64_t window_us) {
			int count = 0;

			for (uint64_t at : times)
				count += at <= end && at + window_us > end;
			return count;
		};

		EXPECT_LE(within(taken, rule.window_us),
			  0.2 * within(first, 2 * rule.window_us) + 50)
			<< end;
	}
}

/* Whether a request with this preference and object (or none) leaves. */
bool leaves(struct region_flow *flow, bool prefers, uint64_t now_us,
	    const uint32_t *object = nullptr, bool free = false)
{
	struct region_flow_request request = {};

	request.prefers_to_leave = prefers;
	request.has_object = object != nullptr;
	request.object = object ? *object : 0;
	request.skip_limits = free;

	return region_flow_leave(flow, &request, now_us);
}

/* Between two windows of 2 s the share changes by at most 0.15. */
TEST(RegionFlowTest, TheShareChangesInBoundedSteps)
{
	struct region_flow flow;
	std::vector<int> windows;
	uint64_t now_us = US_PER_S;

	region_flow_init(&flow, 0);
	flow.moved_us = now_us;
	for (int window = 0; window < 20; window++) {
		bool prefers = window >= 3 && window < 12;
		int left = 0;

		for (int i = 0; i < 200; i++) {
			left += leaves(&flow, prefers, now_us);
			now_us += 10 * US_PER_MS;
		}
		windows.push_back(left);
	}
	EXPECT_GT(windows[11], 100);
	for (size_t i = 1; i < windows.size(); i++)
		EXPECT_LE(abs(windows[i] - windows[i - 1]), 0.15 * 200) << i;
}

TEST(RegionFlowTest, AfterALossThereIsNoLimit)
{
	struct region_flow flow;

	region_flow_init(&flow, 0);
	EXPECT_FALSE(leaves(&flow, false, US_PER_S));
	for (int i = 0; i < 10; i++)
		EXPECT_TRUE(leaves(&flow, true, US_PER_S, nullptr, true));
}

/*
 * Half of a region's requests have to leave it, and each object's requests
 * mostly stay on one side. If requests were drawn at random, half of them would
 * reach servers whose caches another region fills for the object; this way 2 in
 * 100 do.
 */
TEST(RegionFlowTest, WholeObjectsLeave)
{
	std::map<uint32_t, std::array<int, 2>> sides;
	struct region_flow flow;
	GRand *random = g_rand_new_with_seed(3);
	uint64_t now_us = US_PER_S;
	int left = 0;
	int astray = 0;

	region_flow_init(&flow, 0.5);
	flow.moved_us = now_us;
	for (int i = 0; i < 4000; i++) {
		uint32_t object = (uint32_t)g_rand_int_range(random, 0, 70);
		bool leave = leaves(&flow, i % 2, now_us, &object);

		sides[object][leave]++;
		left += leave;
		now_us += 5 * US_PER_MS;
	}
	g_rand_free(random);
	for (const auto &side : sides)
		astray += std::min(side.second[0], side.second[1]);
	EXPECT_EQ(70u, sides.size());
	EXPECT_LE(astray, 400);
	EXPECT_NEAR(2000, left, 400);
}

/*
 * One object has a third of the requests and its place in the order comes
 * within the share. It must leave in steps, or a third of all requests would
 * change region within one window.
 */
TEST(RegionFlowTest, AnObjectWithManyRequestsLeavesInSteps)
{
	struct region_flow flow;
	std::vector<int> windows;
	GRand *random = g_rand_new_with_seed(4);
	uint64_t now_us = US_PER_S;

	region_flow_init(&flow, 0);
	flow.moved_us = now_us;
	for (int window = 0; window < 20; window++) {
		int left = 0;

		for (int i = 0; i < 200; i++) {
			uint32_t object = i % 3 ? (uint32_t)g_rand_int_range(
							  random, 1, 60) :
						  0;

			left += leaves(&flow, window >= 3, now_us, &object);
			now_us += 10 * US_PER_MS;
		}
		windows.push_back(left);
	}
	g_rand_free(random);
	EXPECT_GT(windows.back(), 100);
	for (size_t i = 1; i < windows.size(); i++)
		EXPECT_LE(abs(windows[i] - windows[i - 1]), 0.15 * 200) << i;
}

class MemberTableTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		table = member_table_new("a");
		place("a", "r1");
		place("b", "r1");
		place("c", "r2");
	}
	void TearDown() override
	{
		member_table_free(table);
	}
	struct member *place(const char *name, const char *region)
	{
		struct member *member = member_table_put(table, name);

		g_free(member->region);
		member->region = g_strdup(region);
		member->front.port = 80;
		return member;
	}
	uint32_t entries(const char *region)
	{
		const struct member *found[8];

		return member_table_entries(table, region, now_us, found, 8);
	}
	uint64_t now_us = 50 * US_PER_S;
	struct member_table *table;
};

TEST_F(MemberTableTest, AMemberIsLiveWhileItsHeartbeatIncreases)
{
	struct member *b = member_table_find(table, "b");

	EXPECT_EQ(1u, entries("r1")) << "no heartbeat of b";
	EXPECT_TRUE(member_note_heartbeat(b, 10, false, now_us));
	EXPECT_EQ(2u, entries("r1"));
	now_us += MEMBER_TIMEOUT_US;
	EXPECT_FALSE(member_note_heartbeat(b, 10, false, now_us))
		<< "an old heartbeat";
	EXPECT_EQ(1u, entries("r1"));
	EXPECT_TRUE(member_note_heartbeat(b, 11, false, now_us));
	EXPECT_EQ(2u, entries("r1"));
	member_note_heartbeat(b, 12, true, now_us);
	EXPECT_EQ(1u, entries("r1")) << "b is leaving";
}

/* Look-ups named nodes without a way to any server. */
TEST_F(MemberTableTest, PartitionedNodesAreNamedOnlyIfThereIsNoOther)
{
	struct member *b = member_table_find(table, "b");
	struct member *c = member_table_find(table, "c");

	for (struct member *member : { b, c })
		member_note_heartbeat(member, 1, false, now_us);
	ASSERT_EQ(2u, entries("r1"));
	b->partitioned = true;
	EXPECT_EQ(1u, entries("r1"));
	table->self->partitioned = true;
	EXPECT_EQ(1u, entries("r1")) << "another region's";
	c->partitioned = true;
	EXPECT_EQ(2u, entries("r1")) << "all are partitioned: the region's";
	EXPECT_EQ(3u, entries("r9"));
}

TEST_F(MemberTableTest, CallersOfARegionWithoutNodesGetAllNodes)
{
	EXPECT_EQ(1u, entries("r9"));
	member_note_heartbeat(member_table_find(table, "c"), 1, false, now_us);
	EXPECT_EQ(2u, entries("r9"));
	EXPECT_EQ(1u, entries("r2"));
}

/* A region has one reader; when it times out the next node takes over. */
TEST_F(MemberTableTest, ARegionHasOneReader)
{
	struct member *b = member_table_find(table, "b");

	b->hash = 0;
	EXPECT_EQ(table->self, member_table_reader(table, now_us));
	member_note_heartbeat(b, 1, false, now_us);
	EXPECT_EQ(b, member_table_reader(table, now_us));
	now_us += MEMBER_TIMEOUT_US;
	EXPECT_EQ(table->self, member_table_reader(table, now_us));
}

/* A reader sends to its whole region, so the widest link comes first. */
TEST_F(MemberTableTest, TheNodeWithTheWidestLinkIsTheReader)
{
	struct member *b = member_table_find(table, "b");
	struct member *d = place("d", "r1");
	const struct member *first[2];

	b->hash = 0;
	b->peer.port = 1;
	d->peer.port = 1;
	d->link_mbps = 200;
	for (const char *name : { "b", "d" })
		member_note_heartbeat(member_table_find(table, name), 1, false,
				      now_us);
	EXPECT_EQ(d, member_table_reader(table, now_us));
	EXPECT_EQ(2u, member_table_reader_rank(table));
	ASSERT_EQ(2u, member_table_first_readers(table, first, 2));
	EXPECT_EQ(d, first[0]);
	EXPECT_EQ(b, first[1]);
	ASSERT_EQ(1u, member_table_first_readers(table, first, 1));
	EXPECT_EQ(d, first[0]);
	table->self->link_mbps = 1000;
	EXPECT_EQ(table->self, member_table_reader(table, now_us));
	EXPECT_EQ(0u, member_table_reader_rank(table));
	table->self->leaving = true;
	EXPECT_EQ(d, member_table_reader(table, now_us));
}

/*
 * All nodes of a region start together, without any heartbeat received. If
 * members without a heartbeat counted as dead, each node would take itself for
 * the reader and call the store until heartbeats arrive.
 */
TEST_F(MemberTableTest, ANodeThatHasJustStartedIsNotTheReader)
{
	struct member *b = member_table_find(table, "b");

	b->hash = 0;
	EXPECT_TRUE(member_table_is_reader(table, now_us));
	b->listed_us = now_us;
	EXPECT_FALSE(member_table_is_reader(table, now_us));
	member_note_heartbeat(b, 1, true, now_us);
	EXPECT_FALSE(member_table_is_reader(table, now_us))
		<< "b is starting, too";
	now_us += MEMBER_TIMEOUT_US;
	EXPECT_TRUE(member_table_is_reader(table, now_us))
		<< "no heartbeat of b in time";
	member_note_heartbeat(b, 2, false, now_us);
	EXPECT_FALSE(member_table_is_reader(table, now_us));
	table->self->link_mbps = 1;
	EXPECT_TRUE(member_table_is_reader(table, now_us));
	table->self->leaving = true;
	EXPECT_FALSE(member_table_is_reader(table, now_us));
}

/*
 * 82 nodes are replaced a day. If the row of a lost node stayed, it would keep
 * its share of the retry budget and of cold servers' allowances for ever.
 */
TEST_F(MemberTableTest, ALostNodeIsRemovedByItsRegionsReader)
{
	const uint64_t forget_us = 600 * US_PER_S;
	struct member *b = member_table_find(table, "b");
	struct member *c = member_table_find(table, "c");

	b->listed_us = now_us;
	c->listed_us = now_us;
	now_us += forget_us - 1;
	EXPECT_EQ(nullptr, member_table_find_expired(table, forget_us, now_us));
	member_note_heartbeat(c, 1, false, now_us);
	now_us += 1;
	EXPECT_EQ(b, member_table_find_expired(table, forget_us, now_us));
	member_table_remove(table, "b");
	now_us += forget_us;
	EXPECT_EQ(c, member_table_find_expired(table, forget_us, now_us))
		<< "no live node in its region";
	place("d", "r2");
	member_note_heartbeat(member_table_find(table, "d"), 1, false, now_us);
	EXPECT_EQ(nullptr, member_table_find_expired(table, forget_us, now_us))
		<< "left to its own region's reader";
}

TEST(WarmthTest, TheTableIsBounded)
{
	struct warmth warmth;

	warmth_init(&warmth);
	for (uint32_t i = 0; i < 3 * WARMTH_MAX_ENTRIES; i++) {
		struct warm_pair pair = { 1, i };

		warmth_note(&warmth, pair, WARM_RECEIVED, (i + 1) * US_PER_MS);
	}
	struct warm_pair newest = { 1, 3 * WARMTH_MAX_ENTRIES - 1 };
	struct warm_pair oldest = { 1, 0 };
	EXPECT_TRUE(warmth_has(&warmth, newest));
	EXPECT_FALSE(warmth_has(&warmth, oldest));
	EXPECT_LE(g_hash_table_size(warmth.seen), (guint)WARMTH_MAX_ENTRIES);
	warmth_release(&warmth);
}

/* A first request starts, and succeeds, fails or never ends. */
TEST(WarmthTest, APairIsWarmingUntilItsFirstRequestEnds)
{
	const struct warm_pair well = { 1, 1 };
	const struct warm_pair badly = { 1, 2 };
	const struct warm_pair lost = { 1, 3 };
	const uint64_t now_us = 10 * US_PER_S;
	const uint64_t ready_us = now_us + 600 * US_PER_MS;
	struct warmth warmth;

	warmth_init(&warmth);
	for (const struct warm_pair &pair : { well, badly, lost }) {
		warmth_begin(&warmth, pair, WARM_OWN, ready_us, now_us);
		EXPECT_FALSE(warmth_has(&warmth, pair));
		EXPECT_NEAR((double)ready_us,
			    (double)warmth_ready_us(&warmth, pair, now_us),
			    2.0 * US_PER_MS);
	}
	EXPECT_EQ(3u, warmth.updates->len);
	warmth_begin(&warmth, well, WARM_OWN, ready_us + 1000, now_us);
	EXPECT_EQ(3u, warmth.updates->len) << "already warming";
	warmth_note(&warmth, well, WARM_OWN, ready_us);
	EXPECT_TRUE(warmth_has(&warmth, well));
	EXPECT_EQ(0u, warmth_ready_us(&warmth, well, ready_us));
	EXPECT_EQ(4u, warmth.updates->len) << "an update: it is warm";
	warmth_begin(&warmth, well, WARM_OWN, ready_us, now_us);
	EXPECT_EQ(4u, warmth.updates->len) << "already warm";
	warmth_abandon(&warmth, badly);
	EXPECT_EQ(0u, warmth_ready_us(&warmth, badly, now_us));
	EXPECT_EQ(0u, warmth_ready_us(&warmth, lost, ready_us + US_PER_S));
	warmth_release(&warmth);
}

TEST(BackendTableTest, NodesWithTheSameDataHaveTheSameDigest)
{
	struct backend_table *a = backend_table_new();
	struct backend_table *b = backend_table_new();
	struct backend_info info = {};

	info.service = "s";
	info.domain = "d";
	info.region = "r";
	info.slots = 3;
	for (const char *id : { "i-1", "i-2", "i-3" }) {
		info.id = id;
		backend_table_put(a, &info, 1);
	}
	for (const char *id : { "i-3", "i-1", "i-2" }) {
		info.id = id;
		backend_table_put(b, &info, 2);
	}
	EXPECT_EQ(backend_table_digest(a), backend_table_digest(b));
	info.draining = true;
	backend_table_put(b, &info, 3);
	EXPECT_NE(backend_table_digest(a), backend_table_digest(b));
	backend_table_put(a, &info, 3);
	EXPECT_EQ(backend_table_digest(a), backend_table_digest(b));
	backend_table_remove(a, "i-1", {}, 0, 4);
	EXPECT_NE(backend_table_digest(a), backend_table_digest(b));
	backend_table_free(a);
	backend_table_free(b);
}

class NoticeTableTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		info.id = "i-1";
		info.service = "s";
		info.domain = "d";
		info.region = "r";
		info.slots = 3;
		backend = backend_table_put(table, &info, now_us);
	}
	void TearDown() override
	{
		backend_table_free(table);
	}
	/* Its row goes, and comes back later. */
	void lose_row_for(uint64_t us)
	{
		backend_table_remove(table, "i-1", {}, 0, now_us);
		now_us += us;
		backend_table_expire(table, now_us);
		backend = backend_table_put(table, &info, now_us);
	}
	struct backend_table *table = backend_table_new();
	struct backend_info info = {};
	struct backend *backend = nullptr;
	uint64_t now_us = 100 * US_PER_S;
};

/* Guards against a shorter rest, or none, ending a longer one. */
TEST_F(NoticeTableTest, LongestRestCounts)
{
	EXPECT_TRUE(backend_note_rest(table, backend, 5 * US_PER_S, now_us));
	EXPECT_FALSE(backend_note_rest(table, backend, US_PER_S, now_us));
	backend_note_no_rest(backend, now_us);
	EXPECT_TRUE(backend_is_resting(backend, now_us + 5 * US_PER_S - 1));
	EXPECT_FALSE(backend_is_resting(backend, now_us + 5 * US_PER_S));
}

/* Guards against an answer to an earlier request letting all others in. */
TEST_F(NoticeTableTest, OneRequestIsSentUntilALaterOneWasAnswered)
{
	backend_begin(backend, 1, now_us);
	backend_note_rest(table, backend, US_PER_S, now_us);
	EXPECT_TRUE(backend_rest_excludes(backend, false, now_us));
	now_us += US_PER_S;
	backend_note_no_rest(backend, now_us - 1);
	EXPECT_TRUE(backend_rest_excludes(backend, false, now_us)) << "early";
	backend_end(backend, 1);
	EXPECT_FALSE(backend_rest_excludes(backend, false, now_us));
	EXPECT_TRUE(backend_rest_excludes(backend, true, now_us)) << "a retry";
	backend_begin(backend, 1, now_us);
	EXPECT_TRUE(backend_rest_excludes(backend, false, now_us)) << "second";
	backend_note_no_rest(backend, now_us);
	EXPECT_FALSE(backend_rest_excludes(backend, false, now_us));
	EXPECT_FALSE(backend_rest_excludes(backend, true, now_us));
}

/* Guards against a row that expires and comes back undoing what was said. */
TEST_F(NoticeTableTest, NoticesOutliveTheRow)
{
	backend_note_leaving(table, backend, now_us);
	backend_note_rest(table, backend, 9 * US_PER_S, now_us);
	lose_row_for(4 * US_PER_S);
	EXPECT_TRUE(backend_is_leaving(backend));
	EXPECT_TRUE(backend_is_resting(backend, now_us));
	lose_row_for(120 * US_PER_S);
	EXPECT_FALSE(backend_is_leaving(backend)) << "bounded";
}

/* Guards against losing what an answer says that comes after the row is gone.
 */
TEST_F(NoticeTableTest, NoticeOfAServerWithoutARowIsKept)
{
	struct backend *before = backend_ref(backend);

	backend_table_remove(table, "i-1", {}, 0, now_us);
	EXPECT_TRUE(backend_note_leaving(table, before, now_us));
	EXPECT_TRUE(backend_note_rest(table, before, US_PER_S, now_us));
	backend = backend_table_put(table, &info, now_us);
	EXPECT_TRUE(backend_is_leaving(backend));
	EXPECT_TRUE(backend_is_resting(backend, now_us));
	backend_unref(before);
}

/* Guards against losing what an answer says that comes after the row is back.
 */
TEST_F(NoticeTableTest, NoticeReachesTheServerThatIsBack)
{
	struct backend *before = backend_ref(backend);

	lose_row_for(US_PER_S);
	ASSERT_NE(before, backend);
	EXPECT_TRUE(backend_note_leaving(table, before, now_us));
	EXPECT_TRUE(backend_note_rest(table, before, US_PER_S, now_us));
	EXPECT_TRUE(backend_is_leaving(backend));
	EXPECT_TRUE(backend_is_resting(backend, now_us));
	backend_unref(before);
}

/* Guards against a restarted server that is left alone. */
TEST_F(NoticeTableTest, NewLifetimeHasSaidNothing)
{
	backend_note_leaving(table, backend, now_us);
	backend_note_rest(table, backend, 9 * US_PER_S, now_us);
	info.started_ms = 5000;
	backend = backend_table_put(table, &info, now_us);
	EXPECT_FALSE(backend_is_leaving(backend));
	EXPECT_FALSE(backend_rest_excludes(backend, true, now_us));
	info.started_ms = 6000;
	lose_row_for(US_PER_S);
	EXPECT_FALSE(backend_is_leaving(backend));
}

/*
 * A server crashes and restarts under its id before its heartbeats time out. It
 * starts with an empty cache and no requests, so failures, load and warm
 * objects of the previous incarnation don't count. Only the log of cold sends
 * is carried over.
 */
TEST(BackendTableTest, ARestartUnderTheSameIdIsANewIncarnation)
{
	struct backend_table *table = backend_table_new();
	struct backend_info info = {};
	uint64_t now_us = 10 * US_PER_S;

	info.id = "i-1";
	info.service = "s";
	info.domain = "d1";
	info.region = "r1";
	info.slots = 4;
	info.started_ms = 1000;
	info.cold_left_us = US_PER_S;
	struct backend *before =
		backend_ref(backend_table_put(table, &info, now_us));
	uint64_t digest = backend_table_digest(table);
	backend_begin(before, 1000, now_us);
	backend_note_load(before, 4, 9, now_us);
	for (int i = 0; i < 10; i++)
		backend_failed(before, now_us);

	info.started_ms = 2000;
	struct backend *again = backend_table_put(table, &info, now_us);
	EXPECT_NE(before, again);
	EXPECT_TRUE(before->gone);
	EXPECT_NE(before->incarnation, again->incarnation);
	EXPECT_EQ(before->hash, again->hash) << "the rendezvous order stays";
	EXPECT_EQ(0, backend_load(again, now_us));
	EXPECT_EQ(0, again->failures);
	EXPECT_EQ(0u, again->shun_until_us);
	EXPECT_EQ(1u, backend_cold_sends(again, now_us));
	EXPECT_NE(digest, backend_table_digest(table));
	EXPECT_EQ(nullptr,
		  backend_table_find_incarnation(table, before->incarnation));
	EXPECT_EQ(again,
		  backend_table_find_incarnation(table, again->incarnation));

	info.started_ms = 1000;
	info.draining = true;
	EXPECT_EQ(again, backend_table_put(table, &info, now_us));
	EXPECT_FALSE(again->draining);
	backend_end(before, 1000);
	backend_unref(before);
	backend_table_free(table);
}

/* Reported load decays; a peer's reports can be cleared by sender. */
TEST(BackendTableTest, LoadIncludesOtherNodesRequests)
{
	struct backend_table *table = backend_table_new();
	struct backend_info info = {};
	uint64_t now_us = US_PER_S;

	info.id = "i-1";
	info.service = "s";
	info.domain = "d";
	info.region = "r";
	info.slots = 3;
	struct backend *backend = backend_table_put(table, &info, now_us);
	backend_begin(backend, 100, now_us);
	EXPECT_DOUBLE_EQ(1.0, backend_load(backend, now_us));
	backend_note_load(backend, 3, 1, now_us);
	EXPECT_DOUBLE_EQ(4.0, backend_load(backend, now_us));
	EXPECT_LT(backend_load(backend, now_us + 3 * US_PER_S), 1.5);
	backend_note_peer_load(backend, 77, 5, now_us);
	backend_note_peer_load(backend, 78, 2, now_us);
	EXPECT_DOUBLE_EQ(8.0, backend_load(backend, now_us));
	backend_table_clear_peer_loads(table, 77);
	EXPECT_DOUBLE_EQ(4.0, backend_load(backend, now_us));
	backend_table_free(table);
}

/* A row of the server as received, and the state that the table then has. */
struct row_step {
	struct row_version version;
	char state; /* 'r'eady, 'd'raining, 'g'one */
	char expected; /* state in the table */
};

struct row_case {
	const char *name;
	std::vector<row_step> steps;
};

const row_case row_cases[] = {
	{ "InOrder",
	  { { { 3, 0 }, 'r', 'r' },
	    { { 5, 0 }, 'd', 'd' },
	    { { 9, 0 }, 'g', 'g' } } },
	{ "OlderRowReady", { { { 5, 0 }, 'd', 'd' }, { { 3, 0 }, 'r', 'd' } } },
	{ "OlderRowOfARemovedServer",
	  { { { 3, 0 }, 'r', 'r' },
	    { { 9, 0 }, 'g', 'g' },
	    { { 5, 0 }, 'd', 'g' } } },
	{ "OlderRowOfAnUnknownServer",
	  { { { 9, 0 }, 'g', 'g' }, { { 5, 0 }, 'r', 'g' } } },
	{ "OlderRemoval", { { { 9, 0 }, 'r', 'r' }, { { 5, 0 }, 'g', 'r' } } },
	{ "ListedAgainAfterRemoval",
	  { { { 3, 0 }, 'r', 'r' },
	    { { 5, 0 }, 'g', 'g' },
	    { { 6, 0 }, 'r', 'r' } } },
	{ "SameRowAgain", { { { 5, 0 }, 'd', 'd' }, { { 5, 0 }, 'd', 'd' } } },
	{ "LaterEraAndLowerNumber",
	  { { { 9, 1 }, 'r', 'r' },
	    { { 5, 2 }, 'd', 'd' },
	    { { 4, 3 }, 'g', 'g' } } },
	{ "EarlierEraAndHigherNumber",
	  { { { 5, 2 }, 'd', 'd' },
	    { { 9, 1 }, 'r', 'd' },
	    { { 9, 1 }, 'g', 'd' } } },
	{ "RemovedInAnEarlierEra",
	  { { { 9, 1 }, 'g', 'g' },
	    { { 5, 2 }, 'r', 'r' },
	    { { 10, 1 }, 'g', 'r' } } },
	{ "WithoutVersions",
	  { { { 0, 0 }, 'd', 'd' },
	    { { 0, 0 }, 'r', 'r' },
	    { { 0, 0 }, 'g', 'g' },
	    { { 0, 0 }, 'r', 'r' } } },
};

class RowTest : public ::testing::TestWithParam<row_case>
{
};

TEST_P(RowTest, TheNewestRowWins)
{
	struct backend_table *table = backend_table_new();
	struct backend_info info = {};
	uint64_t now_us = 1;

	info.id = "i-1";
	info.service = "s";
	info.domain = "d1";
	info.region = "r1";
	for (const row_step &step : GetParam().steps) {
		info.version = step.version;
		info.draining = step.state == 'd';
		if (step.state == 'g')
			backend_table_remove(table, "i-1", step.version, 0,
					     now_us);
		else
			backend_table_put(table, &info, now_us);
		const struct backend *known = backend_table_find(table, "i-1");
		char state = !known ? 'g' : known->draining ? 'd' : 'r';
		EXPECT_EQ(step.expected, state) << step.version.number;
		now_us++;
	}
	backend_table_free(table);
}

/* Guards against requests to servers that are ready in a restored list. */
TEST(RestoredRowTest, ServerThatDrainedOrLeftGetsNoRequests)
{
	for (bool drains : { false, true })
		for (bool removed : { false, true }) {
			struct backend_table *table = backend_table_new();
			struct backend_info info = {};
			struct backend *backend;

			info.id = "i-1";
			info.service = "s";
			info.domain = "d1";
			info.region = "r1";
			info.version = { 9, 1 };
			info.draining = drains;
			backend_table_put(table, &info, 1);
			if (removed)
				backend_table_remove(table, "i-1", { 10, 1 }, 0,
						     2);
			info.version = { 5, 2 };
			info.draining = false;
			backend = backend_table_put(table, &info, 3);
			EXPECT_EQ(drains, backend_is_leaving(backend));
			EXPECT_EQ(removed, backend_is_resting(backend, 4));
			backend_table_free(table);
		}
}

INSTANTIATE_TEST_SUITE_P(Cases, RowTest, ::testing::ValuesIn(row_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
