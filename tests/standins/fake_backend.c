#include "standins/fake_backend.h"

#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/wire.h"

#define SPREAD 0.3 /* of the logarithm of the service time */
#define LONGEST_FACTOR 20.0
#define SLICE_US 10000 /* between looks at faults and closed connections */
#define HOLD_US (120 * 1000 * 1000ull) /* longest that a silence is held */
#define NS_PER_S 1000000000L
#define NO_DEADLINE UINT64_MAX
#define HEADERS_NOT_RUN WIRE_HEADER_BACKEND_NOT_RUN ": 1\r\n"

struct faults {
	uint64_t slow_permille;
	bool frozen;
	bool shed;
	bool unhealthy;
	bool leaving;
	bool stale_load;
	int64_t claimed_load; /* negative: none */
	uint64_t drop_answers;
	uint64_t silent_before_us; /* connections opened before are silent */
};

struct counters {
	uint64_t started;
	uint64_t answered;
	uint64_t shed;
	uint64_t cancelled;
	uint64_t expired;
	uint64_t unanswered; /* ran, and no answer was sent */
	uint64_t late_starts; /* started while leaving */
	uint64_t last_start_us;
};

struct fake_backend {
	struct fake_backend_spec spec;
	struct run_book *book;
	struct event_log *log;
	struct standin_server *server; /* NULL: down; control calls only */
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t slot_freed;
	GRand *rand;
	uint32_t running;
	uint32_t queued;
	uint32_t most_running;
	uint32_t cold_left; /* requests until it is warm */
	uint32_t stale_running; /* what /load stays at */
	bool stale_leaving;
	struct faults faults;
	struct counters counters;
};

/* One request that asks for work. */
struct work {
	struct fake_backend *backend;
	struct mg_connection *conn;
	int fd;
	const char *id;
	const char *ticket;
	const char *attempt;
	uint64_t deadline_us; /* on the clock */
	uint64_t start_us;
	uint64_t end_us; /* when its slot was free again */
	uint64_t service_us;
	uint32_t runs;
};

enum admission {
	ADMITTED,
	SHED_BY_FAULT,
	SHED_FULL,
	SHED_EXPIRED,
	SHED_CANCELLED,
};

enum outcome {
	OUTCOME_ANSWERED,
	OUTCOME_CANCELLED,
	OUTCOME_EXPIRED,
	OUTCOME_UNANSWERED,
};

static const char *const admission_names[] = {
	[ADMITTED] = "admitted",	[SHED_BY_FAULT] = "fault",
	[SHED_FULL] = "full",		[SHED_EXPIRED] = "expired",
	[SHED_CANCELLED] = "cancelled",
};

static const char *const outcome_names[] = {
	[OUTCOME_ANSWERED] = "answered",
	[OUTCOME_CANCELLED] = "cancelled",
	[OUTCOME_EXPIRED] = "expired",
	[OUTCOME_UNANSWERED] = "unanswered",
};

static const char *header_or(const struct mg_connection *conn, const char *name,
			     const char *otherwise)
{
	const char *value = mg_get_header(conn, name);

	return value ? value : otherwise;
}

static bool is_silent(struct fake_backend *backend,
		      const struct mg_connection *conn)
{
	bool silent;

	pthread_mutex_lock(&backend->lock);
	silent = standin_opened_us(conn) < backend->faults.silent_before_us;
	pthread_mutex_unlock(&backend->lock);
	return silent;
}

static bool is_frozen(struct fake_backend *backend)
{
	bool frozen;

	pthread_mutex_lock(&backend->lock);
	frozen = backend->faults.frozen;
	pthread_mutex_unlock(&backend->lock);
	return frozen;
}

/* Keep the connection open and say nothing until the peer closes it. */
static int hold_silent(struct mg_connection *conn)
{
	standin_wait_open(standin_socket(conn), HOLD_US);
	return standin_drop(conn);
}

/* A frozen process goes on where it was; false if the peer closed meanwhile. */
static bool wait_while_frozen(struct fake_backend *backend, int fd)
{
	while (is_frozen(backend))
		if (!standin_wait_open(fd, SLICE_US))
			return false;
	return true;
}

