#include "node/view.h"

#include <gtest/gtest.h>
#include <cstring>

static struct peer_report report_of(const char *node, uint64_t incarnation,
				    uint64_t sequence, uint64_t age_us)
{
	struct peer_report report = {};

	strcpy(report.node, node);
	report.incarnation = incarnation;
	report.sequence = sequence;
	report.age_us = age_us;
	report.config_version = sequence;
	return report;
}

struct take_case {
	const char *name;
	struct peer_report first, second;
	uint64_t kept_incarnation;
	uint64_t kept_version;
};

TEST(View, KeepsTheNewerReport)
{
	const take_case cases[] = {
		{ "next of the same life", report_of("n", 1, 5, 0),
		  report_of("n", 1, 6, 0), 1, 6 },
		{ "crossed on the way", report_of("n", 1, 6, 0),
		  report_of("n", 1, 5, 0), 1, 6 },
		{ "the VM restarted", report_of("n", 1, 500, 900),
		  report_of("n", 2, 1, 0), 2, 1 },
		{ "its former self still goes round", report_of("n", 2, 1, 0),
		  report_of("n", 1, 500, 900), 2, 1 },
	};

	for (const auto &c : cases) {
		struct view *view = view_new();
		struct view_node found;

		view_take(view, &c.first, 1000000);
		view_take(view, &c.second, 1000000);
		EXPECT_TRUE(view_find(view, "n", 1000000, &found));
		EXPECT_EQ(c.kept_incarnation, found.incarnation) << c.name;
		EXPECT_EQ(c.kept_version, found.config_version) << c.name;
		view_free(view);
	}
}

TEST(View, SilentLeavingOrFailedIsNotUsable)
{
	struct view *view = view_new();
	struct peer_report report = report_of("n", 1, 1, 0);
	uint64_t now_us = 1000000;

	EXPECT_FALSE(view_is_usable(view, "n", now_us));
	view_take(view, &report, now_us);
	EXPECT_TRUE(view_is_usable(view, "n", now_us));
	EXPECT_FALSE(view_is_usable(view, "n", now_us + VIEW_SILENT_US + 1));

	view_failed(view, "n", now_us);
	EXPECT_FALSE(view_is_usable(view, "n", now_us));
	report.sequence = 2;
	view_take(view, &report, now_us);
	EXPECT_TRUE(view_is_usable(view, "n", now_us));

	report.sequence = 3;
	report.leaving = true;
	view_take(view, &report, now_us);
	EXPECT_FALSE(view_is_usable(view, "n", now_us));
	view_free(view);
}

/* A year of replaced VMs, each under a name of its own, must not fill us. */
TEST(View, NamesOfNodesLongGoneAreForgotten)
{
	struct view *view = view_new();
	struct peer_report report = report_of("n", 1, 1, 0);
	struct peer_message message = {};
	struct view_node found;
	uint64_t now_us = 1000000;

	view_take(view, &report, now_us);
	view_fill(view, &message, "me", now_us + VIEW_FORGET_US);
	EXPECT_TRUE(view_find(view, "n", now_us, &found));
	view_fill(view, &message, "me", now_us + VIEW_FORGET_US + 1);
	EXPECT_FALSE(view_find(view, "n", now_us, &found));
	EXPECT_EQ(0u, message.report_count);
	peer_message_release(&message);
	view_free(view);
}
