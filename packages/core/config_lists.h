/*
 * config_lists - the lists of struct config, for what handles them all alike
 *
 * Internal to config.c and config_decode.c.
 */
#ifndef CORE_CONFIG_LISTS_H
#define CORE_CONFIG_LISTS_H

#include <stddef.h>
#include <stdint.h>

#include "core/config.h"

/* Lists in the order of reading: later ones refer to earlier ones. */
enum config_list {
	CONFIG_LIST_SERVICES,
	CONFIG_LIST_PLACES,
	CONFIG_LIST_NODES,
	CONFIG_LIST_BACKENDS,
	CONFIG_LIST_LINKS,
	CONFIG_LIST_SHIFTS,
	CONFIG_LIST_BLOCKS,
	CONFIG_LIST_COMMANDS,
	CONFIG_LIST_COUNT,
};

/* Where struct config keeps a list. */
struct config_list_field {
	const char *name; /* the document's member */
	size_t item_size;
	size_t items_offset; /* of the array's pointer in struct config */
	size_t count_offset;
};

extern const struct config_list_field config_list_fields[CONFIG_LIST_COUNT];

/* The array's pointer and its count in this configuration. */
void **config_list_items(struct config *config, enum config_list list);
uint32_t *config_list_count(struct config *config, enum config_list list);

/* The order in which struct config keeps blocks, for qsort() and bsearch(). */
int config_compare_blocks(const void *a, const void *b);

#endif
