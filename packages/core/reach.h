/*
 * reach - whether a node can open connections to backend servers at all
 *
 * Pure. Evidence is which servers accept connections and which don't, by the
 * node's requests and by probes. One server that fails, or one service, says
 * nothing about the node: a few failures start probes of servers in other
 * failure domains, and only if none of those accepts a connection the node
 * counts as partitioned. It is back once several servers in a row have accepted
 * one. Not thread-safe. Times are those of the clock port.
 */
#ifndef CORE_REACH_H
#define CORE_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/backend_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Different servers that failed since one last accepted a connection. */
#define REACH_DOUBT_SERVERS 2
#define REACH_PARTITIONED_SERVERS 5

/* Different servers in a row that must accept a connection again. */
#define REACH_BACK_SERVERS 2

/* Probes at a time, at most. */
#define REACH_MAX_PROBES 3

/* A node that just opened a connection isn't cut off: failures tell nothing. */
#define REACH_FRESH_US 250000ull

/* Failures further apart than this aren't one loss. */
#define REACH_WINDOW_US 3000000ull

enum reach_state {
	REACH_CONNECTED,
	REACH_IN_DOUBT, /* probes are needed */
	REACH_PARTITIONED,
};

struct reach {
	enum reach_state state;
	/* Incarnations of servers that failed, none having accepted since. */
	uint32_t failed[REACH_PARTITIONED_SERVERS];
	uint32_t failed_count;
	uint64_t failing_since_us; /* first of these failures */
	/* While partitioned: servers that accepted, none having failed since.
	 */
	uint32_t accepted[REACH_BACK_SERVERS];
	uint32_t accepted_count;
	uint64_t partitioned_us; /* start of the latest partition */
	uint64_t accepted_us; /* latest connection that opened */
	uint64_t answered_us; /* latest answer on any connection */
};

/*
 * A server accepted a connection, or failed to. known is the number of servers
 * that could be asked: with few, fewer of them decide. True if the state
 * changed.
 */
bool reach_accepted(struct reach *reach, uint32_t incarnation, uint32_t known,
		    uint64_t now_us);
bool reach_failed(struct reach *reach, uint32_t incarnation, uint32_t known,
		  uint64_t now_us);

/*
 * Probes are needed without a failed connection: requests get no answers, or
 * connections ended. True if the state changed.
 */
bool reach_doubt(struct reach *reach, uint64_t now_us);

/* An answer arrived on any connection. */
void reach_answered(struct reach *reach, uint64_t now_us);

/*
 * Whether connections that were open when the partition began still carry
 * answers. Not known to until one has come since.
 */
bool reach_kept_connections_work(const struct reach *reach);

/*
 * The next servers to probe, at most max: others than those that failed or
 * accepted, of other failure domains and services as far as possible, near
 * ones first. turn varies them from probe to probe. Returns their number; they
 * are borrowed.
 */
uint32_t reach_pick_probes(const struct reach *reach,
			   const struct backend_table *backends,
			   const char *domain, const char *region,
			   uint32_t turn, struct backend **picked,
			   uint32_t max);

const char *reach_state_name(enum reach_state state);

#ifdef __cplusplus
}
#endif

#endif
