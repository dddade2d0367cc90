#include "core/query.h"

#include <string.h>

#include "core/result.h"

/* The configuration before and after a command. */
struct change {
	const struct config *before; /* NULL where there is none */
	struct config *after;
	const char *command_id;
	GError **error;
};

static bool conflict(const struct change *change, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static bool conflict(const struct change *change, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_set_error_literal(change->error, RESULT_ERROR, RESULT_CONFLICT, text);
	g_free(text);
	return false;
}

uint32_t query_find(const struct config *config, enum query_object object,
		    const char *name, GError **error)
{
	uint32_t index = CONFIG_NONE;

	switch (object) {
	case OBJECT_PLACE:
		index = config_find_place(config, name);
		break;
	case OBJECT_NODE:
		index = config_find_node(config, name);
		break;
	case OBJECT_BACKEND:
		index = config_find_backend(config, name);
		break;
	case OBJECT_SERVICE:
		index = config_find_service(config, name);
		break;
	case OBJECT_NONE:
		break;
	}
	if (index == CONFIG_NONE)
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no %s is named '%s'", query_object_name(object),
			    name);
	return index;
}

static bool find(const struct change *change, enum query_object object,
		 const char *name, uint32_t *index)
{
	*index = query_find(change->after, object, name, change->error);
	return *index != CONFIG_NONE;
}

static bool has_node(const struct config *config, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place == place &&
		    !config->nodes[i].drained)
			return true;
	return false;
}

static bool has_backend(const struct config *config, uint32_t service,
			uint32_t place)
{
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && backend->place == place &&
		    !backend->drained)
			return true;
	}
	return false;
}

/* Whether the place may be given requests of the service. */
static bool place_serves(const struct config *config, uint32_t service,
			 uint32_t place)
{
	return !config->places[place].drained && has_node(config, place) &&
	       has_backend(config, service, place);
}

static bool is_served(const struct config *config, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && !backend->drained &&
		    !config->places[backend->place].drained &&
		    has_node(config, backend->place))
			return true;
	}
	return false;
}

/* Shares that shifts take of the service's requests from the place. */
static uint32_t shifted_permille(const struct config *config, uint32_t service,
				 uint32_t from)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < config->shift_count; i++)
		if (config->shifts[i].service == service &&
		    config->shifts[i].from == from)
			sum += config->shifts[i].share_permille;
	return sum;
}

static bool check_shift_target(const struct change *change,
			       const struct config_shift *shift)
{
	const struct config *config = change->after;
	const char *to = config->places[shift->to].name;
	const char *service = config->services[shift->service].name;

	if (config->places[shift->to].drained)
		return conflict(change,
				"shift '%s' goes to place '%s', which is "
				"drained",
				shift->id, to);
	if (!has_node(config, shift->to))
		return conflict(change,
				"shift '%s' goes to place '%s', where no node "
				"is undrained",
				shift->id, to);
	if (!has_backend(config, shift->service, shift->to))
		return conflict(change,
				"shift '%s' goes to place '%s', where service "
				"'%s' has no undrained backend server",
				shift->id, to, service);
	return true;
}

static bool check_shift_shares(const struct change *change,
			       const struct config_shift *shift)
{
	const struct config *config = change->after;
	uint32_t sum = shifted_permille(config, shift->service, shift->from);

	if (sum <= QUERY_SHARE_MAX_PERMILLE)
		return true;
	return conflict(change,
			"with shift '%s' the shifts of service '%s' from "
			"place '%s' take %u.%u%% of its requests, more than "
			"100%%",
			shift->id, config->services[shift->service].name,
			config->places[shift->from].name,
			sum / QUERY_PERMILLE_PER_PERCENT,
			sum % QUERY_PERMILLE_PER_PERCENT);
}

