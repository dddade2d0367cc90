/*
 * event_log - events of a run as lines of JSON, for the checks after it
 *
 * Each line is one object with "t_us" on CLOCK_BOOTTIME, which all processes
 * of a machine share. Lines are written whole and at once, so that a killed
 * process leaves no half line but its last. Thread-safe.
 */
#ifndef STANDINS_EVENT_LOG_H
#define STANDINS_EVENT_LOG_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct event_log;

/* Microseconds of CLOCK_BOOTTIME. */
uint64_t event_now_us(void);

/* Appends to path; NULL for a log that drops what it is given. */
struct event_log *event_log_open(const char *path, GError **error);
void event_log_close(struct event_log *log);

/* Writes the object and takes over the reference to it. */
void event_log_write(struct event_log *log, json_t *event);

#ifdef __cplusplus
}
#endif

#endif
