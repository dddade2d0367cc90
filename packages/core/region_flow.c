#include "core/region_flow.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/hash.h"

/* Weight of one choice in the wanted share: about the last 30 choices. */
#define WANTED_WEIGHT 0.03

/* Weight of one request in the excess: about the last 100. */
#define EXCESS_WEIGHT 0.01

/*
 * The same where the share is planned. The share of objects then follows the
 * excess, whose noise would move objects to and fro.
 */
#define PLANNED_EXCESS_WEIGHT 0.005

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

/*
 * The share of objects that leave. Preferences were seen at the share of
 * requests that it brings; a plan names the share of requests itself.
 */
static double wanted_objects(const struct region_flow *flow, bool is_planned)
{
	return is_planned ? CLAMP(flow->wanted - flow->excess, 0.0, 1.0) :
			    flow->wanted;
}

static void move_shares(struct region_flow *flow, bool is_planned,
			uint64_t now_us)
{
	uint64_t passed_us = now_us - flow->moved_us;
	double step;

	if (passed_us > MAX_STEP_US)
		passed_us = MAX_STEP_US;
	step = REGION_FLOW_STEP_PER_S * (double)passed_us / (double)US_PER_S;
	flow->moved_us = now_us;
	flow->share = step_towards(flow->share,
				   wanted_objects(flow, is_planned), step);
	flow->granted = step_towards(
		flow->granted,
		is_planned ? flow->wanted : flow->share + flow->excess, step);
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

/* Servers that were lost take nothing: their part leaves at once. */
static void raise_share(struct region_flow *flow)
{
	flow->share = fmax(flow->share, wanted_objects(flow, true));
	flow->granted = fmax(flow->granted, flow->wanted);
}

bool region_flow_leave(struct region_flow *flow,
		       const struct region_flow_request *request,
		       uint64_t now_us)
{
	double leave_wanted = request->prefers_to_leave ? 1.0 : 0.0;
	bool elsewhere;
	bool leave;

	if (request->is_planned)
		flow->wanted = request->wanted;
	else
		flow->wanted += WANTED_WEIGHT * (leave_wanted - flow->wanted);
	if (request->is_planned && request->skip_limits) {
		raise_share(flow);
		if (!request->has_near)
			return true;
	} else if (request->skip_limits) {
		flow->share = flow->wanted;
		flow->granted = flow->wanted;
		flow->moved_us = now_us;
		flow->credit = 0;
		return request->prefers_to_leave;
	}
	move_shares(flow, request->is_planned, now_us);
	elsewhere = request->has_object ?
			    belongs_elsewhere(flow, request->object) :
			    request->prefers_to_leave;
	if (request->has_object)
		flow->excess +=
			(request->is_planned ? PLANNED_EXCESS_WEIGHT :
					       EXCESS_WEIGHT) *
			((elsewhere ? 1.0 : 0.0) - flow->share - flow->excess);
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
