#include "ctl/client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/*
 * A node that does with each connection what its script says: "lose" reads the
 * request and closes, "silent" reads it and never answers, anything else is
 * the answer's body.
 */
class ScriptedNode
{
      public:
	explicit ScriptedNode(const std::vector<std::string> &script)
	    : script(script)
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		bind(listener, (struct sockaddr *)&address, len);
		getsockname(listener, (struct sockaddr *)&address, &len);
		name = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
		if (script.empty() || script[0] == "down")
			return;
		listen(listener, 8);
		thread = std::thread([this] { serve(); });
	}

	~ScriptedNode()
	{
		stop();
		for (int fd : held)
			close(fd);
		close(listener);
	}

	/* Ends serving, so that requests may be read. */
	void stop()
	{
		shutdown(listener, SHUT_RDWR);
		if (thread.joinable())
			thread.join();
	}

	std::string name;
	std::string methods; /* of the requests, such as "POST GET" */
	std::vector<std::string> requests;

      private:
	static std::string read_request(int fd)
	{
		std::string text;
		size_t body = std::string::npos;
		size_t want = 0;
		char buffer[4096];
		ssize_t n;

		while (body == std::string::npos || text.size() < body + want) {
			n = recv(fd, buffer, sizeof(buffer), 0);
			if (n <= 0)
				break;
			text.append(buffer, (size_t)n);
			if (body != std::string::npos)
				continue;
			body = text.find("\r\n\r\n");
			if (body == std::string::npos)
				continue;
			body += 4;
			n = (ssize_t)text.find("Content-Length: ");
			if (n >= 0)
				want = std::stoul(text.substr((size_t)n + 16));
		}
		return text;
	}

	void serve()
	{
		for (const std::string &step : script) {
			int fd = accept(listener, nullptr, nullptr);

			if (fd < 0)
				return;
			requests.push_back(read_request(fd));
			methods += methods.empty() ? "" : " ";
			methods += requests.back().substr(
				0, requests.back().find(' '));
			if (step == "silent") {
				held.push_back(fd);
				continue;
			}
			if (step != "lose")
				answer(fd, step);
			close(fd);
		}
	}

	static void answer(int fd, const std::string &body)
	{
		std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
				   std::to_string(body.size()) + "\r\n\r\n" +
				   body;

		send(fd, text.data(), text.size(), MSG_NOSIGNAL);
	}

	std::vector<std::string> script;
	std::vector<int> held;
	std::thread thread;
	int listener;
};

static uint64_t paused_now_us(const struct clock *)
{
	return 1000;
}

static const struct clock_vtable paused_vtable = { paused_now_us };
static const struct clock paused_clock = { &paused_vtable };

#define OK R"({"result":0,"name":"ok","message":"","id":"c-1","version":9})"
#define CONFLICT R"({"result":302,"name":"conflict","message":"no"})"
#define UNKNOWN R"({"result":303,"name":"unknown-name","message":"no"})"
#define UNAVAILABLE R"({"result":304,"name":"platform-unavailable"})"
#define UNSETTLED R"({"result":305,"name":"unsettled","message":"no"})"

struct delivery_case {
	const char *story;
	std::vector<std::string> scripts[2]; /* of the two nodes */
	const char *id; /* empty: a query */
	enum result result;
	const char *methods[2]; /* that the nodes saw */
};

/*
 * An operator commands a drain and the answer gets lost: the node dies after
 * the write, the link breaks, or the platform's own answer didn't come back. A
 * client that repeats blindly commands twice, one that gives up leaves the
 * operator guessing. The id makes repeating safe and lets any node tell.
 */
