#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "core/result.h"
#include "edge/run.h"
#include "platform/dialect.h"
#include "platform/store.h"

struct options {
	char *settings_path;
	int check;
	int version;
};

static int fail(GError *error)
{
	int status = result_exit_status((enum result)error->code);

	fprintf(stderr, "lilacfield-edge: %s\n", error->message);
	g_error_free(error);
	return status;
}

static bool read_options(int argc, const char **argv, struct options *options)
{
	const struct poptOption table[] = {
		{ "settings", 's', POPT_ARG_STRING, &options->settings_path, 0,
		  "settings file (default: $" PLATFORM_SETTINGS_VARIABLE ")",
		  "FILE" },
		{ "check", 'c', POPT_ARG_NONE, &options->check, 0,
		  "check the settings and exit", NULL },
		{ "version", 'V', POPT_ARG_NONE, &options->version, 0,
		  "print the version and exit", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context =
		poptGetContext("lilacfield-edge", argc, argv, table, 0);
	int code = poptGetNextOpt(context);
	bool good = code == -1 && !poptPeekArg(context);

	if (code < -1)
		fprintf(stderr, "lilacfield-edge: %s: %s\n",
			poptBadOption(context, 0), poptStrerror(code));
	else if (!good)
		fprintf(stderr, "lilacfield-edge: unexpected argument %s\n",
			poptPeekArg(context));
	poptFreeContext(context);
	return good;
}

static int open_and_run(const struct edge_settings *settings, const char *path)
{
	GError *error = NULL;
	bool good;

	metrics_open();
	if (!log_open(settings->name, "",
		      (enum log_level)log_level_from_name(settings->log_level),
		      &error))
		return fail(error);
	good = run_node(settings, path, platform_dialect(), platform_store(),
			&error);
	log_close();
	metrics_close();
	return good ? EXIT_SUCCESS : fail(error);
}

static int run_options(const struct options *options)
{
	const char *path = options->settings_path;
	struct edge_settings settings;
	GError *error = NULL;
	int status;

	if (options->version) {
		puts("lilacfield-edge " LILACFIELD_VERSION);
		return EXIT_SUCCESS;
	}
	if (!path)
		path = getenv(PLATFORM_SETTINGS_VARIABLE);
	if (!path) {
		fprintf(stderr,
			"lilacfield-edge: --settings FILE is missing\n");
		return result_exit_status(RESULT_SETTINGS_UNREADABLE);
	}
	if (!edge_settings_load(&settings, path, &error))
		return fail(error);
	if (options->check) {
		printf("%s: good\n", path);
		status = EXIT_SUCCESS;
	} else {
		status = open_and_run(&settings, path);
	}
	edge_settings_release(&settings);
	return status;
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
