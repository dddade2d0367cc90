/* What a node believes of the platform's tables, with the store in trouble. */
#include <set>

#include "core/hash.h"
#include "edge/edge_world.h"
#include "edge/snapshot.h"

namespace
{

class SyncTest : public EdgeWorld
{
      protected:
	void set_silent(bool silent)
	{
		struct store_faults faults = {};

		faults.silent = silent;
		store_stand_set_faults(store, &faults);
	}
	bool knows(const char *id)
	{
		return backend_table_find(edge->backends, id) != nullptr;
	}
	bool has_lost(const char *name)
	{
		struct sync_view views[SYNC_TABLES];
		uint32_t count = sync_views(sync, views);

		for (uint32_t i = 0; i < count; i++)
			if (!strcmp(views[i].name, name))
				return views[i].failures > 0;
		return false;
	}
};

/*
 * The store was silent for a while and is back. The operator's new routes are
 * refused with 404 for ten seconds more: the call that waits for changes was
 * made while the store was silent, and waits for its own time-out.
 */
TEST_F(SyncTest, AHeldCallDoesNotOutliveTheStoresSilence)
{
	add_app("i-1");
	start_node();
	set_silent(true);
	wait_for([this] { return has_lost("backends"); }, "the store is lost");
	run_for(1500);
	set_silent(false);
	put_routes(7);
	uint64_t calls = store_stand_calls(store);
	wait_for([this] { return edge->routes->version == 7; });
	EXPECT_LE(store_stand_calls(store) - calls, 8u);
}

/*
 * A node is cut off from the store; meanwhile a server leaves, and its entry is
 * removed. Back in touch, the node must not take the missing entry for one that
 * lapsed with the store and send requests there for two seconds more: most
 * other entries are there, so the store wasn't away.
 */
TEST_F(SyncTest, AServerThatLeftDuringACutIsGoneAtOnce)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_node();
	set_silent(true);
	wait_for([this] { return has_lost("backends"); });
	store_stand_put(store, "servers", "i-3", nullptr);
	for (App &app : apps)
		if (app.id != "i-3")
			list_app(app, "ready", "0ms", 2);
	set_silent(false);
	wait_for([this] { return !knows("i-3"); });
	EXPECT_LE(sync_lapse_left_us(sync), 250000u);
}

/*
 * The same, and nothing else changed meanwhile: the feed names only the one
 * that left. Entries that it doesn't name are there as before, not missing.
 */
TEST_F(SyncTest, WhatTheFeedDoesNotNameIsNotMissing)
{
	for (int i = 0; i < 10; i++)
		add_app("i-" + std::to_string(i));
	start_node();
	set_silent(true);
	wait_for([this] { return has_lost("backends"); });
	store_stand_put(store, "servers", "i-3", nullptr);
	set_silent(false);
	wait_for([this] { return !knows("i-3"); });
	EXPECT_LE(sync_lapse_left_us(sync), 250000u);
}

/*
 * The store was away and all entries lapsed meanwhile. The servers live, and
 * are back in the list within two seconds: a node that dropped them at once
 * would refuse all requests until then.
 */
TEST_F(SyncTest, EntriesThatLapsedWithTheStoreAreKept)
{
	App &app = add_app("i-1");

	add_app("i-2");
	start_node();
	set_silent(true);
	wait_for([this] { return has_lost("backends"); });
	store_stand_put(store, "servers", "i-1", nullptr);
	store_stand_put(store, "servers", "i-2", nullptr);
	set_silent(false);
	wait_for([this] {
		struct backend *backend =
			backend_table_find(edge->backends, "i-1");

		return !backend || backend->lapsed_us;
	});
	ASSERT_TRUE(knows("i-1"));
	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/"))));
	list_app(app, "ready", "0ms", 2);
	wait_for([this] { return !knows("i-2"); },
		 "one that doesn't come back is gone");
	EXPECT_TRUE(knows("i-1"));
}

/* The history is forgotten while the node follows: it reads the table anew. */
TEST_F(SyncTest, AForgottenHistoryIsReadAnew)
{
	add_app("i-1");
	add_app("i-2");
	start_node();
	set_silent(true);
	wait_for([this] { return has_lost("backends"); });
	store_stand_put(store, "servers", "i-2", nullptr);
	list_app(apps[0], "draining");
	put_routes(5);
	store_stand_forget(store);
	set_silent(false);
	wait_for([this] { return edge->routes->version == 5; });
	wait_for([this] { return !knows("i-2"); });
	EXPECT_TRUE(backend_table_find(edge->backends, "i-1")->draining);
}

/* Versions only go forward, also when an older one comes later. */
TEST_F(SyncTest, AnOlderVersionIsNotTakenBack)
{
	start_node();
	put_routes(9);
	wait_for([this] { return edge->routes->version == 9; });
	put_routes(4);
	put_routes(10);
	wait_for([this] { return edge->routes->version == 10; });
}

