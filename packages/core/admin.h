/*
 * admin - JSON request and answer bodies of the administration API
 *
 * Pure functions: the caller passes the configuration and the live state that
 * it knows, and gets JSON text for g_free(). Every answer has "result", "name"
 * and "message"; a table also has "version", "columns" and "rows". Unknown
 * values are null. docs/API.md has the schemas.
 */
#ifndef CORE_ADMIN_H
#define CORE_ADMIN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/config.h"
#include "core/gate.h"
#include "core/query.h"
#include "core/result.h"
#include "core/steer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum body of a command: the largest document and the other members. */
#define ADMIN_REQUEST_MAX_BYTES (CONFIG_MAX_BYTES + 4096)

/* The body of POST /v1/command. */
struct admin_request {
	char sentence[QUERY_MAX_BYTES + 1];
	char id[ID_SIZE]; /* of the command; empty for a query */
	bool has_expected_version;
	uint64_t expected_version; /* required configuration version */
	char *document; /* JSON text for load, or NULL */
};

/* Load and state of one service at one place, as this node knows it. */
struct admin_place_status {
	uint32_t service; /* index in the configuration */
	struct steer_place_view view;
};

/* State of a backend server at this node's own place. */
struct admin_backend_status {
	uint32_t backend; /* index in the configuration */
	struct gate_backend_view view;
};

/* The last report of a node; one entry is this node itself. */
struct admin_node_status {
	uint32_t node; /* index in the configuration */
	uint64_t config_version;
	uint64_t report_age_us; /* 0 for this node itself */
	bool leaving;
};

/* Live state at this node; entries missing from an array are unknown. */
struct admin_live_state {
	const struct admin_place_status *places;
	const struct admin_backend_status *backends;
	const struct admin_node_status *nodes;
	const uint32_t *shift_shares_permille; /* current, after ramping; by
						  index in config->shifts;
						  NULL: unknown */
	const struct steer_choice *choice; /* for where: of a sample request;
					      choice->shift is an index in
					      config->shifts */
	uint32_t place_count;
	uint32_t backend_count;
	uint32_t node_count;
};

/*
 * Parse the body (len bytes) of POST /v1/command; for admin_request_release().
 * RESULT_BAD_REQUEST on failure; there is nothing to release then.
 */
bool admin_request_parse(const char *body, size_t len,
			 struct admin_request *request, GError **error);
void admin_request_release(struct admin_request *request);

/* The request as JSON text; RESULT_CONFIG_INVALID if document isn't JSON. */
char *admin_request_format(const struct admin_request *request, GError **error);

/* An error answer; retry_after_us is left out if 0. */
char *admin_answer_error(enum result code, const char *message,
			 uint64_t retry_after_us);

/* The answer to an applied command: the new version and the effect. */
char *admin_answer_command(uint64_t version, const char *command_id,
			   const char *message);

/*
 * Answer a query (where or show) from the configuration and the live state.
 * where needs live->choice, without which it fails with RESULT_INTERNAL.
 * RESULT_UNKNOWN_NAME for names and tables that don't exist.
 */
char *admin_answer_query(const struct config *config, const struct query *query,
			 const struct admin_live_state *live, GError **error);

#ifdef __cplusplus
}
#endif

#endif
