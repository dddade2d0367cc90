/* What a node has from a neighbour, and what it still asks the store. */
#include "edge/backend_row.h"
#include "edge/edge_world.h"
#include "edge/snapshot.h"

namespace
{

/* A second node, n2, beside the world's own, which the store names to it. */
class NeighbourTest : public EdgeWorld
{
      protected:
	void TearDown() override
	{
		if (second_sync)
			sync_close(second_sync);
		run_for(50);
		g_free(second_sync);
		if (second_sync)
			edge_release(&second);
		EdgeWorld::TearDown();
	}
	void put_member(const char *name, const struct endpoint &peer,
			int link_mbps)
	{
		std::string text =
			"{\"domain\":\"d1\",\"region\":\"r1\","
			"\"front\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:" +
			std::to_string(peer.port) +
			"\",\"link_mbps\":" + std::to_string(link_mbps) + "}";

		store_stand_put(store, "members", name, text.c_str());
	}
	/* The world's node is one of three that read first; n2 isn't. */
	void start_first(bool others_live = true)
	{
		start_node();
		/* Written later, its own row would replace this one. */
		wait_for([this] {
			return store_stand_get(store, "members", "n1") !=
			       nullptr;
		});
		put_member("n1", at(peers), 200);
		put_member("n3", others_live ? at(peers) : dead, 100);
		put_member("n4", others_live ? at(peers) : dead, 100);
	}
	void start_second()
	{
		second_settings = settings;
		g_strlcpy(second_settings.name, "n2", NAME_SIZE);
		second_settings.front = endpoint_at(1);
		second_settings.peer = endpoint_at(2);
		edge_init(&second, &loop, clock_system(), platform_dialect(),
			  platform_store(), &second_settings);
		stats_init(&second.stats);
		second_sync = sync_open(&second);
		wait_for([this] { return edge_is_ready(&second); });
	}
	void start_both()
	{
		start_first();
		put_member("n2", endpoint_at(2), 10);
		start_second();
	}
	/* The first node, the reader, beats to the second. */
	void vouch_to_second()
	{
		struct beat_vouch vouches[BEAT_MAX_VOUCHES];
		uint32_t count = sync_vouches(sync, vouches);

		member_heard(member_table_find(second.members, "n1"), ++beat,
			     false, edge_now_us(&second));
		for (uint32_t i = 0; i < count; i++)
			sync_vouched(second_sync, &vouches[i]);
	}
	/* A beat tells the second node that the server leaves, or has left. */
	void tell_second_draining(const char *id)
	{
		struct beat_row row;

		backend_row_fill(backend_table_find(second.backends, id),
				 edge_now_us(&second), &row);
		row.draining = true;
		row.version = store_stand_version(store);
		backend_row_take(&second, &row);
	}
	void tell_second_left(const char *id)
	{
		struct beat_row row = {};

		g_strlcpy(row.id, id, sizeof(row.id));
		row.version = store_stand_version(store);
		backend_row_take(&second, &row);
	}
	/* Other servers' rows change so often; the store holds each change. */
	void change_others(int times)
	{
		for (int i = 0; i < times; i++)
			store_stand_put(
				store, "servers",
				("other-" + std::to_string(i % 20)).c_str(),
				("{\"service\":\"t\",\"addr\":\"127.0.0.9:1\","
				 "\"zone\":\"d1\",\"state\":\"ready\","
				 "\"slots\":" +
				 std::to_string(4 + i % 7) + "}")
					.c_str());
	}
	/* Rows of a server that is there, and enough others to end an answer.
	 */
	void put_older_rows(const App &app)
	{
		list_app(app, "ready", "2000ms");
		list_app(app, "ready");
		change_others(600);
	}
	/* The second node's word grows old, and it asks the store itself. */
	void wait_for_own_read()
	{
		uint64_t old = reads(READ_WORD_OLD);

		wait_for([&] { return reads(READ_WORD_OLD) > old; });
	}
	void expect_through_own_read(const std::function<bool()> &holds)
	{
		wait_for_own_read();
		for (int i = 0; i < 40; i++) {
			run_for(10);
			ASSERT_TRUE(holds());
		}
	}
	bool drains(const struct edge &node, const char *id)
	{
		const struct backend *backend =
			backend_table_find(node.backends, id);

		return backend && backend->draining;
	}
	/* Bytes of the store's answers to both, also of those given up. */
	uint64_t store_bytes() const
	{
		return metric_value(edge->stats.registry_bytes) +
		       metric_value(edge->stats.registry_lost_bytes);
	}
	/* Both nodes' calls: counters are the process's. */
	uint64_t reads(enum read_cause cause) const
	{
		return metric_value(edge->stats.registry_reads[cause]);
	}
	uint64_t writes() const
	{
		return metric_value(edge->stats.registry_writes);
	}
	struct edge second = {};
	struct edge_settings second_settings = {};
	struct sync *second_sync = nullptr;
	struct endpoint dead = endpoint_at(1); /* nobody listens there */
	uint64_t beat = 0;
};

/*
 * A third of 295 nodes is restarted. Each read three tables of 1,209 servers
 * and wrote the row that it had written in its life before: six calls to the
 * store. All but the list of nodes is known next door.
 */
TEST_F(NeighbourTest, ARestartCostsTheStoreOneCall)
{
	for (int i = 0; i < 20; i++)
		add_app("i-" + std::to_string(i));
	start_first();
	put_member("n2", endpoint_at(2), 10);
	run_for(300);
	uint64_t before = reads(READ_STARTS);
	uint64_t written = writes();
	start_second();
	run_for(100);
	EXPECT_EQ(1u, reads(READ_STARTS) - before);
	EXPECT_EQ(written, writes());
	EXPECT_EQ(backend_table_digest(edge->backends),
		  backend_table_digest(second.backends));
	EXPECT_EQ(edge->routes->version, second.routes->version);
	EXPECT_LT(sync_routes_age_us(second_sync), 2500000u);
}

/* A node that is new to the table writes its row, and only then. */
TEST_F(NeighbourTest, ANewNodeMakesItselfKnown)
{
	start_first();
	run_for(300);
	uint64_t written = writes();
	start_second();
	wait_for([this] {
		return store_stand_get(store, "members", "n2") != nullptr;
	});
	run_for(300);
	EXPECT_EQ(1u, writes() - written);
}

/* The ones that read first are lost: the node reads for itself in a moment. */
TEST_F(NeighbourTest, AStartDoesNotWaitForLostNeighbours)
{
	add_app("i-1");
	start_first(false);
	put_member("n1", endpoint_at(1), 200);
	run_for(100);
	start_second();
	EXPECT_NE(nullptr, backend_table_find(second.backends, "i-1"));
}

/*
 * The operator changes the routes, and a server begins to drain without the
 * nodes being told. Each of a region's hundred nodes asked the store for what
 * its reader had just read.
 */
TEST_F(NeighbourTest, WhatTheReaderKnowsIsAskedOfIt)
{
	App &app = add_app("i-1");

	start_both();
	vouch_to_second();
	run_for(1000);
	uint64_t differing = reads(READ_WORD_DIFFERS);
	uint64_t old = reads(READ_WORD_OLD);
	put_routes(9);
	list_app(app, "draining");
	wait_for([this] {
		return edge->routes->version == 9 &&
		       backend_table_find(edge->backends, "i-1")->draining;
	});
	vouch_to_second();
	wait_for([this] {
		return second.routes->version == 9 &&
		       backend_table_find(second.backends, "i-1")->draining;
	});
	EXPECT_EQ(differing, reads(READ_WORD_DIFFERS));
	EXPECT_EQ(old, reads(READ_WORD_OLD));
	vouch_to_second();
	EXPECT_TRUE(sync_may_deny(second_sync));
}

/*
 * Routes and servers change together, and the list of servers doesn't fit the
 * reader's link. Asked for in one, neither came, and each node of the region
 * asked the store for a few bytes of routes.
 */
TEST_F(NeighbourTest, RoutesDoNotWaitForAListOfServers)
{
	App &app = add_app("i-1");

	for (int i = 0; i < 200; i++)
		store_stand_put(
			store, "servers",
			("other-" + std::to_string(i)).c_str(),
			"{\"service\":\"t\",\"addr\":\"127.0.0.9:1\","
			"\"zone\":\"d1\",\"slots\":4,\"state\":\"ready\"}");
	start_both();
	vouch_to_second();
	run_for(1000);
	edge->settings.link_mbps = 1;
	uint64_t differing = reads(READ_WORD_DIFFERS);
	put_routes(9);
	list_app(app, "draining");
	wait_for([this] {
		return edge->routes->version == 9 &&
		       backend_table_find(edge->backends, "i-1")->draining;
	});
	vouch_to_second();
	wait_for([this] { return second.routes->version == 9; });
	EXPECT_EQ(differing, reads(READ_WORD_DIFFERS));
}

/*
 * The reader doesn't answer, though its beats come: its link is full. The store
 * is asked, as soon as for a reader that can't be asked at all.
 */
TEST_F(NeighbourTest, AReaderThatDoesNotAnswerIsPassedOver)
{
	start_both();
	vouch_to_second();
	run_for(1000);
	edge->settings.link_mbps = 0.00001; /* no answer fits */
	put_routes(9);
	wait_for([this] { return edge->routes->version == 9; });
	vouch_to_second();
	uint64_t began = uv_hrtime();
	wait_for([this] { return second.routes->version == 9; });
	EXPECT_LT((uv_hrtime() - began) / 1000000, 600u);
}

/*
 * The neighbour that is asked is the one that is behind: it was cut off from
 * the store. Its table would bring back a server that has left.
 */
TEST_F(NeighbourTest, AnOlderTableIsNotTaken)
{
	struct store_faults faults = {};

	add_app("i-1");
	add_app("i-2");
	start_both();
	run_for(1000);
	uint64_t before = backend_table_digest(edge->backends);
	faults.silent = true;
	store_stand_set_faults(store, &faults);
	run_for(100);
	store_stand_put(store, "servers", "i-2", nullptr);
	/* Only the second one reaches the store from here on. */
	sync_redirect(sync, &dead);
	faults.silent = false;
	store_stand_set_faults(store, &faults);
	wait_for(
		[this] { return !backend_table_find(second.backends, "i-2"); });
	ASSERT_EQ(before, backend_table_digest(edge->backends));
	for (int i = 0; i < 10; i++) {
		vouch_to_second();
		run_for(100);
		EXPECT_EQ(nullptr, backend_table_find(second.backends, "i-2"));
	}
}

/*
 * The node that reads for its region starts. While it isn't ready others may
 * be the readers, so it waited for their word of the routes; ready, it went on
 * waiting, and the word that it gave to all of its region grew old.
 */
TEST_F(NeighbourTest, AReaderThatBecomesReadyReadsAtOnce)
{
	add_app("i-1");
	put_member("n3", dead, 1);
	start_node();
	ASSERT_EQ(2u, member_table_count(edge->members));
	edge->members->self->leaving = true;
	run_for(1200);
	uint64_t before = reads(READ_FOLLOWS);
	edge->members->self->leaving = false;
	sync_became_ready(sync);
	run_for(100);
	EXPECT_GE(reads(READ_FOLLOWS) - before, 2u);
}

/*
 * The reader was cut off while a server left. Back in touch it keeps the
 * missing entry for a moment, for it may have lapsed with the store. A
 * neighbour that had known for long that the server was gone took it from the
 * reader's table as one that is there, and sent requests to it.
 */
TEST_F(NeighbourTest, AServerThatMayHaveLapsedIsNotTakenForOneThatIsThere)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_both();
	run_for(300);
	store_stand_put(store, "servers", "i-3", nullptr);
	wait_for([this] { return !backend_table_find(edge->backends, "i-3"); });
	vouch_to_second();
	wait_for(
		[this] { return !backend_table_find(second.backends, "i-3"); });
	/* As after the cut: the reader keeps it, and vouches for what it has.
	 */
	struct backend_facts facts = {};
	facts.id = "i-3";
	facts.service = "s";
	facts.domain = "d1";
	facts.region = "r1";
	facts.slots = 4;
	backend_table_put(edge->backends, &facts, edge_now_us(edge));
	backend_table_remove(edge->backends, "i-3", 0,
			     edge_now_us(edge) + 2000000, edge_now_us(edge));
	for (int i = 0; i < 12; i++) {
		vouch_to_second();
		run_for(100);
		EXPECT_EQ(nullptr, backend_table_find(second.backends, "i-3"));
	}
	EXPECT_NE(nullptr, backend_table_find(edge->backends, "i-3"));
}

