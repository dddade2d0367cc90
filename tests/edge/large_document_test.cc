/*
 * Guards against a document of routes that never arrives because its transfer
 * takes longer than a time-out on the whole call. Nodes far from the store or
 * with a narrow link then abort after a second and start again from the first
 * byte; their links stay full of the same bytes, and callers of added routes
 * get a final 404 minutes after the operator's write was acknowledged. A
 * reader, whose held call has a longer time-out, has the document and sends its
 * digest.
 *
 * So the time-out limits the time without any bytes, what has arrived isn't
 * discarded, and a node denies nothing by a table that it knows to be old.
 */
#include "edge/large_document.h"

namespace
{

TEST_F(LargeDocumentTest, PeerOfAReaderLoadsTheDocument)
{
	start_beside_reader();
	narrow_link();
	put_large(2);
	receive_reader_digests_until(
		[this] { return edge->routes->version == 2; }, 4 * transfer_ms);
	EXPECT_EQ(2u, edge->routes->version);
	EXPECT_EQ(200, status_at("/n7/"));
}

/* A starting node that can't read the table never becomes ready. */
TEST_F(LargeDocumentTest, StartingNodeBecomesReady)
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
 * The full link also delays the short calls for backend servers. Their
 * time-outs must not end the document's transfer as one on a broken path.
 */
TEST_F(LargeDocumentTest, TransferSurvivesTimeoutsOfOtherCalls)
{
	start_beside_reader();
	narrow_link();
	put_large(2);
	receive_reader_digests(1);
	run_for(200);
	make_unreachable();
	receive_reader_digests_until(
		[this] { return edge->routes->version == 2; }, 2 * transfer_ms,
		1);
	EXPECT_GT(metric_value(edge->stats.registry_failures), 0u);
	EXPECT_EQ(2u, edge->routes->version);
}

/* A path that fails during the transfer is detected soon. */
TEST_F(LargeDocumentTest, UnreachableStoreIsDetectedDuringATransfer)
{
	start_beside_reader();
	struct store_faults faults = {};
	faults.bytes_per_s = 1; /* pieces of no bytes: nothing arrives */
	store_stand_set_faults(store, &faults);
	put_large(2);
	uint64_t before = metric_value(edge->stats.registry_failures);
	receive_reader_digests_until(
		[&] {
			return metric_value(edge->stats.registry_failures) >
			       before;
		},
		3000);
	EXPECT_GT(metric_value(edge->stats.registry_failures), before);
	faults.bytes_per_s = 0;
	store_stand_set_faults(store, &faults);
	receive_reader_digests_until(
		[this] { return edge->routes->version == 2; }, 3000);
	EXPECT_EQ(2u, edge->routes->version);
}

/*
 * While the document arrives at a reader, its held call must not count as one
 * without changes: the reader would confirm its old routes to all peers.
 */
TEST_F(LargeDocumentTest, ReaderDoesNotConfirmRoutesBeingReplaced)
{
	struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];
	uint64_t put_us;

	add_app("i-1");
	start_node();
	run_for(700);
	narrow_link();
	put_large(2);
	put_us = edge_now_us(edge);
	while (edge->routes->version < 2 &&
	       edge_now_us(edge) - put_us < 2 * transfer_ms * 1000) {
		uint32_t count = sync_fill_digests(sync, digests);

		for (uint32_t i = 0; i < count; i++) {
			if (digests[i].table != REGISTRY_CONFIG)
				continue;
			ASSERT_GE(digests[i].age_ms + 150,
				  (edge_now_us(edge) - put_us) / 1000);
		}
		run_for(50);
	}
	EXPECT_EQ(2u, edge->routes->version);
}

/*
 * The process stalls for 1.2 s, less than counts as a suspension, as while it
 * decodes a large document on a tenth of a core. Timers run before reads, so
 * the answer would be given up with its next bytes already in the socket.
 */
TEST_F(LargeDocumentTest, ProcessStallIsNotATimeout)
{
	uint64_t before;

	start_beside_reader();
	narrow_link();
	put_large(2);
	receive_reader_digests(1);
	run_for(600);
	before = failures();
	usleep(1200000);
	run_for(50);
	EXPECT_EQ(before, failures());
}

/* Suspended every 2 s, a node must still get a document that takes 2.5 s. */
TEST_F(LargeDocumentTest, SuspensionsDoNotInterruptATransfer)
{
	start_beside_reader();
	narrow_link();
	put_large(2);
	receive_reader_digests(1);
	for (int i = 0; i < 5 && edge->routes->version < 2; i++) {
		run_for(2000);
		receive_reader_heartbeat();
		sync_refresh(sync);
	}
	EXPECT_EQ(2u, edge->routes->version);
}

} // namespace
