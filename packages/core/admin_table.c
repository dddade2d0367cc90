#include "core/admin.h"

#include <jansson.h>

#include "core/answer.h"

#define PERMILLE_PER_PERCENT 10

/* A table being built; values of a row come in the order of the columns. */
struct table {
	const char *const *columns;
	size_t column_count;
	json_t *rows;
};

/* Everything that a query's answer is built from. */
struct question {
	const struct config *config;
	const struct query *query;
	const struct admin_live *live;
};

/* What all known reports of a service or a place add up to. */
struct load_sum {
	uint64_t slots;
	uint64_t in_flight;
	uint64_t waiting;
	uint64_t oldest_us;
	bool known;
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

static const char *const where_columns[] = {
	"place",       "region",     "chosen",	       "rule",
	"expected_us", "one_way_us", "slots",	       "in_flight",
	"waiting",     "service_us", "wait_us",	       "report_age_us",
	"drained",     "failing",    "shift_permille", "shifts",
};

/*
 * Values that may not be known
 */

static json_t *number_if(bool known, uint64_t value)
{
	return known ? answer_number(value) : json_null();
}

static json_t *boolean_if(bool known, bool value)
{
	return known ? json_boolean(value) : json_null();
}

/* An age or an expected time, of which UINT64_MAX means that there is none. */
static json_t *time_us(uint64_t value_us)
{
	return number_if(value_us != UINT64_MAX, value_us);
}

/*
 * Tables
 */

static struct table table_new(const char *const *columns, size_t column_count)
{
	struct table table = { columns, column_count, json_array() };

	return table;
}

#define TABLE_NEW(columns) table_new(columns, G_N_ELEMENTS(columns))

/* Append a row, taking the values over; there is one for each column. */
static void add_row(struct table *table, json_t *const *values)
{
	json_t *row = json_object();
	size_t i;

	for (i = 0; i < table->column_count; i++)
		json_object_set_new(row, table->columns[i], values[i]);
	json_array_append_new(table->rows, row);
}

#define ADD_ROW(table, columns, values)                 \
	do {                                            \
		G_STATIC_ASSERT(G_N_ELEMENTS(values) == \
				G_N_ELEMENTS(columns)); \
		add_row(table, values);                 \
	} while (0)

/* Move the table into an answer. */
static void set_table(json_t *root, struct table *table, uint64_t version)
{
	json_t *columns = json_array();
	size_t i;

	for (i = 0; i < table->column_count; i++)
		json_array_append_new(columns, json_string(table->columns[i]));
	json_object_set_new(root, "version", answer_number(version));
	json_object_set_new(root, "columns", columns);
	json_object_set_new(root, "rows", table->rows);
}

static json_t *table_answer(struct table *table, const struct config *config,
			    const char *what)
{
	size_t count = json_array_size(table->rows);
	char message[64];
	json_t *root;

	g_snprintf(message, sizeof(message), "%zu %s%s", count, what,
		   count == 1 ? "" : "s");
	root = answer_new(RESULT_OK, message);
	set_table(root, table, config->version);
	return root;
}

/*
 * Live inputs
 */

static const struct steer_place_view *
find_view(const struct admin_live *live, uint32_t service, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < live->place_count; i++)
		if (live->places[i].service == service &&
		    live->places[i].view.place == place)
			return &live->places[i].view;
	return NULL;
}

static const struct gate_backend_view *
find_backend(const struct admin_live *live, uint32_t backend)
{
	uint32_t i;

	for (i = 0; i < live->backend_count; i++)
		if (live->backends[i].backend == backend)
			return &live->backends[i].view;
	return NULL;
}

static const struct admin_node *find_node(const struct admin_live *live,
					  uint32_t node)
{
	uint32_t i;

	for (i = 0; i < live->node_count; i++)
		if (live->nodes[i].node == node)
			return &live->nodes[i];
	return NULL;
}

/* Sum up the reports; CONFIG_NONE stands for any service or any place. */
static struct load_sum sum_load(const struct admin_live *live, uint32_t service,
				uint32_t place)
{
	struct load_sum sum = { 0 };
	uint32_t i;

	for (i = 0; i < live->place_count; i++) {
		const struct admin_place *item = &live->places[i];
		const struct gate_summary *report = &item->view.report;

		if ((service != CONFIG_NONE && service != item->service) ||
		    (place != CONFIG_NONE && place != item->view.place) ||
		    item->view.report_age_us == UINT64_MAX)
			continue;
		sum.known = true;
		sum.slots += report->slots;
		sum.in_flight += report->in_flight;
		sum.waiting += report->waiting;
		sum.oldest_us = MAX(sum.oldest_us, item->view.report_age_us);
	}
	return sum;
}

