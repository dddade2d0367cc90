#include "ctl/format.h"
#include "ctl/script.h"

#include <gtest/gtest.h>
#include <set>
#include <string.h>
#include <string>
#include <vector>

struct format_case {
	const char *body;
	const char *text;
	char *(*format)(const json_t *body);
};

TEST(Format, TablesAlignAndControlCharactersStayOut)
{
	static const format_case cases[] = {
		{ R"({"result":0,"message":"2 places","version":3,
		      "columns":["place","slots","up","shifts"],
		      "rows":[{"place":"p1","slots":10,"up":true,
			       "shifts":["a","b"]},
			      {"place":"long-one","slots":null,"up":false,
			       "shifts":[]}]})",
		  "place     slots  up   shifts\n"
		  "p1           10  yes  a,b\n"
		  "long-one      -  no   -\n"
		  "2 places\n",
		  format_answer },
		{ R"({"result":0,"message":"1 server","version":3,
		      "columns":["server","load"],
		      "rows":[{"server":"i-1","load":2.25}]})",
		  "server  load\n"
		  "i-1      2.2\n"
		  "1 server\n",
		  format_answer },
		{ R"({"result":0,"message":"3 parts","version":3,
		      "columns":["service","weight"],
		      "rows":[{"service":"a","weight":99.5},
			      {"service":"b","weight":0.04},
			      {"service":"c","weight":0.0}]})",
		  "service  weight\n"
		  "a          99.5\n"
		  "b          0.04\n"
		  "c           0.0\n"
		  "3 parts\n",
		  format_answer },
		{ R"({"result":0,"message":"0 shifts","version":3,
		      "columns":["shift","cap"],"rows":[]})",
		  "shift  cap\n0 shifts\n", format_answer },
		{ R"({"result":0,"message":"place p1 is drained","id":"c-1",
		      "version":9})",
		  "place p1 is drained (version 9, command c-1)\n",
		  format_answer },
		{ R"({"result":0,"message":"a\u001b[2Jb"})", "a?[2Jb\n",
		  format_answer },
		{ R"({"result":302,"name":"conflict","message":"no"})",
		  "conflict (302): no", format_error },
		{ R"({"result":101,"name":"overload","message":"full",
		      "retry_after_us":250000})",
		  "overload (101): full; come back in 250000 us",
		  format_error },
	};

	for (const format_case &c : cases) {
		json_t *body = json_loads(c.body, 0, nullptr);
		char *text;

		ASSERT_TRUE(body) << c.body;
		text = c.format(body);
		EXPECT_STREQ(c.text, text);
		g_free(text);
		json_decref(body);
	}
}

TEST(Script, JoinsWords)
{
	static const struct {
		const char *words[5];
		const char *sentence;
	} cases[] = {
		{ { "show", "places", nullptr }, "show places" },
		{ { "show places", nullptr }, "show places" },
		{ { "load", "my file.json", nullptr },
		  "load \"my file.json\"" },
		{ { nullptr }, "" },
	};

	for (const auto &c : cases) {
		char *sentence = script_join_words(c.words);

		EXPECT_STREQ(c.sentence, sentence);
		g_free(sentence);
	}
}

TEST(Script, ReadsOneSentenceALine)
{
	std::string text = "show places\n\n  \n# a remark\r\n\tshow nodes\r\n" +
			   std::string(5000, 'x') + "\nshow shifts";
	const std::vector<std::string> want = {
		"show places", "\tshow nodes",
		std::string(SCRIPT_LINE_SIZE - 1, 'x'), "show shifts"
	};
	FILE *stream = fmemopen(text.data(), text.size(), "r");
	char line[SCRIPT_LINE_SIZE];
	std::vector<std::string> got;
	struct query query;

	while (script_read_line(stream, line))
		got.emplace_back(line);
	fclose(stream);
	EXPECT_EQ(want, got);
	EXPECT_FALSE(query_parse(want[2].c_str(), &query, nullptr));
}

TEST(Script, NewIdsSuitTheDocument)
{
	char *one = script_new_id(nullptr);
	char *other = script_new_id(nullptr);

	EXPECT_TRUE(query_id_is_valid(one));
	EXPECT_STRNE(one, other);
	g_free(one);
	g_free(other);
}

/*
 * An operator's script fails half way, he corrects it and runs it again under
 * the same id. A corrected sentence that kept its id would be answered as taken
 * in before, with no effect: a drain is reported that never happened.
 */
TEST(Script, ChangedSentencesGetOtherIds)
{
	struct admin_request request = {};
	char document[] = "{}";
	std::set<std::string> ids;
	auto add = [&](uint32_t number) {
		char *id = script_line_id("w-7", number, &request);

		EXPECT_TRUE(query_id_is_valid(id)) << id;
		ids.insert(id);
		g_free(id);
	};

	g_strlcpy(request.sentence, "drain place p1", sizeof(request.sentence));
	add(1);
	add(1);
	EXPECT_EQ(1u, ids.size());
	add(2);
	g_strlcpy(request.sentence, "drain place p2", sizeof(request.sentence));
	add(1);
	request.document = document;
	add(1);
	EXPECT_EQ(4u, ids.size());
}
