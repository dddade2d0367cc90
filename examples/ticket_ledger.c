/*
 * ticket_ledger - run a ticket once and answer a resend with the kept answer
 *
 * Shows what a node does for a non-idempotent request, without network or
 * clock.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/ticket.h"

static void start(struct ledger *ledger, const char *ticket, uint64_t epoch)
{
	const struct ledger_answer *kept = NULL;
	enum result result = ledger_start(ledger, ticket, epoch, &kept);

	if (kept)
		printf("%s: ran before, the answer was %s\n", ticket,
		       kept->body);
	else if (result == RESULT_OK)
		printf("%s: runs now\n", ticket);
	else
		printf("%s: %s\n", ticket, result_name(result));
}

int main(void)
{
	struct ledger *ledger = ledger_new(1000);
	struct ticket ticket = { "n1", 4711, ticket_epoch(0), 4711, 1 };
	struct ledger_answer answer = { 200, NULL, g_strdup("certificate 17"),
					strlen("certificate 17") };
	const struct ledger_answer *kept = NULL;
	char first[ID_SIZE];
	char second[ID_SIZE];

	ticket_format(&ticket, first);
	start(ledger, first, ticket.epoch);
	start(ledger, first, ticket.epoch);
	ledger_finish(ledger, first, LEDGER_DONE, &answer);
	start(ledger, first, ticket.epoch);

	/* A tombstone: once "not run" is answered, no delayed copy may run. */
	ticket.sequence = 2;
	ticket_format(&ticket, second);
	if (ledger_fence(ledger, second, ticket.epoch, &kept) == LEDGER_ABSENT)
		printf("%s: not run, and never will\n", second);
	start(ledger, second, ticket.epoch);
	ledger_free(ledger);
	return 0;
}
