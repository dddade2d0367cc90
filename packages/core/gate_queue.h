/*
 * gate_queue - requests that wait for a slot, in the order they must start
 *
 * One queue a class. Within a class the request that must start first comes
 * first, so the head is both the next to run and the first to lose its chance.
 * Not thread-safe. Times are microseconds of the clock port.
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

/* Turns in the cycle of classes; background work has one of them. */
#define GATE_QUEUE_CYCLE 8

struct gate_waiter {
	void *waiter; /* the caller's */
	enum service_class class_of;
	uint64_t start_by_us; /* its chance is gone after this */
	uint64_t deadline_us; /* for the whole answer */
	uint64_t enqueued_us;
	uint64_t sequence; /* arrival order, breaks ties */
};

struct gate_queue {
	GSequence *waiters[SERVICE_CLASS_COUNT];
	GHashTable *by_waiter; /* the caller's pointer to its place in line */
	uint64_t next_sequence;
	uint32_t turn; /* position in the cycle of classes */
};

void gate_queue_init(struct gate_queue *queue);
void gate_queue_release(struct gate_queue *queue);

/* Add a copy of the waiter; its sequence is set here. False if it waits. */
bool gate_queue_push(struct gate_queue *queue,
		     const struct gate_waiter *waiter);

/* Take out by the caller's pointer; false if it isn't waiting. */
bool gate_queue_remove(struct gate_queue *queue, const void *waiter);

/* The waiter whose turn it is, or NULL; gate_queue_pop() takes it out. */
const struct gate_waiter *gate_queue_head(const struct gate_queue *queue);
void gate_queue_pop(struct gate_queue *queue, struct gate_waiter *waiter);

/* Take out one waiter whose chance is gone; false if there is none. */
bool gate_queue_pop_expired(struct gate_queue *queue, uint64_t now_us,
			    struct gate_waiter *waiter);

/* Earliest start_by_us of all, UINT64_MAX if nobody waits. */
uint64_t gate_queue_first_due_us(const struct gate_queue *queue);

uint32_t gate_queue_length(const struct gate_queue *queue);
uint32_t gate_queue_class_length(const struct gate_queue *queue,
				 enum service_class class_of);

#ifdef __cplusplus
}
#endif

#endif
