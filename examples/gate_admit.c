/*
 * gate_admit - a gate that runs one request, queues one and refuses one
 *
 * One backend server with one slot. Time is simulated, so nothing here blocks.
 */
#include <inttypes.h>
#include <stdio.h>

#include "core/gate.h"

#define MS UINT64_C(1000)

static const char *const verdicts[] = { "run", "wait", "refuse" };

static struct gate_decision offer(struct gate *gate, const char *name,
				  uint64_t deadline_us, uint64_t now_us)
{
	struct gate_request request = { SERVICE_INTERACTIVE, deadline_us,
					(void *)name };
	struct gate_decision decision;

	gate_offer(gate, &request, now_us, &decision);
	printf("%3" PRIu64 " ms  %s: %s", now_us / MS, name,
	       verdicts[decision.verdict]);
	if (decision.verdict == GATE_REFUSE)
		printf(", %s, retry after %" PRIu64 " ms",
		       result_name(decision.refusal),
		       decision.retry_after_us / MS);
	putchar('\n');
	return decision;
}

int main(void)
{
	struct gate_backend_spec spec = { "historia-1", 1, 1, false, false };
	struct gate *gate = gate_new();
	struct gate_decision first;
	struct gate_grant grant;

	gate_set_backends(gate, &spec, 1, 1 * MS);
	first = offer(gate, "first", 1000 * MS, 1 * MS);
	offer(gate, "second", 1000 * MS, 2 * MS);
	offer(gate, "third", 4 * MS, 3 * MS);

	/* The first request's end frees the slot for the queued one. */
	gate_finish(gate, first.backend, GATE_ANSWERED, 40 * MS, 41 * MS);
	while (gate_next(gate, 41 * MS, &grant))
		printf(" 41 ms  %s: %s\n", (const char *)grant.waiter,
		       verdicts[grant.decision.verdict]);
	gate_free(gate);
	return 0;
}
