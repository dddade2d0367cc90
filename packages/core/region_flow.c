#include "core/region_flow.h"

#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/hash.h"

/* Weight of one choice in the wanted share: about the last 30 choices. */
#define WANTED_WEIGHT 0.03

/*
 * Largest change of the share per second. Adjacent windows of 2 s then differ
 * by 0.06 on average, below the usual bound of 0.15 with a margin for the noise
 * of some hundred requests.
 */
#define STEP_PER_S 0.05

/* Weight of one request in the excess: about the last 100. */
#define EXCESS_WEIGHT 0.01

/*
 * Bounds of the credit, which is negative after more requests left than the
 * share allows. From CREDIT_DUE on, a request leaves although its object is
 * served here. The noise of some hundred requests stays within the bounds, so
 * that objects stay in their region; a larger jump is spread over seconds.
 * CREDIT_MAX exceeds CREDIT_DUE by more than one request, or a share near 1
 * would lose credit.
 */
#define CREDIT_MIN (-6.0)
#define CREDIT_DUE 6.0
#define CREDIT_MAX 8.0

/* CREDIT_DUE for requests without an object. */
#define CREDIT_DUE_WITHOUT_OBJECT 1.5

/*
 * Hashed with an object for its position in the order of those that leave,
 * which is then independent of the order of servers for the object.
 */
#define LEAVING_ORDER_SEED 0x1eaf1eafu

/* Longest time that one step accounts for, after a period without requests. */
#define MAX_STEP_US US_PER_S

static double step_towards(double from, double to, double max_step)
{
	return to > from ? fmin(to, from + max_step) :
			   fmax(to, from - max_step);
}

static void move_shares(struct region_flow *flow, uint64_t now_us)
{
	uint64_t passed_us = now_us - flow->moved_us;
	double step;

	if (passed_us > MAX_STEP_US)
		passed_us = MAX_STEP_US;
	step = STEP_PER_S * (double)passed_us / (double)US_PER_S;
	flow->moved_us = now_us;
	flow->share = step_towards(flow->share, flow->wanted, step);
	flow->granted =
		step_towards(flow->granted, flow->share + flow->excess, step);
}

void region_flow_init(struct region_flow *flow, double share)
{
	memset(flow, 0, sizeof(*flow));
	flow->share = share;
	flow->wanted = share;
	flow->granted = share;
}

static bool belongs_elsewhere(const struct region_flow *flow, uint32_t object)
{
	double position = (double)hash_pair(object, LEAVING_ORDER_SEED) /
			  18446744073709551616.0;

	return position < flow->share;
}

/* A request without an object needs no cache and waits for little credit. */
static double credit_needed(const struct region_flow_request *request,
			    bool elsewhere)
{
	if (request->has_object)
		return elsewhere ? CREDIT_MIN + 1.0 : CREDIT_DUE;
	return elsewhere ? 0 : CREDIT_DUE_WITHOUT_OBJECT;
}

bool region_flow_leave(struct region_flow *flow,
		       const struct region_flow_request *request,
		       uint64_t now_us)
{
	double leave_wanted = request->prefers_to_leave ? 1.0 : 0.0;
	bool elsewhere;
	bool leave;

	flow->wanted += WANTED_WEIGHT * (leave_wanted - flow->wanted);
	if (request->skip_limits) {
		flow->share = flow->wanted;
		flow->granted = flow->wanted;
		flow->moved_us = now_us;
		flow->credit = 0;
		return request->prefers_to_leave;
	}
	move_shares(flow, now_us);
	elsewhere = request->has_object ?
			    belongs_elsewhere(flow, request->object) :
			    request->prefers_to_leave;
	if (request->has_object)
		flow->excess += EXCESS_WEIGHT * ((elsewhere ? 1.0 : 0.0) -
						 flow->share - flow->excess);
	flow->credit = fmin(CREDIT_MAX, flow->credit + flow->granted);
	leave = flow->credit >= credit_needed(request, elsewhere);
	if (leave)
		flow->credit = fmax(CREDIT_MIN, flow->credit - 1.0);
	return leave;
}

bool region_flow_would_leave(const struct region_flow *flow,
			     const struct region_flow_request *request,
			     uint64_t now_us)
{
	struct region_flow tried = *flow;

	return region_flow_leave(&tried, request, now_us);
}
