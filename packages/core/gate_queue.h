/*
 * gate_queue - requests that wait for a slot, ordered by latest start time
 *
 * One queue per service class. Within a class the request with the earliest
 * start_by_us is first, so the head is both the next to run and the first to
 * expire. Not thread-safe. Times are microseconds of the clock port.
 */
#ifndef CORE_GATE_QUEUE_H
#define CORE_GATE_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Turns in the round-robin cycle of classes; background comes first in one. */
#define GATE_QUEUE_CYCLE 8

struct gate_waiter {
	void *waiter; /* the user's pointer, unique key of the request */
	enum service_class class_of;
	uint64_t start_by_us; /* latest start; expired after this */
	uint64_t deadline_us; /* for the complete answer */
	uint64_t enqueued_us;
	uint64_t sequence; /* arrival order, for equal start_by_us */
};

struct gate_queue {
	GSequence *waiters[SERVICE_CLASS_COUNT];
	GHashTable *by_waiter; /* user's pointer -> iterator in waiters */
	uint64_t next_sequence;
	uint32_t turn; /* position in the cycle of classes */
};

void gate_queue_init(struct gate_queue *queue);
void gate_queue_release(struct gate_queue *queue);

/* Add a copy and set its sequence; false if the key is queued already. */
bool gate_queue_push(struct gate_queue *queue,
		     const struct gate_waiter *waiter);

/* Remove by the user's pointer; false if it isn't queued. */
bool gate_queue_remove(struct gate_queue *queue, const void *waiter);

/* The next waiter, or NULL if the queue is empty; valid until a change. */
const struct gate_waiter *gate_queue_head(const struct gate_queue *queue);
/* Remove and copy the head; the queue must not be empty. */
void gate_queue_pop(struct gate_queue *queue, struct gate_waiter *waiter);

/* Remove and copy an expired waiter; false if there is none. */
bool gate_queue_pop_expired(struct gate_queue *queue, uint64_t now_us,
			    struct gate_waiter *waiter);

/* Earliest start_by_us, UINT64_MAX if the queue is empty. */
uint64_t gate_queue_first_due_us(const struct gate_queue *queue);

uint32_t gate_queue_length(const struct gate_queue *queue);
uint32_t gate_queue_class_length(const struct gate_queue *queue,
				 enum service_class class_of);

#ifdef __cplusplus
}
#endif

#endif
