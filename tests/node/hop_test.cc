#include "node/hop.h"

#include <gtest/gtest.h>

#include "node/entry.h"
#include "node/fakes.h"

class Hop : public testing::Test
{
      protected:
	void SetUp() override
	{
		metrics_open();
		fake = new fake_node;
		fake->apply_everywhere(1);
	}

	void TearDown() override
	{
		delete fake;
		metrics_close();
	}

	enum result serve(const char *ticket, uint32_t attempt,
			  uint64_t incarnation)
	{
		struct request request = {};
		struct answer answer;
		enum result result;

		request.method = "POST";
		request.service = "certif";
		request.path = "";
		request.deadline_us = fake->clock.now_us + 1000000;
		request.attempt = attempt;
		g_strlcpy(request.id, "r1", ID_SIZE);
		g_strlcpy(request.ticket, ticket, ID_SIZE);
		answer_init(&answer);
		hop_serve(fake->node, incarnation, &request, &answer);
		result = answer.result;
		answer_release(&answer);
		return result;
	}

	enum result fence(const char *ticket, uint32_t attempt,
			  uint64_t incarnation)
	{
		struct answer answer;
		enum result result;

		answer_init(&answer);
		hop_fence(fake->node, incarnation, ticket, attempt, &answer);
		result = answer.result;
		answer_release(&answer);
		return result;
	}

	fake_node *fake;
};

/*
 * Two certificate numbers for one boiler. The entry node's connection broke, it
 * asked the gate, heard "not run" and issued the certificate at another place;
 * then the first copy, held up on the way, arrived at the gate and ran.
 */
TEST_F(Hop, LateCopyMeetsTheTombstone)
{
	uint64_t self = fake->node->incarnation;

	EXPECT_EQ(RESULT_FENCED, fence("t", 1, self));
	EXPECT_EQ(RESULT_FENCED, serve("t", 1, self));
	EXPECT_EQ(RESULT_FENCED, fence("t", 1, self));
}

/* The next attempt is another one; nothing listens at its backend server. */
TEST_F(Hop, TombstoneIsForOneAttempt)
{
	uint64_t self = fake->node->incarnation;

	EXPECT_EQ(RESULT_FENCED, fence("t", 1, self));
	EXPECT_EQ(RESULT_CONNECT_FAILED, serve("t", 2, self));
}

/*
 * The gate ran an order and its VM was replaced before the answer got back. The
 * new node's ledger is empty; asked by the old incarnation's name it must not
 * take "absent" for "not run".
 */
TEST_F(Hop, RestartedNodeProvesNothingForItsFormerSelf)
{
	uint64_t former = fake->node->incarnation + 1;

	EXPECT_EQ(RESULT_OUTCOME_UNKNOWN, fence("t", 1, former));
	EXPECT_EQ(RESULT_OTHER_INCARNATION, serve("t", 1, former));
}

/* A refused attempt stays refused, whatever copy of it comes later. */
TEST_F(Hop, RefusedAttemptNeverRunsLater)
{
	uint64_t self = fake->node->incarnation;

	EXPECT_EQ(RESULT_CONNECT_FAILED, serve("t", 1, self));
	EXPECT_EQ(RESULT_FENCED, serve("t", 1, self));
}

struct ticket_case {
	const char *name;
	const char *node;
	uint64_t incarnation_off;
	uint64_t epoch;
	uint64_t now_epoch;
	enum result result;
};

TEST_F(Hop, TicketIsCheckedBeforeAnythingRuns)
{
	const ticket_case cases[] = {
		{ "other node's", "n2", 0, 0, 0, RESULT_TICKET_ELSEWHERE },
		{ "former life's", "n1", 1, 0, 0, RESULT_OUTCOME_UNKNOWN },
		{ "never issued", "n1", 0, 5, 0, RESULT_TICKET_MALFORMED },
		{ "good; nothing listens at the backend server", "n1", 0, 0, 0,
		  RESULT_CONNECT_FAILED },
		{ "forgotten", "n1", 0, 0, TICKET_EPOCHS_ACCEPTED + 1,
		  RESULT_OUTCOME_UNKNOWN },
	};

	for (const auto &c : cases) {
		struct ticket ticket = {};
		struct request request = {};
		struct answer answer;

		fake->clock.now_us =
			fake->node->started_us + c.now_epoch * TICKET_EPOCH_US;
		g_strlcpy(ticket.node, c.node, NAME_SIZE);
		ticket.incarnation =
			fake->node->incarnation + c.incarnation_off;
		ticket.epoch = c.epoch;
		request.method = "POST";
		request.service = "certif";
		request.path = "";
		ticket_format(&ticket, request.ticket);
		answer_init(&answer);
		entry_serve(fake->node, &request, &answer);
		EXPECT_EQ(c.result, answer.result)
			<< c.name << ": " << result_name(answer.result);
		answer_release(&answer);
	}
}
