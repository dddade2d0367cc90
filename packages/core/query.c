#include "core/query.h"

#include <string.h>

#include "core/result.h"

/* Maximum bytes of a word that an error message quotes. */
#define MAX_QUOTED_BYTES 40

/* Longer words are not compared with keywords for a suggestion. */
#define MAX_KEYWORD_BYTES 16

/*
 * Maximum edit distance between a misspelt word and the suggested keyword.
 * More than half of the keyword's letters must also be right.
 */
#define MAX_SUGGESTION_EDITS 2

#define MAX_NUMBER_DIGITS 9

#define FINGERPRINT_DIGITS 16

/* Parser state: the current word and the text after it. */
struct parser {
	const char *rest; /* text after the word */
	char word[QUERY_MAX_BYTES + 1];
	bool at_end; /* no words are left; word is empty */
	uint32_t position; /* number of the word, from 1 */
	GError **error;
};

/* The first keyword of a sentence and the parser for the rest. */
struct grammar_rule {
	const char *keyword;
	enum query_verb verb; /* parse_show() overrides it */
	bool (*parse)(struct parser *parser, struct query *query);
};

static const char *const entity_type_names[] = {
	[QUERY_ENTITY_NONE] = "thing",	    [QUERY_ENTITY_PLACE] = "place",
	[QUERY_ENTITY_NODE] = "node",	    [QUERY_ENTITY_BACKEND] = "backend",
	[QUERY_ENTITY_SERVICE] = "service",
};

const char *query_entity_type_name(enum query_entity entity)
{
	return entity_type_names[entity];
}

/*
 * Words
 */

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Make the text up to end the current word. */
static void set_word(struct parser *parser, const char *end)
{
	size_t len = (size_t)(end - parser->rest);

	memcpy(parser->word, parser->rest, len);
	parser->word[len] = '\0';
	parser->rest = end;
}

/* A word in double quotes may contain blanks; there are no escapes. */
static bool read_quoted_word(struct parser *parser)
{
	const char *end;

	parser->rest++;
	end = strchr(parser->rest, '"');
	if (!end) {
		g_set_error(parser->error, RESULT_ERROR, RESULT_SYNTAX,
			    "the quote that opens word %u is never closed",
			    parser->position);
		return false;
	}
	set_word(parser, end);
	parser->rest = end + 1;
	return true;
}

/* Move to the next word or the end; false if a quote is not closed. */
static bool advance(struct parser *parser)
{
	const char *end;

	while (is_blank(*parser->rest))
		parser->rest++;
	parser->position++;
	parser->word[0] = '\0';
	parser->at_end = !*parser->rest;
	if (*parser->rest == '"')
		return read_quoted_word(parser);
	end = parser->rest;
	while (*end && !is_blank(*end))
		end++;
	set_word(parser, end);
	return true;
}

/* The word in quotes, truncated and made valid UTF-8; for g_free(). */
static char *quote_word(const char *word)
{
	size_t len = strlen(word);
	const char *rest = len > MAX_QUOTED_BYTES ? "…" : "";
	char *text;
	char *quoted;

	text = g_utf8_make_valid(word, (gssize)MIN(len, MAX_QUOTED_BYTES));
	quoted = g_strdup_printf("'%s%s'", text, rest);
	g_free(text);
	return quoted;
}

/* Set an error at the current word. suggestion may be NULL. */
static bool fail_at_word(const struct parser *parser, enum result code,
			 const char *expected, const char *suggestion)
{
	char *found;

	found = parser->at_end ? g_strdup("the end of the sentence") :
				 quote_word(parser->word);
	if (suggestion)
		g_set_error(parser->error, RESULT_ERROR, (gint)code,
			    "expected %s at word %u, found %s; "
			    "did you mean '%s'?",
			    expected, parser->position, found, suggestion);
	else
		g_set_error(parser->error, RESULT_ERROR, (gint)code,
			    "expected %s at word %u, found %s", expected,
			    parser->position, found);
	g_free(found);
	return false;
}

/*
 * Keywords
 */

static uint32_t min3(uint32_t a, uint32_t b, uint32_t c)
{
	return MIN(MIN(a, b), c);
}

/*
 * Damerau-Levenshtein distance (insert, delete, replace, swap two adjacent
 * letters) of two words of at most MAX_KEYWORD_BYTES, ignoring case.
 */
