/* What speaks against a request, what for it, and what nodes tell of it. */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/suspect_table.h"

namespace
{

const uint64_t PRINT = 0x5eed;
const uint32_t SELF = 1;
const uint32_t OTHER = 2;

/* One node's table, and the backend servers that it knows. */
class SuspectTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		table = suspect_table_new();
		backends = backend_table_new();
	}
	void TearDown() override
	{
		suspect_table_free(table);
		backend_table_free(backends);
	}
	/* The server of this life ends; the request had been there for 100 ms.
	 */
	bool crash(uint32_t life, uint64_t print = PRINT)
	{
		const struct suspect_crash crash = { life, 0, now_us,
						     100 * US_PER_MS };

		return suspect_crashed(table, print, backends, &crash,
				       "GET /r/x");
	}
	/* So many servers end, one after another. */
	void crash_times(int count, uint64_t print = PRINT)
	{
		for (int i = 0; i < count; i++) {
			now_us += US_PER_S;
			crash(next_life++, print);
		}
	}
	struct suspect_ruling rule(uint64_t print = PRINT,
				   bool is_prober = false,
				   bool has_claimed = false)
	{
		const struct suspect_query query = { print, SELF, is_prober,
						     has_claimed };
		struct suspect_ruling ruling;

		suspect_rule(table, &query, backends, now_us, &ruling);
		return ruling;
	}
	std::vector<struct suspect_word> words()
	{
		std::vector<struct suspect_word> all(SUSPECTS_MOST);

		all.resize(suspect_words(table, SELF, now_us, all.data(),
					 SUSPECTS_MOST));
		return all;
	}
	struct backend *add_backend(const char *id)
	{
		struct backend_info facts = {};

		facts.id = id;
		facts.service = "s";
		facts.domain = "d1";
		facts.region = "r1";
		facts.slots = 4;
		return backend_table_put(backends, &facts, now_us);
	}

	uint64_t now_us = 1000 * US_PER_S;
	uint32_t next_life = 100;
	struct suspect_table *table;
	struct backend_table *backends;
};

struct count_case {
	const char *name;
	int crashes;
	enum suspect_verdict verdict;
	bool apart;
};

const count_case count_cases[] = {
	{ "None", 0, SUSPECT_NONE, false },
	{ "One", 1, SUSPECT_ALONE, false },
	{ "Two", 2, SUSPECT_ALONE, true },
	{ "Three", 3, SUSPECT_QUARANTINED, false },
	{ "Four", 4, SUSPECT_QUARANTINED, false },
};

class CountTest : public SuspectTest,
		  public ::testing::WithParamInterface<count_case>
{
};

TEST_P(CountTest, OfCrashesDecides)
{
	crash_times(GetParam().crashes);
	EXPECT_EQ(GetParam().verdict, rule().verdict);
	EXPECT_EQ(GetParam().apart, rule().apart);
	EXPECT_EQ(SUSPECT_NONE, rule(PRINT + 1).verdict);
}

