/*
 * gate - admission of one service's requests to the slots of one place
 *
 * Every request to the place's backend servers passes a gate at one of the
 * place's nodes, and the nodes' shares of a backend server's slots add up to no
 * more than its slots, so its capacity is never exceeded. A gate runs a
 * request, queues it if a slot is expected in time, or refuses it at once.
 *
 * A gate does no I/O, reads no clock and doesn't block: its user passes the
 * time in and does the waiting. Not thread-safe: the user must hold a lock.
 * Times are microseconds of the clock port; now_us must not go back.
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

/* A backend server as the configuration and the membership describe it. */
struct gate_backend_spec {
	const char *name;
	uint32_t slots; /* this node's, by gate_share() */
	uint32_t total_slots; /* of the backend server; 0: same as slots */
	bool leaving; /* by the operator, the platform or its own report */
	bool cold; /* just started; its limit ramps up from one request */
};

struct gate_request {
	enum service_class class_of;
	uint64_t deadline_us; /* absolute, for the complete answer */
	void *waiter; /* identifies the request in a grant; not dereferenced */
};

enum gate_verdict {
	GATE_RUN, /* on decision.backend; call gate_finish() afterwards */
	GATE_WAIT, /* queued until gate_next() returns it or gate_cancel() */
	GATE_REFUSE,
};

struct gate_decision {
	enum gate_verdict verdict;
	uint32_t backend; /* handle, for GATE_RUN */
	enum result refusal; /* for GATE_REFUSE */
	uint64_t retry_after_us; /* for GATE_REFUSE */
};

/* Result of a request at a backend server. */
enum gate_outcome {
	GATE_ANSWERED,
	GATE_SHED, /* refused by the backend server without running it */
	GATE_CONNECT_FAILED, /* failed before a byte was sent */
	GATE_BROKEN, /* failed after a byte was sent */
	GATE_TIMED_OUT,
};

/* A queued request that may run now or is refused. */
struct gate_grant {
	void *waiter;
	struct gate_decision decision; /* never GATE_WAIT */
};

/* Load of a gate, as reported to the place's other nodes and to peers. */
struct gate_summary {
	uint32_t slots; /* usable now */
	uint32_t in_flight;
	uint32_t waiting;
	uint64_t service_us; /* mean time of a request at a backend server */
	uint64_t wait_us; /* expected wait of a new request for a slot */
};

/* State of one backend server, for operators. */
struct gate_backend_view {
	const char *name; /* the gate's, until the backend server is removed */
	uint32_t slots; /* this node's */
	uint32_t in_flight; /* this node's requests */
	uint32_t reported_in_flight; /* by the backend server, of all nodes */
	uint64_t report_age_us; /* UINT64_MAX: never reported */
	uint64_t latency_us; /* estimate; 0: no sample yet */
	bool leaving;
	bool down;
	bool cold;
};

/* Slots of a backend server for the node of this rank among count nodes. */
uint32_t gate_share(uint32_t slots, uint32_t rank, uint32_t count);

struct gate *gate_new(void);
void gate_free(struct gate *gate);

/*
 * Replace the set of backend servers. Those that stay (same name) keep their
 * state; requests in flight on removed ones still finish. Copies the specs.
 */
void gate_set_backends(struct gate *gate, const struct gate_backend_spec *specs,
		       uint32_t count, uint64_t now_us);

/*
 * Admit, queue or refuse a request. GATE_WAIT is followed by a grant; the other
 * decisions are final.
 */
void gate_offer(struct gate *gate, const struct gate_request *request,
		uint64_t now_us, struct gate_decision *decision);

/* Record the outcome of a request that ran for service_us, free its slot. */
void gate_finish(struct gate *gate, uint32_t backend, enum gate_outcome outcome,
		 uint64_t service_us, uint64_t now_us);

/*
 * Get the next queued request that may run or must be refused now; false if
 * there is none. Call it until it returns false after every other call that
 * changes the gate, also after an offer that was queued, and at
 * gate_next_due_us().
 */
bool gate_next(struct gate *gate, uint64_t now_us, struct gate_grant *grant);

/* Remove a request from the queue; false if it isn't queued (any more). */
bool gate_cancel(struct gate *gate, const void *waiter);

/* Latest time of the next gate_next() call; UINT64_MAX: none is needed. */
uint64_t gate_next_due_us(const struct gate *gate);

/*
 * Record a backend server's own load report. Reports may be late, wrong or
 * missing.
 */
void gate_record_report(struct gate *gate, const char *backend_name,
			uint32_t in_flight, bool leaving, uint64_t now_us);

/* Record the result of a health probe. */
void gate_record_probe(struct gate *gate, const char *backend_name, bool alive,
		       uint64_t now_us);

/* Whether the backend server's last report says that it is leaving. */
bool gate_has_reported_leaving(const struct gate *gate,
			       const char *backend_name);

/* Name by handle, NULL if unknown; valid while a request is in flight there. */
const char *gate_backend_name(const struct gate *gate, uint32_t backend);

void gate_summarise(const struct gate *gate, uint64_t now_us,
		    struct gate_summary *summary);

/* State of the index-th backend server; false past the last one. */
bool gate_view(const struct gate *gate, uint32_t index, uint64_t now_us,
	       struct gate_backend_view *view);

#ifdef __cplusplus
}
#endif

#endif
