/*
 * experiment - days of the emulator, played by several deciders side by side
 */
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "core/choose.h"
#include "experiment/report.h"

#define DEFAULT_SEEDS 5

struct variant {
	const char *name;
	enum fleet_policy policy;
	uint32_t off;
};

static const struct variant variants[] = {
	{ "ours", FLEET_OURS, 0 },
	{ "no-objects-leave", FLEET_OURS, CHOOSE_LEAVE_BY_OBJECT },
	{ "no-keep-warm", FLEET_OURS, CHOOSE_KEEP_WARM },
	{ "no-hold", FLEET_OURS, CHOOSE_HOLD_REQUESTS },
	{ "no-admission", FLEET_OURS, CHOOSE_ADMIT },
	{ "none-of-these", FLEET_OURS, ~0u },
	{ "two-choices", FLEET_TWO_CHOICES, 0 },
	{ "least-load", FLEET_LEAST_LOAD, 0 },
	{ "bounded-hash", FLEET_BOUNDED_HASH, 0 },
};

#define VARIANTS G_N_ELEMENTS(variants)

static void play_variants(const struct plan *plan, uint32_t seeds,
			  struct report_row *rows)
{
	struct fleet_result result;
	uint32_t seed;
	size_t i;

	for (i = 0; i < VARIANTS; i++)
		report_row_init(&rows[i], variants[i].name);
	report_row_init(&rows[VARIANTS], "bound");
	for (seed = 1; seed <= seeds; seed++) {
		for (i = 0; i < VARIANTS; i++) {
			const struct fleet_options options = {
				variants[i].policy, variants[i].off, seed
			};

			fleet_play(plan, &options, &result);
			report_row_add(&rows[i], &result);
			fleet_result_release(&result);
		}
		fleet_bound(plan, seed, &result);
		report_row_add(&rows[VARIANTS], &result);
		fleet_result_release(&result);
	}
}

static bool play_file(const char *path, uint32_t seeds, const char *folder,
		      GError **error)
{
	struct report_row rows[VARIANTS + 1];
	struct plan plan;
	bool good = true;
	size_t i;

	if (!plan_load(&plan, path, error))
		return false;
	play_variants(&plan, seeds, rows);
	report_table(stdout, &plan, rows, VARIANTS + 1);
	putchar('\n');
	if (folder)
		good = report_page(folder, &plan, rows, VARIANTS + 1, error);
	for (i = 0; i <= VARIANTS; i++)
		report_row_release(&rows[i]);
	return good;
}

int main(int argc, const char **argv)
{
	int seeds = DEFAULT_SEEDS;
	char *folder = NULL;
	const struct poptOption options[] = {
		{ "seeds", 's', POPT_ARG_INT, &seeds, 0,
		  "days with other callers, for each variant", "N" },
		{ "report", 'r', POPT_ARG_STRING, &folder, 0,
		  "folder for pages and plots", "FOLDER" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	GError *error = NULL;
	const char *path;
	int status;

	poptSetOtherOptionHelp(context, "[OPTION...] DAY.toml...");
	status = poptGetNextOpt(context);
	if (status != -1 || seeds < 1 || !poptPeekArg(context)) {
		poptPrintUsage(context, stderr, 0);
		poptFreeContext(context);
		return 2;
	}
	status = 0;
	while (!status && (path = poptGetArg(context)))
		if (!play_file(path, (uint32_t)seeds, folder, &error)) {
			fprintf(stderr, "experiment: %s\n", error->message);
			g_clear_error(&error);
			status = 1;
		}
	free(folder);
	poptFreeContext(context);
	return status;
}
