#include "core/admin.h"

#include <gtest/gtest.h>
#include <jansson.h>
#include <string.h>
#include <string>

static const char document[] = R"({
	"services": [
		{"name": "a", "class": "interactive", "timeout_us": 2000000},
		{"name": "b", "class": "background", "timeout_us": 2000000,
		 "stopped": true}],
	"places": [
		{"name": "p1", "region": "r1"},
		{"name": "p2", "region": "r2", "drained": true}],
	"nodes": [
		{"name": "n1", "place": "p1", "address": "127.0.0.1",
		 "http_port": 1, "peer_port": 2},
		{"name": "n2", "place": "p2", "address": "127.0.0.2",
		 "http_port": 1, "peer_port": 2}],
	"backends": [
		{"name": "a1", "service": "a", "place": "p1",
		 "address": "127.0.1.1", "port": 9, "slots": 3},
		{"name": "a2", "service": "a", "place": "p2",
		 "address": "127.0.1.2", "port": 9, "slots": 4},
		{"name": "b2", "service": "b", "place": "p2",
		 "address": "127.0.1.3", "port": 9, "slots": 5}],
	"shifts": [
		{"id": "s-1", "service": "a", "from": "p1", "to": "p2",
		 "share_permille": 600, "cap_per_s": 40}]
})";

/* Live state at n1 of p1: p2 has never reported, n2 is one version behind. */
struct live_fixture {
	struct admin_place_status places[2] = {};
	struct admin_backend_status backends[1] = {};
	struct admin_node_status nodes[2] = {};
	uint32_t shares[1] = { 250 };
	struct steer_choice choice = {};
	struct admin_live_state live = {};

	live_fixture()
	{
		places[0].view = { 0,	 0,    { 3, 2, 1, 9000, 700 },
				   150,	 9700, false,
				   false };
		places[1].view = { 1,	       55000, {},  UINT64_MAX,
				   UINT64_MAX, true,  true };
		backends[0].view = {
			"a1", 3, 2, 5, 80, 9000, false, false, true
		};
		nodes[0] = { 0, 8, 0, false };
		nodes[1] = { 1, 7, 120, true };
		choice = { STEER_HOME, 0, CONFIG_NONE, 9700, RESULT_OK, 0 };
		live.places = places;
		live.place_count = 2;
		live.backends = backends;
		live.backend_count = 1;
		live.nodes = nodes;
		live.node_count = 2;
		live.shift_shares_permille = shares;
		live.choice = &choice;
	}
};

static json_t *ask(const char *sentence, const struct admin_live_state *live)
{
	struct config *config =
		config_decode(document, strlen(document), nullptr);
	GError *error = nullptr;
	struct query query;
	char *text;
	json_t *root;

	config->version = 8;
	EXPECT_TRUE(query_parse(sentence, &query, nullptr)) << sentence;
	text = admin_answer_query(config, &query, live, &error);
	if (!text) {
		text = admin_answer_error((enum result)error->code,
					  error->message, 0);
		g_clear_error(&error);
	}
	root = json_loads(text, 0, nullptr);
	g_free(text);
	config_free(config);
	return root;
}

static std::string dump(const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	std::string copy = text ? text : "";

	g_free(text);
	return copy;
}

struct table_case {
	const char *sentence;
	const char *message;
	const char *rows; /* values in the order of the columns */
};

static const table_case known_cases[] = {
	{ "show places", "2 places",
	  R"([["p1","r1",false,1,1,3,3,2,1,150],)"
	  R"(["p2","r2",true,1,2,9,null,null,null,null]])" },
	{ "show nodes", "2 nodes",
	  R"([["n1","p1","127.0.0.1",1,2,false,false,8,0],)"
	  R"(["n2","p2","127.0.0.2",1,2,false,true,7,120]])" },
	{ "show backends of a", "2 backend servers",
	  R"([["a1","a","p1","127.0.1.1",9,3,false,3,2,5,9000,false,false,)"
	  R"(true,80],["a2","a","p2","127.0.1.2",9,4,false,null,null,null,)"
	  R"(null,null,null,null,null]])" },
	{ "show backends of b in p2", "1 backend server",
	  R"([["b2","b","p2","127.0.1.3",9,5,false,null,null,null,null,)"
	  R"(null,null,null,null]])" },
	{ "show backends of b in p1", "0 backend servers", "[]" },
	{ "show services", "2 services",
	  R"([["a","interactive",2000000,false,2,7,3,2,1,150],)"
	  R"(["b","background",2000000,true,1,5,null,null,null,null]])" },
	{ "show shifts", "1 shift", R"([["s-1","a","p1","p2",600,250,40]])" },
	{ "show version", "version 8 is in force at 1 of 2 nodes",
	  R"([["n1","p1",8,true,0],["n2","p2",7,false,120]])" },
	{ "where a from p1", "home place p1 has headroom",
	  R"([["p1","r1",true,"home",9700,0,3,2,1,9000,700,150,false,false,)"
	  R"(0,[]],["p2","r2",false,null,null,55000,null,null,null,null,)"
	  R"(null,null,true,true,250,["s-1"]]])" },
	{ "where b from p1", "refused: the service is stopped",
	  R"([["p2","r2",false,null,null,null,null,null,null,null,null,null,)"
	  R"(true,null,0,[]]])" },
};

