#include "experiment/report.h"

#include <string.h>

#include "core/duration.h"
#include "core/result.h"

void report_row_init(struct report_row *row, const char *name)
{
	memset(row, 0, sizeof(*row));
	row->name = name;
}

void report_row_release(struct report_row *row)
{
	g_free(row->window_worth);
	memset(row, 0, sizeof(*row));
}

/* Take one more sample into a mean over so many. */
static void take(double *mean, double sample, uint32_t samples)
{
	*mean += (sample - *mean) / samples;
}

void report_row_add(struct report_row *row, const struct fleet_result *result)
{
	const struct fleet_window *total = &result->total;
	double asked = MAX(1, total->asked);
	double runs = MAX(1, total->cold_runs + total->warm_runs);
	uint32_t n = ++row->seeds;
	uint32_t i;

	if (!row->window_worth) {
		row->window_count = result->window_count;
		row->window_worth = g_new0(double, row->window_count + 1);
	}
	take(&row->worth, total->worth / asked, n);
	take(&row->worst_windows, result->worst_windows, n);
	take(&row->in_aim, total->in_aim / asked, n);
	take(&row->late, total->late / asked, n);
	take(&row->refused, total->refused / asked, n);
	take(&row->failed, total->failed / asked, n);
	take(&row->cold_runs, total->cold_runs, n);
	take(&row->cut_runs, total->cut_runs, n);
	take(&row->far_part, total->far_sends / runs, n);
	take(&row->p50_ms, (double)result->p50_us / (double)US_PER_MS, n);
	take(&row->p99_ms, (double)result->p99_us / (double)US_PER_MS, n);
	for (i = 0; i < row->window_count; i++)
		take(&row->window_worth[i],
		     result->windows[i].worth /
			     MAX(1, result->windows[i].asked),
		     n);
}

void report_table(FILE *to, const struct plan *plan,
		  const struct report_row *rows, uint32_t count)
{
	const struct report_row *bound = &rows[count - 1];
	uint32_t i;

	fprintf(to, "%s: %u seeds, %.0f s, windows of %.0f s\n", plan->name,
		bound->seeds, (double)plan->length_us / (double)US_PER_S,
		(double)plan->window_us / (double)US_PER_S);
	fprintf(to, "%-16s %6s %6s %6s %6s %6s %6s %6s %6s %6s %5s %6s %6s\n",
		"variant", "worth", "part", "worst", "in aim", "late", "refuse",
		"fail", "cold", "cut", "far", "p50", "p99");
	for (i = 0; i < count; i++) {
		const struct report_row *row = &rows[i];

		fprintf(to,
			"%-16s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.0f "
			"%6.0f %5.2f %6.0f %6.0f\n",
			row->name, row->worth,
			row->worth / MAX(bound->worth, 1e-9),
			row->worst_windows, row->in_aim, row->late,
			row->refused, row->failed, row->cold_runs,
			row->cut_runs, row->far_part, row->p50_ms, row->p99_ms);
	}
}

static void write_data(FILE *to, const struct plan *plan,
		       const struct report_row *rows, uint32_t count)
{
	uint32_t window;
	uint32_t i;

	fprintf(to, "second");
	for (i = 0; i < count; i++)
		fprintf(to, " %s", rows[i].name);
	fputc('\n', to);
	for (window = 0; window < rows[0].window_count; window++) {
		fprintf(to, "%.1f",
			(double)window * (double)plan->window_us /
				(double)US_PER_S);
		for (i = 0; i < count; i++)
			fprintf(to, " %.4f", rows[i].window_worth[window]);
		fputc('\n', to);
	}
}

static void write_script(FILE *to, const struct plan *plan, uint32_t count)
{
	fprintf(to,
		"set terminal svg size 900,420 background rgb 'white'\n"
		"set output '%s.svg'\n"
		"set xlabel 'second'\nset ylabel 'worth earned, of what was "
		"asked'\nset yrange [0:1.05]\nset key outside right\nset grid\n"
		"plot for [i=2:%u] '%s.dat' using 1:i with linespoints "
		"title columnheader(i)\n",
		plan->name, count + 1, plan->name);
}

static void write_page(FILE *to, const struct plan *plan,
		       const struct report_row *rows, uint32_t count)
{
	fprintf(to,
		"<!doctype html><meta charset=utf-8><title>%s</title>"
		"<style>body{font-family:sans-serif;margin:2em}"
		"pre{background:#f4f4f4;padding:1em}</style>"
		"<h1>%s</h1><p>Worth by the second in which a caller began, "
		"mean over the seeds. The last variant is the bound of one who "
		"knows all arrivals ahead.</p><img src=\"%s.svg\" "
		"alt=\"worth over time\"><pre>",
		plan->name, plan->name, plan->name);
	report_table(to, plan, rows, count);
	fputs("</pre>\n", to);
}

static FILE *open_in(const char *folder, const char *name, const char *ending,
		     GError **error)
{
	char *path = g_strdup_printf("%s/%s%s", folder, name, ending);
	FILE *file = fopen(path, "w");

	if (!file)
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "%s: %s", path,
			    g_strerror(errno));
	g_free(path);
	return file;
}

bool report_page(const char *folder, const struct plan *plan,
		 const struct report_row *rows, uint32_t count, GError **error)
{
	FILE *data = open_in(folder, plan->name, ".dat", error);
	FILE *script = data ? open_in(folder, plan->name, ".gp", error) : NULL;
	FILE *page = script ? open_in(folder, plan->name, ".html", error) :
			      NULL;

	if (page) {
		write_data(data, plan, rows, count);
		write_script(script, plan, count);
		write_page(page, plan, rows, count);
		fclose(page);
	}
	if (script)
		fclose(script);
	if (data)
		fclose(data);
	return page != NULL;
}
