/*
 * endpoint - "ADDRESS:PORT" as people write it, by IPv4 number
 */
#ifndef CORE_ENDPOINT_H
#define CORE_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/build_options.h"

#ifdef __cplusplus
extern "C" {
#endif

struct endpoint {
	char address[NAME_SIZE]; /* IPv4 number */
	uint16_t port; /* from 1 */
};

/*
 * Read the text whole; false where it isn't an IPv4 number, a colon and a port,
 * or takes NAME_SIZE bytes or more. *endpoint is undefined then.
 */
bool endpoint_parse(const char *text, struct endpoint *endpoint);

/* Whether the text is an IPv4 number. */
bool endpoint_is_address(const char *text);

#ifdef __cplusplus
}
#endif

#endif
