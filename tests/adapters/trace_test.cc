#include "adapters/trace.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <mutex>
#include <set>
#include <sys/stat.h>
#include <thread>

#include "adapters/metrics.h"
#include "adapters/temp_file.h"
#include "core/result.h"

namespace
{

const char header[] = "00-0af7651916cd43dd8448eb211c80319c-"
		      "b7ad6b7169203331-01";

struct parent_case {
	const char *name;
	std::string text;
	bool valid;
	bool sampled;
};

std::string case_name(const testing::TestParamInfo<parent_case> &info)
{
	return info.param.name;
}

std::string with(size_t at, const char *text)
{
	return std::string(header).replace(at, strlen(text), text);
}

const parent_case parent_cases[] = {
	{ "Valid", header, true, true },
	{ "NotSampled", with(53, "00"), true, false },
	{ "OtherFlags", with(53, "fe"), true, false },
	{ "Later", with(0, "01"), true, true },
	{ "LaterWithMore", with(0, "cc") + "-more", true, true },
	{ "LaterWithMoreUndivided", with(0, "cc") + "more", false, false },
	{ "VersionFf", with(0, "ff"), false, false },
	{ "VersionNoHex", with(0, "0g"), false, false },
	{ "Empty", "", false, false },
	{ "TwoBytes", "00", false, false },
	{ "OneShort", std::string(header).substr(0, 54), false, false },
	{ "OneLong", std::string(header) + "0", false, false },
	{ "LongByADash", std::string(header) + "-", false, false },
	{ "UpperCase", with(3, "0A"), false, false },
	{ "NoHexInSpan", with(36, "x"), false, false },
	{ "NoHexInFlags", with(54, " "), false, false },
	{ "ZeroTrace", with(3, std::string(32, '0').c_str()), false, false },
	{ "ZeroSpan", with(36, std::string(16, '0').c_str()), false, false },
	{ "WrongDivider1", with(2, "_"), false, false },
	{ "WrongDivider2", with(35, "_"), false, false },
	{ "WrongDivider3", with(52, "_"), false, false },
	{ "Megabyte", std::string(1 << 20, '0'), false, false },
};

std::string member(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "(none)";
}

std::string attribute(json_t *span, const char *key)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(span, "attributes"), i, item) {
		if (member(item, "key") == key)
			return member(json_object_get(item, "value"),
				      "stringValue");
	}
	return "(none)";
}

class Trace : public testing::Test
{
      protected:
	void TearDown() override
	{
		trace_close();
		metrics_close();
	}
};

} // namespace

class TraceParent : public testing::TestWithParam<parent_case>
{
};

TEST_P(TraceParent, IsReadStrictly)
{
	const parent_case &c = GetParam();
	struct trace_context context;
	char text[TRACEPARENT_SIZE];

	EXPECT_EQ(c.valid, trace_context_parse(c.text.c_str(), &context));
	trace_context_format(&context, text);
	EXPECT_EQ(55u, strlen(text));
	/* What is not valid gives a new root. */
	EXPECT_EQ(c.valid, !strncmp(text, header, 52)) << text;
	EXPECT_EQ(c.sampled, context.sampled);
}

INSTANTIATE_TEST_SUITE_P(Cases, TraceParent, testing::ValuesIn(parent_cases),
			 case_name);

