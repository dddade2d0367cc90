#include "capacity/meter.h"

#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define NS_PER_S 1000000000ull
#define BATCHES 5
#define BATCH_LEAST_NS (30 * 1000 * 1000ull)

static uint64_t read_clock_ns(clockid_t clock)
{
	struct timespec time;

	if (clock_gettime(clock, &time))
		return 0;
	return (uint64_t)time.tv_sec * NS_PER_S + (uint64_t)time.tv_nsec;
}

static uint64_t run_batch(void (*work)(void *context), void *context,
			  uint64_t times)
{
	uint64_t start_ns = read_clock_ns(CLOCK_THREAD_CPUTIME_ID);
	uint64_t i;

	for (i = 0; i < times; i++)
		work(context);
	return read_clock_ns(CLOCK_THREAD_CPUTIME_ID) - start_ns;
}

uint64_t meter_cost_ns(void (*work)(void *context), void *context)
{
	uint64_t least_ns = UINT64_MAX;
	uint64_t times = 1;
	int i;

	while (run_batch(work, context, times) < BATCH_LEAST_NS)
		times *= 2;
	for (i = 0; i < BATCHES; i++) {
		uint64_t batch_ns = run_batch(work, context, times);

		least_ns = MIN(least_ns, batch_ns / times);
	}
	return least_ns;
}

uint64_t meter_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

uint64_t meter_process_ns(pid_t pid)
{
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock))
		return 0;
	return read_clock_ns(clock);
}

uint64_t meter_status_kb(pid_t pid, const char *member)
{
	char path[64];
	char line[256];
	uint64_t value = 0;
	FILE *file;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	while (!value && fgets(line, sizeof(line), file))
		if (g_str_has_prefix(line, member))
			value = g_ascii_strtoull(line + strlen(member) + 1,
						 NULL, 10);
	fclose(file);
	return value;
}

struct meter_traffic meter_loopback(void)
{
	struct meter_traffic traffic = { 0, 0 };
	char line[512];
	FILE *file = fopen("/proc/net/dev", "r");

	while (file && fgets(line, sizeof(line), file)) {
		char *values = strstr(line, "lo:");

		if (values && sscanf(values, "lo: %" SCNu64 " %" SCNu64,
				     &traffic.bytes, &traffic.packets) == 2)
			break;
	}
	if (file)
		fclose(file);
	return traffic;
}

double meter_now_s(void)
{
	return (double)read_clock_ns(CLOCK_MONOTONIC) / NS_PER_S;
}

void meter_sleep_s(double seconds)
{
	g_usleep((gulong)(seconds * G_USEC_PER_SEC));
}
