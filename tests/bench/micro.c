#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "bench/world.h"
#include "core/steer.h"

#define DECISIONS 200000
#define NS_PER_S 1000000000ull

static const uint32_t sizes[] = { 2, 6, 24, 100, 400 };

static uint64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

static void fill_gate(struct gate *gate, uint32_t count)
{
	struct gate_backend_spec *specs =
		g_new0(struct gate_backend_spec, count);
	char **names = g_new0(char *, count + 1);
	uint32_t i;

	for (i = 0; i < count; i++) {
		names[i] = g_strdup_printf("backend-%u", i);
		specs[i].name = names[i];
		specs[i].slots = 8;
	}
	gate_set_backends(gate, specs, count, 1);
	g_strfreev(names);
	g_free(specs);
}

/* One offer and its finish, with half of the slots in use. */
static double gate_ns(uint32_t count)
{
	struct gate *gate = gate_new();
	struct gate_request request = { SERVICE_INTERACTIVE, UINT64_MAX / 8,
					gate };
	uint32_t busy = count * 4;
	uint32_t *running = g_new0(uint32_t, busy);
	struct gate_decision decision;
	uint64_t start_ns;
	uint64_t end_ns;
	uint32_t i;

	fill_gate(gate, count);
	for (i = 0; i < busy; i++) {
		gate_offer(gate, &request, 1, &decision);
		running[i] = decision.backend;
	}
	start_ns = cpu_ns();
	for (i = 0; i < DECISIONS; i++) {
		gate_finish(gate, running[i % busy], GATE_ANSWERED, 20 * MS, i);
		gate_offer(gate, &request, i, &decision);
		running[i % busy] = decision.backend;
	}
	end_ns = cpu_ns();
	gate_free(gate);
	g_free(running);
	return (double)(end_ns - start_ns) / DECISIONS;
}

static double gate_bytes(uint32_t count)
{
	struct gate *gate = gate_new();
	size_t before = mallinfo2().uordblks;
	size_t after;

	fill_gate(gate, count);
	after = mallinfo2().uordblks;
	gate_free(gate);
	return (double)(after - before) / count;
}

/* One choice and its feedback, all places reported and half in use. */
static double steer_ns(uint32_t count)
{
	struct steer *steer = steer_new();
	struct steer_place_spec *specs = g_new0(struct steer_place_spec, count);
	struct steer_request request = { .class_of = SERVICE_INTERACTIVE };
	struct steer_feedback feedback = { .result = RESULT_OK,
					   .latency_us = 21 * MS };
	struct gate_summary report = { 100, 50, 0, 20 * MS, 0 };
	struct steer_choice choice;
	uint64_t start_ns;
	uint64_t end_ns;
	uint32_t i;

	for (i = 0; i < count; i++) {
		specs[i].place = i;
		specs[i].one_way_us = i * 500;
		specs[i].slots = 100;
	}
	steer_set_places(steer, specs, count, 1);
	for (i = 0; i < count; i++)
		steer_report(steer, i, &report, 0, SECOND);
	request.home = CONFIG_NONE;
	start_ns = cpu_ns();
	for (i = 0; i < DECISIONS; i++) {
		request.draw = i * 2654435769u;
		request.deadline_us = 2 * SECOND + i;
		steer_choose(steer, &request, SECOND + i, &choice);
		feedback.place = choice.place;
		feedback.shift = choice.shift;
		steer_learn(steer, &feedback, SECOND + i);
	}
	end_ns = cpu_ns();
	steer_free(steer);
	g_free(specs);
	return (double)(end_ns - start_ns) / DECISIONS;
}

void micro_run(uint32_t only_size)
{
	uint32_t i;

	printf("| size | gate, ns a request | gate, bytes a backend server |"
	       " steer, ns a request |\n|---|---|---|---|\n");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		if (!only_size || sizes[i] == only_size)
			printf("| %u | %.0f | %.0f | %.0f |\n", sizes[i],
			       gate_ns(sizes[i]), gate_bytes(sizes[i]),
			       steer_ns(sizes[i]));
}
