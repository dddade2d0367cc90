#include "adapters/platform_http.h"

#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "core/build_options.h"
#include "core/result.h"

namespace
{

const uint64_t timeout_us = 5000000;
const uint64_t short_timeout_us = 400000;

/*
 * A server whose answers are bytes, so that they can be as wrong as can be.
 * Each connection gets the given bytes once a request's head (and a body of
 * its Content-Length) came.
 */
class byte_server
{
      public:
	enum after {
		AFTER_KEEP, /* answer the next request too */
		AFTER_CLOSE,
		AFTER_HOLD, /* say nothing more until the client closes */
	};

	byte_server(const std::string &answer, after then)
	    : answer(answer), then(then)
	{
		struct sockaddr_in name = {};
		socklen_t size = sizeof(name);

		name.sin_family = AF_INET;
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		EXPECT_EQ(0, bind(listener, (struct sockaddr *)&name, size));
		EXPECT_EQ(0, listen(listener, 16));
		EXPECT_EQ(0, getsockname(listener, (struct sockaddr *)&name,
					 &size));
		port = ntohs(name.sin_port);
		thread = std::thread([this]() { run(); });
	}
	~byte_server()
	{
		stop();
		close(listener);
	}

	/* All requests that went out were seen after it. */
	void stop()
	{
		if (!thread.joinable())
			return;
		shutdown(listener, SHUT_RDWR);
		thread.join();
		for (std::thread &one : workers)
			one.join();
	}

	std::vector<std::string> requests()
	{
		std::lock_guard<std::mutex> guard(lock);

		return seen;
	}

	std::string answer;
	after then;
	uint16_t port = 0;
	std::atomic<int> connections{ 0 };

      private:
	void run()
	{
		int fd;

		while ((fd = accept(listener, NULL, NULL)) >= 0) {
			connections++;
			workers.emplace_back([this, fd]() { serve(fd); });
		}
	}

	static size_t body_length(const std::string &head)
	{
		size_t at = head.find("Content-Length: ");

		return at == std::string::npos ?
			       0 :
			       std::stoul(head.substr(at + 16));
	}

