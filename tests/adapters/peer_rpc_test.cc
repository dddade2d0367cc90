#include "adapters/peer_rpc.h"

#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "adapters/metrics.h"
#include "adapters/peer_codec.h"
#include "core/result.h"

namespace
{

const uint64_t timeout_us = 5000000;

/* A node's side: keeps the last message, answers with what it is given. */
struct fake_node {
	std::atomic<int> exchanges{ 0 };
	std::string last_sender;
	std::vector<std::string> last_nodes;
	uint32_t answer_reports = 1;
	std::string config;
};

struct peer_report make_report(uint64_t number)
{
	struct peer_report report = {};

	g_snprintf(report.node, sizeof(report.node), "node-%" PRIu64, number);
	report.incarnation = UINT64_MAX - number;
	report.sequence = number;
	report.ticket_epoch = 3;
	report.config_version = 4;
	report.shares_version = 3;
	report.age_us = 5;
	report.leaving = number % 2;
	report.service_count = 2;
	report.services = g_new0(struct peer_service_report, 2);
	g_strlcpy(report.services[0].service, "svc-historia", NAME_SIZE);
	report.services[0].summary = { 7, 6, 5, UINT64_MAX, 3 };
	memset(report.services[1].service, 's', NAME_SIZE - 1);
	report.leaving_backend_count = 1;
	report.leaving_backends = (char(*)[NAME_SIZE])g_malloc0_n(1, NAME_SIZE);
	g_strlcpy(report.leaving_backends[0], "historia-1", NAME_SIZE);
	return report;
}

struct peer_message make_message(const char *sender, uint32_t reports)
{
	struct peer_message message = {};

	g_strlcpy(message.sender, sender, sizeof(message.sender));
	message.report_count = reports;
	message.reports = g_new0(struct peer_report, reports);
	for (uint32_t i = 0; i < reports; i++)
		message.reports[i] = make_report(i);
	return message;
}

void fake_exchange(void *context, const struct peer_message *message,
		   struct peer_message *answer)
{
	fake_node *node = (fake_node *)context;

	node->last_sender = message->sender;
	node->last_nodes.clear();
	for (uint32_t i = 0; i < message->report_count; i++)
		node->last_nodes.push_back(message->reports[i].node);
	*answer = make_message("answerer", node->answer_reports);
	node->exchanges++;
}

char *fake_config(void *context, uint64_t newer_than, uint64_t *version)
{
	fake_node *node = (fake_node *)context;

	*version = 9;
	return newer_than < 9 ? g_strdup(node->config.c_str()) : NULL;
}

uint64_t value_of(const char *counter)
{
	return metric_value(metric_counter(counter, "", NULL));
}

/* Seconds that no test reaches, but where a case sets its own. */
struct peer_server_limits patient()
{
	return { 256, 64 << 20, 60 * G_USEC_PER_SEC, 60 * G_USEC_PER_SEC };
}

class Peer : public testing::Test
{
      protected:
	void open(const struct peer_server_limits &limits = patient())
	{
		struct peer_handler handler = { &node, fake_exchange,
						fake_config };

		server = peer_server_open_limited("127.0.0.1", 0, &handler,
						  &limits, NULL);
		ASSERT_NE(nullptr, server);
		client = peer_client_new("127.0.0.1", peer_server_port(server),
					 timeout_us);
	}
	void TearDown() override
	{
		peer_client_free(client);
		peer_server_close(server);
		metrics_close();
	}

	/* A raw connection for what no client of ours would send. */
	int connect_raw()
	{
		struct sockaddr_in name = {};
		struct timeval limit = { 60, 0 };
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		name.sin_family = AF_INET;
		name.sin_port = htons(peer_server_port(server));
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0,
			  connect(fd, (struct sockaddr *)&name, sizeof(name)));
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		return fd;
	}

	void expect_served()
	{
		struct peer_message message = make_message("asker", 1);
		struct peer_message answer;
		GError *error = NULL;

		ASSERT_TRUE(
			peer_client_exchange(client, &message, &answer, &error))
			<< error->message;
		EXPECT_STREQ("answerer", answer.sender);
		peer_message_release(&answer);
		peer_message_release(&message);
	}

	fake_node node;
	struct peer_server *server = NULL;
	struct peer_client *client = NULL;
};