/* The same document at a node that has just started, without live state. */
static const table_case unknown_cases[] = {
	{ "show nodes", "2 nodes",
	  R"([["n1","p1","127.0.0.1",1,2,false,null,null,null],)"
	  R"(["n2","p2","127.0.0.2",1,2,false,null,null,null]])" },
	{ "show shifts", "1 shift", R"([["s-1","a","p1","p2",600,null,40]])" },
	{ "show version", "version 8 is in force at 0 of 2 nodes",
	  R"([["n1","p1",null,null,null],["n2","p2",null,null,null]])" },
};

/* The rows as lists in column order; checks that each row has all columns. */
static std::string row_values(const json_t *root)
{
	const json_t *columns = json_object_get(root, "columns");
	const json_t *rows = json_object_get(root, "rows");
	json_t *lists = json_array();
	std::string text;
	size_t i;
	size_t j;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		json_t *list = json_array();

		EXPECT_EQ(json_array_size(columns), json_object_size(row));
		for (j = 0; j < json_array_size(columns); j++) {
			const char *name =
				json_string_value(json_array_get(columns, j));

			json_array_append(list, json_object_get(row, name));
		}
		json_array_append_new(lists, list);
	}
	text = dump(lists);
	json_decref(lists);
	return text;
}

static void expect_table(const table_case &c,
			 const struct admin_live_state *live)
{
	json_t *root = ask(c.sentence, live);

	SCOPED_TRACE(c.sentence);
	EXPECT_EQ("0", dump(json_object_get(root, "result")));
	EXPECT_EQ("8", dump(json_object_get(root, "version")));
	EXPECT_STREQ(c.message,
		     json_string_value(json_object_get(root, "message")));
	EXPECT_EQ(c.rows, row_values(root));
	json_decref(root);
}

TEST(AdminTable, ShowsKnownValues)
{
	struct live_fixture fixture;

	for (const table_case &c : known_cases)
		expect_table(c, &fixture.live);
}

TEST(AdminTable, ShowsNullForUnknownValues)
{
	const struct admin_live_state nothing = {};

	for (const table_case &c : unknown_cases)
		expect_table(c, &nothing);
}

TEST(AdminWhere, NamesTheRuleBehindTheChoice)
{
	static const struct {
		struct steer_choice choice;
		const char *message;
	} cases[] = {
		{ { STEER_LEAST_TIME, 1, CONFIG_NONE, 1, RESULT_OK, 0 },
		  "home place p1 has no headroom; p2 has the least expected "
		  "time" },
		{ { STEER_SHIFT, 1, 0, 1, RESULT_OK, 0 },
		  "shift s-1 sends its share, 25.0% now, to p2" },
		{ { STEER_LAST_RESORT, 1, CONFIG_NONE, 1, RESULT_OK, 0 },
		  "no place is known to have headroom; p2 is tried" },
		{ { STEER_REFUSED, CONFIG_NONE, CONFIG_NONE, 0, RESULT_OVERLOAD,
		    500 },
		  "refused: overload; come back in 500 us" },
	};
	struct live_fixture fixture;

	for (const auto &c : cases) {
		json_t *root;

		fixture.choice = c.choice;
		root = ask("where a from p1", &fixture.live);
		EXPECT_STREQ(c.message, json_string_value(json_object_get(
						root, "message")));
		EXPECT_STREQ(steer_rule_name(c.choice.rule),
			     json_string_value(json_object_get(root, "rule")));
		json_decref(root);
	}
}

