/*
 * peer_record - records of RFC 5531 (section 11) on a non-blocking socket
 *
 * A record comes in fragments, each behind four bytes that give its length and
 * whether it is the last. Memory grows with the bytes that came, never with a
 * length that was announced.
 */
#ifndef ADAPTERS_PEER_RECORD_H
#define ADAPTERS_PEER_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define PEER_RECORD_MARK_SIZE 4

/* A record while it comes in. */
struct peer_record {
	GByteArray *data; /* without the marks */
	size_t max_bytes;
	uint8_t mark[PEER_RECORD_MARK_SIZE];
	size_t mark_length; /* bytes of the mark that came */
	uint32_t fragment_left; /* bytes of the fragment still to come */
	bool last_fragment;
};

enum peer_record_state {
	PEER_RECORD_PARTIAL, /* wait until the socket is readable */
	PEER_RECORD_COMPLETE,
	PEER_RECORD_BROKEN, /* closed, failed, malformed or too large */
};

void peer_record_init(struct peer_record *record, size_t max_bytes);
void peer_record_release(struct peer_record *record);

/* Whether no byte of it has come. */
bool peer_record_is_empty(const struct peer_record *record);

/* Read what is there, in bounded time and no byte past the record's end. */
enum peer_record_state peer_record_receive(struct peer_record *record, int fd);

/* Write the mark of a record of one fragment to its first bytes. */
void peer_record_set_mark(GByteArray *record);

#ifdef __cplusplus
}
#endif

#endif
