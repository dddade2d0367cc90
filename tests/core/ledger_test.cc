#include "core/ticket.h"

#include <gtest/gtest.h>

#include <string>

class Ledger : public testing::Test
{
      protected:
	struct ledger *ledger = ledger_new(16);
	const struct ledger_answer *kept = nullptr;

	~Ledger() override
	{
		ledger_free(ledger);
	}

	enum result start(const char *id, uint64_t epoch = 1)
	{
		return ledger_start(ledger, id, epoch, &kept);
	}

	enum ledger_state fence(const char *id, uint64_t epoch = 1)
	{
		return ledger_fence(ledger, id, epoch, &kept);
	}

	void finish(const char *id, enum ledger_state state,
		    const std::string &body = "")
	{
		struct ledger_answer answer = {};

		answer.http_status = 200;
		answer.body = g_strdup(body.c_str());
		answer.body_bytes = body.size();
		ledger_finish(ledger, id, state, &answer);
		EXPECT_EQ(nullptr, answer.body);
	}

	void bring_to(const char *id, enum ledger_state state)
	{
		if (state == LEDGER_FENCED)
			fence(id);
		if (state == LEDGER_ABSENT || state == LEDGER_FENCED)
			return;
		start(id);
		if (state != LEDGER_RUNNING)
			finish(id,
			       state == LEDGER_DROPPED ? LEDGER_DONE : state,
			       "body");
		if (state == LEDGER_DROPPED)
			ledger_limit_bytes(ledger, 0);
	}
};

TEST_F(Ledger, StartAndFenceFollowTheState)
{
	const struct {
		enum ledger_state state;
		enum result start;
		enum ledger_state fence;
		bool answer;
	} cases[] = {
		{ LEDGER_ABSENT, RESULT_OK, LEDGER_ABSENT, false },
		{ LEDGER_RUNNING, RESULT_IN_PROGRESS, LEDGER_RUNNING, false },
		{ LEDGER_DONE, RESULT_OK, LEDGER_DONE, true },
		{ LEDGER_UNKNOWN, RESULT_OUTCOME_UNKNOWN, LEDGER_UNKNOWN,
		  false },
		{ LEDGER_FENCED, RESULT_FENCED, LEDGER_FENCED, false },
		{ LEDGER_DROPPED, RESULT_ANSWER_DROPPED, LEDGER_DROPPED,
		  false },
	};

	for (const auto &c : cases) {
		std::string started = "s" + std::to_string(c.state);
		std::string fenced = "f" + std::to_string(c.state);

		bring_to(started.c_str(), c.state);
		bring_to(fenced.c_str(), c.state);
		EXPECT_EQ(c.start, start(started.c_str())) << c.state;
		EXPECT_EQ(c.answer, kept != nullptr) << c.state;
		EXPECT_EQ(c.fence, fence(fenced.c_str())) << c.state;
		EXPECT_EQ(c.answer, kept != nullptr) << c.state;
	}
}

TEST_F(Ledger, FirstFinalStateStays)
{
	const struct {
		enum ledger_state first, then;
		enum result start;
	} cases[] = {
		{ LEDGER_DONE, LEDGER_UNKNOWN, RESULT_OK },
		{ LEDGER_DONE, LEDGER_ABSENT, RESULT_OK },
		{ LEDGER_FENCED, LEDGER_DONE, RESULT_FENCED },
		{ LEDGER_FENCED, LEDGER_ABSENT, RESULT_FENCED },
		{ LEDGER_UNKNOWN, LEDGER_DONE, RESULT_OK },
	};
	int number = 0;

	for (const auto &c : cases) {
		std::string id = std::to_string(number++);

		bring_to(id.c_str(), c.first);
		finish(id.c_str(), c.then, "body");
		EXPECT_EQ(c.start, start(id.c_str())) << id;
		EXPECT_EQ(c.start == RESULT_OK, kept != nullptr) << id;
	}
}

/*
 * A request comes while the ledger is full. If an old entry were evicted to
 * make room, a resend of it would run a second time, so the new request is
 * refused without being run.
 */
TEST_F(Ledger, FullLedgerRefusesStartsAndEvictsNothing)
{
	int i;

	for (i = 0; start(std::to_string(i).c_str()) == RESULT_OK; i++)
		finish(std::to_string(i).c_str(), LEDGER_DONE, "kept");
	EXPECT_EQ(14, i);
	EXPECT_EQ(RESULT_OVERLOAD, start("late"));
	for (i = 0; i < 14; i++) {
		EXPECT_EQ(RESULT_OK, start(std::to_string(i).c_str()));
		ASSERT_NE(nullptr, kept);
		EXPECT_STREQ("kept", kept->body);
	}
	EXPECT_EQ(LEDGER_ABSENT, fence("t1"));
	EXPECT_EQ(LEDGER_ABSENT, fence("t2"));
	EXPECT_EQ(LEDGER_UNKNOWN, fence("t3"));
	ledger_expire(ledger, 2);
	EXPECT_EQ(0u, ledger_count(ledger));
	EXPECT_EQ(0u, ledger_bytes(ledger));
	EXPECT_EQ(RESULT_OK, start("late", 2));
}

/*
 * Kept answers exceed the limit in bytes and the oldest is dropped. A resend of
 * its request must get "it ran, the answer isn't kept" and never "not run",
 * upon which the caller would repeat the request under a new ticket.
 */
TEST_F(Ledger, AboveTheByteLimitTheOldestAnswerIsDroppedNotItsState)
{
	ledger_limit_bytes(ledger, 10);
	for (const char *id : { "a", "b", "c" }) {
		start(id);
		finish(id, LEDGER_DONE, "12345");
	}
	EXPECT_EQ(10u, ledger_bytes(ledger));
	EXPECT_EQ(RESULT_ANSWER_DROPPED, start("a"));
	EXPECT_FALSE(result_proves_not_run(RESULT_ANSWER_DROPPED));
	EXPECT_EQ(RESULT_OK, start("b"));
	EXPECT_STREQ("12345", kept->body);
}

TEST_F(Ledger, IdThatCertainlyDidNotRunMayStartAgain)
{
	start("a");
	finish("a", LEDGER_ABSENT);
	EXPECT_EQ(0u, ledger_count(ledger));
	EXPECT_EQ(RESULT_OK, start("a"));
	EXPECT_EQ(nullptr, kept);
}

/*
 * A ticket passes the owner's epoch check, then its thread is delayed until the
 * epoch has expired. If it started then, it could run for the second time,
 * since an earlier entry would have been removed.
 */
TEST_F(Ledger, ExpiredEpochsNeitherStartNorFence)
{
	start("running");
	start("old");
	finish("old", LEDGER_DONE, "body");
	ledger_expire(ledger, 2);
	EXPECT_EQ(RESULT_OUTCOME_UNKNOWN, start("old"));
	EXPECT_EQ(LEDGER_UNKNOWN, fence("other"));
	EXPECT_EQ(RESULT_IN_PROGRESS, start("running"));
	finish("running", LEDGER_DONE, "body");
	EXPECT_EQ(RESULT_OUTCOME_UNKNOWN, start("running"));
	EXPECT_EQ(0u, ledger_bytes(ledger));
}