/* A node that knows the server keeps it for as long as the reader does. */
TEST_F(NeighbourTest, AServerThatMayHaveLapsedIsKeptWhereItIsKnown)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_both();
	run_for(1000);
	backend_table_remove(edge->backends, "i-3", 0,
			     edge_now_us(edge) + 2000000, edge_now_us(edge));
	list_app(apps[5], "draining");
	wait_for([this] {
		vouch_to_second();
		run_for(50);
		return backend_table_find(second.backends, "i-5")->draining;
	});
	EXPECT_NE(nullptr, backend_table_find(second.backends, "i-3"));
}

/*
 * A neighbour's word is as old as the platform's confirmation to it. Dated by
 * when it was heard, routes that had been replaced were denied by for longer
 * than they may.
 */
TEST_F(NeighbourTest, AnOldTableIsAsOldAsItIs)
{
	add_app("i-1");
	start_first();
	put_member("n2", endpoint_at(2), 10);
	run_for(300);
	sync_redirect(sync, &dead);
	run_for(1200);
	start_second();
	EXPECT_GE(sync_routes_age_us(second_sync), 1200000u);
}

/* A server that leaves is taken for one that is there, by its older row. */
TEST_F(NeighbourTest, AnOlderRowDoesNotReplaceANewerWord)
{
	App &app = add_app("i-1");

	start_both();
	put_older_rows(app);
	list_app(app, "draining");
	tell_second_draining("i-1");
	expect_through_own_read([this] { return drains(second, "i-1"); });
}

