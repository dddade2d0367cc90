/* The choice of a backend server: filters, cost, cold allowance, regions. */
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "core/choose.h"
#include "core/duration.h"

namespace
{

class ChooseTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		backends = backend_table_new();
		members = member_table_new("n1");
		set_text(&members->self->region, "r1");
		warmth_init(&warmth);
		chooser_init(&chooser, backends, members, &warmth, "d1", "r1");
		routes = route_table_new(1);
		service = route_table_add_service(routes, "s");
		service->warmup_us = 3 * US_PER_S;
		service->cold_per_s = 5.6;
		route = route_table_add(routes, route_new("r", "h", "/r/"));
		route->idempotent = true;
		route->timeout_us = 2 * US_PER_S;
		route->target_us = 600 * US_PER_MS;
		route_add_part(route, "s", 1);
		query.route = route;
		query.service = service;
		query.has_object = true;
		query.object = 7;
		query.left_us = 2 * US_PER_S;
	}
	void TearDown() override
	{
		chooser_release(&chooser);
		warmth_release(&warmth);
		backend_table_free(backends);
		member_table_free(members);
		route_table_unref(routes);
	}
	static void set_text(char **at, const char *text)
	{
		g_free(*at);
		*at = g_strdup(text);
	}
	struct backend *add(const std::string &id, const char *domain = "d1",
			    const char *region = "r1", uint64_t cold_us = 0)
	{
		struct backend_facts facts = {};

		facts.id = id.c_str();
		facts.service = "s";
		facts.domain = domain;
		facts.region = region;
		facts.slots = 4;
		facts.cold_left_us = cold_us;
		return backend_table_put(backends, &facts, now_us);
	}
	/* How much of the service's requests leaves the region. */
	struct region_flow *chooser_flow(const char *of)
	{
		return (struct region_flow *)g_hash_table_lookup(chooser.flows,
								 of);
	}
	struct choice choose()
	{
		struct choice choice;

		choose_backend(&chooser, &query, now_us, &choice);
		return choice;
	}

	/* It ran the query's object cold, in 900 ms. */
	void learn(struct backend *backend)
	{
		struct choice choice = {};

		choice.backend = backend;
		chooser_learn(&chooser, &query, &choice, 900 * US_PER_MS, 0,
			      now_us);
	}

	/* The members as one of so many, all alive and of one region, has them.
	 */
	struct member_table *view_of(int node, int count)
	{
		struct member_table *view =
			member_table_new(("m" + std::to_string(node)).c_str());

		for (int other = 0; other < count; other++) {
			struct member *member = member_table_put(
				view, ("m" + std::to_string(other)).c_str());

			set_text(&member->region, "r1");
			member_heard(member, 1, false, now_us);
		}
		return view;
	}

	uint64_t now_us = 100 * US_PER_S;
	struct backend_table *backends;
	struct member_table *members;
	struct warmth warmth;
	struct chooser chooser;
	struct route_table *routes;
	struct service *service;
	struct route *route;
	struct choose_query query = {};
};

TEST_F(ChooseTest, NothingKnownIsToldApartFromNothingFree)
{
	EXPECT_EQ(CHOOSE_NONE_KNOWN, choose().reason);
	struct backend *only = add("i-1");
	for (int i = 0; i < 8; i++)
		backend_begin(only, 1000, now_us);
	struct choice choice = choose();
	EXPECT_EQ(nullptr, choice.backend);
	EXPECT_EQ(CHOOSE_NONE_FREE, choice.reason);
	EXPECT_GT(choice.retry_after_us, 0u);
}

/*
 * Requests of a region were counted as leaving it when they had long stopped
 * coming: those that go far wait for a connection to open, which a choice took
 * for nothing. Of two servers alike the one with a connection is the nearer.
 */
