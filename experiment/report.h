/*
 * report - what variants made of a day, as a table and as a page with plots
 */
#ifndef EXPERIMENT_REPORT_H
#define EXPERIMENT_REPORT_H

#include <stdbool.h>
#include <stdio.h>

#include "experiment/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A variant's figures over all seeds: means, window by window. */
struct report_row {
	const char *name;
	uint32_t seeds;
	double worth; /* part of what was asked, 0 to 1 */
	double worst_windows;
	double in_aim;
	double late;
	double refused;
	double failed;
	double cold_runs; /* a day */
	double cut_runs;
	double far_part; /* of the runs */
	double p50_ms;
	double p99_ms;
	double *window_worth; /* part, for each window */
	uint32_t window_count;
};

void report_row_init(struct report_row *row, const char *name);
void report_row_add(struct report_row *row, const struct fleet_result *result);
void report_row_release(struct report_row *row);

/* The table; the last row is the bound, and parts are of it. */
void report_table(FILE *to, const struct plan *plan,
		  const struct report_row *rows, uint32_t count);

/*
 * A page into the folder, with the data and the gnuplot script of its plots;
 * "gnuplot NAME.gp" there draws them. RESULT_SYSTEM where it can't be written.
 */
bool report_page(const char *folder, const struct plan *plan,
		 const struct report_row *rows, uint32_t count, GError **error);

#ifdef __cplusplus
}
#endif

#endif
