/*
 * fleet_parts - what the files of fleet share; not for other modules
 */
#ifndef EXPERIMENT_FLEET_PARTS_H
#define EXPERIMENT_FLEET_PARTS_H

#include <gsl/gsl_rng.h>

#include "core/choose.h"
#include "core/extra_budget.h"
#include "core/retry.h"
#include "experiment/fleet.h"

struct fleet;
struct server;

/* A caller's request, through all of its tries. */
struct request {
	uint32_t region;
	uint32_t object;
	double work_us; /* in a server that hasn't the object */
	uint64_t begun_us; /* the first try */
	uint64_t give_up_us;
	uint32_t tries;
	uint32_t window;
	uint32_t stage; /* events of an earlier one are void */
	bool over;
	/* The try at hand. */
	struct node *node;
	uint64_t arrived_us;
	uint64_t due_us;
	struct choose_query query;
	struct choice choice;
	struct retry_state retry;
	struct server *server;
	uint64_t sent_us;
};

struct node {
	struct fleet *fleet;
	uint32_t index;
	uint32_t region;
	bool up;
	struct backend_table *backends;
	struct member_table *members;
	struct warmth warmth;
	struct chooser chooser;
	struct extra_budget budget;
	uint32_t ticks;
	GHashTable *requests; /* at hand, of struct request */
};

struct server {
	struct fleet *fleet;
	uint32_t index;
	uint32_t region;
	char id[16];
	bool up;
	uint32_t life;
	double slowness;
	double shed_part;
	uint32_t running;
	GQueue waiting; /* of struct request */
	GQueue cache; /* of objects, the latest first */
	GHashTable *cached; /* object -> its link in cache */
};

struct fleet {
	const struct plan *plan;
	const struct fleet_options *options;
	struct fleet_result *result;
	uint64_t now_us;
	uint64_t events;
	GSequence *queue;
	gsl_rng *random;
	struct node *nodes;
	uint32_t node_count;
	struct server *servers;
	uint32_t server_count;
	struct route_table *routes;
	struct route *route;
	struct service *service;
	struct extra_budget_rule extra;
	GPtrArray *requests;
	GArray *times; /* of answers, double us */
	double burst; /* factor on the callers' rates */
};

/* fleet.c: events; one that belongs to a request is void after its stage. */
typedef void (*fleet_event)(struct fleet *fleet, void *subject);
void fleet_at(struct fleet *fleet, uint64_t at_us, fleet_event event,
	      void *subject);
/* The same for a subject that the event frees; drop does where the day ends. */
void fleet_at_owned(struct fleet *fleet, uint64_t at_us, fleet_event event,
		    void *subject, GDestroyNotify drop);
void fleet_request_at(struct fleet *fleet, uint64_t at_us, fleet_event event,
		      struct request *request);
struct fleet_window *fleet_window_now(struct fleet *fleet);
uint64_t fleet_way_us(const struct fleet *fleet, uint32_t from, uint32_t to);

void fleet_init(struct fleet *fleet, const struct plan *plan,
		const struct fleet_options *options,
		struct fleet_result *result);
void fleet_release(struct fleet *fleet);
void fleet_sum_up(const struct plan *plan, GArray *times,
		  struct fleet_result *result);

/* callers.c: requests as they come, and what their callers make of answers. */
void callers_start(struct fleet *fleet);
void callers_answered(struct request *request);
void callers_refused(struct request *request, uint64_t retry_after_us);
void callers_failed(struct request *request);
void draw_request(struct fleet *fleet, uint32_t region,
		  struct request *request);
double draw_gap_us(struct fleet *fleet, double per_s);

/* nodes.c: the decisions of the nodes. */
void nodes_start(struct fleet *fleet);
void nodes_stop(struct fleet *fleet);
void nodes_set_up(struct fleet *fleet, bool up);
struct node *nodes_draw(struct fleet *fleet, uint32_t region);
void node_take(struct node *node, struct request *request);
void node_answered(struct request *request);
void node_failed(struct request *request, enum send_outcome outcome);

/* beats.c: what nodes tell each other, from now on. */
void beats_start(struct node *node);

/* baselines.c: a server by another policy; NULL if none is up. */
struct backend *baseline_choose(struct node *node,
				const struct choose_query *query);

/* servers.c: slots, queue and cache. */
void servers_start(struct fleet *fleet);
void servers_stop(struct fleet *fleet);
void server_arrive(struct fleet *fleet, void *request);
void server_set_up(struct server *server, bool up);

#endif