INSTANTIATE_TEST_SUITE_P(Cases, CountTest, ::testing::ValuesIn(count_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a report that comes twice being counted twice. */
TEST_F(SuspectTest, AServerEndsOnce)
{
	for (int i = 0; i < 5; i++) {
		now_us += US_PER_S;
		EXPECT_EQ(i == 0, crash(7));
	}
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

/* Guards against a domain's loss of power counting as a crash a server. */
TEST_F(SuspectTest, EndsAtOneMomentAreOne)
{
	for (uint32_t life = 1; life <= 8; life++) {
		now_us += 5 * US_PER_MS;
		crash(life);
	}
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

struct domain_case {
	const char *name;
	int servers; /* of the failure domain */
	int ended; /* of these, at one moment, each under a request of its own
		    */
	bool has_culprit; /* one request was at all of them, too */
	uint32_t counted; /* crashes of one that was at the last of them */
};

const domain_case domain_cases[] = {
	{ "LossOfPower", 6, 4, false, 0 },
	{ "LossOfPowerOfASmallOne", 3, 3, false, 0 },
	{ "HalfOfIt", 6, 3, false, 0 },
	{ "AFewOfALargeOne", 12, 3, false, 1 },
	{ "TwoOfASmallOne", 4, 2, false, 1 },
	{ "OneRequestAtAll", 6, 4, true, 1 },
};

class DomainTest : public SuspectTest,
		   public ::testing::WithParamInterface<domain_case>
{
      protected:
	void end(uint32_t life, uint64_t print)
	{
		const struct suspect_crash crash = { life, 0, now_us,
						     5 * US_PER_MS };

		suspect_crashed(table, print, backends, &crash, "GET /r/x");
	}
};

/* Guards against a domain's loss of power that no node sees whole by itself. */
TEST_P(DomainTest, ServersThatEndTogetherSpeakAgainstNobody)
{
	const domain_case &c = GetParam();
	const uint64_t culprit = 77;
	std::vector<uint32_t> lives;

	for (int i = 0; i < c.servers; i++)
		lives.push_back(add_backend(("i-" + std::to_string(i)).c_str())
					->incarnation);
	for (int i = 0; i < c.ended; i++) {
		now_us += 10 * US_PER_MS;
		end(lives[(size_t)i], 100 + (uint64_t)i);
		if (c.has_culprit)
			end(lives[(size_t)i], culprit);
	}
	const struct suspect *last =
		suspect_table_find(table, 100 + (uint64_t)c.ended - 1);

	EXPECT_EQ(1u, last->crash_count);
	EXPECT_EQ(c.counted, last->counted);
	EXPECT_EQ(c.has_culprit, rule(culprit).verdict == SUSPECT_QUARANTINED);
	now_us += US_PER_S;
	for (int i = 0; i < 2; i++)
		crash(next_life++, last->fingerprint);
	EXPECT_EQ(c.counted + 2, last->counted);
}

INSTANTIATE_TEST_SUITE_P(Cases, DomainTest, ::testing::ValuesIn(domain_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against such ends counting once the list forgets the servers. */
TEST_F(SuspectTest, ServersThatLeftTheListEndedTogetherAllTheSame)
{
	std::vector<std::string> ids = { "i-1", "i-2", "i-3" };

	for (const std::string &id : ids)
		crash(add_backend(id.c_str())->incarnation,
		      (uint64_t)id.back());
	for (const std::string &id : ids)
		backend_table_remove(backends, id.c_str(), 0, 0, now_us);
	now_us += US_PER_S;
	EXPECT_EQ(SUSPECT_NONE, rule((uint64_t)'1').verdict);
}

/* Guards against a request that crashes at once passing for one cause. */
TEST_F(SuspectTest, ARunThatBeganAfterAnEndIsAnother)
{
	for (uint32_t life = 1; life <= 3; life++) {
		const struct suspect_crash crash = { life, 0, now_us,
						     2 * US_PER_MS };

		suspect_crashed(table, PRINT, backends, &crash, "GET /r/x");
		now_us += 10 * US_PER_MS;
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, rule().verdict);
}

/* Guards against a request that shared servers with one that crashes them. */
TEST_F(SuspectTest, AnAnswerClears)
{
	crash_times(2);
	suspect_cleared(table, PRINT, now_us);
	EXPECT_EQ(SUSPECT_NONE, rule().verdict);
	crash_times(2);
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

/* Guards against a crash that is noticed late outliving the answer after it. */
TEST_F(SuspectTest, ACrashFromBeforeAnAnswerIsNone)
{
	crash_times(1);
	const struct suspect_crash late = { next_life++, 0, now_us - US_PER_S,
					    100 * US_PER_MS };

	suspect_cleared(table, PRINT, now_us);
	EXPECT_FALSE(
		suspect_crashed(table, PRINT, backends, &late, "GET /r/x"));
	EXPECT_EQ(0u, suspect_table_find(table, PRINT)->crash_count);
}

/* Guards against connections that were reset passing for servers that ended. */
TEST_F(SuspectTest, AServerThatAnswersLaterDidNotEnd)
{
	for (const char *id : { "i-1", "i-2", "i-3" }) {
		struct backend *backend = add_backend(id);

		now_us += US_PER_S;
		crash(backend->incarnation);
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, rule().verdict);
	now_us += US_PER_S;
	backend_answered(backend_table_find(backends, "i-2"),
			 now_us - 100 * US_PER_MS);
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

/* Guards against a new start under an old id clearing what ended the old. */
TEST_F(SuspectTest, AServerThatRefusedConnectionsEnded)
{
	struct backend *backend = add_backend("i-1");

	crash(backend->incarnation);
	now_us += US_PER_S;
	backend_unreachable(backends, backend, now_us);
	backend_answered(backend, now_us + US_PER_S);
	now_us += 2 * US_PER_S;
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

TEST_F(SuspectTest, RunsOnceAtATime)
{
	struct suspect_run run = { PRINT, SELF, 50, 0, true };

	crash_times(1);
	run.until_us = now_us + 5 * US_PER_S;
	suspect_run_begins(table, &run);
	EXPECT_EQ(SUSPECT_AT_WORK, rule().verdict);
	EXPECT_TRUE(suspect_runs_on(table, 50, true, now_us));
	EXPECT_FALSE(suspect_runs_on(table, 51, false, now_us));
	suspect_run_ends(table, PRINT, OTHER);
	EXPECT_EQ(SUSPECT_AT_WORK, rule().verdict);
	suspect_run_ends(table, PRINT, SELF);
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

/* Guards against a node that dies while it runs a suspect blocking it. */
TEST_F(SuspectTest, ARunEndsWithItsTime)
{
	crash_times(1);
	const struct suspect_run run = { PRINT, OTHER, 50, now_us + US_PER_S,
					 false };

	suspect_run_begins(table, &run);
	now_us += US_PER_S;
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

TEST_F(SuspectTest, OneNodeTriesAfterAQuarantineAndDoublesIt)
{
	uint64_t last_us = 0;

	crash_times(3);
	for (int i = 0; i < 3; i++) {
		uint64_t left_us = rule(PRINT, true).left_us;

		EXPECT_LT(1.9 * last_us, left_us);
		last_us = left_us;
		now_us += left_us;
		EXPECT_EQ(SUSPECT_QUARANTINED, rule(PRINT, false).verdict);
		EXPECT_EQ(SUSPECT_ALONE, rule(PRINT, true).verdict);
		EXPECT_TRUE(rule(PRINT, true).apart);
		crash(next_life++);
		EXPECT_EQ(SUSPECT_QUARANTINED, rule(PRINT, true).verdict);
	}
	now_us += rule(PRINT, true).left_us;
	suspect_cleared(table, PRINT, now_us);
	EXPECT_EQ(SUSPECT_NONE, rule(PRINT, false).verdict);
}

/* Guards against memory and quarantines being taken by a flood of suspects. */
TEST_F(SuspectTest, AFloodPushesOutNoQuarantinedRequest)
{
	crash_times(3);
	for (uint64_t print = 1; print < 5 * SUSPECTS_MOST; print++) {
		now_us += US_PER_MS;
		crash(next_life++, print << 32);
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, rule().verdict);
	EXPECT_EQ((uint32_t)SUSPECTS_MOST, table->count);
	EXPECT_GE(128u * 1024, sizeof(*table));
}

TEST_F(SuspectTest, OperatorsQuarantineAndRelease)
{
	EXPECT_FALSE(suspect_release(table, PRINT, now_us));
	EXPECT_TRUE(suspect_quarantine(table, PRINT, now_us));
	EXPECT_EQ(SUSPECT_QUARANTINED, rule().verdict);
	now_us += US_PER_S;
	EXPECT_TRUE(suspect_release(table, PRINT, now_us));
	EXPECT_EQ(SUSPECT_NONE, rule().verdict);
}

TEST_F(SuspectTest, IsForgottenAfterLong)
{
	crash_times(1);
	now_us += SUSPECT_KEEP_US;
	suspect_table_expire(table, now_us);
	EXPECT_EQ(0u, table->count);
}

struct judge_case {
	const char *name;
	/* Lives that ended under each, in order; 0: none. */
	uint32_t beside[5];
	uint32_t deadly[5];
	uint32_t other[5];
	bool beside_is_quarantined;
	bool deadly_is_quarantined;
	bool other_is_quarantined;
};

const judge_case judge_cases[] = {
	{ "Alone", {}, { 1, 2, 3 }, {}, false, true, false },
	{ "BesideTwice", { 1, 2 }, { 1, 2, 3 }, {}, false, true, false },
	{ "BesideEachTime", { 1, 2, 3 }, { 1, 2, 3 }, {}, false, false, false },
	{ "BesideAllButTheLast",
	  { 1, 2, 3 },
	  { 1, 2, 3, 4 },
	  {},
	  false,
	  true,
	  false },
	{ "OnceByChance", { 1, 2, 9 }, { 1, 2, 3, 4 }, {}, false, true, false },
	{ "BesideTwoInTurn",
	  { 1, 2, 3 },
	  { 1, 4, 5 },
	  { 2, 3, 6 },
	  false,
	  true,
	  true },
	{ "TwoDeadlyMeetOnce", {}, { 1, 2, 3 }, { 3, 4, 5 }, false, true, true },
	{ "DeadlyMeetsOthersEachTime",
	  { 1, 2, 8, 9 },
	  { 1, 2, 3, 4, 5 },
	  { 3, 4, 6, 7 },
	  true,
	  true,
	  true },
};

class JudgeTest : public SuspectTest,
		  public ::testing::WithParamInterface<judge_case>
{
      protected:
	bool is_quarantined(uint64_t print)
	{
		return rule(print).verdict == SUSPECT_QUARANTINED;
	}
};

/* Guards against one that stood beside the culprit being taken for it. */
TEST_P(JudgeTest, CrashesOfItsOwnTellTheCulprit)
{
	const judge_case &c = GetParam();

	for (uint32_t life = 1; life < 10; life++) {
		now_us += US_PER_S;
		for (int i = 0; i < 5; i++) {
			if (c.beside[i] == life)
				crash(life, PRINT);
			if (c.deadly[i] == life)
				crash(life, PRINT + 1);
			if (c.other[i] == life)
				crash(life, PRINT + 2);
		}
	}
	EXPECT_EQ(c.beside_is_quarantined, is_quarantined(PRINT));
	EXPECT_EQ(c.deadly_is_quarantined, is_quarantined(PRINT + 1));
	EXPECT_EQ(c.other_is_quarantined, is_quarantined(PRINT + 2));
}

INSTANTIATE_TEST_SUITE_P(Cases, JudgeTest, ::testing::ValuesIn(judge_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against an innocent one that hides the culprit after its answer. */
TEST_F(SuspectTest, AnAnswerTellsWhoseTheCrashesWere)
{
	for (uint32_t life = 1; life <= 3; life++) {
		now_us += US_PER_S;
		crash(life, PRINT);
		crash(life, PRINT + 1);
	}
	EXPECT_EQ(SUSPECT_ALONE, rule(PRINT).verdict);
	EXPECT_EQ(SUSPECT_ALONE, rule(PRINT + 1).verdict);
	suspect_cleared(table, PRINT, now_us);
	EXPECT_EQ(SUSPECT_NONE, rule(PRINT).verdict);
	EXPECT_EQ(SUSPECT_QUARANTINED, rule(PRINT + 1).verdict);
}

/* --- claims ------------------------------------------------------------- */

/* A node that wants to run a request that two servers ended under. */
struct Claimer {
	uint32_t node;
	uint64_t print;
	uint64_t comes_us;
	struct suspect_table *table = nullptr;
	bool has_claimed = false;
	uint64_t next_us = 0; /* when it looks again */
	uint64_t began_us = 0; /* its run; 0: none yet */
	uint32_t life = 0; /* of the server that it chose */
};

/* Such nodes with words between them, and servers 1 to 9. */
class ClaimWorld
{
      public:
	ClaimWorld(const std::vector<Claimer> &claimers, uint64_t word_us)
	    : claimers(claimers), word_us_(word_us)
	{
		for (Claimer &claimer : this->claimers) {
			claimer.table = suspect_table_new();
			claimer.next_us = START_US + claimer.comes_us;
			for (const Claimer &other : claimers)
				crash_twice(claimer.table, other.print);
		}
	}
	~ClaimWorld()
	{
		for (Claimer &claimer : claimers)
			suspect_table_free(claimer.table);
		backend_table_free(backends_);
	}
	void play()
	{
		for (; now_us_ < START_US + US_PER_S; now_us_ += US_PER_MS) {
			deliver();
			for (Claimer &claimer : claimers)
				if (claimer.next_us <= now_us_ &&
				    !claimer.began_us)
					step(claimer);
		}
	}
	/* Runs that began while another node had one of the same request. */
	int overlaps() const
	{
		int count = 0;

		for (const Claimer &a : claimers)
			for (const Claimer &b : claimers)
				count += &a != &b && a.print == b.print &&
					 a.began_us && b.began_us &&
					 b.began_us >= a.began_us &&
					 b.began_us < a.began_us + RUN_US;
		return count;
	}
	std::vector<Claimer> claimers;

      private:
	struct Posted {
		uint64_t at_us;
		uint32_t from;
		struct suspect_word word;
	};
	static const uint64_t START_US = 1000 * US_PER_S;
	static const uint64_t RUN_US = 300 * US_PER_MS;
	static const uint64_t LOOK_US = 20 * US_PER_MS;

	void crash_twice(struct suspect_table *table, uint64_t print)
	{
		for (uint32_t i = 1; i <= 2; i++) {
			const struct suspect_crash crash = {
				(uint32_t)print * 100 + i, 0,
				START_US - i * US_PER_S, US_PER_MS
			};

			suspect_crashed(table, print, backends_, &crash, "");
		}
	}
	void step(Claimer &claimer)
	{
		const struct suspect_query query = { claimer.print,
						     claimer.node, false,
						     claimer.has_claimed };
		struct suspect_ruling ruling;

		suspect_rule(claimer.table, &query, backends_, now_us_,
			     &ruling);
		claimer.has_claimed = false;
		claimer.next_us = now_us_ + LOOK_US;
		if (ruling.verdict != SUSPECT_ALONE)
			return;
		if (ruling.claims)
			claim(claimer);
		else
			run(claimer);
		post(claimer);
	}
	void claim(Claimer &claimer)
	{
		suspect_claim(claimer.table, claimer.print, claimer.node,
			      now_us_);
		claimer.has_claimed = true;
		claimer.next_us = now_us_ + SUSPECT_CLAIM_US;
	}
	/* At the first server at which it knows of no suspect. */
	void run(Claimer &claimer)
	{
		claimer.began_us = now_us_;
		claimer.life = 1;
		while (suspect_runs_on(claimer.table, claimer.life, false,
				       now_us_))
			claimer.life++;
		const struct suspect_run run = { claimer.print, claimer.node,
						 claimer.life, now_us_ + RUN_US,
						 true };

		suspect_run_begins(claimer.table, &run);
	}
	void post(const Claimer &claimer)
	{
		struct suspect_word words[4];
		uint32_t count = suspect_urgent_words(
			claimer.table, claimer.node, now_us_, words, 4);

		for (uint32_t i = 0; i < count; i++)
			posted_.push_back(
				{ now_us_ + word_us_, claimer.node, words[i] });
	}
	void deliver()
	{
		for (const Posted &one : posted_)
			for (Claimer &claimer : claimers)
				if (one.at_us == now_us_ &&
				    claimer.node != one.from)
					suspect_take(claimer.table, &one.word,
						     one.from, backends_,
						     now_us_);
	}

	uint64_t word_us_;
	uint64_t now_us_ = START_US;
	struct backend_table *backends_ = backend_table_new();
	std::vector<Posted> posted_;
};

struct claim_case {
	const char *name;
	uint64_t second_node_ms; /* later than the first */
	uint64_t word_ms;
};

const claim_case claim_cases[] = {
	{ "Together", 0, 60 },	     { "WithinAWord", 30, 60 },
	{ "AsItArrives", 60, 60 },   { "AsTheWaitEnds", 139, 60 },
	{ "AfterTheWait", 141, 60 }, { "Near", 1, 2 },
	{ "SlowWords", 69, 69 },
};

class ClaimTest : public ::testing::TestWithParam<claim_case>
{
};

/* Guards against nodes that each send a suspect before they hear of another. */
TEST_P(ClaimTest, NodesRunARequestOneAfterAnother)
{
	const claim_case &c = GetParam();

	for (uint32_t first : { 1, 2 }) {
		ClaimWorld world(
			{ { first, PRINT, 0 },
			  { 3 - first, PRINT, c.second_node_ms * US_PER_MS } },
			c.word_ms * US_PER_MS);

		world.play();
		EXPECT_EQ(0, world.overlaps());
		for (const Claimer &claimer : world.claimers)
			EXPECT_NE(0u, claimer.began_us);
	}
}

/* Guards against two suspects that meet at a server again and again. */
TEST_P(ClaimTest, SuspectsChooseDifferentServers)
{
	const claim_case &c = GetParam();

	for (uint64_t first : { 5, 6 }) {
		ClaimWorld world(
			{ { 1, first, 0 },
			  { 2, 11 - first, c.second_node_ms * US_PER_MS } },
			c.word_ms * US_PER_MS);

		world.play();
		EXPECT_NE(0u, world.claimers[0].life);
		EXPECT_NE(0u, world.claimers[1].life);
		EXPECT_NE(world.claimers[0].life, world.claimers[1].life);
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, ClaimTest, ::testing::ValuesIn(claim_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a node that dies after its claim blocking the request. */
TEST_F(SuspectTest, AClaimEndsWithItsTime)
{
	crash_times(2);
	suspect_claim(table, PRINT, OTHER, now_us);
	EXPECT_EQ(SUSPECT_AT_WORK, rule().verdict);
	now_us += 2 * SUSPECT_CLAIM_US;
	EXPECT_EQ(SUSPECT_ALONE, rule().verdict);
}

/* Guards against a node that was suspended running on a claim that is over. */
TEST_F(SuspectTest, AClaimThatIsOverIsMadeAgain)
{
	crash_times(2);
	EXPECT_TRUE(rule().claims);
	suspect_claim(table, PRINT, SELF, now_us);
	now_us += SUSPECT_CLAIM_US;
	EXPECT_FALSE(rule(PRINT, false, true).claims);
	now_us += SUSPECT_CLAIM_US;
	EXPECT_TRUE(rule(PRINT, false, true).claims);
}

/* --- words between nodes ------------------------------------------------ */

class WordTest : public SuspectTest
{
      protected:
	void SetUp() override
	{
		SuspectTest::SetUp();
		theirs = suspect_table_new();
	}
	void TearDown() override
	{
		suspect_table_free(theirs);
		SuspectTest::TearDown();
	}
	bool take(const struct suspect_word &word)
	{
		return suspect_take(theirs, &word, SELF, backends, now_us);
	}
	void tell()
	{
		for (const struct suspect_word &word : words())
			EXPECT_TRUE(take(word));
	}
	enum suspect_verdict their_verdict(bool is_prober = false)
	{
		const struct suspect_query query = { PRINT, OTHER, is_prober,
						     false };
		struct suspect_ruling ruling;

		suspect_rule(theirs, &query, backends, now_us, &ruling);
		return ruling.verdict;
	}
	struct suspect_table *theirs;
};

/* Guards against nodes that each count a part of the crashes. */
TEST_F(WordTest, CrashesOfTwoNodesAddUp)
{
	crash_times(2);
	const struct suspect_crash crash = { 7, 0, now_us - 5 * US_PER_S,
					     US_PER_MS };

	suspect_crashed(theirs, PRINT, backends, &crash, "GET /r/x");
	EXPECT_EQ(SUSPECT_ALONE, their_verdict());
	tell();
	tell();
	EXPECT_EQ(SUSPECT_QUARANTINED, their_verdict());
}

TEST_F(WordTest, AQuarantineGoesOnByWord)
{
	crash_times(3);
	now_us += rule().left_us;
	crash(next_life++);
	tell();
	EXPECT_EQ(SUSPECT_QUARANTINED, their_verdict(true));
	EXPECT_EQ(2u, suspect_table_find(theirs, PRINT)->rounds);
}

/* Guards against an old word undoing what an answer has cleared. */
TEST_F(WordTest, AnAnswerClearsWhatWasToldBefore)
{
	crash_times(2);
	std::vector<struct suspect_word> old = words();

	tell();
	now_us += US_PER_S;
	suspect_cleared(table, PRINT, now_us);
	tell();
	EXPECT_EQ(SUSPECT_NONE, their_verdict());
	old[0].crashes[0].age_us += US_PER_S;
	old[0].crashes[1].age_us += US_PER_S;
	EXPECT_TRUE(take(old[0]));
	EXPECT_EQ(SUSPECT_NONE, their_verdict());
}

/* Guards against a late word on an older answer undoing a newer one. */
TEST_F(WordTest, AnOlderAnswerAfterANewerOneChangesNothing)
{
	crash_times(2);
	tell();
	const uint64_t newer_us = now_us + 2 * US_PER_S;
	struct suspect_word older = {};

	now_us = newer_us;
	suspect_cleared(theirs, PRINT, now_us);
	older.fingerprint = PRINT;
	older.cleared = true;
	older.cleared_age_us = US_PER_S;
	EXPECT_TRUE(take(older));
	EXPECT_EQ(newer_us, suspect_table_find(theirs, PRINT)->cleared_us);
	const struct suspect_crash between = { next_life++, 0,
					       newer_us - US_PER_S / 2,
					       100 * US_PER_MS };

	EXPECT_FALSE(suspect_crashed(theirs, PRINT, backends, &between, ""));
}

TEST_F(WordTest, ARunIsTold)
{
	crash_times(2);
	const struct suspect_run run = { PRINT, SELF, 9, now_us + US_PER_S,
					 true };

	suspect_run_begins(table, &run);
	tell();
	EXPECT_EQ(SUSPECT_AT_WORK, their_verdict());
	suspect_run_ends(table, PRINT, SELF);
	tell();
	EXPECT_EQ(SUSPECT_ALONE, their_verdict());
}

/* Guards against callers of other nodes waiting for a run that has ended. */
TEST_F(WordTest, TheEndOfARunIsToldAtOnce)
{
	struct suspect_word word;

	crash_times(1);
	const struct suspect_run run = { PRINT, SELF, 9, now_us + US_PER_S,
					 false };

	suspect_run_begins(table, &run);
	EXPECT_EQ(1u, suspect_urgent_words(table, SELF, now_us, &word, 1));
	EXPECT_TRUE(take(word));
	EXPECT_EQ(SUSPECT_AT_WORK, their_verdict());
	suspect_run_ends(table, PRINT, SELF);
	EXPECT_EQ(1u, suspect_urgent_words(table, SELF, now_us, &word, 1));
	EXPECT_TRUE(take(word));
	EXPECT_EQ(SUSPECT_ALONE, their_verdict());
}

/* Guards against a confused node taking a request's service away by itself. */
TEST_F(WordTest, CrashesOfServersThatAnswerDontCount)
{
	struct suspect_word word = {};

	word.fingerprint = PRINT;
	word.rounds = 1;
	word.left_us = SUSPECT_QUARANTINE_US;
	word.crash_count = SUSPECT_CRASHES;
	for (uint32_t i = 0; i < SUSPECT_CRASHES; i++) {
		struct backend *backend =
			add_backend(("i-" + std::to_string(i)).c_str());

		backend_answered(backend, now_us - US_PER_S);
		word.crashes[i].life = backend->incarnation;
		word.crashes[i].age_us = (5 + i) * US_PER_S;
	}
	EXPECT_TRUE(take(word));
	EXPECT_EQ(SUSPECT_NONE, their_verdict());
}

struct absurd_case {
	const char *name;
	void (*spoil)(struct suspect_word *word);
};

const absurd_case absurd_cases[] = {
	{ "NoFingerprint", [](auto *word) { word->fingerprint = 0; } },
	{ "ManyCrashes", [](auto *word) { word->crash_count = 1000000; } },
	{ "ManyRounds",
	  [](auto *word) { word->rounds = SUSPECT_ROUNDS_MOST + 1; } },
	{ "LongQuarantine",
	  [](auto *word) { word->left_us = 2 * SUSPECT_QUARANTINE_US; } },
	{ "QuarantineWithoutRound", [](auto *word) { word->rounds = 0; } },
	{ "OldCrash",
	  [](auto *word) { word->crashes[0].age_us = SUSPECT_KEEP_US + 1; } },
	{ "LongRun",
	  [](auto *word) { word->run_left_us = SUSPECT_RUN_MOST_US + 1; } },
};

class AbsurdTest : public WordTest,
		   public ::testing::WithParamInterface<absurd_case>
{
};

TEST_P(AbsurdTest, WordChangesNothing)
{
	crash_times(3);
	struct suspect_word word = words()[0];

	GetParam().spoil(&word);
	EXPECT_FALSE(take(word));
	EXPECT_EQ(0u, theirs->count);
	EXPECT_EQ(0u, theirs->run_count);
}

INSTANTIATE_TEST_SUITE_P(Cases, AbsurdTest, ::testing::ValuesIn(absurd_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against lost datagrams, and against telling for ever. */
TEST_F(WordTest, ChangesAreToldAFewTimesQuarantinesAgainAndAgain)
{
	struct suspect_word word;

	crash_times(1);
	EXPECT_TRUE(suspect_is_urgent(table));
	EXPECT_EQ(1u, suspect_urgent_words(table, SELF, now_us, &word, 1));
	EXPECT_FALSE(suspect_is_urgent(table));
	for (int i = 0; i < 10; i++)
		words();
	EXPECT_TRUE(words().empty());
	crash_times(2);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(1u, words().size());
}

} /* namespace */
