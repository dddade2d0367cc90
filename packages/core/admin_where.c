#include "core/admin_table.h"

#include "core/admin_json.h"

struct where {
	const struct admin_question *question;
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
find_view(const struct admin_live *live, uint32_t service, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < live->place_count; i++)
		if (live->places[i].service == service &&
		    live->places[i].view.place == place)
			return &live->places[i].view;
	return NULL;
}

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
		*permille += admin_share_now(where->question, i);
	}
	return ids;
}

static void add_where_row(struct admin_table *table, const struct where *where,
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
		live ? admin_json_time_us(view->expected_us) : json_null(),
		admin_json_number_if(live, view->one_way_us),
		admin_json_number_if(reported, report->slots),
		admin_json_number_if(reported, report->in_flight),
		admin_json_number_if(reported, report->waiting),
		admin_json_number_if(reported, report->service_us),
		admin_json_number_if(reported && report->slots,
				     report->wait_us),
		admin_json_time_us(view->report_age_us),
		json_boolean(config->places[place].drained),
		admin_json_boolean_if(live, view->failing),
		admin_json_number(permille),
		shifts,
	};

	ADMIN_TABLE_ADD(table, where_columns, values);
}

static char *explain_shift(const struct where *where, const char *place)
{
	const struct config *config = where->question->config;
	uint32_t shift = where->choice->shift;
	uint32_t share;

	if (shift >= config->shift_count)
		return g_strdup_printf("a shift sends it to %s", place);
	share = admin_share_now(where->question, shift);
	return g_strdup_printf("shift %s sends its share, %u.%u%% now, to %s",
			       config->shifts[shift].id,
			       share / QUERY_PERMILLE_PER_PERCENT,
			       share % QUERY_PERMILLE_PER_PERCENT, place);
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
	struct admin_table table = ADMIN_TABLE_NEW(where_columns);
	char *message = explain(where);
	json_t *root = admin_json_new(RESULT_OK, message);
	bool *hosts = admin_find_hosts(config, where->service);
	uint32_t i;

	for (i = 0; i < config->place_count; i++)
		if (hosts[i])
			add_where_row(&table, where, i);
	json_object_set_new(root, "rule",
			    json_string(steer_rule_name(where->choice->rule)));
	admin_table_move(root, &table, config->version);
	g_free(hosts);
	g_free(message);
	return root;
}

json_t *admin_where(const struct admin_question *question, GError **error)
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
