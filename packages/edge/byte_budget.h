/*
 * byte_budget - how many bytes of requests and answers a node holds
 *
 * Each connection has an account and may always hold BYTE_ALLOWANCE, and the
 * read that exceeds it. What it holds beyond that, and what it reads next, is
 * drawn on one budget of the node. An account that can't draw that waits, and
 * the waiting ones go on in the order in which they came, as bytes are
 * returned. The rest of a message is drawn at once where its length is known,
 * and an account keeps its place for a whole message: if each message got one
 * read in turn, all would be held in part and none complete. Neither does I/O
 * nor reads a clock: the owner of an account stops and starts reading.
 */
#ifndef EDGE_BYTE_BUDGET_H
#define EDGE_BYTE_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What each connection may hold without drawing on the budget. */
#define BYTE_ALLOWANCE (64 * 1024)

/* Most bytes of one read (edge/wire). */
#define BYTE_READ_MAX (32 * 1024)

/*
 * If nothing was read or returned beyond the allowances for this long while
 * accounts wait, one of them is dropped: they wait for each other.
 */
#define BYTE_STALL_US (1000 * 1000ull)

struct byte_account;

struct byte_account_vtable {
	/* It waited and may read on. */
	void (*resume)(struct byte_account *account);
	/* Give up what it holds, as byte_budget_stalled() chose it. */
	void (*drop)(struct byte_account *account);
};

/* What an account holds, in the order in which it is dropped. */
enum byte_content {
	BYTE_KEPT, /* complete (in use, or being written), or within the
		      allowance: never dropped */
	BYTE_REQUEST, /* an unfinished request */
	BYTE_ANSWER, /* an unfinished answer */
};

struct byte_budget {
	uint64_t limit_bytes; /* 0: unlimited */
	uint64_t drawn_bytes;
	uint64_t held_bytes; /* with what the allowances cover */
	uint64_t tickets; /* given to accounts that wait */
	uint64_t waits; /* times that an account had to wait */
	uint64_t dropped;
	uint64_t changes; /* of what accounts hold beyond their allowances */
	uint32_t moves; /* bytes are being moved between accounts */
	GQueue accounts; /* of struct byte_account */
	GQueue waiting; /* of struct byte_account, by ticket */

	/* As of the latest byte_budget_check(). */
	uint64_t checked_us;
	uint64_t checked_changes;
	uint64_t checked_waits;
	uint64_t changed_us; /* when the last change was seen */
	uint64_t waited_us; /* when an account was last seen to wait */
	bool used_up;
};

struct byte_account {
	const struct byte_account_vtable *vtable;
	struct byte_budget *budget; /* NULL: nothing is counted */
	enum byte_content content;
	uint64_t held_bytes;
	uint64_t next_bytes; /* to be read */
	uint64_t drawn_bytes;
	uint64_t ticket; /* of its first wait for this message; 0: none */
	bool waiting;
	GList link; /* in budget->accounts */
	GList waiting_link; /* in budget->waiting */
};

void byte_budget_init(struct byte_budget *budget, uint64_t limit_bytes);

/* Sets another limit; waiting accounts resume if it allows. */
void byte_budget_set_limit(struct byte_budget *budget, uint64_t limit_bytes);

void byte_account_open(struct byte_account *account,
		       const struct byte_account_vtable *vtable,
		       struct byte_budget *budget);

/* Returns what it holds. May be called more than once. */
void byte_account_close(struct byte_account *account);

/*
 * Sets what the account holds, and what its connection wants to read next: the
 * rest of a message, BYTE_READ_MAX where that is unknown, or 0. Returns whether
 * it may read; if not, it waits until resume().
 */
bool byte_account_hold(struct byte_account *account, enum byte_content content,
		       uint64_t held_bytes, uint64_t next_bytes);

/*
 * While bytes move from one account to another, what the first one returns
 * isn't given to those that wait. Calls nest.
 */
void byte_budget_begin_move(struct byte_budget *budget);
void byte_budget_end_move(struct byte_budget *budget);

enum byte_event {
	BYTE_NO_EVENT,
	BYTE_USED_UP, /* accounts began to wait */
	BYTE_FREE, /* none has waited for BYTE_STALL_US */
};

/* Call it several times a second. Returns what operators should know. */
enum byte_event byte_budget_check(struct byte_budget *budget, uint64_t now_us);

/*
 * After byte_budget_check(): the account to drop, or NULL. It is the one with
 * the largest unfinished answer beyond its allowance, or else request. The
 * caller calls its drop().
 */
struct byte_account *byte_budget_stalled(struct byte_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
