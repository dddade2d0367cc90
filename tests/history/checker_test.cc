#include "history/checker.h"

#include <gtest/gtest.h>

#include <string>

/*
 * Histories written by hand, a bad one and a good one for each way in which a
 * promise can be broken. S is a second.
 */
struct history_case {
	const char *name;
	enum promise promise;
	uint64_t broken;
	const char *lines;
};

#define CALLER(t, event, id, more)                              \
	"{\"t_us\":" t ",\"who\":\"caller\",\"event\":\"" event \
	"\",\"id\":\"" id "\"" more "}\n"
#define BACKEND(t, event, id, more)                              \
	"{\"t_us\":" t ",\"who\":\"backend\",\"event\":\"" event \
	"\",\"backend\":\"b1\",\"id\":\"" id "\"" more "}\n"
#define OPERATOR(t, event, more)                                            \
	"{\"t_us\":" t ",\"who\":\"operator\",\"event\":\"" event "\"" more \
	"}\n"
#define NODE(t, event, more) \
	"ts_us=" t " level=info node=n1 event=" event " " more "\n"
#define TICKET ",\"ticket\":\"t1\""
#define INVOKED CALLER("1", "invoke", "r1", TICKET)

static const history_case cases[] = {
	{ "three in a second under a cap of two", PROMISE_SHIFT_CAP, 1,
	  OPERATOR("1", "shift", ",\"id\":\"s1\",\"cap_per_s\":2")
		  NODE("9", "shift-admitted", "shift=s1 at_us=100")
			  NODE("9", "shift-admitted", "shift=s1 at_us=200")
				  NODE("9", "shift-admitted",
				       "shift=s1 at_us=1000099") },
	{ "three in a second and a bit", PROMISE_SHIFT_CAP, 0,
	  OPERATOR("1", "shift", ",\"id\":\"s1\",\"cap_per_s\":2")
		  NODE("9", "shift-admitted", "shift=s1 at_us=100")
			  NODE("9", "shift-admitted", "shift=s1 at_us=200")
				  NODE("9", "shift-admitted",
				       "shift=s1 at_us=1000100") },
	{ "an admission without any cap", PROMISE_SHIFT_CAP, 1,
	  NODE("9", "shift-admitted", "shift=s2 at_us=100") },

	{ "two in one slot", PROMISE_OVERLOAD, 1,
	  OPERATOR("1", "slots", ",\"backend\":\"b1\",\"slots\":1")
		  BACKEND("30", "end", "r1", ",\"start_us\":10")
			  BACKEND("40", "end", "r2", ",\"start_us\":29") },
	{ "one after the other in one slot", PROMISE_OVERLOAD, 0,
	  OPERATOR("1", "slots", ",\"backend\":\"b1\",\"slots\":1")
		  BACKEND("30", "end", "r1", ",\"start_us\":10")
			  BACKEND("40", "end", "r2", ",\"start_us\":30") },
	{ "slot given back before it was logged", PROMISE_OVERLOAD, 0,
	  OPERATOR("1", "slots", ",\"backend\":\"b1\",\"slots\":1")
		  BACKEND("35", "end", "r1", ",\"start_us\":10,\"end_us\":30")
			  BACKEND("40", "end", "r2", ",\"start_us\":31") },
	{ "shed because full", PROMISE_OVERLOAD, 1,
	  OPERATOR("1", "slots", ",\"backend\":\"b1\",\"slots\":1")
		  BACKEND("5", "end", "r1", ",\"start_us\":2")
			  BACKEND("9", "shed", "r2", ",\"reason\":\"full\"") },
	{ "shed because its time was over", PROMISE_OVERLOAD, 0,
	  OPERATOR("1", "slots", ",\"backend\":\"b1\",\"slots\":1")
		  BACKEND("5", "end", "r1", ",\"start_us\":2") BACKEND(
			  "9", "shed", "r2", ",\"reason\":\"expired\"") },

	{ "answer of another request", PROMISE_OWN_ANSWER, 1,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  CALLER("3", "wrong", "r1", TICKET) },
	{ "no end", PROMISE_OWN_ANSWER, 1, INVOKED },
	{ "two ends", PROMISE_OWN_ANSWER, 1,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  CALLER("3", "answer", "r1", TICKET)
			  CALLER("4", "unknown", "r1", TICKET) },
	{ "answer out of nothing", PROMISE_OWN_ANSWER, 1,
	  INVOKED CALLER("3", "answer", "r1", TICKET) },
	{ "its answer", PROMISE_OWN_ANSWER, 0,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  CALLER("3", "answer", "r1", TICKET) },

	{ "refused and ran before", PROMISE_NOT_RUN, 1,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  CALLER("3", "refused", "r1", TICKET) },
	{ "refused and ran later", PROMISE_NOT_RUN, 1,
	  INVOKED CALLER("3", "refused", "r1", TICKET)
		  BACKEND("9", "start", "r1", TICKET) },
	{ "refused and another one ran", PROMISE_NOT_RUN, 0,
	  INVOKED CALLER("3", "refused", "r1", TICKET)
		  BACKEND("9", "start", "r2", "") },

	{ "two runs of a ticket", PROMISE_ONCE, 1,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  BACKEND("3", "start", "r1", TICKET ",\"attempt\":\"2\"") },
	{ "two runs under two tickets", PROMISE_ONCE, 1,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  BACKEND("3", "start", "r1", ",\"ticket\":\"t2\"") },
	{ "one ticket for two requests", PROMISE_ONCE, 1,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  BACKEND("3", "start", "r2", TICKET) },
	{ "two runs without a ticket", PROMISE_ONCE, 0,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  BACKEND("3", "start", "r2", "")
			  BACKEND("4", "start", "r2", ",\"attempt\":\"2\"")
				  CALLER("5", "answer", "r1", TICKET) },
	{ "one run whose line came twice", PROMISE_ONCE, 0,
	  INVOKED BACKEND("2", "start", "r1", TICKET)
		  BACKEND("2", "start", "r1", TICKET)
			  CALLER("5", "answer", "r1", TICKET) },

	{ "new work after the bound", PROMISE_LEAVING, 1,
	  OPERATOR("1", "leaving", ",\"backend\":\"b1\"")
		  BACKEND("3000002", "start", "r1", "") },
	{ "new work within the bound", PROMISE_LEAVING, 0,
	  OPERATOR("1", "leaving", ",\"backend\":\"b1\"")
		  BACKEND("3000001", "start", "r1", "") },
	{ "new work after it came back", PROMISE_LEAVING, 0,
	  OPERATOR("1", "leaving", ",\"backend\":\"b1\"")
		  OPERATOR("5", "returned", ",\"backend\":\"b1\"")
			  BACKEND("9000000", "start", "r1", "") },

	{ "cut by a planned stop", PROMISE_STOP, 1,
	  INVOKED OPERATOR("2", "stop", ",\"node\":\"n1\"")
		  CALLER("3", "unknown", "r1", ",\"cuts\":1") OPERATOR(
			  "4", "stopped", ",\"node\":\"n1\",\"status\":0") },
	{ "exit before the end", PROMISE_STOP, 1,
	  OPERATOR("2", "stop", ",\"node\":\"n1\"")
		  OPERATOR("4", "stopped", ",\"node\":\"n1\",\"status\":5") },
	{ "no exit", PROMISE_STOP, 1,
	  OPERATOR("2", "stop", ",\"node\":\"n1\"") },
	{ "cut by a fault meanwhile", PROMISE_STOP, 0,
	  INVOKED OPERATOR("2", "stop", ",\"node\":\"n1\"")
		  OPERATOR("2", "fault-from", ",\"node\":\"n2\"")
			  CALLER("3", "unknown", "r1", ",\"cuts\":1")
				  OPERATOR("4", "stopped",
					   ",\"node\":\"n1\",\"status\":0") },
	{ "cut before the stop", PROMISE_STOP, 0,
	  INVOKED CALLER("2", "unknown", "r1", ",\"cuts\":1")
		  OPERATOR("3", "stop", ",\"node\":\"n1\"") OPERATOR(
			  "4", "stopped", ",\"node\":\"n1\",\"status\":0") },

	{ "a node goes back", PROMISE_CONFIG, 1,
	  NODE("1", "node-started", "incarnation=1")
		  NODE("2", "config-in-force", "version=7")
			  NODE("3", "config-in-force", "version=6") },
	{ "a restarted node begins again", PROMISE_CONFIG, 0,
	  NODE("1", "node-started", "incarnation=1")
		  NODE("2", "config-in-force", "version=7")
			  NODE("3", "node-started", "incarnation=2")
				  NODE("4", "config-in-force", "version=6") },
	{ "a version that never came", PROMISE_CONFIG, 1,
	  NODE("1", "node-started", "incarnation=1")
		  OPERATOR("2", "accepted", ",\"id\":\"c1\",\"version\":7")
			  NODE("3", "config-in-force", "version=6")
				  OPERATOR("9000000", "run-ended", "") },
	{ "a version that came too late", PROMISE_CONFIG, 1,
	  NODE("1", "node-started", "incarnation=1")
		  OPERATOR("2", "accepted", ",\"id\":\"c1\",\"version\":7")
			  NODE("5000003", "config-in-force", "version=7")
				  OPERATOR("9000000", "run-ended", "") },
	{ "a version that came in time", PROMISE_CONFIG, 0,
	  NODE("1", "node-started", "incarnation=1")
		  OPERATOR("2", "accepted", ",\"id\":\"c1\",\"version\":7")
			  NODE("5000002", "config-in-force", "version=7")
				  OPERATOR("9000000", "run-ended", "") },
	{ "a version that came after the fault", PROMISE_CONFIG, 0,
	  NODE("1", "node-started", "incarnation=1") OPERATOR(
		  "2", "accepted", ",\"id\":\"c1\",\"version\":7")
		  OPERATOR("3", "fault-from", "") OPERATOR("8000000",
							   "fault-to", "")
			  NODE("9000000", "config-in-force", "version=7")
				  OPERATOR("20000000", "run-ended", "") },
	{ "a version lost by a restart", PROMISE_CONFIG, 1,
	  NODE("1", "node-started", "incarnation=1")
		  OPERATOR("2", "accepted", ",\"id\":\"c1\",\"version\":7")
			  NODE("3", "config-in-force", "version=7") NODE(
				  "4", "node-started", "incarnation=2")
				  OPERATOR("9000000", "run-ended", "") },
	{ "two commands of one version", PROMISE_CONFIG, 1,
	  OPERATOR("2", "accepted", ",\"id\":\"c1\",\"version\":7")
		  OPERATOR("3", "accepted", ",\"id\":\"c2\",\"version\":7") },
};

