/* Requests that crash the backend servers running them. */
#include <cinttypes>
#include <cstring>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/fingerprint.h"
#include "edge/edge_world.h"
#include "edge/quarantine_store.h"

namespace
{

class CrashTest : public EdgeWorld
{
      protected:
	void add_apps(int count)
	{
		for (int i = 1; i <= count; i++) {
			App &app = add_app("i-" + std::to_string(i));

			app_stand_set_deadly(app.stand, "/r/deadly");
		}
	}
	static uint64_t fingerprint(const char *path)
	{
		const struct fingerprint_input parts = { "GET",	  "h.example",
							 path,	  nullptr,
							 nullptr, 0 };

		return fingerprint_of(&parts);
	}
	int count_crashed() const
	{
		int count = 0;

		for (const App &app : apps)
			count += app_stand_has_ended(app.stand);
		return count;
	}
};

/*
 * Guards against one request crashing a service's servers one after another (25
 * in 16 s). A caller repeated it under a new id each time, and each time the
 * node sent it to as many servers as the route allows, since a new id made it
 * another request; its fingerprint (method, path, body) is the same each time.
 */
TEST_F(CrashTest, RepeatedRequestCrashesAtMostThreeServers)
{
	add_apps(10);
	start_node();
	for (int i = 0; i < 10; i++)
		answer_to(get("again-" + std::to_string(i), "/r/deadly"));
	EXPECT_GE(3, count_crashed());
}

struct repeated_case {
	const char *name;
	const char *path;
	int status; /* of the first try */
};

const repeated_case repeated_cases[] = {
	{ "Idempotent", "/r/deadly", 502 },
	{ "Once", "/o/deadly", 502 },
};

class RepeatedRequestTest : public CrashTest,
			    public ::testing::WithParamInterface<repeated_case>
{
};

/*
 * Guards against callers of a quarantined request waiting for an answer, or
 * repeating it without a pause.
 */
TEST_P(RepeatedRequestTest, IsRefusedAtOnceAsNotRun)
{
	const repeated_case &c = GetParam();

	for (int i = 1; i <= 8; i++)
		app_stand_set_deadly(add_app("i-" + std::to_string(i)).stand,
				     c.path);
	start_node();
	EXPECT_EQ(c.status, status_of(answer_to(get("first", c.path))));
	for (int i = 0; i < 3; i++)
		answer_to(get("again-" + std::to_string(i), c.path));
	std::string answer = answer_to(get("last", c.path));

	EXPECT_EQ(3, count_crashed());
	EXPECT_EQ(503, status_of(answer)) << answer;
	EXPECT_NE(std::string::npos, answer.find("Retry-After: 60.000\r\n"));
	for (const App &app : apps)
		EXPECT_EQ(0u, app_stand_runs(app.stand, "last"));
	EXPECT_EQ(200, status_of(answer_to(get("other", "/r/other"))));
}

INSTANTIATE_TEST_SUITE_P(Cases, RepeatedRequestTest,
			 ::testing::ValuesIn(repeated_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * Guards against a suspect waiting for its claim until its deadline, where
 * there isn't enough time for the claim.
 */
TEST_F(CrashTest, SuspectWithoutTimeForAClaimIsRefusedAtOnce)
{
	add_apps(6);
	start_node();
	answer_to(get("first", "/r/deadly"));
	ASSERT_EQ(2, count_crashed());
	uint64_t began_us = edge_now_us(edge);
	std::string answer =
		answer_to("GET /r/deadly HTTP/1.1\r\nHost: h.example\r\n"
			  "Lilacfield-Attempt-Id: late\r\n"
			  "Lilacfield-Deadline-Ms: 130\r\n\r\n");

	EXPECT_EQ(503, status_of(answer)) << answer;
	EXPECT_GT(100 * US_PER_MS, edge_now_us(edge) - began_us);
	EXPECT_EQ(2, count_crashed());
}

/* Guards against requests that share a server with a suspect being lost. */
TEST_F(CrashTest, RequestsOnTheSameServersAreServed)
{
	std::vector<std::unique_ptr<RawCaller>> callers;

	add_apps(8);
	start_node();
	for (int i = 0; i < 6; i++)
		callers.push_back(call(get("beside-" + std::to_string(i),
					   "/r/" + std::to_string(i / 2))));
	for (int i = 0; i < 4; i++)
		answer_to(get("again-" + std::to_string(i), "/r/deadly"));
	for (const auto &caller : callers) {
		wait_for([&] { return is_whole(*caller); });
		EXPECT_EQ(200, status_of(caller->got)) << caller->got;
	}
	EXPECT_EQ(3, count_crashed());
}

/* Guards against one reset connection being taken for a crash. */
TEST_F(CrashTest, AResetOfTheOnlyConnectionMakesNoSuspect)
{
	App &app = add_app("i-1");

	app_stand_set_fault(app.stand, APP_CRASH);
	start_node();
	answer_to(get("a1", "/o/x"));
	run_for(50);
	EXPECT_EQ(0u, edge->suspects->count);
	EXPECT_FALSE(crash_watch_is_busy(edge->crashes));
}

/* Guards against suspects from a power loss of a whole failure domain. */
TEST_F(CrashTest, DomainOutageMakesNoSuspects)
{
	std::vector<std::unique_ptr<RawCaller>> callers;

	for (int i = 1; i <= 4; i++)
		add_app("i-" + std::to_string(i), 300, "s", "d1", 4);
	start_node();
	for (int i = 0; i < 12; i++)
		callers.push_back(call("GET /r/" + std::to_string(i) +
				       " HTTP/1.1\r\nHost: h.example\r\n"
				       "Lilacfield-Attempt-Id: a" +
				       std::to_string(i) +
				       "\r\nLilacfield-Affinity-Key: k" +
				       std::to_string(i) + "\r\n\r\n"));
	wait_for([this] {
		int running = 0;

		for (const App &app : apps)
			running += app_stand_running(app.stand) > 0;
		return running >= 3;
	});
	for (App &app : apps) {
		app_stand_close(app.stand);
		app.stand = nullptr;
	}
	for (const auto &caller : callers)
		wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(0u, edge->suspects->count);
}

struct outage_case {
	const char *name;
	int servers; /* of the domain */
	int others; /* that closed their connections at the same moment */
	int closed; /* connections, by each of the others */
	int own; /* how many of the others crashed under the request */
	bool outage;
};

const outage_case outage_cases[] = {
	{ "ThreeOfFour", 4, 2, 2, 0, true },
	{ "ThreeOfSix", 6, 2, 2, 0, true },
	{ "ThreeOfSeven", 7, 2, 2, 0, false },
	{ "FourOfSeven", 7, 3, 2, 0, true },
	{ "IdleConnectionsClosed", 4, 3, 1, 0, false },
	{ "OneUnderTheRequest", 4, 2, 2, 1, false },
	{ "OneOfFiveUnderTheRequest", 8, 5, 2, 1, true },
	{ "TwoUnderTheRequest", 4, 2, 2, 2, false },
};

class DomainOutageTest : public CrashTest,
			 public ::testing::WithParamInterface<outage_case>
{
      protected:
	struct backend *backend(int i)
	{
		return backend_table_find(edge->backends,
					  ("i-" + std::to_string(i)).c_str());
	}
	void close_connections(int i, int count)
	{
		for (int n = 0; n < count; n++)
			backend_closed_connection(backend(i),
						  edge_now_us(edge));
	}
	void add_crash(int i)
	{
		struct suspect_crash crash = {};

		crash.incarnation = backend(i)->incarnation;
		crash.at_us = edge_now_us(edge);
		ASSERT_TRUE(suspect_add_own_crash(edge->suspects, FINGERPRINT,
						  edge->backends, &crash,
						  "GET /r/x"));
	}
	uint32_t count_crashes()
	{
		const struct suspect *suspect =
			suspect_table_find(edge->suspects, FINGERPRINT);

		return suspect ? suspect->crash_count : 0;
	}
	static constexpr uint64_t FINGERPRINT = 7;
};

/*
 * Guards against a request's crash being taken for an outage of the domain,
 * since the request's own servers, or live ones that closed an idle connection,
 * are counted.
 */
TEST_P(DomainOutageTest, CountsServersThatCrashedUnderOtherRequests)
{
	const outage_case &c = GetParam();

	for (int i = 1; i <= c.servers; i++)
		add_app("i-" + std::to_string(i));
	start_node();
	for (int i = 2; i < 2 + c.others; i++)
		close_connections(i, c.closed);
	for (int i = 2; i < 2 + c.own; i++)
		add_crash(i);
	close_connections(1, 2);
	crash_watch_record_broken(edge->crashes, backend(1), FINGERPRINT,
				  edge_now_us(edge), "GET /r/x");
	wait_for([this] { return !crash_watch_is_busy(edge->crashes); });
	EXPECT_EQ(c.own + (c.outage ? 0u : 1u), count_crashes());
}

INSTANTIATE_TEST_SUITE_P(Cases, DomainOutageTest,
			 ::testing::ValuesIn(outage_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against quarantines from broken connections of live servers. */
TEST_F(CrashTest, BrokenConnectionsOfLiveServersQuarantineNothing)
{
	add_app("i-1");
	add_app("i-2");
	start_node();
	for (int i = 0; i < 6; i++) {
		for (const App &app : apps)
			app_stand_set_fault(app.stand, APP_CRASH);
		answer_to(get("cut-" + std::to_string(i), "/r/x"));
		for (const App &app : apps)
			app_stand_set_fault(app.stand, APP_GOOD);
		answer_to(get("good-" + std::to_string(i), "/r/y"));
		answer_to(get("more-" + std::to_string(i), "/r/z"));
	}
	EXPECT_EQ(200, status_of(answer_to(get("last", "/r/x"))));
}

/* A listener that neither accepts a connection nor refuses it. */
class SilentListener
{
      public:
	SilentListener()
	{
		socklen_t length = sizeof(address_);

		address_.sin_family = AF_INET;
		address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener_ = socket(AF_INET, SOCK_STREAM, 0);
		bind(listener_, (struct sockaddr *)&address_, length);
		listen(listener_, 0);
		getsockname(listener_, (struct sockaddr *)&address_, &length);
		for (int &filler : fillers_) {
			filler =
				socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
			connect(filler, (struct sockaddr *)&address_, length);
		}
	}
	~SilentListener()
	{
		close(listener_);
		for (int filler : fillers_)
			close(filler);
	}
	uint16_t port() const
	{
		return ntohs(address_.sin_port);
	}

      private:
	struct sockaddr_in address_ = {};
	int listener_;
	int fillers_[4];
};

class CrashCheckTest : public CrashTest
{
      protected:
	/* A server i-silent and a good one. */
	void start()
	{
		add_app("i-good");
		store_stand_put(store, "servers", "i-silent",
				("{\"service\":\"s\",\"addr\":\"127.0.0.1:" +
				 std::to_string(silent.port()) +
				 "\",\"zone\":\"d1\",\"version\":\"v1\","
				 "\"slots\":4,\"state\":\"draining\","
				 "\"cold_left\":\"0ms\",\"seq\":1}")
					.c_str());
		start_node();
		wait_for([this] { return find("i-silent"); });
	}
	struct backend *find(const char *id)
	{
		return backend_table_find(edge->backends, id);
	}
	void break_connection(const char *id)
	{
		broken_us = edge_now_us(edge);
		crash_watch_record_broken(edge->crashes, find(id),
					  fingerprint("/r/x"), broken_us,
					  "GET /r/x");
	}
	bool is_checking()
	{
		return crash_watch_is_checking(edge->crashes,
					       fingerprint("/r/x"));
	}
	/* How long a send of the request has to wait from now on. */
	uint64_t wait_us()
	{
		wait_for([this] { return !is_checking(); });
		return edge_now_us(edge) - broken_us;
	}
	std::string answer_within(uint64_t ms)
	{
		return answer_to("GET /r/x HTTP/1.1\r\nHost: h.example\r\n"
				 "Lilacfield-Attempt-Id: a1\r\n"
				 "Lilacfield-Deadline-Ms: " +
				 std::to_string(ms) + "\r\n\r\n");
	}
	SilentListener silent;
	uint64_t broken_us = 0;
};

/* Guards against the request being sent again before its probe has a result. */
TEST_F(CrashCheckTest, WaitLastsForTheProbe)
{
	start();
	break_connection("i-silent");
	EXPECT_LE(150 * US_PER_MS, wait_us());
	EXPECT_TRUE(crash_watch_is_busy(edge->crashes));
}

/* Guards against it being sent before a late check, as after a pause. */
TEST_F(CrashCheckTest, WaitLastsForALateCheck)
{
	start();
	break_connection("i-silent");
	uv_sleep(20);
	EXPECT_TRUE(is_checking());
}

/* Guards against a check being postponed by each connection that breaks. */
TEST_F(CrashCheckTest, IsNotPostponedByLaterBreaks)
{
	const uint64_t max_breaks = 100;
	uint64_t breaks = 0;
	uint64_t last_ms = 0;

	start();
	break_connection("i-good");
	while (is_checking() && breaks < max_breaks) {
		if (uv_now(&loop) != last_ms)
			crash_watch_record_broken(edge->crashes,
						  find("i-silent"), ++breaks,
						  broken_us, "GET /r/y");
		last_ms = uv_now(&loop);
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	EXPECT_GT(max_breaks, breaks);
}

/* Guards against retries waiting where other connections are alive. */
TEST_F(CrashCheckTest, WaitIsShortBesideOtherConnections)
{
	start();
	find("i-silent")->connections++;
	break_connection("i-silent");
	wait_us();
	EXPECT_TRUE(crash_watch_is_busy(edge->crashes));
	EXPECT_EQ(0u, edge->pool.opened_total);
	find("i-silent")->connections--;
}

/* Guards against retries waiting where the server accepts a connection. */
TEST_F(CrashCheckTest, WaitEndsOnceTheServerIsKnownToLive)
{
	start();
	break_connection("i-good");
	wait_us();
	EXPECT_GT(find("i-good")->alive_us, broken_us);
	EXPECT_EQ(0u, edge->suspects->count);
}

/* Guards against the check of a broken connection costing a caller's answer. */
TEST_F(CrashCheckTest, CallerWithoutTimeIsServedBeforeTheResult)
{
	start();
	break_connection("i-silent");
	EXPECT_EQ(200, status_of(answer_within(100)));
	EXPECT_TRUE(crash_watch_is_busy(edge->crashes));
}

/* Guards against a suspect being sent before the result for lack of time. */
TEST_F(CrashCheckTest, SuspectWithoutTimeIsRefused)
{
	struct suspect_crash crash = {};

	start();
	crash.incarnation = 1;
	crash.at_us = edge_now_us(edge);
	ASSERT_TRUE(suspect_add_own_crash(edge->suspects, fingerprint("/r/x"),
					  edge->backends, &crash, "GET /r/x"));
	break_connection("i-silent");
	EXPECT_EQ(503, status_of(answer_within(60)));
	EXPECT_EQ(0u, app_stand_total_runs(apps[0].stand));
}

/* Guards against quarantines being lost when all nodes restart. */
class CrashStoreTest : public CrashTest
{
      protected:
	void start_with_store()
	{
		start_node();
		quarantines = quarantine_store_open(edge);
		quarantine_store_members_known(quarantines);
	}
	void TearDown() override
	{
		if (quarantines)
			quarantine_store_close(quarantines);
		CrashTest::TearDown();
		g_free(quarantines);
	}
	std::string key(const char *path)
	{
		char text[17];

		snprintf(text, sizeof(text), "%016" PRIx64, fingerprint(path));
		return text;
	}
	const char *row(const char *path)
	{
		return store_stand_get(store, "quarantines", key(path).c_str());
	}
	void put_row(const char *path, const char *value)
	{
		store_stand_put(store, "quarantines", key(path).c_str(), value);
	}
	struct quarantine_store *quarantines = nullptr;
};

TEST_F(CrashStoreTest, AQuarantineIsWrittenToTheStore)
{
	add_apps(6);
	start_with_store();
	for (int i = 0; i < 3; i++)
		answer_to(get("again-" + std::to_string(i), "/r/deadly"));
	wait_for([this] { return row("/r/deadly"); });
	EXPECT_NE(nullptr, strstr(row("/r/deadly"), "GET /r/deadly"));
}

/*
 * Guards against the row of a request staying in the store after its crashes
 * have been attributed to another request.
 */
TEST_F(CrashStoreTest, RowIsDeletedWithItsQuarantine)
{
	add_apps(6);
	start_with_store();
	for (int i = 0; i < 3; i++)
		answer_to(get("again-" + std::to_string(i), "/r/deadly"));
	wait_for([this] { return row("/r/deadly"); });
	const struct suspect known = *suspect_table_find(
		edge->suspects,
		g_ascii_strtoull(key("/r/deadly").c_str(), nullptr, 16));

	quarantine_store_remove_lifted(quarantines);
	EXPECT_NE(nullptr, row("/r/deadly"));
	for (uint32_t i = 0; i < known.crash_count; i++)
		suspect_add_own_crash(edge->suspects, 7, edge->backends,
				      &known.crashes[i], "GET /r/other");
	quarantine_store_remove_lifted(quarantines);
	wait_for([this] { return !row("/r/deadly"); });
}

struct row_case {
	const char *name;
	const char *value;
	int status;
};

const row_case row_cases[] = {
	{ "Good",
	  "{\"rounds\":1,\"left_ms\":300000,\"written_ms\":99999999999999,"
	  "\"by_hand\":false,\"lives\":[1,2,3],\"request\":\"GET /r/x\"}",
	  503 },
	{ "ByHand",
	  "{\"rounds\":1,\"left_ms\":300000,\"written_ms\":99999999999999,"
	  "\"by_hand\":true,\"lives\":[],\"request\":\"\"}",
	  503 },
	{ "Cut", "{\"rounds\":1,\"left_ms\":3000", 200 },
	{ "NoLives",
	  "{\"rounds\":1,\"left_ms\":300000,\"written_ms\":99999999999999,"
	  "\"by_hand\":false,\"lives\":[],\"request\":\"\"}",
	  200 },
	{ "ManyRounds",
	  "{\"rounds\":99,\"left_ms\":300000,\"written_ms\":99999999999999,"
	  "\"by_hand\":true,\"lives\":[],\"request\":\"\"}",
	  200 },
	{ "LeftOfAYear",
	  "{\"rounds\":1,\"left_ms\":31536000000,"
	  "\"written_ms\":99999999999999,\"by_hand\":true,\"lives\":[],"
	  "\"request\":\"\"}",
	  200 },
};

class CrashStoreRowTest : public CrashStoreTest,
			  public ::testing::WithParamInterface<row_case>
{
};

TEST_P(CrashStoreRowTest, IsReadAfterAStart)
{
	put_row("/r/x", GetParam().value);
	add_app("i-1");
	start_with_store();
	uint64_t calls = store_stand_calls(store);
	run_for(400);
	EXPECT_LT(calls, store_stand_calls(store));
	EXPECT_EQ(GetParam().status, status_of(answer_to(get("a1", "/r/x"))));
}

INSTANTIATE_TEST_SUITE_P(Cases, CrashStoreRowTest,
			 ::testing::ValuesIn(row_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against rows after the store's first page of 500 not being read. */
TEST_F(CrashStoreTest, AllPagesOfRowsAreRead)
{
	for (int i = 0; i < 600; i++)
		store_stand_put(
			store, "quarantines",
			("000000000000" + std::to_string(1000 + i)).c_str(),
			"{}");
	put_row("/r/x", row_cases[0].value);
	add_app("i-1");
	start_with_store();
	wait_for([this] { return !quarantine_store_is_reading(quarantines); });
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/x"))));
	EXPECT_EQ(0u, app_stand_total_runs(apps[0].stand));
}

/* Guards against rows of expired quarantines never being deleted. */
TEST_F(CrashStoreTest, ExpiredRowIsRemoved)
{
	put_row("/r/x", "{\"rounds\":1,\"left_ms\":300000,\"written_ms\":1000,"
			"\"by_hand\":true,\"lives\":[],\"request\":\"\"}");
	add_app("i-1");
	start_with_store();
	wait_for([this] { return !row("/r/x"); });
	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/x"))));
}

/* Guards against a node sending requests before it has read the quarantines. */
TEST_F(CrashStoreTest, NothingIsSentBeforeTheRowsAreRead)
{
	struct store_faults faults = {};

	put_row("/r/x", row_cases[0].value);
	add_app("i-1");
	start_node();
	faults.slow_us = 200 * US_PER_MS;
	store_stand_set_faults(store, &faults);
	quarantines = quarantine_store_open(edge);
	quarantine_store_members_known(quarantines);
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/x"))));
	EXPECT_EQ(0u, app_stand_runs(apps[0].stand, "a1"));
	wait_for([this] { return !quarantine_store_is_reading(quarantines); });
	EXPECT_EQ(503, status_of(answer_to(get("a2", "/r/x"))));
	EXPECT_EQ(200, status_of(answer_to(get("a3", "/r/y"))));
}

/* Guards against a release being lost that comes during the row's write. */
TEST_F(CrashStoreTest, RowThatChangesDuringAWriteIsWrittenAgain)
{
	struct store_faults faults = {};

	add_app("i-1");
	start_with_store();
	run_for(300);
	faults.slow_us = 200 * US_PER_MS;
	store_stand_set_faults(store, &faults);
	ASSERT_TRUE(suspect_quarantine(edge->suspects, 7, edge_now_us(edge)));
	quarantine_store_write(quarantines, 7);
	run_for(50);
	ASSERT_TRUE(suspect_release(edge->suspects, 7, edge_now_us(edge)));
	quarantine_store_write(quarantines, 7);
	run_for(800);
	EXPECT_EQ(nullptr,
		  store_stand_get(store, "quarantines", "0000000000000007"));
}

/* Guards against quarantines being lost that begin while the store is down. */
TEST_F(CrashStoreTest, RowIsWrittenWhenTheStoreIsBack)
{
	struct store_faults faults = {};

	add_apps(6);
	start_with_store();
	run_for(300);
	faults.refuse_status = 503;
	store_stand_set_faults(store, &faults);
	for (int i = 0; i < 3; i++)
		answer_to(get("again-" + std::to_string(i), "/r/deadly"));
	run_for(200);
	EXPECT_EQ(nullptr, row("/r/deadly"));
	faults.refuse_status = 0;
	store_stand_set_faults(store, &faults);
	wait_for([this] { return row("/r/deadly"); });
}

} /* namespace */
