/*
 * What a node takes for confirmed, and what it denies by it. A caller of a
 * route that the operator had added got a final 404 though the store had
 * acknowledged the route for longer than it may take to be in force everywhere.
 * The order: something that tells nothing of the newest routes (the end of an
 * older document, a lost history, another table's answer, a neighbour that
 * can't read them) counted as the platform's word that the node's old ones
 * hold. The cause: a confirmation was dated by when it came, not by when the
 * platform gave it.
 */
#include "edge/large_document.h"

namespace
{

class ConfirmationTest : public LargeDocumentTest
{
};

/*
 * A node that isn't sure of its routes: what it doesn't find may be there. A
 * 404 is final, so it says when to come back instead.
 */
struct belief_case {
	const char *name;
	bool differs; /* a neighbour that asked later knows other routes */
	bool cut_off; /* no word for longer than a change may take */
	int unknown; /* status for a route that isn't in the table */
	int known; /* and for one that is */
	int large; /* and for a body over the operator's limit */
};

const belief_case belief_cases[] = {
	{ "Confirmed", false, false, 404, 200, 413 },
	{ "ANeighbourKnowsOthers", true, false, 503, 200, 503 },
	{ "CutOff", false, true, 503, 200, 503 },
};

class BeliefTest : public ConfirmationTest,
		   public ::testing::WithParamInterface<belief_case>
{
};

TEST_P(BeliefTest, DecidesWhatIsFinal)
{
	const belief_case &c = GetParam();

	add_app("i-1");
	start_node();
	add_reader();
	vouch(0);
	run_for(300);
	vouch(0);
	if (c.cut_off) {
		silence();
		run_for(settings.config_within_us / 1000 + 300);
	}
	if (c.differs) {
		silence();
		vouch(1);
	}
	std::string answer = answer_to(get("u1", "/added-later/"));
	EXPECT_EQ(c.unknown, status_of(answer));
	EXPECT_EQ(c.unknown == 503,
		  answer.find("Retry-After: ") != std::string::npos);
	EXPECT_EQ(c.known, status_at("/r/"));
	EXPECT_EQ(c.large, status_of(answer_to(get(
				   "u2", "/r/", "Content-Length: 2000000\r\n",
				   "POST"))));
}

INSTANTIATE_TEST_SUITE_P(Cases, BeliefTest, ::testing::ValuesIn(belief_cases),
			 [](const auto &info) { return info.param.name; });

/* There is a newer version, and nobody here knows what it says. */
TEST_F(ConfirmationTest, ADocumentThatCannotBeReadDeniesNothing)
{
	add_app("i-1");
	start_node();
	EXPECT_EQ(404, status_at("/added-later/"));
	store_stand_put(store, "op", "config", "{\"version\":2,\"routes\":{");
	wait_for([this] { return status_at("/added-later/") == 503; });
	EXPECT_EQ(200, status_at("/r/"));
	put_routes(3);
	wait_for([this] { return edge->routes->version == 3; });
	EXPECT_EQ(404, status_at("/added-later/"));
}

/* Before the first routes are known the limits are a guess, too. */
TEST_F(ConfirmationTest, ANodeThatKnowsNothingDeniesNothing)
{
	silence();
	start_node(false);
	EXPECT_EQ(503, status_at("/r/"));
	EXPECT_EQ(503, status_of(answer_to(get("u2", "/r/",
					       "Content-Length: 2000000\r\n",
					       "POST"))));
}

/*
 * A document takes 2.4 s to arrive; a newer one is acknowledged meanwhile. The
 * node takes the old one for confirmed as of its last byte, not of its first,
 * and denies the newer one's routes for 2.4 s longer than it may.
 */
TEST_F(ConfirmationTest, ADocumentIsConfirmedAsOfItsBeginning)
{
	const std::string late =
		",\"late\":{\"host\":\"h.example\",\"prefix\":\"/late/\","
		"\"kind\":\"idempotent\",\"timeout\":\"2000ms\","
		"\"target_latency\":\"600ms\",\"priority\":2,"
		"\"service\":\"s\",\"max_attempts\":2,\"sticky\":true,"
		"\"allowed_regions\":[]}";
	uint64_t put_us;

	start_beside_reader();
	narrow_link();
	put_large(2);
	vouch(1);
	run_for(200);
	put_large(3, late); /* acknowledged here */
	put_us = edge_now_us(edge);
	while (edge->routes->version < 2) {
		reader_lives();
		run_for(50);
	}
	ASSERT_EQ(2u, edge->routes->version);
	while (edge_now_us(edge) - put_us <
	       settings.config_within_us + 100000) {
		reader_lives();
		run_for(50);
	}
	EXPECT_NE(404, status_at("/late/"))
		<< (edge_now_us(edge) - put_us) / 1000
		<< " ms after the acknowledgement, version "
		<< edge->routes->version << ", age "
		<< sync_routes_age_us(sync) / 1000 << " ms";
}

/*
 * Two versions in quick succession. The first one's transfer took so long that
 * the second was due when it ended, and its rows counted as confirmed at that
 * moment: for as long again the node, and each neighbour that it told, denied
 * the routes of the second. They are as old as the answer's sending.
 */
TEST_F(ConfirmationTest, RowsAreConfirmedAsOfTheirSending)
{
	const uint64_t under_way_ms = 150;
	uint64_t put_us;

	add_app("i-1");
	start_node();
	run_for(700);
	narrow_link();
	put_large(2);
	run_for(300);
	put_large(3);
	put_us = edge_now_us(edge);
	wait_for([this] { return edge->routes->version == 2; });
	EXPECT_GE(sync_routes_age_us(sync) + under_way_ms * 1000,
		  edge_now_us(edge) - put_us);
	wait_for([this] { return edge->routes->version == 3; });
}

/*
 * A node that was cut off for long is told that the history it follows is gone.
 * That tells nothing of the rows, yet counted as their confirmation: until the
 * whole table begins to arrive the node denies out of its old one.
 */
TEST_F(ConfirmationTest, LostHistoryConfirmsNothing)
{
	struct store_faults faults = {};
	int status = 503;

	add_app("i-1");
	start_node();
	EXPECT_EQ(404, status_at("/n7/"));
	faults.silent = true;
	store_stand_set_faults(store, &faults);
	run_for(settings.config_within_us / 1000 + 2000);
	EXPECT_EQ(503, status_at("/n7/"));
	put_large(2);
	store_stand_forget(store);
	faults.silent = false;
	faults.slow_us = 400000;
	store_stand_set_faults(store, &faults);
	uint64_t end_us = edge_now_us(edge) + 8000000;
	while (edge->routes->version < 2 && edge_now_us(edge) < end_us) {
		status = status_at("/n7/");
		ASSERT_NE(404, status)
			<< "confirmed " << sync_routes_age_us(sync) / 1000
			<< " ms ago";
		run_for(20);
	}
	EXPECT_EQ(2u, edge->routes->version);
}

/*
 * The region's reader can't read the newest document. It knows that, and goes
 * on to vouch for its old routes; its neighbours, which never see the document,
 * deny what it adds.
 */
TEST_F(ConfirmationTest, AReaderThatCannotReadTheNewestVouchesForNoRoutes)
{
	struct beat_vouch vouches[BEAT_MAX_VOUCHES];

	add_app("i-1");
	start_node();
	store_stand_put(store, "op", "config", "{\"version\":2,\"routes\":{");
	wait_for([this] { return status_at("/added-later/") == 503; });
	run_for(1500);
	uint32_t count = sync_vouches(sync, vouches);
	for (uint32_t i = 0; i < count; i++)
		EXPECT_FALSE(vouches[i].table == REGISTRY_CONFIG &&
			     vouches[i].age_ms < 2500)
			<< "vouches for the routes, " << vouches[i].age_ms
			<< " ms old";
}

/*
 * The answer to the held call for the routes is lost with its connection; the
 * calls for backend servers go on. Each of these confirmed the old routes,
 * until the held call's time-out 3.5 s later: a 404 past the time within which
 * the change must be in force, by the reader and by all who have its word.
 */
TEST_F(ConfirmationTest, OthersAnswersDoNotConfirmForLongerThanAChangeMayTake)
{
	struct store_faults faults = {};
	uint64_t put_us;

	add_app("i-1");
	start_node();
	run_for(200);
	faults.silent_table = "op";
	store_stand_set_faults(store, &faults);
	put_large(2);
	put_us = edge_now_us(edge);
	run_for(settings.config_within_us / 1000 + 100);
	for (int i = 0; i < 40 && edge->routes->version < 2; i++) {
		ASSERT_NE(404, status_at("/n7/"))
			<< (edge_now_us(edge) - put_us) / 1000
			<< " ms after the change; routes confirmed "
			<< sync_routes_age_us(sync) / 1000 << " ms ago";
		run_for(50);
	}
}

/*
 * The store told of a newer document a moment ago, and it is arriving. What the
 * one before doesn't have may be in it.
 */
TEST_F(ConfirmationTest, WhileOthersArriveNothingIsDenied)
{
	add_app("i-1");
	start_node();
	EXPECT_EQ(404, status_at("/n7/"));
	narrow_link();
	put_large(2);
	run_for(300);
	EXPECT_EQ(503, status_at("/n7/"));
	EXPECT_EQ(200, status_at("/r/"));
	wait_for([this] { return edge->routes->version == 2; });
	EXPECT_EQ(200, status_at("/n7/"));
}

} // namespace
