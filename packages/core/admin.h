/*
 * admin - bodies of the administration API: requests read, answers built
 *
 * Pure: the caller hands in the configuration and what it knows live, and gets
 * JSON text for g_free(). Every answer has "result", "name" and "message"; a
 * table has "version", "columns" and "rows" besides. What isn't known is null.
 *
 * Source: docs/API.md has the shapes.
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

/* The largest document and the rest of a command's body. */
#define ADMIN_REQUEST_MAX_BYTES (CONFIG_MAX_BYTES + 4096)

/* The body of POST /v1/command. */
struct admin_request {
	char sentence[QUERY_MAX_BYTES + 1];
	char id[ID_SIZE]; /* of the command; empty for a query */
	bool has_expect;
	uint64_t expect; /* version that the command builds on */
	char *document; /* JSON text of load, or NULL */
};

/* What the answering node knows of one service at one place. */
struct admin_place_status {
	uint32_t service; /* index in the configuration */
	struct steer_place_view view;
};

/* What the answering node knows of a backend server of its own place. */
struct admin_backend_status {
	uint32_t backend; /* index in the configuration */
	struct gate_backend_view view;
};

/* What a node has last said of itself; the answering node is one of them. */
struct admin_node_status {
	uint32_t node; /* index in the configuration */
	uint64_t config_version;
	uint64_t report_age_us; /* 0 for the answering node itself */
	bool leaving;
};

/* Live inputs; what an array doesn't list counts as not known. */
struct admin_live_state {
	const struct admin_place_status *places;
	const struct admin_backend_status *backends;
	const struct admin_node_status *nodes;
	const uint32_t *shift_shares_permille; /* ramped, as config->shifts;
						  NULL: not known */
	const struct steer_choice *choice; /* of a request made up for where;
					      choice->shift is an index in
					      config->shifts */
	uint32_t place_count;
	uint32_t backend_count;
	uint32_t node_count;
};

/*
 * Read the body of a command, len bytes. RESULT_BAD_REQUEST on failure, and
 * there is nothing to release.
 */
bool admin_request_parse(const char *body, size_t len,
			 struct admin_request *request, GError **error);
void admin_request_release(struct admin_request *request);

/* The body as JSON text; RESULT_CONFIG_INVALID if the document isn't JSON. */
char *admin_request_format(const struct admin_request *request, GError **error);

/* A refusal or failure; retry_after_us is left out where it is 0. */
char *admin_answer_error(enum result code, const char *message,
			 uint64_t retry_after_us);

/* A command is taken in: the version that it made and what became true. */
char *admin_answer_command(uint64_t version, const char *command_id,
			   const char *message);

/*
 * The table that answers a query (where or show) from the configuration and
 * the live inputs; live->choice is needed for where, unless a name is unknown.
 * RESULT_UNKNOWN_NAME on failure.
 */
char *admin_answer_query(const struct config *config, const struct query *query,
			 const struct admin_live_state *live, GError **error);

#ifdef __cplusplus
}
#endif

#endif
