#include "core/gate_queue.h"

/*
 * Priority orders of the classes, one of which applies in each turn of the
 * cycle. The last one puts background first in one turn, however long the other
 * queues are, so that background work isn't starved.
 */
static const enum service_class turn_orders[][SERVICE_CLASS_COUNT] = {
	{ SERVICE_INTERACTIVE, SERVICE_NON_IDEMPOTENT, SERVICE_BACKGROUND },
	{ SERVICE_NON_IDEMPOTENT, SERVICE_INTERACTIVE, SERVICE_BACKGROUND },
	{ SERVICE_BACKGROUND, SERVICE_INTERACTIVE, SERVICE_NON_IDEMPOTENT },
};

static int compare_waiters(const void *left, const void *right, void *data)
{
	const struct gate_waiter *a = left;
	const struct gate_waiter *b = right;

	(void)data;
	if (a->start_by_us != b->start_by_us)
		return a->start_by_us < b->start_by_us ? -1 : 1;
	if (a->sequence != b->sequence)
		return a->sequence < b->sequence ? -1 : 1;
	return 0;
}

static struct gate_waiter *first_of_class(const struct gate_queue *queue,
					  enum service_class class_of)
{
	GSequence *waiters = queue->waiters[class_of];

	if (g_sequence_is_empty(waiters))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(waiters));
}

/* The head of the first class in this turn's order that isn't empty. */
static struct gate_waiter *next_waiter(const struct gate_queue *queue)
{
	bool last_turn = queue->turn == GATE_QUEUE_CYCLE - 1;
	const enum service_class *order =
		turn_orders[last_turn ? 2 : queue->turn % 2];
	struct gate_waiter *first;
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++) {
		first = first_of_class(queue, order[i]);
		if (first)
			return first;
	}
	return NULL;
}

static void pop_waiter(struct gate_queue *queue,
		       const struct gate_waiter *found,
		       struct gate_waiter *waiter)
{
	*waiter = *found;
	gate_queue_remove(queue, waiter->waiter);
}

void gate_queue_init(struct gate_queue *queue)
{
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++)
		queue->waiters[i] = g_sequence_new(g_free);
	queue->by_waiter = g_hash_table_new(NULL, NULL);
	queue->next_sequence = 0;
	queue->turn = 0;
}

void gate_queue_release(struct gate_queue *queue)
{
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++)
		g_sequence_free(queue->waiters[i]);
	g_hash_table_destroy(queue->by_waiter);
}

bool gate_queue_push(struct gate_queue *queue, const struct gate_waiter *waiter)
{
	struct gate_waiter *copy;
	GSequenceIter *iter;

	if (g_hash_table_contains(queue->by_waiter, waiter->waiter))
		return false;
	copy = g_memdup2(waiter, sizeof(*waiter));
	copy->sequence = queue->next_sequence++;
	iter = g_sequence_insert_sorted(queue->waiters[copy->class_of], copy,
					compare_waiters, NULL);
	return g_hash_table_insert(queue->by_waiter, copy->waiter, iter);
}

bool gate_queue_remove(struct gate_queue *queue, const void *waiter)
{
	GSequenceIter *iter = g_hash_table_lookup(queue->by_waiter, waiter);

	if (!iter)
		return false;
	g_hash_table_remove(queue->by_waiter, waiter);
	g_sequence_remove(iter);
	return true;
}

const struct gate_waiter *gate_queue_head(const struct gate_queue *queue)
{
	return next_waiter(queue);
}

void gate_queue_pop(struct gate_queue *queue, struct gate_waiter *waiter)
{
	const struct gate_waiter *next = next_waiter(queue);

	g_return_if_fail(next);
	pop_waiter(queue, next, waiter);
	queue->turn = (queue->turn + 1) % GATE_QUEUE_CYCLE;
}

bool gate_queue_pop_expired(struct gate_queue *queue, uint64_t now_us,
			    struct gate_waiter *waiter)
{
	struct gate_waiter *first;
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++) {
		first = first_of_class(queue, (enum service_class)i);
		if (first && first->start_by_us < now_us) {
			pop_waiter(queue, first, waiter);
			return true;
		}
	}
	return false;
}

uint64_t gate_queue_first_due_us(const struct gate_queue *queue)
{
	const struct gate_waiter *first;
	uint64_t due_us = UINT64_MAX;
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++) {
		first = first_of_class(queue, (enum service_class)i);
		if (first && first->start_by_us < due_us)
			due_us = first->start_by_us;
	}
	return due_us;
}

uint32_t gate_queue_length(const struct gate_queue *queue)
{
	return g_hash_table_size(queue->by_waiter);
}

uint32_t gate_queue_class_length(const struct gate_queue *queue,
				 enum service_class class_of)
{
	return (uint32_t)g_sequence_get_length(queue->waiters[class_of]);
}