/* Standard normal draw, by Box and Muller. */
static double draw_normal(GRand *rand)
{
	double radius = sqrt(-2.0 * log(1.0 - g_rand_double(rand)));

	return radius * cos(2.0 * G_PI * g_rand_double(rand));
}

/* Factor by which the next request is slower for a cold backend server. */
static double take_cold_factor(struct fake_backend *backend)
{
	const struct fake_backend_spec *spec = &backend->spec;
	double extra = spec->cold_permille / 1000.0 - 1.0;

	if (!backend->cold_left || !spec->cold_requests)
		return 1.0;
	extra *= (double)backend->cold_left / spec->cold_requests;
	backend->cold_left--;
	return 1.0 + extra;
}

static uint64_t draw_service_us(struct fake_backend *backend)
{
	double factor = exp(SPREAD * draw_normal(backend->rand));

	factor = MIN(factor, LONGEST_FACTOR);
	factor *= take_cold_factor(backend);
	factor *= (double)backend->faults.slow_permille / 1000.0;
	factor *= 1000.0 / backend->spec.strength_permille;
	return (uint64_t)((double)backend->spec.service_us * factor);
}

static json_t *work_event(const struct work *work, const char *event)
{
	return json_pack("{s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "t_us",
			 (json_int_t)event_now_us(), "who", "backend", "event",
			 event, "backend", work->backend->spec.name, "service",
			 work->backend->spec.service, "id", work->id, "ticket",
			 work->ticket, "attempt", work->attempt);
}

static void log_start(const struct work *work, bool leaving)
{
	json_t *event = work_event(work, "start");

	json_object_set_new(event, "runs", json_integer(work->runs));
	json_object_set_new(event, "leaving", json_boolean(leaving));
	event_log_write(work->backend->log, event);
}

static void log_end(const struct work *work, enum outcome outcome)
{
	json_t *event = work_event(work, "end");

	json_object_set_new(event, "runs", json_integer(work->runs));
	json_object_set_new(event, "start_us",
			    json_integer((json_int_t)work->start_us));
	json_object_set_new(event, "end_us",
			    json_integer((json_int_t)work->end_us));
	json_object_set_new(event, "outcome",
			    json_string(outcome_names[outcome]));
	event_log_write(work->backend->log, event);
}

static void log_shed(const struct work *work, enum admission admission)
{
	json_t *event = work_event(work, "shed");

	json_object_set_new(event, "reason",
			    json_string(admission_names[admission]));
	event_log_write(work->backend->log, event);
}

/* When a waiter next looks at its deadline and connection. */
static struct timespec slice_end(void)
{
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_nsec += SLICE_US * 1000;
	if (end.tv_nsec >= NS_PER_S) {
		end.tv_nsec -= NS_PER_S;
		end.tv_sec++;
	}
	return end;
}

/* Wait for a slot; called and returns with the lock held. */
static enum admission wait_for_slot(struct work *work)
{
	struct fake_backend *backend = work->backend;
	enum admission admission = ADMITTED;

	backend->queued++;
	while (backend->running >= backend->spec.slots) {
		struct timespec end = slice_end();

		pthread_cond_clockwait(&backend->slot_freed, &backend->lock,
				       CLOCK_MONOTONIC, &end);
		if (event_now_us() >= work->deadline_us)
			admission = SHED_EXPIRED;
		else if (!standin_wait_open(work->fd, 0))
			admission = SHED_CANCELLED;
		if (admission != ADMITTED)
			break;
	}
	backend->queued--;
	return admission;
}

/* Called with the lock held. */
static enum admission decide(struct work *work)
{
	struct fake_backend *backend = work->backend;

	if (backend->faults.shed)
		return SHED_BY_FAULT;
	if (event_now_us() >= work->deadline_us)
		return SHED_EXPIRED;
	if (backend->running < backend->spec.slots)
		return ADMITTED;
	if (backend->queued >= backend->spec.queue)
		return SHED_FULL;
	return wait_for_slot(work);
}

static enum admission admit(struct work *work)
{
	struct fake_backend *backend = work->backend;
	struct counters *counters = &backend->counters;
	enum admission admission;
	bool leaving;

