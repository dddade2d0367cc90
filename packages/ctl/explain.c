#include "ctl/explain.h"

#include <string.h>

#include "adapters/pairs.h"

#define US_PER_MS 1000.0

/* Longest line that is read whole; a log line is far shorter. */
#define LINE_BYTES 8192

/* One line of a log. */
struct step {
	uint64_t ts_us;
	uint32_t order; /* in which it was read */
	GHashTable *pairs; /* key -> value */
};

struct explain {
	char *id;
	GPtrArray *steps; /* of struct step */
};

static void step_free(gpointer data)
{
	struct step *step = data;

	g_hash_table_destroy(step->pairs);
	g_free(step);
}

struct explain *explain_new(const char *request_id)
{
	struct explain *explain = g_new0(struct explain, 1);

	explain->id = g_strdup(request_id);
	explain->steps = g_ptr_array_new_with_free_func(step_free);
	return explain;
}

void explain_free(struct explain *explain)
{
	g_ptr_array_unref(explain->steps);
	g_free(explain->id);
	g_free(explain);
}

uint32_t explain_count(const struct explain *explain)
{
	return explain->steps->len;
}

/* --- reading ------------------------------------------------------------ */

static const char *get(const struct step *step, const char *key)
{
	const char *value = g_hash_table_lookup(step->pairs, key);

	return value ? value : "?";
}

static struct step *read_step(char *text)
{
	struct step *step = g_new0(struct step, 1);
	const char *key;
	const char *value;

	step->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	while ((text = pairs_next(text, &key, &value)))
		g_hash_table_insert(step->pairs, g_strdup(key),
				    g_strdup(value));
	step->ts_us = g_ascii_strtoull(get(step, "ts_us"), NULL, 10);
	return step;
}

static void take_line(struct explain *explain, char *line)
{
	char *text = strstr(line, "ts_us=");
	struct step *step;

	/* Most lines are of other requests: not worth being taken apart. */
	if (!text || !strstr(text, explain->id))
		return;
	g_strchomp(text);
	step = read_step(text);
	if (strcmp(get(step, "request"), explain->id) != 0) {
		step_free(step);
		return;
	}
	step->order = explain->steps->len;
	g_ptr_array_add(explain->steps, step);
}

void explain_read(struct explain *explain, FILE *stream)
{
	char line[LINE_BYTES];

	while (fgets(line, sizeof(line), stream))
		take_line(explain, line);
}

/* --- telling ------------------------------------------------------------ */

