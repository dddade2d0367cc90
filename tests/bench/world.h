/*
 * world - a small experiment of virtual time for the decision code
 *
 * Callers, entry nodes, links and backend servers as events of one heap; the
 * policy under measurement makes the decisions. Nothing here decides. One
 * service at a time; the same seed gives the same arrivals to each policy.
 * Times are microseconds of virtual time.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"
#include "core/gate.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_PLACES 6
#define WORLD_MAX_NODES 16
#define WORLD_MAX_BACKENDS 32
#define WORLD_NONE UINT32_MAX

#define MS 1000ull
#define SECOND (1000 * 1000ull)

/* Ticks of the system under measurement and the lags of what it is told. */
#define WORLD_TICK_US (100 * MS)
#define WORLD_LIST_LAG_US (2 * SECOND)
#define WORLD_CONNECT_TIMEOUT_US (200 * MS)
#define WORLD_SILENCE_US (500 * MS)
#define WORLD_CLIENT_US (8 * MS)

/* A service and the places, links and servers that it runs on. */
struct world_shape {
	const char *name;
	enum service_class class_of;
	uint32_t backends;
	uint32_t slots; /* of each backend server */
	uint32_t nodes;
	uint64_t service_us; /* mean on a server of full strength */
	uint64_t timeout_us;
	uint64_t between_regions_us; /* one way */
};

struct world;
struct world_request;

struct world_backend {
	uint32_t index;
	uint32_t place;
	uint32_t slots;
	double slowness; /* factor on service times */
	double cold; /* part of the warm-up left, 1 to 0 */
	double cold_to_shift; /* the same for what a shift brings */
	bool dead;
	uint64_t died_us; /* or came back: the last change */
	bool leaving;
	uint64_t leaving_since_us;
	uint64_t last_end_us;
	uint32_t running;
	GQueue queue; /* of requests, of those that don't fit the slots */
	uint64_t generation; /* changes when it dies: what ran is gone */
};

struct world_node {
	uint32_t index;
	uint32_t place;
	uint32_t rank; /* among the place's nodes */
	uint32_t count;
	bool dead;
	uint64_t died_us;
};

/* What an entry node knows when a place or backend server has answered. */
struct world_request {
	uint64_t id;
	uint32_t home;
	uint32_t draw;
	double work; /* of this request, about 1 */
	uint64_t born_us;
	uint64_t deadline_us;
	uint32_t calls; /* by the caller, the first included */
	uint32_t entry; /* node */
	uint32_t attempts; /* by the entry node, in this call */
	uint32_t tried[REQUEST_MAX_ATTEMPTS];
	uint32_t tried_count;
	uint32_t place;
	uint32_t node; /* of the place; WORLD_NONE where a policy has none */
	uint32_t backend;
	uint32_t shift; /* as chosen, or CONFIG_NONE */
	bool shifted; /* arrives at the receiving place of the shift */
	uint32_t local_tries;
	uint64_t sent_us; /* this attempt, by the entry node */
	uint64_t started_us; /* at the backend server */
	uint64_t generation; /* of the backend server it started on */
	uint32_t handle; /* the gate's, and which life of the gate's node */
	uint64_t resets;
	uint32_t runs;
	enum result result;
	uint64_t retry_after_us;
};

struct world_shift {
	bool on;
	uint32_t from;
	uint32_t to;
	uint32_t share_permille;
	uint32_t cap_per_s;
};

struct world_measure {
	GArray *latencies_us; /* of answered requests, first call to answer */
	uint64_t offered;
	uint64_t answered;
	uint64_t refused; /* told "not run" and given up */
	uint64_t doubled;
	uint64_t admitted; /* calls that got a place */
	uint64_t extra_attempts;
	uint32_t overload; /* most requests beyond slots at a place */
	uint32_t cap_overshoot; /* most over the cap in any second */
	uint64_t shifted_late; /* shifted requests in the last ten seconds */
	uint32_t cap_per_s; /* of the shift; 0 without one */
	uint64_t to_leaving; /* started 1 s after it was leaving */
	uint64_t drained_us; /* from leaving to the last end there */
	uint64_t finished_us; /* last answer, from the start of measuring */
};

