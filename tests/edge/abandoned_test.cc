/* Requests that were given up while the kernel still held bytes of them. */
#include <sys/wait.h>

#include "edge/edge_world.h"
#include "edge/unread_server.h"

namespace
{

class AbandonedTest : public EdgeWorld
{
      protected:
	/* The answer of a server that keeps its connection. */
	static std::string answer_for(const std::string &id,
				      const std::string &body = "")
	{
		return head_for(id, "Content-Length: " +
					    std::to_string(body.size()) +
					    "\r\n") +
		       body;
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

/* Guards against servers that run a request after it was given up. */
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

struct unacked_case {
	const char *name;
	const char *path; /* "/r/" is idempotent, "/o/" is not */
	bool behind_another; /* else the server's kernel has a part of it */
	int status;
	const char *answered_by; /* "": nobody */
};

const unacked_case unacked_cases[] = {
	{ "Idempotent", "/r/", true, 200, "a1 by i-2" },
	{ "Once", "/o/", true, 502, "" },
	{ "PartlyAcknowledged", "/o/", false, 200, "late" },
};

class UnackedTest : public AbandonedTest,
		    public ::testing::WithParamInterface<unacked_case>
{
      protected:
	/*
	 * Leaves the node with a connection whose server has answered a
	 * request of which its kernel hasn't got all.
	 */
	void keep_connection_with_backlog()
	{
		auto caller =
			call(post("a0", "/o/", UnreadServer::LARGE_BYTES));

		wait_for_connection();
		server.write_answer(answer_for("a0"));
		wait_for([&] { return is_whole(*caller); });
	}
};

/* Guards against requests that arrive after their server had to be closed. */
TEST_P(UnackedTest, IsGivenUpOnceAServerMayHaveLeft)
{
	const unacked_case &c = GetParam();

	timeout = "8000ms";
	put_routes(2);
	start_with_server();
	if (c.behind_another)
		keep_connection_with_backlog();
	auto caller = call(post("a1", c.path, UnreadServer::LARGE_BYTES));
	if (!c.behind_another)
		wait_for_connection();
	wait_for([&] {
		return metric_value(edge->stats.sent) > c.behind_another;
	});
	add_app("i-2");
	run_for(3000);
	if (!c.behind_another) {
		server.read_to_end();
		server.write_answer(answer_for("a1", "late"));
		wait_for([&] { return is_whole(*caller); });
	}
	EXPECT_TRUE(is_whole(*caller));
	EXPECT_EQ(c.status, status_of(caller->got)) << caller->got;
	EXPECT_NE(std::string::npos, body_of(caller->got).find(c.answered_by));
	if (c.behind_another) {
		server.read_to_end();
		EXPECT_EQ(std::string::npos, server.got.find("a1"));
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, UnackedTest, ::testing::ValuesIn(unacked_cases),
			 [](const auto &info) { return info.param.name; });

/* A process that sends a large request, and ends before it is answered. */
class SendingProcess
{
      public:
	explicit SendingProcess(const struct endpoint &to)
	{
		int ends[2];

		if (pipe(ends))
			return;
		pid_ = fork();
		if (!pid_)
			send_and_wait(to, ends[1]);
		close(ends[1]);
		sent_ = ends[0];
	}
	~SendingProcess()
	{
		close(sent_);
	}
	/* Waits until the kernel has the whole request. */
	bool wait_sent()
	{
		char byte;

		return read(sent_, &byte, 1) == 1;
	}
	void end(int number)
	{
		kill(pid_, number);
		waitpid(pid_, nullptr, 0);
	}

      private:
	static void on_opened(struct link *link)
	{
		GByteArray *body = g_byte_array_new();

		g_byte_array_set_size(body, UnreadServer::LARGE_BYTES);
		link_send_with_body(link, g_string_new("POST /o/ HTTP/1.1\r\n"),
				    body, false);
		g_byte_array_unref(body);
	}
	static void on_ended(struct link *, const char *)
	{
		_exit(1);
	}
	/* SIGTERM ends it in order, as after a stop that took too long. */
	[[noreturn]] static void send_and_wait(const struct endpoint &to,
					       int sent)
	{
		static const struct link_vtable events = { on_opened, nullptr,
							   nullptr, on_ended,
							   nullptr };
		const struct message_limits limits = { 1000, 1000 };
		struct link link = {};
		uv_loop_t loop;

		signal(SIGTERM, [](int) { _exit(0); });
		uv_loop_init(&loop);
		link_open(&link, &events, &loop, &to, &limits);
		do {
			uv_run(&loop, UV_RUN_ONCE);
		} while (!link.awaiting || link.writing);
		if (write(sent, "s", 1) != 1)
			_exit(1);
		for (;;)
			pause();
	}
	pid_t pid_ = -1;
	int sent_ = -1;
};

struct process_end_case {
	const char *name;
	int number; /* of the signal */
};

const process_end_case process_end_cases[] = {
	{ "Killed", SIGKILL },
	{ "Exits", SIGTERM },
};

class ProcessEndTest : public ::testing::TestWithParam<process_end_case>
{
};

/* Guards against servers that run requests of a process that has ended. */
TEST_P(ProcessEndTest, DropsWhatIsUnacknowledged)
{
	UnreadServer server;
	struct endpoint at = {};

	g_strlcpy(at.address, "127.0.0.1", sizeof(at.address));
	at.port = server.port;
	SendingProcess process(at);
	ASSERT_TRUE(process.wait_sent());
	process.end(GetParam().number);
	ASSERT_TRUE(server.accept_next());
	server.read_to_end();
	EXPECT_LT(server.got.size(), UnreadServer::LARGE_BYTES);
}

INSTANTIATE_TEST_SUITE_P(Cases, ProcessEndTest,
			 ::testing::ValuesIn(process_end_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
