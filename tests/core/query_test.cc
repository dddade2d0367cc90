#include "core/query.h"
#include "core/result.h"

#include <gtest/gtest.h>
#include <string.h>
#include <string>
#include <utility>
#include <vector>

/*
 * svc-a runs at all three places, svc-b only at p2, and the stopped service
 * "idle" nowhere; p3 is drained.
 */
static const char document[] = R"({
	"services": [
		{"name": "svc-a", "class": "interactive", "timeout_us": 2000000},
		{"name": "svc-b", "class": "non-idempotent",
		 "timeout_us": 5000000},
		{"name": "idle", "class": "background", "timeout_us": 5000000,
		 "stopped": true}],
	"places": [
		{"name": "p1", "region": "r1"}, {"name": "p2", "region": "r1"},
		{"name": "p3", "region": "r2", "drained": true}],
	"nodes": [
		{"name": "n1", "place": "p1", "address": "127.0.0.1",
		 "http_port": 1, "peer_port": 2},
		{"name": "n2", "place": "p2", "address": "127.0.0.2",
		 "http_port": 1, "peer_port": 2},
		{"name": "n2b", "place": "p2", "address": "127.0.0.4",
		 "http_port": 1, "peer_port": 2},
		{"name": "n3", "place": "p3", "address": "127.0.0.3",
		 "http_port": 1, "peer_port": 2}],
	"backends": [
		{"name": "a1", "service": "svc-a", "place": "p1",
		 "address": "127.0.1.1", "port": 9, "slots": 3},
		{"name": "a2", "service": "svc-a", "place": "p2",
		 "address": "127.0.1.2", "port": 9, "slots": 3},
		{"name": "a3", "service": "svc-a", "place": "p3",
		 "address": "127.0.1.3", "port": 9, "slots": 3},
		{"name": "b2", "service": "svc-b", "place": "p2",
		 "address": "127.0.1.4", "port": 9, "slots": 3}],
	"shifts": [
		{"id": "s-1", "service": "svc-a", "from": "p1", "to": "p2",
		 "share_permille": 600, "cap_per_s": 40}],
	"commands": [{"id": "old", "version": 7}]
})";

static struct config *base_config(void)
{
	struct config *config =
		config_decode(document, strlen(document), nullptr);

	config->version = 8;
	return config;
}

static std::string take_message(GError *error)
{
	std::string message = error ? error->message : "";

	g_clear_error(&error);
	return message;
}

/* The parsed query as text: the verb and each member that isn't empty. */
static std::string render(const struct query &query)
{
	static const char *const verbs[] = {
		"where",      "places",	  "nodes",  "backends", "services",
		"shifts",     "version",  "routes", "refusals", "suspects",
		"limits",     "accounts", "room",   "memory",	"faults",
		"quarantine", "release",  "shift",  "cancel",	"drain",
		"undrain",    "stop",	  "start",  "load",
	};
	static const char *const objects[] = { "", " place", " node",
					       " backend", " service" };
	const std::pair<const char *, std::string> members[] = {
		{ "name", query.entity_name },
		{ "service", query.service },
		{ "from", query.from },
		{ "to", query.to },
		{ "place", query.place },
		{ "object", query.object_key },
		{ "shift", query.shift },
		{ "file", query.file },
		{ "fingerprint",
		  query.fingerprint ? std::to_string(query.fingerprint) : "" },
		{ "permille", query.share_permille ?
				      std::to_string(query.share_permille) :
				      "" },
		{ "per_s",
		  query.cap_per_s ? std::to_string(query.cap_per_s) : "" },
	};
	std::string text = verbs[query.verb];

	text += objects[query.entity];
	for (const auto &[member, value] : members)
		if (!value.empty())
			text += std::string(" ") + member + "=" + value;
	return text;
}

struct good_case {
	const char *text;
	const char *rendered;
	bool command;
};