void append_number(std::string *bytes, uint32_t number)
{
	number = htonl(number);
	bytes->append((const char *)&number, sizeof(number));
}

std::string numbers(std::initializer_list<uint32_t> list)
{
	std::string bytes;

	for (uint32_t number : list)
		append_number(&bytes, number);
	return bytes;
}

/* Head of a call: xid 1, RPC 2, program, version, procedure, no credentials. */
std::string call_head(uint32_t program, uint32_t version, uint32_t procedure)
{
	return numbers({ 1, 0, 2, program, version, procedure, 0, 0, 0, 0 });
}

std::string record(const std::string &body)
{
	return numbers({ 0x80000000u | (uint32_t)body.size() }) + body;
}

/* All that comes until the other end closes, at most 64 bytes. */
std::string read_end(int fd, size_t wanted)
{
	char buffer[64];
	std::string text;
	ssize_t length;

	while (text.size() < wanted &&
	       (length = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		text.append(buffer, (size_t)length);
	return text;
}

const uint32_t program = 0x20000c1a;

struct bad_call {
	const char *name;
	std::string bytes;
	int accept_stat; /* -1: the connection is closed */
};

template <class T> std::string case_name(const testing::TestParamInfo<T> &info)
{
	return info.param.name;
}

std::string exchange_call(const std::string &arguments)
{
	return record(call_head(program, 1, 1) + arguments);
}

const bad_call bad_calls[] = {
	{ "Http", "GET / HTTP/1.1\r\n\r\n", -1 },
	{ "RecordOfTwoGigabytes", numbers({ 0xffffffffu }), -1 },
	{ "RecordAboveTheBound", numbers({ 0x80400001u }), -1 },
	{ "FragmentsAboveTheBound",
	  numbers({ 4 }) + "abcd" + numbers({ 4 << 20 }), -1 },
	{ "EmptyFragment", numbers({ 0 }), -1 },
	{ "EmptyRecord", record(""), -1 },
	{ "HeadCutOff", record(call_head(program, 1, 1).substr(0, 20)), -1 },
	{ "AnAnswer", record(numbers({ 1, 1, 0, 0, 0, 0 })), -1 },
	{ "RpcVersionThree",
	  record(numbers({ 1, 0, 3, program, 1, 1, 0, 0, 0, 0 })), -1 },
	{ "CredentialsTooLong",
	  record(numbers({ 1, 0, 2, program, 1, 1, 0, 401 }) +
		 std::string(408, 'c')),
	  -1 },
	{ "NullProcedure", record(call_head(program, 1, 0)), 0 },
	{ "OtherProgram", record(call_head(100000, 2, 0)), 1 },
	{ "OtherVersion", record(call_head(program, 2, 1)), 2 },
	{ "OtherProcedure", record(call_head(program, 1, 3)), 3 },
	{ "NoArguments", exchange_call(""), 4 },
	{ "NameTooLong",
	  exchange_call(numbers({ 64 }) + std::string(64, 'n') + numbers({ 0 })),
	  4 },
	{ "NameOfGigabytes", exchange_call(numbers({ 0xffffffffu })), 4 },
	{ "NameWithNewline",
	  exchange_call(numbers({ 4 }) + "a\nbc" + numbers({ 0 })), 4 },
	{ "TooManyReports", exchange_call(numbers({ 0, 2049 })), 4 },
	{ "ReportsMissing", exchange_call(numbers({ 0, 2048 })), 4 },
	{ "MoreBehindTheArguments",
	  record(call_head(program, 1, 2) + numbers({ 0, 1, 7 })), 4 },
};

/* Connections that stop somewhere, and how soon the server gives up. */
struct patience_case {
	const char *name;
	size_t sent; /* bytes of a call for the configuration */
	int64_t idle_us;
	int64_t stall_us;
	uint64_t given_up; /* connections counted as refused */
};

const patience_case patience_cases[] = {
	{ "Idle", 0, 20000, 60000000, 0 },
	{ "HalfACall", 10, 60000000, 20000, 1 },
	{ "UnreadAnswer", 52, 60000000, 20000, 1 },
};

/* How many decoders take the record; what they made is released. */
int try_decoders(const GByteArray *record)
{
	struct peer_message answer = {};
	struct peer_call call;
	uint64_t version;
	char *text = NULL;
	int taken = 0;

	if (peer_decode_call(record, &call)) {
		taken += call.procedure != PEER_CALL_REFUSED;
		peer_message_release(&call.message);
	}
	if (peer_decode_exchange_answer(record, 1, &answer)) {
		taken++;
		peer_message_release(&answer);
	}
	taken += peer_decode_config_answer(record, 1, &version, &text);
	g_free(text);
	return taken;
}

/* What a server that is no good does to its client. */
struct bad_answer {
	const char *name;
	std::string bytes;
	bool then_close;
};

const bad_answer bad_answers[] = {
	{ "Silence", "", false },
	{ "HalfAMark", "\x80\x01", false },
	{ "HalfARecord", numbers({ 0x80000040u, 1 }), false },
	{ "Closed", "", true },
	{ "Http", "HTTP/1.1 400 Bad Request\r\n\r\n", true },
	{ "TwoGigabytes", numbers({ 0xffffffffu }), true },
	{ "OtherCall", record(numbers({ 9, 1, 0, 0, 0, 0, 0, 0 })), true },
	{ "Denied", record(numbers({ 1, 1, 1, 0, 2, 2 })), true },
	{ "GarbageArguments", record(numbers({ 1, 1, 0, 0, 0, 4 })), true },
	{ "NoMessage", record(numbers({ 1, 1, 0, 0, 0, 0 })), true },
	{ "TooManyReports", record(numbers({ 1, 1, 0, 0, 0, 0, 0, 2049 })),
	  true },
};

} // namespace

TEST_F(Peer, ExchangeCarriesAllOfAMessage)
{
	struct peer_message message = make_message("asker", 3);
	struct peer_message answer;

	open();
	node.answer_reports = 2;
	ASSERT_TRUE(peer_client_exchange(client, &message, &answer, NULL));
	EXPECT_EQ("asker", node.last_sender);
	EXPECT_EQ((std::vector<std::string>{ "node-0", "node-1", "node-2" }),
		  node.last_nodes);
	ASSERT_EQ(2u, answer.report_count);
	for (uint32_t i = 0; i < 2; i++) {
		struct peer_report wanted = make_report(i);
		const struct peer_report &report = answer.reports[i];

		EXPECT_STREQ(wanted.node, report.node);
		EXPECT_EQ(wanted.incarnation, report.incarnation);
		EXPECT_EQ(wanted.sequence, report.sequence);
		EXPECT_EQ(wanted.ticket_epoch, report.ticket_epoch);
		EXPECT_EQ(wanted.config_version, report.config_version);
		EXPECT_EQ(wanted.shares_version, report.shares_version);
		EXPECT_EQ(wanted.age_us, report.age_us);
		EXPECT_EQ(wanted.leaving, report.leaving);
		ASSERT_EQ(2u, report.service_count);
		for (int s = 0; s < 2; s++) {
			const auto &one = wanted.services[s];
			const auto &other = report.services[s];

			EXPECT_STREQ(one.service, other.service);
			EXPECT_EQ(one.summary.slots, other.summary.slots);
			EXPECT_EQ(one.summary.in_flight,
				  other.summary.in_flight);
			EXPECT_EQ(one.summary.waiting, other.summary.waiting);
			EXPECT_EQ(one.summary.service_us,
				  other.summary.service_us);
			EXPECT_EQ(one.summary.wait_us, other.summary.wait_us);
		}
		ASSERT_EQ(1u, report.leaving_backend_count);
		EXPECT_STREQ("historia-1", report.leaving_backends[0]);
		g_free(wanted.services);
		g_free(wanted.leaving_backends);
	}
	peer_message_release(&answer);
	peer_message_release(&message);
}

TEST_F(Peer, ConfigComesOnlyWhereNewer)
{
	uint64_t version;
	char *text;

	open();
	node.config = std::string(3 << 20, 'c');
	ASSERT_TRUE(peer_client_config(client, 8, &version, &text, NULL));
	EXPECT_EQ(9u, version);
	EXPECT_EQ(node.config, text);
	g_free(text);
	ASSERT_TRUE(peer_client_config(client, 9, &version, &text, NULL));
	EXPECT_EQ(nullptr, text);
}

TEST_F(Peer, LargestConfigComesAndOneByteMoreIsRefused)
{
	uint64_t version;
	char *text;

	open();
	node.config = std::string(CONFIG_MAX_BYTES, 'c');
	ASSERT_TRUE(peer_client_config(client, 0, &version, &text, NULL));
	EXPECT_EQ((size_t)CONFIG_MAX_BYTES, strlen(text));
	g_free(text);
	node.config += 'c';
	EXPECT_FALSE(peer_client_config(client, 0, &version, &text, NULL));
	expect_served();
}

/*
 * Many backend servers leave at once, and all nodes lose touch with the place's
 * nodes: the list makes the message too large, at each attempt anew. What fits
 * goes out, the sender's own report first, and the rest is counted.
 */
TEST_F(Peer, MessageBeyondTheBoundsIsCut)
{
	struct peer_message message = make_message("asker", 2049);
	struct peer_message answer;

	open();
	ASSERT_TRUE(peer_client_exchange(client, &message, &answer, NULL));
	peer_message_release(&answer);
	EXPECT_EQ(2048u, node.last_nodes.size());
	EXPECT_EQ(1u, value_of("lilacfield_peer_cut_total"));
	for (uint32_t i = 0; i < 40; i++) {
		struct peer_report *report = &message.reports[i];

		g_free(report->leaving_backends);
		report->leaving_backends =
			(char(*)[NAME_SIZE])g_malloc0_n(4097, NAME_SIZE);
		report->leaving_backend_count = 4097;
		for (int b = 0; b < 4097; b++)
			memset(report->leaving_backends[b], 'b', NAME_SIZE - 1);
	}
	ASSERT_TRUE(peer_client_exchange(client, &message, &answer, NULL));
	peer_message_release(&answer);
	EXPECT_LT(node.last_nodes.size(), 40u);
	ASSERT_GT(node.last_nodes.size(), 10u);
	EXPECT_EQ("node-0", node.last_nodes[0]);
	/* Each report is left out, or a name of its list. */
	EXPECT_EQ(1u + 2049, value_of("lilacfield_peer_cut_total"));
	peer_message_release(&message);
}

TEST_F(Peer, ManyReportsPassInOneCall)
{
	struct peer_message message = make_message("asker", PEER_MAX_REPORTS);
	struct peer_message answer;

	open();
	node.answer_reports = PEER_MAX_REPORTS;
	ASSERT_TRUE(peer_client_exchange(client, &message, &answer, NULL));
	EXPECT_EQ((size_t)PEER_MAX_REPORTS, node.last_nodes.size());
	EXPECT_EQ((uint32_t)PEER_MAX_REPORTS, answer.report_count);
	peer_message_release(&answer);
	peer_message_release(&message);
}

TEST_F(Peer, ThreadsShareAClient)
{
	std::vector<std::thread> threads;

	open();
	for (int t = 0; t < 4; t++)
		threads.emplace_back([this]() {
			for (int i = 0; i < 25; i++)
				expect_served();
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(100, node.exchanges);
}

class BadCall : public Peer, public testing::WithParamInterface<bad_call>
{
};

TEST_P(BadCall, IsRefusedAndOthersAreServed)
{
	const bad_call &c = GetParam();
	std::string answer;
	int fd;

	open();
	fd = connect_raw();
	ASSERT_EQ((ssize_t)c.bytes.size(),
		  send(fd, c.bytes.data(), c.bytes.size(), MSG_NOSIGNAL));
	if (c.accept_stat < 0) {
		EXPECT_EQ("", read_end(fd, 1));
	} else {
		/* xid 1, reply, accepted, no verifier, the status. */
		answer = read_end(fd, 28);
		ASSERT_LE(28u, answer.size());
		EXPECT_EQ(numbers({ 1, 1, 0, 0, 0, (uint32_t)c.accept_stat }),
			  answer.substr(4, 24));
	}
	expect_served();
	close(fd);
	EXPECT_EQ(1, node.exchanges);
}

INSTANTIATE_TEST_SUITE_P(Cases, BadCall, testing::ValuesIn(bad_calls),
			 case_name<bad_call>);

TEST_F(Peer, CallInManyFragmentsIsWhole)
{
	std::string body = call_head(program, 1, 0);
	std::string bytes;
	int fd;

	open();
	for (size_t i = 0; i + 1 < body.size(); i++)
		bytes += numbers({ 1 }) + body[i];
	bytes += record(body.substr(body.size() - 1));
	fd = connect_raw();
	ASSERT_EQ((ssize_t)bytes.size(),
		  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
	EXPECT_EQ(28u, read_end(fd, 28).size());
	close(fd);
}

/*
 * A peer sends half a call and falls silent (its VM was paused, or something on
 * the way lost the connection). All other peers would see their calls time out;
 * cause: a server of one thread that waits for the rest of the call.
 */
TEST_F(Peer, HalfACallHoldsUpNobody)
{
	std::string half = record(call_head(program, 1, 0)).substr(0, 10);
	int fd;

	open();
	fd = connect_raw();
	ASSERT_EQ(10, send(fd, half.data(), half.size(), MSG_NOSIGNAL));
	expect_served();
	close(fd);
}

/*
 * A peer asks for the configuration and never reads the answer. All others
 * would time out; cause: a server of one thread that waits for room to send.
 */
TEST_F(Peer, UnreadAnswerHoldsUpNobody)
{
	std::string call = record(call_head(program, 1, 2) + numbers({ 0, 0 }));
	int fd;

	open();
	node.config = std::string(CONFIG_MAX_BYTES, 'c');
	fd = connect_raw();
	ASSERT_EQ((ssize_t)call.size(),
		  send(fd, call.data(), call.size(), MSG_NOSIGNAL));
	expect_served();
	close(fd);
}

class Patience : public Peer, public testing::WithParamInterface<patience_case>
{
};

TEST_P(Patience, EndsAndTheConnectionIsClosed)
{
	const patience_case &c = GetParam();
	std::string call = record(call_head(program, 1, 2) + numbers({ 0, 0 }));
	struct peer_server_limits limits = patient();
	char buffer[65536];
	size_t total = 0;
	ssize_t length;
	int fd;

	limits.idle_us = c.idle_us;
	limits.stall_us = c.stall_us;
	open(limits);
	node.config = std::string(CONFIG_MAX_BYTES, 'c');
	fd = connect_raw();
	ASSERT_EQ((ssize_t)c.sent, send(fd, call.data(), c.sent, MSG_NOSIGNAL));
	/* An answer isn't read before the server has given it up. */
	while (c.given_up && !value_of("lilacfield_peer_refused_total"))
		std::this_thread::yield();
	while ((length = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		total += (size_t)length;
	EXPECT_EQ(0, length);
	EXPECT_LT(total, (size_t)CONFIG_MAX_BYTES);
	EXPECT_EQ(c.given_up, value_of("lilacfield_peer_refused_total"));
	close(fd);
}

INSTANTIATE_TEST_SUITE_P(Cases, Patience, testing::ValuesIn(patience_cases),
			 case_name<patience_case>);

/*
 * Someone opens more connections than the server takes and leaves them. New
 * peers would find no place for as long; cause: a bound that turns away the
 * newest. The connection longest without news gives way instead.
 */
TEST_F(Peer, ConnectionsThatSayNothingGiveWay)
{
	struct peer_server_limits limits = patient();
	std::vector<int> fds;

	limits.connections = 4;
	open(limits);
	for (int i = 0; i < 8; i++)
		fds.push_back(connect_raw());
	expect_served();
	EXPECT_EQ(4u, metric_value(metric_gauge("lilacfield_peer_connections",
						"", NULL)));
	for (int fd : fds)
		close(fd);
}

/* Large calls that stop short are bounded together, not only one by one. */
TEST_F(Peer, CallsUnderWayAreBoundedTogether)
{
	struct peer_server_limits limits = patient();
	std::string part(1 << 20, 'p');
	std::vector<int> fds;

	limits.held_bytes = 2 << 20;
	open(limits);
	for (int i = 0; i < 4; i++) {
		std::string bytes = numbers({ 0x80000000u + (3 << 20) }) + part;
		size_t sent = 0;
		ssize_t length;

		fds.push_back(connect_raw());
		while (sent < bytes.size() &&
		       (length = send(fds[i], bytes.data() + sent,
				      bytes.size() - sent, MSG_NOSIGNAL)) > 0)
			sent += (size_t)length;
	}
	/* Two fit; each of the others passes the bound and is closed. */
	while (value_of("lilacfield_peer_refused_total") < 2)
		std::this_thread::yield();
	expect_served();
	for (int fd : fds)
		close(fd);
}

/*
 * A node restarts on the same port. Its peers' kept connections are dead, and
 * the first exchange after would fail without need.
 */
TEST_F(Peer, RestartedServerIsReachedByTheNextCall)
{
	struct peer_handler handler = { &node, fake_exchange, fake_config };
	uint16_t port;

	open();
	expect_served();
	port = peer_server_port(server);
	peer_server_close(server);
	server = peer_server_open("127.0.0.1", port, &handler, NULL);
	ASSERT_NE(nullptr, server);
	expect_served();
}

TEST_F(Peer, TakenPortIsAnError)
{
	struct peer_handler handler = { &node, fake_exchange, fake_config };
	GError *error = NULL;

	open();
	EXPECT_EQ(nullptr,
		  peer_server_open("127.0.0.1", peer_server_port(server),
				   &handler, &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_SYSTEM));
	g_clear_error(&error);
}

class BadAnswer : public testing::TestWithParam<bad_answer>
{
};

TEST_P(BadAnswer, IsUnreachable)
{
	const bad_answer &c = GetParam();
	struct peer_message message = make_message("asker", 1);
	struct sockaddr_in name = {};
	socklen_t size = sizeof(name);
	struct peer_message answer;
	struct peer_client *client;
	GError *error = NULL;
	std::thread server;
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	name.sin_family = AF_INET;
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(listener, (struct sockaddr *)&name, size));
	ASSERT_EQ(0, listen(listener, 1));
	ASSERT_EQ(0, getsockname(listener, (struct sockaddr *)&name, &size));
	server = std::thread([listener, &c]() {
		int fd = accept(listener, NULL, NULL);
		char call[4096];

		/* The client's verdict counts, whenever it gives up. */
		(void)recv(fd, call, sizeof(call), 0);
		(void)send(fd, c.bytes.data(), c.bytes.size(), MSG_NOSIGNAL);
		/* The client closes once it gives up. */
		while (!c.then_close && recv(fd, call, sizeof(call), 0) > 0)
			;
		close(fd);
	});
	client = peer_client_new("127.0.0.1", ntohs(name.sin_port),
				 c.then_close ? timeout_us : 50000);
	EXPECT_FALSE(peer_client_exchange(client, &message, &answer, &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_UNREACHABLE));
	g_clear_error(&error);
	server.join();
	peer_client_free(client);
	peer_message_release(&message);
	close(listener);
}

INSTANTIATE_TEST_SUITE_P(Cases, BadAnswer, testing::ValuesIn(bad_answers),
			 case_name<bad_answer>);

/* Every single wrong byte, and every cut, of a good call and a good answer. */
TEST(PeerCodec, WrongBytesDoNoHarm)
{
	struct peer_message message = make_message("asker", 2);
	GByteArray *records[] = { peer_encode_exchange_call(1, &message),
				  peer_encode_exchange_answer(1, &message) };
	const uint8_t flips[] = { 0x01, 0x80, 0xff };

	for (GByteArray *record : records) {
		/* Decoders take it without its mark. */
		g_byte_array_remove_range(record, 0, 4);
		for (guint at = 0; at < record->len; at++)
			for (uint8_t flip : flips) {
				record->data[at] ^= flip;
				try_decoders(record);
				record->data[at] ^= flip;
			}
		while (record->len) {
			g_byte_array_set_size(record, record->len - 1);
			EXPECT_EQ(0, try_decoders(record)) << record->len;
		}
		g_byte_array_free(record, TRUE);
	}
	peer_message_release(&message);
}

TEST(PeerClient, RefusedConnectionIsUnreachable)
{
	struct peer_client *client =
		peer_client_new("127.0.0.1", 1, timeout_us);
	GError *error = NULL;
	uint64_t version;
	char *text;

	EXPECT_FALSE(peer_client_config(client, 0, &version, &text, &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_UNREACHABLE));
	g_clear_error(&error);
	peer_client_free(client);
}
