/*
 * Servers whose answers are no HTTP/1.1 by RFC 9110 and 9112, beside unusual
 * ones that are.
 */
#include "edge/edge_world.h"
#include "edge/unread_server.h"

namespace
{

#define IDS                             \
	"Lilacfield-Attempt-Id: a1\r\n" \
	"Lilacfield-Response-Seal: s\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\n" IDS
#define FOUR "Content-Length: 4\r\n\r\nbody"
#define IN_CHUNKS OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define LAST_CHUNK "4\r\nbody\r\n0\r\n"

/* Bytes that may have a NUL. */
template <size_t size> std::string bytes(const char (&text)[size])
{
	return std::string(text, size - 1);
}

class AnswerTest : public EdgeWorld
{
      protected:
	/* Sends a request, of which the node's first try is at i-1. */
	std::unique_ptr<RawCaller> call_server(const std::string &request)
	{
		list_at("i-1", endpoint_at(server.port));
		start_node();
		auto caller = call(request);
		wait_for([this] { return server.take_head(); }, "request");
		return caller;
	}
	void add_sound_server()
	{
		add_app("i-2");
		wait_for([this] {
			return backend_table_find(edge->backends, "i-2");
		});
	}
	UnreadServer server;
};

struct broken_case {
	const char *name;
	std::string answer;
	bool ends; /* the server closes the connection in order */
};

void PrintTo(const broken_case &c, std::ostream *out)
{
	*out << c.name;
}

const std::vector<broken_case> broken_cases = {
	/* status line */
	{ "Status000", "HTTP/1.1 000 OK\r\n" IDS FOUR, false },
	{ "Status000WithoutLength", "HTTP/1.1 000 OK\r\n" IDS "\r\nbody",
	  true },
	{ "Status0", "HTTP/1.1 0 OK\r\n" IDS FOUR, false },
	{ "Status20", "HTTP/1.1 20 OK\r\n" IDS FOUR, false },
	{ "Status099", "HTTP/1.1 099 OK\r\n" IDS FOUR, false },
	{ "Status0200", "HTTP/1.1 0200 OK\r\n" IDS FOUR, false },
	{ "Status2000", "HTTP/1.1 2000 OK\r\n" IDS FOUR, false },
	{ "Status600", "HTTP/1.1 600 OK\r\n" IDS FOUR, false },
	{ "Status999", "HTTP/1.1 999 OK\r\n" IDS FOUR, false },
	{ "StatusSigned", "HTTP/1.1 +200 OK\r\n" IDS FOUR, false },
	{ "StatusNoNumber", "HTTP/1.1 2x0 OK\r\n" IDS FOUR, false },
	{ "StatusWithTail", "HTTP/1.1 200OK\r\n" IDS FOUR, false },
	{ "StatusMissing", "HTTP/1.1 OK\r\n" IDS FOUR, false },
	{ "Version09", "HTTP/0.9 200 OK\r\n" IDS FOUR, false },
	{ "Version20", "HTTP/2.0 200 OK\r\n" IDS FOUR, false },
	{ "Version110", "HTTP/1.10 200 OK\r\n" IDS FOUR, false },
	{ "VersionWithoutMinor", "HTTP/1 200 OK\r\n" IDS FOUR, false },
	{ "VersionInLowerCase", "http/1.1 200 OK\r\n" IDS FOUR, false },
	{ "OtherProtocol", "ICY 200 OK\r\n" IDS FOUR, false },
	{ "ReasonWithNul", bytes("HTTP/1.1 200 O\0K\r\n" IDS FOUR), false },
	{ "ReasonWithControl", "HTTP/1.1 200 O\x01K\r\n" IDS FOUR, false },
	{ "ReasonWithBareCr", "HTTP/1.1 200 OK\rX: y\r\n" IDS FOUR, false },
	{ "EmptyLineFirst", "\r\n" OK_HEAD FOUR, false },
	{ "BlankFirst", " " OK_HEAD FOUR, false },
	/* names of fields */
	{ "NameWithBlank", OK_HEAD "X Name: y\r\n" FOUR, false },
	{ "NameWithBlankFirst", "HTTP/1.1 200 OK\r\nX Name: y\r\n" IDS FOUR,
	  false },
	{ "NameWithBlankWithoutLength", OK_HEAD "X Name: y\r\n\r\nbody", true },
	{ "BlankBeforeColon", OK_HEAD "X-Name : y\r\n" FOUR, false },
	{ "TabBeforeColon", OK_HEAD "X-Name\t: y\r\n" FOUR, false },
	{ "BlankInLength", OK_HEAD "Content Length: 2\r\n\r\nbody", true },
	{ "BlankBehindLength", OK_HEAD "Content-Length : 2\r\n\r\nbody", true },
	{ "BlankBehindCoding",
	  OK_HEAD "Transfer-Encoding : chunked\r\n\r\n" LAST_CHUNK "\r\n",
	  false },
	{ "BlankBehindCodingBesideLength",
	  OK_HEAD
	  "Transfer-Encoding : chunked\r\nContent-Length: 17\r\n\r\n" LAST_CHUNK
	  "\r\n",
	  false },
	{ "BlankBeforeFirstName", "HTTP/1.1 200 OK\r\n X-Name: y\r\n" IDS FOUR,
	  false },
	{ "NameWithControl", OK_HEAD "X\x01Name: y\r\n" FOUR, false },
	{ "NameWithNul", bytes(OK_HEAD "X\0Name: y\r\n" FOUR), false },
	{ "NameWithDelete", OK_HEAD "X\x7fName: y\r\n" FOUR, false },
	{ "NameWithBareCr", OK_HEAD "X\rName: y\r\n" FOUR, false },
	{ "NameWithObsText", OK_HEAD "X\xe9Name: y\r\n" FOUR, false },
	{ "NameInBrackets", OK_HEAD "(X-Name): y\r\n" FOUR, false },
	{ "NameMissing", OK_HEAD ": y\r\n" FOUR, false },
	{ "ColonMissing", OK_HEAD "X-Name\r\n" FOUR, false },
	/* values of fields */
	{ "ValueWithNul", bytes(OK_HEAD "X-Name: y\0z\r\n" FOUR), false },
	{ "ValueWithControl", OK_HEAD "X-Name: y\x01z\r\n" FOUR, false },
	{ "ValueOfControl", OK_HEAD "X-Name: \x01\r\n" FOUR, false },
	{ "ValueWithDelete", OK_HEAD "X-Name: y\x7fz\r\n" FOUR, false },
	{ "ValueWithBareCr", OK_HEAD "X-Name: y\rz: 1\r\n" FOUR, false },
	{ "ValueFolded", OK_HEAD "X-Name: y\r\n z\r\n" FOUR, false },
	{ "ValueFoldedByTab", OK_HEAD "X-Name: y\r\n\tz\r\n" FOUR, false },
	{ "LengthFolded", OK_HEAD "Content-Length:\r\n 4\r\n\r\nbody", false },
	/* length */
	{ "LengthTwice", OK_HEAD "Content-Length: 2\r\n" FOUR, false },
	{ "LengthInList", OK_HEAD "Content-Length: 4, 4\r\n\r\nbody", false },
	{ "LengthSigned", OK_HEAD "Content-Length: +4\r\n\r\nbody", false },
	{ "LengthNegative", OK_HEAD "Content-Length: -4\r\n\r\nbody", false },
	{ "LengthInHex", OK_HEAD "Content-Length: 0x4\r\n\r\nbody", false },
	{ "LengthWithTail", OK_HEAD "Content-Length: 4a\r\n\r\nbody", false },
	{ "LengthsByBlank", OK_HEAD "Content-Length: 4 4\r\n\r\nbody", false },
	{ "LengthEmpty", OK_HEAD "Content-Length: \r\n\r\nbody", true },
	{ "LengthOf65Bits",
	  OK_HEAD "Content-Length: 18446744073709551620\r\n\r\nbody", false },
	{ "LengthBesideChunks",
	  OK_HEAD
	  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" LAST_CHUNK
	  "\r\n",
	  false },
	/* codings */
	{ "CodingUnknown", OK_HEAD "Transfer-Encoding: gzip\r\n\r\nbody",
	  true },
	{ "CodingIdentity", OK_HEAD "Transfer-Encoding: identity\r\n\r\nbody",
	  true },
	{ "CodingBeforeChunked",
	  OK_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n" LAST_CHUNK "\r\n",
	  false },
	{ "CodingBehindChunked",
	  OK_HEAD "Transfer-Encoding: chunked, gzip\r\n\r\n" LAST_CHUNK "\r\n",
	  true },
	{ "CodingMisspelt",
	  OK_HEAD "Transfer-Encoding: xchunked\r\n\r\n" LAST_CHUNK "\r\n",
	  true },
	{ "CodingEmpty", OK_HEAD "Transfer-Encoding: \r\n\r\nbody", true },
	{ "CodingTwice",
	  OK_HEAD "Transfer-Encoding: chunked\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n" LAST_CHUNK "\r\n",
	  false },
	{ "CodingInVersion10",
	  "HTTP/1.0 200 OK\r\n" IDS
	  "Transfer-Encoding: chunked\r\n\r\n" LAST_CHUNK "\r\n",
	  true },
	/* chunks */
	{ "ChunkSizeMissing", IN_CHUNKS "\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeNoNumber", IN_CHUNKS "g\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeNegative", IN_CHUNKS "-4\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeWithPrefix", IN_CHUNKS "0x4\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeBehindBlank", IN_CHUNKS " 4\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeOf65Bits",
	  IN_CHUNKS "10000000000000004\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeWithTail", IN_CHUNKS "4 x\r\nbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeWithBareCr", IN_CHUNKS "4\rxbody\r\n0\r\n\r\n", false },
	{ "ChunkSizeByLf", IN_CHUNKS "4\nbody\r\n0\r\n\r\n", false },
	{ "ChunkExtensionWithLf", IN_CHUNKS "4;a\n\r\nbody\r\n0\r\n\r\n",
	  false },
	{ "ChunkExtensionWithNul",
	  bytes(IN_CHUNKS "4;a\0\r\nbody\r\n0\r\n\r\n"), false },
	{ "ChunkLongerThanItsSize", IN_CHUNKS "4\r\nbodyXY0\r\n\r\n", false },
	{ "ChunkThatEndsByLf", IN_CHUNKS "4\r\nbody\n\n0\r\n\r\n", false },
	{ "ChunksThatEndByBareCr", IN_CHUNKS LAST_CHUNK "\rX", false },
	/* trailers */
	{ "TrailerWithBlank", IN_CHUNKS LAST_CHUNK "X Name: y\r\n\r\n", false },
	{ "TrailerWithControl", IN_CHUNKS LAST_CHUNK "X\x01Name: y\r\n\r\n",
	  false },
	{ "TrailerWithControlInValue",
	  IN_CHUNKS LAST_CHUNK "X-Name: \x01\r\n\r\n", false },
	{ "TrailerFolded", IN_CHUNKS LAST_CHUNK "X-Name: y\r\n z\r\n\r\n",
	  false },
	{ "TrailerBehindBlank", IN_CHUNKS LAST_CHUNK " X-Name: y\r\n\r\n",
	  false },
	{ "TrailerWithoutColon", IN_CHUNKS LAST_CHUNK "X-Name\r\n\r\n", false },
	/* interim answers */
	{ "InterimWithBlankInName",
	  "HTTP/1.1 103 Early Hints\r\nX Name: y\r\n\r\n" OK_HEAD FOUR, false },
	{ "InterimWithControlInValue",
	  "HTTP/1.1 103 Early Hints\r\nX: \x01\r\n\r\n" OK_HEAD FOUR, false },
	{ "InterimOfVersion20", "HTTP/2.0 100 Continue\r\n\r\n" OK_HEAD FOUR,
	  false },
	{ "InterimOfStatus0100", "HTTP/1.1 0100 Continue\r\n\r\n" OK_HEAD FOUR,
	  false },
	{ "InterimThatIsTheLast", "HTTP/1.1 103 Early Hints\r\n" IDS "\r\n",
	  true },
	{ "BlankBehindInterim",
	  "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD "X Name: y\r\n" FOUR, false },
	{ "UnaskedUpgrade",
	  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
	  "Connection: upgrade\r\n\r\n" OK_HEAD FOUR,
	  false },
};

class BrokenAnswerTest : public AnswerTest,
			 public ::testing::WithParamInterface<broken_case>
{
      protected:
	void answer_it()
	{
		server.write_answer(GetParam().answer);
		if (GetParam().ends)
			server.end(false);
	}
};

/* Guards against bytes that are no answer and are delivered as one. */
TEST_P(BrokenAnswerTest, BecomesTheNodesOwn502)
{
	auto caller = call_server(get("a1", "/o/"));

	add_sound_server();
	answer_it();
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(502, status_of(caller->got)) << caller->got;
	EXPECT_EQ(std::string::npos, caller->got.find("Response-Seal"));
	EXPECT_EQ(std::string::npos, caller->got.find("X-Name"));
	EXPECT_EQ(std::string::npos, body_of(caller->got).find("body"));
	EXPECT_EQ(0u, runs_of("a1"));
	EXPECT_EQ(1u, metric_value(edge->stats.sent));
	EXPECT_GT(backend_table_find(edge->backends, "i-1")->failures, 0);
}

/* Guards against a caller that gets a 502 where another server can answer. */
TEST_P(BrokenAnswerTest, IdempotentRequestIsTriedElsewhere)
{
	auto caller = call_server(get("a1", "/r/"));

	add_sound_server();
	answer_it();
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got)) << caller->got;
	EXPECT_EQ("a1 by i-2", body_of(caller->got).substr(0, 9));
	EXPECT_EQ(1u, runs_of("a1"));
}

