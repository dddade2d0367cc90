/*
 * Backend servers that send without end: heads, interim responses, trailers,
 * framing, bodies, bytes that are no HTTP. Unbounded, each holds a connection
 * until its request's deadline and grows the node's memory.
 */
#include "edge/edge_world.h"

#include <malloc.h>

#include "edge/endless_server.h"

namespace
{

const struct message_limits limits = { ANSWER_HEAD_MAX_BYTES,
				       ANSWER_BODY_MAX_BYTES };

/* One read of a connection. */
const size_t READ_BYTES = 32 * 1024;

class EndlessHeadReaderTest : public ::testing::TestWithParam<endless_stream>
{
};

/* Bytes of a head are counted over all of its parts, also those not stored. */
TEST_P(EndlessHeadReaderTest, EndsWithinTheBoundOfAHead)
{
	const std::string piece =
		repeat(GetParam().piece, READ_BYTES / GetParam().piece.size());
	std::string bytes = GetParam().begin;
	struct message_reader reader;
	enum message_state state = MESSAGE_PARTIAL;
	size_t fed = 0;

	message_reader_init(&reader, HTTP_RESPONSE, &limits);
	while (state == MESSAGE_PARTIAL && fed < 64 * limits.head_bytes) {
		size_t used = 0;

		if (!bytes.empty())
			state = message_reader_feed(&reader, bytes.data(),
						    bytes.size(), &used);
		fed += bytes.size();
		bytes = piece;
	}
	EXPECT_TRUE(state == MESSAGE_HEAD_TOO_LARGE ||
		    state == MESSAGE_MALFORMED)
		<< state;
	EXPECT_LE(fed, limits.head_bytes + 4096 + 2 * READ_BYTES);
	message_reader_release(&reader);
}

INSTANTIATE_TEST_SUITE_P(Cases, EndlessHeadReaderTest,
			 ::testing::ValuesIn(endless_heads),
			 [](const auto &info) { return info.param.name; });

struct small_chunks_case {
	const char *name;
	enum http_parser_type type;
	const char *begin;
};

const small_chunks_case small_chunks_cases[] = {
	{ "Response", HTTP_RESPONSE, CHUNKED },
	{ "Request", HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" },
};

class SmallChunksTest : public ::testing::TestWithParam<small_chunks_case>
{
};

/* The framing of a proper body is no head, in however small chunks it comes. */
TEST_P(SmallChunksTest, WholeBodyIsRead)
{
	const std::string bytes = GetParam().begin +
				  repeat("1\r\nx\r\n", 200 * 1000) +
				  "0\r\n\r\n";
	struct message_reader reader;
	size_t used = 0;

	message_reader_init(&reader, GetParam().type, &limits);
	EXPECT_EQ(MESSAGE_COMPLETE, message_reader_feed(&reader, bytes.data(),
							bytes.size(), &used));
	EXPECT_EQ(bytes.size(), used);
	EXPECT_EQ(200u * 1000, reader.message->body->len);
	message_reader_release(&reader);
}

INSTANTIATE_TEST_SUITE_P(Cases, SmallChunksTest,
			 ::testing::ValuesIn(small_chunks_cases),
			 [](const auto &info) { return info.param.name; });

class EndlessStreamTest : public EdgeWorld,
			  public ::testing::WithParamInterface<endless_stream>
{
      protected:
	static const int CALLERS = 100;

	void SetUp() override
	{
		EdgeWorld::SetUp();
		timeout = "15000ms"; /* no request may last as long */
		put_routes(1);
		server = std::make_unique<EndlessServer>(&loop, GetParam());
		list_server("e-1", server->port);
	}
	void TearDown() override
	{
		callers.clear();
		server.reset();
		EdgeWorld::TearDown();
	}
	void list_server(const std::string &id, uint16_t port)
	{
		const std::string text =
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:" +
			std::to_string(port) +
			"\",\"zone\":\"d1\",\"slots\":400,\"state\":\"ready\","
			"\"cold_left\":\"0ms\"}";

		store_stand_put(store, "servers", id.c_str(), text.c_str());
	}
	static size_t allocated_bytes()
	{
		struct mallinfo2 info = mallinfo2();

		return info.uordblks + info.hblkhd;
	}
	bool all_have_ended()
	{
		peak_bytes = std::max(peak_bytes, allocated_bytes());
		for (auto &caller : callers)
			if (!is_whole(*caller))
				return false;
		return true;
	}
	void send_all(const std::string &path)
	{
		for (int i = 0; i < CALLERS; i++)
			callers.push_back(
				call(get("a" + std::to_string(i), path)));
	}
	/* Sends all requests at once and waits for their ends. */
	void call_all(const std::string &path)
	{
		size_t before_bytes = allocated_bytes();

		send_all(path);
		wait_for([&] { return all_have_ended(); }, "all have ended");
		grown_bytes = peak_bytes - std::min(peak_bytes, before_bytes);
	}
	std::unique_ptr<EndlessServer> server;
	std::vector<std::unique_ptr<RawCaller>> callers;
	size_t peak_bytes = 0;
	size_t grown_bytes = 0;
};

class EndlessHeadTest : public EndlessStreamTest
{
};

TEST_P(EndlessHeadTest, EachRequestEndsAtOnceInBoundedMemory)
{
	start_node();
	uint64_t began_us = edge_now_us(edge);
	call_all("/o/");
	EXPECT_LT(edge_now_us(edge) - began_us, 8000000u);
	for (auto &caller : callers)
		EXPECT_EQ(502, status_of(caller->got)) << caller->got;
	/* A head's text grows by doubling. */
	EXPECT_LT(grown_bytes, CALLERS * (2 * limits.head_bytes + 16 * 1024));
	EXPECT_GT(backend_table_find(edge->backends, "e-1")->shun_until_us, 0u);
	EXPECT_EQ((size_t)CALLERS, server->streams());
	wait_for([&] { return server->open() == 0; }, "connections are closed");
}

TEST_P(EndlessHeadTest, AnIdempotentRequestIsTriedElsewhere)
{
	App &app = add_app("i-1", 20, "s", "d1", 4);

	start_node();
	for (int i = 0; i < 8; i++) {
		std::string id = "a" + std::to_string(i);
		std::string answer = answer_to(get(id, "/r/"));

		EXPECT_EQ(200, status_of(answer)) << answer;
		EXPECT_EQ(1u, app_stand_runs(app.stand, id.c_str()));
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, EndlessHeadTest,
			 ::testing::ValuesIn(endless_heads),
			 [](const auto &info) { return info.param.name; });

class ReusedConnectionTest : public EdgeWorld
{
};

/*
 * A reused connection may end because it was idle for too long, and then the
 * server isn't backed off from. It doesn't get bytes that are no HTTP by that.
 */
TEST_F(ReusedConnectionTest, ServerThatSendsGarbageCountsAsFailed)
{
	App &app = add_app("i-1");

	start_node();
	ASSERT_EQ(200, status_of(answer_to(get("a1", "/o/"))));
	ASSERT_EQ(1u,
		  backend_table_find(edge->backends, "i-1")->idle_connections);
	app_stand_set_fault(app.stand, APP_SPOILED);
	EXPECT_EQ(502, status_of(answer_to(get("a2", "/o/"))));
	EXPECT_GT(backend_table_find(edge->backends, "i-1")->failures, 0);
}

class EndlessBodyTest : public EndlessStreamTest
{
};

TEST_P(EndlessBodyTest, IsNotDeliveredInPart)
{
	start_node();
	std::string answer = answer_to(get("a1", "/o/"));
	EXPECT_EQ(502, status_of(answer)) << answer.substr(0, 200);
	EXPECT_GT(backend_table_find(edge->backends, "e-1")->failures, 0);
	wait_for([&] { return server->open() == 0; }, "connection is closed");
}

/*
 * A body without a length may be a proper one, up to its bound: 100 of these at
 * once would take 800 MB.
 */
TEST_P(EndlessBodyTest, ManyAtOnceAreHeldInBoundedMemory)
{
	timeout = "4000ms";
	put_routes(2);
	held_bytes = 2 * 1024 * 1024;
	start_node();
	call_all("/o/");
	for (auto &caller : callers) {
		int status = status_of(caller->got);

		EXPECT_TRUE(status == 502 || status == 504) << status;
	}
	EXPECT_GT(edge->bytes.dropped, 0u);
	EXPECT_GT(backend_table_find(edge->backends, "e-1")->failures, 0);
	/* Buffers grow by doubling, and are copied as they do. */
	EXPECT_LT(grown_bytes, 3 * (held_bytes + CALLERS * (BYTE_ALLOWANCE +
							    BYTE_READ_MAX)));
	wait_for([&] { return server->open() == 0; }, "connections are closed");
	EXPECT_EQ(0u, edge->bytes.drawn_bytes);
}

TEST_P(EndlessBodyTest, DroppedOneIsTriedElsewhere)
{
	held_bytes = 1024 * 1024;
	add_app("i-1", 20, "s", "d1", 4);
	start_node();
	for (int i = 0; i < 4; i++) {
		std::string answer =
			answer_to(get("a" + std::to_string(i), "/r/"));

		EXPECT_EQ(200, status_of(answer)) << answer.substr(0, 200);
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, EndlessBodyTest,
			 ::testing::ValuesIn(endless_bodies),
			 [](const auto &info) { return info.param.name; });

class EndlessBesideOthersTest : public EndlessStreamTest
{
};

/* Guards against clients of other servers that pay for endless answers. */
TEST_P(EndlessBesideOthersTest, OtherServicesAnswerAtOnce)
{
	extra_routes = ROUTE_TO_T;
	put_routes(2);
	held_bytes = 2 * 1024 * 1024;
	add_app("i-2", 10, "t", "d1", 50);
	start_node();
	send_all("/o/");
	for (int i = 0; i < 10; i++) {
		std::string id = "b" + std::to_string(i);
		uint64_t began_us = edge_now_us(edge);

		EXPECT_EQ(200, status_of(answer_to(get(id, "/t/"))));
		EXPECT_LT(edge_now_us(edge) - began_us, 600000u);
	}
}

INSTANTIATE_TEST_SUITE_P(Heads, EndlessBesideOthersTest,
			 ::testing::ValuesIn(endless_heads),
			 [](const auto &info) { return info.param.name; });
INSTANTIATE_TEST_SUITE_P(Bodies, EndlessBesideOthersTest,
			 ::testing::ValuesIn(endless_bodies),
			 [](const auto &info) { return info.param.name; });

} // namespace
