#include "edge/backend_row.h"

#include "core/duration.h"

/*
 * Whether a server is listed as cold is part of the table's digest. So such a
 * server is sent with at least 1 ms left, even when its warm-up is over: with 0
 * the peer would list it as warm, and its digest would differ from this node's
 * although no row has changed.
 */
static uint32_t cold_left_ms(const struct backend *backend, uint64_t now_us)
{
	if (!backend->listed_cold)
		return 0;
	if (backend->cold_until_us <= now_us)
		return 1;
	return (uint32_t)((backend->cold_until_us - now_us) / US_PER_MS) + 1;
}

void backend_row_fill(const struct backend *backend, uint64_t now_us,
		      struct heartbeat_row *row)
{
	g_strlcpy(row->id, backend->id, sizeof(row->id));
	g_strlcpy(row->service, backend->service, sizeof(row->service));
	g_strlcpy(row->domain, backend->domain, sizeof(row->domain));
	row->address = backend->address;
	row->slots = backend->slots;
	row->draining = backend->draining;
	row->started_ms = backend->started_ms;
	row->version = backend->version;
	row->cold_left_ms = cold_left_ms(backend, now_us);
}

void backend_row_receive(struct edge *edge, const struct heartbeat_row *row)
{
	const struct backend_info facts = {
		.id = row->id,
		.service = row->service,
		.address = row->address,
		.domain = row->domain,
		.region = edge_settings_region(&edge->settings, row->domain),
		.slots = row->slots,
		.draining = row->draining,
		.cold_left_us = row->cold_left_ms * US_PER_MS,
		.started_ms = row->started_ms,
		.version = row->version,
	};

	if (!*row->service) {
		backend_table_remove(edge->backends, row->id, row->version, 0,
				     edge_now_us(edge));
		return;
	}
	backend_table_put(edge->backends, &facts, edge_now_us(edge));
}
