/*
 * lilacfieldd - a node of lilacfield, one on each entry VM
 */
#include <popt.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "adapters/trace.h"
#include "core/result.h"
#include "node/node.h"

struct options {
	char *settings_path;
	int check;
	int version;
};

static int fail(GError *error)
{
	int status = result_exit_status(result_from_number(error->code));

	fprintf(stderr, "lilacfieldd: %s\n", error->message);
	g_error_free(error);
	return status;
}

static bool read_options(int argc, const char **argv, struct options *options)
{
	struct poptOption table[] = {
		{ "settings", 's', POPT_ARG_STRING, &options->settings_path, 0,
		  "the node's settings", "FILE" },
		{ "check", 'c', POPT_ARG_NONE, &options->check, 0,
		  "check the settings and exit", NULL },
		{ "version", 'V', POPT_ARG_NONE, &options->version, 0,
		  "print the version and exit", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context =
		poptGetContext("lilacfieldd", argc, argv, table, 0);
	int code = poptGetNextOpt(context);
	bool good = code == -1 && !poptPeekArg(context);

	if (code < -1)
		fprintf(stderr, "lilacfieldd: %s: %s\n",
			poptBadOption(context, POPT_BADOPTION_NOALIAS),
			poptStrerror(code));
	else if (!good)
		fprintf(stderr, "lilacfieldd: %s: not an option\n",
			poptPeekArg(context));
	poptFreeContext(context);
	return good;
}

/* Blocked in every thread; only the main thread waits for them. */
static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int run(const struct settings *settings)
{
	struct running_node *running;
	GError *error = NULL;
	sigset_t signals;
	bool whole;
	int received;

	block_signals(&signals);
	running = node_open(settings, &error);
	if (!running)
		return fail(error);
	sigwait(&signals, &received);
	whole = node_stop(running);
	log_event(whole ? LOG_INFO : LOG_WARNING, "node-stopped", "whole=%s",
		  whole ? "yes" : "no");
	node_close(running);
	return whole ? EXIT_SUCCESS : result_exit_status(RESULT_INTERNAL);
}

static int open_and_run(const struct settings *settings)
{
	GError *error = NULL;
	int status;

	metrics_open();
	if (!log_open(settings->name, settings->log_path,
		      (enum log_level)log_level_from_name(settings->log_level),
		      &error))
		return fail(error);
	if (!trace_open(settings->name, settings->trace_path,
			settings->trace_permille, &error))
		return fail(error);
	status = run(settings);
	trace_close();
	log_close();
	metrics_close();
	return status;
}

static int run_options(const struct options *options)
{
	static struct settings settings;
	GError *error = NULL;

	if (options->version) {
		puts("lilacfieldd " LILACFIELD_VERSION);
		return EXIT_SUCCESS;
	}
	if (!options->settings_path) {
		fprintf(stderr, "lilacfieldd: --settings FILE is missing\n");
		return result_exit_status(RESULT_SETTINGS_UNREADABLE);
	}
	if (!settings_load(&settings, options->settings_path, &error))
		return fail(error);
	if (options->check) {
		printf("%s: good\n", options->settings_path);
		return EXIT_SUCCESS;
	}
	return open_and_run(&settings);
}

int main(int argc, const char **argv)
{
	struct options options = { NULL, 0, 0 };
	int status = result_exit_status(RESULT_SETTINGS_INVALID);

	if (read_options(argc, argv, &options))
		status = run_options(&options);
	free(options.settings_path);
	return status;
}
