#include "core/result.h"

#include <stddef.h>

struct result_row {
	enum result code;
	const char *name;
	int http_status;
};

static const struct result_row result_rows[] = {
	{ RESULT_OK, "ok", 200 },
	{ RESULT_OVERLOAD, "overload", 503 },
	{ RESULT_DEADLINE_TOO_SHORT, "deadline-too-short", 503 },
	{ RESULT_DEADLINE_EXPIRED, "deadline-expired", 503 },
	{ RESULT_SHIFT_CAP, "shift-cap", 503 },
	{ RESULT_NO_PLACE, "no-place", 503 },
	{ RESULT_STOPPING, "stopping", 503 },
	{ RESULT_NO_CONFIG, "no-config", 503 },
	{ RESULT_UNKNOWN_SERVICE, "unknown-service", 404 },
	{ RESULT_TICKET_REQUIRED, "ticket-required", 428 },
	{ RESULT_TICKET_MALFORMED, "ticket-malformed", 400 },
	{ RESULT_BODY_TOO_LARGE, "body-too-large", 413 },
	{ RESULT_BAD_REQUEST, "bad-request", 400 },
	{ RESULT_FENCED, "fenced", 409 },
	{ RESULT_BACKEND_SHED, "backend-shed", 503 },
	{ RESULT_SERVICE_STOPPED, "service-stopped", 503 },
	{ RESULT_CONNECT_FAILED, "connect-failed", 503 },
	{ RESULT_OTHER_INCARNATION, "other-incarnation", 503 },
	{ RESULT_OUTCOME_UNKNOWN, "outcome-unknown", 502 },
	{ RESULT_TICKET_ELSEWHERE, "ticket-elsewhere", 421 },
	{ RESULT_IN_PROGRESS, "in-progress", 409 },
	{ RESULT_TIMED_OUT, "timed-out", 504 },
	{ RESULT_ATTEMPTS_FAILED, "attempts-failed", 502 },
	{ RESULT_ANSWER_DROPPED, "answer-dropped", 410 },
	{ RESULT_SYNTAX, "syntax", 400 },
	{ RESULT_CONFLICT, "conflict", 409 },
	{ RESULT_UNKNOWN_NAME, "unknown-name", 404 },
	{ RESULT_PLATFORM_UNAVAILABLE, "platform-unavailable", 503 },
	{ RESULT_UNSETTLED, "unsettled", 504 },
	{ RESULT_UNREACHABLE, "unreachable", 502 },
	{ RESULT_OUT_OF_RANGE, "out-of-range", 422 },
	{ RESULT_SETTINGS_UNREADABLE, "settings-unreadable", 500 },
	{ RESULT_SETTINGS_INVALID, "settings-invalid", 500 },
	{ RESULT_CONFIG_INVALID, "config-invalid", 500 },
	{ RESULT_CONFIG_OLDER, "config-older", 409 },
	{ RESULT_INTERNAL, "internal", 500 },
	{ RESULT_SYSTEM, "system", 500 },
};

G_DEFINE_QUARK(result - error - quark, result_error)

/* NULL if no code has the number. */
static const struct result_row *find_row(int number)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(result_rows); i++)
		if ((int)result_rows[i].code == number)
			return &result_rows[i];
	return NULL;
}

const char *result_name(enum result code)
{
	const struct result_row *row = find_row(code);

	return row ? row->name : "unnumbered";
}

int result_http_status(enum result code)
{
	const struct result_row *row = find_row(code);

	return row ? row->http_status : 500;
}

int result_exit_status(enum result code)
{
	return (int)code / 100;
}

bool result_proves_not_run(enum result code)
{
	return (int)code / 100 == 1;
}

enum result result_from_number(int number)
{
	const struct result_row *row = find_row(number);

	return row ? row->code : RESULT_INTERNAL;
}
