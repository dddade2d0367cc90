/*
 * The tables of a node while the store fails.
 */
#include <set>

#include "core/hash.h"
#include "edge/edge_world.h"
#include "edge/snapshot.h"

namespace
{

class SyncTest : public EdgeWorld
{
      protected:
	void set_unreachable(bool unreachable)
	{
		struct store_faults faults = {};

		faults.silent = unreachable;
		store_stand_set_faults(store, &faults);
	}
	bool knows(const char *id)
	{
		return backend_table_find(edge->backends, id) != nullptr;
	}
	bool call_fails(const char *name)
	{
		struct sync_table_state views[SYNC_TABLES];
		uint32_t count = sync_table_states(sync, views);

		for (uint32_t i = 0; i < count; i++)
			if (!strcmp(views[i].name, name))
				return views[i].failures > 0;
		return false;
	}
};

/*
 * After an outage of the store the call held for routes still waits for its own
 * time-out, made while the store was unreachable. Until it ends, requests for
 * new routes would be refused with 404, for up to ten seconds.
 */
TEST_F(SyncTest, HeldCallEndsWhenTheStoreIsBack)
{
	add_app("i-1");
	start_node();
	set_unreachable(true);
	wait_for([this] { return call_fails("backends"); },
		 "the store is lost");
	run_for(1500);
	set_unreachable(false);
	put_routes(7);
	uint64_t calls = store_stand_calls(store);
	wait_for([this] { return edge->routes->version == 7; });
	EXPECT_LE(store_stand_calls(store) - calls, 8u);
}

/*
 * A server leaves while a node is partitioned from the store. The node must not
 * treat the missing entry as expired in an outage of the store, and send
 * requests to it for two more seconds: most other entries are there, so the
 * store wasn't down.
 */
TEST_F(SyncTest, ServerRemovedDuringAPartitionIsDroppedAtOnce)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_node();
	set_unreachable(true);
	wait_for([this] { return call_fails("backends"); });
	store_stand_put(store, "servers", "i-3", nullptr);
	for (App &app : apps)
		if (app.id != "i-3")
			list_app(app, "ready", "0ms", 2);
	set_unreachable(false);
	wait_for([this] { return !knows("i-3"); });
	EXPECT_LE(sync_expiry_grace_left_us(sync), 250000u);
}

/*
 * The same without other changes: the change feed names only the server that
 * left. Entries that it doesn't name are unchanged, not missing.
 */
TEST_F(SyncTest, RowsNotInTheChangeFeedAreNotMissing)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_node();
	set_unreachable(true);
	wait_for([this] { return call_fails("backends"); });
	store_stand_put(store, "servers", "i-3", nullptr);
	set_unreachable(false);
	wait_for([this] { return !knows("i-3"); });
	EXPECT_LE(sync_expiry_grace_left_us(sync), 250000u);
}

/*
 * All entries expired in an outage of the store. The servers are live and
 * listed again within two seconds; a node that removed them at once would
 * refuse all requests until then.
 */
TEST_F(SyncTest, EntriesThatExpiredInAStoreOutageAreKept)
{
	App &app = add_app("i-1");

	add_app("i-2");
	start_node();
	set_unreachable(true);
	wait_for([this] { return call_fails("backends"); });
	store_stand_put(store, "servers", "i-1", nullptr);
	store_stand_put(store, "servers", "i-2", nullptr);
	set_unreachable(false);
	wait_for([this] {
		struct backend *backend =
			backend_table_find(edge->backends, "i-1");

		return !backend || backend->expire_us;
	});
	ASSERT_TRUE(knows("i-1"));
	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/"))));
	list_app(app, "ready", "0ms", 2);
	wait_for([this] { return !knows("i-2"); },
		 "one that doesn't come back is gone");
	EXPECT_TRUE(knows("i-1"));
}

/*
 * The store drops the change history that the node follows: the node reads the
 * table in full.
 */
TEST_F(SyncTest, LostHistoryCausesAFullRead)
{
	add_app("i-1");
	add_app("i-2");
	start_node();
	set_unreachable(true);
	wait_for([this] { return call_fails("backends"); });
	store_stand_put(store, "servers", "i-2", nullptr);
	list_app(apps[0], "draining");
	put_routes(5);
	store_stand_forget(store);
	set_unreachable(false);
	wait_for([this] { return edge->routes->version == 5; });
	wait_for([this] { return !knows("i-2"); });
	EXPECT_TRUE(backend_table_find(edge->backends, "i-1")->draining);
}

/* An older version that arrives later is ignored. */
TEST_F(SyncTest, OlderVersionIsIgnored)
{
	start_node();
	put_routes(9);
	wait_for([this] { return edge->routes->version == 9; });
	put_routes(4);
	put_routes(10);
	wait_for([this] { return edge->routes->version == 10; });
}

