#include "adapters/pairs.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define SPEC_SIZE 32
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

/* One conversion of a format, such as "%08lx". */
struct conversion {
	char spec[SPEC_SIZE];
	int precision; /* -1: none */
	unsigned int longs; /* 'l' counted; 'z' and 'j' are one */
	char type;
};

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

/* Read the conversion that follows a '%'; returns what follows it. */
static const char *read_conversion(const char *format,
				   struct conversion *conversion)
{
	size_t length = 0;
	bool after_dot = false;

	conversion->precision = -1;
	conversion->longs = 0;
	conversion->spec[length++] = '%';
	while (*format && strchr("-+ #0123456789.hlzjt", *format)) {
		if (*format == '.') {
			after_dot = true;
			conversion->precision = 0;
		} else if (after_dot && g_ascii_isdigit(*format)) {
			conversion->precision =
				conversion->precision * 10 + (*format - '0');
		} else if (strchr("lzjt", *format)) {
			conversion->longs++;
		}
		if (length + 2 < SPEC_SIZE)
			conversion->spec[length++] = *format;
		format++;
	}
	conversion->type = *format;
	conversion->spec[length++] = *format;
	conversion->spec[length] = '\0';
	return *format ? format + 1 : format;
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
/* The compiler checked the whole format at the caller. */
static void print_number(char *text, const struct conversion *conversion,
			 va_list *args)
{
	const char *spec = conversion->spec;

	if (strchr("eEfFgGaA", conversion->type)) {
		g_snprintf(text, NUMBER_SIZE, spec, va_arg(*args, double));
		return;
	}
	if (conversion->type == 'p') {
		g_snprintf(text, NUMBER_SIZE, spec, va_arg(*args, void *));
		return;
	}
	if (conversion->longs > 1) {
		g_snprintf(text, NUMBER_SIZE, spec, va_arg(*args, long long));
		return;
	}
	if (conversion->longs == 1) {
		g_snprintf(text, NUMBER_SIZE, spec, va_arg(*args, long));
		return;
	}
	g_snprintf(text, NUMBER_SIZE, spec, va_arg(*args, int));
}
#pragma GCC diagnostic pop

static const char *put_conversion(struct pairs_writer *writer,
				  const char *format, va_list *args)
{
	struct conversion conversion;
	char number[NUMBER_SIZE];

	format = read_conversion(format, &conversion);
	switch (conversion.type) {
	case '\0':
		break;
	case '%':
		put_char(writer, '%');
		break;
	case 's':
		put_value(writer, va_arg(*args, const char *),
			  conversion.precision);
		break;
	default:
		print_number(number, &conversion, args);
		put(writer, number);
		break;
	}
	return format;
}

/* A cut line still ends in a closed quote, and says that it was cut. */
static void put_end(struct pairs_writer *writer)
{
	char *end = writer->text + writer->length;

	*end = '\0';
	if (writer->cut)
		g_snprintf(end, PAIRS_END_SIZE, "%s" CUT_MARK,
			   writer->open ? "\"" : "");
}

bool pairs_format(char *text, size_t size, const char *format, va_list args)
{
	struct pairs_writer writer = { .text = text };
	va_list rest;

	g_assert(size > PAIRS_END_SIZE);
	writer.size = size - PAIRS_END_SIZE;
	va_copy(rest, args);
	while (*format) {
		char c = *format++;

		if (c == '%') {
			format = put_conversion(&writer, format, &rest);
		} else if (c == '"') {
			writer.quoted = !writer.quoted;
			put_quote(&writer);
		} else {
			put_char(&writer, c == '\n' ? ' ' : c);
		}
	}
	va_end(rest);
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
