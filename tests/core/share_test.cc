#include "core/share.h"

#include "core/gate.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

static void change(struct share_table *table, uint64_t version, uint32_t slots)
{
	struct share_target target = { "b", slots };

	share_table_apply_version(table, version, &target, 1);
}

TEST(Share, ShrinksAtOnceAndGrowsWhenSettled)
{
	struct share_table *table = share_table_new();

	change(table, 1, 3);
	EXPECT_EQ(0u, share_table_slots(table, "b"));
	share_table_settle(table, 1);
	EXPECT_EQ(3u, share_table_slots(table, "b"));
	change(table, 2, 1);
	EXPECT_EQ(1u, share_table_slots(table, "b"));
	EXPECT_FALSE(share_table_is_settled(table));
	/* Others may have settled version 2, which this node had passed. */
	change(table, 3, 3);
	EXPECT_EQ(1u, share_table_slots(table, "b"));
	share_table_settle(table, 2);
	EXPECT_EQ(1u, share_table_slots(table, "b"));
	share_table_settle(table, 3);
	EXPECT_EQ(3u, share_table_slots(table, "b"));
	EXPECT_EQ(0u, share_table_slots(table, "unknown"));
	share_table_free(table);
}

/* Nodes of one place that share one backend server, in random order. */
class Place
{
      public:
	static constexpr uint32_t NODES = 4;
	static constexpr uint32_t SLOTS = 7;

	explicit Place(uint32_t seed) : random_(seed)
	{
		for (auto &node : nodes_)
			node.table = share_table_new();
		members_.push_back(0); /* version 0: no nodes */
	}

	~Place()
	{
		for (auto &node : nodes_)
			share_table_free(node.table);
	}

	void step()
	{
		uint32_t index = draw(NODES);
		struct node_state &node = nodes_[index];

		switch (draw(8)) {
		case 0: /* an operator adds, drains or removes nodes */
			if (draw(16) == 0)
				members_.push_back(draw(1 << NODES));
			break;
		case 1: /* it reads a newer version, perhaps skipping some */
			take_version(node, index,
				     members_.size() - 1 -
					     draw(std::min<size_t>(
						     3, members_.size())));
			break;
		case 2: /* it restarts and loses its state */
			if (draw(32) == 0)
				restart(node);
			break;
		case 3: /* its report reaches the others, perhaps an old one */
			node.declared = declares(node);
			break;
		case 4:
			settle(node, index);
			break;
		case 5: /* a request ends */
			if (node.in_flight)
				node.in_flight--;
			break;
		default: /* a request starts if the share allows it */
			if (node.in_flight < share_table_slots(node.table, "b"))
				node.in_flight++;
		}
	}

	uint32_t in_flight() const
	{
		uint32_t sum = 0;

		for (const auto &node : nodes_)
			sum += node.in_flight;
		return sum;
	}

      private:
	struct node_state {
		struct share_table *table;
		uint32_t in_flight = 0;
		uint64_t declared = 0; /* as last received by the others */
	};

	uint32_t draw(uint32_t below)
	{
		random_ = random_ * 6364136223846793005ull +
			  1442695040888963407ull;
		return (uint32_t)(random_ >> 33) % below;
	}

	void take_version(struct node_state &node, uint32_t index,
			  uint64_t version)
	{
		uint32_t mask = members_[version];
		uint32_t rank = 0, count = 0;

		for (uint32_t i = 0; i < NODES; i++) {
			if (!(mask & (1u << i)))
				continue;
			if (i < index)
				rank++;
			count++;
		}
		change(node.table, version,
		       mask & (1u << index) ? gate_share(SLOTS, rank, count) :
					      0);
	}

	/* Its requests at the backend server end with the process. */
	void restart(struct node_state &node)
	{
		share_table_free(node.table);
		node.table = share_table_new();
		node.in_flight = 0;
	}

	static uint64_t declares(const struct node_state &node)
	{
		if (node.in_flight > share_table_slots(node.table, "b"))
			return 0;
		return share_table_version(node.table);
	}

	void settle(struct node_state &node, uint32_t index)
	{
		uint64_t version = share_table_version(node.table);

		for (uint32_t i = 0; i < NODES; i++)
			if (i != index && nodes_[i].declared != version)
				return;
		share_table_settle(node.table, version);
	}

	uint64_t random_;
	struct node_state nodes_[NODES];
	std::vector<uint32_t> members_;
};

/*
 * Guards against sending a backend server more requests than its slots, which
 * it drops all. This happens if a node added to a place takes its share as soon
 * as it reads the new version, while another node still uses its larger share
 * of the old version.
 */
TEST(Share, SumNeverExceedsTheSlotsInAnyOrder)
{
	uint32_t max_in_flight = 0;

	for (uint32_t seed = 1; seed <= 300; seed++) {
		Place place(seed);

		for (int i = 0; i < 4000; i++) {
			place.step();
			ASSERT_LE(place.in_flight(), Place::SLOTS)
				<< "seed " << seed << " step " << i;
			max_in_flight =
				std::max(max_in_flight, place.in_flight());
		}
	}
	/* All slots do get used. */
	EXPECT_EQ(Place::SLOTS, max_in_flight);
}
