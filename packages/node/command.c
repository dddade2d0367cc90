#include "node/command.h"

#include <string.h>

#include "adapters/log.h"
#include "core/admin.h"
#include "core/query.h"
#include "node/loops.h"

/* Times a command is applied anew when another one came first. */
#define MOST_TRIES 5

static enum result fail(GError *error, char **json)
{
	enum result result = result_from_number(error->code);

	*json = admin_answer_error(result, error->message, 0);
	g_error_free(error);
	return result;
}

/* Read the row; *config is NULL where there is none yet. */
static bool read_config(struct node *node, uint64_t *version,
			struct config **config, GError **error)
{
	struct platform_row row = { 0, NULL };
	bool good = true;

	*config = NULL;
	if (!platform_read(node->platform, CONFIG_TABLE, CONFIG_KEY, &row,
			   error))
		return false;
	*version = row.version;
	if (row.value) {
		*config = config_decode(row.value, strlen(row.value), error);
		good = *config != NULL;
	}
	if (*config)
		(*config)->version = row.version;
	platform_row_release(&row);
	return good;
}

static struct config *change(const struct config *config,
			     const struct query *query,
			     const struct admin_request *request,
			     GError **error)
{
	if (query->verb == QUERY_CMD_LOAD) {
		if (request->document)
			return query_load(config, request->document,
					  strlen(request->document),
					  request->id, error);
		g_set_error(error, RESULT_ERROR, RESULT_BAD_REQUEST,
			    "load needs a document");
		return NULL;
	}
	if (config)
		return query_apply(config, query, request->id, error);
	g_set_error(error, RESULT_ERROR, RESULT_NO_CONFIG,
		    "there is no configuration to change");
	return NULL;
}

static bool check_expect(const struct admin_request *request, uint64_t version,
			 GError **error)
{
	if (!request->has_expected_version ||
	    request->expected_version == version)
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_CONFLICT,
		    "expected version %" G_GUINT64_FORMAT
		    ", it is %" G_GUINT64_FORMAT,
		    request->expected_version, version);
	return false;
}

/* How far a command has come. */
struct progress {
	uint64_t version; /* that it made; 0: not yet */
	bool repeated; /* the row had taken it in before */
	bool unsettled; /* a write of it may have taken effect */
};

/*
 * One compare-and-set. progress->version stays 0 where another command came
 * first and this one has to be applied anew.
 */
static bool try_change(struct node *node, const struct query *query,
		       const struct admin_request *request,
		       struct progress *progress, GError **error)
{
	struct config *config = NULL;
	struct config *next = NULL;
	GError *failure = NULL;
	uint64_t base = 0;
	char *text;
	bool good = false;

	if (!read_config(node, &base, &config, error))
		return false;
	/* Taken in before: its answer was lost, or it was sent twice. */
	if (config)
		progress->version = config_find_command(config, request->id);
	if (progress->version) {
		progress->repeated = !progress->unsettled;
		config_free(config);
		return true;
	}
	if (check_expect(request, base, error))
		next = change(config, query, request, error);
	if (next) {
		text = config_encode(next);
		good = platform_write(node->platform, CONFIG_TABLE, CONFIG_KEY,
				      text, base, &progress->version, &failure);
		g_free(text);
	}
	config_free(config);
	if (good) {
		/* In force here at once, and told to peers in their round. */
		next->version = progress->version;
		state_apply(node, next, NULL);
		loops_hurry(node);
		return true;
	}
	config_free(next);
	if (!failure)
		return false;
	/*
	 * Another command came first, or the answer was lost after the write
	 * may have taken effect. Both are settled by reading the row again:
	 * the id is in it, or the change is made on what is there now.
	 */
	if (failure->code == RESULT_CONFLICT ||
	    failure->code == RESULT_UNSETTLED) {
		progress->version = 0;
		if (failure->code == RESULT_UNSETTLED)
			progress->unsettled = true;
		g_error_free(failure);
		return true;
	}
	g_propagate_error(error, failure);
	return false;
}

/* What to say where the tries ended without a version. */
static void judge_end(const struct progress *progress, GError **error)
{
	if (!*error && progress->unsettled)
		g_set_error(error, RESULT_ERROR, RESULT_UNSETTLED,
			    "ask for the command's id later");
	else if (!*error)
		g_set_error(error, RESULT_ERROR, RESULT_CONFLICT,
			    "other commands came first each time");
	/* After a write whose answer was lost, a failure proves nothing. */
	else if (progress->unsettled)
		(*error)->code = RESULT_UNSETTLED;
}

