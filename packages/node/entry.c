#include "node/entry.h"

#include <string.h>

#include "adapters/log.h"
#include "node/hop.h"
#include "node/place.h"

/* Tries to choose by the same version of the configuration as the request. */
#define MOST_VERSION_TRIES 3

#define STOPPED_RETRY_AFTER_US 5000000
#define NO_CONFIG_RETRY_AFTER_US 1000000

/* One request's way through this entry node. */
struct passage {
	struct node *node;
	struct snapshot *snapshot;
	uint32_t index; /* of the service */
	struct service *service;
	bool idempotent;
	struct request *request;
	struct answer *answer;
	struct steer_request steer;
	uint32_t attempts; /* made so far */
	bool may_have_run; /* an attempt ended without an answer or proof */
};

static uint32_t home_of(const struct passage *passage)
{
	const struct config *config = passage->snapshot->config;
	uint32_t home = CONFIG_NONE;

	if (*passage->request->origin)
		home = config_find_place(config, passage->request->origin);
	return home == CONFIG_NONE ? passage->snapshot->own_place : home;
}

/* False where steer holds another version than the request's snapshot. */
static bool choose_once(struct passage *passage, struct steer_choice *choice)
{
	struct service *service = passage->service;
	bool same;

	pthread_mutex_lock(&service->steer_lock);
	same = service->steer_version == passage->snapshot->config->version;
	if (same)
		steer_choose(service->steer, &passage->steer,
			     state_now_us(passage->node), choice);
	pthread_mutex_unlock(&service->steer_lock);
	return same;
}

static void take_newer_snapshot(struct passage *passage)
{
	struct snapshot *newer = snapshot_get(passage->node);
	uint32_t index =
		config_find_service(newer->config, passage->request->service);

	if (index == CONFIG_NONE) {
		snapshot_put(newer);
		return;
	}
	snapshot_put(passage->snapshot);
	passage->snapshot = newer;
	passage->index = index;
	passage->service = newer->services[index];
	passage->steer.home = home_of(passage);
	passage->steer.tried_count = 0;
}

/*
 * Places are indices of one version of the configuration. Between the change of
 * steer's tables and the new snapshot the two differ for a moment, and an index
 * of one looked up in the other could name another place.
 */
static void choose(struct passage *passage, struct steer_choice *choice)
{
	int i;

	passage->steer.draw = state_draw();
	for (i = 0; i < MOST_VERSION_TRIES; i++) {
		if (choose_once(passage, choice))
			return;
		sched_yield();
		take_newer_snapshot(passage);
	}
	memset(choice, 0, sizeof(*choice));
	choice->rule = STEER_REFUSED;
	choice->place = CONFIG_NONE;
	choice->refusal = RESULT_NO_CONFIG;
	choice->retry_after_us = NO_CONFIG_RETRY_AFTER_US;
}

static void summarise_own_gate(struct passage *passage,
			       struct gate_summary *summary)
{
	pthread_mutex_lock(&passage->service->gate_lock);
	gate_summarise(passage->service->gate, state_now_us(passage->node),
		       summary);
	pthread_mutex_unlock(&passage->service->gate_lock);
}

/* Slots that a node said are free; -1 where it isn't usable or has none. */
static int64_t spare_slots(struct passage *passage, uint32_t index)
{
	const struct config_node *target =
		&passage->snapshot->config->nodes[index];
	struct gate_summary summary;
	uint64_t age_us;

	if (!view_summary(passage->node->view, target->name,
			  passage->service->name, state_now_us(passage->node),
			  &summary, &age_us) ||
	    !summary.slots)
		return -1;
	return MAX((int64_t)summary.slots - summary.in_flight - summary.waiting,
		   0);
}

/* Draw a node of the place by its spare slots; CONFIG_NONE if none is usable.
 */
static uint32_t draw_node(struct passage *passage, uint32_t place)
{
	const struct config *config = passage->snapshot->config;
	uint32_t found = CONFIG_NONE;
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		int64_t spare;

		if (config->nodes[i].place != place ||
		    i == passage->snapshot->own_node)
			continue;
		spare = spare_slots(passage, i);
		if (spare < 0)
			continue;
		total += (uint64_t)spare + 1;
		if (state_draw() % total <= (uint64_t)spare)
			found = i;
	}
	return found;
}

