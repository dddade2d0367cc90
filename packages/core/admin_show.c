#include "core/admin_table.h"

#include "core/admin_json.h"

/* Sum of the known load reports of a service or a place. */
struct load_sum {
	uint64_t slots;
	uint64_t in_flight;
	uint64_t waiting;
	uint64_t oldest_report_age_us;
	bool known; /* there is a report */
};

static const char *const place_columns[] = {
	"place",	"region", "drained",   "nodes",	  "backends",
	"config_slots", "slots",  "in_flight", "waiting", "report_age_us",
};

static const char *const node_columns[] = {
	"node",	   "place",   "address",	"http_port",	 "peer_port",
	"drained", "leaving", "config_version", "report_age_us",
};

static const char *const backend_columns[] = {
	"backend",	"service", "place", "address",	 "port",
	"config_slots", "drained", "slots", "in_flight", "reported_in_flight",
	"latency_us",	"leaving", "down",  "cold",	 "report_age_us",
};

static const char *const service_columns[] = {
	"service",	"class", "timeout_us", "stopped", "places",
	"config_slots", "slots", "in_flight",  "waiting", "report_age_us",
};

static const char *const shift_columns[] = {
	"shift",     "service",	       "from",
	"to",	     "share_permille", "share_now_permille",
	"cap_per_s",
};

static const char *const version_columns[] = {
	"node", "place", "config_version", "in_force", "report_age_us",
};

static const struct gate_backend_view *
find_backend(const struct admin_live_state *live, uint32_t backend)
{
	uint32_t i;

	for (i = 0; i < live->backend_count; i++)
		if (live->backends[i].backend == backend)
			return &live->backends[i].view;
	return NULL;
}

static const struct admin_node_status *
find_node(const struct admin_live_state *live, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < live->node_count; i++)
		if (live->nodes[i].node == node)
			return &live->nodes[i];
	return NULL;
}

/* Add up the reports; CONFIG_NONE matches any service or place. */
static struct load_sum sum_load(const struct admin_live_state *live,
				uint32_t service, uint32_t place)
{
	struct load_sum sum = { 0 };
	uint32_t i;

	for (i = 0; i < live->place_count; i++) {
		const struct admin_place_status *item = &live->places[i];
		const struct gate_summary *report = &item->view.report;

		if ((service != CONFIG_NONE && service != item->service) ||
		    (place != CONFIG_NONE && place != item->view.place) ||
		    item->view.report_age_us == UINT64_MAX)
			continue;
		sum.known = true;
		sum.slots += report->slots;
		sum.in_flight += report->in_flight;
		sum.waiting += report->waiting;
		sum.oldest_report_age_us =
			MAX(sum.oldest_report_age_us, item->view.report_age_us);
	}
	return sum;
}

/* An answer with the table and a message such as "2 places". */
static json_t *finish_table(struct admin_table *table,
			    const struct config *config, const char *item_name)
{
	size_t count = json_array_size(table->rows);
	char message[64];
	json_t *root;

	g_snprintf(message, sizeof(message), "%zu %s%s", count, item_name,
		   count == 1 ? "" : "s");
	root = admin_json_new_answer(RESULT_OK, message);
	admin_table_move_into(root, table, config->version);
	return root;
}

/* CONFIG_NONE matches any service or place. */
static bool backend_matches(const struct config_backend *backend,
			    uint32_t service, uint32_t place)
{
	return (service == CONFIG_NONE || service == backend->service) &&
	       (place == CONFIG_NONE || place == backend->place);
}

static uint64_t count_backends(const struct config *config, uint32_t place)
{
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < config->backend_count; i++)
		count += config->backends[i].place == place;
	return count;
}

static uint64_t sum_config_slots(const struct config *config, uint32_t service,
				 uint32_t place)
{
	uint64_t slots = 0;
	uint32_t i;

	for (i = 0; i < config->backend_count; i++)
		if (backend_matches(&config->backends[i], service, place))
			slots += config->backends[i].slots;
	return slots;
}

static uint64_t count_nodes(const struct config *config, uint32_t place)
{
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		count += config->nodes[i].place == place;
	return count;
}