	bool read_request(int fd)
	{
		std::string text;
		char buffer[65536];
		ssize_t length;
		size_t end;

		while ((length = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
			text.append(buffer, (size_t)length);
			end = text.find("\r\n\r\n");
			if (end == std::string::npos ||
			    text.size() < end + 4 + body_length(text))
				continue;
			std::lock_guard<std::mutex> guard(lock);
			seen.push_back(text);
			return true;
		}
		return false;
	}

	void serve(int fd)
	{
		char byte;

		while (read_request(fd)) {
			size_t sent = 0;
			ssize_t length = 0;

			while (sent < answer.size() && length >= 0) {
				length = send(fd, answer.data() + sent,
					      answer.size() - sent,
					      MSG_NOSIGNAL);
				sent += length > 0 ? (size_t)length : 0;
			}
			if (then != AFTER_KEEP)
				break;
		}
		while (then == AFTER_HOLD && recv(fd, &byte, 1, 0) > 0)
			;
		close(fd);
	}

	int listener;
	std::thread thread;
	std::vector<std::thread> workers;
	std::mutex lock;
	std::vector<std::string> seen;
};

std::string http(const char *status, const std::string &body)
{
	return std::string("HTTP/1.1 ") + status +
	       "\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

class client
{
      public:
	explicit client(uint16_t port, uint64_t timeout = timeout_us)
	    : platform(platform_http_new("127.0.0.1", port, timeout))
	{
	}
	~client()
	{
		platform_http_free(platform);
	}
	client(const client &) = delete;
	client &operator=(const client &) = delete;

	/* The result of the call; what came stays in the members. */
	int read(const char *key = "current")
	{
		GError *error = NULL;

		platform_row_release(&row);
		bool ok = platform_read(platform, "config", key, &row, &error);

		return finish(ok, error);
	}
	int write(const char *value, uint64_t expected)
	{
		GError *error = NULL;

		bool ok = platform_write(platform, "config", "current", value,
					 expected, &version, &error);

		return finish(ok, error);
	}
	int list()
	{
		GError *error = NULL;

		platform_vm_list_release(&vms);
		bool ok = platform_list_vms(platform, &vms, &error);

		return finish(ok, error);
	}

	struct platform_row row = {};
	struct platform_vm_list vms = {};
	uint64_t version = 0;

      private:
	static int finish(bool ok, GError *error)
	{
		int code = error ? error->code : RESULT_OK;

		EXPECT_EQ(ok, !error);
		g_clear_error(&error);
		return code;
	}

	struct platform *platform;
};

const char row_json[] = "{\"version\":7,\"value\":\"{\\\"a\\\":1}\"}";

struct answer_case {
	const char *name;
	std::string bytes;
	byte_server::after then;
	int read;
	int write; /* of version 7 */
};

std::string answer_name(const testing::TestParamInfo<answer_case> &info)
{
	return info.param.name;
}

const int UNAVAILABLE = RESULT_PLATFORM_UNAVAILABLE;
const int UNSETTLED = RESULT_UNSETTLED;
const auto KEEP = byte_server::AFTER_KEEP;
const auto CLOSE = byte_server::AFTER_CLOSE;
const auto HOLD = byte_server::AFTER_HOLD;
const char newer[] = "{\"version\":8,\"value\":\"v\"}";

std::string ok(const std::string &body)
{
	return http("200 OK", body);
}

const answer_case answers[] = {
	{ "Conflict", http("412 Precondition Failed", "{\"version\":9}"), KEEP,
	  UNAVAILABLE, RESULT_CONFLICT },
	{ "RefusedAsMalformed", http("400 Bad Request", ""), KEEP, UNAVAILABLE,
	  UNAVAILABLE },
	{ "RefusedAsTooLarge", http("413 Payload Too Large", ""), CLOSE,
	  UNAVAILABLE, UNAVAILABLE },
	{ "RequestTimeout", http("408 Request Timeout", ""), CLOSE, UNAVAILABLE,
	  UNSETTLED },
	{ "ServerError", http("500 Internal Server Error", ""), KEEP,
	  UNAVAILABLE, UNSETTLED },
	{ "Unavailable", http("503 Service Unavailable", ""), KEEP, UNAVAILABLE,
	  UNSETTLED },
	{ "OtherSuccess", http("202 Accepted", "{}"), KEEP, UNAVAILABLE,
	  UNSETTLED },
	{ "Redirect",
	  "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n"
	  "Content-Length: 0\r\n\r\n",
	  KEEP, UNAVAILABLE, UNSETTLED },
	{ "ClosedWithoutAnswer", "", CLOSE, UNAVAILABLE, UNSETTLED },
	{ "SilentWithoutAnswer", "", HOLD, UNAVAILABLE, UNSETTLED },
	{ "SilentAfterTheHead", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n",
	  HOLD, UNAVAILABLE, UNSETTLED },
	{ "ShorterThanItsLength",
	  "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":8}", CLOSE,
	  UNAVAILABLE, UNSETTLED },
	{ "LongerThanItsLength",
	  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"version\":8}", CLOSE,
	  UNAVAILABLE, UNSETTLED },
	{ "NotHttp", "SSH-2.0-x\r\n", CLOSE, UNAVAILABLE, UNSETTLED },
	{ "NotJson", ok("<html>"), KEEP, UNAVAILABLE, UNSETTLED },
	{ "MoreBehindTheJson", ok("{\"version\":8}{}"), KEEP, UNAVAILABLE,
	  UNSETTLED },
	{ "NoVersion", ok("{\"value\":\"v\"}"), KEEP, UNAVAILABLE, UNSETTLED },
	{ "VersionIsText", ok("{\"version\":\"8\",\"value\":\"v\"}"), KEEP,
	  UNAVAILABLE, UNSETTLED },
	{ "VersionNegative", ok("{\"version\":-8,\"value\":\"v\"}"), KEEP,
	  UNAVAILABLE, UNSETTLED },
	{ "VersionTwice", ok("{\"version\":8,\"version\":9,\"value\":\"v\"}"),
	  KEEP, UNAVAILABLE, UNSETTLED },
	{ "VersionNotNewer", ok("{\"version\":7,\"value\":\"v\"}"), KEEP,
	  RESULT_OK, UNSETTLED },
	{ "ManyValues",
	  ok("{\"version\":8,\"value\":\"v\",\"more\":[0,0,0,0,0,0,0,0,0,0,0,0,"
	     "0,0,0]}"),
	  KEEP, UNAVAILABLE, UNSETTLED },
	{ "CommasWithinTheValue",
	  ok("{\"version\":8,\"value\":\"\\\\\\\",,,,,,,,,,,,,,,,[[[[{{{{\"}"),
	  KEEP, RESULT_OK, RESULT_OK },
	{ "ValueWithNul", ok("{\"version\":7,\"value\":\"\\u0000\"}"), KEEP,
	  UNAVAILABLE, UNSETTLED },
};

/* Read once and write once to a server that answers so. */
void check_answer(const answer_case &c)
{
	byte_server server(c.bytes, c.then);

	{
		client client(server.port, c.then == byte_server::AFTER_HOLD ?
						   short_timeout_us :
						   timeout_us);

		EXPECT_EQ(c.read, client.read()) << c.name;
		EXPECT_EQ(c.read == RESULT_OK, client.row.value != nullptr);
		platform_row_release(&client.row);
		EXPECT_EQ(c.write, client.write("v", 7)) << c.name;
		EXPECT_EQ(c.write == RESULT_OK ? 8u : 0u, client.version);
	}
	/* Each call went out once, whatever came back. */
	server.stop();
	EXPECT_EQ(2u, server.requests().size());
}

uint16_t closed_port()
{
	byte_server server("", byte_server::AFTER_CLOSE);

	return server.port;
}

} // namespace

TEST(PlatformHttp, ReadsARow)
{
	byte_server server(http("200 OK", row_json), byte_server::AFTER_KEEP);
	client client(server.port);

	EXPECT_EQ(RESULT_OK, client.read("a b/c?d%"));
	EXPECT_EQ(7u, client.row.version);
	EXPECT_STREQ("{\"a\":1}", client.row.value);
	EXPECT_EQ(0u, server.requests()[0].find(
			      "GET /v1/tables/config/a%20b%2Fc%3Fd%25 HTTP"));
	platform_row_release(&client.row);
}

TEST(PlatformHttp, AbsentRowHasVersionZero)
{
	byte_server server(http("404 Not Found", ""), byte_server::AFTER_KEEP);
	client client(server.port);

	EXPECT_EQ(RESULT_OK, client.read());
	EXPECT_EQ(0u, client.row.version);
	EXPECT_EQ(nullptr, client.row.value);
}

TEST(PlatformHttp, WritesByCompareAndSet)
{
	byte_server server(http("200 OK", "{\"version\":8}"),
			   byte_server::AFTER_KEEP);
	client client(server.port);
	std::string value(2 << 20, 'v');
	std::string request;

	EXPECT_EQ(RESULT_OK, client.write(value.c_str(), 7));
	EXPECT_EQ(8u, client.version);
	request = server.requests()[0];
	EXPECT_EQ(0u, request.find("PUT /v1/tables/config/current HTTP"));
	EXPECT_NE(std::string::npos, request.find("\r\nIf-Match: 7\r\n"));
	EXPECT_EQ(std::string::npos, request.find("Expect"));
	EXPECT_EQ(value, request.substr(request.find("\r\n\r\n") + 4));
}

TEST(PlatformHttp, ListsVms)
{
	byte_server server(http("200 OK", "{\"vms\":["
					  "{\"address\":\"127.1.1.1\","
					  "\"state\":\"live\"},"
					  "{\"address\":\"127.1.1.2\","
					  "\"state\":\"leaving\"},"
					  "{\"address\":\"127.1.1.3\","
					  "\"state\":\"dreaming\"}]}"),
			   byte_server::AFTER_KEEP);
	client client(server.port);

	ASSERT_EQ(RESULT_OK, client.list());
	ASSERT_EQ(3u, client.vms.count);
	EXPECT_STREQ("127.1.1.1", client.vms.vms[0].address);
	EXPECT_EQ(VM_LIVE, client.vms.vms[0].state);
	EXPECT_EQ(VM_LEAVING, client.vms.vms[1].state);
	EXPECT_EQ(VM_UNKNOWN, client.vms.vms[2].state);
	platform_vm_list_release(&client.vms);
}

TEST(PlatformHttp, MalformedListIsUnavailable)
{
	const char *const bodies[] = {
		"",
		"[]",
		"{}",
		"{\"vms\":{}}",
		"{\"vms\":[7]}",
		"{\"vms\":[{\"address\":\"127.1.1.1\"}]}",
		"{\"vms\":[{\"state\":\"live\"}]}",
		"{\"vms\":[{\"address\":\"127.1.1.1\",\"state\":\"live\"},"
		"{\"address\":\"host\",\"state\":\"live\"}]}",
	};

	for (const char *body : bodies) {
		byte_server server(http("200 OK", body),
				   byte_server::AFTER_KEEP);
		client client(server.port);

		EXPECT_EQ(RESULT_PLATFORM_UNAVAILABLE, client.list()) << body;
		EXPECT_EQ(nullptr, client.vms.vms);
	}
}

TEST(PlatformHttp, RefusedConnectionIsUnavailable)
{
	client client(closed_port());

	EXPECT_EQ(RESULT_PLATFORM_UNAVAILABLE, client.read());
	EXPECT_EQ(RESULT_PLATFORM_UNAVAILABLE, client.write("v", 7));
	EXPECT_EQ(RESULT_PLATFORM_UNAVAILABLE, client.list());
}

TEST(PlatformHttp, ValueAboveTheBoundIsNotSent)
{
	byte_server server("", byte_server::AFTER_CLOSE);
	client client(server.port);
	std::string value(CONFIG_MAX_BYTES + 1, 'v');

	EXPECT_EQ(RESULT_OUT_OF_RANGE, client.write(value.c_str(), 0));
	EXPECT_EQ(0, server.connections);
}

class PlatformAnswer : public testing::TestWithParam<answer_case>
{
};

TEST_P(PlatformAnswer, IsMappedToAResult)
{
	check_answer(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Cases, PlatformAnswer, testing::ValuesIn(answers),
			 answer_name);

/* Apart from the table, which each test's process builds whole. */
TEST(PlatformHttp, AnswersTooLargeAreErrors)
{
	check_answer({ "LargerThanTheBound",
		       ok(std::string(3 * CONFIG_MAX_BYTES, ' ') + newer),
		       CLOSE, UNAVAILABLE, UNSETTLED });
	check_answer(
		{ "ValueTooLarge",
		  http("200 OK",
		       "{\"version\":7,\"value\":\"" +
			       std::string(CONFIG_MAX_BYTES + 1, 'v') + "\"}"),
		  KEEP, UNAVAILABLE, UNSETTLED });
	check_answer({ "DeeplyNested",
		       http("200 OK", std::string(1 << 20, '[')), KEEP,
		       UNAVAILABLE, UNSETTLED });
}

/*
 * The connection to the platform goes silent for good while new ones work.
 * Each poll of the configuration would time out until a restart; cause: the
 * kept connection used again and again. A call that failed on it closes it.
 */
TEST(PlatformHttp, SilentConnectionIsLeftAfterOneCall)
{
	byte_server server(http("200 OK", row_json), byte_server::AFTER_HOLD);
	client client(server.port, 2 * short_timeout_us);

	EXPECT_EQ(RESULT_OK, client.read());
	EXPECT_EQ(RESULT_PLATFORM_UNAVAILABLE, client.read());
	EXPECT_EQ(RESULT_OK, client.read());
	EXPECT_EQ(2, server.connections);
	platform_row_release(&client.row);
}

TEST(PlatformHttp, ReadsKeepTheirConnection)
{
	byte_server server(http("200 OK", row_json), byte_server::AFTER_KEEP);
	client client(server.port);

	for (int i = 0; i < 3; i++)
		EXPECT_EQ(RESULT_OK, client.read());
	EXPECT_EQ(1, server.connections);
	platform_row_release(&client.row);
}

/*
 * An operator's command takes effect, and he is told that another's did. The
 * platform closes a kept connection just as the write goes out on it, after it
 * took the write; curl sends it once more and meets the new version.
 */
TEST(PlatformHttp, WriteNeverGoesOutOnAKeptConnection)
{
	byte_server server(http("200 OK", "{\"version\":8,\"value\":\"v\"}"),
			   byte_server::AFTER_KEEP);
	client client(server.port);

	EXPECT_EQ(RESULT_OK, client.read());
	EXPECT_EQ(RESULT_OK, client.write("v", 7));
	EXPECT_EQ(RESULT_OK, client.write("v", 7));
	EXPECT_EQ(3, server.connections);
	EXPECT_EQ(3u, server.requests().size());
	platform_row_release(&client.row);
}

TEST(PlatformHttp, ThreadsShareAClient)
{
	byte_server server(http("200 OK", row_json), byte_server::AFTER_KEEP);
	struct platform *platform =
		platform_http_new("127.0.0.1", server.port, timeout_us);
	std::vector<std::thread> threads;
	std::atomic<int> rows{ 0 };

	for (int t = 0; t < 4; t++)
		threads.emplace_back([platform, &rows]() {
			for (int i = 0; i < 25; i++) {
				struct platform_row row;

				rows += platform_read(platform, "config",
						      "current", &row, NULL);
				platform_row_release(&row);
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(100, rows);
	EXPECT_GE(4, server.connections);
	platform_http_free(platform);
}
