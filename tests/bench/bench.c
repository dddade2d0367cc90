/*
 * bench - the decision code against common policies, in virtual time
 *
 * Prints one table, a line for each case and measure. The same seed gives the
 * same figures on each run.
 */
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "bench/world.h"

#define DEFAULT_SEED 1
#define BASELINES 3

enum unit_kind {
	LESS_IS_BETTER,
	MORE_IS_BETTER,
};

struct figure {
	const char *name;
	const char *unit;
	enum unit_kind kind;
	bool only_if_any; /* printed if one of the policies has it */
	double (*value)(const struct world_case *run,
			const struct world_measure *measure);
};

static int compare_times(const void *a, const void *b)
{
	uint64_t one = *(const uint64_t *)a;
	uint64_t other = *(const uint64_t *)b;

	return one < other ? -1 : one > other;
}

static double percentile_ms(const struct world_measure *measure, double part)
{
	GArray *times = measure->latencies_us;
	uint32_t index = (uint32_t)(part * times->len);

	if (!times->len)
		return 0.0;
	if (index >= times->len)
		index = times->len - 1;
	return (double)g_array_index(times, uint64_t, index) / (double)MS;
}

static double p50(const struct world_case *run,
		  const struct world_measure *measure)
{
	(void)run;
	return percentile_ms(measure, 0.5);
}

static double p99(const struct world_case *run,
		  const struct world_measure *measure)
{
	(void)run;
	return percentile_ms(measure, 0.99);
}

static double p999(const struct world_case *run,
		   const struct world_measure *measure)
{
	(void)run;
	return percentile_ms(measure, 0.999);
}

/* Answers in time, of what was offered or could be borne at most. */
static double goodput(const struct world_case *run,
		      const struct world_measure *measure)
{
	double seconds = (double)(run->measure_to_us - run->measure_from_us) /
			 (double)SECOND;
	const struct world_shape *shape = run->shape;
	double slots = shape->backends * shape->slots;
	double bearable;

	if (run->uneven)
		slots *= 2.0 / 3.0;
	bearable = slots * (double)SECOND / (double)shape->service_us * seconds;
	bearable = run->by_finish ? (double)measure->offered : bearable;
	return 100.0 * (double)measure->answered /
	       MIN(bearable, (double)measure->offered);
}

static double overload(const struct world_case *run,
		       const struct world_measure *measure)
{
	(void)run;
	return measure->overload;
}

static double overshoot(const struct world_case *run,
			const struct world_measure *measure)
{
	(void)run;
	return measure->cap_overshoot;
}

/* How much of the cap a shift whose demand is larger has come to use. */
static double shifted(const struct world_case *run,
		      const struct world_measure *measure)
{
	(void)run;
	if (!measure->cap_per_s)
		return 0.0;
	return 10.0 * (double)measure->shifted_late / measure->cap_per_s;
}

static double extra(const struct world_case *run,
		    const struct world_measure *measure)
{
	(void)run;
	return 100.0 * (double)measure->extra_attempts /
	       (double)MAX(measure->admitted, 1);
}

static double to_leaving(const struct world_case *run,
			 const struct world_measure *measure)
{
	(void)run;
	return (double)measure->to_leaving;
}

static double drained_ms(const struct world_case *run,
			 const struct world_measure *measure)
{
	(void)run;
	return (double)measure->drained_us / (double)MS;
}

static double finished_s(const struct world_case *run,
			 const struct world_measure *measure)
{
	return run->by_finish ? (double)measure->finished_us / (double)SECOND :
				0.0;
}

static double refused(const struct world_case *run,
		      const struct world_measure *measure)
{
	(void)run;
	return (double)measure->refused;
}

static double lost(const struct world_case *run,
		   const struct world_measure *measure)
{
	(void)run;
	return (double)(measure->offered - measure->answered -
			measure->refused);
}

static double doubled(const struct world_case *run,
		      const struct world_measure *measure)
{
	(void)run;
	return (double)measure->doubled;
}

