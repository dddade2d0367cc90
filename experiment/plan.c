#include "experiment/plan.h"

#include <string.h>

#include "adapters/toml.h"
#include "core/duration.h"
#include "core/result.h"

enum field_kind {
	FIELD_COUNT, /* uint32_t */
	FIELD_TIME_MS, /* uint64_t of microseconds */
	FIELD_PART, /* double */
};

struct field {
	const char *key;
	enum field_kind kind;
	size_t at;
};

#define AT(member) offsetof(struct plan, member)
static const struct field plan_fields[] = {
	{ "slots", FIELD_COUNT, AT(slots) },
	{ "queue", FIELD_COUNT, AT(queue) },
	{ "keeps", FIELD_COUNT, AT(keeps) },
	{ "objects", FIELD_COUNT, AT(objects) },
	{ "work_ms", FIELD_TIME_MS, AT(work_us) },
	{ "warm_part", FIELD_PART, AT(warm_part) },
	{ "spread", FIELD_PART, AT(spread) },
	{ "max_attempts", FIELD_COUNT, AT(max_attempts) },
	{ "retries", FIELD_COUNT, AT(retries) },
	{ "target_ms", FIELD_TIME_MS, AT(target_us) },
	{ "timeout_ms", FIELD_TIME_MS, AT(timeout_us) },
	{ "deadline_ms", FIELD_TIME_MS, AT(deadline_us) },
	{ "late_worth", FIELD_PART, AT(late_worth) },
	{ "near_ms", FIELD_TIME_MS, AT(near_us) },
	{ "far_ms", FIELD_TIME_MS, AT(far_us) },
	{ "caller_ms", FIELD_TIME_MS, AT(caller_us) },
	{ "beat_loss", FIELD_PART, AT(beat_loss) },
	{ "length_ms", FIELD_TIME_MS, AT(length_us) },
	{ "window_ms", FIELD_TIME_MS, AT(window_us) },
};
#undef AT

#define AT(member) offsetof(struct plan_region, member)
static const struct field region_fields[] = {
	{ "nodes", FIELD_COUNT, AT(nodes) },
	{ "servers", FIELD_COUNT, AT(servers) },
	{ "per_s", FIELD_PART, AT(per_s) },
};
#undef AT

#define AT(member) offsetof(struct plan_fault, member)
static const struct field fault_fields[] = {
	{ "at_ms", FIELD_TIME_MS, AT(at_us) },
	{ "for_ms", FIELD_TIME_MS, AT(for_us) },
	{ "region", FIELD_COUNT, AT(region) },
	{ "count", FIELD_COUNT, AT(count) },
	{ "factor", FIELD_PART, AT(factor) },
};
#undef AT

static const char *const fault_names[] = {
	[PLAN_BURST] = "burst",
	[PLAN_SERVERS_DOWN] = "servers-down",
	[PLAN_SERVERS_SLOW] = "servers-slow",
	[PLAN_SERVERS_SHED] = "servers-shed",
	[PLAN_NODES_KILLED] = "nodes-killed",
};

struct reading {
	struct plan *plan;
	const char *path;
	char *table; /* of the value before */
};

static bool invalid(const struct reading *reading,
		    const struct toml_value *value, const char *wanted,
		    GError **error)
{
	g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
		    "%s:%u: %s: expected %s", reading->path, value->line,
		    value->key, wanted);
	return false;
}

/* A whole number, or a decimal as text. */
static bool read_number(const struct toml_value *value, double *number)
{
	char *end = NULL;

	if (value->type == TOML_INTEGER) {
		*number = (double)value->integer;
		return *number >= 0;
	}
	if (value->type != TOML_STRING)
		return false;
	*number = g_ascii_strtod(value->string, &end);
	return end != value->string && !*end && *number >= 0;
}

static bool set_field(const struct reading *reading,
		      const struct toml_value *value,
		      const struct field *fields, size_t count, void *base,
		      GError **error)
{
	size_t i;

	for (i = 0; i < count; i++) {
		char *at = (char *)base + fields[i].at;
		double number;

		if (strcmp(fields[i].key, value->key) != 0)
			continue;
		if (!read_number(value, &number))
			return invalid(reading, value, "a number from 0 on",
				       error);
		if (fields[i].kind == FIELD_COUNT)
			*(uint32_t *)(void *)at = (uint32_t)number;
		else if (fields[i].kind == FIELD_TIME_MS)
			*(uint64_t *)(void *)at =
				(uint64_t)(number * (double)US_PER_MS);
		else
			*(double *)(void *)at = number;
		return true;
	}
	return invalid(reading, value, "a known key", error);
}