static gint compare_steps(gconstpointer a, gconstpointer b)
{
	const struct step *left = *(const struct step *const *)a;
	const struct step *right = *(const struct step *const *)b;

	if (left->ts_us != right->ts_us)
		return left->ts_us < right->ts_us ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

/* A time of the line in milliseconds. */
static double ms(const struct step *step, const char *key)
{
	return g_ascii_strtod(get(step, key), NULL) / US_PER_MS;
}

static void tell_sent(const struct step *step, GString *out)
{
	g_string_append_printf(
		out,
		"sent to %s (%s for the object, expected %.0f ms, load %s of "
		"%s slots); %.0f ms left",
		get(step, "backend"), get(step, "reason"),
		ms(step, "expected_us"), get(step, "load"), get(step, "slots"),
		ms(step, "left_us"));
}

static void tell_send_failed(const struct step *step, GString *out)
{
	const char *cause = g_hash_table_lookup(step->pairs, "cause");

	g_string_append_printf(out, "%s: %s", get(step, "backend"),
			       get(step, "outcome"));
	if (cause)
		g_string_append_printf(out, ", %s", cause);
	else
		g_string_append_printf(out, ", status %s", get(step, "status"));
	g_string_append(out, strcmp(get(step, "again"), "yes") ?
				     "; not sent again" :
				     "; another server is tried");
}

static void tell_backend_answer(const struct step *step, GString *out)
{
	g_string_append_printf(out, "%s answered %s after %.0f ms",
			       get(step, "backend"), get(step, "status"),
			       ms(step, "took_us"));
}

static void tell_own_answer(const struct step *step, GString *out)
{
	g_string_append_printf(out, "the node answers %s itself: %s",
			       get(step, "status"), get(step, "cause"));
	if (!g_hash_table_contains(step->pairs, "routes_age_us"))
		return;
	g_string_append_printf(out, " (routes version %s, ",
			       get(step, "routes_version"));
	if (!strcmp(get(step, "routes_age_us"), "unconfirmed"))
		g_string_append(out, "never confirmed)");
	else
		g_string_append_printf(out, "confirmed %.0f ms before)",
				       ms(step, "routes_age_us"));
}

static void tell_answered(const struct step *step, GString *out)
{
	g_string_append_printf(out, "%s goes to the caller after %.0f ms",
			       get(step, "status"), ms(step, "took_us"));
}

static void tell_caller_left(const struct step *step, GString *out)
{
	g_string_append_printf(out, "the caller left after %.0f ms",
			       ms(step, "after_us"));
}

static void tell_stray(const struct step *step, GString *out)
{
	g_string_append_printf(out,
			       "%s sent an answer of another request: dropped",
			       get(step, "backend"));
}

static const struct {
	const char *event;
	void (*tell)(const struct step *step, GString *out);
} tellers[] = {
	{ "sent", tell_sent },
	{ "send-failed", tell_send_failed },
	{ "backend-answer", tell_backend_answer },
	{ "own-answer", tell_own_answer },
	{ "answered", tell_answered },
	{ "caller-left", tell_caller_left },
	{ "stray-answer", tell_stray },
};

static void tell(const struct step *step, uint64_t first_us, GString *out)
{
	const char *event = get(step, "event");
	size_t i;

	g_string_append_printf(out, "%10.1f ms  %s  ",
			       (double)(step->ts_us - first_us) / US_PER_MS,
			       get(step, "node"));
	for (i = 0; i < G_N_ELEMENTS(tellers); i++) {
		if (strcmp(tellers[i].event, event) != 0)
			continue;
		tellers[i].tell(step, out);
		g_string_append_c(out, '\n');
		return;
	}
	g_string_append_printf(out, "%s\n", event);
}

/* The last line that says how the request ended at its node, or NULL. */
static const struct step *find_end(const GPtrArray *steps)
{
	guint i;

	for (i = steps->len; i > 0; i--) {
		const char *event = get(steps->pdata[i - 1], "event");

		if (!strcmp(event, "own-answer") ||
		    !strcmp(event, "backend-answer") ||
		    !strcmp(event, "caller-left"))
			return steps->pdata[i - 1];
	}
	return NULL;
}

static void tell_verdict(const GPtrArray *steps, GString *out)
{
	const struct step *end = find_end(steps);

	if (!end)
		g_string_append(out, "How it ended isn't in these logs.\n");
	else if (!strcmp(get(end, "event"), "backend-answer"))
		g_string_append(out, "It ran, and the backend server's answer "
				     "was handed on.\n");
	else if (!strcmp(get(end, "event"), "caller-left"))
		g_string_append_printf(
			out,
			"The caller left; it may have run where it was "
			"sent (%s sends).\n",
			get(end, "sends"));
	else if (strcmp(get(end, "unsettled"), "0") != 0)
		g_string_append_printf(
			out,
			"It may have run: the outcome of %s sends is "
			"open.\n",
			get(end, "unsettled"));
	else
		g_string_append(out, "It did not run, and never will.\n");
}

char *explain_format(const struct explain *explain)
{
	GString *out = g_string_new(NULL);
	guint i;

	if (!explain->steps->len) {
		g_string_append_printf(out, "nothing is logged of request %s\n",
				       explain->id);
		return g_string_free(out, FALSE);
	}
	g_ptr_array_sort(explain->steps, compare_steps);
	for (i = 0; i < explain->steps->len; i++)
		tell(explain->steps->pdata[i],
		     ((struct step *)explain->steps->pdata[0])->ts_us, out);
	tell_verdict(explain->steps, out);
	return g_string_free(out, FALSE);
}