	pthread_mutex_lock(&backend->lock);
	admission = decide(work);
	leaving = backend->faults.leaving;
	if (admission == ADMITTED) {
		backend->running++;
		backend->most_running =
			MAX(backend->most_running, backend->running);
		work->start_us = event_now_us();
		work->service_us = draw_service_us(backend);
		counters->started++;
		counters->late_starts += leaving;
		counters->last_start_us = work->start_us;
	} else {
		counters->shed++;
	}
	pthread_mutex_unlock(&backend->lock);
	if (admission != ADMITTED) {
		log_shed(work, admission);
		return admission;
	}
	work->runs =
		run_book_add(backend->book, backend->spec.service, work->id);
	log_start(work, leaving);
	return ADMITTED;
}

/*
 * False where the connection closed before. The close of a silent one doesn't
 * get through, so that its work runs on.
 */
static bool wait_until(const struct work *work, uint64_t until_us)
{
	uint64_t now_us = event_now_us();
	bool open = true;

	while (open && now_us < until_us) {
		open = standin_wait_open(work->fd, until_us - now_us);
		now_us = event_now_us();
	}
	if (open || !is_silent(work->backend, work->conn))
		return open;
	if (now_us < until_us)
		g_usleep(until_us - now_us);
	return true;
}

/* Spend the service time; what cut it short, if anything did. */
static enum outcome spend_service_time(const struct work *work)
{
	uint64_t end_us = work->start_us + work->service_us;
	uint64_t stop_us = MIN(end_us, work->deadline_us);

	if (!wait_until(work, stop_us))
		return OUTCOME_CANCELLED;
	if (!wait_while_frozen(work->backend, work->fd))
		return OUTCOME_CANCELLED;
	return stop_us < end_us ? OUTCOME_EXPIRED : OUTCOME_ANSWERED;
}

static enum outcome take_unanswered_fault(const struct work *work,
					  enum outcome outcome)
{
	struct fake_backend *backend = work->backend;

	if (outcome != OUTCOME_ANSWERED)
		return outcome;
	if (standin_opened_us(work->conn) < backend->faults.silent_before_us)
		return OUTCOME_UNANSWERED;
	if (!backend->faults.drop_answers)
		return OUTCOME_ANSWERED;
	backend->faults.drop_answers--;
	return OUTCOME_UNANSWERED;
}

/* Give the slot back; the outcome after the faults had their say. */
static enum outcome finish(struct work *work, enum outcome outcome)
{
	struct fake_backend *backend = work->backend;
	struct counters *counters = &backend->counters;

	pthread_mutex_lock(&backend->lock);
	outcome = take_unanswered_fault(work, outcome);
	backend->running--;
	work->end_us = event_now_us();
	counters->answered += outcome == OUTCOME_ANSWERED;
	counters->cancelled += outcome == OUTCOME_CANCELLED;
	counters->expired += outcome == OUTCOME_EXPIRED;
	counters->unanswered += outcome == OUTCOME_UNANSWERED;
	pthread_cond_signal(&backend->slot_freed);
	pthread_mutex_unlock(&backend->lock);
	log_end(work, outcome);
	return outcome;
}

static int answer_work(const struct work *work, int status, size_t body_bytes)
{
	char headers[64];
	json_t *body;

	g_snprintf(headers, sizeof(headers), "X-Ran: %u\r\n", work->runs);
	body = json_pack("{s:s, s:s, s:i, s:I, s:I}", "backend",
			 work->backend->spec.name, "request", work->id, "runs",
			 (int)work->runs, "service_us",
			 (json_int_t)work->service_us, "received_bytes",
			 (json_int_t)body_bytes);
	return standin_answer_json(work->conn, status, headers, body);
}

static int run(struct work *work, size_t body_bytes)
{
	switch (finish(work, spend_service_time(work))) {
	case OUTCOME_ANSWERED:
		return answer_work(work, 200, body_bytes);
	case OUTCOME_EXPIRED:
		return answer_work(work, 504, body_bytes);
	case OUTCOME_UNANSWERED:
		if (is_silent(work->backend, work->conn))
			return hold_silent(work->conn);
		return standin_drop(work->conn);
	case OUTCOME_CANCELLED:
		break;
	}
	return standin_drop(work->conn);
}

