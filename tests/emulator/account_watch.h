/*
 * account_watch - client accounts, their callers' keys, and a judge of what ran
 *
 * All accounts have one rate. The first is hot: half of all calls are its own,
 * far more than its rate; the others stay within theirs. A key of the last is
 * taken away midway, and a few calls carry a key that nobody has. Servers must
 * be told the account of each call's key and never get a key. Not thread-safe.
 */
#ifndef EMULATOR_ACCOUNT_WATCH_H
#define EMULATOR_ACCOUNT_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "standins/app_stand.h"

struct account_watch;

/* text: "COUNT:RATE", with at least two accounts; NULL if it is malformed. */
struct account_watch *account_watch_new(const char *text);

/* Appends the accounts as a member of the operator's document. */
void account_watch_append(const struct account_watch *watch, GString *text);

/* The next document takes the key away. */
void account_watch_revoke(struct account_watch *watch);

void account_watch_add(struct account_watch *watch, struct app_stand *stand);

/* The key of the call with this id, which is valid while the watch exists. */
const char *account_watch_call(struct account_watch *watch, const char *id);
/* How the call ended; whether the status is a false one. */
bool account_watch_answered(struct account_watch *watch, const char *id,
			    uint16_t status);

/* Print what ran; whether a promise broke. */
bool account_watch_report(const struct account_watch *watch);

#endif
