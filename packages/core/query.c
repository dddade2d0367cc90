#include "core/query.h"

#include <string.h>

#include "core/result.h"

#define SHARE_MAX_PERMILLE 1000
#define PERMILLE_PER_PERCENT 10

/* Bytes of a word that an error message repeats. */
#define QUOTED_MAX_BYTES 40

/* Longest keyword and longest word that is compared with one. */
#define KEYWORD_MAX_BYTES 16

/*
 * Letters by which a word may differ from the keyword that was meant, as long
 * as more than half of them agree.
 */
#define NEAR_MISS_EDITS 2

#define NUMBER_MAX_DIGITS 9

#define NAME_CHARACTERS \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-"

/* A sentence and the word that the parser stands at. */
struct parser {
	const char *rest; /* what follows the word */
	char word[QUERY_MAX_BYTES + 1];
	bool at_end; /* no word is left */
	uint32_t position; /* of the word, from 1 */
	GError **error;
};

struct sentence {
	const char *keyword;
	bool (*parse)(struct parser *parser, struct query *query);
};

/* The configuration before and after a command. */
struct change {
	const struct config *before; /* NULL where there is none */
	struct config *after;
	const char *command_id;
	GError **error;
};

/* What messages call the kinds of objects. */
static const char *const object_names[] = {
	[OBJECT_NONE] = "thing",      [OBJECT_PLACE] = "place",
	[OBJECT_NODE] = "node",	      [OBJECT_BACKEND] = "backend",
	[OBJECT_SERVICE] = "service",
};

/*
 * Words
 */

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static void take_word(struct parser *parser, const char *end)
{
	size_t len = (size_t)(end - parser->rest);

	memcpy(parser->word, parser->rest, len);
	parser->word[len] = '\0';
	parser->rest = end;
}

static bool take_quoted_word(struct parser *parser)
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
	take_word(parser, end);
	parser->rest = end + 1;
	return true;
}

/* Move to the next word, or to the end. */
static bool advance(struct parser *parser)
{
	const char *end;

	while (is_blank(*parser->rest))
		parser->rest++;
	parser->position++;
	parser->word[0] = '\0';
	parser->at_end = !*parser->rest;
	if (*parser->rest == '"')
		return take_quoted_word(parser);
	end = parser->rest;
	while (*end && !is_blank(*end))
		end++;
	take_word(parser, end);
	return true;
}

/* The word in quotes, shortened and made valid UTF-8; for g_free(). */
static char *quote_word(const char *word)
{
	size_t len = strlen(word);
	const char *rest = len > QUOTED_MAX_BYTES ? "…" : "";
	char *text;
	char *quoted;

	text = g_utf8_make_valid(word, (gssize)MIN(len, QUOTED_MAX_BYTES));
	quoted = g_strdup_printf("'%s%s'", text, rest);
	g_free(text);
	return quoted;
}

