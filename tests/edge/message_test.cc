/* Reading of requests and answers whose bytes arrive in any pieces. */
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "edge/message.h"

namespace
{

const struct message_limits limits = { 1000, 100 };

struct read_result {
	enum message_state state;
	size_t used;
	std::string text; /* as describe() formats it */
};

/* TARGET|STATUS|HEADERS|BODY, then |open and |keep where they apply. */
std::string describe(const struct message *message)
{
	GString *headers = g_string_new(nullptr);
	std::string text = message->target->str;

	message_copy_headers(message, nullptr, headers);
	text += "|" + std::to_string(message->status) + "|" + headers->str +
		"|" +
		std::string((const char *)message->body->data,
			    message->body->len) +
		(message->until_close ? "|open" : "") +
		(message->keep_alive ? "|keep" : "");
	g_string_free(headers, TRUE);
	return text;
}

/* Feed the bytes in pieces, cut at cuts; ends: then the connection's end. */
read_result read_in(enum http_parser_type type, const std::string &bytes,
		    const std::vector<size_t> &cuts, bool ends,
		    bool no_body = false)
{
	struct message_reader reader;
	read_result result = { MESSAGE_PARTIAL, 0, "" };
	size_t at = 0;

	message_reader_init(&reader, type, &limits);
	reader.no_body = no_body;
	for (size_t i = 0; i <= cuts.size(); i++) {
		size_t next = i < cuts.size() ? cuts[i] : bytes.size();
		size_t used = 0;

		if (next <= at || result.state != MESSAGE_PARTIAL)
			continue;
		result.state = message_reader_feed(&reader, bytes.data() + at,
						   next - at, &used);
		result.used += used;
		at = next;
	}
	if (ends && result.state == MESSAGE_PARTIAL) {
		size_t used = 0;

		result.state = message_reader_feed(&reader, nullptr, 0, &used);
	}
	if (result.state == MESSAGE_COMPLETE)
		result.text = describe(reader.message);
	message_reader_release(&reader);
	return result;
}

struct message_case {
	const char *name;
	enum http_parser_type type;
	std::string bytes;
	bool ends;
	enum message_state state;
	std::string text;
};

const std::vector<message_case> cases = {
	{ "Get", HTTP_REQUEST, "GET /a?b HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\n",
	  false, MESSAGE_COMPLETE, "/a?b|0|Host: h\r\nA: 1\r\n||keep" },
	{ "Post", HTTP_REQUEST,
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", false,
	  MESSAGE_COMPLETE, "/a|0|Host: h\r\n|abc|keep" },
	{ "Chunks", HTTP_REQUEST,
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
	  false, MESSAGE_COMPLETE, "/a|0|Host: h\r\n|abc|keep" },
	{ "HopHeadersGo", HTTP_REQUEST,
	  "GET / HTTP/1.1\r\nHost: h\r\nConnection: X-One, close\r\n"
	  "X-One: 1\r\nX-Two: 2\r\nTE: x\r\n\r\n",
	  false, MESSAGE_COMPLETE, "/|0|Host: h\r\nX-Two: 2\r\n|" },
	{ "TrailersGo", HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: 1\r\n\r\n"
	  "1\r\na\r\n0\r\nB: 2\r\n\r\n",
	  false, MESSAGE_COMPLETE, "/|0|A: 1\r\n|a|keep" },
	{ "EmptyLineBeforeIt", HTTP_REQUEST,
	  "\r\nGET / HTTP/1.1\r\nA: 1\r\n\r\n", false, MESSAGE_COMPLETE,
	  "/|0|A: 1\r\n||keep" },
	{ "BlankBehindCoding", HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n"
	  "1\r\na\r\n0\r\n\r\n",
	  false, MESSAGE_MALFORMED, "" },
	{ "CodingBeforeChunked", HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
	  "1\r\na\r\n0\r\n\r\n",
	  false, MESSAGE_MALFORMED, "" },
	{ "HalfAHead", HTTP_REQUEST, "GET / HTTP/1.1\r\nHost:", false,
	  MESSAGE_PARTIAL, "" },
	{ "HeadTooLarge", HTTP_REQUEST,
	  "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n", false,
	  MESSAGE_HEAD_TOO_LARGE, "" },
	{ "BodyTooLarge", HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", false,
	  MESSAGE_BODY_TOO_LARGE, "" },
	{ "ChunksTooLarge", HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
		  std::string(101, 'a') + "\r\n0\r\n\r\n",
	  false, MESSAGE_BODY_TOO_LARGE, "" },
	{ "Garbage", HTTP_REQUEST, "\x01\x02\r\n\r\n", false, MESSAGE_MALFORMED,
	  "" },
	{ "Length", HTTP_RESPONSE,
	  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false,
	  MESSAGE_COMPLETE, "|200||ab|keep" },
	{ "WhiteSpaceAroundAValue", HTTP_RESPONSE,
	  "HTTP/1.1 204 No Content\r\nA:  b c \t\r\nD: \t \r\n\r\n", false,
	  MESSAGE_COMPLETE, "|204|A: b c\r\nD: \r\n||keep" },
	{ "UntilClose", HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nA: 1\r\n\r\nab",
	  true, MESSAGE_COMPLETE, "|200|A: 1\r\n|ab|open" },
	{ "UntilCloseOpen", HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nab", false,
	  MESSAGE_PARTIAL, "" },
	{ "LengthCut", HTTP_RESPONSE,
	  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true,
	  MESSAGE_MALFORMED, "" },
	{ "ChunksCut", HTTP_RESPONSE,
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true,
	  MESSAGE_MALFORMED, "" },
	{ "Interim", HTTP_RESPONSE,
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", false,
	  MESSAGE_COMPLETE, "|204|||keep" },
	{ "NotModified", HTTP_RESPONSE,
	  "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", false,
	  MESSAGE_COMPLETE, "|304|||keep" },
};

TEST(MessageTest, ResultDoesNotDependOnHowBytesArrive)
{
	std::mt19937 random(7);

	for (const message_case &c : cases) {
		std::vector<size_t> each;

		for (size_t i = 1; i < c.bytes.size(); i++)
			each.push_back(i);
		read_result whole = read_in(c.type, c.bytes, {}, c.ends);
		read_result bytewise = read_in(c.type, c.bytes, each, c.ends);

		EXPECT_EQ(c.state, whole.state) << c.name;
		EXPECT_EQ(c.text, whole.text) << c.name;
		EXPECT_EQ(c.state, bytewise.state) << c.name;
		EXPECT_EQ(c.text, bytewise.text) << c.name;
		for (int round = 0; round < 20; round++) {
			std::vector<size_t> cuts;

			for (size_t i = 1; i < c.bytes.size(); i++)
				if (random() % 5 == 0)
					cuts.push_back(i);
			read_result cut =
				read_in(c.type, c.bytes, cuts, c.ends);
			EXPECT_EQ(c.state, cut.state) << c.name;
			EXPECT_EQ(c.text, cut.text) << c.name;
		}
	}
}

/* Guards against consuming bytes of the next message. */
TEST(MessageTest, StopsAtItsEnd)
{
	for (const message_case &c : cases) {
		if (c.state != MESSAGE_COMPLETE || c.ends)
			continue;
		read_result result = read_in(
			c.type, c.bytes + "GET /next HTTP/1.1\r\n", {}, false);
		EXPECT_EQ(c.bytes.size(), result.used) << c.name;
		EXPECT_EQ(c.text, result.text) << c.name;
	}
}

TEST(MessageTest, AnswerToHeadHasNoBody)
{
	read_result result =
		read_in(HTTP_RESPONSE,
			"HTTP/1.1 200 OK\r\nContent-Length: 50\r\nA: 1\r\n\r\n",
			{}, false, true);

	EXPECT_EQ(MESSAGE_COMPLETE, result.state);
	EXPECT_EQ("|200|A: 1\r\n||keep", result.text);
}

/* Guards against crashes, and reads past the end, on corrupted messages. */
TEST(MessageTest, RandomBytesAreHandled)
{
	std::mt19937 random(11);

	for (int round = 0; round < 20000; round++) {
		const message_case &c = cases[random() % cases.size()];
		std::string bytes = c.bytes;
		size_t changes = 1 + random() % 4;

		for (size_t i = 0; i < changes; i++)
			bytes[random() % bytes.size()] = (char)random();
		bytes.resize(1 + random() % bytes.size());
		read_result result = read_in(c.type, bytes,
					     { random() % bytes.size() }, true);
		EXPECT_LE(result.used, bytes.size());
	}
}

} // namespace
