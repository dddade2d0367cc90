/*
 * plan - a deployment and a day of it, for the emulator
 *
 * One service in some regions, its callers, and what goes wrong. Read from a
 * TOML file whose values are whole numbers, or decimals as text; times end in
 * _ms. Faults are tables whose names begin with "fault".
 */
#ifndef EXPERIMENT_PLAN_H
#define EXPERIMENT_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define PLAN_REGIONS_MOST 9
#define PLAN_FAULTS_MOST 16

/* A fault that meets all regions. */
#define PLAN_EVERYWHERE UINT32_MAX

struct plan_region {
	uint32_t nodes;
	uint32_t servers;
	double per_s; /* callers' requests */
};

enum plan_fault_kind {
	PLAN_BURST, /* factor times the callers */
	PLAN_SERVERS_DOWN, /* count servers; they come back cold */
	PLAN_SERVERS_SLOW, /* their work takes factor times as long */
	PLAN_SERVERS_SHED, /* they turn away that part of what arrives */
	PLAN_NODES_KILLED, /* all nodes, which know nothing when they're back */
};

struct plan_fault {
	enum plan_fault_kind kind;
	uint64_t at_us;
	uint64_t for_us;
	uint32_t region;
	uint32_t count;
	double factor;
};

struct plan {
	char name[32];
	struct plan_region regions[PLAN_REGIONS_MOST];
	uint32_t region_count;
	uint32_t slots; /* of a server */
	uint32_t queue;
	uint32_t keeps; /* objects that its cache holds */
	uint32_t objects; /* of each region's callers */
	uint64_t work_us; /* mean, for an object that isn't in the cache */
	double warm_part; /* of it, for one that is */
	double spread; /* of the work, as a part of its mean */
	bool idempotent;
	uint32_t max_attempts;
	uint32_t retries; /* of a caller */
	uint64_t target_us;
	uint64_t timeout_us;
	uint64_t deadline_us;
	double late_worth; /* of an answer after the objective */
	uint64_t near_us; /* one way, within a region */
	uint64_t far_us; /* one way, to another */
	uint64_t caller_us; /* one way, to the callers */
	double beat_loss;
	uint64_t length_us;
	uint64_t window_us;
	struct plan_fault faults[PLAN_FAULTS_MOST];
	uint32_t fault_count;
};

/*
 * Read and check a file. RESULT_SETTINGS_UNREADABLE, or RESULT_SETTINGS_INVALID
 * with the line and what is wrong there.
 */
bool plan_load(struct plan *plan, const char *path, GError **error);

/* Servers of all regions; nodes of all regions. */
uint32_t plan_servers(const struct plan *plan);
uint32_t plan_nodes(const struct plan *plan);

#ifdef __cplusplus
}
#endif

#endif
