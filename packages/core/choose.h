/*
 * choose - which backend server a request goes to
 *
 * Filters exclude servers without exception: outside the route's regions, in an
 * evacuated failure domain, leaving, resting, backed off from, already tried,
 * out of cold allowance, out of rate limit tokens. Of the rest the cheapest is
 * chosen. Its cost is the expected time (round trip, wait for a slot, service
 * time, which is shorter where the object is in the cache) with surcharges, for
 * example for failures. The rendezvous order of the object's hash adds a small
 * cost, so that all nodes warm the same servers for it. Uses no state but the
 * tables passed in; not thread-safe.
 */
#ifndef CORE_CHOOSE_H
#define CORE_CHOOSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/backend_table.h"
#include "core/member_table.h"
#include "core/occupancy.h"
#include "core/region_flow.h"
#include "core/room.h"
#include "core/route_table.h"
#include "core/suspect_table.h"
#include "core/warmth.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Backend servers that a request was sent to before, at most. */
#define CHOOSE_MAX_TRIED 8

/* Mechanisms that experiments can disable: bits of chooser.disabled. */
enum choose_mechanism {
	/* Whole objects leave the region, not single requests. */
	CHOOSE_LEAVE_BY_OBJECT = 1 << 0,
	/* No cold runs on busy servers while another is warm. */
	CHOOSE_KEEP_WARM = 1 << 1,
	/* Hold requests until a server is warm for the object. */
	CHOOSE_HOLD_REQUESTS = 1 << 2,
	/* Refuse requests that would queue and be late. */
	CHOOSE_ADMIT = 1 << 3,
};

/* State of all choices of a node. */
struct chooser {
	struct backend_table *backends;
	struct member_table *members;
	struct warmth *warmth;
	const struct suspect_table *suspects; /* may be NULL */
	const char *domain; /* of this node */
	const char *region; /* of this node */
	GHashTable *links; /* region -> struct link_time */
	GHashTable *flows; /* service -> struct region_flow */
	GHashTable *returns; /* service -> struct admission_retry_schedule */
	GHashTable *mixes; /* service -> struct priority_mix */
	/* Of coordinating services: name -> struct occupancy. */
	GHashTable *occupancies;
	GHashTable *plans; /* of the same services -> struct region_plan */
	GHashTable *rooms; /* service that coordinates -> struct room */
	GHashTable *patiences; /* route to such a service -> struct patience */
	/* room_region_demand(), or a test's. */
	double (*region_demand)(const struct room *room, const char *region,
				uint64_t now_us);
	double trial_credit; /* trials allowed now; see CHOOSE_TRIAL */
	uint32_t disabled; /* enum choose_mechanism; 0 except in experiments */
};

/* Whether a request avoids servers that run requests suspected of crashes. */
enum choose_isolation {
	CHOOSE_ISOLATE_NONE, /* such a server only costs more */
	CHOOSE_ISOLATE_PREFERRED, /* unless there is no other server */
	CHOOSE_ISOLATE_REQUIRED, /* always; and every request there adds cost */
};

/* A request for which a server is to be chosen. */
struct choose_query {
	const struct route *route;
	const struct service *service;
	const struct account *account; /* NULL: none */
	uint32_t priority; /* the account's, or else the route's */
	bool has_object;
	uint32_t object; /* hash of the affinity key */
	uint64_t left_us; /* until the deadline */
	uint64_t spent_us; /* since the request arrived */
	uint64_t patience_us; /* longest wait of its caller; 0: unknown */
	/* From the caller's first attempt on, see chooser_offered(). */
	uint64_t spent_before_us;
	const struct backend *tried[CHOOSE_MAX_TRIED];
	uint32_t tried_count;
	enum choose_isolation isolation; /* if it may crash its server */
};

/* Whether route and account allow the request to be sent to the region. */
static inline bool choose_query_allows(const struct choose_query *query,
				       const char *region)
{
	return route_allows_region(query->route, region) &&
	       account_allows_region(query->account, region);
}

static inline struct room_class
choose_query_class(const struct choose_query *query)
{
	const struct room_class class_of = {
		query->priority,
		query->account ? query->account->hash : 0,
	};

	return class_of;
}

/* Why a server was chosen, or why none was. */
enum choose_reason {
	CHOOSE_WARM, /* has the object in its cache */
	CHOOSE_RANK, /* not warm; cheapest by rendezvous order and load */
	CHOOSE_TRIAL, /* to warm one more server for the object */
	CHOOSE_HOLD, /* none yet: wait, a server will soon be warm */
	/* No server passes the filters, even without the rate limits. */
	CHOOSE_NONE_USABLE,
	CHOOSE_NONE_FREE, /* all are full, or too slow for the time left */
	CHOOSE_NO_RATE, /* no token for servers that pass all other filters */
	CHOOSE_ALL_REST, /* servers that pass all other filters rest */
};

/* The filter that excludes a backend server from a choice. */
enum choose_block {
	CHOOSE_OPEN,
	CHOOSE_LEAVING, /* by its row or its answers, or has left */
	CHOOSE_EVACUATED, /* its failure domain is evacuated */
	CHOOSE_SHUNNED, /* in backoff after failures */
	CHOOSE_FORBIDDEN, /* its region isn't allowed by the route */
	CHOOSE_COLD, /* this node's share of its cold allowance is used up */
	CHOOSE_SUSPECT, /* it runs another request that may crash it */
	CHOOSE_RESTING, /* it asked for no requests; see backend_rest_excludes()
			 */
	CHOOSE_TRIED, /* already, by this request */
	CHOOSE_LIMITED, /* this node has no token of its rate limit */
};