TEST_F(Trace, SpanHasTheNamesOfOtlp)
{
	temp_file file;
	struct trace_span server;
	struct trace_span child;
	char own[TRACEPARENT_SIZE];
	std::string text;
	json_t *json;

	ASSERT_TRUE(trace_open("n1", file.path.c_str(), 0, NULL));
	trace_span_start(&server, "request", header);
	trace_span_start_child(&child, "hop", &server);
	trace_span_end(&child, RESULT_OVERLOAD, "path=%s place=%s", "/a b\"c\n",
		       "central-1");
	trace_span_end(&server, RESULT_OK, "attempts=%d", 2);
	trace_context_format(&server.context, own);
	trace_close();

	text = file.text();
	json = json_loads(text.substr(0, text.find('\n')).c_str(), 0, NULL);
	ASSERT_NE(nullptr, json);
	EXPECT_EQ("0af7651916cd43dd8448eb211c80319c", member(json, "traceId"));
	EXPECT_EQ(16u, member(json, "spanId").size());
	EXPECT_EQ(std::string(own).substr(36, 16),
		  member(json, "parentSpanId"));
	EXPECT_EQ("hop", member(json, "name"));
	EXPECT_EQ(1, json_integer_value(json_object_get(json, "kind")));
	EXPECT_LE(std::stoull(member(json, "startTimeUnixNano")),
		  std::stoull(member(json, "endTimeUnixNano")));
	EXPECT_EQ("n1", attribute(json, "node"));
	EXPECT_EQ("/a b\"c\n", attribute(json, "path"));
	EXPECT_EQ("central-1", attribute(json, "place"));
	EXPECT_EQ(2, json_integer_value(json_object_get(
			     json_object_get(json, "status"), "code")));
	EXPECT_EQ("overload",
		  member(json_object_get(json, "status"), "message"));
	json_decref(json);

	json = json_loads(text.substr(text.find('\n') + 1).c_str(), 0, NULL);
	ASSERT_NE(nullptr, json);
	EXPECT_EQ("b7ad6b7169203331", member(json, "parentSpanId"));
	EXPECT_EQ(2, json_integer_value(json_object_get(json, "kind")));
	EXPECT_EQ("2", attribute(json, "attempts"));
	EXPECT_EQ(1, json_integer_value(json_object_get(
			     json_object_get(json, "status"), "code")));
	json_decref(json);
}

TEST_F(Trace, AttributeThatIsNotUtf8CostsNoSpan)
{
	temp_file file;
	struct trace_span span;

	ASSERT_TRUE(trace_open("n1", file.path.c_str(), 1000, NULL));
	trace_span_start(&span, "request", NULL);
	trace_span_end(&span, RESULT_OK, "id=%s", "\xff\xfe");
	trace_close();
	EXPECT_NE(std::string::npos, file.text().find("\"malformed\""));
}

TEST_F(Trace, SamplingDecidesAtRootsOnly)
{
	temp_file file;
	struct trace_span span;
	struct {
		uint32_t permille;
		const char *header;
		bool sampled;
	} cases[] = {
		{ 0, NULL, false },
		{ 1000, NULL, true },
		{ 0, header, true },
		{ 1000,
		  "00-0af7651916cd43dd8448eb211c80319c-"
		  "b7ad6b7169203331-00",
		  false },
	};

	for (const auto &c : cases) {
		ASSERT_TRUE(
			trace_open("n1", file.path.c_str(), c.permille, NULL));
		trace_span_start(&span, "request", c.header);
		EXPECT_EQ(c.sampled, span.context.sampled);
	}
}

TEST_F(Trace, IdsOfThreadsDiffer)
{
	std::set<std::string> ids;
	std::mutex lock;
	std::vector<std::thread> threads;

	for (int t = 0; t < 4; t++)
		threads.emplace_back([&]() {
			for (int i = 0; i < 500; i++) {
				struct trace_span span;

				trace_span_start(&span, "a", NULL);
				std::lock_guard<std::mutex> guard(lock);
				ids.emplace((char *)span.context.trace_id, 16);
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(2000u, ids.size());
}

TEST_F(Trace, UnwritablePathIsAnError)
{
	GError *error = NULL;

	EXPECT_FALSE(trace_open("n1", "/nonexistent/t", 1000, &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_SYSTEM));
	g_clear_error(&error);
}

/*
 * The disk under the trace file hangs. Requests would hang with it as each ends
 * its span, and the node could not stop; cause: spans written on the request's
 * thread. Here a pipe that nobody reads stands for the disk: spans are dropped
 * and counted, and the close ends.
 */
TEST_F(Trace, HungFileDropsSpansAndHoldsNobody)
{
	temp_file file;
	struct trace_span span;
	struct metric *dropped;
	int reader;

	unlink(file.path.c_str());
	ASSERT_EQ(0, mkfifo(file.path.c_str(), 0600));
	reader = open(file.path.c_str(), O_RDONLY | O_NONBLOCK);
	ASSERT_TRUE(trace_open("n1", file.path.c_str(), 1000, NULL));
	dropped = metric_counter("lilacfield_trace_spans_dropped_total", "",
				 NULL);
	trace_span_start(&span, "request", NULL);
	for (int i = 0; i < 10000; i++)
		trace_span_end(&span, RESULT_OK, "i=%d", i);
	EXPECT_GT(metric_value(dropped), 0u);
	trace_close();
	EXPECT_GT(metric_value(dropped), 2000u);
	close(reader);
}