static int shed(const struct work *work, enum admission admission)
{
	json_t *body;

	if (admission == SHED_CANCELLED)
		return standin_drop(work->conn);
	body = json_pack("{s:s, s:s, s:s}", "backend", work->backend->spec.name,
			 "request", work->id, "shed",
			 admission_names[admission]);
	return standin_answer_json(work->conn, 503, HEADERS_NOT_RUN, body);
}

static uint64_t read_deadline(const struct mg_connection *conn)
{
	const char *text = mg_get_header(conn, WIRE_HEADER_DEADLINE);

	if (!text)
		return NO_DEADLINE;
	return event_now_us() + strtoull(text, NULL, 10);
}

static int handle_work(struct fake_backend *backend, struct mg_connection *conn)
{
	struct work work = {
		.backend = backend,
		.conn = conn,
		.fd = standin_socket(conn),
		.id = header_or(conn, WIRE_HEADER_REQUEST_ID, ""),
		.ticket = header_or(conn, WIRE_HEADER_TICKET, ""),
		.attempt = header_or(conn, WIRE_HEADER_ATTEMPT, ""),
		.deadline_us = read_deadline(conn),
	};
	enum admission admission;
	size_t body_bytes;
	char *body = standin_read_body(conn, &body_bytes);

	if (!body)
		return standin_drop(conn);
	g_free(body);
	admission = admit(&work);
	if (admission != ADMITTED)
		return shed(&work, admission);
	return run(&work, body_bytes);
}

static int answer_health(struct fake_backend *backend,
			 struct mg_connection *conn)
{
	bool unhealthy;

	pthread_mutex_lock(&backend->lock);
	unhealthy = backend->faults.unhealthy;
	pthread_mutex_unlock(&backend->lock);
	return standin_answer_json(conn, unhealthy ? 503 : 200, NULL,
				   json_pack("{s:b}", "healthy", !unhealthy));
}

static int answer_load(struct fake_backend *backend, struct mg_connection *conn)
{
	const struct faults *faults = &backend->faults;
	json_int_t in_flight;
	bool leaving;

	pthread_mutex_lock(&backend->lock);
	in_flight = backend->running + backend->queued;
	leaving = faults->leaving;
	if (faults->stale_load) {
		in_flight = backend->stale_running;
		leaving = backend->stale_leaving;
	}
	if (faults->claimed_load >= 0)
		in_flight = faults->claimed_load;
	pthread_mutex_unlock(&backend->lock);
	return standin_answer_json(
		conn, 200, NULL,
		json_pack("{s:I, s:i, s:b}", "in_flight", in_flight, "slots",
			  (int)backend->spec.slots, "leaving", leaving));
}

static int handle_request(struct mg_connection *conn, void *data)
{
	struct fake_backend *backend = data;
	const char *uri = mg_get_request_info(conn)->local_uri;
	int fd = standin_socket(conn);

	if (is_silent(backend, conn))
		return hold_silent(conn);
	if (!wait_while_frozen(backend, fd))
		return standin_drop(conn);
	if (!strcmp(uri, WIRE_PATH_BACKEND_HEALTH))
		return answer_health(backend, conn);
	if (!strcmp(uri, WIRE_PATH_BACKEND_LOAD))
		return answer_load(backend, conn);
	return handle_work(backend, conn);
}

static bool start_serving(struct fake_backend *backend, GError **error)
{
	pthread_mutex_lock(&backend->lock);
	backend->cold_left = backend->spec.cold_requests;
	pthread_mutex_unlock(&backend->lock);
	backend->server = standin_server_open(&backend->spec.endpoint,
					      backend->spec.threads,
					      handle_request, backend, error);
	return backend->server != NULL;
}

static void stop_serving(struct fake_backend *backend)
{
	standin_server_close(backend->server);
	backend->server = NULL;
}

static void set_flag(const json_t *faults, const char *member, bool *flag)
{
	const json_t *value = json_object_get(faults, member);

	if (json_is_boolean(value))
		*flag = json_is_true(value);
}