/* The same with one that has left, and is in the table no more. */
TEST_F(NeighbourTest, AnOlderRowDoesNotBringBackAServerThatLeft)
{
	App &app = add_app("i-1");

	start_both();
	put_older_rows(app);
	store_stand_put(store, "servers", "i-1", nullptr);
	tell_second_left("i-1");
	expect_through_own_read(
		[this] { return !backend_table_find(second.backends, "i-1"); });
}

/* A node asks for the next changes as late as if it knew them all. */
TEST_F(NeighbourTest, APartOfTheChangesIsNotTakenForAllOfThem)
{
	App &app = add_app("i-1");

	start_both();
	change_others(1200);
	list_app(app, "draining");
	wait_for_own_read();
	uint64_t began = uv_hrtime();
	wait_for([this] { return drains(second, "i-1"); });
	EXPECT_LT((uv_hrtime() - began) / 1000000, 500u);
}

/* Routes change before each question is answered; servers are never asked for.
 */
TEST_F(NeighbourTest, RoutesThatKeepChangingDoNotKeepServersWaiting)
{
	App &app = add_app("i-1");

	start_both();
	run_for(1000);
	list_app(app, "draining");
	while (!drains(*edge, "i-1")) {
		vouch_to_second();
		run_for(20);
	}
	for (unsigned i = 0; i < 6 && !drains(second, "i-1"); i++) {
		put_routes(100 + i);
		wait_for([&] { return edge->routes->version == 100 + i; });
		vouch_to_second();
		run_for(100);
	}
	EXPECT_TRUE(drains(second, "i-1"));
}

