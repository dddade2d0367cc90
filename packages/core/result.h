/*
 * result - numbered result codes, the same at every interface
 *
 * docs/RESULTS.md explains each code. The numbers never change. 100 to 199
 * guarantee that the request did not run and never will under that ticket and
 * attempt; 200 to 299 leave open whether it ran.
 */
#ifndef CORE_RESULT_H
#define CORE_RESULT_H

#include <glib.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

enum result {
	RESULT_OK = 0,

	/* Not run */
	RESULT_OVERLOAD = 101,
	RESULT_DEADLINE_TOO_SHORT = 102,
	RESULT_DEADLINE_EXPIRED = 103,
	RESULT_SHIFT_CAP = 104,
	RESULT_NO_PLACE = 105,
	RESULT_STOPPING = 106,
	RESULT_NO_CONFIG = 107,
	RESULT_UNKNOWN_SERVICE = 108,
	RESULT_TICKET_REQUIRED = 109,
	RESULT_TICKET_MALFORMED = 110,
	RESULT_BODY_TOO_LARGE = 111,
	RESULT_BAD_REQUEST = 112,
	RESULT_FENCED = 113,
	RESULT_BACKEND_SHED = 114,
	RESULT_SERVICE_STOPPED = 115,
	RESULT_CONNECT_FAILED = 116,
	RESULT_OTHER_INCARNATION = 117, /* the node has restarted since */

	/* Outcome unknown, or known to another node */
	RESULT_OUTCOME_UNKNOWN = 201,
	RESULT_TICKET_ELSEWHERE = 202,
	RESULT_IN_PROGRESS = 203,
	RESULT_TIMED_OUT = 204,
	RESULT_ATTEMPTS_FAILED = 205,
	RESULT_ANSWER_DROPPED = 206, /* it ran; its answer was discarded */

	/* Operators' queries and commands */
	RESULT_SYNTAX = 301,
	RESULT_CONFLICT = 302,
	RESULT_UNKNOWN_NAME = 303,
	RESULT_PLATFORM_UNAVAILABLE = 304,
	RESULT_UNSETTLED = 305,
	RESULT_UNREACHABLE = 306,
	RESULT_OUT_OF_RANGE = 307,

	/* Settings and configuration */
	RESULT_SETTINGS_UNREADABLE = 401,
	RESULT_SETTINGS_INVALID = 402,
	RESULT_CONFIG_INVALID = 403,
	RESULT_CONFIG_OLDER = 404,

	/* Errors of the program or its host */
	RESULT_INTERNAL = 501,
	RESULT_SYSTEM = 502,
};

/* The GError domain whose codes are enum result. */
#define RESULT_ERROR (result_error_quark())

GQuark result_error_quark(void);

/* Lower-case name with dashes, for logs and answers; never NULL. */
const char *result_name(enum result code);

/* HTTP status of answers with the code. */
int result_http_status(enum result code);

/* Exit status of command-line programs: 0, or 1 to 5 (code / 100). */
int result_exit_status(enum result code);

/* Whether the code guarantees that the request did not run and will not. */
bool result_proves_not_run(enum result code);

/* The code with this number, or RESULT_INTERNAL if there is none. */
enum result result_from_number(int number);

#ifdef __cplusplus
}
#endif

#endif
