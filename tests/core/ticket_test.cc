#include "core/ticket.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>

static const std::string longest_name(NAME_SIZE - 1, 'n');
static const char *const largest = "fvvvvvvvvvvvv";

struct parse_case {
	const char *what;
	std::string text;
	enum result expected;
};

static void PrintTo(const parse_case &c, std::ostream *out)
{
	*out << c.what;
}

class TicketParse : public testing::TestWithParam<parse_case>
{
};

TEST_P(TicketParse, AcceptsOnlyTextsThatFormatWrites)
{
	const parse_case &c = GetParam();
	struct ticket ticket;
	char text[ID_SIZE];

	memset(&ticket, 0x5a, sizeof(ticket));
	ASSERT_EQ(c.expected, ticket_parse(c.text.c_str(), &ticket)) << c.what;
	if (c.expected != RESULT_OK) {
		EXPECT_EQ(0x5a5a5a5a5a5a5a5aull, ticket.epoch);
		return;
	}
	ticket_format(&ticket, text);
	EXPECT_EQ(c.text, text);
}

INSTANTIATE_TEST_SUITE_P(
	Texts, TicketParse,
	testing::Values(
		parse_case{ "plain", "entry-1:5g3k:2a:9v0c:1", RESULT_OK },
		parse_case{ "zeros", "a:0:0:0:0", RESULT_OK },
		parse_case{ "largest",
			    longest_name + ":" + largest + ":" + largest + ":" +
				    largest + ":" + largest,
			    RESULT_OK },
		parse_case{ "empty", "", RESULT_TICKET_MALFORMED },
		parse_case{ "no name", ":1:2:3:4", RESULT_TICKET_MALFORMED },
		parse_case{ "name too long", longest_name + "n:1:2:3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "name only", "entry-1", RESULT_TICKET_MALFORMED },
		parse_case{ "one field missing", "a:1:2:3",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "one field too many", "a:1:2:3:4:5",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "empty field", "a:1::3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "empty last field",
			    "a:1:2:3:", RESULT_TICKET_MALFORMED },
		parse_case{ "overflow", "a:g000000000000:2:3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "too many digits", "a:10000000000000:2:3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "leading zero", "a:01:2:3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "upper case", "a:1:2:3:A",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "invalid digit", "a:1:2:3:w",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "sign", "a:+1:2:3:4", RESULT_TICKET_MALFORMED },
		parse_case{ "minus", "a:1:2:3:-4", RESULT_TICKET_MALFORMED },
		parse_case{ "blank before", " a:1:2:3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "blank after", "a:1:2:3:4 ",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "line end", "a:1:2:3:4\r\n",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "slash in name", "a/b:1:2:3:4",
			    RESULT_TICKET_MALFORMED },
		parse_case{ "high bytes", "\xc3\xb1:1:2:3:4",
			    RESULT_TICKET_MALFORMED }));

TEST(Ticket, LongestTextFits)
{
	struct ticket ticket = {};
	char text[ID_SIZE];

	memset(ticket.node, 'n', NAME_SIZE - 1);
	ticket.incarnation = ticket.epoch = UINT64_MAX;
	ticket.issuer = ticket.sequence = UINT64_MAX;
	ticket_format(&ticket, text);
	EXPECT_LT(strlen(text), (size_t)ID_SIZE);
}

TEST(Ticket, AcceptsTheMostRecentEpochs)
{
	const struct {
		uint64_t epoch, current;
		bool accepted;
	} cases[] = {
		{ 0, 0, true },
		{ 0, TICKET_EPOCHS_ACCEPTED - 1, true },
		{ 0, TICKET_EPOCHS_ACCEPTED, false },
		{ 91, 100, true },
		{ 90, 100, false },
		{ 101, 100, false },
		{ UINT64_MAX, 100, false },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.accepted, ticket_epoch_accepted(c.epoch, c.current))
			<< c.epoch << " in " << c.current;
	EXPECT_EQ(0u, ticket_epoch(TICKET_EPOCH_US - 1));
	EXPECT_EQ(1u, ticket_epoch(TICKET_EPOCH_US));
}
