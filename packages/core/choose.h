/*
 * choose - which backend server a request goes to
 *
 * Filters come first and nothing passes them: allowed regions, evacuated
 * failure domains, servers that leave, servers that were tried, the allowance
 * of cold ones, the rate of those that named one. Of the rest the one with the
 * least expected time is chosen: the way there and back, the service time
 * (short where the object is warm), the wait for a slot, and a surcharge for
 * its share of failures. A rendezvous order of the object's hash breaks ties,
 * so that all nodes warm the same servers for it. Pure but for the tables
 * passed in; not thread-safe.
 */
#ifndef CORE_CHOOSE_H
#define CORE_CHOOSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/backend_table.h"
#include "core/member_table.h"
#include "core/region_flow.h"
#include "core/route_table.h"
#include "core/suspect_table.h"
#include "core/warmth.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Backend servers that one request may have been sent to before. */
#define CHOOSE_MAX_TRIED 8

/*
 * Mechanisms that can be switched off, to measure what each is worth: bits of
 * chooser.off.
 */
enum choose_mechanism {
	CHOOSE_LEAVE_BY_OBJECT = 1 << 0, /* region_flow by objects */
	CHOOSE_KEEP_WARM = 1 << 1, /* nothing cold on a busy server */
	CHOOSE_HOLD_REQUESTS = 1 << 2, /* for one about to be warm */
	CHOOSE_ADMIT = 1 << 3, /* refuse who would queue and be late */
};

struct chooser {
	struct backend_table *backends;
	struct member_table *members;
	struct warmth *warmth;
	const struct suspect_table *suspects; /* NULL: none are known */
	const char *domain; /* where this node stands */
	const char *region;
	GHashTable *links; /* region -> struct link_time */
	GHashTable *flows; /* service -> struct region_flow */
	GHashTable *returns; /* service -> struct admission_retry_schedule */
	double trial_credit; /* requests that may warm another server */
	uint32_t off; /* of enum choose_mechanism; 0 but in experiments */
};

/* Whether a request keeps away from servers where suspects are at work. */
enum choose_apart {
	CHOOSE_TOGETHER, /* as far as the costs say */
	CHOOSE_APART, /* if there is another server */
	CHOOSE_APART_ONLY, /* and from others that are at work */
};

struct choose_query {
	const struct route *route;
	const struct service *service;
	bool has_object;
	uint32_t object; /* hash of the affinity key */
	uint64_t left_us; /* until the caller must have its answer */
	uint64_t spent_us; /* since the request arrived */
	uint64_t patience_us; /* how long its caller waits; 0: unknown */
	const struct backend *tried[CHOOSE_MAX_TRIED];
	uint32_t tried_count;
	enum choose_apart apart; /* it may crash its server */
};

enum choose_reason {
	CHOOSE_WARM, /* warm for the object */
	CHOOSE_RANK, /* not warm; by rendezvous order and load */
	CHOOSE_TRIAL, /* to warm another server while there is room */
	CHOOSE_HOLD, /* none yet: a server is about to be warm for the object */
	CHOOSE_NONE_KNOWN, /* no backend server may be used */
	CHOOSE_NONE_FREE, /* all are full, or too slow for what time is left */
	CHOOSE_NO_RATE, /* this node has no more of what their limits allow */
};

/* What keeps a backend server out of a choice. */
enum choose_block {
	CHOOSE_OPEN,
	CHOOSE_LEAVING, /* draining, or gone from the list */
	CHOOSE_EVACUATED, /* its failure domain gets nothing */
	CHOOSE_SHUNNED, /* left alone for a spell after failures */
	CHOOSE_TRIED, /* by this request */
	CHOOSE_FORBIDDEN, /* its region isn't among the route's */
	CHOOSE_COLD, /* no more of its cold allowance is this node's */
	CHOOSE_SUSPECT, /* another request that may crash it is there */
	CHOOSE_LIMITED, /* no more of the rate that it named is this node's */
};

/* A backend server as a choice sees it. */
struct choose_view {
	struct backend *backend;
	enum choose_block block; /* if not open, the rest is 0 */
	double cost_us; /* the least is chosen, within the region if it may */
	double expected_us;
	bool warm;
	bool near;
	bool full;
	bool best; /* of its region's side: a choice takes one of these */
};

struct choice {
	struct backend *backend; /* NULL if none */
	enum choose_reason reason;
	double expected_us; /* of it all, the way and the wait too */
	double work_us; /* of the service alone */
	double wait_us; /* for a slot */
	bool warm; /* the server counts as warm for the object */
	uint64_t hold_us; /* when held: choose again after that */
	uint64_t retry_after_us; /* when refused: when to come back */
	/* It would be this one, had this node a token of its rate; or NULL. */
	struct backend *wanted;
};

void chooser_init(struct chooser *chooser, struct backend_table *backends,
		  struct member_table *members, struct warmth *warmth,
		  const char *domain, const char *region);
void chooser_release(struct chooser *chooser);

void choose_backend(struct chooser *chooser, const struct choose_query *query,
		    uint64_t now_us, struct choice *choice);

/*
 * What a choice would weigh now, and nothing is claimed by asking: struct
 * choose_view in rendezvous order, those that are out last; for
 * g_array_unref().
 */
GArray *choose_explain(const struct chooser *chooser,
		       const struct choose_query *query, uint64_t now_us);

/* Share of the service's requests that leaves this region, 0 to 1. */
double chooser_far_share(const struct chooser *chooser, const char *service);

/* A connection to a server of this region took so long to open. */
void chooser_link_measured(struct chooser *chooser, const char *region,
			   uint64_t round_trip_us);
uint64_t chooser_link_us(const struct chooser *chooser, const char *region);

/*
 * The request goes to the chosen server; while that isn't warm for the object,
 * the next ones are held for it. If it fails, they aren't any more.
 */
void chooser_began(struct chooser *chooser, const struct choose_query *query,
		   const struct choice *choice, uint64_t now_us);
void chooser_failed(struct chooser *chooser, const struct choose_query *query,
		    const struct choice *choice);

/*
 * The chosen server gave a good answer after took_us, of which way_us was the
 * way there and back. Neither that nor the wait for a slot counts as its work:
 * where the wait did, all servers of a busy service seemed slow, and what was
 * expected of them too long by the wait.
 */
void chooser_learn(struct chooser *chooser, const struct choose_query *query,
		   const struct choice *choice, uint64_t took_us,
		   uint64_t way_us, uint64_t now_us);

const char *choose_reason_name(enum choose_reason reason);
const char *choose_block_name(enum choose_block block);

#ifdef __cplusplus
}
#endif

#endif
