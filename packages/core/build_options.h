/*
 * build_options - limits fixed when the programs are built
 *
 * All fixed limits on the memory that input from outside can use.
 */
#ifndef CORE_BUILD_OPTIONS_H
#define CORE_BUILD_OPTIONS_H

/* Names of services, places, nodes and backend servers, with the NUL. */
#define NAME_SIZE 64

/* A request id, a ticket or a command id as text, with the NUL. */
#define ID_SIZE 128

/* Largest request or answer body that a node carries, in bytes. */
#define BODY_MAX_BYTES (1024 * 1024)

/* Largest configuration document, in bytes. */
#define CONFIG_MAX_BYTES (16 * 1024 * 1024)

/* Largest number of items in each list of the configuration document. */
#define CONFIG_MAX_SERVICES 4096
#define CONFIG_MAX_PLACES 4096
#define CONFIG_MAX_NODES 16384
#define CONFIG_MAX_BACKENDS 262144
#define CONFIG_MAX_LINKS 65536
#define CONFIG_MAX_CIDR_BLOCKS 1048576

/* Ids of the latest commands, kept in the configuration document. */
#define CONFIG_COMMANDS_KEPT 64

/* Shifts that may be in force at one time. */
#define CONFIG_MAX_SHIFTS 256

/* Seats that a shift's cap may be split into. */
#define SHIFT_MAX_SEATS 64

/* Largest cap of a shift, in requests a second. */
#define SHIFT_MAX_CAP_PER_S 65536

/* Answers to non-idempotent requests that a node keeps for repeated requests.
 */
#define LEDGER_MAX_ENTRIES 65536

/* Bytes of all answers kept in one ledger. */
#define LEDGER_MAX_ANSWER_BYTES (64 * 1024 * 1024ull)

/* Requests that may wait at the gate of one place for one service. */
#define GATE_MAX_WAITING 1024

/* Attempts of one request, including the first. */
#define REQUEST_MAX_ATTEMPTS 3

#endif