static const good_case good_cases[] = {
	{ "where svc-a from p1", "where service=svc-a from=p1", false },
	{ " where\tfrom  from from ", "where service=from from=from", false },
	{ "where a from p1 object 17", "where service=a from=p1 object=17",
	  false },
	{ "show places", "places", false },
	{ "show routes", "routes", false },
	{ "show refusals", "refusals", false },
	{ "show suspects", "suspects", false },
	{ "show limits", "limits", false },
	{ "show memory", "memory", false },
	{ "show faults", "faults", false },
	{ "show accounts", "accounts", false },
	{ "show room svc-a", "room service=svc-a", false },
	{ "quarantine 00000000000000ff", "quarantine fingerprint=255", false },
	{ "release 00000000000000ff", "release fingerprint=255", false },
	{ "show nodes", "nodes", false },
	{ "show services", "services", false },
	{ "show shifts", "shifts", false },
	{ "show version", "version", false },
	{ "show backends", "backends", false },
	{ "show backends of svc-a", "backends service=svc-a", false },
	{ "show backends in p1", "backends place=p1", false },
	{ "show backends of a in p", "backends service=a place=p", false },
	{ "shift a from p1 to p2 share 30% cap 40/s",
	  "shift service=a from=p1 to=p2 permille=300 per_s=40", true },
	{ "shift a from p1 to p2 share 0.1% cap 65536/s as s-1",
	  "shift service=a from=p1 to=p2 shift=s-1 permille=1 per_s=65536",
	  true },
	{ "shift a from p1 to p2 share 100.0% cap 1/s",
	  "shift service=a from=p1 to=p2 permille=1000 per_s=1", true },
	{ "cancel s-1", "cancel shift=s-1", true },
	{ "drain place p1", "drain place name=p1", true },
	{ "drain backend a1", "drain backend name=a1", true },
	{ "undrain node n1", "undrain node name=n1", true },
	{ "stop svc-a", "stop service name=svc-a", true },
	{ "start svc-a", "start service name=svc-a", true },
	{ "load a.json", "load file=a.json", true },
	{ "load \"/tmp/my file\"", "load file=/tmp/my file", true },
};

class GoodSentence : public testing::TestWithParam<size_t>
{
};

TEST_P(GoodSentence, ParsesEveryMember)
{
	const good_case &c = good_cases[GetParam()];
	struct query query;
	GError *error = nullptr;

	SCOPED_TRACE(c.text);
	ASSERT_TRUE(query_parse(c.text, &query, &error)) << error->message;
	EXPECT_EQ(c.rendered, render(query));
	EXPECT_EQ(c.command, query_is_command(&query));
}

INSTANTIATE_TEST_SUITE_P(Sentences, GoodSentence,
			 testing::Range<size_t>(0, std::size(good_cases)));

struct bad_case {
	std::string text;
	enum result code;
	const char *message;
};

#define VERBS                                                                                       \
	"'where', 'show', 'quarantine', 'release', 'shift', 'cancel', 'drain', 'undrain', 'stop', " \
	"'start' or 'load'"
#define SHIFT_HEAD "shift svc-a from p1 to p2 share "

