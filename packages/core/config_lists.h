/*
 * config_lists - generic access to the lists of struct config
 *
 * Internal to config.c and config_decode.c.
 */
#ifndef CORE_CONFIG_LISTS_H
#define CORE_CONFIG_LISTS_H

#include <stddef.h>
#include <stdint.h>

#include "core/config.h"

/* Lists in decoding order: items refer only to earlier lists by name. */
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

/* Position of a list in struct config. */
struct config_list_field {
	const char *name; /* of the document's member */
	size_t item_size;
	size_t items_offset; /* of the array's pointer in struct config */
	size_t count_offset;
};

extern const struct config_list_field config_list_fields[CONFIG_LIST_COUNT];

/* Pointers to the array and the item count of a list. */
void **config_list_items(struct config *config, enum config_list list);
uint32_t *config_list_count(struct config *config, enum config_list list);

/* Sort order of config->blocks, for qsort() and bsearch(). */
int config_compare_blocks(const void *a, const void *b);

#endif
