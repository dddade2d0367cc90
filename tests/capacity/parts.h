/*
 * parts - what `capacity` can measure, each printed as a table
 */
#ifndef CAPACITY_PARTS_H
#define CAPACITY_PARTS_H

#include <stdbool.h>

#include "capacity/document.h"

/* Sizes measured, from today's to the wanted one. */
#define PART_SIZES 4

extern const struct document_size part_sizes[PART_SIZES];

/* Each takes how many of the sizes to measure; false where it can't. */
bool part_config(int sizes);
bool part_lookup(int sizes);
bool part_refresh(int sizes);
bool part_view(int sizes);
bool part_ledger(int sizes);
bool part_accounts(int sizes);
bool part_http(int sizes);
bool part_threads(int sizes);
bool part_nodes(int sizes);
bool part_probes(int sizes);
bool part_seats(int sizes);
bool part_rejoin(int sizes);
bool part_blocks(int sizes);
bool part_spread(int sizes);

#endif
