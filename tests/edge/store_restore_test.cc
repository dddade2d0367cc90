/*
 * A store that comes back from a copy of its rows: what was written since is
 * gone, and its versions are given out again.
 */
#include "edge/edge_world.h"
#include "edge/quarantine_store.h"

namespace
{

/* The users' bound from a change at the store until it is in force. */
const uint64_t in_force_ms = 2500;

/* From the store's return until a belief that it doesn't confirm is given up.
 */
const uint64_t given_up_ms = 8000;

class StoreRestoreTest : public EdgeWorld
{
      protected:
	void TearDown() override
	{
		if (quarantines)
			quarantine_store_close(quarantines);
		EdgeWorld::TearDown();
		g_free(quarantines);
	}
	void set_away(bool away)
	{
		struct store_faults faults = {};

		faults.silent = away;
		store_stand_set_faults(store, &faults);
	}
	/* Changes of a table that the node doesn't follow. */
	void raise_version(int changes)
	{
		for (int i = 0; i < changes; i++)
			store_stand_put(store, "status", "any",
					std::to_string(i).c_str());
	}
	/* The store comes back from its copy after so long. */
	void restore(uint64_t away_ms)
	{
		set_away(true);
		run_for(away_ms);
		store_stand_restore(store);
		set_away(false);
	}
	void wait_until_read()
	{
		uint64_t version = store_stand_version(store);

		wait_for(
			[&] {
				struct sync_table_state states[SYNC_TABLES];

				sync_table_states(sync, states);
				return states[REGISTRY_CONFIG].version >=
					       version &&
				       states[REGISTRY_BACKENDS].version >=
					       version;
			},
			"the node has read the store");
	}
	struct backend *backend(const App &app)
	{
		return backend_table_find(edge->backends, app.id.c_str());
	}
	bool is_leaving(const App &app)
	{
		return backend(app) && backend_is_leaving(backend(app));
	}
	bool is_evacuated(const char *domain)
	{
		return backend_table_evacuated(edge->backends, domain);
	}
	uint64_t elapsed_ms(uint64_t since_us)
	{
		return (edge_now_us(edge) - since_us) / 1000;
	}
	/* Requests that reach a server within ms. */
	uint32_t requests_at(const App &app, uint64_t ms)
	{
		uint32_t before = app_stand_total_runs(app.stand);
		uint64_t end_us = edge_now_us(edge) + ms * 1000;

		while (edge_now_us(edge) < end_us) {
			std::string number = std::to_string(++requests);
			std::string text = get("r" + number, "/r/");

			/* Different objects, of which each server has some. */
			text.replace(text.find("Key: 7"), 6, "Key: " + number);
			answer_to(text);
			run_for(20);
		}
		return app_stand_total_runs(app.stand) - before;
	}
	struct quarantine_store *quarantines = nullptr;
	int requests = 0;
};

/* Guards against changes after a restore being taken for older ones. */
struct restore_case {
	const char *name;
	uint64_t away_ms;
	int lost; /* versions since the copy */
	int given_again; /* versions that others take at its return */
	int restores;
	int rows; /* other servers: more than a page from 500 on */
};

const restore_case restore_cases[] = {
	{ "CounterBelow", 1500, 12, 0, 1, 0 },
	{ "CounterPassesItsHeight", 1500, 12, 20, 1, 0 },
	{ "CounterReachesItsHeight", 1500, 12, 11, 1, 0 },
	{ "CounterFarBelow", 1500, 5000, 0, 1, 0 },
	{ "NothingLost", 1500, 1, 0, 1, 0 },
	{ "AtOnce", 0, 12, 0, 1, 0 },
	{ "AtOnceAndPassesItsHeight", 0, 12, 20, 1, 0 },
	{ "AwayForLong", 4000, 12, 0, 1, 0 },
	{ "Twice", 1000, 12, 0, 2, 0 },
	{ "TwiceAndPassesItsHeight", 1000, 12, 20, 2, 0 },
	{ "Pages", 1500, 12, 0, 1, 700 },
	{ "PagesAndPassesItsHeight", 1500, 12, 20, 1, 700 },
};

class RestoreManner : public StoreRestoreTest,
		      public ::testing::WithParamInterface<restore_case>
{
      protected:
	void add_rows(int count)
	{
		for (int i = 0; i < count; i++)
			store_stand_put(
				store, "servers",
				("other-" + std::to_string(i)).c_str(),
				"{\"service\":\"t\",\"addr\":\"127.0.0.9:1\","
				"\"zone\":\"d1\",\"state\":\"ready\","
				"\"slots\":4}");
	}
	void start_and_restore()
	{
		const restore_case &c = GetParam();

		for (const char *id : { "i-1", "i-2", "i-3" })
			add_app(id);
		add_rows(c.rows);
		start_node();
		store_stand_copy(store);
		raise_version(c.lost - 1);
		put_routes(2);
		wait_until_read();
		for (int i = 0; i < c.restores; i++) {
			restore(c.away_ms);
			list_app(apps[2], "draining");
			raise_version(c.given_again);
			run_for(300);
		}
		returned_us = edge_now_us(edge) - 300000;
	}
	/* Changes are in force; the routes that were never go back. */
	void expect_in_force(const std::function<bool()> &holds,
			     uint64_t since_us)
	{
		while (!holds() && elapsed_ms(since_us) < in_force_ms) {
			ASSERT_GE(edge->routes->version, 2u);
			run_for(10);
		}
		EXPECT_TRUE(holds());
	}
	uint64_t returned_us = 0;
};

TEST_P(RestoreManner, ChangesAreInForceInTime)
{
	uint64_t changed_us;

	start_and_restore();
	expect_in_force([this] { return is_leaving(apps[2]); }, returned_us);
	run_for(500);
	put_routes(3);
	list_app(apps[1], "draining");
	changed_us = edge_now_us(edge);
	expect_in_force(
		[this] {
			return edge->routes->version == 3 &&
			       is_leaving(apps[1]);
		},
		changed_us);
	EXPECT_EQ(200, status_of(answer_to(get("u1", "/r/"))));
}

/* Guards against whole reads of the store, one after the other, after it. */
TEST_P(RestoreManner, ReadsAreFew)
{
	uint64_t calls;

	start_and_restore();
	calls = store_stand_calls(store);
	run_for(2000);
	/* Three pages or tables in full, then ten calls of a reader a second.
	 */
	EXPECT_LE(store_stand_calls(store) - calls, 30u);
}

INSTANTIATE_TEST_SUITE_P(Cases, RestoreManner,
			 ::testing::ValuesIn(restore_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a leaving server that is ready in the copy. */
TEST_F(StoreRestoreTest, LeavingServerIsReadyInTheCopy)
{
	add_app("i-1");
	add_app("i-2");
	start_node();
	store_stand_copy(store);
	list_app(apps[1], "draining");
	wait_for([this] { return is_leaving(apps[1]); });
	restore(1000);
	EXPECT_EQ(0u, requests_at(apps[1], 1500));
}

/* Guards against requests to a server that had left. */
TEST_F(StoreRestoreTest, RemovedServerIsBackInTheCopy)
{
	add_app("i-1");
	add_app("i-2");
	start_node();
	store_stand_copy(store);
	store_stand_put(store, "servers", "i-2", nullptr);
	wait_for([this] { return !backend(apps[1]); });
	restore(1000);
	EXPECT_EQ(0u, requests_at(apps[1], 2500));
	/* It runs, and the store goes on listing it. */
	run_for(3000);
	EXPECT_GT(requests_at(apps[1], 3000), 0u);
}

/* Guards against dropping servers that are written again a little later. */
TEST_F(StoreRestoreTest, NewServersAreMissingInTheCopy)
{
	add_app("i-1");
	start_node();
	store_stand_copy(store);
	add_app("i-2");
	add_app("i-3");
	wait_until_read();
	restore(1000);
	run_for(1200);
	EXPECT_TRUE(backend(apps[1]) && backend(apps[2]));
	list_app(apps[1], "ready");
	run_for(3000);
	EXPECT_TRUE(backend(apps[1]));
	EXPECT_FALSE(backend(apps[2]));
}

/* Guards against the end of an evacuation that is written again later. */
TEST_F(StoreRestoreTest, EvacuationIsMissingInTheCopy)
{
	add_app("i-1", 20, "s", "d1");
	add_app("i-2", 20, "s", "d2");
	start_node();
	store_stand_copy(store);
	store_stand_put(store, "op", "evacuate/d1", "{}");
	store_stand_put(store, "op", "evacuate/d2", "{}");
	wait_for([this] { return is_evacuated("d1") && is_evacuated("d2"); });
	restore(1000);
	run_for(1500);
	EXPECT_TRUE(is_evacuated("d1") && is_evacuated("d2"));
	store_stand_put(store, "op", "evacuate/d1", "{}");
	run_for(given_up_ms);
	EXPECT_TRUE(is_evacuated("d1"));
	EXPECT_FALSE(is_evacuated("d2"));
}

/* Guards against an end of an evacuation that is believed too late. */
TEST_F(StoreRestoreTest, EvacuationEndsAfterTheRestore)
{
	add_app("i-1", 20, "s", "d1");
	add_app("i-2", 20, "s", "d2");
	start_node();
	store_stand_put(store, "op", "evacuate/d1", "{}");
	store_stand_copy(store);
	raise_version(12);
	wait_for([this] { return is_evacuated("d1"); });
	restore(1000);
	run_for(500);
	store_stand_put(store, "op", "evacuate/d1", nullptr);
	run_for(in_force_ms);
	EXPECT_FALSE(is_evacuated("d1"));
}

/* Guards against final answers by routes that the operator may have replaced.
 */
TEST_F(StoreRestoreTest, DeniesNothingWhileRoutesMayBeMissing)
{
	add_app("i-1");
	start_node();
	EXPECT_EQ(404, status_of(answer_to(get("u1", "/added-later/"))));
	store_stand_copy(store);
	put_routes(2);
	wait_until_read();
	restore(1000);
	run_for(1000);
	EXPECT_EQ(503, status_of(answer_to(get("u2", "/added-later/"))));
	put_routes(2);
	run_for(given_up_ms);
	EXPECT_EQ(404, status_of(answer_to(get("u3", "/added-later/"))));
}

/* Guards against a node that its peers no longer find in the store. */
TEST_F(StoreRestoreTest, OwnRowIsWrittenAgain)
{
	add_app("i-1");
	store_stand_copy(store);
	start_node();
	wait_for([this] { return store_stand_get(store, "members", "n1"); });
	restore(1000);
	EXPECT_FALSE(store_stand_get(store, "members", "n1"));
	run_for(in_force_ms);
	EXPECT_TRUE(store_stand_get(store, "members", "n1"));
}

/* Guards against live peers that are taken for gone. */
TEST_F(StoreRestoreTest, MembersAreMissingInTheCopy)
{
	const char *row = "{\"domain\":\"d1\",\"region\":\"r1\","
			  "\"front\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\","
			  "\"link_mbps\":1}";

	add_app("i-1");
	start_node();
	wait_for([this] { return store_stand_get(store, "members", "n1"); });
	store_stand_copy(store);
	run_for(2500); /* the table isn't read again sooner */
	for (const char *name : { "n2", "n3" })
		store_stand_put(store, "members", name, row);
	sync_read_members(sync);
	wait_for([this] { return member_table_count(edge->members) == 3; });
	restore(1000);
	run_for(2500);
	EXPECT_EQ(3u, member_table_count(edge->members));
	store_stand_put(store, "members", "n2", row);
	run_for(given_up_ms);
	EXPECT_TRUE(member_table_find(edge->members, "n2"));
	EXPECT_FALSE(member_table_find(edge->members, "n3"));
}

/* Guards against quarantines that all nodes' next restart would undo. */
TEST_F(StoreRestoreTest, QuarantineIsWrittenAgain)
{
	const uint64_t fingerprint = 0x1234567890abcdef;
	const char *key = "1234567890abcdef";

	add_app("i-1");
	store_stand_copy(store);
	start_node();
	quarantines = quarantine_store_open(edge);
	quarantine_store_members_known(quarantines);
	wait_for([this] { return !quarantine_store_is_reading(quarantines); });
	suspect_quarantine(edge->suspects, fingerprint, edge_now_us(edge));
	quarantine_store_write(quarantines, fingerprint);
	wait_for([&] { return store_stand_get(store, "quarantines", key); });
	restore(1000);
	EXPECT_FALSE(store_stand_get(store, "quarantines", key));
	run_for(in_force_ms);
	EXPECT_TRUE(store_stand_get(store, "quarantines", key));
}

/* Guards against eras that a node can't place: it goes by what it has. */
struct era_case {
	const char *name;
	const char *era; /* NULL: without the header */
	bool believed;
};

const era_case era_cases[] = {
	{ "Same", "4", true },		 { "Next", "5", true },
	{ "SeveralLater", "9", true },	 { "Older", "3", false },
	{ "Missing", nullptr, false },	 { "Empty", "", false },
	{ "NotANumber", "four", false }, { "Negative", "-4", false },
	{ "Fraction", "4.5", false },	 { "TooLarge", "99999999999", false },
};

class EraTest : public StoreRestoreTest,
		public ::testing::WithParamInterface<era_case>
{
};

TEST_P(EraTest, AnswersOfAnUnknownEraChangeNothing)
{
	const era_case &c = GetParam();

	add_app("i-1");
	store_stand_set_era(store, "4");
	start_node();
	run_for(1200);
	store_stand_set_era(store, c.era);
	put_routes(2);
	run_for(in_force_ms);
	EXPECT_EQ(c.believed ? 2u : 1u, edge->routes->version);
	EXPECT_EQ(200, status_of(answer_to(get("u1", "/r/"))));
	store_stand_set_era(store, "9");
	put_routes(3);
	run_for(in_force_ms);
	EXPECT_EQ(3u, edge->routes->version);
}

INSTANTIATE_TEST_SUITE_P(Cases, EraTest, ::testing::ValuesIn(era_cases),
			 [](const auto &info) { return info.param.name; });

/* With a peer that is the region's reader. */
class ReaderEraTest : public StoreRestoreTest
{
      protected:
	struct sync_table_state routes()
	{
		struct sync_table_state states[SYNC_TABLES];

		sync_table_states(sync, states);
		return states[REGISTRY_CONFIG];
	}
	void receive_digest(uint32_t era, uint64_t number, uint64_t differs)
	{
		struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];

		sync_fill_digests(sync, digests);
		member_note_heartbeat(member_table_find(edge->members,
							"reader"),
				      ++heartbeats, false, edge_now_us(edge));
		digests[0].age_ms = 0;
		digests[0].version = { number, era };
		digests[0].digest += differs;
		sync_receive_digest(sync, &digests[0]);
	}
	uint64_t heartbeats = 0;
};

/* Guards against confirmations by a reader that goes by the lost tables. */
TEST_F(ReaderEraTest, ReaderOfAnEarlierEraConfirmsNothing)
{
	uint64_t confirmed_us;

	store_stand_set_era(store, "4");
	add_app("i-1");
	start_node();
	add_reader();
	run_for(100);
	confirmed_us = routes().confirmed_us;
	receive_digest(3, 1000, 0);
	EXPECT_EQ(confirmed_us, routes().confirmed_us);
	EXPECT_EQ(4u, routes().era);
	receive_digest(4, routes().version, 0);
	EXPECT_LT(confirmed_us, routes().confirmed_us);
}

/* Guards against a node that only its peers tell of a restore. */
TEST_F(ReaderEraTest, ReaderOfALaterEraIsBelievedWithALowerNumber)
{
	uint64_t restores;

	store_stand_set_era(store, "4");
	add_app("i-1");
	start_node();
	add_reader();
	run_for(100);
	restores = metric_value(edge->stats.registry_restores);
	receive_digest(5, 1, 0);
	EXPECT_EQ(5u, routes().era);
	EXPECT_EQ(1u, routes().version);
	EXPECT_EQ(restores + 1, metric_value(edge->stats.registry_restores));
	EXPECT_FALSE(sync_may_deny(sync));
	EXPECT_EQ(200, status_of(answer_to(get("u1", "/r/"))));
}

/* Guards against needing the header of a store that has none. */
TEST_F(StoreRestoreTest, StoreWithoutErasIsFollowed)
{
	store_stand_set_era(store, nullptr);
	add_app("i-1");
	start_node();
	put_routes(2);
	run_for(in_force_ms);
	EXPECT_EQ(2u, edge->routes->version);
}

} // namespace
