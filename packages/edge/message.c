#include "edge/message.h"

#include <string.h>

#include "edge/byte_budget.h"

/* Hop-by-hop headers (RFC 9110, 7.6.1), and those of the framing. */
static const char *const hop_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Transfer-Encoding",
	"TE",
	"Trailer",
	"Upgrade",
	"Content-Length",
	"Expect",
	"Proxy-Authenticate",
	"Proxy-Authorization",
};

/*
 * What a head may have beside the bytes that its limit counts: a status line,
 * line ends, blanks.
 */
#define FRAMING_EXTRA_BYTES 4096

/*
 * Framing allowed for each byte of a body. A chunk of one byte has 5, or more
 * where its size has leading zeros.
 */
#define FRAMING_BYTES_PER_BODY_BYTE 16

struct message *message_new(void)
{
	struct message *message = g_new0(struct message, 1);

	message->text = g_string_sized_new(256);
	message->headers = g_array_new(FALSE, TRUE, sizeof(struct header));
	message->target = g_string_sized_new(64);
	message->body = g_byte_array_new();
	return message;
}

void message_free(struct message *message)
{
	if (!message)
		return;
	g_string_free(message->text, TRUE);
	g_array_unref(message->headers);
	g_string_free(message->target, TRUE);
	g_byte_array_unref(message->body);
	g_free(message);
}

uint64_t message_held_bytes(const struct message *message)
{
	if (!message)
		return 0;
	return message->text->len + message->target->len + message->body->len +
	       message->headers->len * sizeof(struct header);
}

static const struct header *header_at(const struct message *message, guint i)
{
	return &g_array_index(message->headers, struct header, i);
}

static const char *name_at(const struct message *message, guint i)
{
	return message->text->str + header_at(message, i)->name;
}

static const char *value_at(const struct message *message, guint i)
{
	return message->text->str + header_at(message, i)->value;
}

const char *message_header(const struct message *message, const char *name)
{
	guint i;

	for (i = 0; i < message->headers->len; i++)
		if (!g_ascii_strcasecmp(name_at(message, i), name))
			return value_at(message, i);
	return NULL;
}

uint32_t message_count_headers(const struct message *message, const char *name)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < message->headers->len; i++)
		if (!g_ascii_strcasecmp(name_at(message, i), name))
			count++;
	return count;
}

static int stop(struct message_reader *reader, enum message_state state)
{
	reader->state = state;
	return -1;
}

static int count_head(struct message_reader *reader, size_t length)
{
	reader->head_bytes += length;
	if (reader->head_bytes > reader->limits.head_bytes)
		return stop(reader, MESSAGE_HEAD_TOO_LARGE);
	return 0;
}

/*
 * Checks the bytes up to end, which aren't the body's. Where they are invalid,
 * nothing that the head says counts.
 */
static int check_grammar(struct message_reader *reader, const char *end)
{
	const char *begin = reader->unchecked;

	reader->unchecked = end;
	if (message_grammar_check(&reader->grammar, begin,
				  (size_t)(end - begin)))
		return 0;
	reader->message->status = 0;
	return stop(reader, MESSAGE_MALFORMED);
}

static int on_target(http_parser *parser, const char *at, size_t length)
{
	struct message_reader *reader = parser->data;

	g_string_append_len(reader->message->target, at, (gssize)length);
	return count_head(reader, length);
}

static bool ends_blank(const GString *text)
{
	char last = text->len ? text->str[text->len - 1] : '\0';

	return last == ' ' || last == '\t';
}

/* White space behind a value isn't part of it (RFC 9110, 5.5). */
static void end_value(struct message_reader *reader)
{
	GString *text = reader->message->text;

	if (!reader->in_value)
		return;
	while (ends_blank(text))
		g_string_truncate(text, text->len - 1);
	g_string_append_c(text, '\0');
	reader->in_value = false;
}

static void begin_header(struct message_reader *reader)
{
	struct message *message = reader->message;
	struct header header = { (uint32_t)message->text->len, 0 };

	g_array_append_val(message->headers, header);
}

static struct header *last_header(struct message *message)
{
	return &g_array_index(message->headers, struct header,
			      message->headers->len - 1);
}

/* Trailers are read and dropped (RFC 9110, 6.5.1). */
static bool is_trailer(const http_parser *parser)
{
	return parser->flags & F_TRAILING;
}

