/*
 * message - an HTTP/1.1 request or answer, whole, and its reader
 *
 * The reader is http-parser's; a message is held whole, so that a request can
 * be sent again and an answer that breaks off is never half delivered. Not
 * thread-safe.
 */
#ifndef EDGE_MESSAGE_H
#define EDGE_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A header as offsets into the message's text; both parts end with a NUL. */
struct header {
	uint32_t name;
	uint32_t value;
};

struct message {
	GString *text; /* names and values of headers */
	GArray *headers; /* of struct header */
	GString *target; /* of a request, as the sender wrote it */
	GByteArray *body;
	uint16_t status; /* of an answer */
	uint8_t method; /* of a request, enum http_method */
	bool keep_alive; /* the connection goes on after it */
	bool expects_continue; /* waits for "100 Continue" before the body */
	bool until_close; /* an answer without length: ends with its connection
			   */
	bool has_length; /* a length or chunks were given */
};

enum message_state {
	MESSAGE_PARTIAL, /* more bytes are needed */
	MESSAGE_HEAD, /* the head is whole; reported once, if asked for */
	MESSAGE_WHOLE,
	MESSAGE_MALFORMED, /* not HTTP, or framed in two ways */
	MESSAGE_HEAD_TOO_LARGE,
	MESSAGE_BODY_TOO_LARGE,
};

struct message_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
};

struct message_reader {
	http_parser parser;
	struct message *message;
	struct message_limits limits;
	uint64_t head_bytes;
	enum message_state state;
	bool in_value;
	bool no_body; /* the answer to a HEAD request */
	bool started; /* a byte of the message has come */
	bool at_end; /* the connection has ended */
};

struct message *message_new(void);
void message_free(struct message *message);

/* Value of the first header of this name, or NULL. */
const char *message_header(const struct message *message, const char *name);
uint32_t message_count_headers(const struct message *message, const char *name);

/* Begin to read requests, or answers. Release frees what was begun. */
void message_reader_init(struct message_reader *reader,
			 enum http_parser_type type,
			 const struct message_limits *limits);
void message_reader_release(struct message_reader *reader);

/* Begin the next message on the same connection. */
void message_reader_next(struct message_reader *reader, bool no_body);

/*
 * Read on; *used bytes belong to the message or its error. length 0: the
 * connection ended.
 */
enum message_state message_reader_feed(struct message_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used);

/* The whole message, the caller's from then on; message_reader_next()
 * follows.*/
struct message *message_reader_take(struct message_reader *reader);

/* Append the headers that concern more than one connection, but not these. */
void message_copy_headers(const struct message *message,
			  const char *const *excluded, GString *out);

#ifdef __cplusplus
}
#endif

#endif