/* A document that can't be decoded leaves the previous one in force. */
TEST_F(SyncTest, InvalidDocumentChangesNothing)
{
	start_node();
	store_stand_put(store, "op", "config", "{\"version\":2,\"routes\":{");
	put_routes(3);
	wait_for([this] { return edge->routes->version == 3; });
}

/*
 * An evacuated failure domain gets no requests. When the evacuation ends its
 * servers count as cold, since their caches emptied.
 */
TEST_F(SyncTest, EvacuatedDomainGetsNoRequests)
{
	add_app("i-1", 20, "s", "d1");
	add_app("i-2", 20, "s", "d2");
	start_node();
	store_stand_put(store, "op", "evacuate/d1", "{}");
	wait_for([this] {
		return backend_table_evacuated(edge->backends, "d1");
	});
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(200, status_of(answer_to(
				       get("a" + std::to_string(i), "/r/"))));
	EXPECT_EQ(0u, app_stand_total_runs(apps[0].stand));
	store_stand_put(store, "op", "evacuate/d1", nullptr);
	wait_for([this] {
		return !backend_table_evacuated(edge->backends, "d1");
	});
	EXPECT_GT(backend_table_find(edge->backends, "i-1")->cold_until_us,
		  edge_now_us(edge));
}

/* With a peer that is the region's reader. */
class ReaderSyncTest : public SyncTest
{
      protected:
	/* Receives the reader's heartbeat, with digests of both tables. */
	void receive_reader_digests(uint32_t age_ms, uint64_t differs = 0)
	{
		struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];
		uint32_t count = sync_fill_digests(sync, digests);

		member_note_heartbeat(member_table_find(edge->members,
							"reader"),
				      ++heartbeat, false, edge_now_us(edge));
		for (uint32_t i = 0; i < count; i++) {
			digests[i].age_ms = age_ms;
			digests[i].digest += differs;
			sync_receive_digest(sync, &digests[i]);
		}
	}
	uint64_t heartbeat = 0;
};

/*
 * While the reader's digests match, the node makes almost no calls of its own.
 */
TEST_F(ReaderSyncTest, MatchingDigestsReplaceOwnCalls)
{
	add_app("i-1");
	start_node();
	add_reader();
	receive_reader_digests(0);
	run_for(1500);
	uint64_t calls = store_stand_calls(store);
	for (int i = 0; i < 15; i++) {
		receive_reader_digests(100);
		run_for(200);
	}
	EXPECT_LE(store_stand_calls(store) - calls, 2u);
}

/* A peer partitioned from the store sends digests of an old state: ignored. */
TEST_F(ReaderSyncTest, OldDigestIsIgnored)
{
	add_app("i-1");
	start_node();
	add_reader();
	receive_reader_digests(0);
	put_routes(8);
	for (int i = 0; i < 100 && edge->routes->version != 8; i++) {
		receive_reader_digests(10000);
		run_for(50);
	}
	EXPECT_EQ(8u, edge->routes->version);
}

/* The reader's digest differs: the node asks the store at once. */
TEST_F(ReaderSyncTest, DifferentDigestCausesARead)
{
	add_app("i-1");
	start_node();
	add_reader();
	for (int i = 0; i < 6; i++) {
		receive_reader_digests(0);
		run_for(200);
	}
	list_app(apps[0], "draining");
	receive_reader_digests(0, 1);
	wait_for([this] {
		return backend_table_find(edge->backends, "i-1")->draining;
	});
}

/*
 * After a partition of some seconds the reader's heartbeats arrive before the
 * node's own calls succeed, and confirm the backend servers. The call for
 * backend servers, whose success resumes the other tables' calls, is then no
 * longer made; routes that changed must be read all the same, or callers get
 * what the old routes say.
 */
TEST_F(ReaderSyncTest, UnconfirmedTableIsReadThoughAnotherIsConfirmed)
{
	add_app("i-1");
	start_node();
	add_reader();
	for (const char *name : { "m1", "m2" }) {
		struct member *member = member_table_put(edge->members, name);

		g_free(member->region);
		member->region = g_strdup("r1");
		member->hash = 0;
		member->link_mbps = edge->members->self->link_mbps;
	}
	receive_reader_digests(0);
	set_unreachable(true);
	wait_for([this] {
		return call_fails("backends") && call_fails("config");
	});
	put_routes(8);
	set_unreachable(false);
	uint64_t end_ns = uv_hrtime() + 3000ull * 1000000;
	while (edge->routes->version != 8 && uv_hrtime() < end_ns) {
		struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];
		uint32_t count = sync_fill_digests(sync, digests);

		member_note_heartbeat(member_table_find(edge->members,
							"reader"),
				      ++heartbeat, false, edge_now_us(edge));
		for (uint32_t i = 0; i < count; i++) {
			digests[i].age_ms = 0;
			digests[i].digest += digests[i].table ==
					     REGISTRY_CONFIG;
			sync_receive_digest(sync, &digests[i]);
		}
		run_for(100);
	}
	EXPECT_EQ(8u, edge->routes->version);
}

