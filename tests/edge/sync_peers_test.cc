/*
 * Which tables a node gets from peers, and which from the store.
 */
#include "edge/backend_row.h"
#include "edge/edge_world.h"
#include "edge/snapshot.h"

namespace
{

/* A second node, n2, beside the fixture's own, n1, which is its peer. */
class SyncPeersTest : public EdgeWorld
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
	/* The fixture's node is one of the three first readers; n2 isn't. */
	void start_first(bool others_reachable = true)
	{
		start_node();
		/* If written later, n1's own row would replace this one. */
		wait_for([this] {
			return store_stand_get(store, "members", "n1") !=
			       nullptr;
		});
		put_member("n1", at(peers), 200);
		put_member("n3", others_reachable ? at(peers) : unreachable,
			   100);
		put_member("n4", others_reachable ? at(peers) : unreachable,
			   100);
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
	/* Delivers the first node's heartbeat, as the reader, to the second. */
	void send_digests_to_second()
	{
		struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];
		uint32_t count = sync_fill_digests(sync, digests);

		member_note_heartbeat(member_table_find(second.members, "n1"),
				      ++heartbeat, false, edge_now_us(&second));
		for (uint32_t i = 0; i < count; i++)
			sync_receive_digest(second_sync, &digests[i]);
	}
	/*
	 * The second node receives an update: the server drains, or has left.
	 */
	void second_receives_draining(const char *id)
	{
		struct heartbeat_row row;

		backend_row_fill(backend_table_find(second.backends, id),
				 edge_now_us(&second), &row);
		row.draining = true;
		row.version = { store_stand_version(store), 1 };
		backend_row_receive(&second, &row);
	}
	void second_receives_left(const char *id)
	{
		struct heartbeat_row row = {};

		g_strlcpy(row.id, id, sizeof(row.id));
		row.version = { store_stand_version(store), 1 };
		backend_row_receive(&second, &row);
	}
	/*
	 * Changes other servers' rows; the store's history holds each change.
	 */
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
	/* Rows of a ready server, and enough others to fill an answer. */
	void put_many_older_rows(const App &app)
	{
		list_app(app, "ready", "2000ms");
		list_app(app, "ready");
		change_others(600);
	}
	/*
	 * The second node's confirmation expires, and it asks the store itself.
	 */
	void wait_for_own_read()
	{
		uint64_t old = reads(READ_CONFIRMATION_EXPIRED);

		wait_for(
			[&] { return reads(READ_CONFIRMATION_EXPIRED) > old; });
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
	/* Bytes of the store's answers to both nodes, also of aborted ones. */
	uint64_t store_bytes() const
	{
		return metric_value(edge->stats.registry_bytes) +
		       metric_value(edge->stats.registry_lost_bytes);
	}
	/* Calls of both nodes: the process has one set of counters. */
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
	struct endpoint unreachable = endpoint_at(1); /* nothing listens there
						       */
	uint64_t heartbeat = 0;
};

/*
 * When a third of 295 nodes restarts, each reading three tables of 1,209
 * servers and writing a row that is there already, the store gets six calls per
 * node. All but the members' table can be had from a peer.
 */
TEST_F(SyncPeersTest, RestartMakesOneCallToTheStore)
{
	for (int i = 0; i < 20; i++)
		add_app("i-" + std::to_string(i));
	start_first();
	put_member("n2", endpoint_at(2), 10);
	run_for(300);
	uint64_t before = reads(READ_AT_START);
	uint64_t written = writes();
	start_second();
	run_for(100);
	EXPECT_EQ(1u, reads(READ_AT_START) - before);
	EXPECT_EQ(written, writes());
	EXPECT_EQ(backend_table_digest(edge->backends),
		  backend_table_digest(second.backends));
	EXPECT_EQ(edge->routes->version, second.routes->version);
	EXPECT_LT(sync_routes_age_us(second_sync), 2500000u);
}

/* A node that the table doesn't list writes its row, once. */
TEST_F(SyncPeersTest, NewNodeWritesItsRowOnce)
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

/* The first readers are lost: the node soon reads from the store itself. */
TEST_F(SyncPeersTest, StartDoesNotWaitForLostPeers)
{
	add_app("i-1");
	start_first(false);
	put_member("n1", endpoint_at(1), 200);
	run_for(100);
	start_second();
	EXPECT_NE(nullptr, backend_table_find(second.backends, "i-1"));
}

/*
 * Routes change and a server begins to drain without an update between nodes.
 * Unless they ask the reader, all of a region's hundred nodes ask the store for
 * what the reader has just read.
 */
TEST_F(SyncPeersTest, MismatchesAreFetchedFromTheReader)
{
	App &app = add_app("i-1");

	start_both();
	send_digests_to_second();
	run_for(1000);
	uint64_t differing = reads(READ_VERSION_DIFFERS);
	uint64_t old = reads(READ_CONFIRMATION_EXPIRED);
	put_routes(9);
	list_app(app, "draining");
	wait_for([this] {
		return edge->routes->version == 9 &&
		       backend_table_find(edge->backends, "i-1")->draining;
	});
	send_digests_to_second();
	wait_for([this] {
		return second.routes->version == 9 &&
		       backend_table_find(second.backends, "i-1")->draining;
	});
	EXPECT_EQ(differing, reads(READ_VERSION_DIFFERS));
	EXPECT_EQ(old, reads(READ_CONFIRMATION_EXPIRED));
	send_digests_to_second();
	EXPECT_TRUE(sync_may_deny(second_sync));
}

/*
 * Routes and servers change together, and the list of servers doesn't fit the
 * reader's link. Requested in one, neither arrives, and each node of the region
 * asks the store for a few bytes of routes.
 */
TEST_F(SyncPeersTest, RoutesAreFetchedBeforeALargeBackendList)
{
	App &app = add_app("i-1");

	for (int i = 0; i < 200; i++)
		store_stand_put(
			store, "servers",
			("other-" + std::to_string(i)).c_str(),
			"{\"service\":\"t\",\"addr\":\"127.0.0.9:1\","
			"\"zone\":\"d1\",\"slots\":4,\"state\":\"ready\"}");
	start_both();
	send_digests_to_second();
	run_for(1000);
	edge->settings.link_mbps = 1;
	uint64_t differing = reads(READ_VERSION_DIFFERS);
	put_routes(9);
	list_app(app, "draining");
	wait_for([this] {
		return edge->routes->version == 9 &&
		       backend_table_find(edge->backends, "i-1")->draining;
	});
	send_digests_to_second();
	wait_for([this] { return second.routes->version == 9; });
	EXPECT_EQ(differing, reads(READ_VERSION_DIFFERS));
}

/*
 * The reader sends heartbeats but no snapshots, since its link is full: the
 * store is asked as soon as if no peer could be asked.
 */
TEST_F(SyncPeersTest, UnresponsiveReaderIsReplacedByTheStore)
{
	start_both();
	send_digests_to_second();
	run_for(1000);
	edge->settings.link_mbps = 0.00001; /* no answer fits */
	put_routes(9);
	wait_for([this] { return edge->routes->version == 9; });
	send_digests_to_second();
	uint64_t began = uv_hrtime();
	wait_for([this] { return second.routes->version == 9; });
	EXPECT_LT((uv_hrtime() - began) / 1000000, 600u);
}

/*
 * The peer that is asked is the one behind: it was partitioned from the store.
 * Its table would restore a server that has left.
 */
TEST_F(SyncPeersTest, OlderTableOfAPeerIsIgnored)
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
	/* From here on only the second node reaches the store. */
	sync_redirect(sync, &unreachable);
	faults.silent = false;
	store_stand_set_faults(store, &faults);
	wait_for(
		[this] { return !backend_table_find(second.backends, "i-2"); });
	ASSERT_EQ(before, backend_table_digest(edge->backends));
	for (int i = 0; i < 10; i++) {
		send_digests_to_second();
		run_for(100);
		EXPECT_EQ(nullptr, backend_table_find(second.backends, "i-2"));
	}
}

