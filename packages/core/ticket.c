#include "core/ticket.h"

#include <glib.h>
#include <string.h>

#define DIGITS "0123456789abcdefghijklmnopqrstuv"
#define DIGIT_BITS 5
#define DIGIT_MASK ((1u << DIGIT_BITS) - 1)
/* Digits of the largest number: 64 bits, five in a digit. */
#define NUMBER_MAX_DIGITS 13
#define SEPARATOR ':'

/* One in this many entries is reserved for tombstones. */
#define FENCE_RESERVE_DIVISOR 8

G_STATIC_ASSERT(NAME_SIZE + 4 * (NUMBER_MAX_DIGITS + 1) <= ID_SIZE);

struct entry {
	char *id;
	uint64_t epoch;
	enum ledger_state state;
	struct ledger_answer answer;
	GList kept; /* link in the ledger's kept while LEDGER_DONE */
};

struct ledger {
	GHashTable *entries; /* id to entry; the entry owns the id */
	GQueue kept; /* entries with kept answers, oldest first */
	uint64_t kept_bytes;
	uint64_t max_bytes;
	uint64_t oldest_epoch;
	uint32_t max_entries;
};

static char *append_number(char *end, uint64_t number)
{
	char digits[NUMBER_MAX_DIGITS];
	size_t count = 0;

	do {
		digits[count++] = DIGITS[number & DIGIT_MASK];
		number >>= DIGIT_BITS;
	} while (number);
	*end++ = SEPARATOR;
	while (count)
		*end++ = digits[--count];
	return end;
}

static int digit_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'v')
		return digit - 'a' + 10;
	return -1;
}

/* Parse a separator and a number without leading zeros; NULL if malformed. */
static const char *parse_number(const char *text, uint64_t *number)
{
	const char *digits = text + 1;
	const char *end;

	if (*text != SEPARATOR)
		return NULL;
	*number = 0;
	for (end = digits; digit_value(*end) >= 0; end++) {
		if (*number >> (64 - DIGIT_BITS))
			return NULL;
		*number <<= DIGIT_BITS;
		*number |= (uint64_t)digit_value(*end);
	}
	if (end == digits || (*digits == '0' && end > digits + 1))
		return NULL;
	return end;
}

static bool is_name_character(char c)
{
	return g_ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

static const char *parse_name(const char *text, char *name)
{
	size_t len = 0;

	while (is_name_character(text[len])) {
		if (len + 1 == NAME_SIZE)
			return NULL;
		name[len] = text[len];
		len++;
	}
	name[len] = '\0';
	return len ? text + len : NULL;
}

static uint64_t answer_bytes(const struct ledger_answer *answer)
{
	uint64_t bytes = answer->body_bytes;

	if (answer->content_type)
		bytes += strlen(answer->content_type);
	return bytes;
}

static void answer_release(struct ledger_answer *answer)
{
	g_free(answer->content_type);
	g_free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

static void entry_free(void *data)
{
	struct entry *entry = data;

	answer_release(&entry->answer);
	g_free(entry->id);
	g_free(entry);
}

static void release_kept_answer(struct ledger *ledger, struct entry *entry)
{
	g_queue_unlink(&ledger->kept, &entry->kept);
	ledger->kept_bytes -= answer_bytes(&entry->answer);
	answer_release(&entry->answer);
}

static void drop_oldest_answers(struct ledger *ledger)
{
	struct entry *entry;

	while (ledger->kept_bytes > ledger->max_bytes) {
		entry = g_queue_peek_head(&ledger->kept);
		release_kept_answer(ledger, entry);
		entry->state = LEDGER_DROPPED;
	}
}

static void keep_answer(struct ledger *ledger, struct entry *entry,
			struct ledger_answer *answer)
{
	entry->answer = *answer;
	memset(answer, 0, sizeof(*answer));
	g_queue_push_tail_link(&ledger->kept, &entry->kept);
	ledger->kept_bytes += answer_bytes(&entry->answer);
	drop_oldest_answers(ledger);
}

static struct entry *find(const struct ledger *ledger, const char *id)
{
	return g_hash_table_lookup(ledger->entries, id);
}

static void insert(struct ledger *ledger, const char *id, uint64_t epoch,
		   enum ledger_state state)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->id = g_strdup(id);
	entry->epoch = epoch;
	entry->state = state;
	entry->kept.data = entry;
	g_hash_table_insert(ledger->entries, entry->id, entry);
}

static void remove_entry(struct ledger *ledger, struct entry *entry)
{
	if (entry->state == LEDGER_DONE)
		release_kept_answer(ledger, entry);
	g_hash_table_remove(ledger->entries, entry->id);
}

static enum result start_result(enum ledger_state state)
{
	switch (state) {
	case LEDGER_RUNNING:
		return RESULT_IN_PROGRESS;
	case LEDGER_UNKNOWN:
		return RESULT_OUTCOME_UNKNOWN;
	case LEDGER_FENCED:
		return RESULT_FENCED;
	case LEDGER_DROPPED:
		return RESULT_ANSWER_DROPPED;
	case LEDGER_ABSENT:
	case LEDGER_DONE:
		break;
	}
	return RESULT_OK;
}

static gboolean expire_entry(void *id, void *data, void *context)
{
	struct ledger *ledger = context;
	struct entry *entry = data;

	(void)id;
	if (entry->epoch >= ledger->oldest_epoch)
		return FALSE;
	/*
	 * A running entry stays until it ends: without it a resend would get
	 * RESULT_OUTCOME_UNKNOWN although this node will know the outcome.
	 */
	if (entry->state == LEDGER_RUNNING)
		return FALSE;
	if (entry->state == LEDGER_DONE)
		release_kept_answer(ledger, entry);
	return TRUE;
}

void ticket_format(const struct ticket *ticket, char *text)
{
	char *end = text;

	end = g_stpcpy(end, ticket->node);
	end = append_number(end, ticket->incarnation);
	end = append_number(end, ticket->epoch);
	end = append_number(end, ticket->issuer);
	end = append_number(end, ticket->sequence);
	*end = '\0';
}

enum result ticket_parse(const char *text, struct ticket *ticket)
{
	struct ticket parsed = { 0 };
	const char *end = parse_name(text, parsed.node);

	if (end)
		end = parse_number(end, &parsed.incarnation);
	if (end)
		end = parse_number(end, &parsed.epoch);
	if (end)
		end = parse_number(end, &parsed.issuer);
	if (end)
		end = parse_number(end, &parsed.sequence);
	if (!end || *end)
		return RESULT_TICKET_MALFORMED;
	*ticket = parsed;
	return RESULT_OK;
}

uint64_t ticket_epoch(uint64_t since_start_us)
{
	return since_start_us / TICKET_EPOCH_US;
}

uint64_t ticket_oldest_epoch(uint64_t current_epoch)
{
	if (current_epoch < TICKET_EPOCHS_ACCEPTED)
		return 0;
	return current_epoch - TICKET_EPOCHS_ACCEPTED + 1;
}

bool ticket_epoch_accepted(uint64_t epoch, uint64_t current_epoch)
{
	return epoch <= current_epoch &&
	       epoch >= ticket_oldest_epoch(current_epoch);
}

struct ledger *ledger_new(uint32_t max_entries)
{
	struct ledger *ledger = g_new0(struct ledger, 1);

	ledger->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						entry_free);
	g_queue_init(&ledger->kept);
	ledger->max_entries = max_entries;
	ledger->max_bytes = LEDGER_MAX_ANSWER_BYTES;
	return ledger;
}

