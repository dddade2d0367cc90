#include "core/gate.h"

#include <float.h>
#include <glib.h>
#include <string.h>

#include "core/gate_backend.h"
#include "core/gate_queue.h"

/* Assumed service time until the first request has ended. */
#define DEFAULT_SERVICE_US 20000u

/*
 * Maximum waits, in mean service times. A queue that was empty recently absorbs
 * a burst and may use MAX_WAIT_BURST. A standing queue means overload, where
 * waiting only makes answers late; MAX_WAIT_STANDING applies to it.
 */
#define MAX_WAIT_BURST 2.5
#define MAX_WAIT_STANDING 1.75
#define MAX_WAIT_NON_IDEMPOTENT 8.0
/* So many may always wait; otherwise slots idle where there are few. */
#define MIN_QUEUE_REQUESTS 4
/* A queue is standing after the longer of 100 ms and 5 mean service times. */
#define STANDING_MIN_US (100 * 1000ull)
#define STANDING_SERVICE_TIMES 5

/* A server this much slower than others is used only if those have a queue. */
#define SLOW_FACTOR 1.5
/* Fraction of the maximum wait up to which requests wait for faster ones. */
#define FAST_BACKEND_WAIT_FACTOR 0.65

/* Estimates without an answer for longer don't refuse requests. */
#define ESTIMATE_MAX_AGE_US (1 * 1000 * 1000ull)

/* Score factor of a server on trial, for requests that can't be retried. */
#define TRIAL_PENALTY 1000.0

/* Maximum of the expected wait in a retry-after time. */
#define RETRY_AFTER_MAX_WAIT_US (1 * 1000 * 1000ull)
#define RETRY_AFTER_MIN_US (100 * 1000ull)
#define RETRY_AFTER_MAX_US (30 * 1000 * 1000ull)
/* Retry-after times are 1 + this times as long if all are refused. */
#define RETRY_AFTER_GROWTH 15.0
/* Weight of the latest decision in the moving average of refusals. */
#define REFUSAL_RATE_GAIN (1.0 / 32)

struct gate {
	GPtrArray *backends; /* by handle; NULL: a free handle */
	struct gate_queue queue;
	struct gate_estimate service;
	uint64_t last_now_us; /* of the latest offer, finish, next or set */
	uint64_t queue_empty_us; /* last time without an urgent waiter */
	double refusal_rate; /* moving average, 0 to 1 */
	uint32_t refusal_count; /* seeds the jitter of retry-after times */
};

static struct gate_backend *backend_at(const struct gate *gate, uint32_t handle)
{
	if (handle >= gate->backends->len)
		return NULL;
	return g_ptr_array_index(gate->backends, handle);
}

/* By name, also a removed one that still has requests in flight. */
static struct gate_backend *find_backend(const struct gate *gate,
					 const char *name)
{
	struct gate_backend *backend;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (backend && !strcmp(backend->name, name))
			return backend;
	}
	return NULL;
}

static struct gate_backend *add_backend(struct gate *gate, const char *name)
{
	struct gate_backend *backend = g_new0(struct gate_backend, 1);
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

static void free_unused_backends(struct gate *gate)
{
	struct gate_backend *backend;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend || backend->present || backend->in_flight)
			continue;
		gate->backends->pdata[i] = NULL;
		g_free(backend);
	}
}

static uint64_t service_us(const struct gate *gate)
{
	if (gate->service.weight == 0.0)
		return DEFAULT_SERVICE_US;
	return (uint64_t)gate->service.mean_us;
}

static uint32_t usable_slots(const struct gate *gate, uint64_t now_us)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++)
		if (backend_at(gate, i))
			slots +=
				gate_backend_limit(backend_at(gate, i), now_us);
	return slots;
}

/* Requests completed per microsecond when all usable slots are busy. */
static double completion_rate(const struct gate *gate, uint64_t now_us)
{
	uint64_t mean_us = service_us(gate);
	const struct gate_backend *backend;
	double rate = 0.0;
	uint64_t latency_us;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend)
			continue;
		latency_us = gate_backend_latency_us(backend, mean_us, now_us);
		rate += (double)gate_backend_limit(backend, now_us) /
			(double)(latency_us + 1);
	}
	return rate;
}

/* Earliest end of a backend server's pause; UINT64_MAX if none is paused. */
static uint64_t first_resume_us(const struct gate *gate, uint64_t now_us)
{
	uint64_t first_us = UINT64_MAX;
	uint64_t resume_us;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		if (!backend_at(gate, i))
			continue;
		resume_us = gate_backend_resume_us(backend_at(gate, i), now_us);
		first_us = MIN(first_us, resume_us);
	}
	return first_us;
}

