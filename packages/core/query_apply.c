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

static bool fail_conflict(const struct change *change, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static bool fail_conflict(const struct change *change, const char *format, ...)
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

uint32_t query_find_entity(const struct config *config,
			   enum query_entity entity, const char *name,
			   GError **error)
{
	uint32_t index = CONFIG_NONE;

	switch (entity) {
	case QUERY_ENTITY_PLACE:
		index = config_find_place(config, name);
		break;
	case QUERY_ENTITY_NODE:
		index = config_find_node(config, name);
		break;
	case QUERY_ENTITY_BACKEND:
		index = config_find_backend(config, name);
		break;
	case QUERY_ENTITY_SERVICE:
		index = config_find_service(config, name);
		break;
	case QUERY_ENTITY_NONE:
		break;
	}
	if (index == CONFIG_NONE)
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no %s is named '%s'",
			    query_entity_type_name(entity), name);
	return index;
}

static bool find_entity(const struct change *change, enum query_entity entity,
			const char *name, uint32_t *index)
{
	*index = query_find_entity(change->after, entity, name, change->error);
	return *index != CONFIG_NONE;
}

/* Whether the place has an undrained node. */
static bool has_undrained_node(const struct config *config, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place == place &&
		    !config->nodes[i].drained)
			return true;
	return false;
}

static bool has_undrained_backend(const struct config *config, uint32_t service,
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

/* Whether the place can take requests of the service. */
static bool place_serves(const struct config *config, uint32_t service,
			 uint32_t place)
{
	return !config->places[place].drained &&
	       has_undrained_node(config, place) &&
	       has_undrained_backend(config, service, place);
}

/* Whether some place can take requests of the service. */
static bool has_serving_place(const struct config *config, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && !backend->drained &&
		    !config->places[backend->place].drained &&
		    has_undrained_node(config, backend->place))
			return true;
	}
	return false;
}

/* Sum of the shares of all shifts of the service away from the place. */
static uint32_t sum_shift_shares_permille(const struct config *config,
					  uint32_t service, uint32_t from)
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
		return fail_conflict(change,
				     "shift '%s' goes to place '%s', which is "
				     "drained",
				     shift->id, to);
	if (!has_undrained_node(config, shift->to))
		return fail_conflict(
			change,
			"shift '%s' goes to place '%s', where no node "
			"is undrained",
			shift->id, to);
	if (!has_undrained_backend(config, shift->service, shift->to))
		return fail_conflict(
			change,
			"shift '%s' goes to place '%s', where service "
			"'%s' has no undrained backend server",
			shift->id, to, service);
	return true;
}

static bool check_shift_shares(const struct change *change,
			       const struct config_shift *shift)
{
	const struct config *config = change->after;
	uint32_t sum =
		sum_shift_shares_permille(config, shift->service, shift->from);

	if (sum <= QUERY_SHARE_MAX_PERMILLE)
		return true;
	return fail_conflict(
		change,
		"with shift '%s' the shifts of service '%s' from "
		"place '%s' take %u.%u%% of its requests, more than "
		"100%%",
		shift->id, config->services[shift->service].name,
		config->places[shift->from].name,
		sum / QUERY_PERMILLE_PER_PERCENT,
		sum % QUERY_PERMILLE_PER_PERCENT);
}

static bool apply_shift(const struct change *change, const struct query *query)
{
	struct config *config = change->after;
	struct config_shift shift = { .share_permille = query->share_permille,
				      .cap_per_s = query->cap_per_s };

	g_strlcpy(shift.id, *query->shift ? query->shift : change->command_id,
		  sizeof(shift.id));
	if (!find_entity(change, QUERY_ENTITY_SERVICE, query->service,
			 &shift.service) ||
	    !find_entity(change, QUERY_ENTITY_PLACE, query->from,
			 &shift.from) ||
	    !find_entity(change, QUERY_ENTITY_PLACE, query->to, &shift.to))
		return false;
	if (shift.from == shift.to)
		return fail_conflict(change,
				     "shift '%s' goes to place '%s', where "
				     "it comes from",
				     shift.id, query->to);
	if (config_find_shift(config, shift.id) != CONFIG_NONE)
		return fail_conflict(change, "shift '%s' stands already",
				     shift.id);
	if (config->shift_count >= CONFIG_MAX_SHIFTS)
		return fail_conflict(change,
				     "%d shifts stand already; cancel one",
				     CONFIG_MAX_SHIFTS);
	shift.seats = config_default_seats(config, shift.to);
	config_add_shift(config, &shift);
	return check_shift_target(change, &shift) &&
	       check_shift_shares(change, &shift);
}