static bool stumble(const struct parser *parser, enum result code,
		    const char *expected, const char *meant)
{
	char *found;

	found = parser->at_end ? g_strdup("the end of the sentence") :
				 quote_word(parser->word);
	if (meant)
		g_set_error(parser->error, RESULT_ERROR, (gint)code,
			    "expected %s at word %u, found %s; "
			    "did you mean '%s'?",
			    expected, parser->position, found, meant);
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

static uint32_t least(uint32_t a, uint32_t b, uint32_t c)
{
	return MIN(MIN(a, b), c);
}

/*
 * Edits (a letter more, less, other, or two neighbours swapped) between two
 * words of at most KEYWORD_MAX_BYTES, upper and lower case being equal.
 */
static uint32_t edit_distance(const char *a, const char *b)
{
	uint32_t cost[KEYWORD_MAX_BYTES + 1][KEYWORD_MAX_BYTES + 1];
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
			cost[i][j] = least(cost[i - 1][j] + 1,
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

/* The keyword that the word is a misspelling of, or NULL. */
static const char *near_miss(const char *word, const char *const *keywords)
{
	const char *nearest = NULL;
	uint32_t fewest = NEAR_MISS_EDITS + 1;

	if (!*word || strlen(word) > KEYWORD_MAX_BYTES)
		return NULL;
	for (; *keywords; keywords++) {
		uint32_t edits = edit_distance(word, *keywords);

		if (edits < fewest && 2 * edits < strlen(*keywords)) {
			fewest = edits;
			nearest = *keywords;
		}
	}
	return nearest;
}

/* "'a', 'b' or 'c'", for g_free(). */
static char *list_keywords(const char *const *keywords, bool or_end)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; keywords[i]; i++) {
		bool last = !keywords[i + 1] && !or_end;

		if (i)
			g_string_append(text, last ? " or " : ", ");
		g_string_append_printf(text, "'%s'", keywords[i]);
	}
	if (or_end)
		g_string_append(text, i ? " or the end" : "the end");
	return g_string_free(text, FALSE);
}

/*
 * Take one of the keywords (NULL ends them) and store its index; where the end
 * is allowed too, it stores the number of keywords.
 */
static bool take_keyword(struct parser *parser, const char *const *keywords,
			 bool or_end, uint32_t *index)
{
	char *expected;

	for (*index = 0; keywords[*index]; (*index)++)
		if (!parser->at_end && !strcmp(keywords[*index], parser->word))
			return advance(parser);
	if (or_end && parser->at_end)
		return true;
	expected = list_keywords(keywords, or_end);
	stumble(parser, RESULT_SYNTAX, expected,
		near_miss(parser->word, keywords));
	g_free(expected);
	return false;
}

static bool take_word_like(struct parser *parser, const char *keyword)
{
	const char *const keywords[] = { keyword, NULL };
	uint32_t index;

	return take_keyword(parser, keywords, false, &index);
}

static bool take_end(struct parser *parser)
{
	static const char *const none[] = { NULL };
	uint32_t index;

	return take_keyword(parser, none, true, &index);
}

/*
 * Names and numbers
 */

static bool take_text(struct parser *parser, const char *expected, char *text,
		      size_t size)
{
	if (!config_name_is_valid(parser->word, size))
		return stumble(parser, RESULT_SYNTAX, expected, NULL);
	g_strlcpy(text, parser->word, size);
	return advance(parser);
}

static bool take_name(struct parser *parser, enum query_object object,
		      char *name)
{
	char expected[80];

	g_snprintf(expected, sizeof(expected),
		   "the name of a %s (1 to 63 of A-Z a-z 0-9 . _ -)",
		   object_names[object]);
	return take_text(parser, expected, name, NAME_SIZE);
}

static bool take_shift_id(struct parser *parser, char *id)
{
	return take_text(parser, "a shift's id (1 to 127 of A-Z a-z 0-9 . _ -)",
			 id, ID_SIZE);
}

/* Digits at *text; one too great to hold counts as UINT32_MAX. */
static bool read_digits(const char **text, uint32_t *number)
{
	size_t len = strspn(*text, "0123456789");
	size_t i;

	*number = 0;
	for (i = 0; i < len; i++)
		*number = *number * 10 + (uint32_t)((*text)[i] - '0');
	if (len > NUMBER_MAX_DIGITS)
		*number = UINT32_MAX;
	*text += len;
	return len > 0;
}

/* "30%" or "2.5%" in thousandths; too great counts as UINT32_MAX. */
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
	*permille = percent > SHARE_MAX_PERMILLE / PERMILLE_PER_PERCENT ?
			    UINT32_MAX :
			    percent * PERMILLE_PER_PERCENT + tenth;
	return !strcmp(text, "%");
}

static bool read_rate(const char *text, uint32_t *per_s)
{
	return read_digits(&text, per_s) && !strcmp(text, "/s");
}

static bool take_share(struct parser *parser, uint32_t *permille)
{
	if (!read_percent(parser->word, permille))
		return stumble(parser, RESULT_SYNTAX,
			       "a share such as 30% or 2.5%", NULL);
	if (!*permille || *permille > SHARE_MAX_PERMILLE)
		return stumble(parser, RESULT_OUT_OF_RANGE,
			       "a share from 0.1% to 100%", NULL);
	return advance(parser);
}

static bool take_cap(struct parser *parser, uint32_t *per_s)
{
	char expected[64];

	if (!read_rate(parser->word, per_s))
		return stumble(parser, RESULT_SYNTAX, "a cap such as 40/s",
			       NULL);
	if (!*per_s || *per_s > SHIFT_MAX_CAP_PER_S) {
		g_snprintf(expected, sizeof(expected), "a cap from 1/s to %d/s",
			   SHIFT_MAX_CAP_PER_S);
		return stumble(parser, RESULT_OUT_OF_RANGE, expected, NULL);
	}
	return advance(parser);
}

