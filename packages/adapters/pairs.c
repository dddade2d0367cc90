#include "adapters/pairs.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define SPEC_SIZE 32
#define PRECISION_MAX 1000
#define NUMBER_SIZE 400 /* a double in %f has up to 309 digits */
#define CUT_MARK " cut=true"
#define PAIRS_END_SIZE 16 /* a quote, the mark and the NUL */

struct pairs_writer {
	char *text;
	size_t size;
	size_t length;
	bool quoted; /* within quotes of the format */
	bool open; /* a quote stands open in the text */
	bool cut; /* nothing more is put */
};

/* What a conversion takes from the arguments. */
enum argument {
	ARGUMENT_NONE,
	ARGUMENT_INT,
	ARGUMENT_UNSIGNED,
	ARGUMENT_64, /* long, long long, size_t and their kin */
	ARGUMENT_DOUBLE,
	ARGUMENT_POINTER,
	ARGUMENT_TEXT,
};

/* One conversion of a format, such as "%08lx". */
struct conversion {
	char spec[SPEC_SIZE]; /* a whole number as "ll" */
	int precision; /* -1: none */
	enum argument argument;
};

union value {
	int64_t number;
	uint64_t count;
	double real;
	const void *pointer;
};

_Static_assert(sizeof(long) == sizeof(int64_t), "ARGUMENT_64");

/* Put the text whole, or nothing of it and of what follows. */
static void put(struct pairs_writer *writer, const char *text)
{
	size_t length = strlen(text);

	if (writer->cut || length > writer->size - writer->length) {
		writer->cut = true;
		return;
	}
	memcpy(writer->text + writer->length, text, length);
	writer->length += length;
}

static void put_char(struct pairs_writer *writer, char c)
{
	char text[2] = { c, '\0' };

	put(writer, text);
}

static void put_quote(struct pairs_writer *writer)
{
	put_char(writer, '"');
	if (!writer->cut)
		writer->open = !writer->open;
}

static void put_escaped(struct pairs_writer *writer, unsigned char c)
{
	char text[8] = { '\\', (char)c, '\0' };

	if (c == '\n')
		text[1] = 'n';
	else if (c == '\r')
		text[1] = 'r';
	else if (c == '\t')
		text[1] = 't';
	else if (c < ' ' || c == 0x7f)
		g_snprintf(text, sizeof(text), "\\x%02x", c);
	else if (c != '"' && c != '\\')
		g_snprintf(text, sizeof(text), "%c", c);
	put(writer, text);
}

static bool needs_quotes(const char *value, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++) {
		unsigned char c = (unsigned char)value[i];

		if (c <= ' ' || c == 0x7f || strchr("\"\\=", c))
			return true;
	}
	return length == 0;
}

static void put_value(struct pairs_writer *writer, const char *value,
		      int precision)
{
	size_t most = PAIRS_VALUE_MAX;
	bool quote;
	size_t length;
	size_t i;

	if (!value)
		value = "(null)";
	if (precision >= 0 && (size_t)precision < most)
		most = (size_t)precision;
	length = strnlen(value, most);
	quote = !writer->quoted && needs_quotes(value, length);
	if (quote)
		put_quote(writer);
	for (i = 0; i < length; i++)
		put_escaped(writer, (unsigned char)value[i]);
	if (length == PAIRS_VALUE_MAX && value[length])
		put(writer, "...");
	if (quote)
		put_quote(writer);
}

static enum argument argument_of(char type, bool is_long)
{
	if (!type || type == '%')
		return ARGUMENT_NONE;
	if (type == 's')
		return ARGUMENT_TEXT;
	if (type == 'p')
		return ARGUMENT_POINTER;
	if (strchr("eEfFgGaA", type))
		return ARGUMENT_DOUBLE;
	if (is_long)
		return ARGUMENT_64;
	return strchr("dic", type) ? ARGUMENT_INT : ARGUMENT_UNSIGNED;
}

static void finish_spec(struct conversion *conversion, size_t length, char type)
{
	char *end = conversion->spec + length;
	bool whole = type && strchr("diuoxX", type);

	g_snprintf(end, SPEC_SIZE - length, "%s%c", whole ? "ll" : "", type);
}

/* Read the conversion that follows a '%'; returns what follows it. */
static const char *read_conversion(const char *format,
				   struct conversion *conversion)
{
	size_t length = 0;
	bool after_dot = false;
	bool is_long = false;