TEST(AdminTable, ErrorsNameTheUnknownEntity)
{
	static const struct {
		const char *sentence;
		const char *answer;
	} cases[] = {
		{ "where x from p1",
		  R"({"result":303,"name":"unknown-name","message":"no )"
		  R"(service is named 'x'"})" },
		{ "where a from x",
		  R"({"result":303,"name":"unknown-name","message":"no )"
		  R"(place is named 'x'"})" },
		{ "show backends in x",
		  R"({"result":303,"name":"unknown-name","message":"no )"
		  R"(place is named 'x'"})" },
		{ "where a from p1",
		  R"({"result":501,"name":"internal","message":"no choice )"
		  R"(was made for the question"})" },
	};
	const struct admin_live_state nothing = {};

	for (const auto &c : cases) {
		json_t *root = ask(c.sentence, &nothing);

		EXPECT_EQ(c.answer, dump(root));
		json_decref(root);
	}
}

TEST(AdminAnswer, HasTheExpectedMembers)
{
	static const struct {
		char *text;
		const char *want;
	} cases[] = {
		{ admin_answer_error(RESULT_OVERLOAD, "full", 7),
		  R"({"result":101,"name":"overload","message":"full",)"
		  R"("retry_after_us":7})" },
		{ admin_answer_error(RESULT_CONFLICT, "n\xff\"o", 0),
		  "{\"result\":302,\"name\":\"conflict\",\"message\":"
		  "\"n\xef\xbf\xbd\\\"o\"}" },
		{ admin_answer_command(9, "c-1", "done"),
		  R"({"result":0,"name":"ok","message":"done","id":"c-1",)"
		  R"("version":9})" },
	};

	for (const auto &c : cases) {
		EXPECT_STREQ(c.want, c.text);
		g_free(c.text);
	}
}

TEST(AdminRequest, IsParsedOrRejected)
{
	static const struct {
		std::string body;
		const char *message; /* empty: the body is valid */
	} cases[] = {
		{ R"({"sentence":"show places"})", "" },
		{ R"({"sentence":"load f","id":"c-1","expect":7,)"
		  R"("document":{"places":[]}})",
		  "" },
		{ "[]", "the body must be an object" },
		{ R"({"id":"c-1"})", "sentence: must be there" },
		{ R"({"sentence":7})",
		  "sentence: must be a text of at most 1024 bytes" },
		{ "{\"sentence\":\"" + std::string(1025, 'x') + "\"}",
		  "sentence: must be a text of at most 1024 bytes" },
		{ R"({"sentence":"x","id":"a b"})",
		  "id: must be 1 to 127 of A-Z a-z 0-9 . _ -" },
		{ R"({"sentence":"x","id":""})",
		  "id: must be 1 to 127 of A-Z a-z 0-9 . _ -" },
		{ R"({"sentence":"x","expect":-1})",
		  "expect: must be a version" },
		{ R"({"sentence":"x","expect":"7"})",
		  "expect: must be a version" },
		{ R"({"document":{},"sentence":"x","document2":{}})",
		  "only sentence, id, expect and document are known" },
		{ R"({"sentence":"x","document":"{}"})",
		  "document: must be an object" },
	};

	for (const auto &c : cases) {
		struct admin_request request;
		GError *error = nullptr;
		char *text;

		SCOPED_TRACE(c.body);
		if (!admin_request_parse(c.body.data(), c.body.size(), &request,
					 &error)) {
			EXPECT_STREQ(c.message, error->message);
			EXPECT_EQ(RESULT_BAD_REQUEST, error->code);
			g_clear_error(&error);
			continue;
		}
		EXPECT_STREQ(c.message, "");
		text = admin_request_format(&request, nullptr);
		EXPECT_EQ(c.body, text);
		g_free(text);
		admin_request_release(&request);
	}
}

TEST(AdminRequest, InvalidJsonIsReportedWithItsLine)
{
	struct admin_request request = {};
	char document[] = "{\n\"";
	GError *error = nullptr;

	request.document = document;
	EXPECT_FALSE(admin_request_format(&request, &error));
	EXPECT_EQ(RESULT_CONFIG_INVALID, error->code);
	EXPECT_TRUE(strstr(error->message, "line 2")) << error->message;
	g_clear_error(&error);

	EXPECT_FALSE(admin_request_parse("{\n\"", 3, &request, &error));
	EXPECT_EQ(RESULT_BAD_REQUEST, error->code);
	EXPECT_TRUE(strstr(error->message, "line 2")) << error->message;
	g_clear_error(&error);
}
