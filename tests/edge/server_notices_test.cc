/* Backend servers whose answers say that they leave, or ask for rest. */
#include "edge/edge_world.h"
#include "edge/exchange.h"
#include "edge/hops.h"

namespace
{

class NoticeWorld : public EdgeWorld
{
      protected:
	static uint32_t arrivals(const App &app)
	{
		return app_stand_total_runs(app.stand) +
		       app_stand_rejected(app.stand);
	}
	static void notify(const App &app, const struct app_notices &notices)
	{
		app_stand_set_notices(app.stand, &notices);
	}
	static void leave(const App &app, uint32_t one_in = 1)
	{
		notify(app, { one_in, 0, nullptr });
	}
	/* It turns one of so many requests away. */
	static void rest(const App &app, const char *retry_after,
			 uint32_t one_in = 1)
	{
		notify(app, { 0, one_in, retry_after });
	}
	const struct backend *backend(const App &app)
	{
		return backend_table_find(edge->backends, app.id.c_str());
	}
	/* Each for another object, so that all servers get some. */
	std::string request(const std::string &path = "/r/",
			    const std::string &more = "")
	{
		std::string number = std::to_string(number_++);

		return "GET " + path +
		       " HTTP/1.1\r\nHost: h.example\r\n"
		       "Lilacfield-Attempt-Id: q" +
		       number + "\r\nLilacfield-Affinity-Key: " + number +
		       "\r\n" + more + "\r\n";
	}
	std::string ask(const std::string &path = "/r/",
			const std::string &more = "")
	{
		return answer_to(request(path, more));
	}
	/* So many requests, one after the other; returns how many got 200. */
	uint32_t served(uint32_t count)
	{
		uint32_t served = 0;

		for (uint32_t i = 0; i < count; i++)
			served += status_of(ask()) == 200;
		return served;
	}
	/* Requests until one reaches the server; the latest one's answer. */
	std::string ask_until_reached(const App &app,
				      const std::string &path = "/r/")
	{
		uint32_t before = arrivals(app);
		std::string answer;

		for (int i = 0; i < 50 && arrivals(app) == before; i++)
			answer = ask(path);
		EXPECT_LT(before, arrivals(app));
		return answer;
	}
	double retry_after_s(const std::string &answer)
	{
		size_t at = answer.find("Retry-After: ");

		return at == std::string::npos ?
			       0 :
			       std::stod(answer.substr(at + 13));
	}

	static constexpr uint32_t REQUESTS = 20;

