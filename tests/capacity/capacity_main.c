/*
 * capacity - the measurements behind docs/CAPACITY.md
 *
 * Prints one table for each part named, or for all. It needs the right to make
 * a network namespace for the parts that run real nodes.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "capacity/fleet.h"
#include "capacity/parts.h"

struct part {
	const char *name;
	const char *title;
	bool (*run)(int sizes);
	bool needs_network;
};

static const struct part parts[] = {
	{ "config", "The configuration", part_config, false },
	{ "lookup", "Look-ups, without HTTP", part_lookup, false },
	{ "refresh", "Tables that are computed again and again", part_refresh,
	  false },
	{ "view", "What a node knows of the others", part_view, false },
	{ "ledger", "The ledger", part_ledger, false },
	{ "accounts", "Client accounts", part_accounts, false },
	{ "http", "Look-ups through one node's HTTP", part_http, true },
	{ "threads", "Memory against http_threads", part_threads, true },
	{ "nodes", "Idle nodes against their number", part_nodes, true },
	{ "probes", "An idle node against its place's backend servers",
	  part_probes, true },
	{ "seats", "Shifts' seats at the platform", part_seats, true },
	{ "rejoin", "The platform after a cut", part_rejoin, true },
	{ "blocks", "Idle nodes against the configuration's size", part_blocks,
	  true },
	{ "spread", "A change that peers pass on", part_spread, true },
};

static int smallest;

static const struct poptOption options[] = {
	{ "smallest", 's', POPT_ARG_NONE, &smallest, 0,
	  "only the smallest of the sizes", NULL },
	POPT_AUTOHELP POPT_TABLEEND
};

static bool is_wanted(const char *const *names, const char *name)
{
	bool found = !names;

	for (; names && *names; names++)
		found = found || !strcmp(*names, name);
	return found;
}

static bool run_part(const struct part *part, bool has_network)
{
	bool good;

	printf("\n## %s (%s)\n\n", part->title, part->name);
	if (part->needs_network && !has_network) {
		puts("Not run: no network namespace could be made.");
		return false;
	}
	good = part->run(smallest ? 1 : PART_SIZES);
	if (!good)
		puts("Failed.");
	fflush(stdout);
	return good;
}

int main(int argc, const char **argv)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	const char *const *names;
	bool has_network;
	bool good = true;
	size_t i;

	if (poptGetNextOpt(context) != -1) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_FAILURE;
	}
	names = poptGetArgs(context);
	setvbuf(stdout, NULL, _IOLBF, 0);
	has_network = fleet_enter_network();
	metrics_open();
	log_open("capacity", "/dev/null", LOG_ERROR, NULL);
	for (i = 0; i < sizeof(parts) / sizeof(*parts); i++)
		if (is_wanted(names, parts[i].name))
			good = run_part(&parts[i], has_network) && good;
	log_close();
	metrics_close();
	poptFreeContext(context);
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