static char *describe(const struct query *query,
		      const struct admin_request *request,
		      const struct progress *progress)
{
	/* The id may have come with another sentence; that one counts. */
	if (progress->repeated)
		return g_strdup_printf("command %s was taken in before",
				       request->id);
	return query_describe_effect(query, request->id);
}

static enum result run_command(struct node *node, const struct query *query,
			       const struct admin_request *request, char **json)
{
	struct progress progress = { 0 };
	GError *error = NULL;
	char *text;
	int i;

	for (i = 0; i < MOST_TRIES && !progress.version; i++)
		if (!try_change(node, query, request, &progress, &error))
			break;
	if (!progress.version)
		judge_end(&progress, &error);
	log_event(LOG_INFO, "command",
		  "id=%s sentence=\"%s\" version=%" G_GUINT64_FORMAT
		  " result=%s",
		  request->id, request->sentence, progress.version,
		  result_name(error ? result_from_number(error->code) :
				      RESULT_OK));
	if (error)
		return fail(error, json);
	text = describe(query, request, &progress);
	*json = admin_answer_command(progress.version, request->id, text);
	g_free(text);
	return RESULT_OK;
}

/* Live inputs of the administration tables, gathered service by service. */
struct gathered {
	GArray *places; /* struct admin_place_status */
	GArray *backends; /* struct admin_backend_status */
	GArray *nodes; /* struct admin_node_status */
	uint32_t *shares_permille;
};

static void gather_places(struct node *node, const struct snapshot *snapshot,
			  uint32_t index, struct gathered *gathered)
{
	struct service *service = snapshot->services[index];
	struct admin_place_status place = { .service = index };
	uint64_t now_us = state_now_us(node);
	uint32_t i;

	pthread_mutex_lock(&service->steer_lock);
	for (i = 0; steer_view(service->steer, i, now_us, &place.view); i++)
		if (place.view.place < snapshot->config->place_count)
			g_array_append_val(gathered->places, place);
	pthread_mutex_unlock(&service->steer_lock);
}

static void gather_backends(struct node *node, const struct snapshot *snapshot,
			    uint32_t index, struct gathered *gathered)
{
	struct service *service = snapshot->services[index];
	struct admin_backend_status backend;
	uint64_t now_us = state_now_us(node);
	uint32_t i;

	pthread_mutex_lock(&service->gate_lock);
	for (i = 0; gate_view(service->gate, i, now_us, &backend.view); i++) {
		backend.backend = config_find_backend(snapshot->config,
						      backend.view.name);
		if (backend.backend != CONFIG_NONE)
			g_array_append_val(gathered->backends, backend);
	}
	pthread_mutex_unlock(&service->gate_lock);
}

static void gather_nodes(struct node *node, const struct snapshot *snapshot,
			 struct gathered *gathered)
{
	const struct config *config = snapshot->config;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		struct admin_node_status row = { .node = i };
		struct view_node known;

		if (i == snapshot->own_node) {
			row.config_version = config->version;
			row.leaving = atomic_load(&node->stopping);
		} else if (view_find(node->view, config->nodes[i].name,
				     state_now_us(node), &known)) {
			row.config_version = known.config_version;
			row.report_age_us = known.age_us;
			row.leaving = known.leaving;
		} else {
			continue;
		}
		g_array_append_val(gathered->nodes, row);
	}
}

static void gather_shares(struct node *node, const struct snapshot *snapshot,
			  struct gathered *gathered)
{
	const struct config *config = snapshot->config;
	uint32_t *seen = g_new0(uint32_t, config->service_count + 1);
	uint32_t i;

	gathered->shares_permille = g_new0(uint32_t, config->shift_count + 1);
	for (i = 0; i < config->shift_count; i++) {
		uint32_t index = config->shifts[i].service;
		struct service *service = snapshot->services[index];

		pthread_mutex_lock(&service->steer_lock);
		gathered->shares_permille[i] = steer_shift_share(
			service->steer, seen[index]++, state_now_us(node));
		pthread_mutex_unlock(&service->steer_lock);
	}
	g_free(seen);
}

static void gather(struct node *node, const struct snapshot *snapshot,
		   struct gathered *gathered)
{
	uint32_t i;

