#include "core/admin_table.h"

#include "core/admin_json.h"

/* A where query with its names resolved to indices. */
struct where_query {
	const struct admin_query_context *context;
	const struct steer_choice *choice;
	uint32_t service;
	uint32_t from;
};

static const char *const where_columns[] = {
	"place",       "region",     "chosen",	       "rule",
	"expected_us", "one_way_us", "slots",	       "in_flight",
	"waiting",     "service_us", "wait_us",	       "report_age_us",
	"drained",     "failing",    "shift_permille", "shifts",
};

static const struct steer_place_view *
find_place_view(const struct admin_live_state *live, uint32_t service,
		uint32_t place)
{
	uint32_t i;

	for (i = 0; i < live->place_count; i++)
		if (live->places[i].service == service &&
		    live->places[i].view.place == place)
			return &live->places[i].view;
	return NULL;
}

/* Ids of the shifts to the place and the sum of their current shares. */
static json_t *list_shifts_to(const struct where_query *where_query,
			      uint32_t place, uint64_t *permille)
{
	const struct config *config = where_query->context->config;
	json_t *ids = json_array();
	uint32_t i;

	*permille = 0;
	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (shift->service != where_query->service ||
		    shift->from != where_query->from || shift->to != place)
			continue;
		json_array_append_new(ids, json_string(shift->id));
		*permille +=
			admin_current_share_permille(where_query->context, i);
	}
	return ids;
}

static void add_where_row(struct admin_table *table,
			  const struct where_query *where_query, uint32_t place)
{
	static const struct steer_place_view unknown = { .report_age_us =
								 UINT64_MAX };
	const struct config *config = where_query->context->config;
	const struct steer_place_view *live = find_place_view(
		where_query->context->live, where_query->service, place);
	const struct steer_place_view *view = live ? live : &unknown;
	const struct gate_summary *report = &view->report;
	bool reported = view->report_age_us != UINT64_MAX;
	bool chosen = where_query->choice->place == place;
	uint64_t permille;
	json_t *shifts = list_shifts_to(where_query, place, &permille);
	json_t *const values[] = {
		json_string(config->places[place].name),
		json_string(config->places[place].region),
		json_boolean(chosen),
		chosen ? json_string(
				 steer_rule_name(where_query->choice->rule)) :
			 json_null(),
		live ? admin_json_time_us_or_null(view->expected_us) :
		       json_null(),
		admin_json_number_or_null(live, view->one_way_us),
		admin_json_number_or_null(reported, report->slots),
		admin_json_number_or_null(reported, report->in_flight),
		admin_json_number_or_null(reported, report->waiting),
		admin_json_number_or_null(reported, report->service_us),
		admin_json_number_or_null(reported && report->slots,
					  report->wait_us),
		admin_json_time_us_or_null(view->report_age_us),
		json_boolean(config->places[place].drained),
		admin_json_boolean_or_null(live, view->failing),
		admin_json_number(permille),
		shifts,
	};

	ADMIN_TABLE_ADD(table, where_columns, values);
}

static char *describe_shift(const struct where_query *where_query,
			    const char *place)
{
	const struct config *config = where_query->context->config;
	uint32_t shift = where_query->choice->shift;
	uint32_t share;

	if (shift >= config->shift_count)
		return g_strdup_printf("a shift sends it to %s", place);
	share = admin_current_share_permille(where_query->context, shift);
	return g_strdup_printf("shift %s sends its share, %u.%u%% now, to %s",
			       config->shifts[shift].id,
			       share / QUERY_PERMILLE_PER_PERCENT,
			       share % QUERY_PERMILLE_PER_PERCENT, place);
}

/* The rule behind the choice as a line of text, for g_free(). */
static char *describe_choice(const struct where_query *where_query)
{
	const struct config *config = where_query->context->config;
	const struct steer_choice *choice = where_query->choice;
	const char *home = config->places[where_query->from].name;
	const char *place;

	if (config->services[where_query->service].stopped)
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
		return describe_shift(where_query, place);
	default:
		return g_strdup_printf("no place is known to have headroom; "
				       "%s is tried",
				       place);
	}
}

static json_t *build_where_answer(const struct where_query *where_query)
{
	const struct config *config = where_query->context->config;
	struct admin_table table = ADMIN_TABLE_NEW(where_columns);
	char *message = describe_choice(where_query);
	json_t *root = admin_json_new_answer(RESULT_OK, message);
	bool *service_places =
		admin_find_service_places(config, where_query->service);
	uint32_t i;

	for (i = 0; i < config->place_count; i++)
		if (service_places[i])
			add_where_row(&table, where_query, i);
	json_object_set_new(
		root, "rule",
		json_string(steer_rule_name(where_query->choice->rule)));
	admin_table_move_into(root, &table, config->version);
	g_free(service_places);
	g_free(message);
	return root;
}

json_t *admin_where(const struct admin_query_context *context, GError **error)
{
	const struct query *query = context->query;
	struct where_query where_query = { context, context->live->choice, 0,
					   0 };

	where_query.service = query_find_entity(
		context->config, QUERY_ENTITY_SERVICE, query->service, error);
	if (where_query.service == CONFIG_NONE)
		return NULL;
	where_query.from = query_find_entity(
		context->config, QUERY_ENTITY_PLACE, query->from, error);
	if (where_query.from == CONFIG_NONE)
		return NULL;
	if (!where_query.choice) {
		g_set_error_literal(error, RESULT_ERROR, RESULT_INTERNAL,
				    "no choice was made for the question");
		return NULL;
	}
	return build_where_answer(&where_query);
}