static bool change_shift(const struct change *change, const struct query *query)
{
	struct config *config = change->after;
	struct config_shift shift = { .share_permille = query->share_permille,
				      .cap_per_s = query->cap_per_s };

	g_strlcpy(shift.id, *query->shift ? query->shift : change->command_id,
		  sizeof(shift.id));
	if (!find(change, OBJECT_SERVICE, query->service, &shift.service) ||
	    !find(change, OBJECT_PLACE, query->from, &shift.from) ||
	    !find(change, OBJECT_PLACE, query->to, &shift.to))
		return false;
	if (shift.from == shift.to)
		return conflict(change,
				"shift '%s' goes to place '%s', where "
				"it comes from",
				shift.id, query->to);
	if (config_find_shift(config, shift.id) != CONFIG_NONE)
		return conflict(change, "shift '%s' stands already", shift.id);
	if (config->shift_count >= CONFIG_MAX_SHIFTS)
		return conflict(change, "%d shifts stand already; cancel one",
				CONFIG_MAX_SHIFTS);
	shift.seats = config_seats_for(config, shift.to);
	config_add_shift(config, &shift);
	return check_shift_target(change, &shift) &&
	       check_shift_shares(change, &shift);
}

static bool change_cancel(const struct change *change,
			  const struct query *query)
{
	uint32_t index = config_find_shift(change->after, query->shift);

	if (index == CONFIG_NONE) {
		g_set_error(change->error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no shift has the id '%s'", query->shift);
		return false;
	}
	config_remove_shift(change->after, index);
	return true;
}

static bool *drained_of(struct config *config, enum query_object object,
			uint32_t index)
{
	switch (object) {
	case OBJECT_PLACE:
		return &config->places[index].drained;
	case OBJECT_NODE:
		return &config->nodes[index].drained;
	case OBJECT_BACKEND:
		return &config->backends[index].drained;
	default:
		return NULL;
	}
}

/* No shift may lose the place that it goes to. */
static bool check_shifts_kept(const struct change *change)
{
	const struct config *config = change->after;
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (!place_serves(change->before, shift->service, shift->to) ||
		    place_serves(config, shift->service, shift->to))
			continue;
		return conflict(change,
				"shift '%s' goes to place '%s', which would no "
				"longer serve service '%s'; cancel it first",
				shift->id, config->places[shift->to].name,
				config->services[shift->service].name);
	}
	return true;
}

/* No running service may lose the last place that serves it. */
static bool check_services_kept(const struct change *change)
{
	uint32_t i;

	for (i = 0; i < change->after->service_count; i++) {
		if (change->after->services[i].stopped ||
		    !is_served(change->before, i) ||
		    is_served(change->after, i))
			continue;
		return conflict(change,
				"service '%s' would have no place left to "
				"serve it",
				change->after->services[i].name);
	}
	return true;
}

static bool change_drained(const struct change *change,
			   const struct query *query)
{
	bool drained = query->verb == COMMAND_DRAIN;
	uint32_t index;

	if (!find(change, query->object, query->name, &index))
		return false;
	*drained_of(change->after, query->object, index) = drained;
	return check_shifts_kept(change) && check_services_kept(change);
}

static bool change_stopped(const struct change *change,
			   const struct query *query)
{
	bool stopped = query->verb == COMMAND_STOP;
	uint32_t index;

	if (!find(change, OBJECT_SERVICE, query->name, &index))
		return false;
	change->after->services[index].stopped = stopped;
	if (stopped || is_served(change->after, index))
		return true;
	return conflict(change, "service '%s' has no place to serve it",
			query->name);
}

static bool change_config(const struct change *change,
			  const struct query *query)
{
	switch (query->verb) {
	case COMMAND_SHIFT:
		return change_shift(change, query);
	case COMMAND_CANCEL:
		return change_cancel(change, query);
	case COMMAND_DRAIN:
	case COMMAND_UNDRAIN:
		return change_drained(change, query);
	case COMMAND_STOP:
	case COMMAND_START:
		return change_stopped(change, query);
	default:
		g_set_error_literal(change->error, RESULT_ERROR,
				    RESULT_INTERNAL,
				    "the sentence changes nothing by itself");
		return false;
	}
}