static const bad_case bad_cases[] = {
	{ "", RESULT_SYNTAX,
	  "expected " VERBS " at word 1, found the end of the sentence" },
	{ "hwere svc-a from p1", RESULT_SYNTAX,
	  "expected " VERBS " at word 1, found 'hwere'; did you mean "
	  "'where'?" },
	{ "where svc-a form p1", RESULT_SYNTAX,
	  "expected 'from' at word 3, found 'form'; did you mean 'from'?" },
	{ "where svc-a FROM p1", RESULT_SYNTAX,
	  "expected 'from' at word 3, found 'FROM'; did you mean 'from'?" },
	{ "bad", RESULT_SYNTAX, "expected " VERBS " at word 1, found 'bad'" },
	{ "where svc-a to p1", RESULT_SYNTAX,
	  "expected 'from' at word 3, found 'to'" },
	{ "where svc-a from", RESULT_SYNTAX,
	  "expected the name of a place (1 to 63 of A-Z a-z 0-9 . _ -) at "
	  "word 4, found the end of the sentence" },
	{ "where svc/a from p1", RESULT_SYNTAX,
	  "expected the name of a service (1 to 63 of A-Z a-z 0-9 . _ -) at "
	  "word 2, found 'svc/a'" },
	{ "where " + std::string(64, 'x') + " from p1", RESULT_SYNTAX,
	  "expected the name of a service (1 to 63 of A-Z a-z 0-9 . _ -) at "
	  "word 2, found 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx…'" },
	{ "where svc-a from p1 now", RESULT_SYNTAX,
	  "expected 'object' or the end at word 5, found 'now'" },
	{ "where svc-a from p1 object 1 2", RESULT_SYNTAX,
	  "expected the end at word 7, found '2'" },
	{ "show place", RESULT_SYNTAX,
	  "expected 'places', 'nodes', 'backends', 'services', 'shifts', "
	  "'version', 'routes', 'refusals', 'suspects', 'limits', 'accounts', 'room', 'memory' or 'faults' at word 2, found 'place'; did you mean 'places'?" },
	{ "show backends at p1", RESULT_SYNTAX,
	  "expected 'of', 'in' or the end at word 3, found 'at'" },
	{ "show backends of svc-a of p1", RESULT_SYNTAX,
	  "expected 'in' or the end at word 5, found 'of'" },
	{ "drain rack r1", RESULT_SYNTAX,
	  "expected 'place', 'node' or 'backend' at word 2, found 'rack'" },
	{ "cancel", RESULT_SYNTAX,
	  "expected a shift's id (1 to 127 of A-Z a-z 0-9 . _ -) at word 2, "
	  "found the end of the sentence" },
	{ SHIFT_HEAD "30 cap 40/s", RESULT_SYNTAX,
	  "expected a share such as 30% or 2.5% at word 8, found '30'" },
	{ SHIFT_HEAD "2.55% cap 40/s", RESULT_SYNTAX,
	  "expected a share such as 30% or 2.5% at word 8, found '2.55%'" },
	{ SHIFT_HEAD "-3% cap 40/s", RESULT_SYNTAX,
	  "expected a share such as 30% or 2.5% at word 8, found '-3%'" },
	{ SHIFT_HEAD "0% cap 40/s", RESULT_OUT_OF_RANGE,
	  "expected a share from 0.1% to 100% at word 8, found '0%'" },
	{ SHIFT_HEAD "100.1% cap 40/s", RESULT_OUT_OF_RANGE,
	  "expected a share from 0.1% to 100% at word 8, found '100.1%'" },
	{ SHIFT_HEAD "4294967297% cap 40/s", RESULT_OUT_OF_RANGE,
	  "expected a share from 0.1% to 100% at word 8, found "
	  "'4294967297%'" },
	{ SHIFT_HEAD "30% cap 40", RESULT_SYNTAX,
	  "expected a cap such as 40/s at word 10, found '40'" },
	{ SHIFT_HEAD "30% cap 0/s", RESULT_OUT_OF_RANGE,
	  "expected a cap from 1/s to 65536/s at word 10, found '0/s'" },
	{ SHIFT_HEAD "30% cap 65537/s", RESULT_OUT_OF_RANGE,
	  "expected a cap from 1/s to 65536/s at word 10, found '65537/s'" },
	{ SHIFT_HEAD "30% cap 4294967336/s", RESULT_OUT_OF_RANGE,
	  "expected a cap from 1/s to 65536/s at word 10, found "
	  "'4294967336/s'" },
	{ SHIFT_HEAD "30% cap 40/s as", RESULT_SYNTAX,
	  "expected a shift's id (1 to 127 of A-Z a-z 0-9 . _ -) at word 12, "
	  "found the end of the sentence" },
	{ "load", RESULT_SYNTAX,
	  "expected the name of a file at word 2, found the end of the "
	  "sentence" },
	{ "load \"a b", RESULT_SYNTAX,
	  "the quote that opens word 2 is never closed" },
	{ "show\nplaces", RESULT_SYNTAX, "byte 5 is a control character" },
	{ std::string(1025, ' '), RESULT_SYNTAX,
	  "the sentence is longer than 1024 bytes" },
	{ "stop \xff", RESULT_SYNTAX,
	  "expected the name of a service (1 to 63 of A-Z a-z 0-9 . _ -) at "
	  "word 2, found '\xef\xbf\xbd'" },
};