TEST_F(ChooseTest, AConnectionToOpenIsARoundTripMore)
{
	struct backend *servers[] = { add("i-1", "d2", "r2"),
				      add("i-2", "d2", "r2") };

	chooser_link_measured(&chooser, "r2", 150 * US_PER_MS);
	query.has_object = true;
	for (struct backend *server : servers)
		learn(server);
	double opening_us = choose().expected_us;
	for (struct backend *server : servers) {
		server->kept = 1;
		struct choice choice = choose();
		EXPECT_EQ(server, choice.backend);
		EXPECT_NEAR(opening_us - 150 * US_PER_MS, choice.expected_us,
			    US_PER_MS);
		server->kept = 0;
	}
}

struct filter_case {
	const char *name;
	bool draining;
	bool evacuated;
	bool tried;
	bool other_region;
	bool shunned;
	bool chosen;
};

const filter_case filter_cases[] = {
	{ "Good", false, false, false, false, false, true },
	{ "Draining", true, false, false, false, false, false },
	{ "Evacuated", false, true, false, false, false, false },
	{ "Tried", false, false, true, false, false, false },
	{ "RegionNotAllowed", false, false, false, true, false, false },
	{ "Unreachable", false, false, false, false, true, false },
};

class FilterTest : public ChooseTest,
		   public ::testing::WithParamInterface<filter_case>
{
};

TEST_P(FilterTest, NothingPassesIt)
{
	const filter_case &c = GetParam();
	struct backend *only = add("i-1", "d1", c.other_region ? "r2" : "r1");

	g_ptr_array_add(route->regions, g_strdup("r1"));
	only->draining = c.draining;
	if (c.evacuated)
		backend_table_evacuate(backends, "d1", true, 0, now_us);
	if (c.tried)
		query.tried[query.tried_count++] = only;
	if (c.shunned)
		backend_unreachable(backends, only, now_us);
	EXPECT_EQ(c.chosen ? only : nullptr, choose().backend);
}

INSTANTIATE_TEST_SUITE_P(Cases, FilterTest, ::testing::ValuesIn(filter_cases),
			 [](const auto &info) { return info.param.name; });

/* The server that handled the object is chosen again, and by all nodes alike.
 */
TEST_F(ChooseTest, AnObjectStaysWithItsServer)
{
	for (int i = 0; i < 6; i++)
		add("i-" + std::to_string(i));
	struct backend *first = choose().backend;

	EXPECT_EQ(CHOOSE_RANK, choose().reason);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(first, choose().backend);
	learn(first);
	EXPECT_EQ(first, choose().backend);
	EXPECT_EQ(CHOOSE_WARM, choose().reason);
}

TEST_F(ChooseTest, ObjectsAreSpreadOverServers)
{
	std::set<struct backend *> chosen;

	for (int i = 0; i < 6; i++)
		add("i-" + std::to_string(i));
	for (uint32_t object = 0; object < 60; object++) {
		query.object = object * 2654435761u;
		chosen.insert(choose().backend);
	}
	EXPECT_EQ(6u, chosen.size());
}

/* A full owner hands its object on to the next in the order. */
TEST_F(ChooseTest, AFullOwnerIsPassedOver)
{
	for (int i = 0; i < 3; i++)
		add("i-" + std::to_string(i));
	struct backend *owner = choose().backend;

	for (int i = 0; i < 8; i++)
		backend_begin(owner, 1000, now_us);
	EXPECT_NE(owner, choose().backend);
	EXPECT_NE(nullptr, choose().backend);
}

/*
 * A server turned cold. Connections to it take a round trip to open, and the
 * sends that are under way weren't counted: one node alone sent it eleven
 * requests in 150 ms, and it crashed. A request counts when it is chosen.
 */
TEST_F(ChooseTest, AColdServersAllowanceIsClaimedAtTheChoice)
{
	struct backend *cold = add("i-1", "d1", "r1", 3 * US_PER_S);
	int sent = 0;

	for (int i = 0; i < 20; i++) {
		struct choice choice = choose();

		if (!choice.backend)
			continue;
		EXPECT_EQ(cold, choice.backend);
		backend_begin(choice.backend, 1000, now_us);
		backend_end(choice.backend, 1000);
		now_us += 10 * US_PER_MS;
		sent++;
	}
	EXPECT_GE(sent, 1);
	EXPECT_LE(sent, 2); /* 5.6 a second, between two nodes */
	now_us += 4 * US_PER_S;
	EXPECT_EQ(cold, choose().backend);
}