static bool any_eligible(const struct gate *gate)
{
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++)
		if (backend_at(gate, i) &&
		    gate_backend_is_eligible(backend_at(gate, i)))
			return true;
	return false;
}

/* Queued requests of all classes but background. */
static uint32_t urgent_waiting(const struct gate *gate)
{
	return gate_queue_length(&gate->queue) -
	       gate_queue_class_length(&gate->queue, SERVICE_BACKGROUND);
}

/* Queued requests that get a slot before a new one of this class. */
static uint32_t waiting_ahead(const struct gate *gate,
			      enum service_class class_of)
{
	uint32_t background =
		gate_queue_class_length(&gate->queue, SERVICE_BACKGROUND);
	uint32_t urgent = urgent_waiting(gate);

	if (class_of == SERVICE_BACKGROUND)
		return background +
		       MIN(urgent, background * (GATE_QUEUE_CYCLE - 1));
	return urgent + MIN(background, urgent / (GATE_QUEUE_CYCLE - 1));
}

/* Expected wait of a new request of this class when all slots are busy. */
static uint64_t expected_wait_us(const struct gate *gate,
				 enum service_class class_of, uint64_t now_us)
{
	double rate = completion_rate(gate, now_us);
	uint64_t resume_us;

	if (rate > 0.0)
		return (uint64_t)((waiting_ahead(gate, class_of) + 1) / rate);
	resume_us = first_resume_us(gate, now_us);
	return resume_us == UINT64_MAX ? UINT64_MAX / 4 : (resume_us - now_us);
}

/* Maximum wait of a request of this class, apart from its deadline. */
static uint64_t max_wait_us(const struct gate *gate,
			    enum service_class class_of, uint64_t now_us)
{
	uint64_t mean_us = service_us(gate);
	uint64_t standing_us =
		MAX(STANDING_MIN_US, mean_us * STANDING_SERVICE_TIMES);
	double rate = completion_rate(gate, now_us);
	double bound_us;

	if (class_of == SERVICE_BACKGROUND)
		return UINT64_MAX / 4;
	if (class_of == SERVICE_NON_IDEMPOTENT)
		bound_us = MAX_WAIT_NON_IDEMPOTENT * (double)mean_us;
	else if (now_us < gate->queue_empty_us + standing_us)
		bound_us = MAX_WAIT_BURST * (double)mean_us;
	else
		bound_us = MAX_WAIT_STANDING * (double)mean_us;
	if (rate > 0.0)
		bound_us = MAX(bound_us, MIN_QUEUE_REQUESTS / rate);
	return (uint64_t)bound_us;
}

static uint64_t best_latency_us(const struct gate *gate, uint64_t now_us)
{
	uint64_t mean_us = service_us(gate);
	const struct gate_backend *backend;
	uint64_t best_us = UINT64_MAX;
	uint64_t latency_us;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend || !gate_backend_limit(backend, now_us))
			continue;
		latency_us = gate_backend_latency_us(backend, mean_us, now_us);
		best_us = MIN(best_us, latency_us);
	}
	return best_us == UINT64_MAX ? mean_us : best_us;
}

/*
 * Whether latency estimates may refuse a request. If all requests were refused
 * for too short deadlines, no answer would correct a wrong estimate and the
 * refusals would never end; so an estimate without a recent answer isn't used.
 */
static bool estimate_is_recent(const struct gate *gate, uint64_t now_us)
{
	return gate->service.weight > 0.0 &&
	       now_us < gate->service.updated_at_us + ESTIMATE_MAX_AGE_US;
}

/*
 * Whether to wait for one of the faster servers rather than start on a slow one
 * at once: the last request in the queue would then still be answered sooner,
 * and the queue is short. With a longer queue every slot is needed.
 */
static bool better_to_wait(const struct gate *gate,
			   const struct gate_backend *slow, uint64_t now_us)
{
	uint64_t mean_us = service_us(gate);
	double slow_us = (double)gate_backend_latency_us(slow, mean_us, now_us);
	double fast_rate = 0.0;
	double fast_slots = 0.0;
	double wait_us;
	double latency_us;
	const struct gate_backend *backend;
	uint32_t limit;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		limit = backend ? gate_backend_limit(backend, now_us) : 0;
		if (!limit)
			continue;
		latency_us = (double)gate_backend_latency_us(backend, mean_us,
							     now_us);
		if (latency_us * SLOW_FACTOR > slow_us)
			continue;
		fast_rate += limit / (latency_us + 1);
		fast_slots += limit;
	}
	if (fast_slots == 0.0)
		return false;
	wait_us = (urgent_waiting(gate) + 1) / fast_rate;
	return wait_us + fast_slots / fast_rate < slow_us &&
	       wait_us < FAST_BACKEND_WAIT_FACTOR *
				 (double)max_wait_us(gate, SERVICE_INTERACTIVE,
						     now_us);
}

