/*
 * edge - what the parts of a node share
 *
 * All of it lives on one thread, the event loop's: on a VM with a fifth of a
 * core, threads would add stacks and wake-ups and no work done. Parts read and
 * change it without locks.
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
#include "core/suspect_table.h"
#include "core/warmth.h"
#include "edge/edge_settings.h"
#include "edge/pool.h"
#include "edge/stats.h"
#include "ports/clock.h"
#include "ports/dialect.h"
#include "ports/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

struct crash_watch;
struct gossip;
struct quarantine_store;
struct sync;

/*
 * Sweeps are due every 200 ms. After one that comes so late, and for so long,
 * what is read may have waited in the kernel for over a tenth of a second. A
 * server must not get a request half a second after its caller has left.
 */
#define EDGE_STALE_PAUSE_US (300 * 1000ull)

/* Answers of the node's own with one cause. */
struct refusal {
	char *cause;
	uint16_t status; /* of the latest */
	uint64_t count;
	uint64_t last_us;
	char last_request_id[ID_SIZE]; /* the latest request's */
};

struct edge {
	uv_loop_t *loop;
	const struct clock *clock;
	const struct dialect *dialect;
	const struct registry *registry;
	struct edge_settings settings;

	struct route_table *routes; /* NULL until the first is known */
	struct backend_table *backends;
	struct member_table *members;
	struct warmth warmth;
	struct suspect_table *suspects;
	struct chooser chooser;
	GHashTable *budgets; /* service -> struct extra_budget */
	GHashTable *refusals; /* cause -> struct refusal */
	struct pool pool;
	struct sync *sync; /* what follows the tables; NULL before */
	struct gossip *gossip; /* what beats to the others; NULL: none */
	struct crash_watch *crashes; /* NULL: nothing is ever suspected */
	struct quarantine_store *quarantines; /* NULL: none are kept */
	struct stats stats;

	uint64_t began_us; /* when this life of the node began */
	bool any_rate_limited; /* some backend server may have named a rate */
	uint32_t rates_sent; /* servers' rates told in this round of beats */
	bool stopping;
	uint64_t stopping_us; /* when the stop began */
	uint32_t exchanges; /* requests in flight */
	GQueue callers; /* of struct caller, connections that are open */
	uint64_t last_sweep_us; /* when their time-outs were last looked at */
	uint64_t stale_until_us; /* after a standstill: what is read is old */
	uint64_t pause_began_us; /* when that standstill began, or before */
};

static inline uint64_t edge_now_us(const struct edge *edge)
{
	return clock_now_us(edge->clock);
}

/*
 * Whether the process stood still just now, so that what is read may be old. A
 * process that is suspended while it waits for its sockets reads them before
 * its timers run: then the last sweep tells, which is overdue.
 */
static inline bool edge_reads_may_be_stale(const struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);

	return now_us < edge->stale_until_us ||
	       now_us - edge->last_sweep_us >= EDGE_STALE_PAUSE_US;
}

/* When what is read now had come at the earliest. */
static inline uint64_t edge_earliest_arrival_us(const struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);

	if (!edge_reads_may_be_stale(edge))
		return now_us;
	return now_us < edge->stale_until_us ? edge->pause_began_us :
					       edge->last_sweep_us;
}

/* Make and free the tables; the loop's handles are not among them. */
void edge_init(struct edge *edge, uv_loop_t *loop, const struct clock *clock,
	       const struct dialect *dialect, const struct registry *registry,
	       const struct edge_settings *settings);
void edge_release(struct edge *edge);

/* Whether requests can be served: routes and backend servers are known. */
bool edge_is_ready(const struct edge *edge);

/* Account an answer of the node's own, for operators. */
void edge_record_refusal(struct edge *edge, const char *cause, uint16_t status,
			 const char *request_id);

struct extra_budget *edge_budget(struct edge *edge, const char *service);
bool edge_take_extra(struct edge *edge, const char *service);

#ifdef __cplusplus
}
#endif

#endif