/* A node of the place that was never heard of, so that silence is no end. */
static uint32_t any_node(struct passage *passage, uint32_t place)
{
	const struct config *config = passage->snapshot->config;
	uint32_t found = CONFIG_NONE;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place == place &&
		    i != passage->snapshot->own_node &&
		    !(state_draw() % ++count))
			found = i;
	return found;
}

static void send_to(struct passage *passage, uint32_t index,
		    uint64_t service_us)
{
	const struct config *config = passage->snapshot->config;
	const struct config_node *target = &config->nodes[index];
	struct hop hop = { .target = target };
	struct view_node known;

	view_find(passage->node->view, target->name,
		  state_now_us(passage->node), &known);
	hop.incarnation = known.incarnation;
	if (passage->snapshot->own_place != CONFIG_NONE)
		hop.round_trip_us =
			2 * config_one_way_us(config,
					      passage->snapshot->own_place,
					      target->place);
	hop.idempotent = passage->idempotent;
	if (passage->idempotent) {
		hop.silence_us =
			hop.round_trip_us + service_silence_us(service_us);
		hop.may_repeat = service_may_repeat;
		hop.context = passage->service;
	}
	hop_send(passage->node, &hop, passage->request, passage->answer);
}

/*
 * At the own place: here, or at a sibling that has free slots when here are
 * none. A node without any slots, such as a drained one, hands all on: its own
 * gate could only refuse, and would make the place look full.
 */
static void serve_at_own_place(struct passage *passage)
{
	uint32_t sibling = CONFIG_NONE;
	struct gate_summary own;

	summarise_own_gate(passage, &own);
	if (own.in_flight + own.waiting >= own.slots)
		sibling = draw_node(passage, passage->snapshot->own_place);
	if (sibling != CONFIG_NONE &&
	    (!own.slots || spare_slots(passage, sibling) > 0)) {
		send_to(passage, sibling, own.service_us);
		return;
	}
	place_serve(passage->node, passage->snapshot, passage->index,
		    passage->request, passage->answer);
}

static void serve_at(struct passage *passage, uint32_t place)
{
	uint32_t target;

	if (place == passage->snapshot->own_place &&
	    passage->snapshot->own_node != CONFIG_NONE) {
		serve_at_own_place(passage);
		return;
	}
	target = draw_node(passage, place);
	if (target == CONFIG_NONE)
		target = any_node(passage, place);
	if (target == CONFIG_NONE)
		answer_set(passage->answer, RESULT_NO_PLACE, 0);
	else
		send_to(passage, target, 0);
}

static void learn(struct passage *passage, const struct steer_choice *choice,
		  uint64_t start_us)
{
	uint64_t now_us = state_now_us(passage->node);
	struct steer_feedback feedback = {
		.place = choice->place,
		.shift = choice->shift,
		.result = passage->answer->result,
		.latency_us = now_us - start_us,
		.retry_after_us = passage->answer->retry_after_us,
	};

	pthread_mutex_lock(&passage->service->steer_lock);
	steer_record(passage->service->steer, &feedback, now_us);
	pthread_mutex_unlock(&passage->service->steer_lock);
}

/* The id of the shift that the choice is part of; empty for none. */
static void set_shift(struct passage *passage,
		      const struct steer_choice *choice)
{
	const struct config *config = passage->snapshot->config;
	uint32_t seen = 0;
	uint32_t i;

	*passage->request->shift = '\0';
	if (choice->shift == CONFIG_NONE)
		return;
	for (i = 0; i < config->shift_count; i++)
		if (config->shifts[i].service == passage->index &&
		    seen++ == choice->shift)
			g_strlcpy(passage->request->shift, config->shifts[i].id,
				  ID_SIZE);
}

/* Whether another attempt may follow this answer. */
static bool may_try_again(struct passage *passage)
{
	enum result result = passage->answer->result;

	if (result == RESULT_OK || result == RESULT_UNKNOWN_SERVICE)
		return false;
	if (!result_proves_not_run(result) &&
	    !(passage->idempotent && result == RESULT_ATTEMPTS_FAILED))
		return false;
	return state_now_us(passage->node) < passage->request->deadline_us;
}