/*
 * A cold server's allowance is shared by two of all known nodes, living or not:
 * if each side of a cut counted only the nodes that it hears, both would send.
 */
TEST_F(ChooseTest, OnlyTwoNodesSendToAColdServer)
{
	int owners = 0;

	add("i-1", "d1", "r1", 3 * US_PER_S);
	for (int node = 0; node < 9; node++) {
		struct member_table *view = view_of(node, 9);

		chooser.members = view;
		owners += choose().backend != nullptr;
		member_table_free(view);
	}
	chooser.members = members;
	EXPECT_EQ(2, owners);
}

/* A server that joins has none of the objects, and is tried all the same. */
TEST_F(ChooseTest, AServerThatJoinsGetsARequest)
{
	struct backend *old = add("i-1");

	learn(old);
	EXPECT_EQ(old, choose().backend);
	backends->whole = true;
	struct backend *joined = add("i-2");
	EXPECT_EQ(joined, choose().backend);
	EXPECT_EQ(CHOOSE_TRIAL, choose().reason);
	backend_begin(joined, 1000, now_us);
	EXPECT_EQ(old, choose().backend);
}

/*
 * Servers start together with the nodes, so that most join after the list was
 * first read. Each node gave each of them a first request: with many nodes, a
 * fifth of all callers met a server that is cold for their object while another
 * was warm. One node of a region begins with a server, whichever it is.
 */
TEST_F(ChooseTest, FewNodesBeginWithAServerThatJoins)
{
	int began = 0;

	learn(add("i-1"));
	backends->whole = true;
	struct backend *joined = add("i-2");
	for (int node = 0; node < 30; node++) {
		struct member_table *view = view_of(node, 30);

		chooser.members = view;
		began += choose().backend == joined;
		member_table_free(view);
	}
	chooser.members = members;
	EXPECT_EQ(1, began);
}

/* A server that joined long ago, and that nobody needed, is not tried. */
TEST_F(ChooseTest, AServerIsANewcomerForAWhileOnly)
{
	struct backend *old = add("i-1");

	learn(old);
	backends->whole = true;
	add("i-2");
	now_us += 11 * US_PER_S;
	EXPECT_EQ(old, choose().backend);
}

/*
 * A burst fills the only server's queue past the objective. Whoever joins the
 * queue is late, and so is everybody after; the burst was over in 3 s and the
 * answers were late for 10. One that would queue so long is refused at once.
 */
TEST_F(ChooseTest, NobodyQueuesPastTheObjective)
{
	struct backend *only = add("i-1");
	struct service_times *times =
		backend_table_times(backends, "s", route->target_us);

	query.patience_us = 6 * US_PER_S;
	warmth_note(&warmth, { only->life, query.object }, WARM_OWN, now_us);
	times->warm_us = 500 * US_PER_MS;
	for (int i = 0; i < 7; i++)
		backend_begin(only, times->warm_us, now_us);
	EXPECT_EQ(only, choose().backend) << "its times aren't known yet";
	times->samples = 100;
	struct choice choice = choose();
	EXPECT_EQ(CHOOSE_NONE_FREE, choice.reason);
	EXPECT_LE(choice.retry_after_us, 2 * US_PER_S);
	EXPECT_GE(choice.retry_after_us, 1 * US_PER_S);
	for (int i = 0; i < 4; i++)
		backend_end(only, times->warm_us);
	EXPECT_EQ(only, choose().backend);
}

struct hold_case {
	const char *name;
	uint32_t in_flight; /* at the server that runs the first request */
	uint64_t ready_ms; /* until that ends */
	double cold_ms; /* a warm one takes 200 ms */
	uint64_t left_ms;
	choose_reason reason;
};