/*
 * show
 */

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

static uint64_t sum_slots(const struct config *config, uint32_t service,
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

/* For each place whether it has backend servers of the service; g_free(). */
static bool *find_hosts(const struct config *config, uint32_t service)
{
	bool *hosts = g_new0(bool, config->place_count + 1);
	uint32_t i;

	for (i = 0; i < config->backend_count; i++)
		if (config->backends[i].service == service)
			hosts[config->backends[i].place] = true;
	return hosts;
}

static uint64_t count_hosts(const struct config *config, uint32_t service)
{
	bool *hosts = find_hosts(config, service);
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < config->place_count; i++)
		count += hosts[i];
	g_free(hosts);
	return count;
}

static json_t *show_places(const struct question *question)
{
	const struct config *config = question->config;
	struct table table = TABLE_NEW(place_columns);
	uint32_t i;

	for (i = 0; i < config->place_count; i++) {
		const struct config_place *place = &config->places[i];
		struct load_sum sum = sum_load(question->live, CONFIG_NONE, i);
		json_t *const values[] = {
			json_string(place->name),
			json_string(place->region),
			json_boolean(place->drained),
			answer_number(count_nodes(config, i)),
			answer_number(count_backends(config, i)),
			answer_number(sum_slots(config, CONFIG_NONE, i)),
			number_if(sum.known, sum.slots),
			number_if(sum.known, sum.in_flight),
			number_if(sum.known, sum.waiting),
			number_if(sum.known, sum.oldest_us),
		};

		ADD_ROW(&table, place_columns, values);
	}
	return table_answer(&table, config, "place");
}

static json_t *show_nodes(const struct question *question)
{
	const struct config *config = question->config;
	struct table table = TABLE_NEW(node_columns);
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const struct config_node *node = &config->nodes[i];
		const struct admin_node *live = find_node(question->live, i);
		json_t *const values[] = {
			json_string(node->name),
			json_string(config->places[node->place].name),
			json_string(node->address),
			answer_number(node->http_port),
			answer_number(node->peer_port),
			json_boolean(node->drained),
			boolean_if(live, live && live->leaving),
			number_if(live, live ? live->config_version : 0),
			time_us(live ? live->report_age_us : UINT64_MAX),
		};

		ADD_ROW(&table, node_columns, values);
	}
	return table_answer(&table, config, "node");
}

static void add_backend(struct table *table, const struct question *question,
			uint32_t index)
{
	static const struct gate_backend_view unknown = { 0 };
	const struct config *config = question->config;
	const struct config_backend *backend = &config->backends[index];
	const struct gate_backend_view *live =
		find_backend(question->live, index);
	const struct gate_backend_view *view = live ? live : &unknown;
	bool reported = live && view->report_age_us != UINT64_MAX;
	json_t *const values[] = {
		json_string(backend->name),
		json_string(config->services[backend->service].name),
		json_string(config->places[backend->place].name),
		json_string(backend->address),
		answer_number(backend->port),
		answer_number(backend->slots),
		json_boolean(backend->drained),
		number_if(live, view->slots),
		number_if(live, view->in_flight),
		number_if(reported, view->reported_in_flight),
		number_if(live && view->latency_us, view->latency_us),
		boolean_if(live, view->leaving),
		boolean_if(live, view->down),
		boolean_if(live, view->cold),
		number_if(reported, view->report_age_us),
	};

	ADD_ROW(table, backend_columns, values);
}

/* Index that a filter names, CONFIG_NONE where it is empty. */
static bool find_filter(const struct question *question,
			enum query_object object, const char *name,
			uint32_t *index, GError **error)
{
	*index = CONFIG_NONE;
	if (!*name)
		return true;
	*index = query_find(question->config, object, name, error);
	return *index != CONFIG_NONE;
}

static json_t *show_backends(const struct question *question, GError **error)
{
	const struct config *config = question->config;
	const struct query *query = question->query;
	struct table table;
	uint32_t service;
	uint32_t place;
	uint32_t i;

	if (!find_filter(question, OBJECT_SERVICE, query->service, &service,
			 error) ||
	    !find_filter(question, OBJECT_PLACE, query->place, &place, error))
		return NULL;
	table = TABLE_NEW(backend_columns);
	for (i = 0; i < config->backend_count; i++)
		if (backend_matches(&config->backends[i], service, place))
			add_backend(&table, question, i);
	return table_answer(&table, config, "backend server");
}

