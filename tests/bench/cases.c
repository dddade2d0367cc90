#include "bench/world.h"

#define FAULT_S 10
#define FAULT_US (FAULT_S * SECOND)
/* What was in flight when the fault came is measured, too. */
#define MEASURE_US (FAULT_US - SECOND)
#define END_US (40 * SECOND)
#define SHIFT_END_US (190 * SECOND)

/* The users' sizes of today; service times are ours to assume. */
static const struct world_shape historia = {
	.name = "historia",
	.class_of = SERVICE_INTERACTIVE,
	.backends = 12,
	.slots = 7,
	.nodes = 10,
	.service_us = 60 * MS,
	.timeout_us = 2 * SECOND,
	.between_regions_us = 55 * MS,
};

static const struct world_shape certif = {
	.name = "certif",
	.class_of = SERVICE_NON_IDEMPOTENT,
	.backends = 12,
	.slots = 3,
	.nodes = 10,
	.service_us = 120 * MS,
	.timeout_us = 10 * SECOND,
	.between_regions_us = 55 * MS,
};

static const struct world_shape archivo = {
	.name = "archivo",
	.class_of = SERVICE_BACKGROUND,
	.backends = 12,
	.slots = 8,
	.nodes = 10,
	.service_us = 400 * MS,
	.timeout_us = 300 * SECOND,
	.between_regions_us = 55 * MS,
};

static const struct world_shape inventario = {
	.name = "inventario",
	.class_of = SERVICE_INTERACTIVE,
	.backends = 14,
	.slots = 3,
	.nodes = 10,
	.service_us = 60 * MS,
	.timeout_us = 2 * SECOND,
	.between_regions_us = 35 * MS,
};

static const struct world_shape pedidos = {
	.name = "pedidos",
	.class_of = SERVICE_NON_IDEMPOTENT,
	.backends = 12,
	.slots = 3,
	.nodes = 10,
	.service_us = 100 * MS,
	.timeout_us = 10 * SECOND,
	.between_regions_us = 35 * MS,
};

static void slow_server(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		world->backends[0].slowness = 10.0;
}

static void lose_place(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		world_kill_place(world, 0);
	if (second == FAULT_S + 15)
		world_revive_place(world, 0);
}

/* A shift to another region; its cap is below its share of the demand. */
static void start_shift(struct world *world, uint32_t share_permille)
{
	struct world_shift shift = {
		.on = true,
		.from = 0,
		.to = 2,
		.share_permille = share_permille,
		.cap_per_s = (uint32_t)(world->capacity_per_s / 40),
	};

	world_set_shift(world, &shift);
}

static void lose_platform(struct world *world, uint64_t second)
{
	if (second == 2)
		start_shift(world, 500);
	if (second == FAULT_S)
		world->platform_down = true;
	if (second == FAULT_S + 600)
		world->platform_down = false;
}

static void lie(struct world *world, uint64_t second)
{
	if (second != FAULT_S)
		return;
	world->report_lag_us = 10 * SECOND;
	world->liars = true;
}

static void shift_half(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		start_shift(world, 500);
}

static void drain_server(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		world_drain_backend(world, 1);
}

static void burst(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		world->load = 2.0;
	if (second == FAULT_S + 10)
		world->load = 0.3;
}

/* Two thirds of the callers are in one region. */
static void crowd_region(struct world *world, uint64_t second)
{
	uint32_t i;

	if (second == FAULT_S)
		for (i = 0; i < WORLD_PLACES; i++)
			world->home_share[i] = i < 2 ? 0.325 : 0.0875;
}

static void storm(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		world->load = 1.8;
	if (second == FAULT_S + 5)
		world->load = 0.9;
}

static void cut_region(struct world *world, uint64_t second)
{
	if (second == FAULT_S)
		world_cut_region(world, 2);
	if (second == FAULT_S + 15)
		world_cut_region(world, WORLD_NONE);
}

#define STEADY(case_name, case_shape, case_load, calls, old)                   \
	{                                                                      \
		.name = (case_name), .shape = &(case_shape),                   \
		.load = (case_load), .caller_calls = (calls), .uneven = (old), \
		.measure_from_us = FAULT_US, .measure_to_us = END_US,          \
	}

#define FAULT_UNTIL(case_name, case_shape, case_load, calls, action, end_us)   \
	{                                                                      \
		.name = (case_name), .fault = true, .shape = &(case_shape),    \
		.load = (case_load), .caller_calls = (calls), .act = (action), \
		.measure_from_us = MEASURE_US, .measure_to_us = (end_us),      \
	}

#define FAULT(case_name, case_shape, case_load, calls, action) \
	FAULT_UNTIL(case_name, case_shape, case_load, calls, action, END_US)

const struct world_case world_cases[] = {
	STEADY("steady-60", historia, 0.6, 3, false),
	STEADY("steady-90", historia, 0.9, 3, false),
	STEADY("steady-120", historia, 1.2, 1, false),
	STEADY("old-vms-60", historia, 0.6, 3, true),
	STEADY("old-vms-90", historia, 0.9, 3, true),
	STEADY("old-vms-120", historia, 1.2, 1, true),
	FAULT("slow-server", historia, 0.6, 3, slow_server),
	FAULT("place-lost", historia, 0.6, 3, lose_place),
	{
		.name = "platform-away",
		.fault = true,
		.shape = &historia,
		.load = 0.5,
		.caller_calls = 3,
		.measure_from_us = FAULT_US,
		.measure_to_us = 620 * SECOND,
		.act = lose_platform,
	},
	FAULT("stale-lies", historia, 0.7, 3, lie),
	FAULT_UNTIL("shift-cold", historia, 0.5, 3, shift_half, SHIFT_END_US),
	FAULT("drain-80", historia, 0.8, 3, drain_server),
	{
		.name = "archive-burst",
		.fault = true,
		.by_finish = true,
		.shape = &archivo,
		.load = 0.3,
		.caller_calls = 40,
		.measure_from_us = FAULT_US,
		.measure_to_us = FAULT_US + 10 * SECOND,
		.act = burst,
	},
	{
		.name = "link-limit",
		.fault = true,
		.shape = &historia,
		.load = 0.6,
		.caller_calls = 3,
		.link_limit_per_s = 100,
		.measure_from_us = FAULT_US,
		.measure_to_us = END_US,
		.act = crowd_region,
	},
	FAULT("retry-storm", historia, 0.9, 5, storm),
	FAULT("region-cut", historia, 0.6, 3, cut_region),
	STEADY("steady-60", inventario, 0.6, 3, false),
	STEADY("steady-90", inventario, 0.9, 3, false),
	STEADY("steady-120", inventario, 1.2, 1, false),
	STEADY("old-vms-60", inventario, 0.6, 3, true),
	FAULT("slow-server", inventario, 0.6, 3, slow_server),
	FAULT("place-lost", inventario, 0.6, 3, lose_place),
	FAULT("stale-lies", inventario, 0.7, 3, lie),
	FAULT_UNTIL("shift-cold", inventario, 0.5, 3, shift_half, SHIFT_END_US),
	FAULT("drain-80", inventario, 0.8, 3, drain_server),
	FAULT("retry-storm", inventario, 0.9, 5, storm),
	FAULT("region-cut", inventario, 0.6, 3, cut_region),
	STEADY("steady-90", certif, 0.9, 3, false),
	FAULT("place-lost", pedidos, 0.6, 3, lose_place),
	FAULT("region-cut", pedidos, 0.6, 3, cut_region),
};

const uint32_t world_case_count = G_N_ELEMENTS(world_cases);