/* Changes that the node knows come again, page after page, before the newest.
 */
TEST_F(NeighbourTest, AWordThatAgreesMovesTheNodeOnInTheHistory)
{
	struct sync_view first[SYNC_TABLES];
	struct sync_view second_views[SYNC_TABLES];
	App &app = add_app("i-1");

	start_both();
	run_for(1000);
	sync_views(sync, first);
	uint64_t before = first[REGISTRY_BACKENDS].version;
	for (int i = 2; i < 10; i++)
		list_app(app, "ready", "0ms", i);
	wait_for([&] {
		sync_views(sync, first);
		return first[REGISTRY_BACKENDS].version > before;
	});
	vouch_to_second();
	sync_views(second_sync, second_views);
	EXPECT_EQ(first[REGISTRY_BACKENDS].version,
		  second_views[REGISTRY_BACKENDS].version);
}

/* Each version of a large document comes, of which only the newest is needed.
 */
TEST_F(NeighbourTest, RoutesThatAreFarBehindAreReadOnce)
{
	const int routes = 600;

	extra_routes = numbered_routes(routes);
	put_routes(2);
	start_both();
	vouch_to_second();
	run_for(1000);
	edge->settings.link_mbps = 0.00001; /* no answer fits */
	for (int version = 3; version <= 8; version++)
		put_routes(version);
	wait_for([this] { return edge->routes->version == 8; });
	uint64_t before = metric_value(edge->stats.registry_bytes);
	vouch_to_second();
	wait_for([this] { return second.routes->version == 8; });
	uint64_t document =
		strlen(store_stand_get(store, "op", "config")) * 4 / 3;
	EXPECT_LT(metric_value(edge->stats.registry_bytes) - before,
		  2 * document);
}

/* The reader is gone: nobody says that there are several newer versions. */
TEST_F(NeighbourTest, RoutesOfAnOldWordAreReadOnce)
{
	extra_routes = numbered_routes(600);
	put_routes(2);
	start_first();
	put_member("n2", endpoint_at(2), 10);
	start_second();
	vouch_to_second();
	for (int version = 3; version <= 8; version++)
		put_routes(version);
	wait_for([this] { return edge->routes->version == 8; });
	uint64_t before = store_bytes();
	wait_for([this] { return second.routes->version == 8; });
	uint64_t document =
		strlen(store_stand_get(store, "op", "config")) * 4 / 3;
	EXPECT_LT(store_bytes() - before, 2 * document);
}

} // namespace
