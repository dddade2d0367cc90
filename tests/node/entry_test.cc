#include "node/entry.h"

#include <gtest/gtest.h>

#include "node/fakes.h"

class Entry : public testing::Test
{
      protected:
	void SetUp() override
	{
		metrics_open();
		fake = new fake_node;
		fake->apply_everywhere(1);
		make_ticket("n1", 0);
	}

	void TearDown() override
	{
		delete fake;
		metrics_close();
	}

	void make_ticket(const char *node_name, uint64_t incarnation_off)
	{
		struct ticket ticket = {};

		g_strlcpy(ticket.node, node_name, NAME_SIZE);
		ticket.incarnation = fake->node->incarnation + incarnation_off;
		ticket_format(&ticket, text);
	}

	/* The ledger as after a run of the ticket that ended so. */
	void ran(enum ledger_state state)
	{
		const struct ledger_answer *kept = nullptr;
		struct ledger_answer answer = { 200, nullptr, nullptr, 0 };

		ledger_start(fake->node->entry_ledger, text, 0, &kept);
		if (state != LEDGER_RUNNING)
			ledger_finish(fake->node->entry_ledger, text, state,
				      &answer);
	}

	enum result serve(const char *service, int64_t left_us)
	{
		struct request request = {};
		struct answer answer;
		enum result result;

		request.method = "POST";
		request.service = service;
		request.path = "";
		request.deadline_us =
			(uint64_t)((int64_t)fake->clock.now_us + left_us);
		g_strlcpy(request.id, "r1", ID_SIZE);
		g_strlcpy(request.ticket, text, ID_SIZE);
		answer_init(&answer);
		entry_serve(fake->node, &request, &answer);
		result = answer.result;
		answer_release(&answer);
		return result;
	}

	fake_node *fake;
	char text[ID_SIZE];
};

/*
 * An inspector is told that a certificate was not issued, and the boiler has
 * one all the same. The first copy of the request was held up on the way, the
 * second was refused as not run; then the first one came and ran.
 */
TEST_F(Entry, RefusedTicketNeverRunsLater)
{
	/* Nothing listens at the backend server. */
	EXPECT_EQ(RESULT_CONNECT_FAILED, serve("certif", 1000000));
	EXPECT_EQ(RESULT_FENCED, serve("certif", 1000000));
}

TEST_F(Entry, TicketRefusedAtTheDoorNeverRunsLater)
{
	EXPECT_EQ(RESULT_DEADLINE_EXPIRED, serve("certif", 0));
	EXPECT_EQ(RESULT_FENCED, serve("certif", 1000000));
}

/*
 * A member orders ice, the answer is lost, and meanwhile the service is stopped
 * or taken away, or the member asks with no time left. "Not run" would be the
 * truth about the question and a lie about the order.
 */
TEST_F(Entry, DoorTellsWhatBecameOfATicketThatRan)
{
	const struct {
		enum ledger_state state;
		enum result result;
	} cases[] = {
		{ LEDGER_RUNNING, RESULT_IN_PROGRESS },
		{ LEDGER_DONE, RESULT_OK },
		{ LEDGER_UNKNOWN, RESULT_OUTCOME_UNKNOWN },
	};

	for (const auto &c : cases) {
		delete fake;
		fake = new fake_node;
		fake->apply_everywhere(1);
		make_ticket("n1", 0);
		ran(c.state);
		EXPECT_EQ(c.result, serve("certif", 0));
		EXPECT_EQ(c.result, serve("no-such-service", 1000000));
	}
}

/*
 * The node was replaced, and has no configuration yet. What its former self ran
 * it can't know, so it mustn't say "not run" to the caller who asks again.
 */
TEST_F(Entry, NodeWithoutConfigurationProvesNothingForOthers)
{
	delete fake;
	fake = new fake_node;
	make_ticket("n1", 1);
	EXPECT_EQ(RESULT_OUTCOME_UNKNOWN, serve("certif", 1000000));
	make_ticket("n2", 0);
	EXPECT_EQ(RESULT_TICKET_ELSEWHERE, serve("certif", 1000000));
}

/*
 * Calls fail at a place in the second after one of its entry VMs is drained for
 * replacement. The drained node has no slots any more, and refused at its own
 * gate what its sibling had room for; other nodes took that for a full place.
 */
TEST(DrainedEntry, HandsOnToItsSibling)
{
	std::string drained = fake_document;
	struct peer_service_report service = {};
	struct peer_report report = {};
	struct request request = {};
	struct answer answer;

	metrics_open();
	{
		fake_node fake;

		drained.replace(drained.find("\"address\": \"127.1.1.1\""), 22,
				"\"address\": \"127.1.1.1\", "
				"\"drained\": true");
		fake.apply_everywhere(1, drained.c_str());
		g_strlcpy(service.service, "historia", NAME_SIZE);
		service.summary.slots = 5;
		service.summary.in_flight = 5;
		g_strlcpy(report.node, "n2", NAME_SIZE);
		report.incarnation = 7;
		report.sequence = 100;
		report.service_count = 1;
		report.services = &service;
		view_take(fake.node->view, &report, fake.clock.now_us);
		state_refresh_places(fake.node);

		request.method = "GET";
		request.service = "historia";
		request.path = "";
		answer_init(&answer);
		entry_serve(fake.node, &request, &answer);
		/* It was sent to the sibling, where nothing listens here. */
		EXPECT_EQ(RESULT_CONNECT_FAILED, answer.result)
			<< result_name(answer.result);
		answer_release(&answer);
	}
	metrics_close();
}