class BadSentence : public testing::TestWithParam<size_t>
{
};

TEST_P(BadSentence, NamesTheOffendingWord)
{
	const bad_case &c = bad_cases[GetParam()];
	struct query query;
	GError *error = nullptr;

	SCOPED_TRACE(c.text);
	ASSERT_FALSE(query_parse(c.text.c_str(), &query, &error));
	EXPECT_EQ(c.code, error->code);
	EXPECT_EQ(c.message, take_message(error));
}

INSTANTIATE_TEST_SUITE_P(Sentences, BadSentence,
			 testing::Range<size_t>(0, std::size(bad_cases)));

/* A command, the commands applied before it, and its result. */
struct apply_case {
	std::vector<const char *> before;
	const char *text;
	enum result code;
	const char *message; /* of the error, or the command's effect */
};

static const apply_case apply_cases[] = {
	{ {},
	  "shift svc-a from p1 to p2 share 40% cap 9/s as s-2",
	  RESULT_OK,
	  "shift s-2 stands: service svc-a from p1 to p2, share 40.0%, cap "
	  "9/s" },
	{ {},
	  "shift svc-a from p2 to p1 share 100% cap 9/s",
	  RESULT_OK,
	  "shift now stands: service svc-a from p2 to p1, share 100.0%, cap "
	  "9/s" },
	{ {},
	  "shift nope from p1 to p2 share 1% cap 9/s",
	  RESULT_UNKNOWN_NAME,
	  "no service is named 'nope'" },
	{ {},
	  "shift svc-a from nope to p2 share 1% cap 9/s",
	  RESULT_UNKNOWN_NAME,
	  "no place is named 'nope'" },
	{ {},
	  "shift svc-a from p1 to p1 share 1% cap 9/s",
	  RESULT_CONFLICT,
	  "shift 'now' goes to place 'p1', where it comes from" },
	{ {},
	  "shift svc-a from p1 to p3 share 1% cap 9/s",
	  RESULT_CONFLICT,
	  "shift 'now' goes to place 'p3', which is drained" },
	{ {},
	  "shift svc-b from p2 to p1 share 1% cap 9/s",
	  RESULT_CONFLICT,
	  "shift 'now' goes to place 'p1', where service 'svc-b' has no "
	  "undrained backend server" },
	{ { "drain node n1" },
	  "shift svc-a from p2 to p1 share 1% cap 9/s",
	  RESULT_CONFLICT,
	  "shift 'now' goes to place 'p1', where no node is undrained" },
	{ {},
	  "shift svc-a from p2 to p1 share 1% cap 9/s as s-1",
	  RESULT_CONFLICT,
	  "shift 's-1' stands already" },
	{ {},
	  "shift svc-a from p1 to p2 share 40.1% cap 9/s",
	  RESULT_CONFLICT,
	  "with shift 'now' the shifts of service 'svc-a' from place 'p1' "
	  "take 100.1% of its requests, more than 100%" },
	{ {}, "cancel s-1", RESULT_OK, "shift s-1 is cancelled" },
	{ { "cancel s-1" },
	  "cancel s-1",
	  RESULT_UNKNOWN_NAME,
	  "no shift has the id 's-1'" },
	{ {}, "drain place p1", RESULT_OK, "place p1 is drained" },
	{ { "drain place p1" },
	  "drain place p1",
	  RESULT_OK,
	  "place p1 is drained" },
	{ {},
	  "drain place p2",
	  RESULT_CONFLICT,
	  "shift 's-1' goes to place 'p2', which would no longer serve "
	  "service 'svc-a'; cancel it first" },
	{ { "cancel s-1" },
	  "drain place p2",
	  RESULT_CONFLICT,
	  "service 'svc-b' would have no place left to serve it" },
	{ { "cancel s-1", "stop svc-b" },
	  "drain place p2",
	  RESULT_OK,
	  "place p2 is drained" },
	{ { "cancel s-1", "stop svc-b", "drain place p2" },
	  "start svc-b",
	  RESULT_CONFLICT,
	  "service 'svc-b' has no place to serve it" },
	{ { "cancel s-1", "stop svc-b", "drain place p2" },
	  "drain place p1",
	  RESULT_CONFLICT,
	  "service 'svc-a' would have no place left to serve it" },
	{ {},
	  "drain backend a2",
	  RESULT_CONFLICT,
	  "shift 's-1' goes to place 'p2', which would no longer serve "
	  "service 'svc-a'; cancel it first" },
	{ {},
	  "drain backend b2",
	  RESULT_CONFLICT,
	  "service 'svc-b' would have no place left to serve it" },
	{ {}, "drain node n2", RESULT_OK, "node n2 is drained" },
	{ { "drain node n2" },
	  "drain node n2b",
	  RESULT_CONFLICT,
	  "shift 's-1' goes to place 'p2', which would no longer serve "
	  "service 'svc-a'; cancel it first" },
	{ {}, "drain node n9", RESULT_UNKNOWN_NAME, "no node is named 'n9'" },
	{ {}, "undrain place p3", RESULT_OK, "place p3 is undrained" },
	{ { "undrain place p3" },
	  "shift svc-a from p2 to p3 share 1% cap 9/s as s-3",
	  RESULT_OK,
	  "shift s-3 stands: service svc-a from p2 to p3, share 1.0%, cap "
	  "9/s" },
	{ {}, "stop svc-a", RESULT_OK, "service svc-a is stopped" },
	{ { "stop svc-a" },
	  "start svc-a",
	  RESULT_OK,
	  "service svc-a is started" },
	{ {},
	  "start idle",
	  RESULT_CONFLICT,
	  "service 'idle' has no place to serve it" },
	{ {}, "stop nope", RESULT_UNKNOWN_NAME, "no service is named 'nope'" },
	{ {},
	  "show places",
	  RESULT_INTERNAL,
	  "the sentence changes nothing by itself" },
};

