#include <gtest/gtest.h>

#include "node/fakes.h"

class State : public testing::Test
{
      protected:
	void SetUp() override
	{
		metrics_open();
	}

	void TearDown() override
	{
		metrics_close();
	}
};

/*
 * An operator drains a place and is told that version 8 is in force. A peer
 * that was cut off comes back and still passes version 7 on; were it taken,
 * traffic would flow to the drained place again.
 */
TEST_F(State, ConfigurationNeverReverts)
{
	fake_node fake;
	struct {
		uint64_t offered;
		bool taken;
		uint64_t in_force;
	} cases[] = {
		{ 7, true, 7 },	 { 8, true, 8 },   { 7, false, 8 },
		{ 8, false, 8 }, { 12, true, 12 }, { 0, false, 12 },
	};

	EXPECT_EQ(0u, state_version(fake.node));
	for (const auto &c : cases) {
		EXPECT_EQ(c.taken, fake.apply(c.offered)) << c.offered;
		EXPECT_EQ(c.in_force, state_version(fake.node));
	}
}

TEST_F(State, SnapshotOutlivesTheNextVersion)
{
	fake_node fake;
	struct snapshot *held;

	fake.apply(1);
	held = snapshot_get(fake.node);
	fake.apply(2, R"({"places": [{"name": "other", "region": "r"}]})");
	EXPECT_EQ(1u, held->config->version);
	EXPECT_STREQ("central-1", held->config->places[0].name);
	snapshot_put(held);
}

static uint32_t gate_slots(struct node *node, const char *service)
{
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t index = config_find_service(snapshot->config, service);
	struct gate_summary summary;

	gate_summarise(snapshot->services[index]->gate, state_now_us(node),
		       &summary);
	snapshot_put(snapshot);
	return summary.slots;
}

/* The place's nodes never have more slots between them than there are. */
TEST_F(State, SlotsOfAPlaceAreSplitExactly)
{
	fake_node first("n1");
	fake_node second("n2");
	fake_node stranger("n9");

	first.apply_everywhere(1);
	second.apply_everywhere(1);
	stranger.apply_everywhere(1);
	EXPECT_EQ(5u, gate_slots(first.node, "historia") +
			      gate_slots(second.node, "historia"));
	EXPECT_EQ(3u, gate_slots(first.node, "certif") +
			      gate_slots(second.node, "certif"));
	EXPECT_EQ(0u, gate_slots(stranger.node, "historia"));
}

TEST_F(State, DrainedOrLeavingBackendServerHasNoSlots)
{
	fake_node fake;
	std::string drained = fake_document;
	struct peer_report report = {};
	char name[1][NAME_SIZE] = { "h1" };

	fake.apply_everywhere(1);
	EXPECT_LT(0u, gate_slots(fake.node, "historia"));

	/* Another node was told by the backend server itself. */
	g_strlcpy(report.node, "n2", NAME_SIZE);
	report.incarnation = 7;
	report.sequence = 100;
	report.leaving_backend_count = 1;
	report.leaving_backends = name;
	view_take(fake.node->view, &report, fake.clock.now_us);
	state_refresh_backends(fake.node);
	EXPECT_EQ(0u, gate_slots(fake.node, "historia"));
	EXPECT_LT(0u, gate_slots(fake.node, "certif"));

	drained.replace(drained.find("\"region\": \"central\""), 19,
			"\"region\": \"central\", \"drained\": true");
	EXPECT_TRUE(fake.apply(2, drained.c_str()));
	EXPECT_EQ(0u, gate_slots(fake.node, "certif"));
}

/*
 * An entry VM is drained before its replacement. Its sibling takes over its
 * slots, but only once the drained node has said that it uses none of them: the
 * sibling reads the new version first more often than not.
 */
TEST_F(State, SlotsOfADrainedNodePassOnWhenItHasLetGo)
{
	fake_node fake;
	std::string drained = fake_document;

	fake.apply_everywhere(1);
	EXPECT_EQ(3u, gate_slots(fake.node, "historia"));
	drained.replace(drained.find("\"address\": \"127.1.1.2\""), 22,
			"\"address\": \"127.1.1.2\", \"drained\": true");
	fake.apply(2, drained.c_str());
	state_refresh_shares(fake.node);
	EXPECT_EQ(3u, gate_slots(fake.node, "historia"));
	EXPECT_EQ(2u, state_declared_version(fake.node));
	fake.hear("n2", 2);
	state_refresh_shares(fake.node);
	EXPECT_EQ(5u, gate_slots(fake.node, "historia"));
}

/* A dead sibling is waited for, and not for ever. */
TEST_F(State, SilentSiblingIsGoneAfterAWhile)
{
	fake_node fake;

	fake.apply(1);
	state_refresh_shares(fake.node);
	EXPECT_EQ(0u, gate_slots(fake.node, "historia"));
	fake.clock.now_us += 10 * 1000 * 1000;
	state_refresh_shares(fake.node);
	EXPECT_EQ(3u, gate_slots(fake.node, "historia"));
}

/*
 * A place ran more requests than its servers have slots. A node had restarted
 * and got an older configuration from a lagging peer; it took its larger share
 * of that one by a report of its sibling, which went by what the node's former
 * life had declared and had already taken the same slots over.
 */
TEST_F(State, RestartedNodeTakesItsShareOnlyOnAnAnswer)
{
	fake_node fake;
	struct peer_report report = {};

	fake.apply(1);
	g_strlcpy(report.node, "n2", NAME_SIZE);
	report.incarnation = 7;
	report.sequence = 1;
	report.shares_version = 1;
	view_take(fake.node->view, &report, fake.clock.now_us);
	state_refresh_shares(fake.node);
	EXPECT_EQ(0u, gate_slots(fake.node, "historia"));
	/* An answer of its former life is none of this one. */
	view_answered(fake.node->view, "n2", 6);
	state_refresh_shares(fake.node);
	EXPECT_EQ(0u, gate_slots(fake.node, "historia"));
	view_answered(fake.node->view, "n2", 7);
	state_refresh_shares(fake.node);
	EXPECT_EQ(3u, gate_slots(fake.node, "historia"));
}
