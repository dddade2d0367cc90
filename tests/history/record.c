/*
 * record - append one event of a run's driver to a history
 *
 *     record FILE EVENT [NAME=VALUE]…
 *
 * A value of digits only is a number. The time is that of the call.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/event_log.h"

static void set_member(json_t *event, char *member)
{
	char *value = strchr(member, '=');

	if (!value)
		return;
	*value++ = '\0';
	if (*value && strspn(value, "0123456789") == strlen(value))
		json_object_set_new(event, member, json_integer(atoll(value)));
	else
		json_object_set_new(event, member, json_string(value));
}

int main(int argc, char **argv)
{
	struct event_log *log;
	json_t *event;
	int i;

	if (argc < 3) {
		fprintf(stderr, "usage: record FILE EVENT [NAME=VALUE]...\n");
		return EXIT_FAILURE;
	}
	log = event_log_open(argv[1], NULL);
	if (!log)
		return EXIT_FAILURE;
	event = json_pack("{s:I, s:s, s:s}", "t_us", (json_int_t)event_now_us(),
			  "who", "operator", "event", argv[2]);
	for (i = 3; i < argc; i++)
		set_member(event, argv[i]);
	event_log_write(log, event);
	event_log_close(log);
	return EXIT_SUCCESS;
}
