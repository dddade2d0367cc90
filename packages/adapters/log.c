#include "adapters/log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "adapters/pairs.h"
#include "core/result.h"

/* A line with its newline; a pipe takes this much whole or not at all. */
#define LINE_SIZE 2048
#define NODE_SIZE 64

struct log_state {
	pthread_mutex_t lock; /* guards the rest; innermost of all locks */
	int fd;
	bool owns_fd;
	char node[NODE_SIZE];
	uint64_t lost; /* lines that nobody could take */
};

static struct log_state log_state = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.fd = STDERR_FILENO,
};
static gint log_most = LOG_INFO;

static const char *const level_names[] = {
	[LOG_ERROR] = "error",
	[LOG_WARNING] = "warning",
	[LOG_INFO] = "info",
	[LOG_DEBUG] = "debug",
};

static GLogLevelFlags glib_level(enum log_level level)
{
	switch (level) {
	case LOG_ERROR:
		/* Not G_LOG_LEVEL_ERROR: that one ends the process. */
		return G_LOG_LEVEL_CRITICAL;
	case LOG_WARNING:
		return G_LOG_LEVEL_WARNING;
	case LOG_INFO:
		return G_LOG_LEVEL_INFO;
	default:
		return G_LOG_LEVEL_DEBUG;
	}
}

static enum log_level level_from_glib(GLogLevelFlags flags)
{
	if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return LOG_ERROR;
	if (flags & G_LOG_LEVEL_WARNING)
		return LOG_WARNING;
	if (flags & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return LOG_INFO;
	return LOG_DEBUG;
}

/*
 * A reader of stderr's pipe that has stopped would block every thread that
 * logs. A pipe that polls writable has room for a whole line (PIPE_BUF), so the
 * write that follows under the lock can't block; else the line is dropped and
 * the next one that goes out tells how many were.
 */
static bool write_line(int fd, const char *line, size_t length)
{
	struct pollfd ready = { .fd = fd, .events = POLLOUT };

	if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
		return false;
	return write(fd, line, length) == (ssize_t)length;
}

static void emit(enum log_level level, const char *pairs)
{
	char line[LINE_SIZE];
	char lost[48] = "";
	int length;

	pthread_mutex_lock(&log_state.lock);
	if (log_state.lost)
		g_snprintf(lost, sizeof(lost), " lost_lines=%" PRIu64,
			   log_state.lost);
	length = g_snprintf(line, sizeof(line),
			    "ts_us=%" PRId64 " level=%s node=%s%s %s\n",
			    g_get_real_time(), level_names[level],
			    log_state.node, lost, pairs);
	if (length >= (int)sizeof(line)) {
		length = sizeof(line) - 1;
		line[length - 1] = '\n';
	}
	if (write_line(log_state.fd, line, (size_t)length))
		log_state.lost = 0;
	else
		log_state.lost++;
	pthread_mutex_unlock(&log_state.lock);
}

static void G_GNUC_PRINTF(3, 4)
	format_pairs(char *text, size_t size, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	(void)pairs_format(text, size, format, args);
	va_end(args);
}

/* All of the process's GLib messages pass here, a library's own too. */
static GLogWriterOutput write_structured(GLogLevelFlags flags,
					 const GLogField *fields, gsize count,
					 gpointer context)
{
	enum log_level level = level_from_glib(flags);
	const char *message = "";
	const char *pairs = NULL;
	char text[LINE_SIZE / 2];
	gsize i;

	(void)context;
	if ((gint)level > g_atomic_int_get(&log_most))
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < count; i++) {
		if (!strcmp(fields[i].key, "LILAC_PAIRS"))
			pairs = fields[i].value;
		else if (!strcmp(fields[i].key, "MESSAGE"))
			message = fields[i].value;
	}
	if (!pairs) {
		format_pairs(text, sizeof(text), "event=library message=%s",
			     message);
		pairs = text;
	}
	emit(level, pairs);
	return G_LOG_WRITER_HANDLED;
}

static void set_writer(void)
{
	g_log_set_writer_func(write_structured, NULL, NULL);
}

bool log_open(const char *node, const char *path, enum log_level most,
	      GError **error)
{
	static pthread_once_t writer_once = PTHREAD_ONCE_INIT;
	int fd = STDERR_FILENO;

	if (path && *path)
		fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			  0644);
	if (fd < 0) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "log file %s: %s", path, g_strerror(errno));
		return false;
	}
	log_close();
	pthread_mutex_lock(&log_state.lock);
	log_state.fd = fd;
	log_state.owns_fd = fd != STDERR_FILENO;
	g_strlcpy(log_state.node, node, sizeof(log_state.node));
	pthread_mutex_unlock(&log_state.lock);
	g_atomic_int_set(&log_most, (gint)most);
	/* GLib takes a writer once in a process' life. */
	pthread_once(&writer_once, set_writer);
	return true;
}

void log_close(void)
{
	pthread_mutex_lock(&log_state.lock);
	if (log_state.owns_fd)
		close(log_state.fd);
	log_state.fd = STDERR_FILENO;
	log_state.owns_fd = false;
	log_state.lost = 0;
	pthread_mutex_unlock(&log_state.lock);
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	char pairs[LINE_SIZE - 256];
	GLogField field = { "LILAC_PAIRS", pairs, -1 };
	size_t head;
	va_list args;

	if ((gint)level > g_atomic_int_get(&log_most))
		return;
	format_pairs(pairs, sizeof(pairs), "event=%s ", event);
	head = strlen(pairs);
	va_start(args, format);
	(void)pairs_format(pairs + head, sizeof(pairs) - head, format, args);
	va_end(args);
	g_log_structured_array(glib_level(level), &field, 1);
}

int log_level_from_name(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (!strcmp(name, level_names[i]))
			return (int)i;
	return -1;
}
