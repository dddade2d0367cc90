/* The story of a request, told from logs of several nodes. */
#include "ctl/explain.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

std::string explain(const char *id, std::string log)
{
	struct explain *explain = explain_new(id);
	FILE *stream = fmemopen(log.data(), log.size(), "r");
	char *text;

	explain_read(explain, stream);
	fclose(stream);
	text = explain_format(explain);
	std::string story = text;
	g_free(text);
	explain_free(explain);
	return story;
}

struct story_case {
	const char *name;
	const char *log;
	const char *story;
};

const story_case story_cases[] = {
	{ "RefusedUnrun",
	  "ts_us=1000000 level=info node=n1 event=own-answer request=a1 "
	  "status=503 cause=none-free unsettled=0\n",
	  "       0.0 ms  n1  the node answers 503 itself: none-free\n"
	  "It did not run, and never will.\n" },
	{ "DeniedByOldRoutes",
	  "ts_us=1000000 level=info node=n1 event=own-answer request=a1 "
	  "status=404 cause=\"no route\" unsettled=0 routes_version=15 "
	  "routes_age_us=4200000\n",
	  "       0.0 ms  n1  the node answers 404 itself: no route (routes "
	  "version 15, confirmed 4200 ms before)\n"
	  "It did not run, and never will.\n" },
	{ "RoutesByHearsay",
	  "ts_us=1000000 level=info node=n1 event=own-answer request=a1 "
	  "status=503 cause=none-free unsettled=0 routes_version=15 "
	  "routes_age_us=unconfirmed\n",
	  "       0.0 ms  n1  the node answers 503 itself: none-free (routes "
	  "version 15, never confirmed)\n"
	  "It did not run, and never will.\n" },
	{ "OutcomeOpen",
	  "ts_us=2000000 level=info node=n1 event=send-failed request=a1 "
	  "backend=i-9 outcome=broken cause=ECONNRESET sends=1 left_us=5 "
	  "again=no\n"
	  "ts_us=2000100 level=info node=n1 event=own-answer request=a1 "
	  "status=502 cause=ECONNRESET unsettled=1\n",
	  "       0.0 ms  n1  i-9: broken, ECONNRESET; not sent again\n"
	  "       0.1 ms  n1  the node answers 502 itself: ECONNRESET\n"
	  "It may have run: the outcome of 1 sends is open.\n" },
	{ "LateAnswer",
	  "ts_us=3000000 level=debug node=n2 event=sent request=a1 "
	  "backend=i-3 object=1 reason=rank expected_us=900000 load=7.0 "
	  "slots=7 kept=0 left_us=1500000\n"
	  "ts_us=4400000 level=debug node=n2 event=backend-answer request=a1 "
	  "backend=i-3 status=200 took_us=1400000\n"
	  "ts_us=4400200 level=debug node=n2 event=answered request=a1 "
	  "status=200 took_us=1400300\n",
	  "       0.0 ms  n2  sent to i-3 (rank for the object, expected 900 "
	  "ms, load 7.0 of 7 slots); 1500 ms left\n"
	  "    1400.0 ms  n2  i-3 answered 200 after 1400 ms\n"
	  "    1400.2 ms  n2  200 goes to the caller after 1400 ms\n"
	  "It ran, and the backend server's answer was handed on.\n" },
	{ "NodesInTheOrderOfTheirClocks",
	  "ts_us=9000 level=info node=n2 event=caller-left request=a1 "
	  "after_us=4000 sends=1\n"
	  "ts_us=5000 level=info node=n1 event=stray-answer request=a1 "
	  "backend=i-1 status=200 strays=1\n",
	  "       0.0 ms  n1  i-1 sent an answer of another request: dropped\n"
	  "       4.0 ms  n2  the caller left after 4 ms\n"
	  "The caller left; it may have run where it was sent (1 sends).\n" },
	{ "OtherLinesArePassedOver",
	  "garbage\n"
	  "ts_us=1 level=info node=n1 event=own-answer request=a11 status=503 "
	  "cause=x unsettled=0\n"
	  "collector 12:00 ts_us=7 level=info node=n1 event=own-answer "
	  "request=a1 status=503 cause=\"two words\" unsettled=0\n"
	  "ts_us=8 level=info node=n1 event=own-answer request=b cause=a1\n",
	  "       0.0 ms  n1  the node answers 503 itself: two words\n"
	  "It did not run, and never will.\n" },
	{ "Nothing", "ts_us=1 event=start\n",
	  "nothing is logged of request a1\n" },
	{ "NoEnd",
	  "ts_us=1 node=n1 event=send-failed request=a1 backend=i-1 "
	  "outcome=failed status=500 again=yes\n",
	  "       0.0 ms  n1  i-1: failed, status 500; another server is "
	  "tried\n"
	  "How it ended isn't in these logs.\n" },
};

class StoryTest : public ::testing::TestWithParam<story_case>
{
};

TEST_P(StoryTest, IsToldInOrderWithItsVerdict)
{
	EXPECT_EQ(GetParam().story, explain("a1", GetParam().log));
}

INSTANTIATE_TEST_SUITE_P(Cases, StoryTest, ::testing::ValuesIn(story_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
