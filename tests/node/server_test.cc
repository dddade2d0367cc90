#include "node/server.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include "node/fakes.h"

/* The node's HTTP doors, over a socket, with whatever bytes a caller sends. */
class Doors : public testing::Test
{
      protected:
	void SetUp() override
	{
		GError *error = nullptr;

		metrics_open();
		fake = new fake_node;
		fake->settings.http_port = free_port();
		fake->settings.http_threads = 8;
		fake->settings.body_max_bytes = 1024;
		fake->settings.header_timeout_us = 300000;
		fake->settings.lookup_ttl_us = 1000000;
		g_strlcpy(fake->settings.address, "127.0.0.1", NAME_SIZE);
		fake->apply(1);
		server = server_open(fake->node, &error);
		ASSERT_NE(nullptr, server) << error->message;
	}

	void TearDown() override
	{
		server_close(server);
		delete fake;
		metrics_close();
	}

	static uint16_t free_port()
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(fd, (struct sockaddr *)&address, len));
		getsockname(fd, (struct sockaddr *)&address, &len);
		close(fd);
		return ntohs(address.sin_port);
	}

	int connect_to_node()
	{
		struct sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(fake->settings.http_port);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&address,
				     sizeof(address)));
		return fd;
	}

	/* Everything that comes back until the node closes. */
	std::string send_raw(const std::string &text, bool finish = true)
	{
		int fd = connect_to_node();
		std::string got;
		char chunk[4096];
		ssize_t bytes;

		EXPECT_EQ((ssize_t)text.size(),
			  send(fd, text.data(), text.size(), MSG_NOSIGNAL));
		if (finish)
			shutdown(fd, SHUT_WR);
		while ((bytes = recv(fd, chunk, sizeof(chunk), 0)) > 0)
			got.append(chunk, bytes);
		close(fd);
		return got;
	}

	fake_node *fake;
	struct server *server;
};

struct door_case {
	const char *name;
	std::string request;
	const char *status;
	const char *result; /* NULL: refused before our handlers */
};

static std::string get(const std::string &path, const std::string &headers = "")
{
	return "GET " + path +
	       " HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n" + headers +
	       "\r\n";
}

static std::string post(const std::string &path, const std::string &headers,
			const std::string &body)
{
	return "POST " + path +
	       " HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n" + headers +
	       "\r\n" + body;
}