static const struct figure figures[] = {
	{ "p50", "ms", LESS_IS_BETTER, false, p50 },
	{ "p99", "ms", LESS_IS_BETTER, false, p99 },
	{ "p99.9", "ms", LESS_IS_BETTER, false, p999 },
	{ "goodput", "%", MORE_IS_BETTER, false, goodput },
	{ "overload", "requests", LESS_IS_BETTER, false, overload },
	{ "cap-overshoot", "per s", LESS_IS_BETTER, true, overshoot },
	{ "shifted", "% of cap", MORE_IS_BETTER, true, shifted },
	{ "extra-attempts", "%", LESS_IS_BETTER, false, extra },
	{ "new-to-leaving", "requests", LESS_IS_BETTER, true, to_leaving },
	{ "drain-time", "ms", LESS_IS_BETTER, true, drained_ms },
	{ "finish-time", "s", LESS_IS_BETTER, true, finished_s },
	{ "refused", "requests", LESS_IS_BETTER, false, refused },
	{ "lost", "requests", LESS_IS_BETTER, false, lost },
	{ "doubled", "requests", LESS_IS_BETTER, false, doubled },
};

static const struct policy_vtable *const baselines[BASELINES] = {
	&nearest_round_robin,
	&least_reported_load,
	&two_random_choices,
};

static void print_figure(const struct world_case *run, uint64_t seed,
			 const struct figure *figure,
			 const struct world_measure *measures)
{
	double own = figure->value(run, &measures[BASELINES]);
	double best = figure->value(run, &measures[0]);
	const char *name = baselines[0]->name;
	bool any = own != 0.0 || best != 0.0;
	char ratio[16] = "-";
	double value;
	int i;

	for (i = 1; i < BASELINES; i++) {
		value = figure->value(run, &measures[i]);
		any = any || value != 0.0;
		if (figure->kind == LESS_IS_BETTER ? value >= best :
						     value <= best)
			continue;
		best = value;
		name = baselines[i]->name;
	}
	if (figure->only_if_any && !any)
		return;
	if (best != 0.0)
		g_snprintf(ratio, sizeof(ratio), "%.2f", own / best);
	printf("| %s %s | %" G_GUINT64_FORMAT
	       " | %s | %.1f (%s) | %.1f | %s | %s |\n",
	       run->name, run->shape->name, seed, figure->name, best, name, own,
	       ratio, figure->unit);
}

static void run_case(const struct world_case *run, uint64_t seed)
{
	struct world_measure measures[BASELINES + 1];
	uint32_t i;

	for (i = 0; i <= BASELINES; i++) {
		world_run_case(run, i < BASELINES ? baselines[i] : &ours, seed,
			       &measures[i]);
		qsort(measures[i].latencies_us->data,
		      measures[i].latencies_us->len, sizeof(uint64_t),
		      compare_times);
	}
	for (i = 0; i < G_N_ELEMENTS(figures); i++)
		print_figure(run, seed, &figures[i], measures);
	fflush(stdout);
	for (i = 0; i <= BASELINES; i++)
		g_array_free(measures[i].latencies_us, TRUE);
}

int main(int argc, const char **argv)
{
	int micro = 0;
	int size = 0;
	int seed = DEFAULT_SEED;
	char *only = NULL;
	struct poptOption options[] = {
		{ "seed", 's', POPT_ARG_INT, &seed, 0, "Seed of the run", "N" },
		{ "case", 'c', POPT_ARG_STRING, &only, 0,
		  "Only cases whose name and service contain this", "TEXT" },
		{ "micro", 'm', POPT_ARG_NONE, &micro, 0,
		  "Cost of a decision instead of the cases", NULL },
		{ "size", 'n', POPT_ARG_INT, &size, 0,
		  "Only this size of --micro, for callgrind", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("bench", argc, argv, options, 0);
	char *title;
	uint32_t i;

	if (poptGetNextOpt(context) != -1 || poptPeekArg(context)) {
		poptPrintUsage(context, stderr, 0);
		return 1;
	}
	if (micro) {
		micro_run((uint32_t)size);
		poptFreeContext(context);
		return 0;
	}
	printf("| case | seed | measure | baseline (best) | ours | ratio | unit |\n"
	       "|---|---|---|---|---|---|---|\n");
	for (i = 0; i < world_case_count; i++) {
		title = g_strdup_printf("%s %s", world_cases[i].name,
					world_cases[i].shape->name);
		if (!only || strstr(title, only))
			run_case(&world_cases[i], (uint64_t)seed);
		g_free(title);
	}
	g_free(only);
	poptFreeContext(context);
	return 0;
}