/*
 * Sentences
 */

static bool parse_where(struct parser *parser, struct query *query)
{
	query->verb = QUERY_WHERE;
	return take_name(parser, OBJECT_SERVICE, query->service) &&
	       take_word_like(parser, "from") &&
	       take_name(parser, OBJECT_PLACE, query->from) && take_end(parser);
}

/* What follows "show backends": "of SERVICE", "in PLACE", both or neither. */
static bool parse_filters(struct parser *parser, struct query *query)
{
	static const char *const both[] = { "of", "in", NULL };
	const char *const *keywords = both;
	uint32_t index;

	if (!take_keyword(parser, keywords, true, &index))
		return false;
	if (index == 0) {
		if (!take_name(parser, OBJECT_SERVICE, query->service))
			return false;
		keywords = &both[1];
		if (!take_keyword(parser, keywords, true, &index))
			return false;
		index++;
	}
	if (index == 1 && !take_name(parser, OBJECT_PLACE, query->place))
		return false;
	return take_end(parser);
}

static bool parse_show(struct parser *parser, struct query *query)
{
	static const char *const tables[] = { "places",	  "nodes",  "backends",
					      "services", "shifts", "version",
					      NULL };
	static const enum query_verb verbs[] = {
		QUERY_SHOW_PLACES,   QUERY_SHOW_NODES,	QUERY_SHOW_BACKENDS,
		QUERY_SHOW_SERVICES, QUERY_SHOW_SHIFTS, QUERY_SHOW_VERSION,
	};
	uint32_t index;

	if (!take_keyword(parser, tables, false, &index))
		return false;
	query->verb = verbs[index];
	if (query->verb == QUERY_SHOW_BACKENDS)
		return parse_filters(parser, query);
	return take_end(parser);
}

static bool parse_shift(struct parser *parser, struct query *query)
{
	static const char *const as[] = { "as", NULL };
	uint32_t index;

	query->verb = COMMAND_SHIFT;
	if (!take_name(parser, OBJECT_SERVICE, query->service) ||
	    !take_word_like(parser, "from") ||
	    !take_name(parser, OBJECT_PLACE, query->from) ||
	    !take_word_like(parser, "to") ||
	    !take_name(parser, OBJECT_PLACE, query->to) ||
	    !take_word_like(parser, "share") ||
	    !take_share(parser, &query->share_permille) ||
	    !take_word_like(parser, "cap") ||
	    !take_cap(parser, &query->cap_per_s) ||
	    !take_keyword(parser, as, true, &index))
		return false;
	if (!as[index])
		return true;
	return take_shift_id(parser, query->shift) && take_end(parser);
}

static bool parse_cancel(struct parser *parser, struct query *query)
{
	query->verb = COMMAND_CANCEL;
	return take_shift_id(parser, query->shift) && take_end(parser);
}

static bool parse_drainable(struct parser *parser, struct query *query)
{
	static const char *const kinds[] = { "place", "node", "backend", NULL };
	static const enum query_object objects[] = { OBJECT_PLACE, OBJECT_NODE,
						     OBJECT_BACKEND };
	uint32_t index;

	if (!take_keyword(parser, kinds, false, &index))
		return false;
	query->object = objects[index];
	return take_name(parser, query->object, query->name) &&
	       take_end(parser);
}

static bool parse_drain(struct parser *parser, struct query *query)
{
	query->verb = COMMAND_DRAIN;
	return parse_drainable(parser, query);
}

static bool parse_undrain(struct parser *parser, struct query *query)
{
	query->verb = COMMAND_UNDRAIN;
	return parse_drainable(parser, query);
}

static bool parse_service(struct parser *parser, struct query *query)
{
	query->object = OBJECT_SERVICE;
	return take_name(parser, OBJECT_SERVICE, query->name) &&
	       take_end(parser);
}

static bool parse_stop(struct parser *parser, struct query *query)
{
	query->verb = COMMAND_STOP;
	return parse_service(parser, query);
}

static bool parse_start(struct parser *parser, struct query *query)
{
	query->verb = COMMAND_START;
	return parse_service(parser, query);
}