static uint64_t count_service_places(const struct config *config,
				     uint32_t service)
{
	bool *service_places = admin_find_service_places(config, service);
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < config->place_count; i++)
		count += service_places[i];
	g_free(service_places);
	return count;
}

static json_t *show_places(const struct admin_query_context *context)
{
	const struct config *config = context->config;
	struct admin_table table = ADMIN_TABLE_NEW(place_columns);
	uint32_t i;

	for (i = 0; i < config->place_count; i++) {
		const struct config_place *place = &config->places[i];
		struct load_sum sum = sum_load(context->live, CONFIG_NONE, i);
		json_t *const values[] = {
			json_string(place->name),
			json_string(place->region),
			json_boolean(place->drained),
			admin_json_number(count_nodes(config, i)),
			admin_json_number(count_backends(config, i)),
			admin_json_number(
				sum_config_slots(config, CONFIG_NONE, i)),
			admin_json_number_or_null(sum.known, sum.slots),
			admin_json_number_or_null(sum.known, sum.in_flight),
			admin_json_number_or_null(sum.known, sum.waiting),
			admin_json_number_or_null(sum.known,
						  sum.oldest_report_age_us),
		};

		ADMIN_TABLE_ADD(&table, place_columns, values);
	}
	return finish_table(&table, config, "place");
}

static json_t *show_nodes(const struct admin_query_context *context)
{
	const struct config *config = context->config;
	struct admin_table table = ADMIN_TABLE_NEW(node_columns);
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const struct config_node *node = &config->nodes[i];
		const struct admin_node_status *live =
			find_node(context->live, i);
		json_t *const values[] = {
			json_string(node->name),
			json_string(config->places[node->place].name),
			json_string(node->address),
			admin_json_number(node->http_port),
			admin_json_number(node->peer_port),
			json_boolean(node->drained),
			admin_json_boolean_or_null(live, live && live->leaving),
			admin_json_number_or_null(
				live, live ? live->config_version : 0),
			admin_json_time_us_or_null(live ? live->report_age_us :
							  UINT64_MAX),
		};

		ADMIN_TABLE_ADD(&table, node_columns, values);
	}
	return finish_table(&table, config, "node");
}

static void add_backend(struct admin_table *table,
			const struct admin_query_context *context,
			uint32_t index)
{
	static const struct gate_backend_view unknown = { 0 };
	const struct config *config = context->config;
	const struct config_backend *backend = &config->backends[index];
	const struct gate_backend_view *live =
		find_backend(context->live, index);
	const struct gate_backend_view *view = live ? live : &unknown;
	bool reported = live && view->report_age_us != UINT64_MAX;
	json_t *const values[] = {
		json_string(backend->name),
		json_string(config->services[backend->service].name),
		json_string(config->places[backend->place].name),
		json_string(backend->address),
		admin_json_number(backend->port),
		admin_json_number(backend->slots),
		json_boolean(backend->drained),
		admin_json_number_or_null(live, view->slots),
		admin_json_number_or_null(live, view->in_flight),
		admin_json_number_or_null(reported, view->reported_in_flight),
		admin_json_number_or_null(live && view->latency_us,
					  view->latency_us),
		admin_json_boolean_or_null(live, view->leaving),
		admin_json_boolean_or_null(live, view->down),
		admin_json_boolean_or_null(live, view->cold),
		admin_json_number_or_null(reported, view->report_age_us),
	};

	ADMIN_TABLE_ADD(table, backend_columns, values);
}

/* Index of the entity that a filter names; CONFIG_NONE if it is empty. */
static bool find_filter(const struct admin_query_context *context,
			enum query_entity entity, const char *name,
			uint32_t *index, GError **error)
{
	*index = CONFIG_NONE;
	if (!*name)
		return true;
	*index = query_find_entity(context->config, entity, name, error);
	return *index != CONFIG_NONE;
}