/*
 * A restart in an outage of the store: the node has no tables and refuses all
 * requests until the store is back. A peer's snapshot lets it serve; a server
 * that left meanwhile isn't in it.
 */
TEST_F(SyncTest, StartDuringAStoreOutageUsesAPeersSnapshot)
{
	struct edge second = {};
	struct sync *second_sync;

	add_app("i-1");
	add_app("i-2");
	start_node();
	put_routes(6);
	wait_for([this] { return edge->routes->version == 6; });
	list_app(apps[1], "draining");
	wait_for([this] {
		return backend_table_find(edge->backends, "i-2")->draining;
	});
	set_unreachable(true);
	edge_init(&second, &loop, clock_system(), platform_dialect(),
		  platform_store(), &settings);
	stats_init(&second.stats);
	second_sync = sync_open(&second);
	wait_for([&] {
		struct endpoint peer = at(peers);

		sync_receive_peer_address(second_sync, &peer);
		return edge_is_ready(&second);
	});
	EXPECT_EQ(6u, second.routes->version);
	EXPECT_NE(nullptr, backend_table_find(second.backends, "i-1"));
	/* It drains, as at the peer. */
	EXPECT_TRUE(backend_table_find(second.backends, "i-2")->draining);
	/* When the store is back, its rows replace the snapshot. */
	store_stand_put(store, "servers", "i-1", nullptr);
	put_routes(7);
	set_unreachable(false);
	wait_for([&] { return second.routes->version == 7; });
	wait_for([&] { return !backend_table_find(second.backends, "i-1"); });
	sync_close(second_sync);
	run_for(50);
	g_free(second_sync);
	edge_release(&second);
}

/*
 * Another writer damages a server's entry and adds invalid ones. The damaged
 * entry's server must get no requests any more. Other servers serve, and so
 * does this one after its next valid entry.
 */
TEST_F(SyncTest, UnreadableEntryRemovesTheServer)
{
	App &spoiled = add_app("i-1");

	add_app("i-2");
	start_node();
	ASSERT_TRUE(knows("i-1"));
	store_stand_put(store, "servers", "i-8", "\xff\xfe\x01");
	store_stand_put(store, "servers", "i-9", "{\"service\":7}");
	store_stand_put(store, "servers", "i-1", "{\"state\":\"ready\"}");
	wait_for([this] { return !knows("i-1"); });
	EXPECT_TRUE(knows("i-2"));
	EXPECT_FALSE(knows("i-8"));
	EXPECT_FALSE(knows("i-9"));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(200, status_of(answer_to(
				       get("a" + std::to_string(i), "/o/"))));
	EXPECT_EQ(0u, app_stand_total_runs(spoiled.stand));
	/* A snapshot holds the valid entries only. */
	GBytes *bytes = sync_snapshot(sync, SNAPSHOT_ALL);
	std::set<std::string> backend_ids;
	const struct snapshot_visitor names = {
		.table = [](void *, const struct snapshot_table *) {},
		.row = [](void *, const struct snapshot_row *) {},
		.backend =
			[](void *context, const struct heartbeat_row *backend) {
				((std::set<std::string> *)context)
					->insert(backend->id);
			},
		.expired = [](void *, const char *) {},
	};
	EXPECT_TRUE(snapshot_read(g_bytes_get_data(bytes, nullptr),
				  g_bytes_get_size(bytes), &names,
				  &backend_ids));
	g_bytes_unref(bytes);
	EXPECT_EQ(0u, backend_ids.count("i-8"));
	EXPECT_EQ(1u, backend_ids.count("i-2"));
	list_app(spoiled, "ready");
	wait_for([this] { return knows("i-1"); });
}

/*
 * A server crashes and restarts under its id at another port, while the old
 * process hangs with its connections open; a request on such a kept connection
 * would time out. Connections and warm objects of the old incarnation must not
 * be used for the new one.
 */
