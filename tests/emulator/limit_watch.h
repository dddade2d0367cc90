/*
 * limit_watch - backend servers that name a rate, and a judge of what came
 *
 * From some moment on the servers name in each answer how many requests a
 * second they take from all nodes together. Sampled all the while, what came
 * to each within any WINDOW_MS must stay under 1.2 times that and 5 requests,
 * from a while after they first named it. Not thread-safe.
 */
#ifndef EMULATOR_LIMIT_WATCH_H
#define EMULATOR_LIMIT_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "standins/app_stand.h"

struct limit_watch;

/* The servers name the rate from from_ms after the start on. */
struct limit_watch *limit_watch_new(uv_loop_t *loop, double per_s,
				    uint64_t from_ms);
void limit_watch_add(struct limit_watch *watch, struct app_stand *stand);

/* Print what came; whether more came than may, or nothing did. */
bool limit_watch_report(const struct limit_watch *watch);

#endif
