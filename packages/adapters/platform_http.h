/*
 * platform_http - the platform's table service and VM list over HTTP
 *
 * Implements ports/platform.h, whose errors it returns. One connection a call
 * at a time; thread-safe. timeout_us is for a whole call.
 *
 * Source: docs/DESIGN.md has the platform's protocol.
 */
#ifndef ADAPTERS_PLATFORM_HTTP_H
#define ADAPTERS_PLATFORM_HTTP_H

#include "ports/platform.h"

#ifdef __cplusplus
extern "C" {
#endif

struct platform *platform_http_new(const char *address, uint16_t port,
				   uint64_t timeout_us);
void platform_http_free(struct platform *platform);

#ifdef __cplusplus
}
#endif

#endif
