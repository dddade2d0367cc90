/*
 * message_grammar - strict check of the bytes around the bodies of messages
 *
 * Checks start lines of answers, field lines, chunk sizes and trailers by the
 * grammar of RFC 9112. http-parser, which reads the messages, isn't built for
 * strict parsing in distributions: it takes blanks in names, any bytes for the
 * line end behind a chunk, and status codes below 100. A line may end by a
 * single LF where the RFC allows it. Usable without the rest.
 */
#ifndef EDGE_MESSAGE_GRAMMAR_H
#define EDGE_MESSAGE_GRAMMAR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum grammar_state {
	GRAMMAR_START_LINE, /* of an answer */
	GRAMMAR_STATUS_END,
	GRAMMAR_REASON,
	GRAMMAR_REQUEST_START, /* empty lines before a request's first one */
	GRAMMAR_REQUEST_LINE, /* not checked */
	GRAMMAR_FIELD_START,
	GRAMMAR_FIELD_NAME,
	GRAMMAR_FIELD_VALUE,
	GRAMMAR_CHUNK_START,
	GRAMMAR_CHUNK_SIZE,
	GRAMMAR_CHUNK_BLANK, /* behind the size */
	GRAMMAR_CHUNK_EXTENSION,
	GRAMMAR_CHUNK_END, /* behind the data */
	GRAMMAR_LF, /* the line end's second byte */
	GRAMMAR_END, /* behind the trailers */
	GRAMMAR_INVALID,
};

struct message_grammar {
	enum grammar_state state;
	enum grammar_state behind_lf;
	uint8_t start_bytes; /* read of an answer's start line */
	bool last_chunk; /* a chunk's size is 0 so far */
};

/* Start to check a message. */
void message_grammar_init(struct message_grammar *grammar, bool is_answer);

/*
 * Check the next bytes of the message, without those of its body. Returns
 * false, also for all that follows, once they can't be those of a message.
 */
bool message_grammar_check(struct message_grammar *grammar, const char *bytes,
			   size_t length);

#ifdef __cplusplus
}
#endif

#endif