static json_t *show_services(const struct question *question)
{
	const struct config *config = question->config;
	struct table table = TABLE_NEW(service_columns);
	uint32_t i;

	for (i = 0; i < config->service_count; i++) {
		const struct config_service *service = &config->services[i];
		struct load_sum sum = sum_load(question->live, i, CONFIG_NONE);
		json_t *const values[] = {
			json_string(service->name),
			json_string(service_class_name(service->class_of)),
			answer_number(service->timeout_us),
			json_boolean(service->stopped),
			answer_number(count_hosts(config, i)),
			answer_number(sum_slots(config, i, CONFIG_NONE)),
			number_if(sum.known, sum.slots),
			number_if(sum.known, sum.in_flight),
			number_if(sum.known, sum.waiting),
			number_if(sum.known, sum.oldest_us),
		};

		ADD_ROW(&table, service_columns, values);
	}
	return table_answer(&table, config, "service");
}

/* Share that the shift takes now, or else the whole that it is ramped to. */
static uint32_t share_now(const struct question *question, uint32_t shift)
{
	const struct admin_live *live = question->live;

	if (live->shift_shares_permille)
		return live->shift_shares_permille[shift];
	return question->config->shifts[shift].share_permille;
}

static json_t *show_shifts(const struct question *question)
{
	const struct config *config = question->config;
	bool known = question->live->shift_shares_permille;
	struct table table = TABLE_NEW(shift_columns);
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];
		json_t *const values[] = {
			json_string(shift->id),
			json_string(config->services[shift->service].name),
			json_string(config->places[shift->from].name),
			json_string(config->places[shift->to].name),
			answer_number(shift->share_permille),
			number_if(known, share_now(question, i)),
			answer_number(shift->cap_per_s),
		};

		ADD_ROW(&table, shift_columns, values);
	}
	return table_answer(&table, config, "shift");
}

static json_t *show_version(const struct question *question)
{
	const struct config *config = question->config;
	struct table table = TABLE_NEW(version_columns);
	uint32_t in_force = 0;
	char message[96];
	json_t *root;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const struct config_node *node = &config->nodes[i];
		const struct admin_node *live = find_node(question->live, i);
		bool has_it = live && live->config_version >= config->version;
		json_t *const values[] = {
			json_string(node->name),
			json_string(config->places[node->place].name),
			number_if(live, live ? live->config_version : 0),
			boolean_if(live, has_it),
			time_us(live ? live->report_age_us : UINT64_MAX),
		};

		ADD_ROW(&table, version_columns, values);
		in_force += has_it;
	}
	g_snprintf(message, sizeof(message),
		   "version %" G_GUINT64_FORMAT
		   " is in force at %u of %u nodes",
		   config->version, in_force, config->node_count);
	root = answer_new(RESULT_OK, message);
	set_table(root, &table, config->version);
	return root;
}

/*
 * where
 */

struct where {
	const struct question *question;
	const struct steer_choice *choice;
	uint32_t service;
	uint32_t from;
};

static json_t *shifts_to(const struct where *where, uint32_t place,
			 uint64_t *permille)
{
	const struct config *config = where->question->config;
	json_t *ids = json_array();
	uint32_t i;

	*permille = 0;
	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (shift->service != where->service ||
		    shift->from != where->from || shift->to != place)
			continue;
		json_array_append_new(ids, json_string(shift->id));
		*permille += share_now(where->question, i);
	}
	return ids;
}

static void add_where_row(struct table *table, const struct where *where,
			  uint32_t place)
{
	static const struct steer_place_view unknown = { .report_age_us =
								 UINT64_MAX };
	const struct config *config = where->question->config;
	const struct steer_place_view *live =
		find_view(where->question->live, where->service, place);
	const struct steer_place_view *view = live ? live : &unknown;
	const struct gate_summary *report = &view->report;
	bool reported = view->report_age_us != UINT64_MAX;
	bool chosen = where->choice->place == place;
	uint64_t permille;
	json_t *shifts = shifts_to(where, place, &permille);
	json_t *const values[] = {
		json_string(config->places[place].name),
		json_string(config->places[place].region),
		json_boolean(chosen),
		chosen ? json_string(steer_rule_name(where->choice->rule)) :
			 json_null(),
		live ? time_us(view->expected_us) : json_null(),
		number_if(live, view->one_way_us),
		number_if(reported, report->slots),
		number_if(reported, report->in_flight),
		number_if(reported, report->waiting),
		number_if(reported, report->service_us),
		number_if(reported && report->slots, report->wait_us),
		time_us(view->report_age_us),
		json_boolean(config->places[place].drained),
		boolean_if(live, view->failing),
		answer_number(permille),
		shifts,
	};

	ADD_ROW(table, where_columns, values);
}