/* Whether a request that starts there now would probably end too late. */
static bool would_miss_deadline(const struct gate *gate,
				const struct gate_backend *backend,
				uint64_t deadline_us, uint64_t now_us)
{
	return estimate_is_recent(gate, now_us) &&
	       now_us + gate_backend_latency_us(backend, service_us(gate),
						now_us) >
		       deadline_us;
}

/* Get the best backend server with a free slot; false if there is none. */
static bool find_free_backend(const struct gate *gate,
			      enum service_class class_of, uint64_t deadline_us,
			      uint64_t now_us, uint32_t *handle)
{
	uint64_t mean_us = service_us(gate);
	const struct gate_backend *backend;
	double best_score = DBL_MAX;
	bool found = false;
	double score;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend ||
		    backend->in_flight >= gate_backend_limit(backend, now_us) ||
		    would_miss_deadline(gate, backend, deadline_us, now_us))
			continue;
		score = gate_backend_score(backend, mean_us, now_us);
		/*
		 * A trial may fail, and a request that isn't idempotent can't
		 * be retried then: other servers are preferred.
		 */
		if (class_of == SERVICE_NON_IDEMPOTENT &&
		    backend->state != GATE_BACKEND_UP)
			score *= TRIAL_PENALTY;
		if (score >= best_score)
			continue;
		found = true;
		best_score = score;
		*handle = i;
	}
	return found;
}

/* The same, but also false where waiting for a faster one is better. */
static bool choose_backend(const struct gate *gate, enum service_class class_of,
			   uint64_t deadline_us, uint64_t now_us,
			   uint32_t *handle)
{
	if (!find_free_backend(gate, class_of, deadline_us, now_us, handle))
		return false;
	return class_of == SERVICE_BACKGROUND ||
	       !better_to_wait(gate, backend_at(gate, *handle), now_us);
}

static void start_request(struct gate *gate, uint32_t handle,
			  struct gate_decision *decision)
{
	gate_backend_start(backend_at(gate, handle));
	gate->refusal_rate -= REFUSAL_RATE_GAIN * gate->refusal_rate;
	decision->verdict = GATE_RUN;
	decision->backend = handle;
}

/*
 * Callers refused at the same time must not retry at the same time. The time
 * grows with the fraction of requests refused and is spread evenly over 0.5 to
 * 1.5 times its value by a golden-ratio sequence over the refusals.
 */
static uint64_t retry_after_us(struct gate *gate, uint64_t now_us)
{
	uint64_t wait_us = expected_wait_us(gate, SERVICE_INTERACTIVE, now_us);
	double base_us = (double)(service_us(gate) +
				  MIN(wait_us, RETRY_AFTER_MAX_WAIT_US));
	double spread = (gate->refusal_count++ * 2654435769u) / 4294967296.0;

	base_us *= 1.0 +
		   RETRY_AFTER_GROWTH * gate->refusal_rate * gate->refusal_rate;
	base_us = CLAMP(base_us, (double)RETRY_AFTER_MIN_US,
			(double)RETRY_AFTER_MAX_US);
	return (uint64_t)(base_us * (0.5 + spread));
}

static void refuse(struct gate *gate, enum result refusal, uint64_t now_us,
		   struct gate_decision *decision)
{
	gate->refusal_rate += REFUSAL_RATE_GAIN * (1.0 - gate->refusal_rate);
	decision->verdict = GATE_REFUSE;
	decision->refusal = refusal;
	decision->retry_after_us = retry_after_us(gate, now_us);
}

static void note_empty_queue(struct gate *gate, uint64_t now_us)
{
	if (!urgent_waiting(gate))
		gate->queue_empty_us = now_us;
}

static bool deadline_too_short(const struct gate *gate, uint64_t deadline_us,
			       uint64_t now_us)
{
	return estimate_is_recent(gate, now_us) &&
	       now_us + best_latency_us(gate, now_us) > deadline_us;
}

