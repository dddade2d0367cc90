/*
 * endpoint - parser of "ADDRESS:PORT" with a numeric IPv4 address
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
	char address[NAME_SIZE]; /* dotted decimal */
	uint16_t port; /* 1 to 65535 */
};

/*
 * Parse the complete text. False if it isn't an IPv4 address, a colon and a
 * port, or has NAME_SIZE bytes or more; *endpoint is undefined then.
 */
bool endpoint_parse(const char *text, struct endpoint *endpoint);

/* Whether the text is an IPv4 address in dotted decimal. */
bool endpoint_is_address(const char *text);

#ifdef __cplusplus
}
#endif

#endif
