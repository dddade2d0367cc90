#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/fake_fleet.h"

static char *control_text = "127.0.9.2:7001";
static char *history_path;
static char *fleet_path;
static int threads = 32;
static int queue = 2;
static int seed = 1;
static int cold_requests = 20;
static int cold_permille = 3000;

static const struct poptOption options[] = {
	{ "control", 'c', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT,
	  &control_text, 0, "where /control is served", "ADDRESS:PORT" },
	{ "fleet", 'f', POPT_ARG_STRING, &fleet_path, 0,
	  "file of backend servers, one a line", "FILE" },
	{ "history", 'o', POPT_ARG_STRING, &history_path, 0,
	  "file that events are appended to", "FILE" },
	{ "threads", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &threads, 0,
	  "connections that each serves at a time", "N" },
	{ "queue", 'q', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &queue, 0,
	  "requests that may wait for a slot", "N" },
	{ "seed", 's', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seed, 0,
	  "of the service times", "N" },
	{ "cold-requests", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
	  &cold_requests, 0, "requests until it is warm", "N" },
	{ "cold-permille", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
	  &cold_permille, 0, "of the usual time while cold", "N" },
	POPT_AUTOHELP POPT_TABLEEND
};

/* Start the backend server that the line describes. */
static bool add_line(struct fake_fleet *fleet, const char *line, uint32_t index,
		     GError **error)
{
	struct fake_backend_spec spec = {
		.threads = (uint32_t)threads,
		.queue = (uint32_t)queue,
		.seed = (uint32_t)seed + index,
		.cold_requests = (uint32_t)cold_requests,
		.cold_permille = (uint32_t)cold_permille,
	};

	if (!fake_fleet_parse_line(line, &spec)) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
			    "bad backend server: %s", line);
		return false;
	}
	return fake_fleet_add(fleet, &spec, error);
}

static bool add_file(struct fake_fleet *fleet, const char *path, GError **error)
{
	char *text;
	char **lines;
	bool good = true;
	uint32_t i;

	if (!g_file_get_contents(path, &text, NULL, error))
		return false;
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	for (i = 0; good && lines[i]; i++) {
		g_strstrip(lines[i]);
		if (*lines[i] && *lines[i] != '#')
			good = add_line(fleet, lines[i], i, error);
	}
	g_strfreev(lines);
	return good;
}

static bool add_all(struct fake_fleet *fleet, poptContext context,
		    GError **error)
{
	const char *line;
	uint32_t index = 0;

	if (fleet_path && !add_file(fleet, fleet_path, error))
		return false;
	while ((line = poptGetArg(context)))
		if (!add_line(fleet, line, index++, error))
			return false;
	return true;
}

static int serve(poptContext context, GError **error)
{
	struct standin_endpoint control;
	struct event_log *log;
	struct fake_fleet *fleet;
	bool good;

	if (!standin_parse_endpoint(control_text, &control)) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
			    "bad control address: %s", control_text);
		return EXIT_FAILURE;
	}
	log = event_log_open(history_path, error);
	if (!log)
		return EXIT_FAILURE;
	fleet = fake_fleet_open(&control, log, error);
	good = fleet && add_all(fleet, context, error);
	if (good)
		standin_wait_for_signal();
	fake_fleet_close(fleet);
	event_log_close(log);
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	GError *error = NULL;
	int status;

	poptSetOtherOptionHelp(
		context,
		"[OPTION]… [\"NAME SERVICE ADDRESS:PORT SLOTS SERVICE_US"
		" STRENGTH_PERMILLE\"]…");
	if (poptGetNextOpt(context) != -1) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_FAILURE;
	}
	standin_block_signals();
	status = serve(context, &error);
	if (error) {
		fprintf(stderr, "fake_backend: %s\n", error->message);
		g_error_free(error);
	}
	poptFreeContext(context);
	return status;
}