static uint32_t edit_distance(const char *a, const char *b)
{
	uint32_t cost[MAX_KEYWORD_BYTES + 1][MAX_KEYWORD_BYTES + 1];
	uint32_t a_len = (uint32_t)strlen(a);
	uint32_t b_len = (uint32_t)strlen(b);
	uint32_t i;
	uint32_t j;

	for (i = 0; i <= a_len; i++) {
		char x = i ? g_ascii_tolower(a[i - 1]) : '\0';

		for (j = 0; j <= b_len; j++) {
			char y = j ? g_ascii_tolower(b[j - 1]) : '\0';

			if (!i || !j) {
				cost[i][j] = i + j;
				continue;
			}
			cost[i][j] = min3(cost[i - 1][j] + 1,
					  cost[i][j - 1] + 1,
					  cost[i - 1][j - 1] + (x != y));
			if (i > 1 && j > 1 && g_ascii_tolower(a[i - 2]) == y &&
			    g_ascii_tolower(b[j - 2]) == x)
				cost[i][j] =
					MIN(cost[i][j], cost[i - 2][j - 2] + 1);
		}
	}
	return cost[a_len][b_len];
}

/* The keyword that the word probably misspells, or NULL. */
static const char *closest_keyword(const char *word,
				   const char *const *keywords)
{
	const char *closest = NULL;
	uint32_t fewest = MAX_SUGGESTION_EDITS + 1;

	if (!*word || strlen(word) > MAX_KEYWORD_BYTES)
		return NULL;
	for (; *keywords; keywords++) {
		uint32_t edits = edit_distance(word, *keywords);

		if (edits < fewest && 2 * edits < strlen(*keywords)) {
			fewest = edits;
			closest = *keywords;
		}
	}
	return closest;
}

/* The keywords as "'a', 'b' or 'c'", for g_free(). */
static char *list_keywords(const char *const *keywords, bool allow_end)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; keywords[i]; i++) {
		bool last = !keywords[i + 1] && !allow_end;

		if (i)
			g_string_append(text, last ? " or " : ", ");
		g_string_append_printf(text, "'%s'", keywords[i]);
	}
	if (allow_end)
		g_string_append(text, i ? " or the end" : "the end");
	return g_string_free(text, FALSE);
}

/*
 * Expect one of the keywords (a NULL-terminated list), store its index and
 * advance. With allow_end the end is accepted too: the index is then the number
 * of keywords.
 */
static bool expect_keyword(struct parser *parser, const char *const *keywords,
			   bool allow_end, uint32_t *index)
{
	char *expected;

	for (*index = 0; keywords[*index]; (*index)++)
		if (!parser->at_end && !strcmp(keywords[*index], parser->word))
			return advance(parser);
	if (allow_end && parser->at_end)
		return true;
	expected = list_keywords(keywords, allow_end);
	fail_at_word(parser, RESULT_SYNTAX, expected,
		     closest_keyword(parser->word, keywords));
	g_free(expected);
	return false;
}

static bool expect_one_keyword(struct parser *parser, const char *keyword)
{
	const char *const keywords[] = { keyword, NULL };
	uint32_t index;

	return expect_keyword(parser, keywords, false, &index);
}

static bool expect_end(struct parser *parser)
{
	static const char *const none[] = { NULL };
	uint32_t index;

	return expect_keyword(parser, none, true, &index);
}

/*
 * Names and numbers
 */

static bool expect_identifier(struct parser *parser, const char *expected,
			      char *text, size_t size)
{
	if (!config_name_is_valid(parser->word, size))
		return fail_at_word(parser, RESULT_SYNTAX, expected, NULL);
	g_strlcpy(text, parser->word, size);
	return advance(parser);
}

static bool expect_name(struct parser *parser, enum query_entity entity,
			char *name)
{
	char expected[80];

	g_snprintf(expected, sizeof(expected),
		   "the name of a %s (1 to 63 of A-Z a-z 0-9 . _ -)",
		   query_entity_type_name(entity));
	return expect_identifier(parser, expected, name, NAME_SIZE);
}

static bool expect_shift_id(struct parser *parser, char *id)
{
	return expect_identifier(parser,
				 "a shift's id (1 to 127 of A-Z a-z 0-9 . _ -)",
				 id, ID_SIZE);
}

/* Read a decimal number at *text; numbers too large become UINT32_MAX. */
static bool read_digits(const char **text, uint32_t *number)
{
	size_t len = strspn(*text, "0123456789");
	size_t i;

	*number = 0;
	for (i = 0; i < len; i++)
		*number = *number * 10 + (uint32_t)((*text)[i] - '0');
	if (len > MAX_NUMBER_DIGITS)
		*number = UINT32_MAX;
	*text += len;
	return len > 0;
}

/* Read "30%" or "2.5%"; 101% and more become UINT32_MAX. */
static bool read_percent(const char *text, uint32_t *permille)
{
	uint32_t percent;
	uint32_t tenth = 0;

	if (!read_digits(&text, &percent))
		return false;
	if (*text == '.') {
		text++;
		if (!g_ascii_isdigit(*text))
			return false;
		tenth = (uint32_t)(*text - '0');
		text++;
	}
	*permille = percent > QUERY_SHARE_MAX_PERMILLE /
					    QUERY_PERMILLE_PER_PERCENT ?
			    UINT32_MAX :
			    percent * QUERY_PERMILLE_PER_PERCENT + tenth;
	return !strcmp(text, "%");
}

