/*
 * stats - the counters of a node and their names
 */
#ifndef EDGE_STATS_H
#define EDGE_STATS_H

#include <stdint.h>

#include "adapters/metrics.h"
#include "core/read_plan.h"

#ifdef __cplusplus
extern "C" {
#endif

struct stats {
	struct metric *requests; /* that callers sent */
	struct metric *delivered; /* a backend server's answer went out */
	struct metric *refused; /* not run, with when to come back */
	struct metric *failed; /* 502 or 504 of our own */
	struct metric *denied; /* 4xx of our own */
	struct metric *cancelled; /* the caller left */
	struct metric *sent; /* to backend servers */
	struct metric *extra; /* of these, beyond a request's first */
	struct metric *connects; /* connections opened to them */
	struct metric *shed; /* answers that say "not run" */
	struct metric *strays; /* answers of other requests, dropped */
	struct metric *updates_rejected; /* absurd ones, of neighbours */
	struct metric *quarantined; /* requests refused as quarantined */
	struct metric *lookups;
	struct metric *registry_reads[READ_CAUSES];
	struct metric *registry_writes;
	struct metric *snapshot_requests; /* neighbours, for tables */
	struct metric *snapshots_served; /* tables to neighbours */
	struct metric *registry_failures;
	struct metric *registry_bytes; /* of whole answers */
	struct metric *registry_lost_bytes; /* of answers that broke off */
	struct metric *latency_us; /* arrival to answer */
	struct metric *backend_us; /* sending to answer */
};

/* Register them; metrics_open() comes before. */
void stats_init(struct stats *stats);

/* A call to the platform that reads. */
void stats_count_read(struct stats *stats, enum read_cause cause);

#ifdef __cplusplus
}
#endif

#endif