/*
 * A node that isn't ready waits for another reader's digest of the routes. When
 * it becomes ready and so the reader, it must read at once: if it went on
 * waiting, the confirmation that it gives to its region would expire.
 */
TEST_F(SyncPeersTest, ReaderReadsAtOnceWhenReady)
{
	add_app("i-1");
	put_member("n3", unreachable, 1);
	start_node();
	ASSERT_EQ(2u, member_table_count(edge->members));
	edge->members->self->leaving = true;
	run_for(1200);
	uint64_t before = reads(READ_AS_READER);
	edge->members->self->leaving = false;
	sync_became_ready(sync);
	run_for(100);
	EXPECT_GE(reads(READ_AS_READER) - before, 2u);
}

/*
 * A server leaves while the reader is partitioned. Afterwards the reader keeps
 * the missing entry for its expiry grace. A peer that has removed the server
 * already must not add it from the reader's table and send requests to it.
 */
TEST_F(SyncPeersTest, ExpiredEntryIsNotAddedByAPeer)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_both();
	run_for(300);
	store_stand_put(store, "servers", "i-3", nullptr);
	wait_for([this] { return !backend_table_find(edge->backends, "i-3"); });
	send_digests_to_second();
	wait_for(
		[this] { return !backend_table_find(second.backends, "i-3"); });
	/*
	 * As after the partition: the reader keeps the entry and sends digests.
	 */
	struct backend_info facts = {};
	facts.id = "i-3";
	facts.service = "s";
	facts.domain = "d1";
	facts.region = "r1";
	facts.slots = 4;
	backend_table_put(edge->backends, &facts, edge_now_us(edge));
	backend_table_remove(edge->backends, "i-3", {},
			     edge_now_us(edge) + 2000000, edge_now_us(edge));
	for (int i = 0; i < 12; i++) {
		send_digests_to_second();
		run_for(100);
		EXPECT_EQ(nullptr, backend_table_find(second.backends, "i-3"));
	}
	EXPECT_NE(nullptr, backend_table_find(edge->backends, "i-3"));
}

