/*
 * When routes count as confirmed, and which requests are denied by them.
 *
 * Guards against a final 404 for a route that was added, sent after the time
 * within which the route must be in force everywhere. It comes about when
 * something that holds no information on the newest routes (the end of an older
 * document, a lost history, another table's answer, a peer that can't decode
 * them) counts as the platform's confirmation of the old ones, or when a
 * confirmation is dated by its arrival and not by when the platform sent it.
 */
#include "edge/large_document.h"

namespace
{

class ConfirmationTest : public LargeDocumentTest
{
};

/*
 * A 404 is final, so a node with unconfirmed routes answers 503 with
 * Retry-After for a route that it doesn't have.
 */
struct denial_case {
	const char *name;
	bool differs; /* the reader's digest of the routes differs */
	bool partitioned; /* unconfirmed for longer than the deadline */
	int unknown; /* status for a route that isn't in the table */
	int known; /* status for a route in the table */
	int large; /* status for a body over the operator's limit */
};

const denial_case denial_cases[] = {
	{ "Confirmed", false, false, 404, 200, 413 },
	{ "ReaderDiffers", true, false, 503, 200, 503 },
	{ "Partitioned", false, true, 503, 200, 503 },
};

class DenialConfirmationTest : public ConfirmationTest,
			       public ::testing::WithParamInterface<denial_case>
{
};

TEST_P(DenialConfirmationTest, DecidesWhatIsFinal)
{
	const denial_case &c = GetParam();

	add_app("i-1");
	start_node();
	add_reader();
	receive_reader_digests(0);
	run_for(300);
	receive_reader_digests(0);
	if (c.partitioned) {
		make_unreachable();
		run_for(settings.config_within_us / 1000 + 300);
	}
	if (c.differs) {
		make_unreachable();
		receive_reader_digests(1);
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

INSTANTIATE_TEST_SUITE_P(Cases, DenialConfirmationTest,
			 ::testing::ValuesIn(denial_cases),
			 [](const auto &info) { return info.param.name; });

/* A newer version exists, and its contents are unknown. */
TEST_F(ConfirmationTest, UnreadableDocumentDeniesNothing)
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

/* Without routes the limits are unknown, too. */
TEST_F(ConfirmationTest, NodeWithoutRoutesDeniesNothing)
{
	make_unreachable();
	start_node(false);
	EXPECT_EQ(503, status_at("/r/"));
	EXPECT_EQ(503, status_of(answer_to(get("u2", "/r/",
					       "Content-Length: 2000000\r\n",
					       "POST"))));
}

/*
 * A document takes 2.4 s to arrive, and a newer one is acknowledged meanwhile.
 * If the old one were confirmed as of its last byte, not of its first, the
 * newer one's routes would be denied for 2.4 s too long.
 */
TEST_F(ConfirmationTest, DocumentIsConfirmedAsOfItsFirstByte)
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
	receive_reader_digests(1);
	run_for(200);
	put_large(3, late); /* acknowledged by the store here */
	put_us = edge_now_us(edge);
	while (edge->routes->version < 2) {
		receive_reader_heartbeat();
		run_for(50);
	}
	ASSERT_EQ(2u, edge->routes->version);
	while (edge_now_us(edge) - put_us <
	       settings.config_within_us + 100000) {
		receive_reader_heartbeat();
		run_for(50);
	}
	EXPECT_NE(404, status_at("/late/"))
		<< (edge_now_us(edge) - put_us) / 1000
		<< " ms after the acknowledgement, version "
		<< edge->routes->version << ", age "
		<< sync_routes_age_us(sync) / 1000 << " ms";
}

/*
 * Two versions in quick succession: the first one's transfer takes so long that
 * the second is due when it ends. If its rows counted as confirmed at that
 * moment, this node and its peers would deny the second one's routes for as
 * long again. The rows are as old as the answer's sending.
 */
TEST_F(ConfirmationTest, RowsAreConfirmedAsOfTheirSendTime)
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
 * After a long partition the store answers that the history is lost. That is no
 * confirmation of the rows: until the full read begins to arrive, the node must
 * not deny requests by its old table.
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
 * The region's reader can't decode the newest document. If it sent a digest of
 * its old routes, its peers, which never see the document, would deny the
 * routes that it adds.
 */
TEST_F(ConfirmationTest, ReaderWithUnreadableRoutesSendsNoRouteDigest)
{
	struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];

	add_app("i-1");
	start_node();
	store_stand_put(store, "op", "config", "{\"version\":2,\"routes\":{");
	wait_for([this] { return status_at("/added-later/") == 503; });
	run_for(1500);
	uint32_t count = sync_fill_digests(sync, digests);
	for (uint32_t i = 0; i < count; i++)
		EXPECT_FALSE(digests[i].table == REGISTRY_CONFIG &&
			     digests[i].age_ms < 2500)
			<< "vouches for the routes, " << digests[i].age_ms
			<< " ms old";
}

/*
 * The answer to the held call for routes is lost with its connection, while
 * calls for backend servers succeed. If these confirmed the old routes until
 * the held call's time-out 3.5 s later, the reader and its peers would send a
 * 404 after the change's deadline.
 */
TEST_F(ConfirmationTest, OtherTablesAnswersDoNotConfirmRoutes)
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

/* A newer document is arriving, and may have what the present one lacks. */
TEST_F(ConfirmationTest, NothingIsDeniedWhileNewRoutesArrive)
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