class HistoryTable : public testing::TestWithParam<history_case>
{
};

TEST_P(HistoryTable, IsJudgedRight)
{
	const history_case &c = GetParam();
	struct events *events = events_new(0);
	struct bounds bounds = { 3000000, 5000000 };
	struct verdict verdict;

	events_add_text(events, c.lines, strlen(c.lines));
	events_sort(events);
	EXPECT_EQ(0u, events->unreadable);
	checker_judge(events, &bounds, &verdict);
	EXPECT_GT(verdict.checked[c.promise] + verdict.broken[c.promise], 0u);
	EXPECT_EQ(c.broken, verdict.broken[c.promise]);
	EXPECT_EQ(c.broken > 0, verdict.findings->len > 0);
	verdict_release(&verdict);
	events_free(events);
}

INSTANTIATE_TEST_SUITE_P(Histories, HistoryTable, testing::ValuesIn(cases),
			 [](const testing::TestParamInfo<history_case> &info) {
				 std::string name = info.param.name;

				 for (char &c : name)
					 c = isalnum((unsigned char)c) ? c :
									 '_';
				 return name;
			 });

/* A killed process leaves half a line at the end; elsewhere it is damage. */
TEST(Events, HalfALineCountsOnlyWithinAFile)
{
	struct events *events = events_new(0);
	const char half[] = "{\"t_us\":1,\"who\":\"cal";

	events_add_text(events, half, strlen(half));
	EXPECT_EQ(0u, events->unreadable);
	events_add_text(events, "{\"t_us\":\n", 9);
	EXPECT_EQ(1u, events->unreadable);
	events_free(events);
}

TEST(Events, LogTimeIsBroughtToTheOtherClock)
{
	struct events *events = events_new(1000);
	const char line[] =
		"ts_us=1500 level=info node=n1 event=node-started place=p\n";

	events_add_text(events, line, strlen(line));
	ASSERT_EQ(1u, events->all->len);
	EXPECT_EQ(500u, g_array_index(events->all, struct event, 0).t_us);
	EXPECT_STREQ("n1", g_array_index(events->all, struct event, 0).node);
	events_free(events);
}
