#include "core/load_report.h"

#include <glib.h>
#include <string.h>

enum load_field {
	FIELD_RUNNING,
	FIELD_WAITING,
	FIELD_SLOTS,
	FIELD_WORK_PERCENT,
	FIELD_COUNT,
};

static const char *skip_blanks(const char *at)
{
	return at + strspn(at, " \t");
}

/*
 * Reads digits between blanks, up to a comma or the end. False if there is
 * anything else, or a number that is too large.
 */
static bool read_field(const char *at, uint32_t *value)
{
	uint32_t number = 0;
	uint32_t digits = 0;

	for (at = skip_blanks(at); g_ascii_isdigit(*at); at++, digits++) {
		number = 10 * number + (uint32_t)g_ascii_digit_value(*at);
		if (number > LOAD_REPORT_MAX)
			return false;
	}
	at = skip_blanks(at);
	if (!digits || (*at && *at != ','))
		return false;
	*value = number;
	return true;
}

bool load_report_parse(const char *text, struct load_report *report)
{
	uint32_t values[FIELD_COUNT] = { 0 };
	bool known[FIELD_COUNT] = { false };
	bool well_formed = true;
	uint32_t i;

	for (i = 0; text && i < FIELD_COUNT; i++) {
		const char *comma = strchr(text, ',');

		known[i] = read_field(text, &values[i]) &&
			   (values[i] || i < FIELD_SLOTS);
		well_formed = well_formed && known[i];
		text = comma ? comma + 1 : NULL;
	}
	report->has_load = known[FIELD_RUNNING] && known[FIELD_WAITING];
	report->running = values[FIELD_RUNNING];
	report->waiting = values[FIELD_WAITING];
	report->slots = values[FIELD_SLOTS];
	report->work_percent = values[FIELD_WORK_PERCENT];
	return well_formed && i > FIELD_SLOTS;
}