static int on_name(http_parser *parser, const char *at, size_t length)
{
	struct message_reader *reader = parser->data;
	struct message *message = reader->message;
	bool is_new = reader->in_value || !message->headers->len;

	if (is_trailer(parser))
		return count_head(reader, length + 4);
	end_value(reader);
	if (is_new)
		begin_header(reader);
	g_string_append_len(message->text, at, (gssize)length);
	return count_head(reader, length + 4);
}

static int on_value(http_parser *parser, const char *at, size_t length)
{
	struct message_reader *reader = parser->data;
	struct message *message = reader->message;

	if (is_trailer(parser))
		return count_head(reader, length);
	if (!reader->in_value) {
		g_string_append_c(message->text, '\0');
		last_header(message)->value = (uint32_t)message->text->len;
		reader->in_value = true;
	}
	g_string_append_len(message->text, at, (gssize)length);
	return count_head(reader, length);
}

static bool has_token(const char *list, const char *token)
{
	char **items = g_strsplit(list, ",", -1);
	bool found = false;
	int i;

	for (i = 0; items[i] && !found; i++)
		found = !g_ascii_strcasecmp(g_strstrip(items[i]), token);
	g_strfreev(items);
	return found;
}

/*
 * Whether the coding can be taken off. The field isn't passed on, so a body in
 * another coding would be taken for one without any. A sender of HTTP/1.0
 * doesn't know chunks (RFC 9112, 6.1).
 */
static bool is_coding_known(const http_parser *parser, const char *coding)
{
	return !coding ||
	       (!g_ascii_strcasecmp(coding, "chunked") &&
		(parser->flags & F_CHUNKED) && parser->http_minor >= 1);
}

static bool framing_is_unambiguous(const http_parser *parser,
				   const struct message *message)
{
	const char *coding = message_header(message, "Transfer-Encoding");

	return is_coding_known(parser, coding) &&
	       message_count_headers(message, "Content-Length") <= 1 &&
	       message_count_headers(message, "Transfer-Encoding") <= 1 &&
	       !(message_header(message, "Content-Length") && coding);
}

/* No request asks for another protocol: Upgrade isn't passed on. */
static bool switches_protocol(const http_parser *parser)
{
	return parser->type == HTTP_RESPONSE && parser->status_code == 101;
}

/*
 * RFC 9110, 6.4.1: these have no body. A Content-Length in one is that of
 * another answer's body (as a 304's is that of the 200), so none is waited for.
 */
static bool status_has_no_body(const http_parser *parser)
{
	return parser->type == HTTP_RESPONSE &&
	       (parser->status_code < 200 || parser->status_code == 204 ||
		parser->status_code == 304);
}

static int on_head(http_parser *parser)
{
	struct message_reader *reader = parser->data;
	struct message *message = reader->message;
	const char *expect;

	end_value(reader);
	if (!framing_is_unambiguous(parser, message) ||
	    switches_protocol(parser))
		return stop(reader, MESSAGE_MALFORMED);
	message->status = (uint16_t)parser->status_code;
	message->method = (uint8_t)parser->method;
	message->has_length = (parser->flags & F_CHUNKED) ||
			      message_header(message, "Content-Length");
	expect = message_header(message, "Expect");
	message->expects_continue = expect && has_token(expect, "100-continue");
	if (message->has_length && !(parser->flags & F_CHUNKED) &&
	    !reader->no_body && !status_has_no_body(parser) &&
	    parser->content_length > reader->limits.body_bytes)
		return stop(reader, MESSAGE_BODY_TOO_LARGE);
	return reader->no_body || status_has_no_body(parser) ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct message_reader *reader = parser->data;
	GByteArray *body = reader->message->body;

	if (check_grammar(reader, at))
		return -1;
	reader->unchecked = at + length;
	if (body->len + length > reader->limits.body_bytes)
		return stop(reader, MESSAGE_BODY_TOO_LARGE);
	g_byte_array_append(body, (const guint8 *)at, (guint)length);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct message_reader *reader = parser->data;
	struct message *message = reader->message;

	message->keep_alive = http_should_keep_alive(parser);
	message->until_close = reader->at_end;
	reader->state = MESSAGE_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void message_reader_init(struct message_reader *reader,
			 enum http_parser_type type,
			 const struct message_limits *limits)
{
	memset(reader, 0, sizeof(*reader));
	http_parser_init(&reader->parser, type);
	message_grammar_init(&reader->grammar, type == HTTP_RESPONSE);
	reader->parser.data = reader;
	reader->limits = *limits;
	reader->message = message_new();
}

void message_reader_release(struct message_reader *reader)
{
	message_free(reader->message);
	reader->message = NULL;
}

void message_reader_next(struct message_reader *reader, bool no_body)
{
	enum http_parser_type type = (enum http_parser_type)reader->parser.type;
	struct message_limits limits = reader->limits;

	message_reader_release(reader);
	message_reader_init(reader, type, &limits);
	reader->no_body = no_body;
}

static bool is_interim(const struct message_reader *reader)
{
	return reader->parser.type == HTTP_RESPONSE &&
	       reader->message->status >= 100 && reader->message->status < 200;
}

/* The final answer follows; its head counts together with this one. */
static void next_after_interim(struct message_reader *reader)
{
	uint64_t head_bytes = reader->head_bytes;
	uint64_t framing_bytes = reader->framing_bytes;

	message_reader_next(reader, reader->no_body);
	reader->head_bytes = head_bytes;
	reader->framing_bytes = framing_bytes;
}

/* It is paused behind a complete message. */
static bool has_parser_failed(const struct message_reader *reader)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

	return error != HPE_OK && error != HPE_PAUSED;
}

