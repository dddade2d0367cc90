#include "core/retry.h"

enum retry_decision retry_decide(const struct retry_state *state,
				 enum send_outcome outcome)
{
	if (state->left_us <= state->usual_us)
		return RETRY_NONE;
	if (outcome == SEND_UNREACHABLE)
		return state->unreachable < RETRY_MAX_UNREACHABLE ? RETRY_FREE :
								    RETRY_NONE;
	if (state->sends >= state->max_attempts)
		return RETRY_NONE;
	if (outcome == SEND_NOT_EXECUTED || state->idempotent)
		return RETRY_BUDGETED;
	return RETRY_NONE;
}