static void attempt(struct passage *passage, const struct steer_choice *choice)
{
	struct steer_request *steer = &passage->steer;
	uint64_t start_us = state_now_us(passage->node);

	passage->attempts++;
	/*
	 * Never used twice with a ticket: the gates remember the attempts they
	 * refused.
	 */
	passage->request->attempt =
		(uint32_t)atomic_fetch_add(&passage->node->attempts, 1) + 1;
	set_shift(passage, choice);
	serve_at(passage, choice->place);
	if (passage->answer->result != RESULT_OK &&
	    !result_proves_not_run(passage->answer->result))
		passage->may_have_run = true;
	learn(passage, choice, start_us);
	steer->tried[steer->tried_count++] = choice->place;
	log_event(LOG_DEBUG, "attempt",
		  "id=%s service=%s place=%s rule=%s attempt=%u result=%s",
		  passage->request->id, passage->service->name,
		  passage->snapshot->config->places[choice->place].name,
		  steer_rule_name(choice->rule), passage->request->attempt,
		  result_name(passage->answer->result));
}

/*
 * A second place after a shift's cap is the way home that the request would
 * have gone without the shift; it isn't paid from the retry budget, because an
 * empty budget would then turn a shift into refusals.
 */
static bool is_paid(struct passage *passage)
{
	return passage->answer->result == RESULT_SHIFT_CAP ||
	       service_may_repeat(passage->service);
}

static void run(struct passage *passage)
{
	struct steer_choice choice;

	passage->steer.class_of =
		passage->snapshot->config->services[passage->index].class_of;
	passage->steer.home = home_of(passage);
	passage->steer.deadline_us = passage->request->deadline_us;
	choose(passage, &choice);
	if (choice.place == CONFIG_NONE) {
		answer_set(passage->answer, choice.refusal,
			   choice.retry_after_us);
		return;
	}
	pthread_mutex_lock(&passage->service->steer_lock);
	budget_earn(&passage->service->budget);
	pthread_mutex_unlock(&passage->service->steer_lock);
	attempt(passage, &choice);
	while (passage->attempts < REQUEST_MAX_ATTEMPTS &&
	       may_try_again(passage)) {
		choose(passage, &choice);
		if (choice.place == CONFIG_NONE || !is_paid(passage))
			break;
		attempt(passage, &choice);
	}
	/*
	 * The last attempt was refused, but an earlier one broke and may have
	 * run: "not run" would be true of the attempt only.
	 */
	if (passage->may_have_run &&
	    result_proves_not_run(passage->answer->result))
		answer_set(passage->answer, RESULT_ATTEMPTS_FAILED,
			   passage->answer->retry_after_us);
}

static void keep(struct node *node, const char *ticket,
		 const struct answer *answer)
{
	enum ledger_state state = LEDGER_UNKNOWN;
	struct ledger_answer kept;

	memset(&kept, 0, sizeof(kept));
	/*
	 * Once "not run" is answered the ticket never runs: an earlier copy of
	 * the request, held up on the way, may come after the refusal of a
	 * later one, and would make a record that its caller was told
	 * doesn't exist. The next try takes a new ticket.
	 */
	if (result_proves_not_run(answer->result))
		state = LEDGER_FENCED;
	if (answer->result == RESULT_OK) {
		state = LEDGER_DONE;
		answer_to_kept(answer, &kept);
	}
	pthread_mutex_lock(&node->ledger_lock);
	ledger_finish(node->entry_ledger, ticket, state, &kept);
	pthread_mutex_unlock(&node->ledger_lock);
}

/* Whether the ticket may run here now; the answer is set where it may not. */
static bool check_ticket(struct node *node, const struct request *request,
			 struct ticket *ticket, struct answer *answer)
{
	uint64_t epoch = state_ticket_epoch(node);

	if (!*request->ticket) {
		answer_set(answer, RESULT_TICKET_REQUIRED, 0);
		return false;
	}
	if (ticket_parse(request->ticket, ticket) != RESULT_OK) {
		answer_set(answer, RESULT_TICKET_MALFORMED, 0);
		return false;
	}
	if (strcmp(ticket->node, node->settings->name) != 0) {
		answer_set(answer, RESULT_TICKET_ELSEWHERE, 0);
		g_strlcpy(answer->node, ticket->node, NAME_SIZE);
		return false;
	}
	if (ticket->incarnation == node->incarnation && ticket->epoch > epoch) {
		answer_set(answer, RESULT_TICKET_MALFORMED, 0);
		return false;
	}
	if (ticket->incarnation != node->incarnation ||
	    !ticket_epoch_accepted(ticket->epoch, epoch)) {
		answer_set(answer, RESULT_OUTCOME_UNKNOWN, 0);
		return false;
	}
	return true;
}

