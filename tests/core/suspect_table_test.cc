/*
 * Evidence for and against suspects, claims, and updates between nodes.
 */
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/suspect_table.h"

namespace
{

const uint64_t FINGERPRINT = 0x5eed;
const uint32_t SELF = 1;
const uint32_t OTHER = 2;

/* One node's table, and the backend servers that the node knows. */
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
	/*
	 * The server of this incarnation crashes, 100 ms after the request
	 * came.
	 */
	bool crash(uint32_t incarnation, uint64_t fingerprint = FINGERPRINT)
	{
		const struct suspect_crash crash = { incarnation, 0, now_us,
						     100 * US_PER_MS };

		return suspect_add_own_crash(table, fingerprint, backends,
					     &crash, "GET /r/x");
	}
	/* So many servers crash, one after another. */
	void crash_times(int count, uint64_t fingerprint = FINGERPRINT)
	{
		for (int i = 0; i < count; i++) {
			now_us += US_PER_S;
			crash(next_life++, fingerprint);
		}
	}
	struct suspect_decision decide(uint64_t fingerprint = FINGERPRINT,
				       bool is_prober = false,
				       bool has_claimed = false)
	{
		const struct suspect_query query = { fingerprint, SELF,
						     is_prober, has_claimed };
		struct suspect_decision decision;

		suspect_decide(table, &query, backends, now_us, &decision);
		return decision;
	}
	std::vector<struct suspect_update> updates()
	{
		std::vector<struct suspect_update> all(SUSPECT_MAX_ENTRIES);

		all.resize(suspect_collect_updates(
			table, SELF, now_us, all.data(), SUSPECT_MAX_ENTRIES));
		return all;
	}
	struct backend *add_backend(const char *id, const char *domain = "d1")
	{
		struct backend_info facts = {};

