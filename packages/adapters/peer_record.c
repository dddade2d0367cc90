#include "adapters/peer_record.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define LAST_FRAGMENT 0x80000000u
#define READ_MAX_BYTES (64 * 1024)
/* A fast sender of tiny fragments must not hold the thread. */
#define READS_MAX 128

void peer_record_init(struct peer_record *record, size_t max_bytes)
{
	memset(record, 0, sizeof(*record));
	record->data = g_byte_array_new();
	record->max_bytes = max_bytes;
}

void peer_record_release(struct peer_record *record)
{
	g_byte_array_free(record->data, TRUE);
	record->data = NULL;
}

bool peer_record_is_empty(const struct peer_record *record)
{
	return !record->mark_length && !record->data->len;
}

/* A mark is whole. An empty fragment before the last moves nothing on. */
static bool start_fragment(struct peer_record *record)
{
	uint32_t mark;

	memcpy(&mark, record->mark, sizeof(mark));
	mark = ntohl(mark);
	record->last_fragment = mark & LAST_FRAGMENT;
	record->fragment_left = mark & ~LAST_FRAGMENT;
	if (!record->fragment_left && !record->last_fragment)
		return false;
	return record->fragment_left <= record->max_bytes - record->data->len;
}

static ssize_t receive_mark(struct peer_record *record, int fd)
{
	ssize_t length = recv(fd, record->mark + record->mark_length,
			      sizeof(record->mark) - record->mark_length, 0);

	if (length > 0)
		record->mark_length += (size_t)length;
	return length;
}

static ssize_t receive_data(struct peer_record *record, int fd)
{
	guint held = record->data->len;
	size_t wanted = MIN(record->fragment_left, READ_MAX_BYTES);
	ssize_t length;

	g_byte_array_set_size(record->data, held + (guint)wanted);
	length = recv(fd, record->data->data + held, wanted, 0);
	g_byte_array_set_size(record->data,
			      held + (length > 0 ? (guint)length : 0));
	if (length > 0)
		record->fragment_left -= (uint32_t)length;
	return length;
}

static enum peer_record_state after_failed_read(ssize_t length)
{
	if (length < 0 && (errno == EAGAIN || errno == EINTR))
		return PEER_RECORD_PARTIAL;
	return PEER_RECORD_BROKEN;
}

static bool mark_is_whole(const struct peer_record *record)
{
	return record->mark_length == sizeof(record->mark);
}

enum peer_record_state peer_record_receive(struct peer_record *record, int fd)
{
	int i;

	for (i = 0; i < READS_MAX; i++) {
		bool in_mark = !mark_is_whole(record);
		ssize_t length = in_mark ? receive_mark(record, fd) :
					   receive_data(record, fd);

		if (length <= 0)
			return after_failed_read(length);
		if (!mark_is_whole(record))
			continue;
		if (in_mark && !start_fragment(record))
			return PEER_RECORD_BROKEN;
		if (record->fragment_left)
			continue;
		if (record->last_fragment)
			return PEER_RECORD_COMPLETE;
		record->mark_length = 0;
	}
	return PEER_RECORD_PARTIAL;
}

void peer_record_set_mark(GByteArray *record)
{
	uint32_t mark =
		htonl(LAST_FRAGMENT | (record->len - PEER_RECORD_MARK_SIZE));

	memcpy(record->data, &mark, sizeof(mark));
}
