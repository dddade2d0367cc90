#include "core/admin.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <jansson.h>
#include <sstream>
#include <string.h>
#include <string>
#include <vector>

static std::string read_page(const char *name)
{
	std::ifstream file(std::string(SOURCE_DIR "/docs/") + name);
	std::stringstream page;

	page << file.rdbuf();
	return page.str();
}

/* The text between the first start and the next end; empty if no start. */
static std::string between(const std::string &page, const std::string &start,
			   const std::string &end)
{
	size_t from = page.find(start);

	if (from == std::string::npos)
		return "";
	from += start.size();
	return page.substr(from, page.find(end, from) - from);
}

/* The texts in backticks, in order. */
static std::vector<std::string> quoted(const std::string &text)
{
	std::vector<std::string> words;
	size_t at = 0;

	while ((at = text.find('`', at)) != std::string::npos) {
		size_t end = text.find('`', at + 1);

		words.push_back(text.substr(at + 1, end - at - 1));
		at = end + 1;
	}
	return words;
}

/* The example document of docs/CONFIG.md. */
static std::string example(void)
{
	return between(read_page("CONFIG.md"), "```json\n", "```");
}

/* Operators copy the example document, so it must be valid and complete. */
TEST(ConfigPage, ExampleIsValidAndHasEveryMember)
{
	std::string text = example();
	GError *error = nullptr;
	struct config *config = config_decode(text.data(), text.size(), &error);

	ASSERT_NE(nullptr, config) << error->message;
	char *encoded = config_encode(config);
	json_t *page = json_loads(text.c_str(), 0, nullptr);
	json_t *again = json_loads(encoded, 0, nullptr);
	const char *list;
	json_t *items;

	EXPECT_EQ(json_object_size(again), json_object_size(page));
	json_object_foreach (again, list, items) {
		json_t *item = json_array_get(items, 0);
		json_t *shown = json_array_get(json_object_get(page, list), 0);
		const char *member;
		json_t *value;

		json_object_foreach (item, member, value)
			EXPECT_TRUE(json_object_get(shown, member) ||
				    json_is_false(value) ||
				    !json_integer_value(value))
				<< list << "." << member;
	}
	json_decref(again);
	json_decref(page);
	g_free(encoded);
	config_free(config);
}

TEST(ConfigPage, ExampleCanBeLoaded)
{
	std::string text = example();
	GError *error = nullptr;
	struct config *config =
		query_load(nullptr, text.data(), text.size(), "c-2", &error);

	ASSERT_NE(nullptr, config) << error->message;
	config_free(config);
}

/* The columns of the answer to a query. */
static std::vector<std::string> columns_of(const char *sentence)
{
	std::string text = example();
	struct config *config =
		config_decode(text.data(), text.size(), nullptr);
	struct steer_choice choice = {};
	struct admin_live_state live = {};
	struct query query;
	std::vector<std::string> columns;

	choice.rule = STEER_REFUSED;
	live.choice = &choice;
	EXPECT_TRUE(query_parse(sentence, &query, nullptr));
	char *answer = admin_answer_query(config, &query, &live, nullptr);
	json_t *root = json_loads(answer, 0, nullptr);
	size_t i;
	json_t *name;

	json_array_foreach (json_object_get(root, "columns"), i, name)
		columns.push_back(json_string_value(name));
	json_decref(root);
	g_free(answer);
	config_free(config);
	return columns;
}

TEST(ApiPage, HasTheColumnsOfEachTableInOrder)
{
	static const char *const tables[] = { "show places",   "show nodes",
					      "show backends", "show services",
					      "show shifts",   "show version" };
	std::string page = read_page("API.md");

	for (const char *table : tables) {
		std::string start = std::string("\n| `") + table + "` |";
		std::vector<std::string> shown =
			quoted(between(page, start, "\n"));

		/* "version" is in the description, it is no column. */
		if (!strcmp(table, "show version"))
			shown.erase(std::find(shown.begin(), shown.end(),
					      "version"));
		EXPECT_EQ(columns_of(table), shown) << table;
	}
}

TEST(ApiPage, HasTheColumnsOfWhere)
{
	std::string table = between(read_page("API.md"),
				    "| column | |\n| --- | --- |\n", "\n\n");
	std::stringstream rows(table);
	std::vector<std::string> shown;
	std::string row;

	while (std::getline(rows, row))
		for (const std::string &name :
		     quoted(row.substr(0, row.find(" | "))))
			shown.push_back(name);
	EXPECT_EQ(columns_of("where svc-historia from central-1"), shown);
}

/* The sentences are in the first column of the page's tables. */
TEST(LanguagePage, ItsSentencesAreValid)
{
	std::stringstream page(read_page("LANGUAGE.md"));
	std::string line;
	int read = 0;

	while (std::getline(page, line)) {
		if (line.compare(0, 3, "| `") != 0)
			continue;
		for (const std::string &sentence :
		     quoted(line.substr(0, line.find(" | ")))) {
			GError *error = nullptr;
			struct query query;

			if (sentence == "undrain …")
				continue;
			EXPECT_TRUE(
				query_parse(sentence.c_str(), &query, &error))
				<< sentence << ": "
				<< (error ? error->message : "");
			g_clear_error(&error);
			read++;
		}
	}
	EXPECT_GE(read, 15);
}
