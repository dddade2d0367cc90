#include "core/gate.h"

#include <glib.h>
#include <string.h>

#include "core/gate_queue.h"

/* What a request is taken to last before the first one has ended. */
#define DEFAULT_SERVICE_US 20000u
#define RETRY_AFTER_MIN_US 100000u

struct backend {
	char name[NAME_SIZE];
	uint32_t slots;
	uint32_t in_flight;
	uint32_t reported_in_flight;
	uint64_t reported_at_us;
	uint64_t latency_us;
	bool has_report;
	bool present; /* in the set; otherwise only its requests finish */
	bool leaving; /* by configuration or the platform */
	bool reported_leaving;
	bool cold;
	bool down;
};

struct gate {
	GPtrArray *backends; /* by handle; a freed one leaves NULL */
	struct gate_queue queue;
	uint64_t service_us;
};

static struct backend *backend_at(const struct gate *gate, uint32_t handle)
{
	if (handle >= gate->backends->len)
		return NULL;
	return g_ptr_array_index(gate->backends, handle);
}

static struct backend *find_backend(const struct gate *gate, const char *name)
{
	struct backend *backend;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (backend && backend->present && !strcmp(backend->name, name))
			return backend;
	}
	return NULL;
}

static struct backend *add_backend(struct gate *gate, const char *name)
{
	struct backend *backend = g_new0(struct backend, 1);
	uint32_t i;

	g_strlcpy(backend->name, name, sizeof(backend->name));
	for (i = 0; i < gate->backends->len; i++) {
		if (!backend_at(gate, i)) {
			gate->backends->pdata[i] = backend;
			return backend;
		}
	}
	g_ptr_array_add(gate->backends, backend);
	return backend;
}

static void drop_unused(struct gate *gate)
{
	struct backend *backend;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend || backend->present || backend->in_flight)
			continue;
		gate->backends->pdata[i] = NULL;
		g_free(backend);
	}
}

static bool is_usable(const struct backend *backend)
{
	return backend && backend->present && !backend->leaving &&
	       !backend->reported_leaving && !backend->down;
}

static uint32_t usable_slots(const struct gate *gate)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++)
		if (is_usable(backend_at(gate, i)))
			slots += backend_at(gate, i)->slots;
	return slots;
}

/* Handle of the least loaded backend server with a free slot. */
static bool choose_backend(const struct gate *gate, uint32_t *handle)
{
	const struct backend *backend;
	const struct backend *best = NULL;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!is_usable(backend) || backend->in_flight >= backend->slots)
			continue;
		if (best && (uint64_t)backend->in_flight * best->slots >=
				    (uint64_t)best->in_flight * backend->slots)
			continue;
		best = backend;
		*handle = i;
	}
	return best != NULL;
}

static void start_on(struct gate *gate, uint32_t handle,
		     struct gate_decision *decision)
{
	backend_at(gate, handle)->in_flight++;
	decision->verdict = GATE_RUN;
	decision->backend = handle;
}

static uint64_t expected_wait_us(const struct gate *gate)
{
	uint32_t slots = usable_slots(gate);
	uint32_t waiting = gate_queue_length(&gate->queue);

	if (!slots)
		return UINT32_MAX;
	return (waiting + 1) * gate->service_us / slots;
}

static void refuse(const struct gate *gate, enum result refusal,
		   struct gate_decision *decision)
{
	decision->verdict = GATE_REFUSE;
	decision->refusal = refusal;
	decision->retry_after_us = RETRY_AFTER_MIN_US;
	if (usable_slots(gate))
		decision->retry_after_us += expected_wait_us(gate);
}

uint32_t gate_share(uint32_t slots, uint32_t rank, uint32_t count)
{
	if (rank >= count)
		return 0;
	return slots / count + (rank < slots % count ? 1 : 0);
}

struct gate *gate_new(void)
{
	struct gate *gate = g_new0(struct gate, 1);

	gate->backends = g_ptr_array_new_with_free_func(g_free);
	gate_queue_init(&gate->queue);
	gate->service_us = DEFAULT_SERVICE_US;
	return gate;
}

void gate_free(struct gate *gate)
{
	if (!gate)
		return;
	gate_queue_release(&gate->queue);
	g_ptr_array_free(gate->backends, TRUE);
	g_free(gate);
}

void gate_set_backends(struct gate *gate, const struct gate_backend_spec *specs,
		       uint32_t count, uint64_t now_us)
{
	struct backend *backend;
	uint32_t i;

	(void)now_us;
	for (i = 0; i < gate->backends->len; i++)
		if (backend_at(gate, i))
			backend_at(gate, i)->present = false;
	for (i = 0; i < count; i++) {
		backend = NULL;
		for (uint32_t j = 0; j < gate->backends->len && !backend; j++)
			if (backend_at(gate, j) &&
			    !strcmp(backend_at(gate, j)->name, specs[i].name))
				backend = backend_at(gate, j);
		if (!backend)
			backend = add_backend(gate, specs[i].name);
		backend->present = true;
		backend->slots = specs[i].slots;
		backend->leaving = specs[i].leaving;
		backend->cold = specs[i].cold;
	}
	drop_unused(gate);
}