/* How a choice rates one backend server; see choose_explain(). */
struct choose_view {
	struct backend *backend;
	enum choose_block block; /* unless CHOOSE_OPEN, all below is 0 */
	double cost_us; /* the cheapest of its side is best */
	double expected_us;
	bool warm;
	bool near; /* in this node's region */
	bool full; /* its queue is full */
	/* Cheapest in this region or outside it; one is chosen, or a trial. */
	bool best;
};

/* Result of a choice. */
struct choice {
	struct backend *backend; /* NULL if none */
	enum choose_reason reason;
	double expected_us; /* until the answer: round trip, wait and work */
	double work_us; /* service time at the server's usual speed */
	double wait_us; /* for a slot */
	bool warm; /* the server has the object in its cache */
	uint64_t hold_us; /* CHOOSE_HOLD: choose again after this time */
	uint64_t retry_after_us; /* if refused: when the caller should retry */
	enum room_rejection rejection; /* CHOOSE_NONE_FREE: why */
	double drain_us; /* CHOOSE_NONE_FREE: until the first slot is free */
	/* Server to be preferred if only its rate limit allowed it; or NULL. */
	struct backend *best_rate_limited;
};

/* Borrows all arguments: they must outlive the chooser. */
void chooser_init(struct chooser *chooser, struct backend_table *backends,
		  struct member_table *members, struct warmth *warmth,
		  const char *domain, const char *region);
void chooser_release(struct chooser *chooser);

/* Notes a request that arrived, before the first choice for it. */
void chooser_arrived(struct chooser *chooser, const struct choose_query *query,
		     uint64_t now_us);

/*
 * Notes a request that could be sent now if a server has room, once. Requests
 * beyond their account's rate never count, or that account would take the room
 * of others by asking. Sets spent_before_us: a caller that comes back can't
 * meet its objective any more, and gives way to those that can.
 */
void chooser_offered(struct chooser *chooser, struct choose_query *query,
		     uint64_t now_us);

/*
 * Capacity of a service that coordinates. chooser_find_room() returns NULL
 * until the service got a request, or a report from a peer.
 */
struct room *chooser_room(struct chooser *chooser, const char *service);
struct room *chooser_find_room(const struct chooser *chooser,
			       const char *service);

/* Fills in choice; choice->reason says why there is no server. */
void choose_backend(struct chooser *chooser, const struct choose_query *query,
		    uint64_t now_us, struct choice *choice);

/*
 * How a choice made now would rate each server, without counting a request. An
 * array of struct choose_view in rendezvous order, with excluded servers last;
 * the caller frees it by g_array_unref().
 */
GArray *choose_explain(const struct chooser *chooser,
		       const struct choose_query *query, uint64_t now_us);

/*
 * Retry-after if rests exclude all servers that might take the request, tried
 * ones included: soon after the first of these ends. 0 if they don't.
 */
uint64_t chooser_rest_retry_us(const struct chooser *chooser,
			       const struct choose_query *query,
			       uint64_t now_us);

/* Share of the service's requests sent to other regions, 0 to 1. */
double chooser_far_share(const struct chooser *chooser, const char *service);

/* Of a coordinating service, as of its latest choice; NULL: none yet. */
const struct occupancy *chooser_occupancy(const struct chooser *chooser,
					  const char *service);

/* Share that should leave, by capacity and demand; -1: not planned by them. */
double chooser_wanted_far_share(const struct chooser *chooser,
				const char *service);

/* Whether it is short of capacity, so that cold runs are planned. */
bool chooser_plans_cold_runs(const struct chooser *chooser,
			     const char *service);

/* Notes the time that a connection to a server of the region took to open. */
void chooser_link_measured(struct chooser *chooser, const char *region,
			   uint64_t round_trip_us);
/* Smoothed round trip time to the region, or a default. */
uint64_t chooser_link_us(const struct chooser *chooser, const char *region);

/*
 * Notes that the request is sent to the chosen server. If that isn't warm, more
 * requests for the object may be held until it is, or until chooser_failed().
 */
void chooser_began(struct chooser *chooser, const struct choose_query *query,
		   const struct choice *choice, uint64_t now_us);
void chooser_failed(struct chooser *chooser, const struct choose_query *query,
		    const struct choice *choice);

/*
 * Notes that the chosen server answered successfully after took_us, which
 * includes round_trip_us on the network. The service time learned excludes that
 * and the wait for a slot: with the wait in it, all servers of a busy service
 * would seem slow, and the wait would count twice in expected times. It is the
 * time at the usual speed of the server, so that a slow moment of it isn't
 * learned as long work.
 */
void chooser_learn(struct chooser *chooser, const struct choose_query *query,
		   const struct choice *choice, uint64_t took_us,
		   uint64_t round_trip_us, uint64_t now_us);

const char *choose_reason_name(enum choose_reason reason);
const char *choose_block_name(enum choose_block block);

#ifdef __cplusplus
}
#endif

#endif
