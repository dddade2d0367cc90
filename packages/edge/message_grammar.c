#include "edge/message_grammar.h"

#include <glib.h>
#include <string.h>

/*
 * Start of a status line. Where it has a digit, another one may stand: any
 * minor version, and the status codes from 100 to 599.
 */
static const char status_start[] = "HTTP/1.1 500";
#define MINOR_VERSION_AT 7
#define STATUS_AT 9
#define STATUS_START_BYTES (sizeof(status_start) - 1)

static bool is_status_start_byte(uint8_t at, char byte)
{
	if (at == STATUS_AT)
		return byte >= '1' && byte <= '5';
	if (at == MINOR_VERSION_AT || at > STATUS_AT)
		return g_ascii_isdigit(byte);
	return byte == status_start[at];
}

/* RFC 9110, 5.6.2: tchar */
static bool is_token_byte(char byte)
{
	return g_ascii_isalnum(byte) ||
	       (byte && strchr("!#$%&'*+-.^_`|~", byte));
}

/* Of a field's value, a reason phrase or a chunk's extension. */
static bool is_text_byte(char byte)
{
	unsigned char code = (unsigned char)byte;

	return code == '\t' || (code >= ' ' && code != 0x7f);
}

static enum grammar_state end_line(struct message_grammar *grammar, char byte,
				   enum grammar_state next)
{
	if (byte == '\n')
		return next;
	if (byte != '\r')
		return GRAMMAR_INVALID;
	grammar->behind_lf = next;
	return GRAMMAR_LF;
}

/* Lines of chunks end by CR LF only (RFC 9112, 2.2 and 7.1). */
static enum grammar_state end_chunk_line(struct message_grammar *grammar,
					 char byte, enum grammar_state next)
{
	return byte == '\n' ? GRAMMAR_INVALID : end_line(grammar, byte, next);
}

static enum grammar_state in_start_line(struct message_grammar *grammar,
					char byte)
{
	if (!is_status_start_byte(grammar->start_bytes, byte))
		return GRAMMAR_INVALID;
	return ++grammar->start_bytes < STATUS_START_BYTES ?
		       GRAMMAR_START_LINE :
		       GRAMMAR_STATUS_END;
}

/* Behind a head, only chunks have bytes that aren't the body's. */
static enum grammar_state end_fields(struct message_grammar *grammar, char byte)
{
	return end_line(grammar, byte,
			grammar->last_chunk ? GRAMMAR_END :
					      GRAMMAR_CHUNK_START);
}

static enum grammar_state end_chunk_head(struct message_grammar *grammar,
					 char byte)
{
	return end_chunk_line(grammar, byte,
			      grammar->last_chunk ? GRAMMAR_FIELD_START :
						    GRAMMAR_CHUNK_END);
}

static enum grammar_state in_chunk_head(struct message_grammar *grammar,
					char byte)
{
	if (byte == ';')
		return GRAMMAR_CHUNK_EXTENSION;
	if (byte == ' ' || byte == '\t')
		return GRAMMAR_CHUNK_BLANK;
	return end_chunk_head(grammar, byte);
}

static enum grammar_state in_chunk_size(struct message_grammar *grammar,
					char byte)
{
	if (!g_ascii_isxdigit(byte))
		return in_chunk_head(grammar, byte);
	grammar->last_chunk &= byte == '0';
	return GRAMMAR_CHUNK_SIZE;
}

static enum grammar_state next_state(struct message_grammar *grammar, char byte)
{
	switch (grammar->state) {
	case GRAMMAR_START_LINE:
		return in_start_line(grammar, byte);
	case GRAMMAR_STATUS_END:
		if (byte == ' ')
			return GRAMMAR_REASON;
		return end_line(grammar, byte, GRAMMAR_FIELD_START);
	case GRAMMAR_REASON:
		if (is_text_byte(byte))
			return GRAMMAR_REASON;
		return end_line(grammar, byte, GRAMMAR_FIELD_START);
	case GRAMMAR_REQUEST_START:
		return byte == '\r' || byte == '\n' ? GRAMMAR_REQUEST_START :
						      GRAMMAR_REQUEST_LINE;
	case GRAMMAR_REQUEST_LINE:
		return byte == '\n' ? GRAMMAR_FIELD_START :
				      GRAMMAR_REQUEST_LINE;
	case GRAMMAR_FIELD_START:
		if (is_token_byte(byte))
			return GRAMMAR_FIELD_NAME;
		return end_fields(grammar, byte);
	case GRAMMAR_FIELD_NAME:
		if (is_token_byte(byte))
			return GRAMMAR_FIELD_NAME;
		return byte == ':' ? GRAMMAR_FIELD_VALUE : GRAMMAR_INVALID;
	case GRAMMAR_FIELD_VALUE:
		if (is_text_byte(byte))
			return GRAMMAR_FIELD_VALUE;
		return end_line(grammar, byte, GRAMMAR_FIELD_START);
	case GRAMMAR_CHUNK_START:
		grammar->last_chunk = true;
		return g_ascii_isxdigit(byte) ? in_chunk_size(grammar, byte) :
						GRAMMAR_INVALID;
	case GRAMMAR_CHUNK_SIZE:
		return in_chunk_size(grammar, byte);
	case GRAMMAR_CHUNK_BLANK:
		return in_chunk_head(grammar, byte);
	case GRAMMAR_CHUNK_EXTENSION:
		if (is_text_byte(byte))
			return GRAMMAR_CHUNK_EXTENSION;
		return end_chunk_head(grammar, byte);
	case GRAMMAR_CHUNK_END:
		return end_chunk_line(grammar, byte, GRAMMAR_CHUNK_START);
	case GRAMMAR_LF:
		return byte == '\n' ? grammar->behind_lf : GRAMMAR_INVALID;
	case GRAMMAR_END:
	case GRAMMAR_INVALID:
		break;
	}
	return GRAMMAR_INVALID;
}

void message_grammar_init(struct message_grammar *grammar, bool is_answer)
{
	memset(grammar, 0, sizeof(*grammar));
	grammar->state = is_answer ? GRAMMAR_START_LINE : GRAMMAR_REQUEST_START;
}

bool message_grammar_check(struct message_grammar *grammar, const char *bytes,
			   size_t length)
{
	size_t i;

	for (i = 0; i < length && grammar->state != GRAMMAR_INVALID; i++)
		grammar->state = next_state(grammar, bytes[i]);
	return grammar->state != GRAMMAR_INVALID;
}
