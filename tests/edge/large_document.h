/*
 * large_document - a node whose document of routes takes seconds to arrive
 *
 * The store stands behind a narrow link, and a neighbour reads the tables for
 * the region where a test asks for one.
 */
#ifndef TESTS_LARGE_DOCUMENT_H
#define TESTS_LARGE_DOCUMENT_H

#include "edge/edge_world.h"

/* Routes that are added; about 230 bytes each on the wire. */
inline const int added_routes = 1400;

/* The document's transfer takes this long; a silent call ends after 1 s. */
inline const uint64_t transfer_ms = 2500;

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
		return numbered_routes(added_routes);
	}
	void put_large(int version, const std::string &more = "")
	{
		extra_routes = routes_text() + more;
		put_routes(version);
	}
	/* A node that has its routes by a neighbour's word. */
	void start_beside_reader()
	{
		add_app("i-1");
		start_node();
		add_reader();
		vouch(0);
		run_for(1000);
	}
	/*
	 * The reader's beat; its routes differ by so much from this node's, and
	 * its backend servers and members by that.
	 */
	void vouch(uint64_t differs, uint64_t others_differ = 0)
	{
		struct beat_vouch vouches[BEAT_MAX_VOUCHES];
		uint32_t count = sync_vouches(sync, vouches);

		reader_lives();
		for (uint32_t i = 0; i < count; i++) {
			vouches[i].age_ms = 0;
			vouches[i].digest += vouches[i].table ==
							     REGISTRY_CONFIG ?
						     differs :
						     others_differ;
			sync_vouched(sync, &vouches[i]);
		}
	}
	/* The reader beats, and vouches for nothing. */
	void reader_lives()
	{
		member_heard(member_table_find(edge->members, "reader"),
			     ++beats, false, edge_now_us(edge));
	}
	/* The reader goes on to beat while this node's call is out. */
	void vouch_until(const std::function<bool()> &condition, uint64_t ms,
			 uint64_t others_differ = 0)
	{
		uint64_t end_us = edge_now_us(edge) + ms * 1000;

		while (!condition() && edge_now_us(edge) < end_us) {
			vouch(edge->routes->version < 2, others_differ);
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
	uint64_t beats = 0;
	int requests = 0;
};

#endif
