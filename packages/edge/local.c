#include "edge/local.h"

#include <string.h>

#include "core/result.h"
#include "core/wire.h"
#include "edge/admin.h"
#include "edge/snapshot.h"
#include "edge/sync.h"

/* Maximum number of nodes in the answer to a look-up. */
#define LOOKUP_MAX_NODES 64

static bool path_is(const struct message *request, const char *path)
{
	size_t length = strcspn(request->target->str, "?");

	return strlen(path) == length &&
	       !strncmp(request->target->str, path, length);
}

/* Value of a query parameter, for g_free(); NULL if it is missing. */
static char *parameter(const struct message *request, const char *name)
{
	const char *query = strchr(request->target->str, '?');
	GHashTable *parameters;
	char *value = NULL;

	if (!query)
		return NULL;
	parameters =
		g_uri_parse_params(query + 1, -1, "&", G_URI_PARAMS_NONE, NULL);
	if (!parameters)
		return NULL;
	value = g_strdup(g_hash_table_lookup(parameters, name));
	g_hash_table_unref(parameters);
	return value;
}

static void set_body(struct local_answer *answer, const char *type,
		     const char *text)
{
	g_string_append_printf(answer->headers, "Content-Type: %s\r\n", type);
	g_byte_array_append(answer->body, (const guint8 *)text,
			    (guint)strlen(text));
}

static void answer_ready(struct edge *edge, struct local_answer *answer)
{
	answer->status = edge_is_ready(edge) ? 200 : 503;
}

static void answer_lookup(struct edge *edge, const struct message *request,
			  struct local_answer *answer)
{
	char *region = parameter(request, edge->dialect->lookup_region);
	const struct member *entries[LOOKUP_MAX_NODES];
	struct endpoint endpoints[LOOKUP_MAX_NODES];
	uint32_t count;
	uint32_t i;
	char *text;

	count = member_table_entries(edge->members, region ? region : "",
				     edge_now_us(edge), entries,
				     LOOKUP_MAX_NODES);
	metric_add(edge->stats.lookups, 1);
	g_free(region);
	if (!count) {
		answer->status = 503;
		return;
	}
	for (i = 0; i < count; i++)
		endpoints[i] = entries[i]->front;
	text = edge->dialect->format_lookup(endpoints, count,
					    edge->settings.lookup_keep_us);
	set_body(answer, "application/json", text);
	g_free(text);
}

static void answer_metrics(struct local_answer *answer)
{
	char *text = metrics_format();

	set_body(answer, "text/plain; version=0.0.4", text);
	g_free(text);
}

static void answer_command(struct edge *edge, const struct message *request,
			   struct local_answer *answer)
{
	enum result result;
	char *text;

	if (request->method != HTTP_POST) {
		answer->status = 405;
		return;
	}
	text = admin_command(edge, (const char *)request->body->data,
			     request->body->len, &result);
	answer->status = (uint16_t)result_http_status(result);
	set_body(answer, "application/json", text);
	g_free(text);
}

static void answer_operators(struct edge *edge, const struct message *request,
			     struct local_answer *answer)
{
	if (path_is(request, WIRE_PATH_METRICS))
		answer_metrics(answer);
	else if (path_is(request, WIRE_PATH_COMMAND))
		answer_command(edge, request, answer);
	else
		answer->status = 404;
}

static void answer_snapshot(const struct edge *edge,
			    const struct message *request,
			    struct local_answer *answer)
{
	char *tables = parameter(request, SNAPSHOT_PARAMETER);
	GBytes *bytes;
	gsize length;
	gconstpointer data;

	bytes = edge_is_ready(edge) && edge->sync ?
			sync_snapshot(edge->sync,
				      tables ? (uint32_t)strtoul(tables, NULL,
								 10) :
					       SNAPSHOT_ALL) :
			NULL;
	g_free(tables);
	if (!bytes) {
		answer->status = 503;
		return;
	}
	data = g_bytes_get_data(bytes, &length);
	g_byte_array_append(answer->body, data, (guint)length);
	g_bytes_unref(bytes);
}

void local_answer(struct edge *edge, enum listener_kind kind,
		  const struct message *request, struct local_answer *answer)
{
	answer->status = 200;
	answer->headers = g_string_new(NULL);
	answer->body = g_byte_array_new();
	if (kind == LISTENER_READINESS &&
	    path_is(request, edge->dialect->ready_path))
		answer_ready(edge, answer);
	else if (kind == LISTENER_LOOKUP &&
		 path_is(request, edge->dialect->lookup_path))
		answer_lookup(edge, request, answer);
	else if (kind == LISTENER_OPERATORS)
		answer_operators(edge, request, answer);
	else if (kind == LISTENER_PEERS && path_is(request, SNAPSHOT_PATH))
		answer_snapshot(edge, request, answer);
	else
		answer->status = 404;
}

void local_answer_release(struct local_answer *answer)
{
	g_string_free(answer->headers, TRUE);
	g_byte_array_unref(answer->body);
}
