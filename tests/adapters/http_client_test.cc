#include "adapters/http_client.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/*
 * A server that reads one request head after another and answers each with the
 * next text of its script; an empty text closes the connection without one,
 * "silent" says nothing and keeps it open, "gone" stops listening as well.
 */
class ScriptedServer
{
      public:
	explicit ScriptedServer(std::vector<std::string> script)
	    : script_(std::move(script))
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		listener_ = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(listener_, (struct sockaddr *)&address, len));
		EXPECT_EQ(0, listen(listener_, 8));
		getsockname(listener_, (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
		acceptor_ = std::thread([this] { accept_all(); });
	}

	~ScriptedServer()
	{
		shutdown(listener_, SHUT_RDWR);
		acceptor_.join();
		for (int fd : connections_)
			shutdown(fd, SHUT_RDWR);
		for (auto &thread : threads_)
			thread.join();
		for (int fd : connections_)
			close(fd);
		close(listener_);
	}

	uint16_t port;
	std::atomic<int> requests{ 0 };
	std::atomic<int> accepted{ 0 };

      private:
	void accept_all()
	{
		for (;;) {
			int fd = accept(listener_, nullptr, nullptr);

			if (fd < 0)
				return;
			accepted++;
			connections_.push_back(fd);
			threads_.emplace_back([this, fd] { serve(fd); });
		}
	}

	void serve(int fd)
	{
		while (read_head(fd)) {
			size_t turn = requests++;
			std::string text =
				turn < script_.size() ? script_[turn] : "";

			if (text == "silent")
				continue;
			if (text == "gone") {
				shutdown(listener_, SHUT_RDWR);
				text.clear();
			}
			if (text.empty() ||
			    write(fd, text.data(), text.size()) < 0) {
				shutdown(fd, SHUT_RDWR);
				return;
			}
			if (text.find("Content-Length") == std::string::npos ||
			    text.find("CUT") != std::string::npos) {
				shutdown(fd, SHUT_RDWR);
				return;
			}
		}
	}

	static bool read_head(int fd)
	{
		std::string head;
		char byte;

		while (head.find("\r\n\r\n") == std::string::npos) {
			if (read(fd, &byte, 1) != 1)
				return false;
			head += byte;
		}
		return true;
	}

	std::vector<std::string> script_;
	int listener_;
	std::thread acceptor_;
	std::vector<int> connections_;
	std::vector<std::thread> threads_;
};

