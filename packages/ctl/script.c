#include "ctl/script.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "core/result.h"

#define ID_RANDOM_BYTES 16

char *script_join_words(const char *const *words)
{
	GString *sentence;
	uint32_t i;

	if (words[0] && !words[1])
		return g_strdup(words[0]);
	sentence = g_string_new(NULL);
	for (i = 0; words[i]; i++) {
		const char *quote = strpbrk(words[i], " \t") ? "\"" : "";

		g_string_append_printf(sentence, "%s%s%s%s", i ? " " : "",
				       quote, words[i], quote);
	}
	return g_string_free(sentence, FALSE);
}

/* Pass over what fgets() left of a line that was too long. */
static void skip_line(FILE *stream)
{
	int c;

	do {
		c = getc(stream);
	} while (c != EOF && c != '\n');
}

bool script_read_line(FILE *stream, char *line)
{
	while (fgets(line, SCRIPT_LINE_SIZE, stream)) {
		if (!strchr(line, '\n') && !feof(stream))
			skip_line(stream);
		line[strcspn(line, "\r\n")] = '\0';
		if (line[strspn(line, " \t")] && *line != '#')
			return true;
	}
	return false;
}

char *script_new_id(GError **error)
{
	uint8_t bytes[ID_RANDOM_BYTES];
	GString *id;
	size_t i;

	if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes)) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "no random numbers: %s", g_strerror(errno));
		return NULL;
	}
	id = g_string_new("c-");
	for (i = 0; i < sizeof(bytes); i++)
		g_string_append_printf(id, "%02x", bytes[i]);
	return g_string_free(id, FALSE);
}

/*
 * Failure: an operator corrects a script and runs it again under the same id.
 * With ids by position alone, a corrected sentence would bear the id of the
 * former one and be answered as taken in without having any effect. The hash
 * gives a changed sentence or document another id.
 */
char *script_line_id(const char *script_id, uint32_t number,
		     const struct admin_request *request)
{
	const char *document = request->document ? request->document : "";
	uint64_t hash;

	hash = XXH64(request->sentence, strlen(request->sentence), 0);
	hash = XXH64(document, strlen(document), hash);
	return g_strdup_printf("%s.%u.%016" G_GINT64_MODIFIER "x", script_id,
			       number, hash);
}

static char *read_stream(FILE *stream, const char *path, GError **error)
{
	char *text = g_malloc(CONFIG_MAX_BYTES + 2);
	size_t len = fread(text, 1, CONFIG_MAX_BYTES + 1, stream);

	text[len] = '\0';
	if (!ferror(stream) && len <= CONFIG_MAX_BYTES)
		return text;
	if (ferror(stream))
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_UNREADABLE,
			    "%s: it can't be read", path);
	else
		g_set_error(error, RESULT_ERROR, RESULT_CONFIG_INVALID,
			    "%s: it is larger than %d bytes", path,
			    CONFIG_MAX_BYTES);
	g_free(text);
	return NULL;
}

char *script_read_document(const char *path, GError **error)
{
	FILE *stream = fopen(path, "re");
	char *text;

	if (!stream) {
		g_set_error(error, RESULT_ERROR, RESULT_SETTINGS_UNREADABLE,
			    "%s: %s", path, g_strerror(errno));
		return NULL;
	}
	text = read_stream(stream, path, error);
	fclose(stream);
	return text;
}
