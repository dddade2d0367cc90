/*
 * The operator's document of routes grew until its transfer took longer than
 * the time-out of the whole call. Callers of routes that were added later got a
 * final 404 from every node that was far from the store or had a narrow link,
 * minutes after the operator's write was acknowledged.
 *
 * The order: the store acknowledges a version; a reader of the region, whose
 * call was held and so had a longer time-out, has it in force and says so in
 * its beats; its neighbours ask the store, receive for a second, give up, and
 * ask again from the first byte. Their links are full of the same bytes from
 * then on, and what they know stays as it was.
 *
 * The cause: a limit on the whole call where silence was meant, with a retry
 * that loses what had arrived; and a 404 out of a table that the node knew to
 * be old. What proved it: the nodes that failed received at their links' full
 * rate, made no progress, and had lost no other table; two nodes with the same
 * link and distance, whose calls had the longer time-out, succeeded.
 */
#include "edge/edge_world.h"

namespace
{

/* Routes that are added; about 230 bytes each on the wire. */
const int added_routes = 1400;

/* The document's transfer takes this long; a silent call ends after 1 s. */
const uint64_t transfer_ms = 2500;

class LargeDocumentTest : public EdgeWorld
{
      protected:
	/* A link on which the large document takes transfer_ms. */
	void narrow_link()
	{
		struct store_faults faults = {};

		faults.bytes_per_s = document_bytes() * 1000 / transfer_ms;
		store_stand_set_faults(store, &faults);
	}
	void silence()
	{
		struct store_faults faults = {};

		faults.bytes_per_s = document_bytes() * 1000 / transfer_ms;
		faults.silent = true;
		store_stand_set_faults(store, &faults);
	}
	/* In base64, as the store writes it. */
	static uint64_t document_bytes()
	{
		return routes_text().size() * 4 / 3;
	}
	static std::string routes_text()
	{
		std::string text;

		for (int i = 0; i < added_routes; i++)
			text += ",\"n" + std::to_string(i) +
				"\":{\"host\":\"h.example\",\"prefix\":\"/n" +
				std::to_string(i) +
				"/\",\"kind\":\"idempotent\","
				"\"timeout\":\"2000ms\","
				"\"target_latency\":\"600ms\","
				"\"priority\":2,\"service\":\"s\","
				"\"max_attempts\":2,\"sticky\":true,"
				"\"allowed_regions\":[]}";
		return text;
	}
	void put_large(int version)
	{
		extra_routes = routes_text();
		put_routes(version);
	}
	/* A neighbour reads the tables for the region. */
	void add_reader()
	{
		struct member *reader =
			member_table_put(edge->members, "reader");

		g_free(reader->region);
		reader->region = g_strdup("r1");
		reader->hash = 0;
	}
	/*
	 * The reader's beat; its routes differ by so much from this node's, and
	 * its backend servers and members by that.
	 */
	void vouch(uint64_t differs, uint64_t others_differ = 0)
	{
		struct beat_vouch vouches[BEAT_MAX_VOUCHES];
		uint32_t count = sync_vouches(sync, vouches);

		member_heard(member_table_find(edge->members, "reader"),
			     ++beats, false, edge_now_us(edge));
		for (uint32_t i = 0; i < count; i++) {
			vouches[i].age_ms = 0;
			vouches[i].digest += vouches[i].table ==
							     REGISTRY_CONFIG ?
						     differs :
						     others_differ;
			sync_vouched(sync, &vouches[i]);
		}
	}
	/* The reader goes on to beat while this node's call is out. */
	void vouch_until(const std::function<bool()> &condition, uint64_t ms,
			 uint64_t others_differ = 0)
	{
		uint64_t end_us = edge_now_us(edge) + ms * 1000;

		while (!condition() && edge_now_us(edge) < end_us) {
			vouch(edge->routes->version < 2, others_differ);
			turn_for(100);
		}
	}
	int status_at(const std::string &path)
	{
		return status_of(
			answer_to(get("a" + std::to_string(++requests), path)));
	}
	uint64_t beats = 0;
	int requests = 0;
};

TEST_F(LargeDocumentTest, ANodeBesideAReaderHasItInForce)
{
	add_app("i-1");
	start_node();
	add_reader();
	vouch(0);
	turn_for(1000);
	narrow_link();
	put_large(2);
	vouch_until([this] { return edge->routes->version == 2; },
		    4 * transfer_ms);
	EXPECT_EQ(2u, edge->routes->version);
	EXPECT_EQ(200, status_at("/n7/"));
}

/* A node that starts never became ready: it can't read the table at all. */
TEST_F(LargeDocumentTest, ANodeThatStartsBecomesReady)
{
	add_app("i-1");
	put_large(2);
	narrow_link();
	start_node(false);
	EXPECT_EQ(503, status_at("/n7/"));
	turn_for(2 * transfer_ms);
	EXPECT_TRUE(edge_is_ready(edge));
	EXPECT_EQ(200, status_at("/n7/"));
}

/*
 * The same full link holds up the short calls for backend servers. Their
 * time-outs ended the document's call, too, as one on a silent path.
 */
TEST_F(LargeDocumentTest, ItArrivesWhileOtherCallsTimeOut)
{
	add_app("i-1");
	start_node();
	add_reader();
	vouch(0);
	turn_for(1000);
	narrow_link();
	put_large(2);
	vouch(1);
	turn_for(200);
	silence();
	vouch_until([this] { return edge->routes->version == 2; },
		    2 * transfer_ms, 1);
	EXPECT_GT(metric_value(edge->stats.registry_failures), 0u);
	EXPECT_EQ(2u, edge->routes->version);
}

/* A path that falls silent in the middle of it is given up soon. */
TEST_F(LargeDocumentTest, ASilentPathIsStillFound)
{
	add_app("i-1");
	start_node();
	add_reader();
	vouch(0);
	turn_for(1000);
	struct store_faults faults = {};
	faults.bytes_per_s = 1; /* a piece of no bytes: nothing comes */
	store_stand_set_faults(store, &faults);
	put_large(2);
	uint64_t before = metric_value(edge->stats.registry_failures);
	vouch_until(
		[&] {
			return metric_value(edge->stats.registry_failures) >
			       before;
		},
		3000);
	EXPECT_GT(metric_value(edge->stats.registry_failures), before);
	faults.bytes_per_s = 0;
	store_stand_set_faults(store, &faults);
	vouch_until([this] { return edge->routes->version == 2; }, 3000);
	EXPECT_EQ(2u, edge->routes->version);
}

/*
 * While the document arrives at a reader, its held call counted as one with
 * nothing to tell: the reader confirmed its old routes to all neighbours.
 */
TEST_F(LargeDocumentTest, AReaderDoesNotConfirmWhatIsBeingReplaced)
{
	struct beat_vouch vouches[BEAT_MAX_VOUCHES];
	uint64_t put_us;

	add_app("i-1");
	start_node();
	turn_for(700);
	narrow_link();
	put_large(2);
	put_us = edge_now_us(edge);
	while (edge->routes->version < 2 &&
	       edge_now_us(edge) - put_us < 2 * transfer_ms * 1000) {
		uint32_t count = sync_vouches(sync, vouches);

		for (uint32_t i = 0; i < count; i++) {
			if (vouches[i].table != REGISTRY_CONFIG)
				continue;
			ASSERT_GE(vouches[i].age_ms + 150,
				  (edge_now_us(edge) - put_us) / 1000);
		}
		turn_for(50);
	}
	EXPECT_EQ(2u, edge->routes->version);
}

/*
 * Two versions in quick succession. The first one's transfer took so long that
 * the second was due when it ended, and its rows counted as confirmed at that
 * moment: for as long again the node, and each neighbour that it told, denied
 * the routes of the second. They are as old as the answer's sending.
 */
TEST_F(LargeDocumentTest, RowsAreConfirmedAsOfTheirSending)
{
	const uint64_t under_way_ms = 150;
	uint64_t put_us;

	add_app("i-1");
	start_node();
	turn_for(700);
	narrow_link();
	put_large(2);
	turn_for(300);
	put_large(3);
	put_us = edge_now_us(edge);
	wait_for([this] { return edge->routes->version == 2; });
	EXPECT_GE(sync_routes_age_us(sync) + under_way_ms * 1000,
		  edge_now_us(edge) - put_us);
	wait_for([this] { return edge->routes->version == 3; });
}

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

class BeliefTest : public LargeDocumentTest,
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
	turn_for(300);
	vouch(0);
	if (c.cut_off) {
		silence();
		turn_for(settings.config_within_us / 1000 + 300);
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
TEST_F(LargeDocumentTest, ADocumentThatCannotBeReadDeniesNothing)
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
TEST_F(LargeDocumentTest, ANodeThatKnowsNothingDeniesNothing)
{
	silence();
	start_node(false);
	EXPECT_EQ(503, status_at("/r/"));
	EXPECT_EQ(503, status_of(answer_to(get("u2", "/r/",
					       "Content-Length: 2000000\r\n",
					       "POST"))));
}

} // namespace
