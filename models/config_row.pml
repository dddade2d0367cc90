/*
 * config_row - an accepted command is in the configuration for ever, once
 *
 * What is modelled. The configuration is one row with a version and the set of
 * commands in its history. Two operators send a command each, at once; each
 * command is sent to two nodes under one id (the second because the first one's
 * answer didn't come). A node that handles it reads the row, and where the id
 * isn't there, writes row and command if the version is still the one read.
 * Answers of writes are lost LOSSES times, and a write that was given up may
 * land at any later moment or never. A handler may die at any step. How the
 * row's versions come into force is config_spread.pml; it doesn't act on the
 * row, so that the two can be searched apart.
 *
 * Properties. A command that was answered as accepted is in the row then and
 * ever after (accept, row_is_written), it was applied once (row_is_written), and
 * no two commands were accepted as the same version (accept).
 *
 * Not modelled: the row remembers CONFIG_COMMANDS_KEPT ids only; a command that
 * is sent again after so many others is applied again.
 *
 * Stands for. packages/core/config.c: config_find_command, config_add_command;
 * packages/core/admin.c; packages/ctl/client.c: post, settle; packages/node:
 * the command handler; packages/ports/platform.h.
 *
 * Faults, each removing one guard:
 *   BLIND_WRITE        a write doesn't name the version that was read
 *   LOST_IS_ACCEPTED   a lost answer counts as accepted
 *   LOST_IS_RETRIED    after a lost answer the command is written again without
 *                      a look for its id in the row
 *   NO_READ_BACK       a second node doesn't look for the id either
 */
#define COMMANDS 2
#define HANDLERS 4 /* handler h has command h / 2 */
#ifndef LOSSES
#define LOSSES 2
#endif

#define BIT(command) (1 << (command))

/* The platform's row */
byte row_version = 1;
byte row_commands;

/* What operators were told: the version that the command made */
byte accepted_version[COMMANDS];
byte losses;

/* Handlers' writes that were given up */
bool stray[HANDLERS];
byte stray_base[HANDLERS];
byte stray_commands[HANDLERS];

inline check_accepted()
{
	assert(accepted_version[0] == 0 || (row_commands & BIT(0)));
	assert(accepted_version[1] == 0 || (row_commands & BIT(1)))
}

inline row_is_written(command, commands)
{
	assert(!(row_commands & BIT(command)));
	row_version++;
	row_commands = commands | BIT(command);
	check_accepted()
}

inline accept(command, made)
{
	assert(row_commands & BIT(command));
	accepted_version[command] = made;
	assert(accepted_version[0] != accepted_version[1])
}

/* Version that the command made, as the row's document tells it. */
byte made_version[COMMANDS];

inline land(command, base, commands, landed)
{
#ifdef BLIND_WRITE
	landed = true;
#else
	landed = (row_version == base);
#endif
	if
	:: landed ->
		row_is_written(command, commands);
		made_version[command] = row_version
	:: else -> skip
	fi
}

proctype handler(byte h)
{
	byte command = h / 2;
	byte base;
	byte commands;
	bool landed;

read_row:
	if
	:: atomic { true -> base = row_version; commands = row_commands }
	:: goto gone /* the node dies, or gives up unsettled */
	fi;
#ifdef NO_READ_BACK
	if
	:: atomic { h % 2 == 0 && (commands & BIT(command)) ->
		accept(command, made_version[command]);
		goto gone }
	:: else -> commands = commands & ~BIT(command)
	fi;
#else
	if
	:: atomic { commands & BIT(command) ->
		accept(command, made_version[command]);
		goto gone }
	:: else -> skip
	fi;
#endif

write_row:
	if
	:: atomic { land(command, base, commands, landed);
		if
		:: landed -> goto written
		:: !landed -> goto read_row
		fi }
	:: atomic { losses < LOSSES -> /* it lands later, or never */
		losses++;
		stray[h] = true;
		stray_base[h] = base;
		stray_commands[h] = commands;
		goto lost }
	fi;

written:
	if
	:: atomic { accept(command, made_version[command]); goto gone }
	:: atomic { losses < LOSSES -> losses++; goto lost }
	fi;

lost:
#if defined(LOST_IS_ACCEPTED)
	atomic { accept(command, base + 1); goto gone };
#elif defined(LOST_IS_RETRIED)
	atomic {
		base = row_version;
		commands = row_commands & ~BIT(command);
		goto write_row
	};
#else
	goto read_row;
#endif

gone:
	skip
}

proctype stray_write(byte h)
{
	bool landed;

end:	do
	:: atomic { stray[h] ->
		land((h / 2), stray_base[h], stray_commands[h], landed);
		stray[h] = false }
	:: atomic { stray[h] -> stray[h] = false } /* it never lands */
	od
}

init {
	byte i;

	atomic {
		i = 0;
		do
		:: i < HANDLERS ->
			run handler(i);
			run stray_write(i);
			i++
		:: i == HANDLERS -> break
		od;
		i = 0
	}
}
