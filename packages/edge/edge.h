/*
 * edge - state that the modules of a node share
 *
 * It is used only on the event loop's thread, so modules read and change it
 * without locks. A node is single-threaded because its VM has a fifth of a
 * core: more threads would cost stacks and wake-ups and do no more work.
 */
#ifndef EDGE_EDGE_H
#define EDGE_EDGE_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "core/backend_table.h"
#include "core/build_options.h"
#include "core/choose.h"
#include "core/extra_budget.h"
#include "core/member_table.h"
#include "core/route_table.h"
#include "core/stop_plan.h"
#include "core/suspect_table.h"
#include "core/warmth.h"
#include "edge/byte_budget.h"
#include "edge/edge_settings.h"
#include "edge/pool.h"
#include "edge/stats.h"
#include "ports/clock.h"
#include "ports/dialect.h"
#include "ports/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

struct accounts;
struct capacity_watch;
struct crash_watch;
struct gossip;
struct hops;
struct quarantine_store;
struct reach_watch;
struct sync;

/*
 * Sweeps are due every 200 ms. If one is this much after the previous one, the
 * process was paused, and for the same time from then on data read may have
 * waited in the kernel for over 100 ms. A server must not get a request half a
 * second after its caller has left.
 */
#define EDGE_STALE_PAUSE_US (300 * 1000ull)

/* Generated answers with one cause, for operators. */
struct refusal {
	char *cause;
	uint16_t status; /* HTTP status of the latest */
	uint64_t count;
	uint64_t last_us;
	char last_request_id[ID_SIZE]; /* id of the latest request */
};

struct edge {
	uv_loop_t *loop;
	const struct clock *clock;
	const struct dialect *dialect;
	const struct registry *registry;
	struct edge_settings settings;

	struct route_table *routes; /* NULL until the first is known */
	char *routes_error; /* why the newest version can't be read, or NULL */
	struct backend_table *backends;
	struct member_table *members;
	struct warmth warmth;
	struct suspect_table *suspects;
	struct chooser chooser;
	GHashTable *budgets; /* service -> struct extra_budget */
	GHashTable *refusals; /* cause -> struct refusal */
	struct pool pool;
	struct byte_budget bytes; /* of requests and answers held */
	struct sync *sync; /* follows the platform's tables; NULL: closed */
	struct gossip *gossip; /* exchanges heartbeats; NULL: off */
	struct crash_watch *crashes; /* NULL: crashes aren't detected */
	struct quarantine_store *quarantines; /* NULL: not stored */
	struct reach_watch *reach; /* NULL: never counts as partitioned */
	struct hops *hops; /* requests handed to peers */
	struct capacity_watch *capacity;
	struct accounts *accounts; /* quotas and counts of client accounts */
	struct stats stats;

	uint64_t began_us; /* when the process started */
	bool was_listed; /* the platform listed it before it started */
	bool any_rate_limited; /* some backend server may have set a rate */
	uint32_t rates_sent; /* rates sent in this round of heartbeats */
	struct stop_plan stop;
	uint32_t exchanges; /* requests in flight */
	uint32_t hops_taken; /* of these, handed over by other nodes */
	GQueue callers; /* of struct caller, connections that are open */
	uint64_t last_sweep_us; /* last check of their timeouts */
	uint64_t stale_until_us; /* data read until then may be stale */
	uint64_t pause_began_us; /* latest time before the pause */
};

static inline uint64_t edge_now_us(const struct edge *edge)
{
	return clock_now_us(edge->clock);
}

/*
 * Whether the process was paused just now, so that data read may be stale. A
 * process that is suspended while it polls its sockets reads them before its
 * timers run; the pause then shows only in the overdue sweep.
 */
static inline bool edge_reads_may_be_stale(const struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);

	return now_us < edge->stale_until_us ||
	       now_us - edge->last_sweep_us >= EDGE_STALE_PAUSE_US;
}

/* The earliest time at which data read now may have arrived. */
static inline uint64_t edge_earliest_arrival_us(const struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);

	if (!edge_reads_may_be_stale(edge))
		return now_us;
	return now_us < edge->stale_until_us ? edge->pause_began_us :
					       edge->last_sweep_us;
}

/*
 * Create and free the tables. The event loop's handles (listeners, timers)
 * belong to their modules.
 */
void edge_init(struct edge *edge, uv_loop_t *loop, const struct clock *clock,
	       const struct dialect *dialect, const struct registry *registry,
	       const struct edge_settings *settings);
void edge_release(struct edge *edge);

/* Limits on callers in force: the configuration's, or those before it. */
const struct route_limits *edge_limits(const struct edge *edge);

/*
 * Whether requests can be served: routes are known, the backend servers are
 * loaded and the node isn't stopping.
 */
bool edge_is_ready(const struct edge *edge);

/* Count a generated answer, for "show refusals". */
void edge_record_refusal(struct edge *edge, const char *cause, uint16_t status,
			 const char *request_id);

/* The budget of extra requests of a service; created at the first use. */
struct extra_budget *edge_budget(struct edge *edge, const char *service);
/* Take one extra request from the service's budget; false: used up. */
bool edge_take_extra(struct edge *edge, const char *service);

#ifdef __cplusplus
}
#endif

#endif