	conversion->precision = -1;
	conversion->spec[length++] = '%';
	for (; *format && strchr("-+ #0123456789.hlzjt", *format); format++) {
		if (strchr("hlzjt", *format)) {
			is_long = is_long || *format != 'h';
			continue;
		}
		if (*format == '.') {
			after_dot = true;
			conversion->precision = 0;
		} else if (after_dot && conversion->precision < PRECISION_MAX) {
			conversion->precision =
				conversion->precision * 10 + (*format - '0');
		}
		if (length < SPEC_SIZE - 4)
			conversion->spec[length++] = *format;
	}
	finish_spec(conversion, length, *format);
	conversion->argument = argument_of(*format, is_long);
	return *format ? format + 1 : format;
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
/* The compiler checked the whole format at the caller. */
static void put_conversion(struct pairs_writer *writer,
			   const struct conversion *conversion,
			   const union value *value)
{
	char text[NUMBER_SIZE];

	switch (conversion->argument) {
	case ARGUMENT_NONE:
		g_strlcpy(text, "%", sizeof(text));
		break;
	case ARGUMENT_TEXT:
		put_value(writer, value->pointer, conversion->precision);
		return;
	case ARGUMENT_POINTER:
		g_snprintf(text, sizeof(text), "%p", value->pointer);
		break;
	case ARGUMENT_DOUBLE:
		g_snprintf(text, sizeof(text), conversion->spec, value->real);
		break;
	default:
		g_snprintf(text, sizeof(text), conversion->spec, value->number);
		break;
	}
	put(writer, text);
}
#pragma GCC diagnostic pop

/* A cut line still ends in a closed quote, and says that it was cut. */
static void put_end(struct pairs_writer *writer)
{
	char *end = writer->text + writer->length;

	*end = '\0';
	if (writer->cut)
		g_snprintf(end, PAIRS_END_SIZE, "%s" CUT_MARK,
			   writer->open ? "\"" : "");
}

/* Put the text up to the next '%'; what follows it, or NULL at the end. */
static const char *put_plain(struct pairs_writer *writer, const char *format)
{
	for (; *format; format++) {
		if (*format == '%')
			return format + 1;
		if (*format == '"') {
			writer->quoted = !writer->quoted;
			put_quote(writer);
		} else {
			put_char(writer, *format == '\n' ? ' ' : *format);
		}
	}
	return NULL;
}

bool pairs_format(char *text, size_t size, const char *format, va_list args)
{
	struct pairs_writer writer = { .text = text };
	struct conversion conversion;
	union value value = { 0 };

	g_assert(size > PAIRS_END_SIZE);
	writer.size = size - PAIRS_END_SIZE;
	while ((format = put_plain(&writer, format))) {
		format = read_conversion(format, &conversion);
		switch (conversion.argument) {
		case ARGUMENT_NONE:
			break;
		case ARGUMENT_INT:
			value.number = va_arg(args, int);
			break;
		case ARGUMENT_UNSIGNED:
			value.count = va_arg(args, unsigned int);
			break;
		case ARGUMENT_64:
			value.number = va_arg(args, int64_t);
			break;
		case ARGUMENT_DOUBLE:
			value.real = va_arg(args, double);
			break;
		case ARGUMENT_POINTER:
		case ARGUMENT_TEXT:
			value.pointer = va_arg(args, const void *);
			break;
		}
		put_conversion(&writer, &conversion, &value);
	}
	put_end(&writer);
	return !writer.cut;
}

static char unescape(const char **from)
{
	const char *at = *from;
	char c = *at++;

	if (c == 'x' && g_ascii_isxdigit(at[0]) && g_ascii_isxdigit(at[1])) {
		c = (char)(g_ascii_xdigit_value(at[0]) * 16 +
			   g_ascii_xdigit_value(at[1]));
		at += 2;
	} else if (c == 'n') {
		c = '\n';
	} else if (c == 'r') {
		c = '\r';
	} else if (c == 't') {
		c = '\t';
	}
	*from = at;
	return c;
}

char *pairs_next(char *text, const char **key, const char **value)
{
	const char *from;
	char *to;
	bool quoted = false;

	text += strspn(text, " ");
	if (!*text)
		return NULL;
	*key = "";
	*value = text;
	for (from = to = text; *from && (quoted || *from != ' ');) {
		char c = *from++;

		if (c == '"') {
			quoted = !quoted;
		} else if (c == '\\' && quoted && *from) {
			*to++ = unescape(&from);
		} else if (c == '=' && !quoted && !**key) {
			*key = *value;
			*to++ = '\0';
			*value = to;
		} else {
			*to++ = c;
		}
	}
	if (*from)
		from++;
	/* to never passes from, so the end of the value stays readable. */
	text = (char *)from;
	if (to < text)
		*to = '\0';
	return text;
}
