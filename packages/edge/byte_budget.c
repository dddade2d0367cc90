#include "edge/byte_budget.h"

#include <string.h>

/*
 * A longer time between two checks means that the process was paused: nothing
 * could be read or written meanwhile.
 */
#define PAUSE_MIN_US (500 * 1000ull)

void byte_budget_init(struct byte_budget *budget, uint64_t limit_bytes)
{
	memset(budget, 0, sizeof(*budget));
	budget->limit_bytes = limit_bytes;
	g_queue_init(&budget->accounts);
	g_queue_init(&budget->waiting);
}

static uint64_t beyond_allowance(uint64_t bytes)
{
	return bytes > BYTE_ALLOWANCE ? bytes - BYTE_ALLOWANCE : 0;
}

/* Drawn bytes of an account that holds this and reads on. */
static uint64_t reading_bytes(const struct byte_account *account)
{
	if (account->held_bytes < BYTE_ALLOWANCE)
		return 0;
	return beyond_allowance(account->held_bytes + account->next_bytes);
}

static bool may_draw(const struct byte_account *account, uint64_t drawn_bytes)
{
	const struct byte_budget *budget = account->budget;

	return !drawn_bytes || !budget->limit_bytes ||
	       budget->drawn_bytes - account->drawn_bytes + drawn_bytes <=
		       budget->limit_bytes;
}

static void draw(struct byte_account *account, uint64_t drawn_bytes)
{
	struct byte_budget *budget = account->budget;

	if (drawn_bytes == account->drawn_bytes)
		return;
	/* A message that has just begun moves nothing by its first read. */
	if (MAX(drawn_bytes, account->drawn_bytes) > BYTE_READ_MAX)
		budget->changes++;
	budget->drawn_bytes += drawn_bytes;
	budget->drawn_bytes -= account->drawn_bytes;
	account->drawn_bytes = drawn_bytes;
}

static void stop_waiting(struct byte_account *account)
{
	if (!account->waiting)
		return;
	account->waiting = false;
	g_queue_unlink(&account->budget->waiting, &account->waiting_link);
}

static void begin_waiting(struct byte_account *account)
{
	struct byte_budget *budget = account->budget;
	GList *before = budget->waiting.tail;

	if (account->waiting)
		return;
	if (!account->ticket)
		account->ticket = ++budget->tickets;
	account->waiting = true;
	budget->waits++;
	while (before &&
	       ((struct byte_account *)before->data)->ticket > account->ticket)
		before = before->prev;
	if (before)
		g_queue_insert_after_link(&budget->waiting, before,
					  &account->waiting_link);
	else
		g_queue_push_head_link(&budget->waiting,
				       &account->waiting_link);
}

/* The first in the queue isn't overtaken, however much it needs. */
static void resume_waiting(struct byte_budget *budget)
{
	while (!budget->moves && !g_queue_is_empty(&budget->waiting)) {
		struct byte_account *first =
			g_queue_peek_head(&budget->waiting);
		uint64_t bytes = reading_bytes(first);

		if (!may_draw(first, bytes))
			return;
		stop_waiting(first);
		draw(first, bytes);
		first->vtable->resume(first);
	}
}

void byte_budget_set_limit(struct byte_budget *budget, uint64_t limit_bytes)
{
	budget->limit_bytes = limit_bytes;
	resume_waiting(budget);
}

void byte_budget_begin_move(struct byte_budget *budget)
{
	if (budget)
		budget->moves++;
}

void byte_budget_end_move(struct byte_budget *budget)
{
	if (!budget)
		return;
	budget->moves--;
	resume_waiting(budget);
}

void byte_account_open(struct byte_account *account,
		       const struct byte_account_vtable *vtable,
		       struct byte_budget *budget)
{
	memset(account, 0, sizeof(*account));
	account->vtable = vtable;
	account->budget = budget;
	account->link.data = account;
	account->waiting_link.data = account;
	if (budget)
		g_queue_push_tail_link(&budget->accounts, &account->link);
}

void byte_account_close(struct byte_account *account)
{
	struct byte_budget *budget = account->budget;

	if (!budget)
		return;
	stop_waiting(account);
	draw(account, 0);
	budget->held_bytes -= account->held_bytes;
	g_queue_unlink(&budget->accounts, &account->link);
	account->budget = NULL;
	resume_waiting(budget);
}

/* Whether it may read on at once, before any that wait. */
static bool may_read_on(const struct byte_account *account)
{
	uint64_t bytes = reading_bytes(account);

	if (account->waiting)
		return false;
	return bytes <= account->drawn_bytes ||
	       (g_queue_is_empty(&account->budget->waiting) &&
		may_draw(account, bytes));
}

bool byte_account_hold(struct byte_account *account, enum byte_content content,
		       uint64_t held_bytes, uint64_t next_bytes)
{
	struct byte_budget *budget = account->budget;
	bool may_read = true;

	if (!budget)
		return true;
	if (MAX(held_bytes, account->held_bytes) >
		    BYTE_ALLOWANCE + BYTE_READ_MAX &&
	    held_bytes != account->held_bytes)
		budget->changes++;
	budget->held_bytes += held_bytes;
	budget->held_bytes -= account->held_bytes;
	account->held_bytes = held_bytes;
	account->next_bytes = next_bytes;
	account->content = content;
	if (!next_bytes || !reading_bytes(account)) {
		stop_waiting(account);
		account->ticket = 0;
	} else {
		may_read = may_read_on(account);
		if (!may_read)
			begin_waiting(account);
	}
	draw(account, may_read ? MAX(reading_bytes(account),
				     beyond_allowance(held_bytes)) :
				 beyond_allowance(held_bytes));
	resume_waiting(budget);
	return !account->waiting;
}

enum byte_event byte_budget_check(struct byte_budget *budget, uint64_t now_us)
{
	bool waits = budget->waits != budget->checked_waits ||
		     !g_queue_is_empty(&budget->waiting);
	bool was_paused = now_us - budget->checked_us > PAUSE_MIN_US;

	if (was_paused || budget->changes != budget->checked_changes ||
	    g_queue_is_empty(&budget->waiting))
		budget->changed_us = now_us;
	budget->checked_us = now_us;
	budget->checked_changes = budget->changes;
	budget->checked_waits = budget->waits;
	if (waits)
		budget->waited_us = now_us;
	if (waits == budget->used_up ||
	    (!waits && now_us - budget->waited_us < BYTE_STALL_US))
		return BYTE_NO_EVENT;
	budget->used_up = waits;
	return waits ? BYTE_USED_UP : BYTE_FREE;
}

static bool drops_before(const struct byte_account *a,
			 const struct byte_account *b)
{
	if (!b || a->content != b->content)
		return !b || a->content > b->content;
	return MAX(a->held_bytes, a->drawn_bytes) >
	       MAX(b->held_bytes, b->drawn_bytes);
}

struct byte_account *byte_budget_stalled(struct byte_budget *budget)
{
	struct byte_account *chosen = NULL;
	const GList *at;

	if (g_queue_is_empty(&budget->waiting) ||
	    budget->checked_us - budget->changed_us < BYTE_STALL_US)
		return NULL;
	for (at = budget->accounts.head; at; at = at->next) {
		struct byte_account *account = at->data;

		if (account->content != BYTE_KEPT &&
		    account->held_bytes >= BYTE_ALLOWANCE &&
		    drops_before(account, chosen))
			chosen = account;
	}
	if (chosen)
		budget->dropped++;
	return chosen;
}