static json_t *show_backends(const struct admin_query_context *context,
			     GError **error)
{
	const struct config *config = context->config;
	const struct query *query = context->query;
	struct admin_table table;
	uint32_t service;
	uint32_t place;
	uint32_t i;

	if (!find_filter(context, QUERY_ENTITY_SERVICE, query->service,
			 &service, error) ||
	    !find_filter(context, QUERY_ENTITY_PLACE, query->place, &place,
			 error))
		return NULL;
	table = ADMIN_TABLE_NEW(backend_columns);
	for (i = 0; i < config->backend_count; i++)
		if (backend_matches(&config->backends[i], service, place))
			add_backend(&table, context, i);
	return finish_table(&table, config, "backend server");
}

static json_t *show_services(const struct admin_query_context *context)
{
	const struct config *config = context->config;
	struct admin_table table = ADMIN_TABLE_NEW(service_columns);
	uint32_t i;

	for (i = 0; i < config->service_count; i++) {
		const struct config_service *service = &config->services[i];
		struct load_sum sum = sum_load(context->live, i, CONFIG_NONE);
		json_t *const values[] = {
			json_string(service->name),
			json_string(service_class_name(service->class_of)),
			admin_json_number(service->timeout_us),
			json_boolean(service->stopped),
			admin_json_number(count_service_places(config, i)),
			admin_json_number(
				sum_config_slots(config, i, CONFIG_NONE)),
			admin_json_number_or_null(sum.known, sum.slots),
			admin_json_number_or_null(sum.known, sum.in_flight),
			admin_json_number_or_null(sum.known, sum.waiting),
			admin_json_number_or_null(sum.known,
						  sum.oldest_report_age_us),
		};

		ADMIN_TABLE_ADD(&table, service_columns, values);
	}
	return finish_table(&table, config, "service");
}

static json_t *show_shifts(const struct admin_query_context *context)
{
	const struct config *config = context->config;
	bool known = context->live->shift_shares_permille;
	struct admin_table table = ADMIN_TABLE_NEW(shift_columns);
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];
		json_t *const values[] = {
			json_string(shift->id),
			json_string(config->services[shift->service].name),
			json_string(config->places[shift->from].name),
			json_string(config->places[shift->to].name),
			admin_json_number(shift->share_permille),
			admin_json_number_or_null(
				known,
				admin_current_share_permille(context, i)),
			admin_json_number(shift->cap_per_s),
		};

		ADMIN_TABLE_ADD(&table, shift_columns, values);
	}
	return finish_table(&table, config, "shift");
}

static json_t *show_version(const struct admin_query_context *context)
{
	const struct config *config = context->config;
	struct admin_table table = ADMIN_TABLE_NEW(version_columns);
	uint32_t in_force = 0;
	char message[96];
	json_t *root;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const struct config_node *node = &config->nodes[i];
		const struct admin_node_status *live =
			find_node(context->live, i);
		bool has_version = live &&
				   live->config_version >= config->version;
		json_t *const values[] = {
			json_string(node->name),
			json_string(config->places[node->place].name),
			admin_json_number_or_null(
				live, live ? live->config_version : 0),
			admin_json_boolean_or_null(live, has_version),
			admin_json_time_us_or_null(live ? live->report_age_us :
							  UINT64_MAX),
		};

		ADMIN_TABLE_ADD(&table, version_columns, values);
		in_force += has_version;
	}
	g_snprintf(message, sizeof(message),
		   "version %" G_GUINT64_FORMAT
		   " is in force at %u of %u nodes",
		   config->version, in_force, config->node_count);
	root = admin_json_new_answer(RESULT_OK, message);
	admin_table_move_into(root, &table, config->version);
	return root;
}

json_t *admin_show(const struct admin_query_context *context, GError **error)
{
	switch (context->query->verb) {
	case QUERY_SHOW_PLACES:
		return show_places(context);
	case QUERY_SHOW_NODES:
		return show_nodes(context);
	case QUERY_SHOW_BACKENDS:
		return show_backends(context, error);
	case QUERY_SHOW_SERVICES:
		return show_services(context);
	case QUERY_SHOW_SHIFTS:
		return show_shifts(context);
	case QUERY_SHOW_VERSION:
		return show_version(context);
	default:
		g_set_error_literal(error, RESULT_ERROR, RESULT_INTERNAL,
				    "the sentence shows nothing");
		return NULL;
	}
}
