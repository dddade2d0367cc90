/*
 * edge_settings - the settings of a node on the data path
 *
 * A TOML file; docs/SETTINGS.md has each key with its default.
 */
#ifndef EDGE_EDGE_SETTINGS_H
#define EDGE_EDGE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/endpoint.h"
#include "core/extra_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest head and body of a backend server's answer that is taken. */
#define ANSWER_HEAD_MAX_BYTES (64 * 1024)
#define ANSWER_BODY_MAX_BYTES (8 * 1024 * 1024)

/* Largest head and body of a request taken, whatever the operator allows. */
#define REQUEST_HEAD_MAX_BYTES (1024 * 1024)
#define REQUEST_BODY_MAX_BYTES (64ull * 1024 * 1024)

struct edge_settings {
	char name[NAME_SIZE];
	char domain[NAME_SIZE]; /* failure domain of this VM */
	char region[NAME_SIZE];
	struct endpoint front; /* callers' requests */
	struct endpoint ready; /* readiness; port 0: not served */
	struct endpoint lookup; /* which nodes to use; port 0: not served */
	struct endpoint operators; /* metrics; port 0: not served */
	struct endpoint peer; /* datagrams between nodes */
	struct endpoint registry; /* the platform's tables */
	double link_mbps; /* of this VM */
	bool first_start; /* all nodes start for the first time */
	uint64_t leave_within_us; /* a leaving server gets nothing after that */
	uint64_t config_within_us; /* a change is in force by then */
	struct extra_budget_rule extra;
	uint32_t min_nodes; /* nodes that are there at least */
	uint64_t member_expiry_us; /* a node silent for so long is struck off */
	uint64_t lookup_keep_us; /* how long callers may keep a look-up */
	uint64_t max_stop_us; /* a stop is over by then, whatever runs */
	char log_level[NAME_SIZE];
	GHashTable *regions; /* failure domain -> region */
};

/*
 * Read and check a file. RESULT_SETTINGS_UNREADABLE, or RESULT_SETTINGS_INVALID
 * with file, line and what is allowed. settings->regions is new.
 */
bool edge_settings_load(struct edge_settings *settings, const char *path,
			GError **error);
void edge_settings_release(struct edge_settings *settings);

/* Region of a failure domain; "" where the settings don't name it. */
const char *edge_settings_region(const struct edge_settings *settings,
				 const char *domain);

#ifdef __cplusplus
}
#endif

#endif