static const delivery_case delivery_cases[] = {
	{ "the first node answers",
	  { { OK }, { OK } },
	  "c-1",
	  RESULT_OK,
	  { "POST", "" } },
	{ "the first node is down",
	  { { "down" }, { OK } },
	  "c-1",
	  RESULT_OK,
	  { "", "POST" } },
	{ "the first node never answers",
	  { { "silent" }, { OK } },
	  "c-1",
	  RESULT_OK,
	  { "POST", "POST" } },
	{ "the first answer is lost",
	  { { "lose" }, { OK } },
	  "c-1",
	  RESULT_OK,
	  { "POST", "POST" } },
	{ "the first answer is no node's",
	  { { "<html>" }, { OK } },
	  "c-1",
	  RESULT_OK,
	  { "POST", "POST" } },
	{ "a conflict is final",
	  { { CONFLICT }, { OK } },
	  "c-1",
	  RESULT_CONFLICT,
	  { "POST", "" } },
	{ "both answers are lost, the row has the id",
	  { { "lose", OK }, { "lose" } },
	  "c-1",
	  RESULT_OK,
	  { "POST GET", "POST" } },
	{ "both answers are lost, the row hasn't the id",
	  { { "lose", "lose" }, { "lose", UNKNOWN } },
	  "c-1",
	  RESULT_UNKNOWN_NAME,
	  { "POST GET", "POST GET" } },
	{ "every answer is lost",
	  { { "lose", "lose" }, { "lose", "lose" } },
	  "c-1",
	  RESULT_UNSETTLED,
	  { "POST GET", "POST GET" } },
	{ "the nodes don't know whether they wrote",
	  { { UNSETTLED, UNAVAILABLE }, { UNSETTLED, OK } },
	  "c-1",
	  RESULT_OK,
	  { "POST GET", "POST GET" } },
	{ "one answer is lost, the other node wrote nothing",
	  { { "lose", UNKNOWN }, { UNAVAILABLE } },
	  "c-1",
	  RESULT_UNKNOWN_NAME,
	  { "POST GET", "POST" } },
	{ "the platform is down for both",
	  { { UNAVAILABLE }, { UNAVAILABLE } },
	  "c-1",
	  RESULT_PLATFORM_UNAVAILABLE,
	  { "POST", "POST" } },
	{ "no node is up",
	  { { "down" }, { "down" } },
	  "c-1",
	  RESULT_UNREACHABLE,
	  { "", "" } },
	{ "a query's answers are lost",
	  { { "lose" }, { "lose" } },
	  "",
	  RESULT_UNREACHABLE,
	  { "POST", "POST" } },
};

class Delivery : public testing::TestWithParam<size_t>
{
};

TEST_P(Delivery, EndsAsTheTableSays)
{
	const delivery_case &c = delivery_cases[GetParam()];
	ScriptedNode first(c.scripts[0]);
	ScriptedNode second(c.scripts[1]);
	struct client *client = client_new(&paused_clock, 800000);
	struct admin_request request = {};
	struct client_answer answer;

	SCOPED_TRACE(c.story);
	ASSERT_TRUE(client_add_nodes(
		client, (first.name + ", " + second.name).c_str(), nullptr));
	g_strlcpy(request.sentence, "drain place p1", sizeof(request.sentence));
	g_strlcpy(request.id, c.id, sizeof(request.id));
	client_send(client, &request, &answer);
	EXPECT_EQ(c.result, answer.result);
	EXPECT_EQ(c.result,
		  json_integer_value(json_object_get(answer.body, "result")));
	client_answer_release(&answer);
	client_free(client);
	first.stop();
	second.stop();
	EXPECT_EQ(c.methods[0], first.methods);
	EXPECT_EQ(c.methods[1], second.methods);
	for (const ScriptedNode *node : { &first, &second })
		for (const std::string &text : node->requests)
			EXPECT_NE(std::string::npos, text.find(c.id)) << text;
}

INSTANTIATE_TEST_SUITE_P(Nodes, Delivery,
			 testing::Range<size_t>(0, std::size(delivery_cases)));

struct nodes_case {
	const char *text;
	uint32_t count;
	const char *message;
};

TEST(Nodes, AreNumbersWithPorts)
{
	static const nodes_case cases[] = {
		{ "127.0.0.1:1", 1, "" },
		{ " 127.0.0.1:1,127.0.0.2:65535 127.0.0.3:80 ", 3, "" },
		{ "", 0, "" },
		{ "127.0.0.1", 0,
		  "node '127.0.0.1': must be an IPv4 number and a port, such "
		  "as 127.1.1.1:8080" },
		{ "n1:80", 0,
		  "node 'n1:80': must be an IPv4 number and a port, such as "
		  "127.1.1.1:8080" },
		{ "127.0.0.1:65536", 0,
		  "node '127.0.0.1:65536': must be an IPv4 number and a port, "
		  "such as 127.1.1.1:8080" },
	};

	for (const nodes_case &c : cases) {
		struct client *client = client_new(&paused_clock, 1);
		GError *error = nullptr;

		EXPECT_EQ(!*c.message,
			  client_add_nodes(client, c.text, &error));
		EXPECT_EQ(c.count, client_node_count(client));
		EXPECT_STREQ(c.message, error ? error->message : "");
		g_clear_error(&error);
		client_free(client);
	}
}