/*
 * Refuse a ticket that wasn't started here in this request. "Not run" is only
 * true if it didn't run before and won't run later, so a tombstone is put
 * where the ledger doesn't know it; else the answer says what became of it.
 */
static void refuse_ticket(struct node *node, const char *text,
			  const struct ticket *ticket, enum result refusal,
			  uint64_t retry_after_us, struct answer *answer)
{
	const struct ledger_answer *kept = NULL;
	enum ledger_state state;

	pthread_mutex_lock(&node->ledger_lock);
	state = ledger_fence(node->entry_ledger, text, ticket->epoch, &kept);
	if (kept)
		answer_from_kept(answer, kept);
	pthread_mutex_unlock(&node->ledger_lock);
	if (!kept)
		answer_from_state(answer, state, refusal, retry_after_us);
}

static bool start_ticket(struct node *node, const char *text,
			 const struct ticket *ticket, struct answer *answer)
{
	const struct ledger_answer *kept = NULL;
	enum result result;

	pthread_mutex_lock(&node->ledger_lock);
	ledger_expire(node->entry_ledger,
		      ticket_oldest_epoch(state_ticket_epoch(node)));
	result = ledger_start(node->entry_ledger, text, ticket->epoch, &kept);
	if (kept)
		answer_from_kept(answer, kept);
	pthread_mutex_unlock(&node->ledger_lock);
	if (result == RESULT_OVERLOAD)
		refuse_ticket(node, text, ticket, result, 0, answer);
	else if (result != RESULT_OK)
		answer_set(answer, result, 0);
	return result == RESULT_OK && !kept;
}

/* Refuse before anything was looked at but the service and the time. */
static void refuse_at_door(struct node *node, const struct request *request,
			   enum result refusal, uint64_t retry_after_us,
			   struct answer *answer)
{
	struct ticket ticket;

	if (!*request->ticket)
		answer_set(answer, refusal, retry_after_us);
	else if (check_ticket(node, request, &ticket, answer))
		refuse_ticket(node, request->ticket, &ticket, refusal,
			      retry_after_us, answer);
}

static void run_ticket(struct passage *passage)
{
	struct request *request = passage->request;
	struct node *node = passage->node;
	struct ticket ticket;

	if (!check_ticket(node, request, &ticket, passage->answer) ||
	    !start_ticket(node, request->ticket, &ticket, passage->answer))
		return;
	run(passage);
	keep(node, request->ticket, passage->answer);
}

static void refuse(struct passage *passage, enum result refusal,
		   uint64_t retry_after_us)
{
	if (passage->idempotent)
		answer_set(passage->answer, refusal, retry_after_us);
	else
		refuse_at_door(passage->node, passage->request, refusal,
			       retry_after_us, passage->answer);
}

static void serve_known(struct passage *passage)
{
	const struct config_service *service =
		&passage->snapshot->config->services[passage->index];
	uint64_t now_us = state_now_us(passage->node);

	metric_add(passage->service->requests, 1);
	passage->idempotent = service->class_of != SERVICE_NON_IDEMPOTENT;
	if (!passage->request->deadline_us)
		passage->request->deadline_us = now_us + service->timeout_us;
	if (service->stopped)
		refuse(passage, RESULT_SERVICE_STOPPED, STOPPED_RETRY_AFTER_US);
	else if (passage->request->deadline_us <= now_us)
		refuse(passage, RESULT_DEADLINE_EXPIRED, 0);
	else if (passage->idempotent)
		run(passage);
	else
		run_ticket(passage);
	if (result_proves_not_run(passage->answer->result))
		metric_add(passage->service->refused, 1);
	metric_observe_us(passage->service->latency,
			  state_now_us(passage->node) - now_us);
}

void entry_serve(struct node *node, struct request *request,
		 struct answer *answer)
{
	struct passage passage = { .node = node,
				   .request = request,
				   .answer = answer,
				   .snapshot = snapshot_get(node) };

	if (!passage.snapshot) {
		refuse_at_door(node, request, RESULT_NO_CONFIG,
			       NO_CONFIG_RETRY_AFTER_US, answer);
		return;
	}
	passage.index =
		config_find_service(passage.snapshot->config, request->service);
	if (passage.index == CONFIG_NONE) {
		refuse_at_door(node, request, RESULT_UNKNOWN_SERVICE, 0,
			       answer);
	} else {
		passage.service = passage.snapshot->services[passage.index];
		serve_known(&passage);
	}
	snapshot_put(passage.snapshot);
}