      private:
	int number_ = 0;
};

/* --- servers that leave ------------------------------------------------- */

struct LeavingCase {
	const char *name;
	enum app_fault fault; /* of the answer that says it */
	const char *path;
	uint32_t turns_away_one_in;
};

class LeavingServerTest : public NoticeWorld,
			  public ::testing::WithParamInterface<LeavingCase>
{
};

/* Guards against requests to a server whose answer, of any kind, said it. */
TEST_P(LeavingServerTest, GetsNoMoreRequests)
{
	App &leaving = add_app("i-1");

	add_app("i-2");
	start_node();
	app_stand_set_fault(leaving.stand, GetParam().fault);
	notify(leaving, { 1, GetParam().turns_away_one_in, nullptr });
	ask_until_reached(leaving, GetParam().path);
	app_stand_set_fault(leaving.stand, APP_GOOD);
	notify(leaving, {});
	uint32_t before = arrivals(leaving);
	EXPECT_EQ(REQUESTS, served(REQUESTS));
	EXPECT_EQ(before, arrivals(leaving));
}

INSTANTIATE_TEST_SUITE_P(
	Answers, LeavingServerTest,
	::testing::Values(
		LeavingCase{ "Success", APP_GOOD, "/r/", 0 },
		LeavingCase{ "SuccessOfARequestThatRunsOnce", APP_GOOD, "/o/",
			     0 },
		LeavingCase{ "Error", APP_FAIL, "/o/", 0 },
		LeavingCase{ "ErrorOfARequestThatIsRepeated", APP_FAIL, "/r/",
			     0 },
		LeavingCase{ "NotExecuted", APP_GOOD, "/r/", 1 },
		LeavingCase{ "UnprovedRefusal", APP_FALSE_REFUSAL, "/o/", 0 },
		LeavingCase{ "WithoutALength", APP_UNFRAMED, "/r/", 0 },
		LeavingCase{ "CutShort", APP_CUT, "/o/", 0 },
		LeavingCase{ "BesideAStray", APP_STRAY, "/r/", 0 }),
	[](const auto &info) { return info.param.name; });

class LeavingTest : public NoticeWorld
{
      protected:
	/* i-1 said that it leaves, and i-2 is there as well. */
	void start_with_leaving_server(const std::string &row = "")
	{
		App &leaving = add_app("i-1");

		add_app("i-2");
		if (!row.empty())
			list_app(leaving, "ready", "0ms", 1, row);
		start_node();
		leave(leaving);
		ask_until_reached(leaving);
		before_ = arrivals(leaving);
	}
	void expect_none_sent()
	{
		EXPECT_EQ(REQUESTS, served(REQUESTS));
		EXPECT_EQ(before_, arrivals(apps[0]));
	}
	uint32_t before_ = 0;
};

/* Guards against an answer that is silent about it undoing what another said.
 */
TEST_F(LeavingTest, SilentAnswerDoesNotUndoIt)
{
	App &leaving = add_app("i-1", 100);

	start_node();
	leave(leaving, 2);
	auto first = call(request());
	run_for(30);
	auto second = call(request());
	wait_for([&] { return is_whole(*first) && is_whole(*second); });
	ASSERT_NE(std::string::npos, first->got.find("Server-Leaving"));
	ASSERT_EQ(std::string::npos, second->got.find("Server-Leaving"));
	EXPECT_EQ(503, status_of(ask()));
	EXPECT_EQ(2u, arrivals(leaving));
}

/* Guards against a row of the list undoing it while the store lags behind. */
TEST_F(LeavingTest, RowDoesNotUndoIt)
{
	start_with_leaving_server();
	uint64_t version = backend(apps[0])->version.number;
	list_app(apps[0], "ready", "0ms", 2);
	wait_for([&] { return backend(apps[0])->version.number > version; });
	expect_none_sent();
}

/* Guards against a row that expired and came back undoing it. */
TEST_F(LeavingTest, ReturnOfItsRowDoesNotUndoIt)
{
	start_with_leaving_server();
	store_stand_put(store, "servers", "i-1", nullptr);
	wait_for([&] { return !backend(apps[0]); });
	list_app(apps[0], "ready", "0ms", 3);
	wait_for([&] { return backend(apps[0]) != nullptr; });
	expect_none_sent();
}

/* Guards against taking the next server of the same id for a leaving one. */
TEST_F(LeavingTest, NewLifetimeUndoesIt)
{
	start_with_leaving_server(",\"born\":1000");
	notify(apps[0], {});
	list_app(apps[0], "ready", "0ms", 2, ",\"born\":2000");
	wait_for([&] { return backend(apps[0])->started_ms == 2000; });
	EXPECT_EQ(REQUESTS, served(REQUESTS));
	EXPECT_GT(arrivals(apps[0]), before_);
}

/* Guards against requests that wait when all servers of a service leave. */
TEST_F(LeavingTest, RequestsAreRefusedAtOnceIfAllLeave)
{
	App &leaving = add_app("i-1");

	start_node();
	leave(leaving);
	ask();
	uint64_t began = uv_hrtime();
	std::string answer = ask();
	EXPECT_LT((uv_hrtime() - began) / 1000000, 200u);
	EXPECT_EQ(503, status_of(answer));
	EXPECT_GT(retry_after_s(answer), 0);
}

/* Guards against kept connections to a leaving server. */
TEST_F(LeavingTest, ItsIdleConnectionsAreClosed)
{
	App &leaving = add_app("i-1");

	start_node();
	ask();
	ASSERT_EQ(1u, app_stand_connections(leaving.stand));
	leave(leaving);
	ask();
	run_for(500);
	EXPECT_EQ(0u, app_stand_connections(leaving.stand));
}

class HalfOpenTest : public NoticeWorld
{
      protected:
	/* A request whose connection to i-1 isn't open yet. */
	std::unique_ptr<RawCaller> begin_connecting()
	{
		add_app("i-1");
		start_node();
		auto caller = call(request());
		wait_for([this] { return edge->pool.opened_total == 1; });
		server_ = backend_table_find(edge->backends, "i-1");
		EXPECT_EQ(0u, server_->connections);
		return caller;
	}
	void expect_refused(const RawCaller &caller, const char *cause)
	{
		wait_for([&] { return is_whole(caller); });
		EXPECT_EQ(503, status_of(caller.got));
		EXPECT_EQ(cause, body_of(caller.got));
		EXPECT_EQ(0u, arrivals(apps[0]));
	}
	struct backend *server_ = nullptr;
};

/* Guards against a request sent over a connection that was still opening. */
TEST_F(HalfOpenTest, RequestIsNotSentOnceTheServerLeaves)
{
	auto caller = begin_connecting();

	backend_note_leaving(edge->backends, server_, edge_now_us(edge));
	expect_refused(*caller, "none-known\n");
}

/* The same, for a rest. */
TEST_F(HalfOpenTest, RequestIsNotSentOnceTheServerRests)
{
	auto caller = begin_connecting();

	backend_note_rest(edge->backends, server_, 5000000, edge_now_us(edge));
	expect_refused(*caller, "resting\n");
}

struct HarmlessCase {
	const char *name;
	const char *server_line; /* in each answer */
	const char *caller_line; /* in each request */
};

class HarmlessNoticeTest : public NoticeWorld,
			   public ::testing::WithParamInterface<HarmlessCase>
{
};

/* Guards against sound servers being taken for leaving or resting ones. */
TEST_P(HarmlessNoticeTest, ServerGoesOnGettingRequests)
{
	App &app = add_app("i-1");

	start_node();
	app_stand_set_headers(app.stand, GetParam().server_line);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(200, status_of(ask("/r/", GetParam().caller_line)));
	EXPECT_EQ(5u, app_stand_total_runs(app.stand));
}

INSTANTIATE_TEST_SUITE_P(
	Headers, HarmlessNoticeTest,
	::testing::Values(
		HarmlessCase{ "CallerSaysLeaving", "",
			      "Server-Leaving: 1\r\n" },
		HarmlessCase{ "CallerNamesARest", "", "Retry-After: 60\r\n" },
		HarmlessCase{ "NotLeaving", "Server-Leaving: 0\r\n", "" },
		HarmlessCase{ "LeavingWithoutAValue", "Server-Leaving:\r\n",
			      "" },
		HarmlessCase{ "RestInASuccess", "Retry-After: 60\r\n", "" }),
	[](const auto &info) { return info.param.name; });

/* Guards against taking the word of another server that got the address. */
TEST_F(LeavingTest, AnotherServerAtItsAddressSaysNothingOfIt)
{
	App &app = add_app("i-1");

	list_as(app, "i-old");
	start_node();
	leave(app);
	EXPECT_EQ(503, status_of(ask()));
	EXPECT_EQ(1u, app_stand_rejected(app.stand));
	EXPECT_EQ(503, status_of(ask()));
	EXPECT_EQ(2u, app_stand_rejected(app.stand));
}

/* --- servers that ask for rest ------------------------------------------ */

class RestTest : public NoticeWorld
{
      protected:
	/* i-1 asked for rest, and i-2 is there as well. */
	void start_with_resting_server(const char *retry_after)
	{
		App &resting = add_app("i-1");

		add_app("i-2");
		start_node();
		rest(resting, retry_after);
		ask_until_reached(resting);
		ASSERT_EQ(1u, arrivals(resting));
	}
	std::vector<std::unique_ptr<RawCaller>> ask_together(uint32_t count)
	{
		std::vector<std::unique_ptr<RawCaller>> callers;

		for (uint32_t i = 0; i < count; i++)
			callers.push_back(call(request()));
		for (const auto &caller : callers)
			wait_for([&] { return is_whole(*caller); });
		return callers;
	}
};

/* Guards against requests to a server that has asked for rest. */
TEST_F(RestTest, ServerGetsNoRequestsUntilItsEnd)
{
	start_with_resting_server("1");
	uint64_t ends = uv_hrtime() + 900 * 1000000ull;
	while (uv_hrtime() < ends)
		EXPECT_EQ(1u, served(1));
	EXPECT_EQ(1u, arrivals(apps[0]));
}

/* Guards against a server that is left alone after its rest. */
TEST_F(RestTest, ServerIsUsedAgainAfterIt)
{
	App &resting = add_app("i-1");

	start_node();
	rest(resting, "0.3");
	EXPECT_EQ(503, status_of(ask()));
	notify(resting, {});
	run_for(400);
	EXPECT_EQ(5u, served(5));
	EXPECT_EQ(6u, arrivals(resting));
}

/* Guards against all requests returning at once to a server that still rests.
 */
TEST_F(RestTest, OneRequestAtATimeComesAfterIt)
{
	App &resting = add_app("i-1", 100);

	start_node();
	rest(resting, "0.3");
	EXPECT_EQ(503, status_of(ask()));
	notify(resting, {});
	run_for(400);
	ask_together(6);
	EXPECT_EQ(2u, arrivals(resting));
	EXPECT_EQ(5u, served(5));
}

/* Guards against more than two requests within a rest, as rests follow. */
TEST_F(RestTest, RestsThatFollowEachOtherAreAllKept)
{
	start_with_resting_server("0.4");
	uint64_t began = uv_hrtime();
	while (uv_hrtime() < began + 2100 * 1000000ull)
		ask_together(3);
	uint32_t arrived = arrivals(apps[0]);
	EXPECT_LE(arrived, 6u);
	EXPECT_GE(arrived, 3u);
}

/* Guards against requests that wait when all servers of a service rest. */
TEST_F(RestTest, RequestsAreRefusedAtOnceIfAllRest)
{
	App &resting = add_app("i-1");

	start_node();
	rest(resting, "4");
	EXPECT_GE(retry_after_s(ask()), 3);
	uint64_t began = uv_hrtime();
	std::string answer = ask("/o/");
	EXPECT_LT((uv_hrtime() - began) / 1000000, 200u);
	EXPECT_EQ(503, status_of(answer));
	EXPECT_EQ("resting\n", body_of(answer));
	EXPECT_GT(retry_after_s(answer), 3);
	EXPECT_LT(retry_after_s(answer), 6);
	EXPECT_EQ(1u, arrivals(resting));
}

/* Guards against a rest that counts as a crash, a failure or a lost path. */
TEST_F(RestTest, ItIsNoFailure)
{
	App &resting = add_app("i-1");

	start_node();
	app_stand_set_fault(resting.stand, APP_FALSE_REFUSAL);
	app_stand_set_headers(resting.stand, "Retry-After: 5\r\n");
	ask("/o/");
	EXPECT_TRUE(backend_is_resting(backend(resting), edge_now_us(edge)));
	EXPECT_EQ(0, backend(resting)->failures);
	EXPECT_EQ(0u, backend(resting)->shun_until_us);
	EXPECT_FALSE(crash_watch_is_busy(crashes));
}

/* Guards against a rest that spends tokens of the server's rate. */
TEST_F(RestTest, ItTakesNoTokens)
{
	App &resting = add_app("i-1");

	start_node();
	edge->began_us = 0;
	app_stand_set_headers(resting.stand, "Server-Limit: 5\r\n");
	rest(resting, "3");
	ask();
	run_for(1000);
	uint64_t sent = backend(resting)->limit.sent;
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(503, status_of(ask()));
	EXPECT_EQ(sent, backend(resting)->limit.sent);
}

struct RestCase {
	const char *name;
	const char *retry_after;
	uint64_t least_us;
	uint64_t most_us;
	bool malformed = false;
};

class RestValueTest : public NoticeWorld,
		      public ::testing::WithParamInterface<RestCase>
{
};

/* Guards against values of Retry-After that no server can mean. */
TEST_P(RestValueTest, SetsTheLengthOfTheRest)
{
	App &resting = add_app("i-1");

	start_node();
	rest(resting, GetParam().retry_after);
	uint64_t before_us = edge_now_us(edge);
	EXPECT_EQ(503, status_of(ask()));
	uint64_t until_us = backend(resting)->rest_until_us;
	uint64_t rest_us = until_us > before_us ? until_us - before_us : 0;
	EXPECT_GE(rest_us, GetParam().least_us);
	EXPECT_LE(rest_us, GetParam().most_us);
	EXPECT_EQ(GetParam().malformed, backend(resting)->malformed_notices);
}

constexpr uint64_t S = 1000000;

INSTANTIATE_TEST_SUITE_P(
	Values, RestValueTest,
	::testing::Values(
		RestCase{ "Seconds", "3", 3 * S, 4 * S },
		RestCase{ "Fraction", "0.25", S / 4, S },
		RestCase{ "Nothing", "0", 0, 0 },
		RestCase{ "ADay", "86400", 60 * S, 7200 * S },
		RestCase{ "Years", "99999999999999999999", 60 * S, 7200 * S },
		RestCase{ "Negative", "-3", 0, 0, true },
		RestCase{ "ADate", "Fri, 31 Dec 2027 23:59:59 GMT", 0, 0,
			  true },
		RestCase{ "Twice", "3\r\nRetry-After: 5", 0, 0, true },
		RestCase{ "Word", "soon", 0, 0, true },
		RestCase{ "NotANumber", "nan", 0, 0, true },
		RestCase{ "Infinite", "inf", 0, 0, true },
		RestCase{ "Exponent", "1e3", 0, 0, true },
		RestCase{ "Empty", "", 0, 0, true },
		RestCase{ "SpaceBehind", "3 ", 3 * S, 4 * S }),
	[](const auto &info) { return info.param.name; });

} // namespace