static bool parse_load(struct parser *parser, struct query *query)
{
	query->verb = COMMAND_LOAD;
	if (!*parser->word)
		return stumble(parser, RESULT_SYNTAX, "the name of a file",
			       NULL);
	g_strlcpy(query->file, parser->word, sizeof(query->file));
	return advance(parser) && take_end(parser);
}

static const struct sentence sentences[] = {
	{ "where", parse_where }, { "show", parse_show },
	{ "shift", parse_shift }, { "cancel", parse_cancel },
	{ "drain", parse_drain }, { "undrain", parse_undrain },
	{ "stop", parse_stop },	  { "start", parse_start },
	{ "load", parse_load },
};

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
	const char *keywords[G_N_ELEMENTS(sentences) + 1] = { NULL };
	struct parser parser = { .rest = text, .error = error };
	uint32_t index;

	memset(query, 0, sizeof(*query));
	if (!check_bytes(text, error) || !advance(&parser))
		return false;
	for (index = 0; index < G_N_ELEMENTS(sentences); index++)
		keywords[index] = sentences[index].keyword;
	if (!take_keyword(&parser, keywords, false, &index))
		return false;
	return sentences[index].parse(&parser, query);
}

bool query_is_command(const struct query *query)
{
	return query->verb >= COMMAND_SHIFT;
}

bool query_id_is_valid(const char *id)
{
	return config_name_is_valid(id, ID_SIZE);
}

/*
 * Commands
 */

static bool conflict(const struct change *change, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static bool conflict(const struct change *change, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_set_error_literal(change->error, RESULT_ERROR, RESULT_CONFLICT, text);
	g_free(text);
	return false;
}

uint32_t query_find(const struct config *config, enum query_object object,
		    const char *name, GError **error)
{
	uint32_t index = CONFIG_NONE;

	switch (object) {
	case OBJECT_PLACE:
		index = config_find_place(config, name);
		break;
	case OBJECT_NODE:
		index = config_find_node(config, name);
		break;
	case OBJECT_BACKEND:
		index = config_find_backend(config, name);
		break;
	case OBJECT_SERVICE:
		index = config_find_service(config, name);
		break;
	case OBJECT_NONE:
		break;
	}
	if (index == CONFIG_NONE)
		g_set_error(error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no %s is named '%s'", object_names[object], name);
	return index;
}

static bool find(const struct change *change, enum query_object object,
		 const char *name, uint32_t *index)
{
	*index = query_find(change->after, object, name, change->error);
	return *index != CONFIG_NONE;
}

static bool has_node(const struct config *config, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		if (config->nodes[i].place == place &&
		    !config->nodes[i].drained)
			return true;
	return false;
}

static bool has_backend(const struct config *config, uint32_t service,
			uint32_t place)
{
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && backend->place == place &&
		    !backend->drained)
			return true;
	}
	return false;
}

/* Whether the place may be given requests of the service. */
static bool place_serves(const struct config *config, uint32_t service,
			 uint32_t place)
{
	return !config->places[place].drained && has_node(config, place) &&
	       has_backend(config, service, place);
}

static bool is_served(const struct config *config, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && !backend->drained &&
		    !config->places[backend->place].drained &&
		    has_node(config, backend->place))
			return true;
	}
	return false;
}

/* Shares that shifts take of the service's requests from the place. */
static uint32_t shifted_permille(const struct config *config, uint32_t service,
				 uint32_t from)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < config->shift_count; i++)
		if (config->shifts[i].service == service &&
		    config->shifts[i].from == from)
			sum += config->shifts[i].share_permille;
	return sum;
}

static bool check_shift_target(const struct change *change,
			       const struct config_shift *shift)
{
	const struct config *config = change->after;
	const char *to = config->places[shift->to].name;
	const char *service = config->services[shift->service].name;

	if (config->places[shift->to].drained)
		return conflict(change,
				"shift '%s' goes to place '%s', which is "
				"drained",
				shift->id, to);
	if (!has_node(config, shift->to))
		return conflict(change,
				"shift '%s' goes to place '%s', where no node "
				"is undrained",
				shift->id, to);
	if (!has_backend(config, shift->service, shift->to))
		return conflict(change,
				"shift '%s' goes to place '%s', where service "
				"'%s' has no undrained backend server",
				shift->id, to, service);
	return true;
}