/*
 * Run or refuse a request whose start time is over. A slow server may have a
 * free slot, kept unused while the request waited for a faster server that
 * didn't become free, for instance because it hangs: use the slow one then.
 */
static void end_wait(struct gate *gate, const struct gate_waiter *waiter,
		     uint64_t now_us, struct gate_decision *decision)
{
	uint32_t handle;

	if (now_us < waiter->deadline_us &&
	    find_free_backend(gate, waiter->class_of, waiter->deadline_us,
			      now_us, &handle))
		start_request(gate, handle, decision);
	else
		refuse(gate, RESULT_OVERLOAD, now_us, decision);
}

/* Queue a request, or refuse it if it wouldn't get a slot in time. */
static void wait_or_refuse(struct gate *gate,
			   const struct gate_request *request, uint64_t now_us,
			   struct gate_decision *decision)
{
	uint64_t wait_us = expected_wait_us(gate, request->class_of, now_us);
	uint64_t bound_us = max_wait_us(gate, request->class_of, now_us);
	uint64_t answer_us = best_latency_us(gate, now_us);
	struct gate_waiter waiter = {
		.waiter = request->waiter,
		.class_of = request->class_of,
		.deadline_us = request->deadline_us,
		.enqueued_us = now_us,
	};

	if (gate_queue_length(&gate->queue) >= GATE_MAX_WAITING ||
	    wait_us > bound_us ||
	    now_us + wait_us + answer_us > request->deadline_us) {
		refuse(gate, RESULT_OVERLOAD, now_us, decision);
		return;
	}
	waiter.start_by_us =
		MIN(request->deadline_us - answer_us, now_us + bound_us);
	if (gate_queue_push(&gate->queue, &waiter))
		decision->verdict = GATE_WAIT;
	else
		refuse(gate, RESULT_OVERLOAD, now_us, decision);
}

/*
 * Take a waiter out of the queue whose start time ends before any backend
 * server is usable again.
 */
static bool pop_unservable(struct gate *gate, uint64_t now_us,
			   struct gate_waiter *waiter)
{
	if (!gate_queue_length(&gate->queue) || usable_slots(gate, now_us))
		return false;
	return gate_queue_pop_expired(&gate->queue,
				      first_resume_us(gate, now_us), waiter);
}

/*
 * Failed requests are often caused by a dependency that all servers share.
 * Marking one server down after the other would then put the load of all on the
 * last one. So failed requests mark a server down only while the remaining
 * servers have at least half of all slots and can hold the requests in flight
 * there. An unreachable server is always marked down, since it answers nothing,
 * and so is one on trial.
 */
static bool may_mark_down(const struct gate *gate,
			  const struct gate_backend *candidate, uint64_t now_us)
{
	const struct gate_backend *backend;
	uint32_t left = 0;
	uint32_t all = 0;
	uint32_t in_flight = 0;
	uint32_t i;

	if (gate_backend_is_unreachable(candidate) ||
	    candidate->state == GATE_BACKEND_TRIAL)
		return true;
	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend || !gate_backend_is_eligible(backend))
			continue;
		all += backend->slots;
		if (backend == candidate)
			continue;
		left += gate_backend_limit(backend, now_us);
		in_flight += backend->in_flight;
	}
	return left * 2 >= all && left >= in_flight;
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
	struct gate_backend *backend;
	uint32_t i;

	gate->last_now_us = now_us;
	for (i = 0; i < gate->backends->len; i++)
		if (backend_at(gate, i))
			backend_at(gate, i)->present = false;
	for (i = 0; i < count; i++) {
		backend = find_backend(gate, specs[i].name);
		if (!backend)
			backend = add_backend(gate, specs[i].name);
		gate_backend_configure(backend, &specs[i]);
	}
	free_unused_backends(gate);
}

void gate_offer(struct gate *gate, const struct gate_request *request,
		uint64_t now_us, struct gate_decision *decision)
{
	uint32_t handle;

	memset(decision, 0, sizeof(*decision));
	gate->last_now_us = now_us;
	note_empty_queue(gate, now_us);
	if (request->deadline_us <= now_us)
		refuse(gate, RESULT_DEADLINE_EXPIRED, now_us, decision);
	else if (!any_eligible(gate))
		refuse(gate, RESULT_NO_PLACE, now_us, decision);
	else if (deadline_too_short(gate, request->deadline_us, now_us))
		refuse(gate, RESULT_DEADLINE_TOO_SHORT, now_us, decision);
	else if (!gate_queue_length(&gate->queue) &&
		 choose_backend(gate, request->class_of, request->deadline_us,
				now_us, &handle))
		start_request(gate, handle, decision);
	else
		wait_or_refuse(gate, request, now_us, decision);
}

