#include <gsl/gsl_randist.h>
#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "experiment/fleet_parts.h"

/* Callers wait this much less than the deadline at most, as a part of it. */
#define PATIENCE_SPREAD 0.15

/* Callers wait this part of the time that they have before they come back. */
#define WAIT_PART (1.0 / 3.0)

/* Work lies between these parts of its mean. */
#define WORK_LEAST 0.3
#define WORK_MOST 3.0

/* A caller that finds no node tries again after so long. */
#define NO_NODE_US (300 * US_PER_MS)

static void on_try(struct fleet *fleet, void *subject);

static struct fleet_window *window_of(struct request *request)
{
	return &request->node->fleet->result->windows[request->window];
}

double draw_gap_us(struct fleet *fleet, double per_s)
{
	return gsl_ran_exponential(fleet->random, (double)US_PER_S / per_s);
}

void draw_request(struct fleet *fleet, uint32_t region, struct request *request)
{
	const struct plan *plan = fleet->plan;
	double part = 1.0 + gsl_ran_gaussian(fleet->random, 1.0) * plan->spread;
	double patience =
		1.0 - PATIENCE_SPREAD * gsl_rng_uniform(fleet->random);

	request->region = region;
	request->object =
		region * plan->objects +
		(uint32_t)gsl_rng_uniform_int(fleet->random, plan->objects);
	request->work_us =
		(double)plan->work_us * CLAMP(part, WORK_LEAST, WORK_MOST);
	request->begun_us = fleet->now_us;
	request->give_up_us = fleet->now_us +
			      (uint64_t)(patience * (double)plan->deadline_us);
	request->window = (uint32_t)(fleet->now_us / plan->window_us);
}

static void earn(struct request *request, double worth)
{
	window_of(request)->worth += worth;
	request->over = true;
	request->stage++;
}

void callers_answered(struct request *request)
{
	struct fleet *fleet = request->node->fleet;
	uint64_t took_us =
		fleet->now_us + fleet->plan->caller_us - request->begun_us;
	double took = (double)took_us;

	g_array_append_val(fleet->times, took);
	if (took_us <= fleet->plan->target_us) {
		window_of(request)->in_aim++;
		earn(request, 1.0);
	} else {
		window_of(request)->late++;
		earn(request, fleet->plan->late_worth);
	}
}

static bool try_again(struct request *request, uint64_t after_us)
{
	struct fleet *fleet = request->node->fleet;
	uint64_t at_us = fleet->now_us + after_us;

	if (request->tries > fleet->plan->retries ||
	    at_us >= request->give_up_us)
		return false;
	request->stage++;
	fleet_request_at(fleet, at_us, on_try, request);
	return true;
}

void callers_refused(struct request *request, uint64_t retry_after_us)
{
	struct fleet *fleet = request->node->fleet;
	double left_us = (double)request->give_up_us - (double)fleet->now_us;
	double wait_us = fmin((double)retry_after_us, WAIT_PART * left_us);

	if (wait_us > 0 && try_again(request, (uint64_t)wait_us))
		return;
	window_of(request)->refused++;
	earn(request, 0);
}

void callers_failed(struct request *request)
{
	if (request->node->fleet->plan->idempotent && try_again(request, 1))
		return;
	window_of(request)->failed++;
	earn(request, 0);
}

static void on_arrive(struct fleet *fleet, void *subject)
{
	struct request *request = subject;

	(void)fleet;
	if (request->node->up)
		node_take(request->node, request);
	else
		callers_failed(request);
}

static void on_try(struct fleet *fleet, void *subject)
{
	struct request *request = subject;

	request->node = nodes_draw(fleet, request->region);
	if (!request->node->up &&
	    fleet->now_us + NO_NODE_US < request->give_up_us) {
		fleet_request_at(fleet, fleet->now_us + NO_NODE_US, on_try,
				 request);
		return;
	}
	request->tries++;
	fleet_request_at(fleet, fleet->now_us + fleet->plan->caller_us,
			 on_arrive, request);
}

static void on_next(struct fleet *fleet, void *subject)
{
	uint32_t region = GPOINTER_TO_UINT(subject);
	const struct plan_region *callers = &fleet->plan->regions[region];
	struct request *request = g_new0(struct request, 1);

	g_ptr_array_add(fleet->requests, request);
	draw_request(fleet, region, request);
	request->node = &fleet->nodes[0];
	window_of(request)->asked++;
	on_try(fleet, request);
	fleet_at(fleet,
		 fleet->now_us + (uint64_t)draw_gap_us(
					 fleet, callers->per_s * fleet->burst),
		 on_next, subject);
}

void callers_start(struct fleet *fleet)
{
	uint32_t region;

	for (region = 0; region < fleet->plan->region_count; region++)
		if (fleet->plan->regions[region].per_s > 0)
			fleet_at(fleet, 0, on_next, GUINT_TO_POINTER(region));
}