static bool check_command_id(const char *command_id, GError **error)
{
	if (query_id_is_valid(command_id))
		return true;
	g_set_error_literal(error, RESULT_ERROR, RESULT_OUT_OF_RANGE,
			    "a command's id must be 1 to 127 of "
			    "A-Z a-z 0-9 . _ -");
	return false;
}

struct config *query_apply(const struct config *config,
			   const struct query *query, const char *command_id,
			   GError **error)
{
	struct change change = { config, NULL, command_id, error };

	if (!check_command_id(command_id, error))
		return NULL;
	change.after = config_copy(config);
	if (!change_config(&change, query)) {
		config_free(change.after);
		return NULL;
	}
	config_add_command(change.after, command_id);
	return change.after;
}

static bool check_shifts(const struct change *change)
{
	uint32_t i;

	for (i = 0; i < change->after->shift_count; i++)
		if (!check_shift_target(change, &change->after->shifts[i]) ||
		    !check_shift_shares(change, &change->after->shifts[i]))
			return false;
	return true;
}

/* Put the command ids of the present configuration in the new one's place. */
static void keep_commands(const struct change *change)
{
	struct config *after = change->after;
	uint32_t i;

	after->command_count = 0;
	if (!change->before)
		return;
	after->version = change->before->version;
	for (i = 0; i < change->before->command_count; i++) {
		config_add_command(after, change->before->commands[i].id);
		after->commands[i].version =
			change->before->commands[i].version;
	}
}

/*
 * A seat carries the cap's part by the number of seats. If that changed with
 * the place's nodes, a holder on the old version would admit an old, larger
 * part beside the new ones: 50 and 33 and 33 of a cap of 100. So it stays as it
 * was when the shift was made, whatever a document says.
 */
static void keep_seats(const struct change *change)
{
	const struct config *before = change->before;
	uint32_t i;

	for (i = 0; before && i < change->after->shift_count; i++) {
		struct config_shift *shift = &change->after->shifts[i];
		uint32_t known = config_find_shift(before, shift->id);

		if (known != CONFIG_NONE)
			shift->seats = before->shifts[known].seats;
	}
}

struct config *query_load(const struct config *config, const char *document,
			  size_t len, const char *command_id, GError **error)
{
	struct change change = { config, NULL, command_id, error };

	if (!check_command_id(command_id, error))
		return NULL;
	change.after = config_decode(document, len, error);
	if (!change.after)
		return NULL;
	if (!check_shifts(&change)) {
		config_free(change.after);
		return NULL;
	}
	keep_seats(&change);
	keep_commands(&change);
	config_add_command(change.after, command_id);
	return change.after;
}

static char *describe_shift(const struct query *query, const char *command_id)
{
	return g_strdup_printf(
		"shift %s stands: service %s from %s to %s, share %u.%u%%, "
		"cap %u/s",
		*query->shift ? query->shift : command_id, query->service,
		query->from, query->to,
		query->share_permille / QUERY_PERMILLE_PER_PERCENT,
		query->share_permille % QUERY_PERMILLE_PER_PERCENT,
		query->cap_per_s);
}

char *query_describe(const struct query *query, const char *command_id)
{
	const char *object = query_object_name(query->object);

	switch (query->verb) {
	case COMMAND_SHIFT:
		return describe_shift(query, command_id);
	case COMMAND_CANCEL:
		return g_strdup_printf("shift %s is cancelled", query->shift);
	case COMMAND_DRAIN:
		return g_strdup_printf("%s %s is drained", object, query->name);
	case COMMAND_UNDRAIN:
		return g_strdup_printf("%s %s is undrained", object,
				       query->name);
	case COMMAND_STOP:
		return g_strdup_printf("service %s is stopped", query->name);
	case COMMAND_START:
		return g_strdup_printf("service %s is started", query->name);
	case COMMAND_LOAD:
		return g_strdup("the document is replaced");
	default:
		return g_strdup("");
	}
}
