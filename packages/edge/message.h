/*
 * message - an HTTP/1.1 request or answer, and its reader
 *
 * The reader uses http-parser. A message is buffered whole, so that a request
 * can be sent again and an answer that is cut off is never delivered in part.
 * Not thread-safe.
 */
#ifndef EDGE_MESSAGE_H
#define EDGE_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/message_grammar.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A header: offsets of its NUL-terminated strings in the message's text. */
struct header {
	uint32_t name;
	uint32_t value;
};

struct message {
	GString *text; /* names and values of headers */
	GArray *headers; /* of struct header */
	GString *target; /* of a request, as it was received */
	GByteArray *body;
	uint16_t status; /* of an answer */
	uint8_t method; /* of a request, enum http_method */
	bool keep_alive; /* the connection stays open after it */
	bool expects_continue; /* waits for "100 Continue" before the body */
	bool until_close; /* an answer without length: the connection's
			     end is its end */
	bool has_length; /* has a Content-Length or is chunked */
};

enum message_state {
	MESSAGE_PARTIAL, /* needs more bytes */
	MESSAGE_HEAD, /* unused: no reader reports it */
	MESSAGE_COMPLETE,
	MESSAGE_MALFORMED, /* not HTTP/1.x, or ambiguous length */
	MESSAGE_HEAD_TOO_LARGE,
	MESSAGE_BODY_TOO_LARGE,
};

struct message_limits {
	/*
	 * Target, header names and values, and trailers. An answer's interim
	 * answers count with it.
	 */
	uint64_t head_bytes;
	uint64_t body_bytes;
};

struct message_reader {
	http_parser parser;
	struct message_grammar grammar;
	const char *unchecked; /* first byte that the grammar hasn't seen */
	struct message *message;
	struct message_limits limits;
	uint64_t head_bytes; /* read so far */
	uint64_t framing_bytes; /* all that were read but the body's */
	enum message_state state;
	bool in_value; /* the last header's value has begun */
	bool no_body; /* the answer to a HEAD request */
	bool started; /* a byte of the message was read */
	bool at_end; /* the connection has ended */
};

/* A new, empty message, to free by message_free(). */
struct message *message_new(void);
void message_free(struct message *message);

/* Bytes of it that are held, to be counted in a byte_budget; of NULL: 0. */
uint64_t message_held_bytes(const struct message *message);

/* Value of the first header of this name (in any case), or NULL. */
const char *message_header(const struct message *message, const char *name);

/* Number of headers of this name. */
uint32_t message_count_headers(const struct message *message, const char *name);

/*
 * Start reading requests or answers, by type. Release frees the message being
 * read, if it wasn't taken.
 */
void message_reader_init(struct message_reader *reader,
			 enum http_parser_type type,
			 const struct message_limits *limits);
void message_reader_release(struct message_reader *reader);

/*
 * Start reading the next message of the same connection; frees the current one
 * if it wasn't taken. no_body: it answers a HEAD request.
 */
void message_reader_next(struct message_reader *reader, bool no_body);

/*
 * Read length bytes, 0 at the end of the connection. Sets *used to how many of
 * them were consumed; the rest belongs to the next message.
 */
enum message_state message_reader_feed(struct message_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used);

/*
 * Bytes to be read next, to draw on a byte_budget: the rest of the message, or
 * BYTE_READ_MAX where that is unknown. Rounded up, the last read of a message
 * would have to wait for what it doesn't need.
 */
uint64_t message_reader_next_bytes(const struct message_reader *reader);

/*
 * The message that was read; ownership passes to the caller. Call
 * message_reader_next() before reading on.
 */
struct message *message_reader_take(struct message_reader *reader);

/*
 * Append the headers to out, a line each, but for hop-by-hop headers, framing
 * and those of the NULL-terminated list excluded (which may be NULL).
 */
void message_copy_headers(const struct message *message,
			  const char *const *excluded, GString *out);

#ifdef __cplusplus
}
#endif

#endif
