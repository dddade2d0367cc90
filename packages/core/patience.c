#include "core/patience.h"

#include <math.h>

/*
 * Share of the usual wait below which a caller is taken to have come back. A
 * rejection asks it to return within a third of its wait, so most that come
 * back state some two thirds.
 */
#define RETURN_FRACTION 0.75

/* Weight of one request in the usual wait. */
#define FIRST_WEIGHT 0.05

/*
 * Weight of one that seems to have come back: if all callers wait for less than
 * before, that becomes the usual wait after some thousand requests.
 */
#define RETURN_WEIGHT 0.002

/* Requests that all count as first attempts, until the usual wait is known. */
#define LEARN_REQUESTS 50

/* One that states far more than usual counts as this multiple at most. */
#define STATED_MAX 2.0

void patience_note(struct patience *patience, uint64_t stated_us)
{
	double stated = (double)stated_us;
	double weight = FIRST_WEIGHT;

	if (!stated_us)
		return;
	if (patience->usual_us <= 0)
		patience->usual_us = stated;
	stated = fmin(stated, STATED_MAX * patience->usual_us);
	if (patience->noted < LEARN_REQUESTS)
		patience->noted++;
	else if (stated < RETURN_FRACTION * patience->usual_us)
		weight = RETURN_WEIGHT;
	patience->usual_us += weight * (stated - patience->usual_us);
}

uint64_t patience_spent_us(const struct patience *patience, uint64_t stated_us)
{
	if (!stated_us || patience->noted < LEARN_REQUESTS ||
	    (double)stated_us >= RETURN_FRACTION * patience->usual_us)
		return 0;
	return (uint64_t)patience->usual_us - stated_us;
}
