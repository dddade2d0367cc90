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
#include "edge/large_document.h"

namespace
{

TEST_F(LargeDocumentTest, ANodeBesideAReaderHasItInForce)
{
	start_beside_reader();
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
	run_for(2 * transfer_ms);
	EXPECT_TRUE(edge_is_ready(edge));
	EXPECT_EQ(200, status_at("/n7/"));
}

/*
 * The same full link holds up the short calls for backend servers. Their
 * time-outs ended the document's call, too, as one on a silent path.
 */
TEST_F(LargeDocumentTest, ItArrivesWhileOtherCallsTimeOut)
{
	start_beside_reader();
	narrow_link();
	put_large(2);
	vouch(1);
	run_for(200);
	silence();
	vouch_until([this] { return edge->routes->version == 2; },
		    2 * transfer_ms, 1);
	EXPECT_GT(metric_value(edge->stats.registry_failures), 0u);
	EXPECT_EQ(2u, edge->routes->version);
}

/* A path that falls silent in the middle of it is given up soon. */
TEST_F(LargeDocumentTest, ASilentPathIsStillFound)
{
	start_beside_reader();
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
	run_for(700);
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
		run_for(50);
	}
	EXPECT_EQ(2u, edge->routes->version);
}

/*
 * The process stands still for 1.2 s, less than counts as a suspension, as it
 * does while it decodes a large document on a tenth of a core. Timers run
 * before reads: the answer is given up although its next bytes lie in the
 * socket.
 */
TEST_F(LargeDocumentTest, AStandstillOfTheProcessIsNoSilence)
{
	uint64_t before;

	start_beside_reader();
	narrow_link();
	put_large(2);
	vouch(1);
	run_for(600);
	before = failures();
	usleep(1200000);
	run_for(50);
	EXPECT_EQ(before, failures());
}

/* Suspended each 2 s, a node never gets a document that takes 2.5 s. */
TEST_F(LargeDocumentTest, SuspensionsDoNotKeepADocumentAway)
{
	start_beside_reader();
	narrow_link();
	put_large(2);
	vouch(1);
	for (int i = 0; i < 5 && edge->routes->version < 2; i++) {
		run_for(2000);
		reader_lives();
		sync_refresh(sync);
	}
	EXPECT_EQ(2u, edge->routes->version);
}

} // namespace