static bool check_shift_shares(const struct change *change,
			       const struct config_shift *shift)
{
	const struct config *config = change->after;
	uint32_t sum = shifted_permille(config, shift->service, shift->from);

	if (sum <= SHARE_MAX_PERMILLE)
		return true;
	return conflict(change,
			"with shift '%s' the shifts of service '%s' from "
			"place '%s' take %u.%u%% of its requests, more than "
			"100%%",
			shift->id, config->services[shift->service].name,
			config->places[shift->from].name,
			sum / PERMILLE_PER_PERCENT, sum % PERMILLE_PER_PERCENT);
}

static bool change_shift(const struct change *change, const struct query *query)
{
	struct config *config = change->after;
	struct config_shift shift = { .share_permille = query->share_permille,
				      .cap_per_s = query->cap_per_s };

	g_strlcpy(shift.id, *query->shift ? query->shift : change->command_id,
		  sizeof(shift.id));
	if (!find(change, OBJECT_SERVICE, query->service, &shift.service) ||
	    !find(change, OBJECT_PLACE, query->from, &shift.from) ||
	    !find(change, OBJECT_PLACE, query->to, &shift.to))
		return false;
	if (shift.from == shift.to)
		return conflict(change,
				"shift '%s' goes to place '%s', where "
				"it comes from",
				shift.id, query->to);
	if (config_find_shift(config, shift.id) != CONFIG_NONE)
		return conflict(change, "shift '%s' stands already", shift.id);
	if (config->shift_count >= CONFIG_MAX_SHIFTS)
		return conflict(change, "%d shifts stand already; cancel one",
				CONFIG_MAX_SHIFTS);
	shift.seats = config_seats_for(config, shift.to);
	config_add_shift(config, &shift);
	return check_shift_target(change, &shift) &&
	       check_shift_shares(change, &shift);
}

static bool change_cancel(const struct change *change,
			  const struct query *query)
{
	uint32_t index = config_find_shift(change->after, query->shift);

	if (index == CONFIG_NONE) {
		g_set_error(change->error, RESULT_ERROR, RESULT_UNKNOWN_NAME,
			    "no shift has the id '%s'", query->shift);
		return false;
	}
	config_remove_shift(change->after, index);
	return true;
}

static bool *drained_of(struct config *config, enum query_object object,
			uint32_t index)
{
	switch (object) {
	case OBJECT_PLACE:
		return &config->places[index].drained;
	case OBJECT_NODE:
		return &config->nodes[index].drained;
	case OBJECT_BACKEND:
		return &config->backends[index].drained;
	default:
		return NULL;
	}
}

/* No shift may lose the place that it goes to. */
static bool check_shifts_kept(const struct change *change)
{
	const struct config *config = change->after;
	uint32_t i;

	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (!place_serves(change->before, shift->service, shift->to) ||
		    place_serves(config, shift->service, shift->to))
			continue;
		return conflict(change,
				"shift '%s' goes to place '%s', which would no "
				"longer serve service '%s'; cancel it first",
				shift->id, config->places[shift->to].name,
				config->services[shift->service].name);
	}
	return true;
}

/* No running service may lose the last place that serves it. */
static bool check_services_kept(const struct change *change)
{
	uint32_t i;

	for (i = 0; i < change->after->service_count; i++) {
		if (change->after->services[i].stopped ||
		    !is_served(change->before, i) ||
		    is_served(change->after, i))
			continue;
		return conflict(change,
				"service '%s' would have no place left to "
				"serve it",
				change->after->services[i].name);
	}
	return true;
}

static bool change_drained(const struct change *change,
			   const struct query *query)
{
	bool drained = query->verb == COMMAND_DRAIN;
	uint32_t index;

	if (!find(change, query->object, query->name, &index))
		return false;
	*drained_of(change->after, query->object, index) = drained;
	return check_shifts_kept(change) && check_services_kept(change);
}

static bool change_stopped(const struct change *change,
			   const struct query *query)
{
	bool stopped = query->verb == COMMAND_STOP;
	uint32_t index;

	if (!find(change, OBJECT_SERVICE, query->name, &index))
		return false;
	change->after->services[index].stopped = stopped;
	if (stopped || is_served(change->after, index))
		return true;
	return conflict(change, "service '%s' has no place to serve it",
			query->name);
}

