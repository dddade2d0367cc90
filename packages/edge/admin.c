#include "edge/admin.h"

#include "adapters/log.h"
#include "core/admin.h"
#include "core/admin_json.h"
#include "core/query.h"
#include "core/result.h"
#include "edge/admin_internal.h"

/* Who does on this platform what the command asks for; NULL: this node. */
static const char *command_hint(enum query_verb verb)
{
	switch (verb) {
	case QUERY_CMD_SHIFT:
	case QUERY_CMD_CANCEL:
		return "shares of traffic are the weights of a route's split; "
		       "the platform's operator writes them";
	case QUERY_CMD_DRAIN:
	case QUERY_CMD_UNDRAIN:
		return "a failure domain is evacuated by the platform's "
		       "operator, a backend server drains itself, and an entry "
		       "VM is stopped by SIGTERM";
	case QUERY_CMD_STOP:
	case QUERY_CMD_START:
	case QUERY_CMD_LOAD:
		return "routes and services are written by the platform's "
		       "operator";
	default:
		return NULL;
	}
}

static json_t *execute_query(struct edge *edge, const struct query *query,
			     GError **error)
{
	const char *hint = command_hint(query->verb);

	if (hint) {
		g_set_error(error, RESULT_ERROR, RESULT_CONFLICT,
			    "not a command for this node: %s", hint);
		return NULL;
	}
	if (!edge->routes) {
		g_set_error_literal(error, RESULT_ERROR, RESULT_NO_CONFIG,
				    "no routes are known yet");
		return NULL;
	}
	if (query->verb == QUERY_QUARANTINE || query->verb == QUERY_RELEASE)
		return admin_change_suspect(edge, query, error);
	if (query->verb == QUERY_WHERE)
		return admin_show_where(edge, query, error);
	return admin_show_table(edge, query, error);
}

static json_t *execute_body(struct edge *edge, const char *body, size_t length,
			    GError **error)
{
	struct admin_request request;
	struct query query;
	json_t *root = NULL;

	if (!admin_request_parse(body, length, &request, error))
		return NULL;
	if (query_parse(request.sentence, &query, error))
		root = execute_query(edge, &query, error);
	log_event(LOG_INFO, "asked", "sentence=\"%s\" answered=%s",
		  request.sentence, root ? "yes" : "no");
	admin_request_release(&request);
	return root;
}

char *admin_command(struct edge *edge, const char *body, size_t length,
		    enum result *result)
{
	GError *error = NULL;
	json_t *root = execute_body(edge, body, length, &error);
	char *text;

	*result = RESULT_OK;
	if (root)
		return admin_json_to_text(root);
	*result = result_from_number(error->code);
	text = admin_answer_error(*result, error->message, 0);
	g_error_free(error);
	return text;
}