/* A document that can't be read leaves the one before it in force. */
TEST_F(SyncTest, ABadDocumentChangesNothing)
{
	start_node();
	store_stand_put(store, "op", "config", "{\"version\":2,\"routes\":{");
	put_routes(3);
	wait_for([this] { return edge->routes->version == 3; });
}

/*
 * An evacuated failure domain gets nothing, and its servers count as cold when
 * it is taken back: their caches emptied meanwhile.
 */
TEST_F(SyncTest, AnEvacuatedDomainGetsNothing)
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

/* With a neighbour that reads the tables for the region. */
class ReaderSyncTest : public SyncTest
{
      protected:
	/* What the reader's beat says of both tables. */
	void vouch(uint32_t age_ms, uint64_t differs = 0)
	{
		struct beat_vouch vouches[BEAT_MAX_VOUCHES];
		uint32_t count = sync_vouches(sync, vouches);

		member_heard(member_table_find(edge->members, "reader"), ++beat,
			     false, edge_now_us(edge));
		for (uint32_t i = 0; i < count; i++) {
			vouches[i].age_ms = age_ms;
			vouches[i].digest += differs;
			sync_vouched(sync, &vouches[i]);
		}
	}
	uint64_t beat = 0;
};

/* While a neighbour vouches, the node makes next to no calls of its own. */
TEST_F(ReaderSyncTest, ANeighboursWordSparesTheCalls)
{
	add_app("i-1");
	start_node();
	add_reader();
	vouch(0);
	run_for(1500);
	uint64_t calls = store_stand_calls(store);
	for (int i = 0; i < 15; i++) {
		vouch(100);
		run_for(200);
	}
	EXPECT_LE(store_stand_calls(store) - calls, 2u);
}

/* A neighbour that is cut off from the store vouches for what was: not taken.
 */
TEST_F(ReaderSyncTest, AnOldWordIsNotTaken)
{
	add_app("i-1");
	start_node();
	add_reader();
	vouch(0);
	put_routes(8);
	for (int i = 0; i < 100 && edge->routes->version != 8; i++) {
		vouch(10000);
		run_for(50);
	}
	EXPECT_EQ(8u, edge->routes->version);
}

/* The neighbour knows otherwise: the node asks the store at once. */
TEST_F(ReaderSyncTest, AnotherWordIsLookedInto)
{
	add_app("i-1");
	start_node();
	add_reader();
	for (int i = 0; i < 6; i++) {
		vouch(0);
		run_for(200);
	}
	list_app(apps[0], "draining");
	vouch(0, 1);
	wait_for([this] {
		return backend_table_find(edge->backends, "i-1")->draining;
	});
}

/*
 * A node was cut off for seconds. Its neighbours' beats were back before its
 * own calls went through, and confirmed the servers; the routes that had
 * changed meanwhile it never asked for, since the call that was to try the path
 * for both tables wasn't made any more. Callers got what older routes say.
 */
TEST_F(ReaderSyncTest, ATableWithoutAWordIsReadThoughAnotherHasOne)
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
	vouch(0);
	set_silent(true);
	wait_for([this] { return has_lost("backends") && has_lost("config"); });
	put_routes(8);
	set_silent(false);
	uint64_t end_ns = uv_hrtime() + 3000ull * 1000000;
	while (edge->routes->version != 8 && uv_hrtime() < end_ns) {
		struct beat_vouch vouches[BEAT_MAX_VOUCHES];
		uint32_t count = sync_vouches(sync, vouches);

		member_heard(member_table_find(edge->members, "reader"), ++beat,
			     false, edge_now_us(edge));
		for (uint32_t i = 0; i < count; i++) {
			vouches[i].age_ms = 0;
			vouches[i].digest += vouches[i].table ==
					     REGISTRY_CONFIG;
			sync_vouched(sync, &vouches[i]);
		}
		run_for(100);
	}
	EXPECT_EQ(8u, edge->routes->version);
}

/*
 * A planned restart while the store is away: the node knew nothing and refused
 * everything until the store was back. A neighbour gives it what it knows; a
 * server that left meanwhile isn't in it.
 */
TEST_F(SyncTest, AStartWithoutTheStoreTakesANeighboursSnapshot)
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
	set_silent(true);
	edge_init(&second, &loop, clock_system(), platform_dialect(),
		  platform_store(), &settings);
	stats_init(&second.stats);
	second_sync = sync_open(&second);
	wait_for([&] {
		struct endpoint neighbour = at(peers);

		sync_heard_neighbour(second_sync, &neighbour);
		return edge_is_ready(&second);
	});
	EXPECT_EQ(6u, second.routes->version);
	EXPECT_NE(nullptr, backend_table_find(second.backends, "i-1"));
	/* It is known as one that leaves, as to the neighbour. */
	EXPECT_TRUE(backend_table_find(second.backends, "i-2")->draining);
	/* Back in touch, the store's word replaces all of it. */
	store_stand_put(store, "servers", "i-1", nullptr);
	put_routes(7);
	set_silent(false);
	wait_for([&] { return second.routes->version == 7; });
	wait_for([&] { return !backend_table_find(second.backends, "i-1"); });
	sync_close(second_sync);
	run_for(50);
	g_free(second_sync);
	edge_release(&second);
}