void gate_finish(struct gate *gate, uint32_t handle, enum gate_outcome outcome,
		 uint64_t served_us, uint64_t now_us)
{
	struct gate_backend *backend = backend_at(gate, handle);

	g_return_if_fail(backend && backend->in_flight);
	gate->last_now_us = now_us;
	if (gate_backend_record_outcome(backend, outcome, served_us, now_us) &&
	    may_mark_down(gate, backend, now_us))
		gate_backend_mark_down(backend, now_us);
	if (outcome == GATE_ANSWERED)
		gate_estimate_add(&gate->service, served_us, now_us);
	free_unused_backends(gate);
}

bool gate_next(struct gate *gate, uint64_t now_us, struct gate_grant *grant)
{
	const struct gate_waiter *head;
	struct gate_waiter waiter;
	uint32_t handle;

	memset(grant, 0, sizeof(*grant));
	gate->last_now_us = now_us;
	if (gate_queue_pop_expired(&gate->queue, now_us, &waiter) ||
	    pop_unservable(gate, now_us, &waiter)) {
		grant->waiter = waiter.waiter;
		end_wait(gate, &waiter, now_us, &grant->decision);
		return true;
	}
	head = gate_queue_head(&gate->queue);
	if (!head || !choose_backend(gate, head->class_of, head->deadline_us,
				     now_us, &handle))
		return false;
	gate_queue_pop(&gate->queue, &waiter);
	note_empty_queue(gate, now_us);
	grant->waiter = waiter.waiter;
	start_request(gate, handle, &grant->decision);
	return true;
}

bool gate_cancel(struct gate *gate, const void *waiter)
{
	return gate_queue_remove(&gate->queue, waiter);
}

uint64_t gate_next_due_us(const struct gate *gate)
{
	uint64_t due_us = gate_queue_first_due_us(&gate->queue);

	if (due_us == UINT64_MAX)
		return UINT64_MAX;
	return MIN(due_us + 1, first_resume_us(gate, gate->last_now_us));
}

void gate_record_report(struct gate *gate, const char *backend_name,
			uint32_t in_flight, bool leaving, uint64_t now_us)
{
	struct gate_backend *backend = find_backend(gate, backend_name);

	if (backend)
		gate_backend_record_report(backend, in_flight, leaving, now_us);
}

void gate_record_probe(struct gate *gate, const char *backend_name, bool alive,
		       uint64_t now_us)
{
	struct gate_backend *backend = find_backend(gate, backend_name);

	if (backend)
		gate_backend_record_probe(backend, alive, now_us);
}

bool gate_has_reported_leaving(const struct gate *gate,
			       const char *backend_name)
{
	const struct gate_backend *backend = find_backend(gate, backend_name);

	return backend && backend->reported_leaving;
}

const char *gate_backend_name(const struct gate *gate, uint32_t handle)
{
	const struct gate_backend *backend = backend_at(gate, handle);

	return backend ? backend->name : NULL;
}

void gate_summarise(const struct gate *gate, uint64_t now_us,
		    struct gate_summary *summary)
{
	uint32_t i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < gate->backends->len; i++)
		if (backend_at(gate, i))
			summary->in_flight += backend_at(gate, i)->in_flight;
	summary->slots = usable_slots(gate, now_us);
	summary->waiting = gate_queue_length(&gate->queue);
	summary->service_us = service_us(gate);
	if (summary->in_flight >= summary->slots)
		summary->wait_us =
			expected_wait_us(gate, SERVICE_INTERACTIVE, now_us);
}

bool gate_view(const struct gate *gate, uint32_t index, uint64_t now_us,
	       struct gate_backend_view *view)
{
	const struct gate_backend *backend;
	uint32_t i;

	for (i = 0; i < gate->backends->len; i++) {
		backend = backend_at(gate, i);
		if (!backend || !backend->present || index--)
			continue;
		view->name = backend->name;
		view->slots = backend->slots;
		view->in_flight = backend->in_flight;
		view->reported_in_flight = backend->reported_in_flight;
		view->report_age_us = backend->reported ?
					      now_us - backend->reported_at_us :
					      UINT64_MAX;
		view->latency_us = (uint64_t)backend->latency.mean_us;
		view->leaving = backend->leaving || backend->reported_leaving;
		view->down = backend->state != GATE_BACKEND_UP;
		view->cold = backend->ramp_slots < backend->slots;
		return true;
	}
	return false;
}