/* A node that has the server keeps it for as long as the reader does. */
TEST_F(SyncPeersTest, ExpiredEntryIsKeptWhereItIsKnown)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_both();
	run_for(1000);
	backend_table_remove(edge->backends, "i-3", {},
			     edge_now_us(edge) + 2000000, edge_now_us(edge));
	list_app(apps[5], "draining");
	wait_for([this] {
		send_digests_to_second();
		run_for(50);
		return backend_table_find(second.backends, "i-5")->draining;
	});
	EXPECT_NE(nullptr, backend_table_find(second.backends, "i-3"));
}

/*
 * A peer's table is as old as the platform's confirmation to that peer. Dated
 * by its arrival, replaced routes would be used to deny requests for too long.
 */
TEST_F(SyncPeersTest, SnapshotKeepsItsConfirmationTime)
{
	add_app("i-1");
	start_first();
	put_member("n2", endpoint_at(2), 10);
	run_for(300);
	sync_redirect(sync, &unreachable);
	run_for(1200);
	start_second();
	EXPECT_GE(sync_routes_age_us(second_sync), 1200000u);
}

/* An older row would turn a draining server into a ready one. */
TEST_F(SyncPeersTest, OlderRowDoesNotReplaceANewerUpdate)
{
	App &app = add_app("i-1");

	start_both();
	put_many_older_rows(app);
	list_app(app, "draining");
	second_receives_draining("i-1");
	expect_through_own_read([this] { return drains(second, "i-1"); });
}

/* The same with a server that has left and is no longer in the table. */
TEST_F(SyncPeersTest, OlderRowDoesNotRestoreARemovedServer)
{
	App &app = add_app("i-1");

	start_both();
	put_many_older_rows(app);
	store_stand_put(store, "servers", "i-1", nullptr);
	second_receives_left("i-1");
	expect_through_own_read(
		[this] { return !backend_table_find(second.backends, "i-1"); });
}

/* Otherwise the node fetches the rest as late as if it had all changes. */
TEST_F(SyncPeersTest, PartialChangesDoNotConfirmTheTable)
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

/*
 * Routes change before each request is answered; servers must still get their
 * turn.
 */
TEST_F(SyncPeersTest, FrequentRouteChangesDoNotDelayBackends)
{
	App &app = add_app("i-1");

	start_both();
	run_for(1000);
	list_app(app, "draining");
	while (!drains(*edge, "i-1")) {
		send_digests_to_second();
		run_for(20);
	}
	for (unsigned i = 0; i < 6 && !drains(second, "i-1"); i++) {
		put_routes(100 + i);
		wait_for([&] { return edge->routes->version == 100 + i; });
		send_digests_to_second();
		run_for(100);
	}
	EXPECT_TRUE(drains(second, "i-1"));
}

/*
 * Otherwise changes that the node has come again, page by page, before the
 * newest.
 */
TEST_F(SyncPeersTest, MatchingDigestAdvancesTheVersion)
{
	struct sync_table_state first[SYNC_TABLES];
	struct sync_table_state second_views[SYNC_TABLES];
	App &app = add_app("i-1");

	start_both();
	run_for(1000);
	sync_table_states(sync, first);
	uint64_t before = first[REGISTRY_BACKENDS].version;
	for (int i = 2; i < 10; i++)
		list_app(app, "ready", "0ms", i);
	wait_for([&] {
		sync_table_states(sync, first);
		return first[REGISTRY_BACKENDS].version > before;
	});
	send_digests_to_second();
	sync_table_states(second_sync, second_views);
	EXPECT_EQ(first[REGISTRY_BACKENDS].version,
		  second_views[REGISTRY_BACKENDS].version);
}

/* Changes hold each version of a large document; only the newest is needed. */
TEST_F(SyncPeersTest, StaleRoutesAreReadInFullOnce)
{
	const int routes = 600;

	extra_routes = numbered_routes(routes);
	put_routes(2);
	start_both();
	send_digests_to_second();
	run_for(1000);
	edge->settings.link_mbps = 0.00001; /* no answer fits */
	for (int version = 3; version <= 8; version++)
		put_routes(version);
	wait_for([this] { return edge->routes->version == 8; });
	uint64_t before = metric_value(edge->stats.registry_bytes);
	send_digests_to_second();
	wait_for([this] { return second.routes->version == 8; });
	uint64_t document =
		strlen(store_stand_get(store, "op", "config")) * 4 / 3;
	EXPECT_LT(metric_value(edge->stats.registry_bytes) - before,
		  2 * document);
}

/* Without a reader no digest shows that there are several newer versions. */
TEST_F(SyncPeersTest, UnconfirmedRoutesAreReadInFullOnce)
{
	extra_routes = numbered_routes(600);
	put_routes(2);
	start_first();
	put_member("n2", endpoint_at(2), 10);
	start_second();
	send_digests_to_second();
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
