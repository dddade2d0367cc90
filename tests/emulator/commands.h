/*
 * commands - lines that a script writes to the emulator while it runs
 *
 * One command a line: link NODE ADDRESS:PORT RATE, up NODE ADDRESS:PORT,
 * down NODE, grow COUNT. One that can't be read ends the program with 2.
 */
#ifndef EMULATOR_COMMANDS_H
#define EMULATOR_COMMANDS_H

#include <stdint.h>
#include <uv.h>

#include "core/endpoint.h"

enum command_kind {
	COMMAND_LINK,
	COMMAND_UP,
	COMMAND_DOWN,
	COMMAND_GROW,
	COMMAND_LAST,
};

struct command {
	enum command_kind kind;
	char node[NAME_SIZE];
	struct endpoint at;
	uint32_t number; /* bytes a second, routes, or seconds */
};

typedef void (*command_taken)(void *context, const struct command *command);

struct commands;

/* Take the lines of a pipe until its end. */
struct commands *commands_open(uv_loop_t *loop, int file, command_taken taken,
			       void *context);

#endif
