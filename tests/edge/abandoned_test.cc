/*
 * Requests that were given up while the kernel still held bytes of them: the
 * other side must never get the rest.
 */
#include "edge/edge_world.h"
#include "edge/unread_server.h"

namespace
{

class AbandonedTest : public EdgeWorld
{
      protected:
	/* The answer of a server that keeps its connection. */
	static std::string answer_for(const std::string &id)
	{
		return "HTTP/1.1 200 OK\r\nLilacfield-Response-Seal: s\r\n"
		       "Lilacfield-Attempt-Id: " +
		       id + "\r\nContent-Length: 0\r\n\r\n";
	}
	void start_with_server()
	{
		list_at("i-1", endpoint_at(server.port));
		start_node();
	}
	void wait_for_connection()
	{
		bool accepted = false;

		wait_for([&] { return accepted |= server.accept_next(); },
			 "connection");
	}
	/* Leaves the node with a connection that has answered a request. */
	void keep_connection()
	{
		auto caller = call(get("a0", "/o/"));

		wait_for_connection();
		wait_for([this] {
			server.read_more();
			return server.got.find("\r\n\r\n") != std::string::npos;
		});
		server.write_answer(answer_for("a0"));
		wait_for([&] { return is_whole(*caller); });
		server.got.clear();
	}
	UnreadServer server;
};

enum give_up {
	AT_TIMEOUT,
	CALLER_LEAVES,
	STRAY_ANSWERS, /* too many answers to other requests */
};

struct abandoned_case {
	const char *name;
	const char *path; /* "/r/" is idempotent, "/o/" is not */
	bool is_kept; /* the connection has answered a request before */
	enum give_up give_up;
	int status; /* 0: nobody waits for an answer */
};

const abandoned_case abandoned_cases[] = {
	{ "TimeoutOnNew", "/o/", false, AT_TIMEOUT, 504 },
	{ "TimeoutOnKept", "/o/", true, AT_TIMEOUT, 504 },
	{ "TimeoutOfIdempotent", "/r/", false, AT_TIMEOUT, 504 },
	{ "CallerLeftOnNew", "/o/", false, CALLER_LEAVES, 0 },
	{ "CallerLeftOnKept", "/r/", true, CALLER_LEAVES, 0 },
	{ "StrayAnswers", "/o/", false, STRAY_ANSWERS, 502 },
};

class AbandonedCaseTest : public AbandonedTest,
			  public ::testing::WithParamInterface<abandoned_case>
{
};

/*
 * The kernel went on sending a request after the node had given it up, and the
 * server ran it seconds later.
 */
TEST_P(AbandonedCaseTest, NeverReachesTheServerWhole)
{
	const abandoned_case &c = GetParam();

	start_with_server();
	if (c.is_kept)
		keep_connection();
	auto caller = call(post("a1", c.path, UnreadServer::LARGE_BYTES,
				"Lilacfield-Deadline-Ms: 400\r\n"));
	if (!c.is_kept)
		wait_for_connection();
	wait_for([&] { return metric_value(edge->stats.sent) > c.is_kept; });
	run_for(50);
	if (c.give_up == CALLER_LEAVES)
		caller->leave();
	for (int i = 0; c.give_up == STRAY_ANSWERS && i < 4; i++)
		server.write_answer(answer_for("stray"));
	if (c.status)
		wait_for([&] { return is_whole(*caller); });
	wait_for([&] { return metric_value(edge->stats.abandoned) == 1; });
	EXPECT_EQ(1u, metric_value(edge->stats.abandoned_unacked));
	EXPECT_EQ(c.status, status_of(caller->got));
	run_for(20);
	server.read_to_end();
	EXPECT_LT(server.got.size(), UnreadServer::LARGE_BYTES);
}

INSTANTIATE_TEST_SUITE_P(Cases, AbandonedCaseTest,
			 ::testing::ValuesIn(abandoned_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