/*
 * Another writer spoils the entry of one server, and adds some that are none.
 * Requests went on to whatever stood there before; the other server, and the
 * one whose own next entry is whole, serve.
 */
TEST_F(SyncTest, AnEntryThatCannotBeReadNamesNoServer)
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
	/* What it knows is told to a node that starts, but for such bytes. */
	GBytes *bytes = sync_snapshot(sync, SNAPSHOT_ALL);
	std::set<std::string> told;
	const struct snapshot_visitor names = {
		.table = [](void *, const struct snapshot_table *) {},
		.row = [](void *, const struct snapshot_row *) {},
		.backend =
			[](void *context, const struct beat_row *backend) {
				((std::set<std::string> *)context)
					->insert(backend->id);
			},
		.lapsed = [](void *, const char *) {},
	};
	EXPECT_TRUE(snapshot_read(g_bytes_get_data(bytes, nullptr),
				  g_bytes_get_size(bytes), &names, &told));
	g_bytes_unref(bytes);
	EXPECT_EQ(0u, told.count("i-8"));
	EXPECT_EQ(1u, told.count("i-2"));
	list_app(spoiled, "ready");
	wait_for([this] { return knows("i-1"); });
}

/*
 * A server crashes and starts again under its id, at another port; the one
 * before hangs with its connections open. A posting sent on such a kept
 * connection ran into its time-out. Nothing that was known of the life before
 * holds for this one: neither its connections nor its cache.
 */
TEST_F(SyncTest, AServerThatStartedAgainUnderItsIdIsAnother)
{
	App &before = add_app("i-1");

	timeout = "500ms";
	put_routes(2);
	list_app(before, "ready", "0ms", 2, ",\"born\":1000");
	start_node();
	ASSERT_EQ(200, status_of(answer_to(get("a1", "/o/"))));
	const struct warm_pair pair = {
		backend_table_find(edge->backends, "i-1")->life,
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
		  backend_table_find(edge->backends, "i-1")->life);
	EXPECT_EQ(200, status_of(answer_to(get("a2", "/o/"))));
	EXPECT_EQ(1u, app_stand_runs(again.stand, "a2"));
	/* A late entry of the life before changes nothing. */
	list_app(before, "draining", "0ms", 3, ",\"born\":1000");
	run_for(300);
	EXPECT_FALSE(backend_table_find(edge->backends, "i-1")->draining);
	EXPECT_EQ(200, status_of(answer_to(get("a3", "/o/"))));
}

/* The row of a node that is gone for good is struck from the store. */
TEST_F(SyncTest, ALostNodesRowIsStruck)
{
	store_stand_put(store, "members", "gone",
			"{\"domain\":\"d1\",\"region\":\"r1\","
			"\"front\":\"127.0.0.9:1\",\"peer\":\"127.0.0.9:2\"}");
	start_node();
	wait_for([this] { return member_table_count(edge->members) == 2; });
	sync_strike_lost(sync);
	run_for(100);
	ASSERT_NE(nullptr, store_stand_get(store, "members", "gone"));
	edge->settings.forget_us = 1;
	wait_for([this] {
		sync_strike_lost(sync);
		return !store_stand_get(store, "members", "gone");
	});
	EXPECT_EQ(1u, member_table_count(edge->members));
}

/* Bytes that are no snapshot bring nothing. */
TEST(SnapshotTest, OnlyWholeSnapshotsAreRead)
{
	struct snapshot_writer writer;
	const struct snapshot_table table = { 1, 7, 300 };
	const struct snapshot_row row = { 1, "key", "value" };
	const struct beat_row backend = {};
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
			[](void *at, const struct beat_row *) {
				++*static_cast<int *>(at);
			},
		.lapsed = [](void *at,
			     const char *) { ++*static_cast<int *>(at); },
	};
	gsize length;

	snapshot_begin(&writer);
	snapshot_add_table(&writer, &table);
	snapshot_add(&writer, &row);
	snapshot_add(&writer, &row);
	snapshot_add_backend(&writer, &backend);
	snapshot_add_lapsed(&writer, "i-1");
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

/* Answers of the store are lost after the write was done: written again. */
TEST_F(SyncTest, ALostAnswerToTheOwnRowIsMadeUpFor)
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

/* Before anything is known: refused as not run, and not ready. */
TEST_F(SyncTest, ANodeThatKnowsNothingPromisesNothing)
{
	set_silent(true);
	start_node(false);
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/"))));
	EXPECT_FALSE(edge_is_ready(edge));
	set_silent(false);
	add_app("i-1");
	wait_for([this] { return edge_is_ready(edge); });
}

} // namespace
