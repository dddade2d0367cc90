#include "core/config.h"

#include <stdlib.h>
#include <string.h>

#include "core/config_lists.h"

/* One-way delays where no link is listed: within a region, between regions. */
#define DEFAULT_ONE_WAY_WITHIN_US 500
#define DEFAULT_ONE_WAY_BETWEEN_US 100000

#define FIELD(member, count)                                    \
	{                                                       \
#member, sizeof(*((struct config *)0)->member), \
			offsetof(struct config, member),        \
			offsetof(struct config, count)          \
	}

const struct config_list_field config_list_fields[CONFIG_LIST_COUNT] = {
	[CONFIG_LIST_SERVICES] = FIELD(services, service_count),
	[CONFIG_LIST_PLACES] = FIELD(places, place_count),
	[CONFIG_LIST_NODES] = FIELD(nodes, node_count),
	[CONFIG_LIST_BACKENDS] = FIELD(backends, backend_count),
	[CONFIG_LIST_LINKS] = FIELD(links, link_count),
	[CONFIG_LIST_SHIFTS] = FIELD(shifts, shift_count),
	[CONFIG_LIST_BLOCKS] = FIELD(blocks, block_count),
	[CONFIG_LIST_COMMANDS] = FIELD(commands, command_count),
};

static const char *const class_names[SERVICE_CLASS_COUNT] = {
	[SERVICE_INTERACTIVE] = "interactive",
	[SERVICE_NON_IDEMPOTENT] = "non-idempotent",
	[SERVICE_BACKGROUND] = "background",
};

const char *service_class_name(enum service_class class_of)
{
	return class_names[class_of];
}

int service_class_from_name(const char *name)
{
	int i;

	for (i = 0; i < SERVICE_CLASS_COUNT; i++)
		if (!strcmp(class_names[i], name))
			return i;
	return -1;
}

bool config_name_is_valid(const char *text, size_t size)
{
	size_t len = strlen(text);

	if (!len || len >= size)
		return false;
	return strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

void **config_list_items(struct config *config, enum config_list list)
{
	return (void **)((char *)config +
			 config_list_fields[list].items_offset);
}

uint32_t *config_list_count(struct config *config, enum config_list list)
{
	return (uint32_t *)((char *)config +
			    config_list_fields[list].count_offset);
}

int config_compare_blocks(const void *a, const void *b)
{
	const struct config_block *x = a;
	const struct config_block *y = b;

	if (x->prefix != y->prefix)
		return x->prefix < y->prefix ? -1 : 1;
	if (x->prefix_bits != y->prefix_bits)
		return x->prefix_bits < y->prefix_bits ? -1 : 1;
	return 0;
}

struct config *config_copy(const struct config *config)
{
	struct config *copy = g_new0(struct config, 1);
	int i;

	*copy = *config;
	for (i = 0; i < CONFIG_LIST_COUNT; i++) {
		enum config_list list = (enum config_list)i;
		size_t item_size = config_list_fields[i].item_size;
		size_t bytes = *config_list_count(copy, list) * item_size;
		char *items = g_malloc0(bytes + item_size);

		if (bytes)
			memcpy(items, *config_list_items(copy, list), bytes);
		*config_list_items(copy, list) = items;
	}
	return copy;
}

void config_free(struct config *config)
{
	int i;

	if (!config)
		return;
	for (i = 0; i < CONFIG_LIST_COUNT; i++)
		g_free(*config_list_items(config, (enum config_list)i));
	g_free(config);
}

/* Find an item by name; each item struct begins with its name or id. */
static uint32_t find_item(const void *items, uint32_t count, size_t item_size,
			  const char *name)
{
	const char *item = items;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(item + i * item_size, name))
			return i;
	return CONFIG_NONE;
}

uint32_t config_find_service(const struct config *config, const char *name)
{
	return find_item(config->services, config->service_count,
			 sizeof(*config->services), name);
}

uint32_t config_find_place(const struct config *config, const char *name)
{
	return find_item(config->places, config->place_count,
			 sizeof(*config->places), name);
}

uint32_t config_find_node(const struct config *config, const char *name)
{
	return find_item(config->nodes, config->node_count,
			 sizeof(*config->nodes), name);
}

