#include "standins/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "core/result.h"

struct event_log {
	int fd; /* -1: events are dropped */
};

uint64_t event_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

struct event_log *event_log_open(const char *path, GError **error)
{
	struct event_log *log;
	int fd = -1;

	if (path)
		fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			  0644);
	if (path && fd < 0) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "can't open %s: %s", path, strerror(errno));
		return NULL;
	}
	log = g_new0(struct event_log, 1);
	log->fd = fd;
	return log;
}

void event_log_close(struct event_log *log)
{
	if (!log)
		return;
	if (log->fd >= 0)
		close(log->fd);
	g_free(log);
}

void event_log_write(struct event_log *log, json_t *event)
{
	char *text;
	char *line;
	ssize_t written;

	if (log->fd < 0) {
		json_decref(event);
		return;
	}
	text = json_dumps(event, JSON_COMPACT);
	json_decref(event);
	line = g_strconcat(text, "\n", NULL);
	free(text);
	/* One write to a file opened to append: lines never mix. */
	written = write(log->fd, line, strlen(line));
	if (written != (ssize_t)strlen(line))
		g_warning("event=history-cut written=%zd", written);
	g_free(line);
}