TEST_F(Doors, AnswerBadInputByNumber)
{
	const std::string long_name(200, 'a');
	const door_case cases[] = {
		{ "look-up", get("/v1/lookup?service=historia"), " 200 ",
		  ": 0" },
		{ "look-up without a service", get("/v1/lookup"), " 400 ",
		  ": 112" },
		{ "look-up of an unknown service", get("/v1/lookup?service=x"),
		  " 404 ", ": 108" },
		{ "no such path", get("/etc/passwd"), " 400 ", ": 112" },
		{ "path out of the root", get("/v1/svc/../../etc/passwd"),
		  " 400 ", nullptr },
		{ "unknown service", get("/v1/svc/x/y"), " 404 ", ": 108" },
		{ "no service", get("/v1/svc/"), " 400 ", ": 112" },
		{ "service's name too long", get("/v1/svc/" + long_name),
		  " 400 ", ": 112" },
		{ "expired deadline",
		  get("/v1/svc/historia/x", "X-Deadline-Us: 0\r\n"), " 503 ",
		  ": 103" },
		{ "deadline is no number",
		  get("/v1/svc/historia/x", "X-Deadline-Us: soon\r\n"), " 400 ",
		  ": 112" },
		{ "negative deadline",
		  get("/v1/svc/historia/x", "X-Deadline-Us: -5\r\n"), " 400 ",
		  ": 112" },
		{ "deadline past all numbers",
		  get("/v1/svc/historia/x",
		      "X-Deadline-Us: 99999999999999999999\r\n"),
		  " 400 ", ": 112" },
		{ "request id too long",
		  get("/v1/svc/historia/x",
		      "X-Request-Id: " + long_name + "\r\n"),
		  " 400 ", ": 112" },
		{ "request id with blanks",
		  get("/v1/svc/historia/x", "X-Request-Id: a b\r\n"), " 400 ",
		  ": 112" },
		{ "no ticket", post("/v1/svc/certif/x", "", ""), " 428 ",
		  ": 109" },
		{ "malformed ticket",
		  post("/v1/svc/certif/x", "X-Ticket: nonsense\r\n", ""),
		  " 400 ", ": 110" },
		{ "other node's ticket",
		  post("/v1/svc/certif/x", "X-Ticket: n2:1:0:1:1\r\n", ""),
		  " 421 ", ": 202" },
		{ "body announced too large",
		  post("/v1/svc/historia/x", "Content-Length: 1025\r\n",
		       std::string(1025, 'b')),
		  " 413 ", ": 111" },
		{ "body cut short",
		  post("/v1/svc/historia/x", "Content-Length: 100\r\n", "half"),
		  " 400 ", ": 112" },
		{ "length is no number",
		  post("/v1/svc/historia/x", "Content-Length: many\r\n", ""),
		  " 4", nullptr },
		{ "headers too large",
		  get("/v1/svc/historia/x",
		      "X-Long: " + std::string(20000, 'h') + "\r\n"),
		  " 4", nullptr },
		{ "not HTTP", "garbage\r\n\r\n", " 4", nullptr },
		{ "hop without a deadline", get("/v1/hop/historia/x"), " 400 ",
		  ": 112" },
		/* A shift's every hop was refused, for half of all nodes. */
		{ "hop to an incarnation above half of all numbers",
		  get("/v1/hop/historia/x",
		      "X-Deadline-Us: 1000000\r\n"
		      "X-Lilac-Incarnation: 18446744073709551615\r\n"),
		  " 503 ", ": 117" },
		{ "fence without a ticket",
		  post("/v1/fence", "Content-Length: 0\r\n", ""), " 400 ",
		  ": 112" },
		{ "command that isn't JSON",
		  post("/v1/command", "Content-Length: 3\r\n", "abc"), " 400 ",
		  ": 112" },
		{ "command by GET without an id", get("/v1/command"), " 400 ",
		  ": 112" },
		{ "alive", get("/healthz"), " 200 ", nullptr },
		{ "ready", get("/readyz"), " 200 ", nullptr },
		{ "metrics", get("/metrics"), " 200 ", nullptr },
	};

	for (const auto &c : cases) {
		std::string got = send_raw(c.request);
		std::string first = got.substr(0, got.find("\r\n"));

		EXPECT_NE(std::string::npos, first.find(c.status))
			<< c.name << ": " << first;
		if (c.result) {
			EXPECT_NE(std::string::npos,
				  got.find("X-Lilac-Result" +
					   std::string(c.result) + "\r\n"))
				<< c.name << ": " << got;
		}
	}
}

/* Senders that never finish occupy all threads; others are served after. */
TEST_F(Doors, SlowSendersAreCutOff)
{
	int slow[16];

	for (int &fd : slow) {
		fd = connect_to_node();
		EXPECT_EQ(5, send(fd, "GET /", 5, MSG_NOSIGNAL));
	}
	EXPECT_NE(std::string::npos, send_raw(get("/healthz")).find(" 200 "));
	for (int fd : slow)
		close(fd);
}

TEST_F(Doors, NodeWithoutAConfigurationSaysSo)
{
	fake_node bare("n2");

	bare.settings = fake->settings;
	bare.settings.http_port = free_port();
	server_close(server);
	server = server_open(bare.node, nullptr);
	ASSERT_NE(nullptr, server);
	std::swap(fake->settings.http_port, bare.settings.http_port);
	EXPECT_NE(std::string::npos,
		  send_raw(get("/v1/svc/historia/x")).find(": 107"));
	EXPECT_NE(std::string::npos, send_raw(get("/readyz")).find(": 107"));
	server_close(server);
	server = server_open(fake->node, nullptr);
}

/* A stopping node is out of look-ups and closes what it answered. */
TEST_F(Doors, StoppingNodeSendsItsCallersOn)
{
	fake->node->stopping = true;
	state_refresh_nodes(fake->node);
	EXPECT_NE(std::string::npos, send_raw(get("/readyz")).find(": 106"));
	EXPECT_NE(std::string::npos,
		  send_raw("GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n", false)
			  .find("Connection: close"));
}