void gate_offer(struct gate *gate, const struct gate_request *request,
		uint64_t now_us, struct gate_decision *decision)
{
	struct gate_waiter waiter = {
		.waiter = request->waiter,
		.class_of = request->class_of,
		.deadline_us = request->deadline_us,
		.since_us = now_us,
	};
	uint32_t handle;

	memset(decision, 0, sizeof(*decision));
	if (request->deadline_us <= now_us) {
		refuse(gate, RESULT_DEADLINE_EXPIRED, decision);
		return;
	}
	if (now_us + gate->service_us > request->deadline_us) {
		refuse(gate, RESULT_DEADLINE_TOO_SHORT, decision);
		return;
	}
	if (!gate_queue_length(&gate->queue) && choose_backend(gate, &handle)) {
		start_on(gate, handle, decision);
		return;
	}
	if (gate_queue_length(&gate->queue) >= GATE_MAX_WAITING ||
	    now_us + expected_wait_us(gate) + gate->service_us >
		    request->deadline_us) {
		refuse(gate, RESULT_OVERLOAD, decision);
		return;
	}
	waiter.start_by_us = request->deadline_us - gate->service_us;
	gate_queue_push(&gate->queue, &waiter);
	decision->verdict = GATE_WAIT;
}

void gate_finish(struct gate *gate, uint32_t handle, enum gate_outcome outcome,
		 uint64_t service_us, uint64_t now_us)
{
	struct backend *backend = backend_at(gate, handle);

	(void)now_us;
	g_return_if_fail(backend && backend->in_flight);
	backend->in_flight--;
	if (outcome == GATE_ANSWERED) {
		backend->latency_us = service_us;
		gate->service_us += service_us / 8;
		gate->service_us -= gate->service_us / 8;
	}
	drop_unused(gate);
}

bool gate_next(struct gate *gate, uint64_t now_us, struct gate_grant *grant)
{
	struct gate_waiter waiter;
	uint32_t handle;

	memset(grant, 0, sizeof(*grant));
	if (gate_queue_pop_expired(&gate->queue, now_us, &waiter)) {
		grant->waiter = waiter.waiter;
		refuse(gate, RESULT_OVERLOAD, &grant->decision);
		return true;
	}
	if (!gate_queue_head(&gate->queue) || !choose_backend(gate, &handle))
		return false;
	gate_queue_pop(&gate->queue, &waiter);
	grant->waiter = waiter.waiter;
	start_on(gate, handle, &grant->decision);
	return true;
}

bool gate_cancel(struct gate *gate, const void *waiter)
{
	return gate_queue_remove(&gate->queue, waiter);
}

uint64_t gate_next_due_us(const struct gate *gate)
{
	uint64_t due_us = gate_queue_first_due_us(&gate->queue);

	return due_us == UINT64_MAX ? due_us : due_us + 1;
}

void gate_report(struct gate *gate, const char *backend_name,
		 uint32_t in_flight, bool leaving, uint64_t now_us)
{
	struct backend *backend = find_backend(gate, backend_name);

	if (!backend)
		return;
	backend->reported_in_flight = in_flight;
	backend->reported_leaving = leaving;
	backend->reported_at_us = now_us;
	backend->has_report = true;
}

void gate_probe(struct gate *gate, const char *backend_name, bool alive,
		uint64_t now_us)
{
	struct backend *backend = find_backend(gate, backend_name);

	(void)now_us;
	if (backend)
		backend->down = !alive;
}

const char *gate_backend_name(const struct gate *gate, uint32_t handle)
{
	const struct backend *backend = backend_at(gate, handle);

	return backend ? backend->name : NULL;
}

void gate_summarise(const struct gate *gate, uint64_t now_us,
		    struct gate_summary *summary)
{
	uint32_t i;

	(void)now_us;
	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < gate->backends->len; i++)
		if (backend_at(gate, i))
			summary->in_flight += backend_at(gate, i)->in_flight;
	summary->slots = usable_slots(gate);
	summary->waiting = gate_queue_length(&gate->queue);
	summary->service_us = gate->service_us;
	if (summary->in_flight >= summary->slots)
		summary->wait_us = expected_wait_us(gate);
}

bool gate_view(const struct gate *gate, uint32_t index, uint64_t now_us,
	       struct gate_backend_view *view)
{
	const struct backend *backend;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend || !backend->present || index--)
			continue;
		view->name = backend->name;
		view->slots = backend->slots;
		view->in_flight = backend->in_flight;
		view->reported_in_flight = backend->reported_in_flight;
		view->report_age_us = backend->has_report ?
					      now_us - backend->reported_at_us :
					      UINT64_MAX;
		view->latency_us = backend->latency_us;
		view->leaving = backend->leaving || backend->reported_leaving;
		view->down = backend->down;
		view->cold = backend->cold;
		return true;
	}
	return false;
}
