#include "core/lookup.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

/*
 * Places a1 and a2 in region a, b1 in b, c1 in c; c is nearer to a than b is.
 * Nodes 0 to 2 are at a1, 3 and 4 at a2, 5 at b1, 6 at c1.
 */
static const char *const fleet =
	R"({"services": [], "backends": [], "shifts": [], "blocks": [],
"commands": [], "places": [
 {"name": "a1", "region": "a"}, {"name": "a2", "region": "a"},
 {"name": "b1", "region": "b"}, {"name": "c1", "region": "c"}],
"links": [
 {"from": "a", "to": "b", "one_way_us": 55000, "limit_per_s": 0},
 {"from": "a", "to": "c", "one_way_us": 20000, "limit_per_s": 0}],
"nodes": [
 {"name": "n0", "place": "a1", "address": "127.0.0.1", "http_port": 1,
  "peer_port": 11}, {"name": "n1", "place": "a1", "address": "127.0.0.1",
  "http_port": 2, "peer_port": 12}, {"name": "n2", "place": "a1",
  "address": "127.0.0.1", "http_port": 3, "peer_port": 13},
 {"name": "n3", "place": "a2", "address": "127.0.0.1", "http_port": 4,
  "peer_port": 14}, {"name": "n4", "place": "a2", "address": "127.0.0.1",
  "http_port": 5, "peer_port": 15},
 {"name": "n5", "place": "b1", "address": "127.0.0.1", "http_port": 6,
  "peer_port": 16},
 {"name": "n6", "place": "c1", "address": "127.0.0.1", "http_port": 7,
  "peer_port": 17}]})";

struct lookup_case {
	const char *what;
	uint32_t home;
	const char *states; /* first letter per node: alive, leaving, dead */
	uint32_t max_nodes;
	const char *places; /* expected: H for home, else the region's name */
};

static void PrintTo(const lookup_case &c, std::ostream *out)
{
	*out << c.what;
}

class LookupOrder : public testing::TestWithParam<lookup_case>
{
      protected:
	struct config *config = nullptr;
	struct lookup_table *table = nullptr;

	void SetUp() override
	{
		GError *error = nullptr;

		config = config_decode(fleet, strlen(fleet), &error);
		ASSERT_NE(nullptr, config) << error->message;
		table = lookup_table_new(config);
	}

	void TearDown() override
	{
		lookup_table_free(table);
		config_free(config);
	}
};

TEST_P(LookupOrder, HomeThenRegionThenTheNearestOthers)
{
	const lookup_case &c = GetParam();
	std::vector<uint8_t> states;

	for (const char *state = c.states; *state; state++)
		states.push_back(*state == 'a' ? LOOKUP_ALIVE :
				 *state == 'l' ? LOOKUP_LEAVING :
						 LOOKUP_DEAD);
	for (uint32_t draw = 0; draw < 100; draw++) {
		uint32_t nodes[LOOKUP_MAX_NODES];
		uint32_t count = lookup_order(table, c.home, states.data(),
					      draw * 2654435761u, nodes,
					      c.max_nodes);
		std::map<uint32_t, int> seen;
		std::string places;

		for (uint32_t i = 0; i < count; i++) {
			uint32_t place = config->nodes[nodes[i]].place;

			places += place == c.home ?
					  'H' :
					  config->places[place].region[0];
			EXPECT_EQ(1, ++seen[nodes[i]]);
		}
		ASSERT_EQ(c.places, places);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Cases, LookupOrder,
	testing::Values(
		lookup_case{ "room for all", 0, "aaaaaaa", 16, "HHHaacb" },
		lookup_case{ "four include one per list", 0, "aaaaaaa", 4,
			     "HHac" },
		lookup_case{ "two are both of home", 0, "aaaaaaa", 2, "HH" },
		lookup_case{ "none requested", 0, "aaaaaaa", 0, "" },
		lookup_case{ "dead and leaving are skipped", 0, "adlaada", 16,
			     "Haac" },
		lookup_case{ "home is dead", 0, "dddaaaa", 4, "aacb" },
		lookup_case{ "region is dead", 0, "dddddaa", 4, "cb" },
		lookup_case{ "only leaving nodes left", 0, "ddllddd", 4, "Ha" },
		lookup_case{ "only dead nodes", 1, "ddddddd", 4, "HHac" },
		lookup_case{ "link given in the other direction", 2, "aaaaaaa",
			     2, "Ha" },
		lookup_case{ "home with one node", 3, "aaaaaaa", 3, "Haa" }));

/*
 * If all callers of a dead home node got the same next node, that one would
 * have twice its load and could fail too.
 */
TEST_F(LookupOrder, CallersOfADeadNodeSpreadOverTheOthers)
{
	const int draws = 3000;
	uint8_t states[7] = { LOOKUP_DEAD };
	std::map<uint32_t, int> all, without;
	uint32_t node;

	for (int i = 0; i < draws; i++) {
		uint32_t draw = (uint32_t)i * 2654435761u;

		lookup_order(table, 0, nullptr, draw, &node, 1);
		all[node]++;
		lookup_order(table, 0, states, draw, &node, 1);
		without[node]++;
	}
	for (uint32_t i = 0; i < 3; i++)
		EXPECT_NEAR(draws / 3, all[i], draws / 20);
	for (uint32_t i = 1; i < 3; i++)
		EXPECT_NEAR(draws / 2, without[i], draws / 20);
}

TEST_F(LookupOrder, CallersWithoutHomeSpreadOverAllPlaces)
{
	std::map<uint32_t, int> places;
	uint32_t node;

	for (uint32_t i = 0; i < 4000; i++) {
		lookup_order(table, CONFIG_NONE, nullptr, i * 2654435761u,
			     &node, 1);
		places[config->nodes[node].place]++;
	}
	for (uint32_t i = 0; i < 4; i++)
		EXPECT_NEAR(1000, places[i], 150);
}
