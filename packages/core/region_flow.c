#include "core/region_flow.h"

#include <math.h>

#include "core/duration.h"

/* Weight of one choice in the smoothed wish: about the last 30 choices. */
#define WISH_WEIGHT 0.03

/*
 * Most that the share moves a second. Two windows of 2 s next to each other
 * then differ by 0.06 on average, under the usual bound of 0.15 with room for
 * the noise of some hundred requests.
 */
#define STEP_PER_S 0.05

/*
 * Requests that may leave ahead of the share, and that are owed to it at most;
 * from CREDIT_DUE on one leaves although it would rather stay. The most lies
 * above that by more than one request, or a share near 1 would lose what it is
 * owed.
 */
#define CREDIT_LEAST (-1.0)
#define CREDIT_DUE 1.5
#define CREDIT_MOST 3.0

/* A stretch without requests allows one step of this length at most. */
#define STEP_MOST_US US_PER_S

static void move_share(struct region_flow *flow, uint64_t now_us)
{
	uint64_t passed_us = now_us - flow->moved_us;
	double step;

	if (passed_us > STEP_MOST_US)
		passed_us = STEP_MOST_US;
	step = STEP_PER_S * (double)passed_us / (double)US_PER_S;
	flow->moved_us = now_us;
	if (flow->wanted > flow->share)
		flow->share = fmin(flow->wanted, flow->share + step);
	else
		flow->share = fmax(flow->wanted, flow->share - step);
}

bool region_flow_leave(struct region_flow *flow, bool prefers_to_leave,
		       bool free, uint64_t now_us)
{
	bool leave;

	flow->wanted +=
		WISH_WEIGHT * ((prefers_to_leave ? 1.0 : 0.0) - flow->wanted);
	if (free) {
		flow->share = flow->wanted;
		flow->moved_us = now_us;
		flow->credit = 0;
		return prefers_to_leave;
	}
	move_share(flow, now_us);
	flow->credit = fmin(CREDIT_MOST, flow->credit + flow->share);
	if (prefers_to_leave)
		leave = flow->credit >= 0;
	else
		leave = flow->credit >= CREDIT_DUE;
	if (leave)
		flow->credit = fmax(CREDIT_LEAST, flow->credit - 1.0);
	return leave;
}