class Apply : public testing::TestWithParam<size_t>
{
};

static struct config *apply(const struct config *config, const char *text,
			    const char *id, GError **error)
{
	struct query query;

	if (!query_parse(text, &query, error))
		return nullptr;
	return query_apply(config, &query, id, error);
}

TEST_P(Apply, GivesTheExpectedResult)
{
	const apply_case &c = apply_cases[GetParam()];
	struct config *config = base_config();
	struct config *after;
	struct query query;
	GError *error = nullptr;
	char *described;

	SCOPED_TRACE(c.text);
	for (const char *text : c.before) {
		after = apply(config, text, "before", &error);
		ASSERT_TRUE(after) << text << ": " << error->message;
		config_free(config);
		config = after;
	}
	after = apply(config, c.text, "now", &error);
	if (after) {
		ASSERT_TRUE(query_parse(c.text, &query, nullptr));
		described = query_describe_effect(&query, "now");
		EXPECT_EQ(RESULT_OK, c.code);
		EXPECT_STREQ(c.message, described);
		EXPECT_EQ(9u, config_find_command(after, "now"));
		EXPECT_EQ(7u, config_find_command(after, "old"));
		g_free(described);
	} else {
		EXPECT_EQ(c.code, error->code);
		EXPECT_EQ(c.message, take_message(error));
	}
	config_free(after);
	config_free(config);
}