/* Behaviour under measurement. */
struct policy_vtable {
	const char *name;
	struct policy *(*open)(struct world *world);
	void (*close)(struct policy *policy);
	/* Fill in place and node or backend; false: refused at the entry. */
	bool (*route)(struct policy *policy, struct world_request *request);
	/* It reached the place: start, keep or refuse it (world_...). */
	void (*arrive)(struct policy *policy, struct world_request *request);
	/* It ended at its backend server; true: started again at the place. */
	bool (*ended)(struct policy *policy, struct world_request *request,
		      enum gate_outcome outcome);
	/* The entry node has the result of an attempt. */
	void (*learn)(struct policy *policy, struct world_request *request);
	/* Whether an extra attempt may be paid for. */
	bool (*may_retry)(struct policy *policy, uint32_t entry);
	/* Every WORLD_TICK_US. */
	void (*tick)(struct policy *policy);
	/* A node came back without memory. */
	void (*node_reset)(struct policy *policy, uint32_t node);
	/* An operator's change: shift or drain. */
	void (*changed)(struct policy *policy);
	/* A timer set by world_set_timer() is due. */
	void (*timer)(struct policy *policy, uint32_t node);
};

struct policy {
	const struct policy_vtable *vtable;
};

/* One case: what happens and when it is measured. */
struct world_case {
	const char *name;
	bool fault; /* otherwise a steady state */
	bool by_finish; /* its aim is the time to finish all */
	const struct world_shape *shape;
	double load; /* of the capacity when all is well */
	uint64_t measure_from_us;
	uint64_t measure_to_us;
	bool uneven; /* half of the servers have a third of the strength */
	uint32_t caller_calls; /* most calls a caller makes for a request */
	uint32_t link_limit_per_s; /* between two regions; 0 is none */
	void (*act)(struct world *world, uint64_t second);
};

struct world {
	const struct world_case *run;
	const struct world_shape *shape;
	struct policy *policy;
	uint64_t now_us;
	uint64_t seed;
	GRand *arrivals; /* when, where and how much work */
	GRand *decisions; /* for the policy */
	struct world_node nodes[WORLD_MAX_NODES];
	struct world_backend backends[WORLD_MAX_BACKENDS];
	uint32_t node_count;
	uint32_t backend_count;
	double load; /* now; the case changes it */
	double capacity_per_s; /* when all is well */
	double home_share[WORLD_PLACES];
	uint32_t region_cut; /* region without links, or WORLD_NONE */
	uint32_t cut_before; /* the value before the last change */
	uint64_t cut_changed_us;
	bool platform_down;
	uint64_t report_lag_us; /* extra age of all load reports */
	bool liars; /* every third server reports no load at all */
	struct world_shift shift;
	GArray *shift_arrivals_us;
	uint64_t link_free_us[WORLD_PLACES / 2][WORLD_PLACES / 2];
	struct world_measure measure;
	GArray *events; /* binary heap */
	uint64_t next_sequence;
	uint64_t next_request;
	uint64_t timer_us[WORLD_MAX_NODES];
};

void world_run_case(const struct world_case *run,
		    const struct policy_vtable *vtable, uint64_t seed,
		    struct world_measure *measure);

uint64_t world_one_way_us(const struct world *world, uint32_t from,
			  uint32_t to);
uint32_t world_region(uint32_t place);
bool world_linked(const struct world *world, uint32_t from, uint32_t to);

/* What a backend server's load page says to a reader in its place. */
uint32_t world_reported(const struct world *world, uint32_t backend);

/* Start the request at a backend server; a result follows in any case. */
void world_start(struct world *world, struct world_request *request,
		 uint32_t backend);

/* The place refuses it, not run. */
void world_refuse(struct world *world, struct world_request *request,
		  enum result refusal, uint64_t retry_after_us);

/* Account a request that arrived at a shift's receiving place. */
void world_note_shifted(struct world *world);

/* Ask for timer() of a node at that time. */
void world_set_timer(struct world *world, uint32_t node, uint64_t at_us);

/* For a case's act(): */
void world_kill_place(struct world *world, uint32_t place);
void world_revive_place(struct world *world, uint32_t place);
void world_cut_region(struct world *world, uint32_t region);
void world_set_shift(struct world *world, const struct world_shift *shift);
void world_drain_backend(struct world *world, uint32_t backend);

extern const struct policy_vtable nearest_round_robin;
extern const struct policy_vtable least_reported_load;
extern const struct policy_vtable two_random_choices;
extern const struct policy_vtable ours;

extern const struct world_case world_cases[];
extern const uint32_t world_case_count;

/* Cost of one decision against sizes, and memory; prints a table. */
void micro_run(uint32_t only_size);

#ifdef __cplusplus
}
#endif

#endif
