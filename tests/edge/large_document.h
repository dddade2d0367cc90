/*
 * large_document - fixture for a document of routes that takes seconds to
 * arrive
 *
 * The store is behind a narrow link; a test may add a peer that is the region's
 * reader.
 */
#ifndef TESTS_LARGE_DOCUMENT_H
#define TESTS_LARGE_DOCUMENT_H

#include "edge/edge_world.h"

/* Added routes, about 230 bytes each on the wire. */
inline const int added_routes = 1400;

/*
 * Duration of the document's transfer; a call without any bytes ends after 1 s.
 */
inline const uint64_t transfer_ms = 2500;

class LargeDocumentTest : public EdgeWorld
{
      protected:
	/* Sets a link on which the large document takes transfer_ms. */
	void narrow_link()
	{
		struct store_faults faults = {};

		faults.bytes_per_s = document_bytes() * 1000 / transfer_ms;
		store_stand_set_faults(store, &faults);
	}
	void make_unreachable()
	{
		struct store_faults faults = {};

		faults.bytes_per_s = document_bytes() * 1000 / transfer_ms;
		faults.silent = true;
		store_stand_set_faults(store, &faults);
	}
	/* Size in base64, as the store writes it. */
	static uint64_t document_bytes()
	{
		return routes_text().size() * 4 / 3;
	}
	static std::string routes_text()
	{
		return numbered_routes(added_routes);
	}
	void put_large(int version, const std::string &more = "")
	{
		extra_routes = routes_text() + more;
		put_routes(version);
	}
	/* Starts a node whose routes a reader's digest confirms. */
	void start_beside_reader()
	{
		add_app("i-1");
		start_node();
		add_reader();
		receive_reader_digests(0);
		run_for(1000);
	}
	/*
	 * Delivers the reader's heartbeat. Its digest of the routes differs by
	 * this much from the node's, those of the other tables by
	 * others_differ.
	 */
	void receive_reader_digests(uint64_t differs,
				    uint64_t others_differ = 0)
	{
		struct heartbeat_digest digests[HEARTBEAT_MAX_DIGESTS];
		uint32_t count = sync_fill_digests(sync, digests);

		receive_reader_heartbeat();
		for (uint32_t i = 0; i < count; i++) {
			digests[i].age_ms = 0;
			digests[i].digest += digests[i].table ==
							     REGISTRY_CONFIG ?
						     differs :
						     others_differ;
			sync_receive_digest(sync, &digests[i]);
		}
	}
	/* Delivers the reader's heartbeat without digests. */
	void receive_reader_heartbeat()
	{
		member_note_heartbeat(member_table_find(edge->members,
							"reader"),
				      ++heartbeats, false, edge_now_us(edge));
	}
	/*
	 * Delivers the reader's heartbeats while the node's call is in
	 * progress.
	 */
	void
	receive_reader_digests_until(const std::function<bool()> &condition,
				     uint64_t ms, uint64_t others_differ = 0)
	{
		uint64_t end_us = edge_now_us(edge) + ms * 1000;

		while (!condition() && edge_now_us(edge) < end_us) {
			receive_reader_digests(edge->routes->version < 2,
					       others_differ);
			run_for(100);
		}
	}
	uint64_t failures()
	{
		return metric_value(edge->stats.registry_failures);
	}
	int status_at(const std::string &path)
	{
		return status_of(
			answer_to(get("a" + std::to_string(++requests), path)));
	}
	uint64_t heartbeats = 0;
	int requests = 0;
};

#endif