static bool set_fault_kind(const struct reading *reading,
			   const struct toml_value *value,
			   struct plan_fault *fault, GError **error)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fault_names); i++)
		if (value->type == TOML_STRING &&
		    !strcmp(fault_names[i], value->string)) {
			fault->kind = (enum plan_fault_kind)i;
			return true;
		}
	return invalid(reading, value,
		       "burst, servers-down, servers-slow, servers-shed or "
		       "nodes-killed",
		       error);
}

static bool set_fault(struct reading *reading, const struct toml_value *value,
		      bool is_new, GError **error)
{
	struct plan *plan = reading->plan;

	if (is_new && plan->fault_count == PLAN_FAULTS_MOST)
		return invalid(reading, value, "fewer faults", error);
	if (is_new) {
		plan->faults[plan->fault_count].region = PLAN_EVERYWHERE;
		plan->faults[plan->fault_count++].factor = 1.0;
	}
	if (!strcmp(value->key, "kind"))
		return set_fault_kind(reading, value,
				      &plan->faults[plan->fault_count - 1],
				      error);
	if (!set_field(reading, value, fault_fields, G_N_ELEMENTS(fault_fields),
		       &plan->faults[plan->fault_count - 1], error))
		return false;
	/* Regions are counted from 1 in the file. */
	if (!strcmp(value->key, "region") &&
	    plan->faults[plan->fault_count - 1].region-- == 0)
		return invalid(reading, value, "a region from 1 on", error);
	return true;
}

static bool set_region(struct reading *reading, const struct toml_value *value,
		       bool is_new, GError **error)
{
	struct plan *plan = reading->plan;

	if (is_new && plan->region_count == PLAN_REGIONS_MOST)
		return invalid(reading, value, "fewer regions", error);
	if (is_new)
		plan->region_count++;
	return set_field(reading, value, region_fields,
			 G_N_ELEMENTS(region_fields),
			 &plan->regions[plan->region_count - 1], error);
}

static bool set_value(void *context, const struct toml_value *value,
		      GError **error)
{
	struct reading *reading = context;
	bool is_new = !reading->table ||
		      strcmp(reading->table, value->table) != 0;

	g_free(reading->table);
	reading->table = g_strdup(value->table);
	if (g_str_has_prefix(value->table, "fault"))
		return set_fault(reading, value, is_new, error);
	if (g_str_has_prefix(value->table, "region"))
		return set_region(reading, value, is_new, error);
	if (!strcmp(value->key, "name") && value->type == TOML_STRING) {
		g_strlcpy(reading->plan->name, value->string,
			  sizeof(reading->plan->name));
		return true;
	}
	if (!strcmp(value->key, "kind") && value->type == TOML_STRING) {
		reading->plan->idempotent =
			!strcmp(value->string, "idempotent");
		return true;
	}
	return set_field(reading, value, plan_fields, G_N_ELEMENTS(plan_fields),
			 reading->plan, error);
}

static bool check(const struct plan *plan, const char *path, GError **error)
{
	const char *missing = NULL;

	if (!plan->region_count || !plan_nodes(plan) || !plan_servers(plan))
		missing = "a region with nodes and one with servers";
	else if (!plan->slots || !plan->objects || !plan->work_us)
		missing = "slots, objects and work_ms";
	else if (!plan->target_us || !plan->timeout_us || !plan->deadline_us)
		missing = "target_ms, timeout_ms and deadline_ms";
	else if (!plan->length_us || !plan->window_us)
		missing = "length_ms and window_ms";
	if (!missing)
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_INVALID,
		    "%s: %s are needed", path, missing);
	return false;
}

bool plan_load(struct plan *plan, const char *path, GError **error)
{
	struct reading reading = { .plan = plan, .path = path };
	GError *cause = NULL;
	char *text;
	gsize length;
	bool good;

	memset(plan, 0, sizeof(*plan));
	plan->warm_part = 1.0;
	plan->max_attempts = 1;
	if (!g_file_get_contents(path, &text, &length, &cause)) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_UNREADABLE,
			    "%s", cause->message);
		g_error_free(cause);
		return false;
	}
	good = toml_visit(path, text, length, set_value, &reading, error) &&
	       check(plan, path, error);
	g_free(reading.table);
	g_free(text);
	return good;
}

uint32_t plan_servers(const struct plan *plan)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < plan->region_count; i++)
		total += plan->regions[i].servers;
	return total;
}

uint32_t plan_nodes(const struct plan *plan)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < plan->region_count; i++)
		total += plan->regions[i].nodes;
	return total;
}