INSTANTIATE_TEST_SUITE_P(Commands, Apply,
			 testing::Range<size_t>(0, std::size(apply_cases)));

/*
 * Two operators each drain one of the last two places of a service at the same
 * time. Either command alone is valid. The second one to be applied must be
 * checked against the result of the first and fail, or no place would be left.
 * The original configuration must not change.
 */
TEST(Command, IsCheckedAgainstConcurrentCommands)
{
	struct config *config = base_config();
	struct config *first;
	GError *error = nullptr;

	config_remove_shift(config, 0);
	config->services[1].stopped = true;
	first = apply(config, "drain place p1", "first", &error);
	ASSERT_TRUE(first);
	EXPECT_FALSE(config->places[0].drained);
	EXPECT_FALSE(apply(first, "drain place p2", "second", &error));
	EXPECT_EQ(RESULT_CONFLICT, error->code);
	g_clear_error(&error);
	config_free(first);
	config_free(config);
}

TEST(Command, NumberOfShiftsIsLimited)
{
	struct config *config = base_config();
	struct config_shift shift = config->shifts[0];
	GError *error = nullptr;

	shift.share_permille = 1;
	while (config->shift_count < CONFIG_MAX_SHIFTS)
		config_add_shift(config, &shift);
	EXPECT_FALSE(apply(config, "shift svc-a from p2 to p1 share 1% cap 9/s",
			   "now", &error));
	EXPECT_EQ("256 shifts stand already; cancel one", take_message(error));
	config_free(config);
}

TEST(Command, IdMustBeValid)
{
	struct config *config = base_config();
	GError *error = nullptr;

	EXPECT_FALSE(apply(config, "drain place p1", "a b", &error));
	EXPECT_EQ(RESULT_OUT_OF_RANGE, error->code);
	g_clear_error(&error);
	config_free(config);
}

struct load_case {
	const char *replace; /* this text of the document above */
	const char *with;
	enum result code;
};

static const load_case load_cases[] = {
	{ "\"old\"", "\"forged\"", RESULT_OK },
	{ "\"to\": \"p2\"", "\"to\": \"p3\"", RESULT_CONFLICT },
	{ "svc-b\", \"class", "svc-a\", \"class", RESULT_CONFIG_INVALID },
	{ "\"commands\"", "\"unknown\"", RESULT_CONFIG_INVALID },
};

class Load : public testing::TestWithParam<size_t>
{
};

TEST_P(Load, KeepsCommandHistoryAndChecksShifts)
{
	const load_case &c = load_cases[GetParam()];
	struct config *config = base_config();
	struct config *after;
	std::string text = document;
	size_t at = text.find(c.replace);
	GError *error = nullptr;

	ASSERT_NE(std::string::npos, at);
	text.replace(at, strlen(c.replace), c.with);
	after = query_load(config, text.c_str(), text.size(), "now", &error);
	EXPECT_EQ(c.code, after ? RESULT_OK : error->code);
	if (after) {
		EXPECT_EQ(7u, config_find_command(after, "old"));
		EXPECT_EQ(9u, config_find_command(after, "now"));
		EXPECT_EQ(2u, after->command_count);
	}
	g_clear_error(&error);
	config_free(after);
	after = query_load(nullptr, text.c_str(), text.size(), "now", &error);
	EXPECT_EQ(c.code, after ? RESULT_OK : error->code);
	EXPECT_EQ(after ? 1u : 0u,
		  after ? config_find_command(after, "now") : 0);
	g_clear_error(&error);
	config_free(after);
	config_free(config);
}

INSTANTIATE_TEST_SUITE_P(Documents, Load,
			 testing::Range<size_t>(0, std::size(load_cases)));