INSTANTIATE_TEST_SUITE_P(Cases, BrokenAnswerTest,
			 ::testing::ValuesIn(broken_cases),
			 [](const auto &info) { return info.param.name; });

struct unusual_case {
	const char *name;
	std::string answer;
	bool ends; /* the server closes the connection in order */
	int status;
	std::string body;
	std::string head; /* a part of what the caller gets */
	const char *method = "GET";
};

void PrintTo(const unusual_case &c, std::ostream *out)
{
	*out << c.name;
}

#define SEAL "Lilacfield-Response-Seal: s\r\n"

const std::vector<unusual_case> unusual_cases = {
	{ "WithoutReason", "HTTP/1.1 200 \r\n" IDS FOUR, false, 200, "body",
	  SEAL },
	{ "WithoutReasonAndBlank", "HTTP/1.1 200\r\n" IDS FOUR, false, 200,
	  "body", SEAL },
	{ "ReasonOfObsText", "HTTP/1.1 200 \xe9\t!\r\n" IDS FOUR, false, 200,
	  "body", SEAL },
	{ "Version10", "HTTP/1.0 200 OK\r\n" IDS FOUR, true, 200, "body",
	  SEAL },
	{ "Version10WithoutLength", "HTTP/1.0 200 OK\r\n" IDS "\r\nbody", true,
	  200, "body", SEAL },
	{ "Version12", "HTTP/1.2 200 OK\r\n" IDS FOUR, false, 200, "body",
	  SEAL },
	{ "Status299", "HTTP/1.1 299 OK\r\n" IDS FOUR, false, 299, "body",
	  SEAL },
	{ "Status499", "HTTP/1.1 499 X\r\n" IDS FOUR, false, 499, "body",
	  SEAL },
	{ "Status599", "HTTP/1.1 599 X\r\n" IDS FOUR, false, 599, "body",
	  SEAL },
	{ "NameOfAllCharacters", OK_HEAD "!#$%&'*+-.^_`|~09aZ: y\r\n" FOUR,
	  false, 200, "body", "!#$%&'*+-.^_`|~09aZ: y\r\n" },
	{ "ValueOfObsText", OK_HEAD "X: \xe9\xff\x80\r\n" FOUR, false, 200,
	  "body", "X: \xe9\xff\x80\r\n" },
	{ "ValueWithTab", OK_HEAD "X: y\tz\r\n" FOUR, false, 200, "body",
	  "X: y\tz\r\n" },
	{ "ValueBetweenBlanks", OK_HEAD "X: \t y \t\r\n" FOUR, false, 200,
	  "body", "X: y\r\n" },
	{ "ValueEmpty", OK_HEAD "X:\r\n" FOUR, false, 200, "body", "X: \r\n" },
	{ "ValueWithColons", OK_HEAD "X::y: \"z\"\r\n" FOUR, false, 200, "body",
	  "X: :y: \"z\"\r\n" },
	{ "FieldTwice", OK_HEAD "X: y\r\nX: z\r\n" FOUR, false, 200, "body",
	  "X: y\r\nX: z\r\n" },
	{ "LengthInLowerCase", OK_HEAD "content-length:4\r\n\r\nbody", false,
	  200, "body", SEAL },
	{ "LengthWithZeros", OK_HEAD "Content-Length: 0004\r\n\r\nbody", false,
	  200, "body", SEAL },
	{ "LinesThatEndByLf",
	  "HTTP/1.1 200 OK\nLilacfield-Attempt-Id: a1\n"
	  "Lilacfield-Response-Seal: s\nContent-Length: 4\n\nbody",
	  false, 200, "body", SEAL },
	{ "WithoutLength", OK_HEAD "\r\nbody", true, 200, "body", SEAL },
	{ "WithoutLengthEmpty", OK_HEAD "\r\n", true, 200, "", SEAL },
	{ "CodingInUpperCase",
	  OK_HEAD "Transfer-Encoding: CHUNKED\r\n\r\n" LAST_CHUNK "\r\n", false,
	  200, "body", SEAL },
	{ "ChunksOfAllSizes",
	  IN_CHUNKS "0001\r\nb\r\n2 \r\nod\r\n1;a;b=\"c;d\" ; e=f\r\ny\r\n"
		    "000\r\n\r\n",
	  false, 200, "body", SEAL },
	{ "ChunkSizeInHex",
	  IN_CHUNKS "a\r\n0123456789\r\nB\r\n0123456789\n\r\n"
		    "0;last\r\n\r\n",
	  false, 200, "01234567890123456789\n", SEAL },
	{ "Trailer",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" IDS
	  "\r\n" LAST_CHUNK "X-End: yes\r\n\r\n",
	  false, 200, "body", SEAL },
	{ "TrailerOfObsText",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" IDS
	  "\r\n" LAST_CHUNK "X-End: \xe9\t!\r\nX-Two:\r\n\r\n",
	  false, 200, "body", SEAL },
	{ "TrailerNamedLikeAField",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" IDS
	  "\r\n" LAST_CHUNK "Content-Length: 1\r\n"
	  "Lilacfield-Attempt-Id: b\r\n\r\n",
	  false, 200, "body", SEAL },
	{ "Interim",
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
	  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK_HEAD FOUR,
	  false, 200, "body", SEAL },
	{ "InterimWithLength",
	  "HTTP/1.1 199 X\r\nContent-Length: 9\r\n\r\n" OK_HEAD FOUR, false,
	  200, "body", SEAL },
	{ "NoContent", "HTTP/1.1 204 No Content\r\n" IDS "\r\n", false, 204, "",
	  SEAL },
	{ "NotModified",
	  "HTTP/1.1 304 Not Modified\r\n" IDS "Content-Length: 9\r\n\r\n",
	  false, 304, "", SEAL },
	{ "Head", OK_HEAD "Content-Length: 9\r\n\r\n", false, 200, "",
	  "Content-Length: 9\r\n", "HEAD" },
	{ "HeadInChunks", IN_CHUNKS, false, 200, "", SEAL, "HEAD" },
};

class UnusualAnswerTest : public AnswerTest,
			  public ::testing::WithParamInterface<unusual_case>
{
};

/* Guards against sound answers that are refused. */
TEST_P(UnusualAnswerTest, IsDelivered)
{
	const unusual_case &c = GetParam();
	auto caller = call_server(get("a1", "/o/", "", c.method));

	server.write_answer(c.answer);
	run_for(20);
	if (c.ends)
		server.end(false);
	wait_for([&] {
		return caller->got.find("\r\n\r\n") != std::string::npos &&
		       (strcmp(c.method, "GET") || c.status == 304 ||
			c.status == 204 || is_whole(*caller));
	});
	EXPECT_EQ(c.status, status_of(caller->got)) << caller->got;
	EXPECT_EQ(c.body, body_of(caller->got));
	EXPECT_NE(std::string::npos, caller->got.find(c.head)) << caller->got;
	EXPECT_EQ(std::string::npos, caller->got.find("X-End"));
}

INSTANTIATE_TEST_SUITE_P(Cases, UnusualAnswerTest,
			 ::testing::ValuesIn(unusual_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
