/*
 * Servers that answer while the request is still being written, and end the
 * connection.
 */
#include "edge/edge_world.h"
#include "edge/unread_server.h"

namespace
{

enum end_by {
	BY_FIN,
	BY_RESET,
	BY_CLOSE, /* which resets it where the request wasn't all read */
	BY_FIN_AND_RESET,
};

enum end_at {
	BEFORE_REQUEST, /* answer and end are there when it is written */
	WITH_ANSWER, /* the end is seen together with the last bytes */
	AFTER_ANSWER,
	AS_ROOM_COMES, /* WITH_ANSWER, and the request can be written on */
};

const char *const by_names[] = { "ByFin", "ByReset", "ByClose",
				 "ByFinAndReset" };
const char *const at_names[] = { "BeforeRequest", "WithAnswer", "AfterAnswer",
				 "AsRoomComes" };

/* More than the kernel takes: the rest waits in the node. */
const size_t PENDING_BYTES = 12 * 1000 * 1000;

const size_t upload_sizes[] = { 0, UnreadServer::LARGE_BYTES, 1000 * 1000,
				PENDING_BYTES };

struct framing {
	const char *name;
	const char *head; /* behind the id and the seal */
	const char *body;
	bool until_close;
	size_t cut_bytes; /* of the body, that a partial answer lacks */
};

const framing framings[] = {
	{ "WithoutLength", "", "twelve bytes", true, 6 },
	{ "WithoutLengthAndBody", "", "", true, 0 },
	{ "Length", "Content-Length: 12\r\n", "twelve bytes", false, 6 },
	{ "Chunked", "Transfer-Encoding: chunked\r\n",
	  "c\r\ntwelve bytes\r\n0\r\n\r\n", false, 6 },
};

struct early_end {
	enum end_by by;
	enum end_at at;
	size_t upload_bytes;
};

class EarlyAnswerTest : public EdgeWorld,
			public ::testing::WithParamInterface<
				std::tuple<framing, enum end_by, enum end_at>>
{
      protected:
	/* Of all connections. */
	size_t unwritten_bytes()
	{
		size_t bytes = 0;

		uv_walk(
			&loop,
			[](uv_handle_t *handle, void *sum) {
				if (uv_handle_get_type(handle) == UV_TCP)
					*(size_t *)sum +=
						uv_stream_get_write_queue_size(
							(uv_stream_t *)handle);
			},
			&bytes);
		return bytes;
	}
	void wait_for_connection()
	{
		bool accepted = false;

		wait_for(
			[&] {
				return accepted = accepted ||
						  server.accept_next();
			},
			"connection");
	}
	void wait_for_head()
	{
		bool taken = false;
		bool found = false;

		/* A connection that comes later is a probe, not a request. */
		wait_for(
			[&] {
				taken = taken || server.accept_request();
				if (taken && !found)
					server.read_some(4096);
				found = found || server.got.find("\r\n\r\n") !=
							 std::string::npos;
				return found;
			},
			"head");
		server.got.clear();
	}
	/* A whole answer, so that the server doesn't count as failing. */
	void answer_one(const std::string &id)
	{
		auto caller = call(get(id, "/o/"));

		wait_for_head();
		server.write_answer(head_for(
			id, "Content-Length: 0\r\nConnection: close\r\n"));
		wait_for([&] { return is_whole(*caller); });
		/* Probes, whether it still accepts, that bring no request. */
		run_for(30);
		while (server.accept_next())
			;
	}
	void end_connection(enum end_by by)
	{
		if (by == BY_FIN || by == BY_FIN_AND_RESET)
			server.shut_down();
		if (by != BY_FIN)
			server.end(by != BY_CLOSE);
	}
	/* What the caller gets of an answer that is sent and ended so. */
	std::string answer_early(const std::string &id,
				 const std::string &answer,
				 const struct early_end &end)
	{
		auto caller = call(end.upload_bytes ?
					   post(id, "/o/", end.upload_bytes) :
					   get(id, "/o/"));

		if (end.at == BEFORE_REQUEST) {
			wait_for_connection();
		} else {
			wait_for_head();
			run_for(5);
			EXPECT_TRUE(end.upload_bytes < PENDING_BYTES ||
				    unwritten_bytes() > 0);
		}
		if (end.at == AS_ROOM_COMES)
			server.read_some(end.upload_bytes / 4);
		server.write_answer(answer);
		if (end.at == AFTER_ANSWER)
			run_for(10);
		end_connection(end.by);
		wait_for([&] { return is_whole(*caller); });
		server.end(false);
		return caller->got;
	}
	static void expect_failure(const std::string &got, enum end_at at)
	{
		/* Before a connection has opened, nothing has run. */
		if (at != BEFORE_REQUEST || status_of(got) != 503) {
			EXPECT_EQ(502, status_of(got)) << got;
		}
		EXPECT_EQ(std::string::npos, got.find("Seal")) << got;
		EXPECT_EQ(std::string::npos, got.find("twelve")) << got;
	}
	/* With each size of an upload; false once none gets through. */
	bool play(size_t cut_bytes)
	{
		const struct framing &c = std::get<0>(GetParam());
		struct early_end end = { std::get<1>(GetParam()),
					 std::get<2>(GetParam()), 0 };
		bool is_complete = !cut_bytes &&
				   (!c.until_close || end.by == BY_FIN);

		for (size_t bytes : upload_sizes) {
			std::string id = "a" + std::to_string(bytes);
			std::string answer = head_for(id, c.head) + c.body;

			/* All was read: no reset. */
			if (end.by == BY_CLOSE && !bytes)
				continue;
			SCOPED_TRACE(id);
			answer.resize(answer.size() - cut_bytes);
			end.upload_bytes = bytes;
			answer_one("k" + id);
			std::string got = answer_early(id, answer, end);
			if (!is_complete) {
				expect_failure(got, end.at);
			} else if (end.at != BEFORE_REQUEST ||
				   end.by == BY_FIN) {
				EXPECT_EQ(200, status_of(got)) << got;
			}
			if (status_of(got) == 200) {
				EXPECT_EQ(c.body[0] ? "twelve bytes" : "",
					  body_of(got));
			}
			/* The server counts as unreachable. */
			if (status_of(got) == 503)
				return false;
		}
		return true;
	}
	UnreadServer server;
};

/* Guards against a part of an answer that is delivered as a complete one. */
TEST_P(EarlyAnswerTest, ResetOrPartialOneIsNeverDelivered)
{
	const struct framing &c = std::get<0>(GetParam());

	max_body_bytes = std::to_string(PENDING_BYTES);
	put_routes(2);
	list_at("i-1", endpoint_at(server.port));
	start_node();
	bool goes_on = play(0);
	/* A close in order ends any answer without a length. */
	if (goes_on && c.cut_bytes &&
	    !(c.until_close && std::get<1>(GetParam()) == BY_FIN))
		play(c.cut_bytes);
	EXPECT_EQ(0u, metric_value(edge->stats.extra));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, EarlyAnswerTest,
	::testing::Combine(::testing::ValuesIn(framings),
			   ::testing::Values(BY_FIN, BY_RESET, BY_CLOSE,
					     BY_FIN_AND_RESET),
			   ::testing::Values(BEFORE_REQUEST, WITH_ANSWER,
					     AFTER_ANSWER, AS_ROOM_COMES)),
	[](const auto &info) {
		return std::string(std::get<0>(info.param).name) +
		       by_names[std::get<1>(info.param)] +
		       at_names[std::get<2>(info.param)];
	});

/* A link whose request is still being written, and which isn't read. */
class PausedLinkTest : public EdgeWorld
{
      protected:
	struct Owner {
		struct link link; /* first member */
		bool opened = false;
		bool answered = false;
		bool released = false;
		std::string cause;
	};
	static void on_opened(struct link *link)
	{
		((Owner *)link)->opened = true;
	}
	static void on_answered(struct link *link, struct message *answer)
	{
		((Owner *)link)->answered = true;
		message_free(answer);
	}
	static void on_ended(struct link *link, const char *cause)
	{
		((Owner *)link)->cause = cause;
		link_close(link);
	}
	static void on_released(struct link *link)
	{
		((Owner *)link)->released = true;
	}
	static constexpr struct link_vtable events = { on_opened, nullptr,
						       on_answered, on_ended,
						       on_released };
};

constexpr struct link_vtable PausedLinkTest::events;

/* Guards against a write's error that the end of an answer hides. */
TEST_F(PausedLinkTest, ErrorOfAWriteEndsTheAnswer)
{
	const struct message_limits limits = { 65536, 65536 };
	GByteArray *body = g_byte_array_new();
	UnreadServer server;
	struct endpoint at = endpoint_at(server.port);
	bool accepted = false;
	Owner owner = {};

	g_byte_array_set_size(body, PENDING_BYTES);
	ASSERT_EQ(0, link_open(&owner.link, &events, &loop, &at, &limits));
	wait_for([&] { return owner.opened; });
	link_send_with_body(&owner.link,
			    g_string_new(post("a1", "/", 0).c_str()), body,
			    false);
	g_byte_array_unref(body);
	wait_for([&] { return accepted |= server.accept_next(); });
	run_for(20);
	ASSERT_TRUE(owner.link.writing);
	uv_read_stop((uv_stream_t *)&owner.link.tcp);
	server.write_answer("HTTP/1.1 200 OK\r\n\r\npart");
	server.end(true);
	wait_for([&] { return owner.released; });
	EXPECT_FALSE(owner.answered);
	EXPECT_EQ("ECONNRESET", owner.cause);
}

} // namespace
