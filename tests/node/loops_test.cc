#include "node/loops.h"

#include <gtest/gtest.h>

#include "adapters/peer_rpc.h"
#include "node/fakes.h"

/* Two nodes of a place that tell each other what they know. */
class Siblings : public testing::Test
{
      protected:
	void SetUp() override
	{
		metrics_open();
		first = new fake_node("n1");
		second = new fake_node("n2");
		first->apply(1);
		second->apply(1);
	}

	void TearDown() override
	{
		delete second;
		delete first;
		metrics_close();
	}

	/* One tells the other, which answers; both judge anew. */
	void exchange(fake_node *from, fake_node *to)
	{
		struct peer_handler asker = loops_peer_handler(from->node);
		struct peer_handler asked = loops_peer_handler(to->node);
		struct peer_message empty = {};
		struct peer_message message, answer, ignored;

		g_strlcpy(empty.sender, "n3", NAME_SIZE);
		asker.exchange(asker.context, &empty, &message);
		asked.exchange(asked.context, &message, &answer);
		asker.exchange(asker.context, &answer, &ignored);
		peer_message_release(&message);
		peer_message_release(&answer);
		peer_message_release(&ignored);
		state_refresh_backends(from->node);
		state_refresh_backends(to->node);
	}

	void settle()
	{
		for (int i = 0; i < 5; i++) {
			first->clock.now_us += 200000;
			second->clock.now_us += 200000;
			exchange(first, second);
			exchange(second, first);
		}
	}

	struct service *certif(fake_node *fake)
	{
		return (struct service *)g_hash_table_lookup(
			fake->node->services, "certif");
	}

	void says_leaving(fake_node *fake, bool leaving)
	{
		gate_record_report(certif(fake)->gate, "c1", 0, leaving,
				   fake->clock.now_us);
	}

	bool is_leaving(fake_node *fake)
	{
		struct gate_backend_view view = {};

		EXPECT_TRUE(gate_view(certif(fake)->gate, 0, fake->clock.now_us,
				      &view));
		return view.leaving;
	}

	fake_node *first;
	fake_node *second;
};

/*
 * A server was drained for an hour and undrained, and never got a request again
 * until all nodes of the place were replaced at once. Each node had it leaving
 * because the other one said so.
 */
TEST_F(Siblings, ServerThatCameBackIsNotKeptAwayByHearsay)
{
	says_leaving(first, true);
	settle();
	EXPECT_TRUE(is_leaving(first));
	EXPECT_TRUE(is_leaving(second));
	says_leaving(first, false);
	settle();
	EXPECT_FALSE(is_leaving(first));
	EXPECT_FALSE(is_leaving(second));
}

TEST_F(Siblings, UndrainedServerIsNotKeptAwayByHearsay)
{
	std::string drained = fake_document;
	std::string slots = "\"port\": 9, \"slots\": 3";

	drained.insert(drained.find(slots) + slots.size(),
		       ", \"drained\": true");
	first->apply(2, drained.c_str());
	settle();
	EXPECT_TRUE(is_leaving(second));
	first->apply(3);
	settle();
	EXPECT_FALSE(is_leaving(first));
	EXPECT_FALSE(is_leaving(second));
}