static char *explain_shift(const struct where *where, const char *place)
{
	const struct config *config = where->question->config;
	uint32_t shift = where->choice->shift;
	uint32_t share;

	if (shift >= config->shift_count)
		return g_strdup_printf("a shift sends it to %s", place);
	share = share_now(where->question, shift);
	return g_strdup_printf("shift %s sends its share, %u.%u%% now, to %s",
			       config->shifts[shift].id,
			       share / PERMILLE_PER_PERCENT,
			       share % PERMILLE_PER_PERCENT, place);
}

/* The rule that decided, as a sentence for g_free(). */
static char *explain(const struct where *where)
{
	const struct config *config = where->question->config;
	const struct steer_choice *choice = where->choice;
	const char *home = config->places[where->from].name;
	const char *place;

	if (config->services[where->service].stopped)
		return g_strdup("refused: the service is stopped");
	if (choice->rule == STEER_REFUSED ||
	    choice->place >= config->place_count)
		return g_strdup_printf(
			"refused: %s; come back in %" G_GUINT64_FORMAT " us",
			result_name(choice->refusal), choice->retry_after_us);
	place = config->places[choice->place].name;
	switch (choice->rule) {
	case STEER_HOME:
		return g_strdup_printf("home place %s has headroom", place);
	case STEER_LEAST_TIME:
		return g_strdup_printf("home place %s has no headroom; %s has "
				       "the least expected time",
				       home, place);
	case STEER_SHIFT:
		return explain_shift(where, place);
	default:
		return g_strdup_printf("no place is known to have headroom; "
				       "%s is tried",
				       place);
	}
}

static json_t *where_answer(const struct where *where)
{
	const struct config *config = where->question->config;
	struct table table = TABLE_NEW(where_columns);
	char *message = explain(where);
	json_t *root = answer_new(RESULT_OK, message);
	bool *hosts = find_hosts(config, where->service);
	uint32_t i;

	for (i = 0; i < config->place_count; i++)
		if (hosts[i])
			add_where_row(&table, where, i);
	json_object_set_new(root, "rule",
			    json_string(steer_rule_name(where->choice->rule)));
	set_table(root, &table, config->version);
	g_free(hosts);
	g_free(message);
	return root;
}

static json_t *answer_where(const struct question *question, GError **error)
{
	const struct query *query = question->query;
	struct where where = { question, question->live->choice, 0, 0 };

	where.service = query_find(question->config, OBJECT_SERVICE,
				   query->service, error);
	if (where.service == CONFIG_NONE)
		return NULL;
	where.from =
		query_find(question->config, OBJECT_PLACE, query->from, error);
	if (where.from == CONFIG_NONE)
		return NULL;
	if (!where.choice) {
		g_set_error_literal(error, RESULT_ERROR, RESULT_INTERNAL,
				    "no choice was made for the question");
		return NULL;
	}
	return where_answer(&where);
}

static json_t *answer_question(const struct question *question, GError **error)
{
	switch (question->query->verb) {
	case QUERY_WHERE:
		return answer_where(question, error);
	case QUERY_SHOW_PLACES:
		return show_places(question);
	case QUERY_SHOW_NODES:
		return show_nodes(question);
	case QUERY_SHOW_BACKENDS:
		return show_backends(question, error);
	case QUERY_SHOW_SERVICES:
		return show_services(question);
	case QUERY_SHOW_SHIFTS:
		return show_shifts(question);
	case QUERY_SHOW_VERSION:
		return show_version(question);
	default:
		g_set_error_literal(error, RESULT_ERROR, RESULT_INTERNAL,
				    "the sentence asks nothing");
		return NULL;
	}
}

char *admin_answer_query(const struct config *config, const struct query *query,
			 const struct admin_live *live, GError **error)
{
	const struct question question = { config, query, live };
	json_t *root = answer_question(&question, error);

	return root ? answer_take_text(root) : NULL;
}