static bool apply_cancel(const struct change *change, const struct query *query)
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

static bool *drained_flag(struct config *config, enum query_entity entity,
			  uint32_t index)
{
	switch (entity) {
	case QUERY_ENTITY_PLACE:
		return &config->places[index].drained;
	case QUERY_ENTITY_NODE:
		return &config->nodes[index].drained;
	case QUERY_ENTITY_BACKEND:
		return &config->backends[index].drained;
	default:
		return NULL;
	}
}

/* Fail if a shift's destination could no longer serve its service. */
static bool check_destinations_remain(const struct change *change)
{
	const struct config *config = change->after;
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (!place_serves(change->before, shift->service, shift->to) ||
		    place_serves(config, shift->service, shift->to))
			continue;
		return fail_conflict(
			change,
			"shift '%s' goes to place '%s', which would no "
			"longer serve service '%s'; cancel it first",
			shift->id, config->places[shift->to].name,
			config->services[shift->service].name);
	}
	return true;
}

/* Fail if a running service would lose its last serving place. */
static bool check_services_remain(const struct change *change)
{
	uint32_t i;

	for (i = 0; i < change->after->service_count; i++) {
		if (change->after->services[i].stopped ||
		    !has_serving_place(change->before, i) ||
		    has_serving_place(change->after, i))
			continue;
		return fail_conflict(change,
				     "service '%s' would have no place left to "
				     "serve it",
				     change->after->services[i].name);
	}
	return true;
}

static bool apply_drain(const struct change *change, const struct query *query)
{
	bool drained = query->verb == QUERY_CMD_DRAIN;
	uint32_t index;

	if (!find_entity(change, query->entity, query->entity_name, &index))
		return false;
	*drained_flag(change->after, query->entity, index) = drained;
	return check_destinations_remain(change) &&
	       check_services_remain(change);
}

static bool apply_stop(const struct change *change, const struct query *query)
{
	bool stopped = query->verb == QUERY_CMD_STOP;
	uint32_t index;

	if (!find_entity(change, QUERY_ENTITY_SERVICE, query->entity_name,
			 &index))
		return false;
	change->after->services[index].stopped = stopped;
	if (stopped || has_serving_place(change->after, index))
		return true;
	return fail_conflict(change, "service '%s' has no place to serve it",
			     query->entity_name);
}

static bool apply_command(const struct change *change,
			  const struct query *query)
{
	switch (query->verb) {
	case QUERY_CMD_SHIFT:
		return apply_shift(change, query);
	case QUERY_CMD_CANCEL:
		return apply_cancel(change, query);
	case QUERY_CMD_DRAIN:
	case QUERY_CMD_UNDRAIN:
		return apply_drain(change, query);
	case QUERY_CMD_STOP:
	case QUERY_CMD_START:
		return apply_stop(change, query);
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
	if (!apply_command(&change, query)) {
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

/* Replace the document's command history by that of the old configuration. */
static void keep_command_history(const struct change *change)
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
 * Keep the seat count of existing shifts, whatever the document says. A
 * seat's quota is about cap / count. If the count changed when nodes are added,
 * a node still on the old version would admit the old, larger quota beside the
 * new ones: for a cap of 100, 50 + 33 + 33 = 116.
 */
static void keep_seat_counts(const struct change *change)
{
	const struct config *before = change->before;
	uint32_t i;

	for (i = 0; before && i < change->after->shift_count; i++) {
		struct config_shift *shift = &change->after->shifts[i];
		uint32_t index = config_find_shift(before, shift->id);

		if (index != CONFIG_NONE)
			shift->seats = before->shifts[index].seats;
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
	keep_seat_counts(&change);
	keep_command_history(&change);
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

char *query_describe_effect(const struct query *query, const char *command_id)
{
	const char *entity = query_entity_type_name(query->entity);

	switch (query->verb) {
	case QUERY_CMD_SHIFT:
		return describe_shift(query, command_id);
	case QUERY_CMD_CANCEL:
		return g_strdup_printf("shift %s is cancelled", query->shift);
	case QUERY_CMD_DRAIN:
		return g_strdup_printf("%s %s is drained", entity,
				       query->entity_name);
	case QUERY_CMD_UNDRAIN:
		return g_strdup_printf("%s %s is undrained", entity,
				       query->entity_name);
	case QUERY_CMD_STOP:
		return g_strdup_printf("service %s is stopped",
				       query->entity_name);
	case QUERY_CMD_START:
		return g_strdup_printf("service %s is started",
				       query->entity_name);
	case QUERY_CMD_LOAD:
		return g_strdup("the document is replaced");
	default:
		return g_strdup("");
	}
}