/* Returns how many bytes were consumed. */
static size_t parse(struct message_reader *reader, const char *bytes,
		    size_t length)
{
	const GByteArray *body = reader->message->body;
	guint body_before = body->len;
	size_t used;

	reader->unchecked = bytes;
	used = http_parser_execute(&reader->parser, &callbacks, bytes, length);
	if (!has_parser_failed(reader))
		check_grammar(reader, bytes + used);
	reader->framing_bytes += used - MIN(used, body->len - body_before);
	return used;
}

/*
 * Whether the framing exceeds what any proper answer needs. Bytes that the
 * parser skips are counted here only: a reason phrase, blanks, chunk sizes and
 * extensions.
 */
static bool is_framing_too_large(const struct message_reader *reader)
{
	return reader->parser.type == HTTP_RESPONSE &&
	       reader->framing_bytes >
		       reader->limits.head_bytes + FRAMING_EXTRA_BYTES +
			       (uint64_t)reader->message->body->len *
				       FRAMING_BYTES_PER_BODY_BYTE;
}

enum message_state message_reader_feed(struct message_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used)
{
	size_t offset = 0;

	reader->started |= length > 0;
	reader->at_end = !length;
	do {
		offset += parse(reader, bytes + offset, length - offset);
		*used = offset;
		if (reader->state != MESSAGE_COMPLETE || !is_interim(reader))
			break;
		if (is_framing_too_large(reader))
			return reader->state = MESSAGE_HEAD_TOO_LARGE;
		/* 1xx answers precede the final one, which is read next. */
		next_after_interim(reader);
	} while (offset < length);
	if (reader->state == MESSAGE_PARTIAL && is_framing_too_large(reader))
		return reader->state = MESSAGE_HEAD_TOO_LARGE;
	if (reader->state == MESSAGE_PARTIAL && has_parser_failed(reader))
		reader->state = HTTP_PARSER_ERRNO(&reader->parser) ==
						HPE_HEADER_OVERFLOW ?
					MESSAGE_HEAD_TOO_LARGE :
					MESSAGE_MALFORMED;
	return reader->state;
}

uint64_t message_reader_next_bytes(const struct message_reader *reader)
{
	const http_parser *parser = &reader->parser;
	const struct message *message = reader->message;

	if (!message || !message->has_length || reader->no_body ||
	    (parser->flags & F_CHUNKED) || !parser->content_length ||
	    parser->content_length > reader->limits.body_bytes)
		return BYTE_READ_MAX;
	return parser->content_length;
}

struct message *message_reader_take(struct message_reader *reader)
{
	struct message *message = reader->message;

	reader->message = NULL;
	return message;
}

static bool is_listed(const char *name, const char *const *list)
{
	for (; list && *list; list++)
		if (!g_ascii_strcasecmp(name, *list))
			return true;
	return false;
}

static bool is_hop_header(const struct message *message, const char *name)
{
	const char *connection = message_header(message, "Connection");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_headers); i++)
		if (!g_ascii_strcasecmp(name, hop_headers[i]))
			return true;
	return connection && has_token(connection, name);
}

void message_copy_headers(const struct message *message,
			  const char *const *excluded, GString *out)
{
	guint i;

	for (i = 0; i < message->headers->len; i++) {
		const char *name = name_at(message, i);

		if (is_hop_header(message, name) || is_listed(name, excluded))
			continue;
		g_string_append_printf(out, "%s: %s\r\n", name,
				       value_at(message, i));
	}
}