uint32_t config_find_backend(const struct config *config, const char *name)
{
	return find_item(config->backends, config->backend_count,
			 sizeof(*config->backends), name);
}

uint32_t config_find_shift(const struct config *config, const char *id)
{
	return find_item(config->shifts, config->shift_count,
			 sizeof(*config->shifts), id);
}

uint64_t config_find_command(const struct config *config, const char *id)
{
	uint32_t index = find_item(config->commands, config->command_count,
				   sizeof(*config->commands), id);

	return index == CONFIG_NONE ? 0 : config->commands[index].version;
}

void config_add_command(struct config *config, const char *id)
{
	struct config_command *commands;
	uint32_t count = config->command_count;

	if (count == CONFIG_COMMANDS_KEPT) {
		count--;
		memmove(config->commands, config->commands + 1,
			count * sizeof(*config->commands));
	}
	commands = g_renew(struct config_command, config->commands, count + 1);
	memset(&commands[count], 0, sizeof(commands[count]));
	g_strlcpy(commands[count].id, id, ID_SIZE);
	commands[count].version = config->version + 1;
	config->commands = commands;
	config->command_count = count + 1;
}

uint32_t config_default_seats(const struct config *config, uint32_t place)
{
	uint32_t nodes = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place == place &&
		    !config->nodes[i].drained)
			nodes++;
	return CLAMP(nodes, 1, SHIFT_MAX_SEATS);
}

void config_add_shift(struct config *config, const struct config_shift *shift)
{
	config->shifts = g_renew(struct config_shift, config->shifts,
				 config->shift_count + 1);
	config->shifts[config->shift_count++] = *shift;
}

void config_remove_shift(struct config *config, uint32_t index)
{
	config->shift_count--;
	memmove(&config->shifts[index], &config->shifts[index + 1],
		(config->shift_count - index) * sizeof(*config->shifts));
}

static const struct config_link *find_link(const struct config *config,
					   const char *from, const char *to)
{
	uint32_t i;

	for (i = 0; i < config->link_count; i++)
		if (!strcmp(config->links[i].from, from) &&
		    !strcmp(config->links[i].to, to))
			return &config->links[i];
	return NULL;
}

/* The link between the regions of two places in either direction, or NULL. */
static const struct config_link *link_between(const struct config *config,
					      uint32_t from, uint32_t to)
{
	const char *from_region = config->places[from].region;
	const char *to_region = config->places[to].region;
	const struct config_link *link;

	link = find_link(config, from_region, to_region);
	return link ? link : find_link(config, to_region, from_region);
}

uint64_t config_one_way_us(const struct config *config, uint32_t from,
			   uint32_t to)
{
	const struct config_link *link;

	if (from == to)
		return 0;
	link = link_between(config, from, to);
	if (link)
		return link->one_way_us;
	return strcmp(config->places[from].region, config->places[to].region) ?
		       DEFAULT_ONE_WAY_BETWEEN_US :
		       DEFAULT_ONE_WAY_WITHIN_US;
}

uint32_t config_link_limit_per_s(const struct config *config, uint32_t from,
				 uint32_t to)
{
	const struct config_link *link;

	if (from == to)
		return 0;
	link = link_between(config, from, to);
	return link ? link->limit_per_s : 0;
}

/* Place of the block with exactly this prefix, or CONFIG_NONE. */
static uint32_t find_block(const struct config *config, uint32_t prefix,
			   uint32_t bits)
{
	struct config_block key = { prefix, bits, 0 };
	const struct config_block *block;

	block = bsearch(&key, config->blocks, config->block_count,
			sizeof(*config->blocks), config_compare_blocks);
	return block ? block->place : CONFIG_NONE;
}

uint32_t config_place_of_address(const struct config *config, uint32_t address)
{
	uint32_t place = CONFIG_NONE;
	int bits;

	if (!config->block_count)
		return CONFIG_NONE;
	for (bits = 32; bits >= 0 && place == CONFIG_NONE; bits--) {
		uint32_t mask = bits ? UINT32_MAX << (32 - bits) : 0;

		place = find_block(config, address & mask, (uint32_t)bits);
	}
	return place;
}