	gathered->places =
		g_array_new(FALSE, TRUE, sizeof(struct admin_place_status));
	gathered->backends =
		g_array_new(FALSE, TRUE, sizeof(struct admin_backend_status));
	gathered->nodes =
		g_array_new(FALSE, TRUE, sizeof(struct admin_node_status));
	for (i = 0; i < snapshot->config->service_count; i++) {
		gather_places(node, snapshot, i, gathered);
		gather_backends(node, snapshot, i, gathered);
	}
	gather_nodes(node, snapshot, gathered);
	gather_shares(node, snapshot, gathered);
}

static void gathered_release(struct gathered *gathered)
{
	g_array_unref(gathered->places);
	g_array_unref(gathered->backends);
	g_array_unref(gathered->nodes);
	g_free(gathered->shares_permille);
}

/* Index in the whole list of the service's n-th shift. */
static uint32_t shift_index(const struct config *config, uint32_t service,
			    uint32_t nth)
{
	uint32_t i;

	for (i = 0; i < config->shift_count; i++)
		if (config->shifts[i].service == service && !nth--)
			return i;
	return CONFIG_NONE;
}

/* What steer would decide now for a request of the sentence's kind. */
static bool choose(struct node *node, const struct snapshot *snapshot,
		   const struct query *query, struct steer_choice *choice)
{
	const struct config *config = snapshot->config;
	uint32_t index = config_find_service(config, query->service);
	uint32_t home = config_find_place(config, query->from);
	struct steer_request request = { .home = home };
	struct service *service;

	if (index == CONFIG_NONE || home == CONFIG_NONE)
		return false;
	service = snapshot->services[index];
	request.class_of = config->services[index].class_of;
	request.deadline_us =
		state_now_us(node) + config->services[index].timeout_us;
	request.draw = state_draw();
	pthread_mutex_lock(&service->steer_lock);
	steer_explain(service->steer, &request, state_now_us(node), choice);
	pthread_mutex_unlock(&service->steer_lock);
	if (choice->shift != CONFIG_NONE)
		choice->shift = shift_index(config, index, choice->shift);
	return true;
}

static enum result run_query(struct node *node, const struct query *query,
			     char **json)
{
	struct snapshot *snapshot = snapshot_get(node);
	struct gathered gathered = { 0 };
	struct steer_choice choice;
	struct admin_live_state live = { 0 };
	GError *error = NULL;

	if (!snapshot) {
		*json = admin_answer_error(RESULT_NO_CONFIG,
					   "no configuration yet", 0);
		return RESULT_NO_CONFIG;
	}
	gather(node, snapshot, &gathered);
	live.places = (const struct admin_place_status *)gathered.places->data;
	live.place_count = gathered.places->len;
	live.backends =
		(const struct admin_backend_status *)gathered.backends->data;
	live.backend_count = gathered.backends->len;
	live.nodes = (const struct admin_node_status *)gathered.nodes->data;
	live.node_count = gathered.nodes->len;
	live.shift_shares_permille = gathered.shares_permille;
	if (query->verb == QUERY_WHERE &&
	    choose(node, snapshot, query, &choice))
		live.choice = &choice;
	*json = admin_answer_query(snapshot->config, query, &live, &error);
	gathered_release(&gathered);
	snapshot_put(snapshot);
	return error ? fail(error, json) : RESULT_OK;
}

enum result command_run(struct node *node, const char *body, size_t len,
			char **json)
{
	struct admin_request request;
	struct query query;
	GError *error = NULL;
	enum result result;

	if (!admin_request_parse(body, len, &request, &error))
		return fail(error, json);
	if (!query_parse(request.sentence, &query, &error))
		result = fail(error, json);
	else if (query_is_command(&query))
		result = run_command(node, &query, &request, json);
	else
		result = run_query(node, &query, json);
	admin_request_release(&request);
	return result;
}

enum result command_find(struct node *node, const char *id, char **json)
{
	struct config *config = NULL;
	GError *error = NULL;
	uint64_t version = 0;
	uint64_t found;

	if (!read_config(node, &version, &config, &error))
		return fail(error, json);
	found = config ? config_find_command(config, id) : 0;
	config_free(config);
	if (!found) {
		*json = admin_answer_error(RESULT_UNKNOWN_NAME,
					   "the command was not taken in", 0);
		return RESULT_UNKNOWN_NAME;
	}
	*json = admin_answer_command(found, id, "the command was taken in");
	return RESULT_OK;
}