TEST_F(SyncTest, RestartedServerIsANewIncarnation)
{
	App &before = add_app("i-1");

	timeout = "500ms";
	put_routes(2);
	list_app(before, "ready", "0ms", 2, ",\"born\":1000");
	start_node();
	ASSERT_EQ(200, status_of(answer_to(get("a1", "/o/"))));
	const struct warm_pair pair = {
		backend_table_find(edge->backends, "i-1")->incarnation,
		hash_text("7"),
	};
	EXPECT_TRUE(warmth_has(&edge->warmth, pair));
	app_stand_silence(before.stand, true);
	App &again = add_app("i-1");
	list_app(again, "ready", "0ms", 1, ",\"born\":2000");
	wait_for([this] {
		return backend_table_find(edge->backends, "i-1")->started_ms ==
		       2000;
	});
	EXPECT_NE(pair.backend,
		  backend_table_find(edge->backends, "i-1")->incarnation);
	EXPECT_EQ(200, status_of(answer_to(get("a2", "/o/"))));
	EXPECT_EQ(1u, app_stand_runs(again.stand, "a2"));
	/* A late entry of the old incarnation is ignored. */
	list_app(before, "draining", "0ms", 3, ",\"born\":1000");
	run_for(300);
	EXPECT_FALSE(backend_table_find(edge->backends, "i-1")->draining);
	EXPECT_EQ(200, status_of(answer_to(get("a3", "/o/"))));
}

/* The row of a node that is lost for good is removed from the store. */
TEST_F(SyncTest, LostNodesRowIsRemoved)
{
	store_stand_put(store, "members", "gone",
			"{\"domain\":\"d1\",\"region\":\"r1\","
			"\"front\":\"127.0.0.9:1\",\"peer\":\"127.0.0.9:2\"}");
	start_node();
	wait_for([this] { return member_table_count(edge->members) == 2; });
	sync_remove_lost_member(sync);
	run_for(100);
	ASSERT_NE(nullptr, store_stand_get(store, "members", "gone"));
	edge->settings.member_expiry_us = 1;
	wait_for([this] {
		sync_remove_lost_member(sync);
		return !store_stand_get(store, "members", "gone");
	});
	EXPECT_EQ(1u, member_table_count(edge->members));
}

/* Bytes that are no complete snapshot are rejected. */
TEST(SnapshotTest, TruncatedSnapshotsAreRejected)
{
	struct snapshot_writer writer;
	const struct snapshot_table table = { 1, { 7, 2 }, 300 };
	const struct snapshot_row row = { 1, "key", "value" };
	const struct heartbeat_row backend = {};
	int seen = 0;
	const struct snapshot_visitor count = {
		.table =
			[](void *at, const struct snapshot_table *) {
				++*static_cast<int *>(at);
			},
		.row =
			[](void *at, const struct snapshot_row *) {
				++*static_cast<int *>(at);
			},
		.backend =
			[](void *at, const struct heartbeat_row *) {
				++*static_cast<int *>(at);
			},
		.expired = [](void *at,
			      const char *) { ++*static_cast<int *>(at); },
	};
	gsize length;

	snapshot_begin(&writer);
	snapshot_add_table(&writer, &table);
	snapshot_add_row(&writer, &row);
	snapshot_add_row(&writer, &row);
	snapshot_add_backend(&writer, &backend);
	snapshot_add_expired(&writer, "i-1");
	GBytes *bytes = snapshot_end(&writer);
	const char *data =
		static_cast<const char *>(g_bytes_get_data(bytes, &length));
	EXPECT_TRUE(snapshot_read(data, length, &count, &seen));
	EXPECT_EQ(5, seen);
	for (gsize cut = 0; cut < length; cut++) {
		seen = 0;
		bool whole = snapshot_read(data, cut, &count, &seen);
		EXPECT_TRUE(whole || !seen) << cut;
	}
	EXPECT_FALSE(
		snapshot_read("hello world, no snapshot", 24, &count, &seen));
	g_bytes_unref(bytes);
}

/* The store's answers are lost after the write: the node writes again. */
TEST_F(SyncTest, OwnRowIsWrittenAgainAfterALostAnswer)
{
	struct store_faults faults = {};

	faults.lose_answers = true;
	store_stand_set_faults(store, &faults);
	start_node(false);
	wait_for([this] {
		return store_stand_get(store, "members", "n1") != nullptr;
	});
	faults.lose_answers = false;
	store_stand_set_faults(store, &faults);
	wait_for([this] { return edge_is_ready(edge); });
}

/* Without tables a node refuses requests as not run, and isn't ready. */
TEST_F(SyncTest, NodeWithoutTablesIsNotReady)
{
	set_unreachable(true);
	start_node(false);
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/"))));
	EXPECT_FALSE(edge_is_ready(edge));
	set_unreachable(false);
	add_app("i-1");
	wait_for([this] { return edge_is_ready(edge); });
}

} // namespace