const hold_case hold_cases[] = {
	{ "ASlotIsFree", 3, 300, 700, 2000, CHOOSE_RANK },
	{ "SlotsAreTaken", 4, 300, 700, 2000, CHOOSE_HOLD },
	{ "ItEndsAtOnce", 4, 0, 700, 2000, CHOOSE_HOLD },
	{ "ColdIsNoSlower", 4, 300, 220, 2000, CHOOSE_RANK },
	{ "ItWouldMissItsDeadline", 4, 1900, 700, 2000, CHOOSE_NONE_FREE },
};

class HoldTest : public ChooseTest,
		 public ::testing::WithParamInterface<hold_case>
{
};

/*
 * An object's first request runs, and all slots of its server are taken. The
 * next ones for that object ran cold behind it, at a third of the slots' worth.
 */
TEST_P(HoldTest, ForAServerThatIsAboutToBeWarm)
{
	const hold_case &c = GetParam();
	struct backend *only = add("i-1");
	struct service_times *times =
		backend_table_times(backends, "s", route->target_us);

	times->warm_us = 200 * US_PER_MS;
	times->cold_us = c.cold_ms * US_PER_MS;
	times->samples = 100;
	query.left_us = c.left_ms * US_PER_MS;
	for (uint32_t i = 0; i < c.in_flight; i++)
		backend_begin(only, times->warm_us, now_us);
	warmth_begin(&warmth, { only->life, query.object }, WARM_TOLD,
		     now_us + c.ready_ms * US_PER_MS, now_us);
	struct choice choice = choose();
	EXPECT_EQ(c.reason, choice.reason);
	EXPECT_EQ(c.reason == CHOOSE_HOLD, choice.hold_us > 0);
	EXPECT_EQ(c.reason == CHOOSE_RANK, choice.backend == only);
}

INSTANTIATE_TEST_SUITE_P(Cases, HoldTest, ::testing::ValuesIn(hold_cases),
			 [](const auto &info) { return info.param.name; });

struct spill_case {
	const char *name;
	uint32_t at_owner; /* requests at the server that has the object warm */
	uint32_t at_other; /* and at the one that hasn't */
	double owner_slowness;
	bool moves; /* to the other */
};

const spill_case spill_cases[] = {
	{ "OwnerHasRoom", 2, 0, 1.0, false },
	{ "OwnerQueuesOtherIsIdle", 7, 0, 1.0, true },
	{ "BothAreBusy", 7, 2, 1.0, false },
	{ "OwnerIsFullAndTheOtherBusy", 8, 2, 1.0, false },
	{ "OwnerIsFullAndTheOtherIdle", 8, 0, 1.0, true },
	{ "OwnerIsSlowAndTheOtherBusy", 7, 2, 20.0, true },
};

class SpillTest : public ChooseTest,
		  public ::testing::WithParamInterface<spill_case>
{
};

/*
 * Many callers come at once, and each object's server has a queue. Sent to
 * others, which are busy too and have the objects cold, requests held slots
 * three times as long; the queues grew until runs ended at their deadline. A
 * busy server is left to its own objects.
 */
TEST_P(SpillTest, ABusyServerRunsNothingColdThatIsWarmElsewhere)
{
	const spill_case &c = GetParam();
	struct backend *owner = add("i-1");
	struct backend *other = add("i-2");
	struct service_times *times =
		backend_table_times(backends, "s", route->target_us);

	times->warm_us = 200 * US_PER_MS;
	times->cold_us = 300 * US_PER_MS;
	warmth_note(&warmth, { owner->life, query.object }, WARM_OWN, now_us);
	owner->slowness = c.owner_slowness;
	for (uint32_t i = 0; i < c.at_owner; i++)
		backend_begin(owner, times->warm_us, now_us);
	for (uint32_t i = 0; i < c.at_other; i++)
		backend_begin(other, times->warm_us, now_us);
	struct backend *chosen = choose().backend;
	if (c.moves)
		EXPECT_EQ(other, chosen);
	else
		EXPECT_NE(other, chosen);
}