void ledger_limit_bytes(struct ledger *ledger, uint64_t max_bytes)
{
	ledger->max_bytes = max_bytes;
	drop_oldest_answers(ledger);
}

void ledger_free(struct ledger *ledger)
{
	if (!ledger)
		return;
	g_hash_table_destroy(ledger->entries);
	g_free(ledger);
}

enum result ledger_start(struct ledger *ledger, const char *id, uint64_t epoch,
			 const struct ledger_answer **answer)
{
	struct entry *entry = find(ledger, id);
	uint32_t reserve = ledger->max_entries / FENCE_RESERVE_DIVISOR;

	*answer = NULL;
	if (entry) {
		if (entry->state == LEDGER_DONE)
			*answer = &entry->answer;
		return start_result(entry->state);
	}
	/*
	 * A ticket of an expired epoch may have run here already and must not
	 * run again. The owner rejects such tickets before; this check covers
	 * an epoch that expires between the owner's check and this call.
	 */
	if (epoch < ledger->oldest_epoch)
		return RESULT_OUTCOME_UNKNOWN;
	if (ledger_count(ledger) >= ledger->max_entries - reserve)
		return RESULT_OVERLOAD;
	insert(ledger, id, epoch, LEDGER_RUNNING);
	return RESULT_OK;
}

void ledger_finish(struct ledger *ledger, const char *id,
		   enum ledger_state state, struct ledger_answer *answer)
{
	struct entry *entry = find(ledger, id);
	bool open = entry && (entry->state == LEDGER_RUNNING ||
			      entry->state == LEDGER_UNKNOWN);
	bool forget = open && (state == LEDGER_ABSENT ||
			       entry->epoch < ledger->oldest_epoch);

	if (forget) {
		remove_entry(ledger, entry);
	} else if (open) {
		entry->state = state;
		if (state == LEDGER_DONE)
			keep_answer(ledger, entry, answer);
	}
	if (answer)
		answer_release(answer);
}

enum ledger_state ledger_fence(struct ledger *ledger, const char *id,
			       uint64_t epoch,
			       const struct ledger_answer **answer)
{
	struct entry *entry = find(ledger, id);

	*answer = NULL;
	if (entry) {
		if (entry->state == LEDGER_DONE)
			*answer = &entry->answer;
		return entry->state;
	}
	if (epoch < ledger->oldest_epoch ||
	    ledger_count(ledger) >= ledger->max_entries)
		return LEDGER_UNKNOWN;
	insert(ledger, id, epoch, LEDGER_FENCED);
	return LEDGER_ABSENT;
}

void ledger_expire(struct ledger *ledger, uint64_t oldest_epoch)
{
	if (oldest_epoch <= ledger->oldest_epoch)
		return;
	ledger->oldest_epoch = oldest_epoch;
	g_hash_table_foreach_remove(ledger->entries, expire_entry, ledger);
}

uint32_t ledger_count(const struct ledger *ledger)
{
	return g_hash_table_size(ledger->entries);
}

uint64_t ledger_bytes(const struct ledger *ledger)
{
	return ledger->kept_bytes;
}
