/* Client accounts: a request's key, its token, and whom to ask for more. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "capacity/meter.h"
#include "capacity/parts.h"
#include "core/account_quota.h"
#include "core/duration.h"

#define KEYS_EACH 2

static const struct {
	uint32_t accounts;
	uint32_t nodes;
	uint32_t regions;
} account_sizes[PART_SIZES] = {
	{ 76, 68, 3 },
	{ 1000, 295, 3 },
	{ 1000, 1100, 9 },
	{ 10000, 1100, 9 },
};

struct account_world {
	struct account_table *accounts;
	struct member_table *members;
	GPtrArray *regions;
	struct account_quota quota;
	uint32_t next;
	uint32_t count;
	uint64_t now_us;
	uint32_t found;
};

static char *key_of(uint32_t account, uint32_t key)
{
	return g_strdup_printf("key-%08u-%02u", account, key);
}

static void add_accounts(struct account_world *world)
{
	uint32_t i;
	uint32_t k;

	world->accounts = account_table_new();
	for (i = 0; i < world->count; i++) {
		char *name = g_strdup_printf("account-%u", i);
		struct account *account =
			account_table_add(world->accounts, name, NULL);

		account->per_s = 42;
		account->burst = 42;
		for (k = 0; k < KEYS_EACH; k++) {
			char *key = key_of(i, k);
			char *digest = account_key_digest(key);

			account_table_add_digest(world->accounts, account,
						 digest, NULL);
			g_free(digest);
			g_free(key);
		}
		g_free(name);
	}
}

static void add_members(struct account_world *world, uint32_t nodes,
			uint32_t regions)
{
	uint32_t i;

	world->members = member_table_new("n0");
	world->regions = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < regions; i++)
		g_ptr_array_add(world->regions, g_strdup_printf("r%u", i));
	for (i = 0; i < nodes; i++) {
		char *name = g_strdup_printf("n%u", i);
		struct member *member = member_table_put(world->members, name);

		g_free(member->region);
		member->region =
			g_strdup(world->regions->pdata[i % MAX(regions, 1)]);
		member->peer.port = 1;
		member_note_heartbeat(member, 1, false, world->now_us);
		g_free(name);
	}
}

static void find_key(void *context)
{
	struct account_world *world = context;
	char *key = key_of(world->next++ % world->count, 1);

	world->found += account_table_find_key(world->accounts, key) != NULL;
	g_free(key);
}

static void take_token(void *context)
{
	struct account_world *world = context;

	world->now_us += US_PER_S;
	if (rate_limit_allows(&world->quota.limit, world->now_us))
		rate_limit_take(&world->quota.limit, world->now_us);
}

static struct account_quota_place place_of(const struct account_world *world)
{
	return (struct account_quota_place){ world->members, world->regions,
					     "r0", true };
}

static void choose_holder(void *context)
{
	struct account_world *world = context;
	const struct account_quota_place place = place_of(world);
	struct account_quota_asked asked;

	world->quota.limit.asked_count = 0;
	world->quota.refusals = 0;
	world->found += account_quota_ask(&world->quota, &place, 1, 110000, 0.5,
					  world->now_us, &asked);
}

bool part_accounts(int sizes)
{
	int i;

	printf("| accounts | nodes | find a key ns | take a token ns | choose "
	       "a holder ns | bytes an account |\n|---|---|---|---|---|---|\n");
	for (i = 0; i < sizes; i++) {
		struct account_world world = { .now_us = US_PER_S };
		const struct account_quota_rule rule = { 5 * US_PER_S, 0.1,
							 20 };
		uint64_t before = meter_heap_bytes();
		struct account_quota_place place;
		uint64_t bytes;

		world.count = account_sizes[i].accounts;
		add_accounts(&world);
		bytes = (meter_heap_bytes() - before) / world.count;
		add_members(&world, account_sizes[i].nodes,
			    account_sizes[i].regions);
		place = place_of(&world);
		account_quota_update(&world.quota,
				     account_table_find(world.accounts,
							"account-1"),
				     &rule, &place, world.now_us);
		printf("| %u | %u | %" PRIu64 " | %" PRIu64 " | %" PRIu64
		       " | %" PRIu64 " |\n",
		       world.count, account_sizes[i].nodes,
		       meter_cost_ns(find_key, &world),
		       meter_cost_ns(take_token, &world),
		       meter_cost_ns(choose_holder, &world),
		       bytes + sizeof(struct account_quota));
		account_table_free(world.accounts);
		member_table_free(world.members);
		g_ptr_array_unref(world.regions);
	}
	return true;
}
