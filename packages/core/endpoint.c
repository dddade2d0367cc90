#include "core/endpoint.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool endpoint_is_address(const char *text)
{
	struct in_addr number;

	return inet_pton(AF_INET, text, &number) == 1;
}

bool endpoint_parse(const char *text, struct endpoint *endpoint)
{
	const char *colon = strchr(text, ':');
	guint64 port;

	if (!colon || strlen(text) >= NAME_SIZE)
		return false;
	g_strlcpy(endpoint->address, text, (gsize)(colon - text) + 1);
	if (!endpoint_is_address(endpoint->address) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port,
					NULL))
		return false;
	endpoint->port = (uint16_t)port;
	return true;
}