/* Read "40/s". */
static bool read_rate(const char *text, uint32_t *per_s)
{
	return read_digits(&text, per_s) && !strcmp(text, "/s");
}

static bool expect_share(struct parser *parser, uint32_t *permille)
{
	if (!read_percent(parser->word, permille))
		return fail_at_word(parser, RESULT_SYNTAX,
				    "a share such as 30% or 2.5%", NULL);
	if (!*permille || *permille > QUERY_SHARE_MAX_PERMILLE)
		return fail_at_word(parser, RESULT_OUT_OF_RANGE,
				    "a share from 0.1% to 100%", NULL);
	return advance(parser);
}

static bool expect_cap(struct parser *parser, uint32_t *per_s)
{
	char expected[64];

	if (!read_rate(parser->word, per_s))
		return fail_at_word(parser, RESULT_SYNTAX, "a cap such as 40/s",
				    NULL);
	if (!*per_s || *per_s > SHIFT_MAX_CAP_PER_S) {
		g_snprintf(expected, sizeof(expected), "a cap from 1/s to %d/s",
			   SHIFT_MAX_CAP_PER_S);
		return fail_at_word(parser, RESULT_OUT_OF_RANGE, expected,
				    NULL);
	}
	return advance(parser);
}

/*
 * Sentences
 */

static bool parse_where(struct parser *parser, struct query *query)
{
	static const char *const keywords[] = { "object", NULL };
	uint32_t index;

	if (!expect_name(parser, QUERY_ENTITY_SERVICE, query->service) ||
	    !expect_one_keyword(parser, "from") ||
	    !expect_name(parser, QUERY_ENTITY_PLACE, query->from) ||
	    !expect_keyword(parser, keywords, true, &index))
		return false;
	if (index == 0 &&
	    !expect_identifier(parser, "an object's key (1 to 127 letters)",
			       query->object_key, ID_SIZE))
		return false;
	return expect_end(parser);
}

/* Optional filters of "show backends": [of SERVICE] [in PLACE]. */
static bool parse_backend_filters(struct parser *parser, struct query *query)
{
	static const char *const both[] = { "of", "in", NULL };
	const char *const *keywords = both;
	uint32_t index;

	if (!expect_keyword(parser, keywords, true, &index))
		return false;
	if (index == 0) {
		if (!expect_name(parser, QUERY_ENTITY_SERVICE, query->service))
			return false;
		keywords = &both[1];
		if (!expect_keyword(parser, keywords, true, &index))
			return false;
		index++;
	}
	if (index == 1 &&
	    !expect_name(parser, QUERY_ENTITY_PLACE, query->place))
		return false;
	return expect_end(parser);
}

static bool parse_show(struct parser *parser, struct query *query)
{
	static const char *const tables[] = {
		"places",   "nodes",  "backends", "services", "shifts",
		"version",  "routes", "refusals", "suspects", "limits",
		"accounts", "room",   "memory",	  "faults",   NULL
	};
	static const enum query_verb verbs[] = {
		QUERY_SHOW_PLACES,   QUERY_SHOW_NODES,	  QUERY_SHOW_BACKENDS,
		QUERY_SHOW_SERVICES, QUERY_SHOW_SHIFTS,	  QUERY_SHOW_VERSION,
		QUERY_SHOW_ROUTES,   QUERY_SHOW_REFUSALS, QUERY_SHOW_SUSPECTS,
		QUERY_SHOW_LIMITS,   QUERY_SHOW_ACCOUNTS, QUERY_SHOW_ROOM,
		QUERY_SHOW_MEMORY,   QUERY_SHOW_FAULTS,
	};
	uint32_t index;

	if (!expect_keyword(parser, tables, false, &index))
		return false;
	query->verb = verbs[index];
	if (query->verb == QUERY_SHOW_BACKENDS)
		return parse_backend_filters(parser, query);
	if (query->verb == QUERY_SHOW_ROOM &&
	    !expect_name(parser, QUERY_ENTITY_SERVICE, query->service))
		return false;
	return expect_end(parser);
}

