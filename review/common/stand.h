/*
 * stand - stand-ins of the review's scripts: the platform's store, upstreams,
 * clients, and the machines on which the project's node runs
 *
 * Each connection has a thread and blocking sockets. All times are those of
 * the steady clock, in milliseconds since the program began.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* --- time, record.txt --- */
double now_ms(void);
void sleep_ms(double ms);
void sleep_until(double at_ms);
void record_open(const char *path);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* --- HTTP --- */
struct stream {
	int fd;
	char *data; /* read and not consumed */
	size_t length;
	size_t size;
};

struct http {
	char *head; /* first line and headers, NUL-terminated */
	char *body;
	size_t body_length;
	bool framed; /* it named its length */
	bool whole;
};

int dial(const char *address, int port, int receive_bytes, int segment_bytes);
int serve_at(const char *address, int port);
void stream_init(struct stream *stream, int fd);
void stream_end(struct stream *stream);
bool read_http(struct stream *stream, struct http *http);
void free_http(struct http *http);
bool header_of(const struct http *http, const char *name, char *value,
	       size_t size);
int status_of(const struct http *http);
bool send_all(int fd, const void *bytes, size_t length);
bool send_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* --- the platform's store --- */
void store_start(const char *address, int port);
void store_put(const char *table, const char *key, const char *value);
/* Calls on the table are reset between the two times; NULL: none. */
void store_reset_table(const char *table, double from_ms, double until_ms);

/* --- machines --- */
struct machine {
	char name[64];
	char zone[64];
	char region[64];
	char address[32];
	pid_t pid;
};

struct deployment {
	const char *folder; /* for settings files and logs */
	const char *zones; /* lines of the table [domains] */
	const char *bounds; /* "leave config ratio slack grace" as texts */
	char store[64];
	const char *leave_within;
	const char *config_within;
	const char *allowance;
	const char *memory_mb;
	const char *level; /* of the nodes' logs */
	const char *more; /* further settings, or "" */
};

enum { FRONT = 8548, READY = 8542, LOOKUP = 8546, PEER = 7540, OPERATORS = 7555 };

void machine_start(struct machine *machine, const struct deployment *deployment,
		   bool first_start);
void machine_kill(struct machine *machine, int signal);
/* Waits until all of them answer 200 to the readiness check. */
bool machines_ready(struct machine *machines, int count, double until_ms);
void end_all_machines(void);

/* The second number of the addresses 127.N.x.y that this run uses. */
int claim_net(void);

#endif
