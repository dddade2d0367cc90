/*
 * meter - processor time, memory and bytes, as the system counts them
 */
#ifndef CAPACITY_METER_H
#define CAPACITY_METER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Nanoseconds of the calling thread's processor time that one call of work
 * takes: the least of several batches, since others use the machine too.
 */
uint64_t meter_cost_ns(void (*work)(void *context), void *context);

/* Bytes that this process has from malloc() now. */
uint64_t meter_heap_bytes(void);

/* Processor time of another process, in nanoseconds; 0 if it is gone. */
uint64_t meter_process_ns(pid_t pid);

/* A member of /proc/PID/status in kilobytes, such as "VmRSS"; 0 if none. */
uint64_t meter_status_kb(pid_t pid, const char *member);

/* Bytes and packets sent over this network namespace's loopback so far. */
struct meter_traffic {
	uint64_t bytes;
	uint64_t packets;
};

struct meter_traffic meter_loopback(void);

/* Wall-clock seconds, and a sleep of so many of them. */
double meter_now_s(void);
void meter_sleep_s(double seconds);

#endif