static bool parse_shift(struct parser *parser, struct query *query)
{
	static const char *const as[] = { "as", NULL };
	uint32_t index;

	if (!expect_name(parser, QUERY_ENTITY_SERVICE, query->service) ||
	    !expect_one_keyword(parser, "from") ||
	    !expect_name(parser, QUERY_ENTITY_PLACE, query->from) ||
	    !expect_one_keyword(parser, "to") ||
	    !expect_name(parser, QUERY_ENTITY_PLACE, query->to) ||
	    !expect_one_keyword(parser, "share") ||
	    !expect_share(parser, &query->share_permille) ||
	    !expect_one_keyword(parser, "cap") ||
	    !expect_cap(parser, &query->cap_per_s) ||
	    !expect_keyword(parser, as, true, &index))
		return false;
	if (!as[index])
		return true;
	return expect_shift_id(parser, query->shift) && expect_end(parser);
}

static bool parse_cancel(struct parser *parser, struct query *query)
{
	return expect_shift_id(parser, query->shift) && expect_end(parser);
}

static bool parse_drain(struct parser *parser, struct query *query)
{
	static const char *const kinds[] = { "place", "node", "backend", NULL };
	static const enum query_entity entities[] = { QUERY_ENTITY_PLACE,
						      QUERY_ENTITY_NODE,
						      QUERY_ENTITY_BACKEND };
	uint32_t index;

	if (!expect_keyword(parser, kinds, false, &index))
		return false;
	query->entity = entities[index];
	return expect_name(parser, query->entity, query->entity_name) &&
	       expect_end(parser);
}

static bool parse_service_command(struct parser *parser, struct query *query)
{
	query->entity = QUERY_ENTITY_SERVICE;
	return expect_name(parser, QUERY_ENTITY_SERVICE, query->entity_name) &&
	       expect_end(parser);
}

/* The format that logs and "show suspects" use. */
static bool parse_fingerprint(struct parser *parser, struct query *query)
{
	size_t digits = strspn(parser->word, "0123456789abcdef");

	if (digits != FINGERPRINT_DIGITS || parser->word[digits])
		return fail_at_word(parser, RESULT_SYNTAX,
				    "a fingerprint (16 of 0-9 a-f)", NULL);
	query->fingerprint = g_ascii_strtoull(parser->word, NULL, 16);
	if (!query->fingerprint)
		return fail_at_word(parser, RESULT_OUT_OF_RANGE,
				    "a fingerprint other than 0", NULL);
	return advance(parser) && expect_end(parser);
}

static bool parse_load(struct parser *parser, struct query *query)
{
	if (!*parser->word)
		return fail_at_word(parser, RESULT_SYNTAX, "the name of a file",
				    NULL);
	g_strlcpy(query->file, parser->word, sizeof(query->file));
	return advance(parser) && expect_end(parser);
}

static const struct grammar_rule grammar_rules[] = {
	{ "where", QUERY_WHERE, parse_where },
	{ "show", QUERY_SHOW_PLACES, parse_show },
	{ "quarantine", QUERY_QUARANTINE, parse_fingerprint },
	{ "release", QUERY_RELEASE, parse_fingerprint },
	{ "shift", QUERY_CMD_SHIFT, parse_shift },
	{ "cancel", QUERY_CMD_CANCEL, parse_cancel },
	{ "drain", QUERY_CMD_DRAIN, parse_drain },
	{ "undrain", QUERY_CMD_UNDRAIN, parse_drain },
	{ "stop", QUERY_CMD_STOP, parse_service_command },
	{ "start", QUERY_CMD_START, parse_service_command },
	{ "load", QUERY_CMD_LOAD, parse_load },
};

/* Reject control characters (tabs are allowed) and overlong sentences. */
static bool check_bytes(const char *text, GError **error)
{
	size_t i;

	for (i = 0; i <= QUERY_MAX_BYTES && text[i]; i++) {
		if (!g_ascii_iscntrl(text[i]) || text[i] == '\t')
			continue;
		g_set_error(error, RESULT_ERROR, RESULT_SYNTAX,
			    "byte %zu is a control character", i + 1);
		return false;
	}
	if (i <= QUERY_MAX_BYTES)
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_SYNTAX,
		    "the sentence is longer than %d bytes", QUERY_MAX_BYTES);
	return false;
}

bool query_parse(const char *text, struct query *query, GError **error)
{
	const char *keywords[G_N_ELEMENTS(grammar_rules) + 1] = { NULL };
	struct parser parser = { .rest = text, .error = error };
	uint32_t index;

	memset(query, 0, sizeof(*query));
	if (!check_bytes(text, error) || !advance(&parser))
		return false;
	for (index = 0; index < G_N_ELEMENTS(grammar_rules); index++)
		keywords[index] = grammar_rules[index].keyword;
	if (!expect_keyword(&parser, keywords, false, &index))
		return false;
	query->verb = grammar_rules[index].verb;
	return grammar_rules[index].parse(&parser, query);
}

bool query_is_command(const struct query *query)
{
	return query->verb >= QUERY_CMD_SHIFT;
}

bool query_id_is_valid(const char *id)
{
	return config_name_is_valid(id, ID_SIZE);
}
