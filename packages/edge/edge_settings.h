/*
 * edge_settings - settings of an edge node
 *
 * A TOML file; docs/SETTINGS.md lists the keys and their defaults.
 */
#ifndef EDGE_EDGE_SETTINGS_H
#define EDGE_EDGE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/account_quota.h"
#include "core/build_options.h"
#include "core/endpoint.h"
#include "core/extra_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest head and body accepted in a backend server's answer, in bytes. */
#define ANSWER_HEAD_MAX_BYTES (64 * 1024)
#define ANSWER_BODY_MAX_BYTES (8 * 1024 * 1024)

/*
 * Largest head and body accepted in a request, in bytes, whatever limits the
 * operator sets.
 */
#define REQUEST_HEAD_MAX_BYTES (1024 * 1024)
#define REQUEST_BODY_MAX_BYTES (64ull * 1024 * 1024)

struct edge_settings {
	char name[NAME_SIZE]; /* of this node */
	char domain[NAME_SIZE]; /* failure domain of this VM */
	char region[NAME_SIZE];
	struct endpoint front; /* for callers' requests */
	struct endpoint ready; /* readiness; port 0: not served */
	struct endpoint lookup; /* node list for callers; port 0: not served */
	struct endpoint operators; /* metrics; port 0: not served */
	struct endpoint peer; /* for datagrams between nodes */
	struct endpoint registry; /* for the platform's tables */
	double link_mbps; /* link of this VM */
	bool first_start; /* first start of all nodes */
	uint64_t leave_within_us; /* after it a leaving server gets no requests
				   */
	uint64_t config_within_us; /* a change is in force by then */
	struct extra_budget_rule extra_requests; /* limit of requests sent
						    beyond the first attempt */
	struct account_quota_rule account_quota;
	/* Extra requests are shared out among at least this many nodes. */
	uint32_t min_nodes_assumed;
	/* A node without a heartbeat for this long is removed. */
	uint64_t member_expiry_us;
	uint64_t lookup_keep_us; /* time that callers may cache a look-up */
	uint64_t max_stop_us; /* a stop ends by then, also with requests running
			       */
	double memory_mb; /* of this VM; 0: unknown */
	/*
	 * Bytes of requests and answers that all connections may hold beyond
	 * their allowances; 0: unlimited.
	 */
	uint64_t held_bytes;
	char log_level[NAME_SIZE];
	GHashTable *regions; /* failure domain -> region */
};

/*
 * Load and check a file. Errors: RESULT_SETTINGS_UNREADABLE, or
 * RESULT_SETTINGS_INVALID with file, line and allowed values. On success the
 * caller releases the settings.
 */
bool edge_settings_load(struct edge_settings *settings, const char *path,
			GError **error);
void edge_settings_release(struct edge_settings *settings);

/* Region of a failure domain; "" where the settings don't list it. */
const char *edge_settings_region(const struct edge_settings *settings,
				 const char *domain);

#ifdef __cplusplus
}
#endif

#endif