static bool change_config(const struct change *change,
			  const struct query *query)
{
	switch (query->verb) {
	case COMMAND_SHIFT:
		return change_shift(change, query);
	case COMMAND_CANCEL:
		return change_cancel(change, query);
	case COMMAND_DRAIN:
	case COMMAND_UNDRAIN:
		return change_drained(change, query);
	case COMMAND_STOP:
	case COMMAND_START:
		return change_stopped(change, query);
	default:
		g_set_error_literal(change->error, RESULT_ERROR,
				    RESULT_INTERNAL,
				    "the sentence changes nothing by itself");
		return false;
	}
}

static bool check_command_id(const char *command_id, GError **error)
{
	if (query_id_is_valid(command_id))
		return true;
	g_set_error_literal(error, RESULT_ERROR, RESULT_OUT_OF_RANGE,
			    "a command's id must be 1 to 127 of "
			    "A-Z a-z 0-9 . _ -");
	return false;
}

struct config *query_apply(const struct config *config,
			   const struct query *query, const char *command_id,
			   GError **error)
{
	struct change change = { config, NULL, command_id, error };

	if (!check_command_id(command_id, error))
		return NULL;
	change.after = config_copy(config);
	if (!change_config(&change, query)) {
		config_free(change.after);
		return NULL;
	}
	config_add_command(change.after, command_id);
	return change.after;
}

static bool check_shifts(const struct change *change)
{
	uint32_t i;

	for (i = 0; i < change->after->shift_count; i++)
		if (!check_shift_target(change, &change->after->shifts[i]) ||
		    !check_shift_shares(change, &change->after->shifts[i]))
			return false;
	return true;
}

/* Put the command ids of the present configuration in the new one's place. */
static void keep_commands(const struct change *change)
{
	struct config *after = change->after;
	uint32_t i;

	after->command_count = 0;
	if (!change->before)
		return;
	after->version = change->before->version;
	for (i = 0; i < change->before->command_count; i++) {
		config_add_command(after, change->before->commands[i].id);
		after->commands[i].version =
			change->before->commands[i].version;
	}
}

/*
 * A seat carries the cap's part by the number of seats. If that changed with
 * the place's nodes, a holder on the old version would admit an old, larger
 * part beside the new ones: 50 and 33 and 33 of a cap of 100. So it stays as it
 * was when the shift was made, whatever a document says.
 */
static void keep_seats(const struct change *change)
{
	const struct config *before = change->before;
	uint32_t i;

	for (i = 0; before && i < change->after->shift_count; i++) {
		struct config_shift *shift = &change->after->shifts[i];
		uint32_t known = config_find_shift(before, shift->id);

		if (known != CONFIG_NONE)
			shift->seats = before->shifts[known].seats;
	}
}

struct config *query_load(const struct config *config, const char *document,
			  size_t len, const char *command_id, GError **error)
{
	struct change change = { config, NULL, command_id, error };

	if (!check_command_id(command_id, error))
		return NULL;
	change.after = config_decode(document, len, error);
	if (!change.after)
		return NULL;
	if (!check_shifts(&change)) {
		config_free(change.after);
		return NULL;
	}
	keep_seats(&change);
	keep_commands(&change);
	config_add_command(change.after, command_id);
	return change.after;
}

static char *describe_shift(const struct query *query, const char *command_id)
{
	return g_strdup_printf(
		"shift %s stands: service %s from %s to %s, share %u.%u%%, "
		"cap %u/s",
		*query->shift ? query->shift : command_id, query->service,
		query->from, query->to,
		query->share_permille / PERMILLE_PER_PERCENT,
		query->share_permille % PERMILLE_PER_PERCENT, query->cap_per_s);
}

char *query_describe(const struct query *query, const char *command_id)
{
	const char *object = object_names[query->object];

	switch (query->verb) {
	case COMMAND_SHIFT:
		return describe_shift(query, command_id);
	case COMMAND_CANCEL:
		return g_strdup_printf("shift %s is cancelled", query->shift);
	case COMMAND_DRAIN:
		return g_strdup_printf("%s %s is drained", object, query->name);
	case COMMAND_UNDRAIN:
		return g_strdup_printf("%s %s is undrained", object,
				       query->name);
	case COMMAND_STOP:
		return g_strdup_printf("service %s is stopped", query->name);
	case COMMAND_START:
		return g_strdup_printf("service %s is started", query->name);
	case COMMAND_LOAD:
		return g_strdup("the document is replaced");
	default:
		return g_strdup("");
	}
}