INSTANTIATE_TEST_SUITE_P(Cases, SpillTest, ::testing::ValuesIn(spill_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * An operator asks where an object goes while its server is full: "where" named
 * a busy one, cheapest by its times, that a choice passes over since it would
 * run the object cold. What is told is what is chosen.
 */
TEST_P(SpillTest, WhatIsExplainedIsWhatIsChosen)
{
	const spill_case &c = GetParam();
	struct backend *owner = add("i-1");
	struct backend *other = add("i-2");
	struct backend *best = nullptr;

	backend_table_times(backends, "s", route->target_us)->cold_us =
		300 * US_PER_MS;
	warmth_note(&warmth, { owner->life, query.object }, WARM_OWN, now_us);
	owner->slowness = c.owner_slowness;
	for (uint32_t i = 0; i < c.at_owner; i++)
		backend_begin(owner, 200 * US_PER_MS, now_us);
	for (uint32_t i = 0; i < c.at_other; i++)
		backend_begin(other, 200 * US_PER_MS, now_us);
	GArray *views = choose_explain(&chooser, &query, now_us);
	for (guint i = 0; i < views->len; i++) {
		const auto &view = g_array_index(views, struct choose_view, i);

		if (view.best)
			best = view.backend;
	}
	g_array_unref(views);
	EXPECT_EQ(choose().backend, best);
}

/*
 * Home is full of a sudden. The share that leaves the region moves by steps, so
 * that far servers aren't hit by all of it at once; where a server at home was
 * lost, it may.
 */
TEST_F(ChooseTest, ARegionsShareLeavesBySteps)
{
	struct backend *home = add("i-1", "d1", "r1");
	int left = 0;

	for (int i = 0; i < 4; i++)
		add("f-" + std::to_string(i), "d3", "r2");
	for (int i = 0; i < 2; i++)
		add("h-" + std::to_string(i), "d1", "r1");
	for (int i = 0; i < 3; i++)
		choose();
	for (const char *id : { "i-1", "h-0", "h-1" })
		for (int i = 0; i < 5; i++)
			backend_begin(backend_table_find(backends, id),
				      900 * US_PER_MS, now_us);
	for (int i = 0; i < 100; i++) {
		struct choice choice = choose();

		left += choice.backend &&
			std::string(choice.backend->region) == "r2";
		now_us += 10 * US_PER_MS;
	}
	EXPECT_LE(left, 30);
	backend_table_remove(backends, "i-1", 0, 0, now_us);
	(void)home;
	left = 0;
	for (int i = 0; i < 10; i++) {
		struct choice choice = choose();

		left += choice.backend &&
			std::string(choice.backend->region) == "r2";
	}
	EXPECT_EQ(10, left);
}

/* All servers named a rate: a region's requests don't all cross at once. */
TEST_F(ChooseTest, TokensOfAnotherRegionAreAskedForAsFarAsTheShareGoes)
{
	struct backend *far = add("f-1", "d3", "r2");
	struct rate_limit *near = &add("i-1")->limit;
	int wanted = 0;

	rate_limit_apply_answer(near, 2, now_us, now_us);
	near->ask_again_us = now_us + US_PER_S;
	rate_limit_apply_answer(&far->limit, 50, now_us, now_us);
	for (int i = 0; i < 100; i++) {
		struct choice choice = choose();

		EXPECT_EQ(nullptr, choice.backend);
		EXPECT_EQ(CHOOSE_NO_RATE, choice.reason);
		wanted += choice.wanted == far;
	}
	EXPECT_EQ(0, wanted);
	region_flow_init(chooser_flow("s"), 1);
	EXPECT_EQ(far, choose().wanted);
	query.left_us = 50 * US_PER_MS;
	EXPECT_EQ(nullptr, choose().wanted);
}

} // namespace
