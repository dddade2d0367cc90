#include "core/rate_limit.h"

#include <string.h>

#include <glib.h>

/* Longest text of a rate: the largest one with six places. */
#define TEXT_MOST 16

bool rate_limit_parse(const char *text, double *per_s)
{
	size_t length = strlen(text);
	double value;

	if (!length || length > TEXT_MOST ||
	    strspn(text, "0123456789.") != length ||
	    strchr(text, '.') != strrchr(text, '.') ||
	    !g_ascii_isdigit(text[length - 1]))
		return false;
	value = g_ascii_strtod(text, NULL);
	if (value < RATE_LIMIT_LEAST_PER_S || value > RATE_LIMIT_MOST_PER_S)
		return false;
	*per_s = value;
	return true;
}