		facts.id = id;
		facts.service = "s";
		facts.domain = domain;
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
	bool isolated;
};

const count_case count_cases[] = {
	{ "None", 0, SUSPECT_NONE, false },
	{ "One", 1, SUSPECT_MAY_RUN, false },
	{ "Two", 2, SUSPECT_MAY_RUN, true },
	{ "Three", 3, SUSPECT_QUARANTINED, false },
	{ "Four", 4, SUSPECT_QUARANTINED, false },
};

class CrashCountTest : public SuspectTest,
		       public ::testing::WithParamInterface<count_case>
{
};

TEST_P(CrashCountTest, DecidesTheVerdict)
{
	crash_times(GetParam().crashes);
	EXPECT_EQ(GetParam().verdict, decide().verdict);
	EXPECT_EQ(GetParam().isolated, decide().isolated);
	EXPECT_EQ(SUSPECT_NONE, decide(FINGERPRINT + 1).verdict);
}

INSTANTIATE_TEST_SUITE_P(Cases, CrashCountTest,
			 ::testing::ValuesIn(count_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against counting a crash twice when it is reported twice. */
TEST_F(SuspectTest, RepeatedCrashReportCountsOnce)
{
	for (int i = 0; i < 5; i++) {
		now_us += US_PER_S;
		EXPECT_EQ(i == 0, crash(7));
	}
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against counting a domain's power failure as one crash per server. */
TEST_F(SuspectTest, SimultaneousCrashesDontQuarantine)
{
	for (uint32_t incarnation = 1; incarnation <= 8; incarnation++) {
		now_us += 5 * US_PER_MS;
		crash(incarnation);
	}
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against a deadly request at several domains that passes for one
 * failure. */
TEST_F(SuspectTest, SimultaneousCrashesInSeveralDomainsQuarantine)
{
	for (const char *domain : { "d1", "d2", "d3" }) {
		now_us += 20 * US_PER_MS;
		crash(add_backend(domain, domain)->incarnation);
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, decide().verdict);
}

struct domain_case {
	const char *name;
	int servers; /* in the failure domain */
	int ended; /* of these, at one moment, each with a request of its own */
	bool has_culprit; /* one more request ran at all of them */
	uint32_t counted; /* of the request at the last of them */
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
	void end(uint32_t incarnation, uint64_t fingerprint)
	{
		const struct suspect_crash crash = { incarnation, 0, now_us,
						     5 * US_PER_MS };

		suspect_add_own_crash(table, fingerprint, backends, &crash,
				      "GET /r/x");
	}
};

/*
 * Guards against counting a domain's power failure that no node sees in full.
 */
TEST_P(DomainTest, DomainOutageCountsAgainstNoRequest)
{
	const domain_case &c = GetParam();
	const uint64_t culprit = 77;
	std::vector<uint32_t> incarnations;

	for (int i = 0; i < c.servers; i++)
		incarnations.push_back(
			add_backend(("i-" + std::to_string(i)).c_str())
				->incarnation);
	for (int i = 0; i < c.ended; i++) {
		now_us += 10 * US_PER_MS;
		end(incarnations[(size_t)i], 100 + (uint64_t)i);
		if (c.has_culprit)
			end(incarnations[(size_t)i], culprit);
	}
	const struct suspect *last =
		suspect_table_find(table, 100 + (uint64_t)c.ended - 1);

	EXPECT_EQ(1u, last->crash_count);
	EXPECT_EQ(c.counted, last->evidence_crashes);
	EXPECT_EQ(c.has_culprit,
		  decide(culprit).verdict == SUSPECT_QUARANTINED);
	now_us += US_PER_S;
	for (int i = 0; i < 2; i++)
		crash(next_life++, last->fingerprint);
	EXPECT_EQ(c.counted + 2, last->evidence_crashes);
}

INSTANTIATE_TEST_SUITE_P(Cases, DomainTest, ::testing::ValuesIn(domain_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * Guards against counting a domain's power failure for a request that loses
 * another domain's server in its retry.
 */
TEST_F(SuspectTest, CrashInAnotherDomainDoesNotMakeAnOutageCount)
{
	for (int i = 1; i <= 3; i++)
		crash(add_backend(("i-" + std::to_string(i)).c_str())
			      ->incarnation,
		      FINGERPRINT + (uint64_t)i);
	now_us += 50 * US_PER_MS;
	crash(add_backend("i-4", "d2")->incarnation, FINGERPRINT + 1);
	EXPECT_EQ(1u,
		  suspect_table_find(table, FINGERPRINT + 1)->evidence_crashes);
}

/* Guards against counting an outage once the list has dropped its servers. */
TEST_F(SuspectTest, DomainOutageIsKnownAfterServersLeftTheList)
{
	std::vector<std::string> ids = { "i-1", "i-2", "i-3" };

	for (const std::string &id : ids)
		crash(add_backend(id.c_str())->incarnation,
		      (uint64_t)id.back());
	for (const std::string &id : ids)
		backend_table_remove(backends, id.c_str(), {}, 0, now_us);
	now_us += US_PER_S;
	EXPECT_EQ(SUSPECT_NONE, decide((uint64_t)'1').verdict);
}

/* Guards against taking crashes by quick, successive runs for one cause. */
TEST_F(SuspectTest, RunStartedAfterACrashCountsSeparately)
{
	for (uint32_t incarnation = 1; incarnation <= 3; incarnation++) {
		const struct suspect_crash crash = { incarnation, 0, now_us,
						     2 * US_PER_MS };

		suspect_add_own_crash(table, FINGERPRINT, backends, &crash,
				      "GET /r/x");
		now_us += 10 * US_PER_MS;
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, decide().verdict);
}

/* Guards against suspecting a request for good that ran beside a deadly one. */
TEST_F(SuspectTest, AnswerClearsEarlierCrashes)
{
	crash_times(2);
	suspect_clear(table, FINGERPRINT, now_us);
	EXPECT_EQ(SUSPECT_NONE, decide().verdict);
	crash_times(2);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against a crash that is reported after a later answer. */
TEST_F(SuspectTest, CrashBeforeAnAnswerIsIgnored)
{
	crash_times(1);
	const struct suspect_crash late = { next_life++, 0, now_us - US_PER_S,
					    100 * US_PER_MS };

	suspect_clear(table, FINGERPRINT, now_us);
	EXPECT_FALSE(suspect_add_own_crash(table, FINGERPRINT, backends, &late,
					   "GET /r/x"));
	EXPECT_EQ(0u, suspect_table_find(table, FINGERPRINT)->crash_count);
}

/* Guards against taking connection resets for crashes. */
TEST_F(SuspectTest, ServerThatAnswersLaterDidNotCrash)
{
	for (const char *id : { "i-1", "i-2", "i-3" }) {
		struct backend *backend = add_backend(id);

		now_us += US_PER_S;
		crash(backend->incarnation);
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, decide().verdict);
	now_us += US_PER_S;
	backend_answered(backend_table_find(backends, "i-2"),
			 now_us - 100 * US_PER_MS);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against a restart under the old id that hides the crash before it. */
TEST_F(SuspectTest, ServerThatRefusedConnectionsCrashed)
{
	struct backend *backend = add_backend("i-1");

	crash(backend->incarnation);
	now_us += US_PER_S;
	backend_unreachable(backends, backend, now_us);
	backend_answered(backend, now_us + US_PER_S);
	now_us += 2 * US_PER_S;
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

TEST_F(SuspectTest, RunsOnceAtATime)
{
	struct suspect_run run = { FINGERPRINT, SELF, 50, 0, true };

	crash_times(1);
	run.until_us = now_us + 5 * US_PER_S;
	suspect_begin_run(table, &run);
	EXPECT_EQ(SUSPECT_RUNNING, decide().verdict);
	EXPECT_TRUE(suspect_runs_on(table, 50, true, now_us));
	EXPECT_FALSE(suspect_runs_on(table, 51, false, now_us));
	suspect_end_run(table, FINGERPRINT, OTHER);
	EXPECT_EQ(SUSPECT_RUNNING, decide().verdict);
	suspect_end_run(table, FINGERPRINT, SELF);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against a node that dies while it runs a suspect and so blocks it. */
TEST_F(SuspectTest, RunExpires)
{
	crash_times(1);
	const struct suspect_run run = { FINGERPRINT, OTHER, 50,
					 now_us + US_PER_S, false };

	suspect_begin_run(table, &run);
	now_us += US_PER_S;
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

TEST_F(SuspectTest, OneNodeRetriesAfterQuarantineAndACrashDoublesIt)
{
	uint64_t last_us = 0;

	crash_times(3);
	for (int i = 0; i < 3; i++) {
		uint64_t left_us = decide(FINGERPRINT, true).left_us;

		EXPECT_LT(1.9 * last_us, left_us);
		last_us = left_us;
		now_us += left_us;
		EXPECT_EQ(SUSPECT_QUARANTINED,
			  decide(FINGERPRINT, false).verdict);
		EXPECT_EQ(SUSPECT_MAY_RUN, decide(FINGERPRINT, true).verdict);
		EXPECT_TRUE(decide(FINGERPRINT, true).isolated);
		crash(next_life++);
		EXPECT_EQ(SUSPECT_QUARANTINED,
			  decide(FINGERPRINT, true).verdict);
	}
	now_us += decide(FINGERPRINT, true).left_us;
	suspect_clear(table, FINGERPRINT, now_us);
	EXPECT_EQ(SUSPECT_NONE, decide(FINGERPRINT, false).verdict);
}

/*
 * Guards against a flood of suspects that fills memory or evicts quarantines.
 */
TEST_F(SuspectTest, FullTableEvictsNoQuarantinedRequest)
{
	crash_times(3);
	for (uint64_t fingerprint = 1; fingerprint < 5 * SUSPECT_MAX_ENTRIES;
	     fingerprint++) {
		now_us += US_PER_MS;
		crash(next_life++, fingerprint << 32);
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, decide().verdict);
	EXPECT_EQ((uint32_t)SUSPECT_MAX_ENTRIES, table->count);
	EXPECT_GE(128u * 1024, sizeof(*table));
}

TEST_F(SuspectTest, OperatorsQuarantineAndRelease)
{
	EXPECT_FALSE(suspect_release(table, FINGERPRINT, now_us));
	EXPECT_TRUE(suspect_quarantine(table, FINGERPRINT, now_us));
	EXPECT_EQ(SUSPECT_QUARANTINED, decide().verdict);
	now_us += US_PER_S;
	EXPECT_TRUE(suspect_release(table, FINGERPRINT, now_us));
	EXPECT_EQ(SUSPECT_NONE, decide().verdict);
}

TEST_F(SuspectTest, EntryExpires)
{
	crash_times(1);
	now_us += SUSPECT_TTL_US;
	suspect_table_expire(table, now_us);
	EXPECT_EQ(0u, table->count);
}

struct attribution_case {
	const char *name;
	/* Servers that crashed with each request, in order; 0: none. */
	uint32_t beside[5];
	uint32_t deadly[5];
	uint32_t other[5];
	bool beside_is_quarantined;
	bool deadly_is_quarantined;
	bool other_is_quarantined;
	/*
	 * Servers that crash meanwhile, each with a request that another server
	 * answers afterwards.
	 */
	uint32_t unrelated_crashes = 0;
};

const attribution_case attribution_cases[] = {
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
	/* A shared crash that the deadly request no longer keeps. */
	{ "DeadlyHasMoreThanAreKept",
	  { 1, 2, 7 },
	  { 1, 2, 3, 4, 5 },
	  {},
	  false,
	  true,
	  false },
	/* The same, forgotten after both were judged rightly. */
	{ "DeadlyExceedsTheKeptLater",
	  { 1, 2, 5 },
	  { 1, 2, 3, 4, 6 },
	  {},
	  false,
	  true,
	  false },
	/* A deadly request released as two others explain its crashes. */
	{ "DeadlySharesWithTwoDeadly",
	  { 1, 2, 3 },
	  { 1, 4, 5 },
	  { 3, 6, 7 },
	  true,
	  true,
	  true },
	/* Chance crashes taken for the request's, as servers crash anyway. */
	{ "ThreeAmidUnrelatedCrashes",
	  { 1, 2, 3 },
	  {},
	  {},
	  false,
	  false,
	  false,
	  3 },
	/* The same after a crash beside a deadly request. */
	{ "SharedOneAmidUnrelatedCrashes",
	  { 1, 6, 7 },
	  { 1, 2, 3, 4 },
	  {},
	  false,
	  true,
	  false,
	  3 },
	/* A harmless request quarantined for one chance crash. */
	{ "SharedTwoAmidUnrelatedCrashes",
	  { 1, 2, 3 },
	  { 1, 4, 5, 8 },
	  { 3, 6, 7, 9 },
	  false,
	  true,
	  true,
	  3 },
	/* A deadly request excused by chance crashes. */
	{ "FourAmidUnrelatedCrashes",
	  { 1 },
	  { 2, 3, 4, 5 },
	  {},
	  false,
	  true,
	  false,
	  3 },
	/* Requests quarantined for each other's crashes. */
	{ "OneEach", { 1 }, { 2 }, { 3 }, false, false, false },
	{ "TwoEach", { 1, 4 }, { 2, 5 }, { 3, 6 }, false, false, false },
};

class AttributionTest : public SuspectTest,
			public ::testing::WithParamInterface<attribution_case>
{
      protected:
	bool is_quarantined(uint64_t fingerprint)
	{
		return decide(fingerprint).verdict == SUSPECT_QUARANTINED;
	}
	void crash_unrelated(uint32_t number)
	{
		const uint64_t fingerprint = FINGERPRINT + 100 + number;

		crash(next_life++, fingerprint);
		now_us += 500 * US_PER_MS;
		suspect_clear(table, fingerprint, now_us);
	}
};

/* Guards against quarantining a request that ran beside the deadly one. */
TEST_P(AttributionTest, ExclusiveCrashesIdentifyTheCause)
{
	const attribution_case &c = GetParam();

	for (uint32_t incarnation = 1; incarnation < 10; incarnation++) {
		now_us += US_PER_S;
		for (int i = 0; i < 5; i++) {
			if (c.beside[i] == incarnation)
				crash(incarnation, FINGERPRINT);
			if (c.deadly[i] == incarnation)
				crash(incarnation, FINGERPRINT + 1);
			if (c.other[i] == incarnation)
				crash(incarnation, FINGERPRINT + 2);
		}
		if (incarnation <= c.unrelated_crashes)
			crash_unrelated(incarnation);
	}
	EXPECT_EQ(c.beside_is_quarantined, is_quarantined(FINGERPRINT));
	EXPECT_EQ(c.deadly_is_quarantined, is_quarantined(FINGERPRINT + 1));
	EXPECT_EQ(c.other_is_quarantined, is_quarantined(FINGERPRINT + 2));
}

INSTANTIATE_TEST_SUITE_P(Cases, AttributionTest,
			 ::testing::ValuesIn(attribution_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against keeping a quarantine that chance and two others explain. */
TEST_F(SuspectTest, UnrelatedCrashLiftsAQuarantineThatOthersExplain)
{
	const std::vector<std::vector<uint64_t>> crashes = {
		{ 1, 2 }, { 1 }, { 1, 3 }, { 2 }, { 2 }, { 3 }, { 3 }
	};

	for (const std::vector<uint64_t> &requests : crashes) {
		now_us += US_PER_S;
		for (uint64_t request : requests)
			crash(next_life, FINGERPRINT + request);
		next_life++;
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, decide(FINGERPRINT + 1).verdict);
	crash(next_life++, FINGERPRINT + 4);
	now_us += US_PER_S;
	suspect_clear(table, FINGERPRINT + 4, now_us);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide(FINGERPRINT + 1).verdict);
	EXPECT_EQ(SUSPECT_QUARANTINED, decide(FINGERPRINT + 2).verdict);
	EXPECT_EQ(SUSPECT_QUARANTINED, decide(FINGERPRINT + 3).verdict);
}

/*
 * Guards against a harmless request that shields the deadly one it ran beside.
 */
TEST_F(SuspectTest, AnswerLeavesTheCrashesToTheOtherRequest)
{
	for (uint32_t incarnation = 1; incarnation <= 3; incarnation++) {
		now_us += US_PER_S;
		crash(incarnation, FINGERPRINT);
		crash(incarnation, FINGERPRINT + 1);
	}
	EXPECT_EQ(SUSPECT_MAY_RUN, decide(FINGERPRINT).verdict);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide(FINGERPRINT + 1).verdict);
	suspect_clear(table, FINGERPRINT, now_us);
	EXPECT_EQ(SUSPECT_NONE, decide(FINGERPRINT).verdict);
	EXPECT_EQ(SUSPECT_QUARANTINED, decide(FINGERPRINT + 1).verdict);
}

/* --- claims ------------------------------------------------------------- */

/* A node that wants to run a request with two crashes. */
struct ClaimingNode {
	uint32_t node;
	uint64_t fingerprint;
	uint64_t comes_us;
	struct suspect_table *table = nullptr;
	bool has_claimed = false;
	uint64_t next_us = 0; /* time of the next attempt */
	uint64_t began_us = 0; /* start of its run; 0: none yet */
	uint32_t incarnation = 0; /* chosen server */
};

/* Such nodes, updates between them, and servers 1 to 9. */
class ClaimSimulation
{
      public:
	ClaimSimulation(const std::vector<ClaimingNode> &claimers,
			uint64_t update_us)
	    : claimers(claimers), update_us_(update_us)
	{
		for (ClaimingNode &claimer : this->claimers) {
			claimer.table = suspect_table_new();
			claimer.next_us = START_US + claimer.comes_us;
			for (const ClaimingNode &other : claimers)
				crash_twice(claimer.table, other.fingerprint);
		}
	}
	~ClaimSimulation()
	{
		for (ClaimingNode &claimer : claimers)
			suspect_table_free(claimer.table);
		backend_table_free(backends_);
	}
	void play()
	{
		for (; now_us_ < START_US + US_PER_S; now_us_ += US_PER_MS) {
			deliver();
			for (ClaimingNode &claimer : claimers)
				if (claimer.next_us <= now_us_ &&
				    !claimer.began_us)
					step(claimer);
		}
	}
	/* Runs that began during another node's run of the same request. */
	int overlaps() const
	{
		int count = 0;

		for (const ClaimingNode &a : claimers)
			for (const ClaimingNode &b : claimers)
				count += &a != &b &&
					 a.fingerprint == b.fingerprint &&
					 a.began_us && b.began_us &&
					 b.began_us >= a.began_us &&
					 b.began_us < a.began_us + RUN_US;
		return count;
	}
	std::vector<ClaimingNode> claimers;

      private:
	struct Posted {
		uint64_t at_us;
		uint32_t from;
		struct suspect_update update;
	};
	static const uint64_t START_US = 1000 * US_PER_S;
	static const uint64_t RUN_US = 300 * US_PER_MS;
	static const uint64_t LOOK_US = 20 * US_PER_MS;

	void crash_twice(struct suspect_table *table, uint64_t fingerprint)
	{
		for (uint32_t i = 1; i <= 2; i++) {
			const struct suspect_crash crash = {
				(uint32_t)fingerprint * 100 + i, 0,
				START_US - i * US_PER_S, US_PER_MS
			};

			suspect_add_own_crash(table, fingerprint, backends_,
					      &crash, "");
		}
	}
	void step(ClaimingNode &claimer)
	{
		const struct suspect_query query = { claimer.fingerprint,
						     claimer.node, false,
						     claimer.has_claimed };
		struct suspect_decision decision;

		suspect_decide(claimer.table, &query, backends_, now_us_,
			       &decision);
		claimer.has_claimed = false;
		claimer.next_us = now_us_ + LOOK_US;
		if (decision.verdict != SUSPECT_MAY_RUN)
			return;
		if (decision.needs_claim)
			claim(claimer);
		else
			run(claimer);
		post(claimer);
	}
	void claim(ClaimingNode &claimer)
	{
		suspect_claim(claimer.table, claimer.fingerprint, claimer.node,
			      now_us_);
		claimer.has_claimed = true;
		claimer.next_us = now_us_ + SUSPECT_CLAIM_WAIT_US;
	}
	/*
	 * Runs at the first server without a suspect, as far as the node knows.
	 */
	void run(ClaimingNode &claimer)
	{
		claimer.began_us = now_us_;
		claimer.incarnation = 1;
		while (suspect_runs_on(claimer.table, claimer.incarnation,
				       false, now_us_))
			claimer.incarnation++;
		const struct suspect_run run = { claimer.fingerprint,
						 claimer.node,
						 claimer.incarnation,
						 now_us_ + RUN_US, true };

		suspect_begin_run(claimer.table, &run);
	}
	void post(const ClaimingNode &claimer)
	{
		struct suspect_update updates[4];
		uint32_t count = suspect_collect_broadcast(
			claimer.table, claimer.node, now_us_, updates, 4);

		for (uint32_t i = 0; i < count; i++)
			posted_.push_back({ now_us_ + update_us_, claimer.node,
					    updates[i] });
	}
	void deliver()
	{
		for (const Posted &one : posted_)
			for (ClaimingNode &claimer : claimers)
				if (one.at_us == now_us_ &&
				    claimer.node != one.from)
					suspect_apply_update(
						claimer.table, &one.update,
						one.from, backends_, now_us_);
	}

	uint64_t update_us_;
	uint64_t now_us_ = START_US;
	struct backend_table *backends_ = backend_table_new();
	std::vector<Posted> posted_;
};

struct claim_case {
	const char *name;
	uint64_t second_node_ms; /* after the first */
	uint64_t update_ms;
};

const claim_case claim_cases[] = {
	{ "Together", 0, 60 },
	{ "BeforeTheUpdateArrives", 30, 60 },
	{ "AsTheUpdateArrives", 60, 60 },
	{ "AsTheWaitEnds", 139, 60 },
	{ "AfterTheWait", 141, 60 },
	{ "Near", 1, 2 },
	{ "SlowUpdates", 69, 69 },
};

class ClaimTest : public ::testing::TestWithParam<claim_case>
{
};

/*
 * Guards against two nodes that each run a suspect before the other's update.
 */
TEST_P(ClaimTest, NodesRunARequestOneAfterAnother)
{
	const claim_case &c = GetParam();

	for (uint32_t first : { 1, 2 }) {
		ClaimSimulation simulation({ { first, FINGERPRINT, 0 },
					     { 3 - first, FINGERPRINT,
					       c.second_node_ms * US_PER_MS } },
					   c.update_ms * US_PER_MS);

		simulation.play();
		EXPECT_EQ(0, simulation.overlaps());
		for (const ClaimingNode &claimer : simulation.claimers)
			EXPECT_NE(0u, claimer.began_us);
	}
}

/* Guards against two suspects that run at the same server. */
TEST_P(ClaimTest, SuspectsChooseDifferentServers)
{
	const claim_case &c = GetParam();

	for (uint64_t first : { 5, 6 }) {
		ClaimSimulation simulation(
			{ { 1, first, 0 },
			  { 2, 11 - first, c.second_node_ms * US_PER_MS } },
			c.update_ms * US_PER_MS);

		simulation.play();
		EXPECT_NE(0u, simulation.claimers[0].incarnation);
		EXPECT_NE(0u, simulation.claimers[1].incarnation);
		EXPECT_NE(simulation.claimers[0].incarnation,
			  simulation.claimers[1].incarnation);
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, ClaimTest, ::testing::ValuesIn(claim_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a node that dies after its claim and so blocks the request. */
TEST_F(SuspectTest, ClaimExpires)
{
	crash_times(2);
	suspect_claim(table, FINGERPRINT, OTHER, now_us);
	EXPECT_EQ(SUSPECT_RUNNING, decide().verdict);
	now_us += 2 * SUSPECT_CLAIM_WAIT_US;
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against a node that was suspended and runs on an expired claim. */
TEST_F(SuspectTest, ExpiredClaimMustBeRepeated)
{
	crash_times(2);
	EXPECT_TRUE(decide().needs_claim);
	suspect_claim(table, FINGERPRINT, SELF, now_us);
	now_us += SUSPECT_CLAIM_WAIT_US;
	EXPECT_FALSE(decide(FINGERPRINT, false, true).needs_claim);
	now_us += SUSPECT_CLAIM_WAIT_US;
	EXPECT_TRUE(decide(FINGERPRINT, false, true).needs_claim);
}

/* --- retries before updates arrive ---------------------------------------- */

/*
 * Nodes that run one request, each arrival and each retry at another server,
 * which crashes after RUN_US. Crashed runs are retried as by the product.
 */
class RetrySimulation
{
      public:
	struct Arrival {
		uint32_t node; /* from 1 on; 0: none */
		uint64_t at_ms;
	};
	/* Only the first crashing_runs runs crash their server. */
	RetrySimulation(uint32_t nodes, uint64_t update_us, int crashing_runs)
	    : update_us_(update_us), crashing_runs_(crashing_runs)
	{
		for (uint32_t i = 0; i < nodes; i++)
			tables_.push_back(suspect_table_new());
	}
	~RetrySimulation()
	{
		for (struct suspect_table *table : tables_)
			suspect_table_free(table);
		backend_table_free(backends_);
	}
	void add(const Arrival &arrival)
	{
		if (arrival.node)
			attempts_.push_back(
				{ START_US + arrival.at_ms * US_PER_MS,
				  arrival.node, 0, false });
	}
	void play()
	{
		for (; now_us_ < START_US + 2 * US_PER_S;
		     now_us_ += US_PER_MS) {
			deliver();
			end_runs();
			attempt_due();
			for (uint32_t node = 1; node <= tables_.size(); node++)
				post(node);
		}
	}
	int runs = 0;
	int crashes = 0;
	int answers = 0;
	std::string history; /* starts and crashes, for a failed test */
	uint64_t answered_us = 0; /* time from the first crash */

      private:
	struct Attempt {
		uint64_t at_us;
		uint32_t node;
		int sends;
		bool has_claimed;
	};
	struct Run {
		Attempt attempt;
		uint32_t incarnation;
		uint64_t end_us;
		bool is_suspect;
		bool crashes;
	};
	struct Posted {
		uint64_t at_us;
		uint32_t from;
		struct suspect_update update;
	};
	static const uint64_t START_US = 1000 * US_PER_S;
	static const uint64_t RUN_US = 100 * US_PER_MS;
	static const uint64_t POLL_US = 20 * US_PER_MS;
	static const uint64_t RETRY_US = 4 * US_PER_MS;
	static const int MAX_SENDS = 3;

	struct suspect_table *table(uint32_t node) const
	{
		return tables_[node - 1];
	}
	void log(const char *what, uint32_t node)
	{
		const struct suspect *entry =
			suspect_table_find(table(node), FINGERPRINT);

		history += std::to_string((now_us_ - START_US) / US_PER_MS) +
			   " ms: node " + std::to_string(node) + " " + what +
			   ", knows of " +
			   std::to_string(entry ? entry->crash_count : 0) +
			   " crashes\n";
	}
	void attempt_due()
	{
		std::vector<Attempt> due;

		std::swap(due, attempts_);
		for (const Attempt &one : due)
			if (one.at_us <= now_us_)
				attempt(one);
			else
				attempts_.push_back(one);
	}
	void attempt(Attempt one)
	{
		const struct suspect_query query = { FINGERPRINT, one.node,
						     false, one.has_claimed };
		struct suspect_decision decision;

		suspect_decide(table(one.node), &query, backends_, now_us_,
			       &decision);
		one.has_claimed = false;
		if (decision.verdict == SUSPECT_QUARANTINED)
			return;
		if (decision.verdict == SUSPECT_RUNNING) {
			one.at_us = now_us_ + POLL_US;
			attempts_.push_back(one);
		} else if (decision.wait_us) {
			one.at_us = now_us_ + decision.wait_us;
			attempts_.push_back(one);
		} else if (decision.needs_claim) {
			suspect_claim(table(one.node), FINGERPRINT, one.node,
				      now_us_);
			one.has_claimed = true;
			one.at_us = now_us_ + SUSPECT_CLAIM_WAIT_US;
			attempts_.push_back(one);
		} else {
			begin(one, decision);
		}
	}
	void begin(Attempt one, const struct suspect_decision &decision)
	{
		bool is_suspect = decision.verdict == SUSPECT_MAY_RUN;
		const struct suspect_run run = { FINGERPRINT, one.node,
						 next_incarnation_,
						 now_us_ + RUN_US + US_PER_S,
						 decision.isolated };

		one.sends++;
		log("runs it", one.node);
		running_.push_back({ one, next_incarnation_++, now_us_ + RUN_US,
				     is_suspect, runs++ < crashing_runs_ });
		if (is_suspect)
			suspect_begin_run(table(one.node), &run);
	}
	void end_runs()
	{
		std::vector<Run> runs;

		std::swap(runs, running_);
		for (const Run &run : runs)
			if (run.end_us > now_us_)
				running_.push_back(run);
			else
				end(run);
	}
	void end(const Run &run)
	{
		const struct suspect_crash crash = { run.incarnation, 0,
						     now_us_, RUN_US };
		uint32_t node = run.attempt.node;
		Attempt next = run.attempt;

		if (run.crashes) {
			first_crash_us_ = crashes++ ? first_crash_us_ : now_us_;
			suspect_add_own_crash(table(node), FINGERPRINT,
					      backends_, &crash, "");
			log("sees a crash", node);
			next.at_us = now_us_ + RETRY_US;
			if (next.sends < MAX_SENDS)
				attempts_.push_back(next);
		} else {
			answers++;
			answered_us = now_us_ - first_crash_us_;
			suspect_clear(table(node), FINGERPRINT, now_us_);
		}
		if (run.is_suspect)
			suspect_end_run(table(node), FINGERPRINT, node);
	}
	void post(uint32_t node)
	{
		struct suspect_update update;

		if (suspect_collect_broadcast(table(node), node, now_us_,
					      &update, 1))
			posted_.push_back(
				{ now_us_ + update_us_, node, update });
	}
	void deliver()
	{
		for (const Posted &one : posted_)
			for (uint32_t node = 1; node <= tables_.size(); node++)
				if (one.at_us == now_us_ && node != one.from)
					suspect_apply_update(
						table(node), &one.update,
						one.from, backends_, now_us_);
	}

	uint64_t update_us_;
	int crashing_runs_;
	uint64_t now_us_ = START_US;
	uint64_t first_crash_us_ = 0;
	uint32_t next_incarnation_ = 1;
	std::vector<struct suspect_table *> tables_;
	struct backend_table *backends_ = backend_table_new();
	std::vector<Attempt> attempts_;
	std::vector<Run> running_;
	std::vector<Posted> posted_;
};

struct retry_case {
	const char *name;
	uint32_t nodes;
	uint64_t update_ms;
	/* The first server crashes at 100 ms. */
	RetrySimulation::Arrival arrivals[4];
	/*
	 * Runs that begin before an update of the first crash can arrive, but
	 * at least SUSPECT_QUARANTINE_CRASHES; one more where all servers
	 * crash at one moment, which doesn't quarantine.
	 */
	int max_crashes;
};

const retry_case retry_cases[] = {
	{ "One", 1, 60, { { 1, 0 } }, 3 },
	/* Retries before either node hears of the other's crash. */
	{ "TwoTogether", 2, 60, { { 1, 0 }, { 2, 0 } }, 3 },
	{ "TwoAfter10Ms", 2, 60, { { 1, 0 }, { 2, 10 } }, 3 },
	{ "TwoAfter30Ms", 2, 60, { { 1, 0 }, { 2, 30 } }, 3 },
	{ "TwoAfter55Ms", 2, 60, { { 1, 0 }, { 2, 55 } }, 3 },
	{ "TwoAfter59Ms", 2, 60, { { 1, 0 }, { 2, 59 } }, 3 },
	{ "TwoAfter61Ms", 2, 60, { { 1, 0 }, { 2, 61 } }, 3 },
	{ "TwoNear", 2, 2, { { 1, 0 }, { 2, 0 } }, 3 },
	{ "ThreeTogether", 3, 60, { { 1, 0 }, { 2, 0 }, { 3, 0 } }, 4 },
	/* A retry while the node's earlier runs are in progress. */
	{ "ThreeOfOneNode", 1, 60, { { 1, 0 }, { 1, 70 }, { 1, 80 } }, 3 },
	/* Arrivals at nodes that know of no crash, or of one. */
	{ "ArrivalBeforeTheUpdate", 2, 60, { { 1, 0 }, { 2, 130 } }, 3 },
	{ "ArrivalAfterTheUpdate", 2, 60, { { 1, 0 }, { 2, 162 } }, 3 },
	{ "ArrivalBesideTwoRetries",
	  3,
	  60,
	  { { 1, 0 }, { 2, 30 }, { 3, 162 } },
	  3 },
	{ "TwoArrivalsAfterTheUpdate",
	  3,
	  60,
	  { { 1, 0 }, { 2, 162 }, { 3, 163 } },
	  3 },
	/* Each of several nodes adds a retry to what was under way. */
	{ "ThreeAndAnArrival",
	  4,
	  60,
	  { { 1, 0 }, { 2, 5 }, { 3, 36 }, { 4, 105 } },
	  4 },
};

class RetryTest : public ::testing::TestWithParam<retry_case>
{
};

/*
 * Guards against nodes that each retry a request before they hear of the
 * others' crashes.
 */
TEST_P(RetryTest, RetriesAddNoCrashBeyondTheThird)
{
	const retry_case &c = GetParam();
	RetrySimulation simulation(c.nodes, c.update_ms * US_PER_MS, 100);

	for (const RetrySimulation::Arrival &arrival : c.arrivals)
		simulation.add(arrival);
	simulation.play();
	EXPECT_LE(1, simulation.crashes);
	EXPECT_GE(c.max_crashes, simulation.crashes) << simulation.history;
}

INSTANTIATE_TEST_SUITE_P(Cases, RetryTest, ::testing::ValuesIn(retry_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against waits that refuse a harmless request after chance crashes. */
TEST(RetrySimulationTest, HarmlessRequestIsServedWithinASecond)
{
	for (int crashes : { 1, 2 }) {
		RetrySimulation simulation(3, 60 * US_PER_MS, crashes);

		simulation.add({ 1, 0 });
		simulation.add({ 2, 170 });
		simulation.add({ 3, 400 });
		simulation.play();
		EXPECT_EQ(crashes, simulation.crashes);
		EXPECT_EQ(3, simulation.answers) << simulation.history;
		EXPECT_GE(US_PER_S, simulation.answered_us)
			<< simulation.history;
	}
}

/* --- updates between nodes ---------------------------------------------- */

class SuspectUpdateTest : public SuspectTest
{
      protected:
	void SetUp() override
	{
		SuspectTest::SetUp();
		peer_table = suspect_table_new();
	}
	void TearDown() override
	{
		suspect_table_free(peer_table);
		SuspectTest::TearDown();
	}
	bool apply(const struct suspect_update &update)
	{
		return suspect_apply_update(peer_table, &update, SELF, backends,
					    now_us);
	}
	void send_updates()
	{
		for (const struct suspect_update &update : updates())
			EXPECT_TRUE(apply(update));
	}
	enum suspect_verdict peer_verdict(bool is_prober = false)
	{
		const struct suspect_query query = { FINGERPRINT, OTHER,
						     is_prober, false };
		struct suspect_decision decision;

		suspect_decide(peer_table, &query, backends, now_us, &decision);
		return decision.verdict;
	}
	struct suspect_table *peer_table;
};

/* Guards against nodes that each count only the crashes they saw. */
TEST_F(SuspectUpdateTest, CrashesOfTwoNodesAddUp)
{
	crash_times(2);
	const struct suspect_crash crash = { 7, 0, now_us - 5 * US_PER_S,
					     US_PER_MS };

	suspect_add_own_crash(peer_table, FINGERPRINT, backends, &crash,
			      "GET /r/x");
	EXPECT_EQ(SUSPECT_MAY_RUN, peer_verdict());
	send_updates();
	send_updates();
	EXPECT_EQ(SUSPECT_QUARANTINED, peer_verdict());
}

/*
 * Guards against a peer that learns only the kept crashes of a deadly request
 * and quarantines the one that ran beside it.
 */
TEST_F(SuspectUpdateTest, RequestBesideADeadlyOneStaysFreeAtAPeer)
{
	const uint64_t beside = FINGERPRINT + 1;
	const uint32_t shared = next_life;

	crash_times(SUSPECT_MAX_CRASHES + 1);
	for (uint32_t incarnation : { shared, shared + 1, next_life }) {
		const struct suspect_crash crash = {
			incarnation, 0,
			now_us - (next_life - incarnation) * US_PER_S, US_PER_MS
		};

		suspect_add_own_crash(peer_table, beside, backends, &crash, "");
	}
	send_updates();
	EXPECT_TRUE(suspect_is_quarantined(peer_table, FINGERPRINT));
	EXPECT_FALSE(suspect_is_quarantined(peer_table, beside));
}

TEST_F(SuspectUpdateTest, ExtendedQuarantinePropagates)
{
	crash_times(3);
	now_us += decide().left_us;
	crash(next_life++);
	send_updates();
	EXPECT_EQ(SUSPECT_QUARANTINED, peer_verdict(true));
	EXPECT_EQ(2u, suspect_table_find(peer_table, FINGERPRINT)->rounds);
}

/* Guards against an old update that reverts an answer. */
TEST_F(SuspectUpdateTest, AnswerOverridesOlderUpdates)
{
	crash_times(2);
	std::vector<struct suspect_update> old = updates();

	send_updates();
	now_us += US_PER_S;
	suspect_clear(table, FINGERPRINT, now_us);
	send_updates();
	EXPECT_EQ(SUSPECT_NONE, peer_verdict());
	old[0].crashes[0].age_us += US_PER_S;
	old[0].crashes[1].age_us += US_PER_S;
	EXPECT_TRUE(apply(old[0]));
	EXPECT_EQ(SUSPECT_NONE, peer_verdict());
}

/*
 * Guards against a late update with an older answer that replaces a newer one.
 */
TEST_F(SuspectUpdateTest, AnOlderAnswerAfterANewerOneChangesNothing)
{
	crash_times(2);
	send_updates();
	const uint64_t newer_us = now_us + 2 * US_PER_S;
	struct suspect_update older = {};

	now_us = newer_us;
	suspect_clear(peer_table, FINGERPRINT, now_us);
	older.fingerprint = FINGERPRINT;
	older.cleared = true;
	older.cleared_age_us = US_PER_S;
	EXPECT_TRUE(apply(older));
	EXPECT_EQ(newer_us,
		  suspect_table_find(peer_table, FINGERPRINT)->cleared_us);
	const struct suspect_crash between = { next_life++, 0,
					       newer_us - US_PER_S / 2,
					       100 * US_PER_MS };

	EXPECT_FALSE(suspect_add_own_crash(peer_table, FINGERPRINT, backends,
					   &between, ""));
}

TEST_F(SuspectUpdateTest, RunPropagates)
{
	crash_times(2);
	const struct suspect_run run = { FINGERPRINT, SELF, 9,
					 now_us + US_PER_S, true };

	suspect_begin_run(table, &run);
	send_updates();
	EXPECT_EQ(SUSPECT_RUNNING, peer_verdict());
	suspect_end_run(table, FINGERPRINT, SELF);
	send_updates();
	EXPECT_EQ(SUSPECT_MAY_RUN, peer_verdict());
}

/* Guards against requests at other nodes that wait for a run that has ended. */
TEST_F(SuspectUpdateTest, EndOfARunIsBroadcast)
{
	struct suspect_update update;

	crash_times(1);
	const struct suspect_run run = { FINGERPRINT, SELF, 9,
					 now_us + US_PER_S, false };

	suspect_begin_run(table, &run);
	EXPECT_EQ(1u,
		  suspect_collect_broadcast(table, SELF, now_us, &update, 1));
	EXPECT_TRUE(apply(update));
	EXPECT_EQ(SUSPECT_RUNNING, peer_verdict());
	suspect_end_run(table, FINGERPRINT, SELF);
	EXPECT_EQ(1u,
		  suspect_collect_broadcast(table, SELF, now_us, &update, 1));
	EXPECT_TRUE(apply(update));
	EXPECT_EQ(SUSPECT_MAY_RUN, peer_verdict());
}

/* Guards against one faulty node that quarantines a harmless request. */
TEST_F(SuspectUpdateTest, CrashesOfServersThatAnswerDontCount)
{
	struct suspect_update update = {};

	update.fingerprint = FINGERPRINT;
	update.rounds = 1;
	update.left_us = SUSPECT_QUARANTINE_US;
	update.crash_count = SUSPECT_QUARANTINE_CRASHES;
	for (uint32_t i = 0; i < SUSPECT_QUARANTINE_CRASHES; i++) {
		struct backend *backend =
			add_backend(("i-" + std::to_string(i)).c_str());

		backend_answered(backend, now_us - US_PER_S);
		update.crashes[i].incarnation = backend->incarnation;
		update.crashes[i].age_us = (5 + i) * US_PER_S;
	}
	EXPECT_TRUE(apply(update));
	EXPECT_EQ(SUSPECT_NONE, peer_verdict());
}

struct invalid_update_case {
	const char *name;
	void (*corrupt)(struct suspect_update *update);
};

const invalid_update_case invalid_update_cases[] = {
	{ "NoFingerprint", [](auto *update) { update->fingerprint = 0; } },
	{ "ManyCrashes", [](auto *update) { update->crash_count = 1000000; } },
	{ "ManyRounds",
	  [](auto *update) { update->rounds = SUSPECT_MAX_ROUNDS + 1; } },
	{ "LongQuarantine",
	  [](auto *update) { update->left_us = 2 * SUSPECT_QUARANTINE_US; } },
	{ "QuarantineWithoutRound", [](auto *update) { update->rounds = 0; } },
	{ "OldCrash",
	  [](auto *update) {
		  update->crashes[0].age_us = SUSPECT_TTL_US + 1;
	  } },
	{ "LongRun",
	  [](auto *update) { update->run_left_us = SUSPECT_MAX_RUN_US + 1; } },
};

class InvalidUpdateTest
    : public SuspectUpdateTest,
      public ::testing::WithParamInterface<invalid_update_case>
{
};

TEST_P(InvalidUpdateTest, ChangesNothing)
{
	crash_times(3);
	struct suspect_update update = updates()[0];

	GetParam().corrupt(&update);
	EXPECT_FALSE(apply(update));
	EXPECT_EQ(0u, peer_table->count);
	EXPECT_EQ(0u, peer_table->run_count);
}

INSTANTIATE_TEST_SUITE_P(Cases, InvalidUpdateTest,
			 ::testing::ValuesIn(invalid_update_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against lost datagrams, and against sending a change for ever. */
TEST_F(SuspectUpdateTest, ChangesAreSentAFewTimesQuarantinesRepeatedly)
{
	struct suspect_update update;

	crash_times(1);
	EXPECT_TRUE(suspect_has_broadcast(table));
	EXPECT_EQ(1u,
		  suspect_collect_broadcast(table, SELF, now_us, &update, 1));
	EXPECT_FALSE(suspect_has_broadcast(table));
	for (int i = 0; i < 10; i++)
		updates();
	EXPECT_TRUE(updates().empty());
	crash_times(2);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(1u, updates().size());
}

/* --- uncounted crashes ---------------------------------------------------- */

class UncountedCrashTest : public SuspectUpdateTest
{
      protected:
	/* So many servers crash at one moment while running the request. */
	void crash_together(uint32_t count, uint64_t fingerprint = FINGERPRINT)
	{
		now_us += US_PER_S;
		for (uint32_t i = 0; i < count; i++)
			crash(next_life++, fingerprint);
	}
	void broadcast()
	{
		struct suspect_update all[8];
		uint32_t count =
			suspect_collect_broadcast(table, SELF, now_us, all, 8);

		for (uint32_t i = 0; i < count; i++)
			EXPECT_TRUE(apply(all[i]));
	}
	/* Heartbeats of both nodes to each other; returns updates sent. */
	uint32_t exchange_heartbeats()
	{
		struct suspect_update all[4];
		uint32_t sent =
			suspect_collect_updates(table, SELF, now_us, all, 4);
		uint32_t count = sent;

		for (uint32_t i = 0; i < count; i++)
			apply(all[i]);
		count = suspect_collect_updates(peer_table, OTHER, now_us, all,
						4);
		for (uint32_t i = 0; i < count; i++)
			suspect_apply_update(table, &all[i], OTHER, backends,
					     now_us);
		return sent + count;
	}
};

/*
 * Guards against crashes before an answer that quarantine a harmless request
 * once its entry expired and a peer restarted.
 */
TEST_F(UncountedCrashTest, AnsweredCrashesDontReturnAfterTheEntryExpired)
{
	crash_together(5);
	now_us += US_PER_S;
	suspect_clear(table, FINGERPRINT, now_us);
	now_us += 3600 * US_PER_S;
	suspect_table_expire(table, now_us);
	ASSERT_EQ(nullptr, suspect_table_find(table, FINGERPRINT));
	crash_times(1);
	broadcast();
	EXPECT_EQ(1u, suspect_table_find(peer_table, FINGERPRINT)->crash_count);
	EXPECT_EQ(SUSPECT_MAY_RUN, peer_verdict());
	exchange_heartbeats();
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against crashes before an operator's release that return later. */
TEST_F(UncountedCrashTest, ReleasedCrashesDontReturnAfterTheEntryExpired)
{
	crash_together(5);
	crash_times(1);
	ASSERT_EQ(SUSPECT_QUARANTINED, decide().verdict);
	suspect_release(table, FINGERPRINT, now_us);
	now_us += 340 * US_PER_S;
	suspect_table_expire(table, now_us);
	ASSERT_EQ(nullptr, suspect_table_find(table, FINGERPRINT));
	crash_times(1);
	broadcast();
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
	EXPECT_EQ(SUSPECT_MAY_RUN, peer_verdict());
}

/* Guards against a second update that ends the isolation of a run at peers. */
TEST_F(UncountedCrashTest, RunStaysIsolatedWithMoreCrashesThanOneUpdateHolds)
{
	const struct suspect_run run = { FINGERPRINT, SELF, 999,
					 now_us + 60 * US_PER_S, true };

	for (int i = 0; i < 5; i++) {
		now_us += US_PER_S;
		crash(next_life, FINGERPRINT + 1);
		crash(next_life++);
	}
	ASSERT_EQ(SUSPECT_MAY_RUN, decide().verdict);
	suspect_begin_run(table, &run);
	broadcast();
	broadcast();
	EXPECT_TRUE(suspect_runs_on(peer_table, 999, true, now_us));
}

/* Guards against one request's many crashes that displace a deadly one's. */
TEST_F(UncountedCrashTest, PopularRequestDoesNotDisplaceADeadlyOnesCrashes)
{
	const uint32_t shared = next_life;

	for (uint32_t i = 0; i < 5; i++) {
		now_us += US_PER_S;
		if (i < 2)
			crash(next_life, FINGERPRINT + 1);
		crash(next_life++);
	}
	ASSERT_EQ(105u, shared + 5);
	crash_together(60, FINGERPRINT + 2);
	crash_times(1, FINGERPRINT + 1);
	EXPECT_EQ(SUSPECT_QUARANTINED, decide(FINGERPRINT).verdict);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide(FINGERPRINT + 1).verdict);
}

/* Guards against a full ring that nodes tell each other for ever. */
TEST_F(UncountedCrashTest, MoreCrashesThanAreKeptAreNotToldForEver)
{
	crash_together(80);
	uint32_t late = 0;
	for (int i = 0; i < 200; i++) {
		now_us += 400 * US_PER_MS;
		const uint32_t sent = exchange_heartbeats();

		late += i >= 100 ? sent : 0;
	}
	EXPECT_EQ(0u, late);
}

/*
 * Guards against one node's misjudged power failure that quarantines a popular
 * request at all.
 */
TEST_F(UncountedCrashTest, LateUpdatesOfAPowerFailureDontSpreadAQuarantine)
{
	struct suspect_update all[8];
	const uint64_t ran_us = 20 * US_PER_MS;
	const struct suspect_crash own = { 1, 0, now_us, ran_us };

	/* The far node's three servers and one of this node's, at once. */
	for (uint32_t incarnation = 2; incarnation <= 4; incarnation++) {
		const struct suspect_crash one = { incarnation, 0, now_us,
						   ran_us };

		suspect_add_own_crash(peer_table, FINGERPRINT, backends, &one,
				      "");
	}
	uint32_t count =
		suspect_collect_broadcast(peer_table, OTHER, now_us, all, 8);
	now_us += 55 * US_PER_MS;
	suspect_add_own_crash(table, FINGERPRINT, backends, &own, "");
	for (uint32_t i = 0; i < count; i++)
		suspect_apply_update(table, &all[i], OTHER, backends, now_us);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
	send_updates();
	EXPECT_EQ(SUSPECT_MAY_RUN, peer_verdict());
}

/* Guards against a known cause's crash that passes for a chance crash. */
TEST_F(UncountedCrashTest, CrashOfAFailedRetryIsNotUnrelated)
{
	crash_times(3);
	now_us += SUSPECT_QUARANTINE_US + US_PER_S;
	crash(next_life, FINGERPRINT);
	now_us += 2 * SUSPECT_QUARANTINE_US + US_PER_S;
	crash(++next_life, FINGERPRINT);
	crash(next_life, FINGERPRINT + 1);
	ASSERT_EQ(3u, suspect_table_find(table, FINGERPRINT)->rounds);
	now_us += US_PER_S;
	suspect_clear(table, FINGERPRINT + 1, now_us);
	EXPECT_EQ(0u, table->unrelated_crash_us);
}

/* Guards against a chance crash that lifts an earlier quarantine. */
TEST_F(UncountedCrashTest, ChanceCrashDoesNotLiftAnEarlierQuarantine)
{
	const uint32_t deadly[] = { 1, 2, 3 };
	const uint32_t first[] = { 1, 4, 5 };
	const uint32_t second[] = { 2, 6, 7 };

	for (uint32_t incarnation = 1; incarnation <= 7; incarnation++) {
		now_us += US_PER_S;
		for (int i = 0; i < 3; i++) {
			if (deadly[i] == incarnation)
				crash(incarnation, FINGERPRINT);
			if (first[i] == incarnation)
				crash(incarnation, FINGERPRINT + 1);
			if (second[i] == incarnation)
				crash(incarnation, FINGERPRINT + 2);
		}
	}
	ASSERT_EQ(SUSPECT_QUARANTINED, decide().verdict);
	now_us += 100 * US_PER_S;
	crash(50, FINGERPRINT + 9);
	now_us += US_PER_S;
	suspect_clear(table, FINGERPRINT + 9, now_us);
	/* A run of the second that began before its quarantine. */
	crash(51, FINGERPRINT + 2);
	EXPECT_EQ(SUSPECT_QUARANTINED, decide().verdict);
}

/* Guards against a node that refuses a quarantine which its peers know. */
TEST_F(UncountedCrashTest, ChanceCrashDoesNotHideAPeersQuarantine)
{
	const struct suspect_crash chance = { 50, 0, now_us + 8 * US_PER_S,
					      US_PER_MS };
	const uint32_t deadly[] = { 1, 2, 3 };
	const uint32_t first[] = { 1, 4, 5 };
	const uint32_t second[] = { 2, 6, 7 };

	for (uint32_t incarnation = 1; incarnation <= 7; incarnation++) {
		now_us += US_PER_S;
		for (int i = 0; i < 3; i++) {
			if (deadly[i] == incarnation)
				crash(incarnation, FINGERPRINT);
			if (first[i] == incarnation)
				crash(incarnation, FINGERPRINT + 1);
			if (second[i] == incarnation)
				crash(incarnation, FINGERPRINT + 2);
		}
	}
	ASSERT_EQ(SUSPECT_QUARANTINED, decide().verdict);
	now_us += 2 * US_PER_S;
	suspect_add_own_crash(peer_table, FINGERPRINT + 9, backends, &chance,
			      "");
	suspect_clear(peer_table, FINGERPRINT + 9, now_us);
	for (int i = 0; i < 30; i++) {
		now_us += 400 * US_PER_MS;
		send_updates();
	}
	EXPECT_EQ(SUSPECT_QUARANTINED, peer_verdict());
}

/* Guards against a peer's bare claim that makes one power failure count. */
TEST_F(UncountedCrashTest, PeersClaimDoesNotQuarantineForOnePowerFailure)
{
	struct suspect_update claim = {};

	crash_together(4);
	ASSERT_EQ(SUSPECT_MAY_RUN, decide().verdict);
	claim.fingerprint = FINGERPRINT;
	claim.rounds = 1;
	claim.left_us = US_PER_S;
	suspect_apply_update(table, &claim, OTHER, backends, now_us);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

/* Guards against a refused quarantine that changes which crashes count. */
TEST_F(UncountedCrashTest, RefusedQuarantineLeavesTheEvidenceAsItWas)
{
	struct suspect_update claim = {};

	now_us += US_PER_S;
	for (uint32_t i = 0; i < 4; i++) {
		crash(next_life, FINGERPRINT + 1);
		crash(next_life++);
	}
	crash_times(2, FINGERPRINT + 1);
	claim.fingerprint = FINGERPRINT;
	claim.rounds = 1;
	claim.left_us = US_PER_S;
	suspect_apply_update(table, &claim, OTHER, backends, now_us);
	ASSERT_EQ(SUSPECT_MAY_RUN, decide().verdict);
	EXPECT_EQ(2u, suspect_table_find(table, FINGERPRINT)->evidence_crashes);
	crash_times(1);
	EXPECT_EQ(SUSPECT_MAY_RUN, decide().verdict);
}

} /* namespace */
