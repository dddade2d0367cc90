/* Parsing of the platform's documents, including malformed ones. */
#include <gtest/gtest.h>

#include <string>

#include "core/route_table.h"
#include "platform/documents.h"
#include "platform/store.h"

namespace
{

struct backend_document_case {
	const char *name;
	std::string text;
	bool valid;
};

/* An entry with one field's value replaced, or left out if value is empty. */
std::string entry_with(const std::string &field, const std::string &value)
{
	const std::pair<const char *, const char *> fields[] = {
		{ "service", "\"s\"" },	  { "addr", "\"10.0.0.1:80\"" },
		{ "zone", "\"z\"" },	  { "slots", "4" },
		{ "state", "\"ready\"" },
	};
	std::string text = "{\"version\":\"v1\"";
	bool known = false;

	for (const auto &[name, usual] : fields) {
		bool is_it = field == name;

		known |= is_it;
		if (!is_it || !value.empty())
			text += std::string(",\"") + name +
				"\":" + (is_it ? value : usual);
	}
	if (!known)
		text += ",\"" + field + "\":" + value;
	return text + "}";
}

#define BACKEND(slots, state, more)                                   \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":" slots ",\"state\":" state more "}"

const backend_document_case backend_document_cases[] = {
	{ "Ready", BACKEND("4", "\"ready\"", ""), true },
	{ "Draining", BACKEND("4", "\"draining\"", ""), true },
	{ "Cold", BACKEND("4", "\"ready\"", ",\"cold_left\":\"3s\""), true },
	{ "WithStart", BACKEND("4", "\"ready\"", ",\"born\":1777081648000"),
	  true },
	{ "StartAsText", BACKEND("4", "\"ready\"", ",\"born\":\"1777\""),
	  false },
	{ "StartWithAFraction", BACKEND("4", "\"ready\"", ",\"born\":1.5"),
	  false },
	{ "NegativeStart", BACKEND("4", "\"ready\"", ",\"born\":-1"), false },
	{ "UnknownState", BACKEND("4", "\"asleep\"", ""), false },
	{ "StateAsNumber", BACKEND("4", "1", ""), false },
	{ "SlotsAsText", BACKEND("\"4\"", "\"ready\"", ""), false },
	{ "ColdAsNumber", BACKEND("4", "\"ready\"", ",\"cold_left\":3"),
	  false },
	{ "NoAddress",
	  "{\"service\":\"s\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}",
	  false },
	{ "NoService", entry_with("service", ""), false },
	{ "ServiceAsList", entry_with("service", "[\"s\"]"), false },
	{ "EmptyService", entry_with("service", "\"\""), false },
	{ "ServiceWithALineEnd", entry_with("service", "\"a\\r\\nb\""), false },
	{ "ServiceTooLong",
	  entry_with("service", "\"" + std::string(64, 's') + "\""), false },
	{ "LongestService",
	  entry_with("service", "\"" + std::string(63, 's') + "\""), true },
	{ "NoZone", entry_with("zone", ""), false },
	{ "ZoneAsNumber", entry_with("zone", "3"), false },
	{ "ZoneTooLong", entry_with("zone", "\"" + std::string(64, 'z') + "\""),
	  false },
	{ "NoState", entry_with("state", ""), false },
	{ "StateAsNull", entry_with("state", "null"), false },
	{ "StateInCapitals", entry_with("state", "\"READY\""), false },
	{ "NoSlots", entry_with("slots", ""), false },
	{ "NoSlotAtAll", entry_with("slots", "0"), false },
	{ "NegativeSlots", entry_with("slots", "-4"), false },
	{ "SlotsWithAFraction", entry_with("slots", "4.5"), false },
	{ "SlotsAsTrue", entry_with("slots", "true"), false },
	{ "SlotsAsAReal", entry_with("slots", "4.0"), true },
	{ "SlotsWithAnExponent", entry_with("slots", "0.4e1"), true },
	{ "OneSlot", entry_with("slots", "1"), true },
	{ "MostSlots", entry_with("slots", "65535"), true },
	{ "TooManySlots", entry_with("slots", "65536"), false },
	{ "SlotsBeyond32Bits", entry_with("slots", "4294967300"), false },
	{ "SlotsBeyond64Bits", entry_with("slots", "18446744073709551620"),
	  false },
	{ "PortZero", entry_with("addr", "\"10.0.0.1:0\""), false },
	{ "PortTooLarge", entry_with("addr", "\"10.0.0.1:65536\""), false },
	{ "NegativePort", entry_with("addr", "\"10.0.0.1:-1\""), false },
	{ "NoPort", entry_with("addr", "\"10.0.0.1\""), false },
	{ "AddressAsAName", entry_with("addr", "\"server:80\""), false },
	{ "AddressAsList", entry_with("addr", "[\"10.0.0.1:80\"]"), false },
	{ "AddressOfAllHosts", entry_with("addr", "\"0.0.0.0:80\""), false },
	{ "AddressOfAGroup", entry_with("addr", "\"224.0.0.1:80\""), false },
	{ "BroadcastAddress", entry_with("addr", "\"255.255.255.255:80\""),
	  false },
	{ "StartAsNull", entry_with("born", "null"), false },
	{ "StartAsList", entry_with("born", "[]"), false },
	{ "StartAsAReal", entry_with("born", "1777081648000.0"), true },
	{ "StartWithAnExponent", entry_with("born", "1.777081648e12"), true },
	{ "LatestStart", entry_with("born", "4102444800000"), true },
	{ "AbsurdStart", entry_with("born", "4102444800001"), false },
	{ "StartBeyond64Bits", entry_with("born", "9223372036854775808"),
	  false },
	{ "ColdForAWeek", entry_with("cold_left", "\"604800s\""), false },
	{ "UnknownField", entry_with("colour", "{\"a\":[1]}"), true },
	{ "UnknownFieldBeyond64Bits",
	  entry_with("revision", "18446744073709551616"), true },
	{ "SeqBeyond64Bits", entry_with("seq", "18446744073709551616"), false },
	{ "SeqAsAReal", entry_with("seq", "7.0"), true },
	{ "FieldTwice", entry_with("state", "\"ready\",\"state\":\"draining\""),
	  false },
	{ "Truncated", "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\"", false },
	{ "MoreBehindIt", entry_with("slots", "4") + "x", false },
	{ "Null", "null", false },
	{ "Text", "\"ready\"", false },
	{ "NestedDeeply", std::string(100000, '['), false },
	{ "ServiceInLatin1", entry_with("service", "\"\xe9\""), false },
	{ "Array", "[1,2]", false },
	{ "NotJson", "\x01\xff{", false },
	{ "Empty", "", false },
};

class BackendDocumentTest
    : public ::testing::TestWithParam<backend_document_case>
{
};

/*
 * Another system writes the table of backend servers: fields of the wrong type,
 * unknown states, bytes that are not text. Accepted unchecked, they sent
 * requests to a wrong address.
 */
TEST_P(BackendDocumentTest, OnlyValidDocumentsAreAccepted)
{
	struct backend_record record;
	GError *error = nullptr;

	EXPECT_EQ(GetParam().valid,
		  document_parse_backend(GetParam().text.c_str(), &record,
					 &error));
	EXPECT_EQ(GetParam().valid, error == nullptr);
	g_clear_error(&error);
	backend_record_release(&record);
}

INSTANTIATE_TEST_SUITE_P(Cases, BackendDocumentTest,
			 ::testing::ValuesIn(backend_document_cases),
			 [](const auto &info) { return info.param.name; });

TEST(BackendStartTimeTest, StartTimeIsRead)
{
	for (const char *start :
	     { "1777081648000", "1777081648000.0", "1.777081648e12" }) {
		struct backend_record record;

		ASSERT_TRUE(document_parse_backend(
			entry_with("born", start).c_str(), &record, nullptr))
			<< start;
		EXPECT_EQ(1777081648000u, record.started_ms);
		EXPECT_EQ(4u, record.slots);
		backend_record_release(&record);
	}
}

/* Guards against a store whose versions in another form stop all reading. */
TEST(StoreDecodeTest, VersionsInAnyFormAreRead)
{
	const struct registry *store = platform_store();

	for (const char *version : { "700", "700.0", "7e2" }) {
		const std::string body =
			std::string("{\"ver\":") + version +
			",\"rows\":[{\"key\":\"i-1\",\"ver\":" + version +
			",\"value\":\"e30=\"}]}";
		struct registry_rows rows;

		ASSERT_EQ(REGISTRY_OK,
			  store->vtable->decode(store, 200, body.c_str(),
						body.size(), &rows))
			<< version;
		EXPECT_EQ(700u, rows.version);
		EXPECT_EQ(700u, g_array_index(rows.rows, struct registry_row, 0)
					.version);
		registry_rows_release(&rows);
	}
}

/*
 * A strict parser rejects the whole answer if one key contains NUL: a single
 * entry of another writer left a starting node without any servers.
 */
TEST(StoreDecodeTest, KeyWithNulLeavesTheOtherRows)
{
	const struct registry *store = platform_store();
	const std::string body =
		"{\"ver\":7,\"now\":\"1s\",\"has_more\":false,\"rows\":["
		"{\"key\":\"a\\u0000b\",\"ver\":3,\"value\":\"AAAA\"},"
		"{\"key\":\"i-1\",\"ver\":4,\"value\":\"%%%\"},"
		"{\"key\":\"i-2\",\"ver\":5,\"value\":\"e30=\"},17]}";
	struct registry_rows rows;

	ASSERT_EQ(REGISTRY_OK, store->vtable->decode(store, 200, body.c_str(),
						     body.size(), &rows));
	ASSERT_EQ(4u, rows.rows->len);
	EXPECT_STREQ("i-2",
		     g_array_index(rows.rows, struct registry_row, 2).key);
	EXPECT_STREQ("{}",
		     g_array_index(rows.rows, struct registry_row, 2).value);
	registry_rows_release(&rows);
}

/*
 * Keys of other writers: cut at a NUL, they named the entry of a proper server;
 * with a line end, they would add headers to requests.
 */
struct key_case {
	const char *name;
	std::string key; /* as JSON */
	bool names_one;
};

const key_case key_cases[] = {
	{ "Usual", "\"i-1\"", true },
	{ "Long", "\"" + std::string(200, 'i') + "\"", true },
	{ "Empty", "\"\"", false },
	{ "Number", "7", false },
	{ "Nul", "\"i-1\\u0000x\"", false },
	{ "LineEnd", "\"i-1\\r\\nX: y\"", false },
	{ "Delete", "\"i-1\\u007f\"", false },
};

class RowKeyTest : public ::testing::TestWithParam<key_case>
{
};

TEST_P(RowKeyTest, OnlyAProperKeyNamesAnEntry)
{
	const struct registry *store = platform_store();
	const std::string body =
		"{\"ver\":7,\"rows\":[{\"key\":" + GetParam().key +
		",\"ver\":3,\"value\":\"e30=\"}]}";
	struct registry_rows rows;

	ASSERT_EQ(REGISTRY_OK, store->vtable->decode(store, 200, body.c_str(),
						     body.size(), &rows));
	ASSERT_EQ(1u, rows.rows->len);
	EXPECT_EQ(GetParam().names_one,
		  !g_array_index(rows.rows, struct registry_row, 0).bad_key);
	registry_rows_release(&rows);
}

INSTANTIATE_TEST_SUITE_P(Cases, RowKeyTest, ::testing::ValuesIn(key_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a value that is read only up to a NUL, as another value. */
TEST(StoreDecodeTest, ValueWithNulIsUnreadable)
{
	const struct registry *store = platform_store();
	/* "{}", a NUL, "x" */
	const std::string body = "{\"ver\":7,\"rows\":[{\"key\":\"i-1\","
				 "\"ver\":3,\"value\":\"e30AeA==\"}]}";
	struct registry_rows rows;

	ASSERT_EQ(REGISTRY_OK, store->vtable->decode(store, 200, body.c_str(),
						     body.size(), &rows));
	EXPECT_STREQ("",
		     g_array_index(rows.rows, struct registry_row, 0).value);
	registry_rows_release(&rows);
}

/* A truncated answer to a follow call is not marked as such. */
struct truncation_case {
	const char *name;
	int rows;
	int value_bytes; /* of each */
	int after_last; /* answer's version minus the last row's */
	const char *more; /* has_more field of the answer, if any */
	bool has_more;
};

const truncation_case truncation_cases[] = {
	{ "Empty", 0, 4, 0, "", false },
	{ "OneChange", 1, 4, 0, "", false },
	{ "MaxRows", 500, 4, 0, "", true },
	{ "OneRowLessThanMax", 499, 4, 0, "", false },
	{ "NearMaxBytes", 20, 60000, 0, "", true },
	{ "NewerVersionThanLastRow", 500, 4, 3, "", false },
	{ "PageWithoutMore", 500, 4, 0, ",\"has_more\":false", false },
	{ "PageWithMore", 3, 4, 3, ",\"has_more\":true", true },
};

class TruncationTest : public ::testing::TestWithParam<truncation_case>
{
};

TEST_P(TruncationTest, PossiblyTruncatedAnswerHasMore)
{
	const struct registry *store = platform_store();
	const truncation_case &c = GetParam();
	const std::string value(c.value_bytes, 'A');
	std::string body = "{\"ver\":" + std::to_string(c.rows + c.after_last) +
			   c.more + ",\"now\":\"1s\",\"rows\":[";
	struct registry_rows rows;

	for (int i = 1; i <= c.rows; i++)
		body += std::string(i > 1 ? "," : "") +
			"{\"key\":\"k\",\"ver\":" + std::to_string(i) +
			",\"value\":\"" + value + "\"}";
	body += "]}";
	ASSERT_EQ(REGISTRY_OK, store->vtable->decode(store, 200, body.c_str(),
						     body.size(), &rows));
	EXPECT_EQ(c.has_more, rows.has_more);
	registry_rows_release(&rows);
}

INSTANTIATE_TEST_SUITE_P(Cases, TruncationTest,
			 ::testing::ValuesIn(truncation_cases),
			 [](const auto &info) { return info.param.name; });

#define LIMITS                                                     \
	"\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":2," \
	"\"header_timeout\":\"3s\",\"idle_timeout\":\"4s\"}"
#define SERVICES                                                          \
	"\"services\":{\"columns\":[\"name\",\"warmup\",\"cold_per_s\"]," \
	"\"rows\":[[\"s\",\"3s\",5.5],[\"t\",null,null]]}"
#define COLUMNS                                                           \
	"\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\"," \
	"\"target_latency\",\"split\",\"allowed_regions\",\"service\"]"
#define ROW(name, end) \
	"[" name ",\"h\",\"/p/\",\"idempotent\",\"2s\",\"1s\"," end "]"
#define ROUTES(rows)                                             \
	"{\"version\":7,\"routes\":{" COLUMNS ",\"rows\":[" rows \
	"]}," SERVICES "," LIMITS "}"

/* Routes as columns and rows; a malformed row is a fault of its own. */
struct columns_case {
	const char *name;
	const char *text;
	uint32_t routes;
	guint services; /* of the first route */
	uint32_t faults;
	bool usable; /* the first route */
};

const columns_case columns_cases[] = {
	{ "None", ROUTES(""), 0, 0, 0, false },
	{ "OneService", ROUTES(ROW("\"a\"", "null,[],\"s\"")), 1, 1, 0, true },
	{ "Split",
	  ROUTES(ROW("\"a\"", "[{\"service\":\"s\",\"weight\":9},"
			      "{\"service\":\"t\",\"weight\":1}],[],null")),
	  1, 2, 0, true },
	{ "TwoRoutes",
	  ROUTES(ROW("\"a\"", "null,[],\"s\"") "," ROW("\"b\"",
						       "null,[],\"t\"")),
	  2, 1, 0, true },
	{ "NoName", ROUTES(ROW("null", "null,[],\"s\"")), 1, 1, 1, true },
	{ "NameAsNumber", ROUTES(ROW("5", "null,[],\"s\"")), 1, 1, 1, true },
	{ "NoService", ROUTES(ROW("\"a\"", "null,[],null")), 1, 0, 1, false },
	{ "ShortRow", ROUTES("[\"a\",\"h\"]"), 0, 0, 1, false },
	{ "RowIsNotAnArray", ROUTES("7"), 0, 0, 1, false },
	{ "ShortRowBesideARoute",
	  ROUTES("[\"b\",\"h\"]," ROW("\"a\"", "null,[],\"s\"")), 1, 1, 1,
	  true },
};

class RouteColumnsTest : public ::testing::TestWithParam<columns_case>
{
};

TEST_P(RouteColumnsTest, RoutesAreRead)
{
	const columns_case &c = GetParam();
	GError *error = nullptr;
	struct route_table *table = document_parse_routes(c.text, &error);

	ASSERT_NE(nullptr, table) << error->message;
	EXPECT_EQ(7u, table->version);
	EXPECT_EQ(c.routes, table->route_count);
	EXPECT_EQ(c.faults, table->fault_count);
	EXPECT_EQ(c.faults && strstr(c.name, "Row"), table->lacks_routes);
	ASSERT_NE(nullptr, route_table_service(table, "s"));
	EXPECT_EQ(3000000u, route_table_service(table, "s")->warmup_us);
	EXPECT_EQ(5.5, route_table_service(table, "s")->cold_per_s);
	const struct route *route = route_table_find(table, "h", "/p/x");
	ASSERT_EQ(c.routes > 0, route != nullptr);
	if (route) {
		EXPECT_EQ(c.services, route->services->len);
		EXPECT_EQ(2000000u, route->timeout_us);
		EXPECT_EQ(c.usable, !route->unusable);
	}
	route_table_unref(table);
}

INSTANTIATE_TEST_SUITE_P(Cases, RouteColumnsTest,
			 ::testing::ValuesIn(columns_cases),
			 [](const auto &info) { return info.param.name; });

struct weight_case {
	const char *name;
	const char *weights[2]; /* of "s" and "t", as JSON */
	double share; /* of "t" */
};

const weight_case weight_cases[] = {
	{ "Whole", { "199", "1" }, 0.005 },
	{ "Fractions", { "99.5", "0.5" }, 0.005 },
	{ "WholeWithAFraction", { "199.0", "1.0" }, 0.005 },
	{ "OneOfThemWhole", { "99", "1.0" }, 0.01 },
	{ "Exponents", { "1e2", "2.5E1" }, 0.2 },
	{ "Small", { "1e-9", "3e-9" }, 0.75 },
	{ "Beyond32Bits", { "4294967297", "1" }, 1 / 4294967298. },
	{ "MultipleOf32Bits", { "4294967296", "12884901888" }, 0.75 },
	{ "Beyond64Bits", { "1e30", "3e30" }, 0.75 },
	{ "SumBeyondADouble", { "1.7e308", "1.7e308" }, 0.5 },
	{ "IntegersBeyond64Bits",
	  { "18446744073709551616", "55340232221128654848" },
	  0.75 },
	{ "FarApart", { "1e300", "1e-300" }, 0 },
	{ "Zero", { "0.0", "0.25" }, 1 },
};

class SplitWeightTest : public ::testing::TestWithParam<weight_case>
{
};

/* Guards against a version refused, or a split changed, by a weight's form. */
TEST_P(SplitWeightTest, ServicesGetTheirShares)
{
	const weight_case &c = GetParam();
	const std::string text =
		std::string("{\"version\":7,\"routes\":{\"a\":{\"host\":\"h\","
			    "\"prefix\":\"/p/\",\"kind\":\"idempotent\","
			    "\"timeout\":\"2s\",\"target_latency\":\"1s\","
			    "\"split\":[{\"service\":\"s\",\"weight\":") +
		c.weights[0] +
		"},{\"service\":\"t\",\"weight\":" + c.weights[1] +
		"}]}}," SERVICES "," LIMITS "}";
	GError *error = nullptr;
	struct route_table *table = document_parse_routes(text.c_str(), &error);
	int count = 0;

	ASSERT_NE(nullptr, table) << error->message;
	struct route *route = route_table_find(table, "h", "/p/");
	ASSERT_NE(nullptr, route);
	for (int i = 1; i <= 1000; i++) {
		count += !strcmp(route_next_service(route), "t");
		EXPECT_NEAR(c.share * i, count, 1 + 1e-9) << i;
	}
	route_table_unref(table);
}

INSTANTIATE_TEST_SUITE_P(Cases, SplitWeightTest,
			 ::testing::ValuesIn(weight_cases),
			 [](const auto &info) { return info.param.name; });

/* Numbers of a version and what is read. */
struct number_case {
	const char *name;
	const char *field; /* that has the value */
	const char *value;
	uint64_t expected;
};

const number_case number_cases[] = {
	{ "VersionAsAReal", "version", "7.0", 7 },
	{ "VersionWithAnExponent", "version", "7e2", 700 },
	{ "HeadBytesAsAReal", "max_header_bytes", "16384.0", 16384 },
	{ "HeadBytesWithAnExponent", "max_header_bytes", "1.6e4", 16000 },
	{ "HeadBytesWithAFraction", "max_header_bytes", "16384.5", 16384 },
	{ "BodyBytesBeyond64Bits", "max_body_bytes", "1e30", INT64_MAX },
	{ "BodyBytesAsLongDigits", "max_body_bytes", "18446744073709551616",
	  INT64_MAX },
	{ "PriorityAsAReal", "priority", "2.0", 2 },
	{ "PriorityWithAnExponent", "priority", "1e1", 10 },
	{ "PriorityBetweenRanks", "priority", "0.5", 1 },
	{ "PriorityBeyond32Bits", "priority", "4294967296", UINT32_MAX },
	{ "AttemptsAsAReal", "max_attempts", "3.0", 3 },
	{ "AttemptsWithAnExponent", "max_attempts", "0.3e1", 3 },
	{ "AttemptsBeyond32Bits", "max_attempts", "4294967298", UINT32_MAX },
	{ "UnknownFieldBeyond64Bits", "revision", "18446744073709551616", 0 },
};

class NumberTest : public ::testing::TestWithParam<number_case>
{
      protected:
	static std::string text_with(const std::string &field,
				     const std::string &value)
	{
		auto number = [&](const char *name, const char *usual) {
			return std::string("\"") + name +
			       "\":" + (field == name ? value : usual);
		};

		return "{" + number("version", "7") + "," +
		       number("revision", "1") +
		       ",\"services\":{\"s\":{}},\"limits\":{" +
		       number("max_header_bytes", "1") + "," +
		       number("max_body_bytes", "1") +
		       ",\"header_timeout\":\"1s\",\"idle_timeout\":\"1s\"},"
		       "\"routes\":{\"r\":{\"host\":\"h\",\"prefix\":\"/\","
		       "\"kind\":\"idempotent\",\"timeout\":\"1s\","
		       "\"target_latency\":\"1s\",\"service\":\"s\"," +
		       number("priority", "1") + "," +
		       number("max_attempts", "1") + "}}}";
	}
	static uint64_t read(const struct route_table *table,
			     const std::string &field)
	{
		const struct route *route = route_table_find(table, "h", "/");

		if (field == "version")
			return table->version;
		if (field == "max_header_bytes")
			return table->limits.max_header_bytes;
		if (field == "max_body_bytes")
			return table->limits.max_body_bytes;
		if (field == "priority")
			return route->priority;
		if (field == "max_attempts")
			return route->max_attempts;
		return 0;
	}
};

/* Guards against a version refused, or a value replaced, by a number's form. */
TEST_P(NumberTest, IsReadInAnyForm)
{
	const number_case &c = GetParam();
	const std::string text = text_with(c.field, c.value);
	GError *error = nullptr;
	struct route_table *table = document_parse_routes(text.c_str(), &error);

	ASSERT_NE(nullptr, table) << error->message;
	EXPECT_EQ(c.expected, read(table, c.field));
	route_table_unref(table);
}

INSTANTIATE_TEST_SUITE_P(Cases, NumberTest, ::testing::ValuesIn(number_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a version refused for a limit of more than a day. */
TEST(DurationFieldTest, LongLimitsAreRead)
{
	const uint64_t day_us = 86400 * UINT64_C(1000000);
	std::string text = ROUTES(ROW("\"a\"", "null,[],\"s\""));
	struct route_table *table;

	for (const auto &[usual, longer] :
	     { std::pair{ "\"2s\",\"1s\"", "\"172800s\",\"1e9ms\"" },
	       std::pair{ "\"4s\"", "\"31536000s\"" } })
		text.replace(text.find(usual), strlen(usual), longer);
	table = document_parse_routes(text.c_str(), nullptr);
	ASSERT_NE(nullptr, table);
	const struct route *route = route_table_find(table, "h", "/p/");
	EXPECT_EQ(day_us, route->timeout_us);
	EXPECT_EQ(day_us, route->target_us);
	EXPECT_EQ(day_us, table->limits.idle_timeout_us);
	route_table_unref(table);
}

struct whole_case {
	const char *name;
	const char *usual; /* part of the document */
	const char *odd; /* in its place */
};

const whole_case whole_cases[] = {
	{ "VersionAsText", "\"version\":7", "\"version\":\"7\"" },
	{ "VersionWithAFraction", "\"version\":7", "\"version\":7.5" },
	{ "NegativeVersion", "\"version\":7", "\"version\":-7" },
	{ "VersionBeyond64Bits", "\"version\":7", "\"version\":1e30" },
	{ "NoRoutes", "\"routes\"", "\"paths\"" },
	{ "RoutesAsNull", "\"routes\":{", "\"routes\":null,\"x\":{" },
	{ "RoutesAsText", "\"routes\":{", "\"routes\":\"r\",\"x\":{" },
	{ "RowsMissing", "\"rows\":[[\"a\"", "\"lines\":[[\"a\"" },
	{ "NoServices", "\"services\"", "\"targets\"" },
	{ "ServicesAsNumber", "\"services\":{", "\"services\":1,\"x\":{" },
	{ "TenantsAsNull", "\"version\":7", "\"version\":7,\"tenants\":null" },
	{ "TenantsAsText", "\"version\":7", "\"version\":7,\"tenants\":\"\"" },
	{ "Truncated", "\"limits\"", "" },
};

class WholeDocumentTest : public ::testing::TestWithParam<whole_case>
{
};

/*
 * Guards against a version in force without a table: every path would be
 * unknown, or every caller let in without a key.
 */
TEST_P(WholeDocumentTest, IsRefusedWithoutATable)
{
	const whole_case &c = GetParam();
	std::string text = ROUTES(ROW("\"a\"", "null,[],\"s\""));
	GError *error = nullptr;

	ASSERT_NE(std::string::npos, text.find(c.usual));
	text.replace(text.find(c.usual), strlen(c.usual), c.odd);
	EXPECT_EQ(nullptr, document_parse_routes(text.c_str(), &error));
	EXPECT_NE(nullptr, error);
	g_clear_error(&error);
}

INSTANTIATE_TEST_SUITE_P(Cases, WholeDocumentTest,
			 ::testing::ValuesIn(whole_cases),
			 [](const auto &info) { return info.param.name; });

enum tenant_outcome {
	TENANT_READ,
	TENANT_WITHOUT_PRIORITY,
	TENANT_UNUSABLE, /* its key is refused, not unknown */
	TENANT_LACKS_KEYS, /* no key can be told to be unknown */
	TENANT_WITHOUT_KEYS,
};

struct tenants_case {
	const char *name;
	std::string tenants;
	enum tenant_outcome outcome; /* of the key "k" */
};

#define ROUTES_AND(tenants)                                                    \
	"{\"version\":7,\"routes\":{\"r\":{\"host\":\"h\",\"prefix\":\"/\","   \
	"\"kind\":\"idempotent\",\"timeout\":\"1s\",\"target_latency\":"       \
	"\"1s\",\"service\":\"s\",\"keyless\":true}},\"services\":{\"s\":{}}," \
	"\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"             \
	"\"header_timeout\":\"1s\",\"idle_timeout\":\"1s\"}" +                 \
		std::string(tenants) + "}"

const tenants_case tenants_cases[] = {
	{ "Table",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"priority\":0,"
	  "\"rate_per_s\":5,\"burst\":2.5,\"allowed_regions\":[\"r1\"]}}",
	  TENANT_READ },
	{ "Columns",
	  ",\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\","
	  "\"rate_per_s\",\"burst\",\"allowed_regions\"],\"rows\":[[\"a\","
	  "[\"k\"],0,5,2.5,[\"r1\"]]]}",
	  TENANT_READ },
	{ "List",
	  ",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\"],\"priority\":"
	  "0,\"rate_per_s\":5,\"burst\":2.5,\"allowed_regions\":[\"r1\"]}]",
	  TENANT_READ },
	{ "UnknownField",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"priority\":0,"
	  "\"rate_per_s\":5,\"burst\":2.5,\"allowed_regions\":[\"r1\"],"
	  "\"colour\":\"red\"}}",
	  TENANT_READ },
	{ "KeysAsText", ",\"tenants\":{\"a\":{\"api_keys\":\"k\"}}",
	  TENANT_LACKS_KEYS },
	{ "KeyAsNumber", ",\"tenants\":{\"a\":{\"api_keys\":[1]}}",
	  TENANT_LACKS_KEYS },
	{ "RateAsText",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"rate_per_s\":\"5\"}}",
	  TENANT_UNUSABLE },
	{ "NegativeRate",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"rate_per_s\":-1}}",
	  TENANT_UNUSABLE },
	{ "NegativeBurst",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"burst\":-1}}",
	  TENANT_UNUSABLE },
	{ "PriorityAsText",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"priority\":\"high\"}}",
	  TENANT_WITHOUT_PRIORITY },
	{ "NameOfAHeader", ",\"tenants\":{\"a\\r\\nb\":{\"api_keys\":[\"k\"]}}",
	  TENANT_UNUSABLE },
	{ "NoName", ",\"tenants\":[{\"api_keys\":[\"k\"]}]", TENANT_UNUSABLE },
	{ "SharedKey",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"]},\"b\":{\"api_keys\":"
	  "[\"k\"]}}",
	  TENANT_UNUSABLE },
	{ "RegionsAsText",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"allowed_regions\":"
	  "\"r1\"}}",
	  TENANT_UNUSABLE },
	{ "RegionAsNumber",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"allowed_regions\":"
	  "[1]}}",
	  TENANT_UNUSABLE },
	{ "NameInColumnsTwice",
	  ",\"tenants\":{\"columns\":[\"name\",\"api_keys\"],\"rows\":"
	  "[[\"a\",[]],[\"a\",[\"k\"]]]}",
	  TENANT_UNUSABLE },
	{ "KeysAsTextInColumns",
	  ",\"tenants\":{\"columns\":[\"name\",\"api_keys\"],\"rows\":"
	  "[[\"a\",\"k\"]]}",
	  TENANT_LACKS_KEYS },
	{ "EntryAsText", ",\"tenants\":{\"a\":\"b\"}", TENANT_LACKS_KEYS },
	{ "NullFields",
	  ",\"tenants\":{\"a\":{\"api_keys\":[\"k\"],\"priority\":null,"
	  "\"rate_per_s\":null,\"burst\":null,\"allowed_regions\":null}}",
	  TENANT_WITHOUT_PRIORITY },
	{ "NoKeys", ",\"tenants\":{\"a\":{\"api_keys\":null}}",
	  TENANT_WITHOUT_KEYS },
};

class TenantsTest : public ::testing::TestWithParam<tenants_case>
{
      protected:
	/* As the rows of the store are decoded: hidden first. */
	struct route_table *parse(const std::string &text, GError **error)
	{
		char *hidden = document_hide_keys(text.c_str());
		struct route_table *routes = document_parse_routes(
			hidden ? hidden : text.c_str(), error);

		g_free(hidden);
		return routes;
	}
};

/*
 * Guards against a field that can't be read and decides about other accounts,
 * or for its own: a rate that isn't kept, a region that isn't allowed.
 */
TEST_P(TenantsTest, WrongFieldConcernsItsAccountAlone)
{
	const enum tenant_outcome outcome = GetParam().outcome;
	GError *error = nullptr;
	struct route_table *routes =
		parse(ROUTES_AND(GetParam().tenants), &error);
	const struct account *account;

	ASSERT_NE(nullptr, routes) << error->message;
	account = account_table_find_key(routes->accounts, "k");
	EXPECT_EQ(outcome == TENANT_LACKS_KEYS, routes->accounts->lacks_keys);
	EXPECT_EQ(outcome == TENANT_UNUSABLE, account && account->unusable);
	EXPECT_EQ(outcome != TENANT_LACKS_KEYS &&
			  outcome != TENANT_WITHOUT_KEYS,
		  account != nullptr);
	if (outcome == TENANT_READ) {
		EXPECT_EQ(0u, routes->fault_count);
		EXPECT_STREQ("a", account->name);
		EXPECT_TRUE(account->has_priority);
		EXPECT_EQ(5, account->per_s);
		EXPECT_EQ(2.5, account->burst);
		EXPECT_TRUE(account_allows_region(account, "r1"));
		EXPECT_FALSE(account_allows_region(account, "r2"));
	} else if (!strstr(GetParam().name, "Null") &&
		   outcome != TENANT_WITHOUT_KEYS) {
		EXPECT_EQ(1u, routes->fault_count);
	}
	EXPECT_EQ(outcome == TENANT_READ, account && account->has_priority);
	EXPECT_TRUE(route_table_find(routes, "h", "/")->keyless);
	route_table_unref(routes);
}

INSTANTIATE_TEST_SUITE_P(Cases, TenantsTest, ::testing::ValuesIn(tenants_cases),
			 [](const auto &info) { return info.param.name; });

TEST(HideKeysTest, DocumentWithoutKeysStaysAsItIs)
{
	EXPECT_EQ(nullptr, document_hide_keys("{\"routes\":{}}"));
}

/* Guards against a key that stays in a row for the form of its field. */
TEST(HideKeysTest, KeysInAnyFormAreHidden)
{
	for (const char *tenants :
	     { "{\"a\":{\"api_keys\":\"secret\"}}",
	       "{\"a\":{\"api_keys\":{\"secret\":1}}}",
	       "{\"a\":{\"api\\u005fkeys\":[\"secret\"]}}",
	       "{\"a\":{\"api_keys\":[[\"secret\"]]}}",
	       "{\"a\":{\"api_keys\":[\"secret\\u0000\"]}}",
	       "[{\"name\":\"a\",\"api_keys\":\"secret\"}]",
	       "{\"columns\":[\"name\",\"api_keys\"],"
	       "\"rows\":[[\"a\",\"secret\"]]}" }) {
		const std::string text =
			std::string("{\"tenants\":") + tenants + "}";
		char *hidden = document_hide_keys(text.c_str());

		ASSERT_NE(nullptr, hidden) << tenants;
		EXPECT_NE(nullptr, strstr(hidden, "tenants")) << tenants;
		EXPECT_EQ(nullptr, strstr(hidden, "secret")) << hidden;
		g_free(hidden);
	}
}

/* Guards against a version refused for an escape, or for a long integer. */
TEST(HideKeysTest, HiddenDocumentsAreRead)
{
	for (const char *more : { "", ",\"revision\":18446744073709551616" }) {
		const std::string text =
			ROUTES_AND(",\"tenants\":{\"a\":{\"api\\u005fkeys\":"
				   "[\"k\"],\"rate_per_s\":1e2}}" +
				   std::string(more));
		char *hidden = document_hide_keys(text.c_str());
		struct route_table *routes =
			document_parse_routes(hidden, nullptr);

		ASSERT_NE(nullptr, routes);
		const struct account *account =
			account_table_find_key(routes->accounts, "k");
		ASSERT_NE(nullptr, account);
		EXPECT_EQ(100, account->per_s);
		route_table_unref(routes);
		g_free(hidden);
	}
}

/* Guards against the error of a damaged document that quotes a key. */
TEST(HideKeysTest, DamagedDocumentIsLeftOut)
{
	char *hidden = document_hide_keys(
		"{\"tenants\":{\"a\":{\"api_keys\":[\"secret\"");

	EXPECT_STREQ("", hidden);
	g_free(hidden);
}

} // namespace