static void set_number(const json_t *faults, const char *member,
		       uint64_t *number)
{
	const json_t *value = json_object_get(faults, member);

	if (json_is_integer(value))
		*number = (uint64_t)json_integer_value(value);
}

static void set_load_faults(struct fake_backend *backend, const json_t *faults)
{
	const json_t *claimed = json_object_get(faults, "claimed_load");

	if (json_is_integer(claimed))
		backend->faults.claimed_load = json_integer_value(claimed);
	if (json_is_true(json_object_get(faults, "stale_load"))) {
		backend->stale_running = backend->running + backend->queued;
		backend->stale_leaving = backend->faults.leaving;
	}
	set_flag(faults, "stale_load", &backend->faults.stale_load);
}

static void set_silence(struct fake_backend *backend, const json_t *silent)
{
	if (json_is_true(silent))
		backend->faults.silent_before_us = event_now_us();
	else if (json_is_false(silent))
		backend->faults.silent_before_us = 0;
}

static void set_faults(struct fake_backend *backend, const json_t *faults)
{
	struct faults *mine = &backend->faults;

	pthread_mutex_lock(&backend->lock);
	set_load_faults(backend, faults);
	set_number(faults, "slow_permille", &mine->slow_permille);
	set_number(faults, "drop_answers", &mine->drop_answers);
	set_flag(faults, "frozen", &mine->frozen);
	set_flag(faults, "shed", &mine->shed);
	set_flag(faults, "unhealthy", &mine->unhealthy);
	set_flag(faults, "leaving", &mine->leaving);
	set_silence(backend, json_object_get(faults, "silent"));
	if (json_is_true(json_object_get(faults, "cold")))
		backend->cold_left = backend->spec.cold_requests;
	pthread_mutex_unlock(&backend->lock);
}

struct fake_backend *fake_backend_open(const struct fake_backend_spec *spec,
				       struct run_book *book,
				       struct event_log *log, GError **error)
{
	struct fake_backend *backend = g_new0(struct fake_backend, 1);

	backend->spec = *spec;
	backend->book = book;
	backend->log = log;
	pthread_mutex_init(&backend->lock, NULL);
	pthread_cond_init(&backend->slot_freed, NULL);
	backend->rand = g_rand_new_with_seed(spec->seed);
	backend->faults.slow_permille = 1000;
	backend->faults.claimed_load = -1;
	if (start_serving(backend, error))
		return backend;
	fake_backend_close(backend);
	return NULL;
}

void fake_backend_close(struct fake_backend *backend)
{
	if (!backend)
		return;
	stop_serving(backend);
	g_rand_free(backend->rand);
	pthread_cond_destroy(&backend->slot_freed);
	pthread_mutex_destroy(&backend->lock);
	g_free(backend);
}

const struct fake_backend_spec *
fake_backend_spec_of(const struct fake_backend *backend)
{
	return &backend->spec;
}

bool fake_backend_control(struct fake_backend *backend, const json_t *faults,
			  GError **error)
{
	const json_t *down = json_object_get(faults, "down");

	set_faults(backend, faults);
	if (json_is_true(down))
		stop_serving(backend);
	else if (json_is_false(down) && !backend->server)
		return start_serving(backend, error);
	return true;
}

json_t *fake_backend_describe(struct fake_backend *backend)
{
	const struct counters *counters = &backend->counters;
	json_t *text;

	pthread_mutex_lock(&backend->lock);
	text = json_pack(
		"{s:s, s:s, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:I,"
		" s:I}",
		"name", backend->spec.name, "service", backend->spec.service,
		"slots", (int)backend->spec.slots, "running",
		(int)backend->running, "most_running",
		(int)backend->most_running, "started",
		(json_int_t)counters->started, "answered",
		(json_int_t)counters->answered, "shed",
		(json_int_t)counters->shed, "cancelled",
		(json_int_t)counters->cancelled, "expired",
		(json_int_t)counters->expired, "unanswered",
		(json_int_t)counters->unanswered, "late_starts",
		(json_int_t)counters->late_starts, "last_start_us",
		(json_int_t)counters->last_start_us);
	pthread_mutex_unlock(&backend->lock);
	return text;
}
