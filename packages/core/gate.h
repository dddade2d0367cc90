/*
 * gate - admission of one service's requests to the slots of one place
 *
 * The one truth about what the place can bear: every request that reaches the
 * place's backend servers has passed a gate of one of its nodes, and the nodes'
 * shares of a backend server's slots never add up to more than it has. A gate
 * runs a request, lets it wait for a slot that will come in time, or refuses it
 * at once. Pure: time is passed in, waiting is the caller's. Not thread-safe:
 * the owner's lock guards it.
 *
 * Times are microseconds of the clock port; "now_us" never goes back.
 */
#ifndef CORE_GATE_H
#define CORE_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/build_options.h"
#include "core/config.h"
#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gate;

/* A backend server as configuration and membership describe it. */
struct gate_backend_spec {
	const char *name;
	uint32_t slots; /* that this node may use: gate_share() of the whole */
	uint32_t total_slots; /* of the whole backend server; 0: as slots */
	bool leaving; /* any sign of leaving: operator, platform, itself */
	bool cold; /* appeared just now; ramps from few requests up */
};

struct gate_request {
	enum service_class class_of;
	uint64_t deadline_us; /* on the clock, for the whole answer */
	void *waiter; /* the caller's, given back with a grant */
};

enum gate_verdict {
	GATE_RUN, /* on decision.backend; gate_finish() must follow */
	GATE_WAIT, /* a grant for the waiter follows, or gate_cancel() */
	GATE_REFUSE,
};

struct gate_decision {
	enum gate_verdict verdict;
	uint32_t backend; /* handle, for GATE_RUN */
	enum result refusal; /* for GATE_REFUSE */
	uint64_t retry_after_us; /* for GATE_REFUSE */
};

/* What became of a request at a backend server. */
enum gate_outcome {
	GATE_ANSWERED,
	GATE_SHED, /* the backend server refused it, not run */
	GATE_CONNECT_FAILED, /* no byte went out */
	GATE_BROKEN, /* failed after a byte went out */
	GATE_TIMED_OUT,
};

/* A waiter whose turn has come, to run or to be refused. */
struct gate_grant {
	void *waiter;
	struct gate_decision decision; /* never GATE_WAIT */
};

/* What the place's other nodes and the peers are told. */
struct gate_summary {
	uint32_t slots; /* usable now */
	uint32_t in_flight;
	uint32_t waiting;
	uint64_t service_us; /* typical time of a request at a backend server */
	uint64_t wait_us; /* expected time before a new request starts */
};

/* What is known of one backend server, for operators. */
struct gate_backend_view {
	const char *name;
	uint32_t slots;
	uint32_t in_flight;
	uint32_t reported_in_flight;
	uint64_t report_age_us; /* UINT64_MAX: never reported */
	uint64_t latency_us; /* learned; 0: nothing yet */
	bool leaving;
	bool down;
	bool cold;
};

/* Share of a backend server's slots for the node of this rank among count. */
uint32_t gate_share(uint32_t slots, uint32_t rank, uint32_t count);

struct gate *gate_new(void);
void gate_free(struct gate *gate);

/*
 * Replace the set of backend servers. What was learned of those that stay (by
 * name) is kept, and requests in flight on those that go still finish.
 */
void gate_set_backends(struct gate *gate, const struct gate_backend_spec *specs,
		       uint32_t count, uint64_t now_us);

/* Offer a request; the decision is final but for GATE_WAIT. */
void gate_offer(struct gate *gate, const struct gate_request *request,
		uint64_t now_us, struct gate_decision *decision);

/* A request that ran has ended after service_us at the backend server. */
void gate_finish(struct gate *gate, uint32_t backend, enum gate_outcome outcome,
		 uint64_t service_us, uint64_t now_us);

/*
 * The next waiter that may run or must be refused now; false if none. Call it
 * until it is false after every other call that changes the gate, an offer
 * that has to wait among them, and when gate_next_due_us() has come.
 */
bool gate_next(struct gate *gate, uint64_t now_us, struct gate_grant *grant);

/* Take a waiter out; false if a grant was already handed out for it. */
bool gate_cancel(struct gate *gate, const void *waiter);

/* When gate_next() must be called again at the latest, UINT64_MAX if never. */
uint64_t gate_next_due_us(const struct gate *gate);

/* What a backend server says of itself; it may lag, lie or be absent. */
void gate_record_report(struct gate *gate, const char *backend_name,
			uint32_t in_flight, bool leaving, uint64_t now_us);

/* A health probe of the backend server failed or succeeded. */
void gate_record_probe(struct gate *gate, const char *backend_name, bool alive,
		       uint64_t now_us);

/* Whether the backend server's own last report says that it leaves. */
bool gate_has_reported_leaving(const struct gate *gate,
			       const char *backend_name);

const char *gate_backend_name(const struct gate *gate, uint32_t backend);

void gate_summarise(const struct gate *gate, uint64_t now_us,
		    struct gate_summary *summary);

/* View of the index-th backend server; false past the last one. */
bool gate_view(const struct gate *gate, uint32_t index, uint64_t now_us,
	       struct gate_backend_view *view);

#ifdef __cplusplus
}
#endif

#endif
