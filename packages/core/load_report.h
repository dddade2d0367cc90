/*
 * load_report - what a backend server says of its load in a response
 *
 * The header holds "running,waiting,slots" and, from some servers, a fourth
 * field: the time that work takes there now, in hundredths of the usual.
 */
#ifndef CORE_LOAD_REPORT_H
#define CORE_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Largest value of a field; more is taken for a fault of the server. */
#define LOAD_REPORT_MAX 10000

struct load_report {
	bool has_load; /* both running and waiting are known */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots; /* 0: untold */
	uint32_t work_percent; /* time that work takes; 100: usual, 0: untold */
};

/*
 * Reads each field by itself: one that isn't a decimal number in range counts
 * as untold and leaves the others valid. Fields after the fourth are ignored.
 * Returns whether the first three, and a fourth if there is one, were readable.
 */
bool load_report_parse(const char *text, struct load_report *report);

#ifdef __cplusplus
}
#endif

#endif
