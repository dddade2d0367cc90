#include "emulator/commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "edge/wire.h"

/* Longest word of a command. */
#define WORD_BYTES 64

struct commands {
	uv_pipe_t pipe;
	GString *text; /* of a line that isn't whole yet */
	command_taken taken;
	void *context;
};

static bool read_command(const char *line, struct command *command)
{
	char word[WORD_BYTES] = "";
	char node[WORD_BYTES] = "";
	char at[WORD_BYTES] = "";
	unsigned number = 0;

	memset(command, 0, sizeof(*command));
	if (sscanf(line, "grow %u", &number) == 1 ||
	    sscanf(line, "last %u", &number) == 1) {
		command->kind = *line == 'g' ? COMMAND_GROW : COMMAND_LAST;
		command->number = number;
		return number > 0;
	}
	if (sscanf(line, "%63s %63s %63s %u", word, node, at, &number) < 2)
		return false;
	g_strlcpy(command->node, node, sizeof(command->node));
	command->number = number;
	if (!strcmp(word, "down"))
		command->kind = COMMAND_DOWN;
	else if (!strcmp(word, "up"))
		command->kind = COMMAND_UP;
	else if (!strcmp(word, "link"))
		command->kind = COMMAND_LINK;
	else
		return false;
	return command->kind == COMMAND_DOWN ||
	       endpoint_parse(at, &command->at);
}

static void take_lines(struct commands *commands)
{
	struct command command;
	char *end;

	while ((end = strchr(commands->text->str, '\n'))) {
		*end = '\0';
		if (!read_command(commands->text->str, &command)) {
			fprintf(stderr, "emulator: no command: %s\n",
				commands->text->str);
			exit(2);
		}
		commands->taken(commands->context, &command);
		g_string_erase(commands->text, 0,
			       end + 1 - commands->text->str);
	}
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct commands *commands = stream->data;

	if (count < 0) {
		uv_read_stop(stream);
		return;
	}
	g_string_append_len(commands->text, buffer->base, count);
	take_lines(commands);
}

struct commands *commands_open(uv_loop_t *loop, int file, command_taken taken,
			       void *context)
{
	struct commands *commands = g_new0(struct commands, 1);

	commands->text = g_string_new(NULL);
	commands->taken = taken;
	commands->context = context;
	uv_pipe_init(loop, &commands->pipe, 0);
	commands->pipe.data = commands;
	if (uv_pipe_open(&commands->pipe, file)) {
		fprintf(stderr, "emulator: the standard input is no pipe\n");
		exit(2);
	}
	uv_read_start((uv_stream_t *)&commands->pipe, wire_buffer, on_read);
	return commands;
}
