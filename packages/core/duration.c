#include "core/duration.h"

#include <glib.h>
#include <string.h>

#define MAX_DURATION_US (86400 * US_PER_S)

bool duration_parse(const char *text, uint64_t *span_us)
{
	char *end = NULL;
	double value;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	value = g_ascii_strtod(text, &end);
	if (!strcmp(end, "ms"))
		value *= (double)US_PER_MS;
	else if (!strcmp(end, "s"))
		value *= (double)US_PER_S;
	else
		return false;
	if (!(value >= 0 && value <= (double)MAX_DURATION_US))
		return false;
	*span_us = (uint64_t)(value + 0.5);
	return true;
}

bool duration_parse_seconds(const char *text, uint64_t *span_us)
{
	size_t length = text ? strlen(text) : 0;
	double value;

	if (!length || strspn(text, "0123456789.") != length ||
	    strchr(text, '.') != strrchr(text, '.') ||
	    !g_ascii_isdigit(text[0]) || !g_ascii_isdigit(text[length - 1]))
		return false;
	value = g_ascii_strtod(text, NULL) * (double)US_PER_S;
	*span_us = value < (double)MAX_DURATION_US ? (uint64_t)(value + 0.5) :
						     MAX_DURATION_US;
	return true;
}
