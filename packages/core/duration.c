#include "core/duration.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MAX_DURATION_US (86400 * US_PER_S)

static bool parse_us(const char *text, double *value_us)
{
	char *end = NULL;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	*value_us = g_ascii_strtod(text, &end);
	if (!strcmp(end, "ms"))
		*value_us *= (double)US_PER_MS;
	else if (!strcmp(end, "s"))
		*value_us *= (double)US_PER_S;
	else
		return false;
	return *value_us >= 0;
}

bool duration_parse(const char *text, uint64_t *span_us)
{
	double value_us;

	if (!parse_us(text, &value_us) || value_us > (double)MAX_DURATION_US)
		return false;
	*span_us = (uint64_t)(value_us + 0.5);
	return true;
}

bool duration_parse_capped(const char *text, uint64_t *span_us)
{
	double value_us;

	if (!parse_us(text, &value_us))
		return false;
	*span_us = (uint64_t)(fmin(value_us, (double)MAX_DURATION_US) + 0.5);
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