static std::string whole(const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nContent-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

class HttpClient : public testing::Test
{
      protected:
	void SetUp() override
	{
		client = http_client_new();
	}

	void TearDown() override
	{
		http_client_free(client);
	}

	struct http_request request_to(uint16_t port)
	{
		struct http_request request = {};

		request.method = "GET";
		request.address = "127.0.0.1";
		request.port = port;
		request.path = "/x";
		request.timeout_us = 5000000;
		request.answer_max_bytes = 1000;
		return request;
	}

	enum http_outcome outcome_of(const struct http_request &request)
	{
		struct http_answer answer;
		enum http_outcome outcome;

		http_client_exchange(client, &request, &answer);
		outcome = answer.outcome;
		http_answer_release(&answer);
		return outcome;
	}

	struct http_client *client;
};

struct answer_case {
	const char *name;
	std::string text;
	enum http_outcome outcome;
};

TEST_F(HttpClient, JudgesWhatComesBack)
{
	const answer_case cases[] = {
		{ "whole", whole("abc"), HTTP_ANSWERED },
		{ "closed without an answer", "", HTTP_BROKEN },
		{ "cut in the body",
		  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nCUT",
		  HTTP_BROKEN },
		{ "without a length the end is not known",
		  "HTTP/1.1 200 OK\r\n\r\nmay be all, may be half",
		  HTTP_BROKEN },
		{ "not HTTP", "SSH-2.0-nonsense\r\n\r\n", HTTP_BROKEN },
		{ "larger than allowed", whole(std::string(1001, 'x')),
		  HTTP_TOO_LARGE },
		{ "headers without end",
		  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " +
			  std::string(20000, 'y') + "\r\n\r\n",
		  HTTP_TOO_LARGE },
	};

	for (const auto &c : cases) {
		ScriptedServer server({ c.text });

		EXPECT_EQ(c.outcome, outcome_of(request_to(server.port)))
			<< c.name;
	}
}

TEST_F(HttpClient, RefusedConnectionSentNothing)
{
	uint16_t port;
	{
		ScriptedServer gone({});
		port = gone.port;
	}
	EXPECT_EQ(HTTP_CONNECT_FAILED, outcome_of(request_to(port)));
}

TEST_F(HttpClient, KeepsAndReusesAConnection)
{
	ScriptedServer server({ whole("1"), whole("2") });

	EXPECT_EQ(HTTP_ANSWERED, outcome_of(request_to(server.port)));
	EXPECT_EQ(HTTP_ANSWERED, outcome_of(request_to(server.port)));
	EXPECT_EQ(1, server.accepted);
}

/*
 * A member is billed twice for one order. The backend server took the order on
 * a kept connection and died before it answered; the HTTP library saw a reused
 * connection closed without a byte, took it for an idle time-out of the far
 * side and sent the order again on a new connection, unasked.
 */
TEST_F(HttpClient, FreshConnectionIsNeverResentOnByTheLibrary)
{
	ScriptedServer server({ whole("1"), "", whole("twice") });
	struct http_request request = request_to(server.port);

	request.fresh_connection = true;
	EXPECT_EQ(HTTP_ANSWERED, outcome_of(request));
	EXPECT_EQ(HTTP_BROKEN, outcome_of(request));
	EXPECT_EQ(2, server.requests);
	EXPECT_EQ(2, server.accepted);
}

static bool allow(void *context)
{
	(*(int *)context)++;
	return true;
}

/*
 * An inspector waits in vain at the vessel. A firewall between node and backend
 * server forgot a kept connection: what is sent on it vanishes, while new
 * connections work. The request goes again, on a new one, once.
 */
TEST_F(HttpClient, SilentKeptConnectionIsLeftForANewOne)
{
	ScriptedServer server({ whole("1"), "silent", whole("answer") });
	struct http_request request = request_to(server.port);
	struct http_answer answer;
	int asked = 0;

	request.silence_us = 50000;
	request.may_repeat = allow;
	request.context = &asked;
	EXPECT_EQ(HTTP_ANSWERED, outcome_of(request));
	http_client_exchange(client, &request, &answer);
	EXPECT_EQ(HTTP_ANSWERED, answer.outcome);
	EXPECT_TRUE(answer.repeated);
	EXPECT_STREQ("answer", answer.body);
	EXPECT_EQ(1, asked);
	EXPECT_EQ(2, server.accepted);
	http_answer_release(&answer);
}

static bool forbid(void *context)
{
	(*(int *)context)++;
	return false;
}

/*
 * An inspector is told that a lookup was not run, and it was: the node had sent
 * it on and was killed. The library went to a new connection by itself and
 * couldn't open one, which looked as if nothing had ever been sent.
 */
TEST_F(HttpClient, KeptConnectionThatDiedIsNoRefusedOne)
{
	ScriptedServer server({ whole("one"), "gone" });
	struct http_request request = request_to(server.port);
	struct http_answer answer;

	http_client_exchange(client, &request, &answer);
	EXPECT_EQ(HTTP_ANSWERED, answer.outcome);
	EXPECT_FALSE(answer.repeated);
	http_answer_release(&answer);
	http_client_exchange(client, &request, &answer);
	EXPECT_EQ(HTTP_BROKEN, answer.outcome);
	http_answer_release(&answer);
}

/* The same, with an answer to the second sending: a refusal proves nothing. */
TEST_F(HttpClient, SaysWhatTheLibrarySentTwice)
{
	ScriptedServer server({ whole("one"), "", whole("two") });
	struct http_request request = request_to(server.port);
	struct http_answer answer;

	http_client_exchange(client, &request, &answer);
	http_answer_release(&answer);
	http_client_exchange(client, &request, &answer);
	EXPECT_EQ(HTTP_ANSWERED, answer.outcome);
	EXPECT_TRUE(answer.repeated);
	http_answer_release(&answer);
}

/* Without a budget the first sending is waited for, and nothing is repeated. */
TEST_F(HttpClient, SilenceWithoutABudgetIsWaitedOut)
{
	ScriptedServer server({ whole("1"), "silent", whole("never") });
	struct http_request request = request_to(server.port);
	int asked = 0;

	EXPECT_EQ(HTTP_ANSWERED, outcome_of(request));
	request.silence_us = 20000;
	request.timeout_us = 200000;
	request.may_repeat = forbid;
	request.context = &asked;
	EXPECT_EQ(HTTP_TIMED_OUT, outcome_of(request));
	EXPECT_EQ(1, asked);
	EXPECT_EQ(2, server.requests);
}
