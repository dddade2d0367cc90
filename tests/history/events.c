#include "history/events.h"

#include <jansson.h>
#include <string.h>

struct kind_name {
	const char *who;
	const char *event;
	enum event_kind kind;
};

static const struct kind_name kind_names[] = {
	{ "caller", "invoke", EVENT_INVOKE },
	{ "caller", "answer", EVENT_ANSWER },
	{ "caller", "refused", EVENT_REFUSED },
	{ "caller", "unknown", EVENT_UNKNOWN },
	{ "caller", "wrong", EVENT_WRONG },
	{ "backend", "start", EVENT_START },
	{ "backend", "end", EVENT_END },
	{ "backend", "shed", EVENT_SHED },
	{ "node", "node-started", EVENT_NODE_STARTED },
	{ "node", "config-in-force", EVENT_CONFIG_IN_FORCE },
	{ "node", "shift-admitted", EVENT_SHIFT_ADMITTED },
	{ "operator", "accepted", EVENT_ACCEPTED },
	{ "operator", "shift", EVENT_SHIFT },
	{ "operator", "slots", EVENT_SLOTS },
	{ "operator", "leaving", EVENT_LEAVING },
	{ "operator", "returned", EVENT_RETURNED },
	{ "operator", "stop", EVENT_STOP },
	{ "operator", "stopped", EVENT_STOPPED },
	{ "operator", "fault-from", EVENT_FAULT_FROM },
	{ "operator", "fault-to", EVENT_FAULT_TO },
	{ "operator", "run-ended", EVENT_RUN_ENDED },
};

static bool find_kind(const char *who, const char *event, enum event_kind *kind)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kind_names); i++) {
		if (strcmp(kind_names[i].who, who) != 0 ||
		    strcmp(kind_names[i].event, event) != 0)
			continue;
		*kind = kind_names[i].kind;
		return true;
	}
	return false;
}

static const char *text_of(const json_t *root, const char *name)
{
	const char *text = json_string_value(json_object_get(root, name));

	return text && *text ? g_intern_string(text) : NULL;
}

static uint64_t number_of(const json_t *root, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(root, name));
}

/* The member whose meaning depends on the kind. */
static uint64_t special_number(const json_t *root, enum event_kind kind)
{
	switch (kind) {
	case EVENT_SHIFT:
		return number_of(root, "cap_per_s");
	case EVENT_SLOTS:
		return number_of(root, "slots");
	case EVENT_STOPPED:
		return number_of(root, "status");
	default:
		return 0;
	}
}

static void read_members(const json_t *root, struct event *event)
{
	event->t_us = number_of(root, "t_us");
	event->start_us = number_of(root, "start_us");
	if (event->kind == EVENT_END && json_object_get(root, "end_us"))
		event->t_us = number_of(root, "end_us");
	event->id = text_of(root, "id");
	event->ticket = text_of(root, "ticket");
	event->service = text_of(root, "service");
	event->node = text_of(root, "node");
	event->backend = text_of(root, "backend");
	event->reason = text_of(root, "reason");
	event->version = number_of(root, "version");
	event->number = special_number(root, event->kind);
	event->cuts = number_of(root, "cuts");
}

/* False where the line can't be read; what it doesn't know is no event. */
static bool add_json(struct events *events, const char *line, size_t len)
{
	json_t *root = json_loadb(line, len, 0, NULL);
	const char *who = json_string_value(json_object_get(root, "who"));
	const char *name = json_string_value(json_object_get(root, "event"));
	struct event event = { 0 };
	bool readable = who && name &&
			json_is_integer(json_object_get(root, "t_us"));

	if (readable && find_kind(who, name, &event.kind)) {
		read_members(root, &event);
		g_array_append_val(events->all, event);
	}
	json_decref(root);
	return readable;
}

/* The value of key in a line of pairs, for g_free(); NULL if none. */
static char *pair_value(const char *line, const char *key)
{
	size_t len = strlen(key);
	const char *at = line;

	while (at && (strncmp(at, key, len) != 0 || at[len] != '=')) {
		at = strchr(at, ' ');
		at = at ? at + 1 : NULL;
	}
	return at ? g_strndup(at + len + 1, strcspn(at + len + 1, " ")) : NULL;
}

static uint64_t pair_number(const char *line, const char *key)
{
	char *text = pair_value(line, key);
	uint64_t number = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	g_free(text);
	return number;
}

static const char *pair_text(const char *line, const char *key)
{
	char *text = pair_value(line, key);
	const char *interned = text && *text ? g_intern_string(text) : NULL;

	g_free(text);
	return interned;
}

static bool add_pairs(struct events *events, const char *line)
{
	const char *name = pair_text(line, "event");
	uint64_t real_us = pair_number(line, "ts_us");
	struct event event = { 0 };

	if (!name || !real_us)
		return false;
	if (!find_kind("node", name, &event.kind))
		return true;
	event.t_us = (uint64_t)((int64_t)real_us - events->real_time_offset_us);
	/* Admissions tell their own time, which is that of the decision. */
	if (event.kind == EVENT_SHIFT_ADMITTED)
		event.t_us = pair_number(line, "at_us");
	event.node = pair_text(line, "node");
	event.version = pair_number(line, "version");
	event.id = event.kind == EVENT_SHIFT_ADMITTED ?
			   pair_text(line, "shift") :
			   NULL;
	g_array_append_val(events->all, event);
	return true;
}

static void add_line(struct events *events, const char *text, size_t len)
{
	char *line = g_strndup(text, len);

	if (!len || !g_hash_table_add(events->lines, line)) {
		if (!len)
			g_free(line);
		return;
	}
	if (!(*line == '{' ? add_json(events, line, len) :
			     add_pairs(events, line)))
		events->unreadable++;
}

struct events *events_new(int64_t real_time_offset_us)
{
	struct events *events = g_new0(struct events, 1);

	events->all = g_array_new(FALSE, TRUE, sizeof(struct event));
	events->lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	events->real_time_offset_us = real_time_offset_us;
	return events;
}

void events_free(struct events *events)
{
	g_hash_table_destroy(events->lines);
	g_array_unref(events->all);
	g_free(events);
}

void events_add_text(struct events *events, const char *text, size_t len)
{
	const char *end;

	while ((end = memchr(text, '\n', len))) {
		add_line(events, text, (size_t)(end - text));
		len -= (size_t)(end - text) + 1;
		text = end + 1;
	}
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct event *left = a;
	const struct event *right = b;

	return (left->t_us > right->t_us) - (left->t_us < right->t_us);
}

/* g_array_sort() is stable. */
void events_sort(struct events *events)
{
	g_array_sort(events->all, by_time);
}
