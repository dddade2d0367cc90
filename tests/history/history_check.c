/*
 * history_check - judge the history of a run
 *
 *     history_check [--require PROMISE,…] FILE…
 *
 * Prints a line a promise. Exit status 0 where all that was exercised was kept
 * and all that is required was exercised, 1 otherwise, 2 where a file or a line
 * can't be read. Run on the machine and soon after the run: the real time of
 * the nodes' logs is brought to CLOCK_BOOTTIME by the present difference.
 */
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <time.h>

#include "history/checker.h"

#define US_PER_MS 1000ull

enum {
	EXIT_KEPT = 0,
	EXIT_BROKEN = 1,
	EXIT_UNREADABLE = 2,
};

static int leaving_ms = 3000;
static int config_ms = 5000;
static char *required = "";

static const struct poptOption options[] = {
	{ "leaving-ms", 'l', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
	  &leaving_ms, 0, "time after which a leaving server gets no new work",
	  "MS" },
	{ "config-ms", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
	  &config_ms, 0, "time after which an accepted version is everywhere",
	  "MS" },
	{ "require", 'r', POPT_ARG_STRING, &required, 0,
	  "promises that have to be exercised", "NAME,…" },
	POPT_AUTOHELP POPT_TABLEEND
};

static int64_t clock_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static bool add_file(struct events *events, const char *path)
{
	GError *error = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		fprintf(stderr, "history_check: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	events_add_text(events, text, len);
	g_free(text);
	return true;
}

static bool print_promise(const struct verdict *verdict, enum promise promise)
{
	const char *word = "kept";

	if (!verdict->checked[promise])
		word = "not-exercised";
	if (verdict->broken[promise])
		word = "BROKEN";
	printf("promise=%s verdict=%s checked=%" PRIu64 " broken=%" PRIu64 "\n",
	       promise_name(promise), word, verdict->checked[promise],
	       verdict->broken[promise]);
	return !verdict->broken[promise];
}

static bool print_all(const struct verdict *verdict)
{
	bool kept = true;
	guint i;

	for (i = 0; i < PROMISE_COUNT; i++)
		kept = print_promise(verdict, (enum promise)i) && kept;
	for (i = 0; i < verdict->findings->len; i++)
		printf("  %s\n",
		       (char *)g_ptr_array_index(verdict->findings, i));
	return kept;
}

static bool has_all_required(const struct verdict *verdict)
{
	char **names = g_strsplit_set(required, ",", -1);
	bool all = true;
	uint32_t i;

	for (i = 0; names[i]; i++) {
		int promise = promise_from_name(names[i]);

		if (!*names[i] || (promise >= 0 && verdict->checked[promise]))
			continue;
		printf("required and not exercised: %s\n", names[i]);
		all = false;
	}
	g_strfreev(names);
	return all;
}

static int judge(struct events *events)
{
	struct bounds bounds = { (uint64_t)leaving_ms * US_PER_MS,
				 (uint64_t)config_ms * US_PER_MS };
	struct verdict verdict;
	bool kept;

	events_sort(events);
	checker_judge(events, &bounds, &verdict);
	kept = print_all(&verdict);
	kept = has_all_required(&verdict) && kept;
	verdict_release(&verdict);
	if (events->unreadable) {
		printf("unreadable lines: %u\n", events->unreadable);
		return EXIT_UNREADABLE;
	}
	return kept ? EXIT_KEPT : EXIT_BROKEN;
}

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	struct events *events =
		events_new(clock_us(CLOCK_REALTIME) - clock_us(CLOCK_BOOTTIME));
	const char *path;
	bool read = true;
	int status;

	poptSetOtherOptionHelp(context, "[OPTION]… FILE…");
	if (poptGetNextOpt(context) != -1 || !poptPeekArg(context)) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_UNREADABLE;
	}
	while ((path = poptGetArg(context)))
		read = add_file(events, path) && read;
	status = judge(events);
	events_free(events);
	poptFreeContext(context);
	return read ? status : EXIT_UNREADABLE;
}
