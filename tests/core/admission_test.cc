/*
 * Whether a service short of slots takes a request, and when callers return.
 */
#include <gtest/gtest.h>

#include "core/admission.h"
#include "core/duration.h"

namespace
{

struct admission_case {
	const char *name;
	double expected_ms;
	double wait_ms;
	uint64_t spent_ms;
	uint64_t left_ms;
	admission_verdict verdict;
	double higher_share = 0;
};

/* The latency objective is 400 ms. */
const admission_case admission_cases[] = {
	{ "InTime", 200, 0, 0, 1000, ADMISSION_ACCEPT },
	{ "QueuesAndIsInTime", 390, 200, 0, 1000, ADMISSION_ACCEPT },
	{ "QueuesAndIsALittleLate", 410, 210, 0, 1000, ADMISSION_QUEUE_LATE },
	{ "QueuesAndIsLate", 600, 400, 0, 1000, ADMISSION_QUEUE_LATE },
	{ "IsLateByWhatItSpent", 390, 200, 200, 800, ADMISSION_QUEUE_LATE },
	/* Of 200 ms of room, half is left to more urgent requests. */
	{ "QueuesBehindUrgentOnes", 290, 90, 0, 1000, ADMISSION_ACCEPT, 0.5 },
	{ "QueuesInTheRoomOfUrgentOnes", 310, 110, 0, 1000,
	  ADMISSION_QUEUE_LATE, 0.5 },
	{ "FreeSlotBesideUrgentOnes", 300, 0, 0, 1000, ADMISSION_ACCEPT, 0.9 },
	/*
	 * A free slot warms the cache for the object, and nobody waits for it.
	 */
	{ "IsLateInAFreeSlot", 700, 0, 0, 1000, ADMISSION_ACCEPT },
	/* It would use a slot for an answer that comes too late. */
	{ "MissesItsDeadline", 700, 0, 400, 600, ADMISSION_TOO_LATE },
	{ "QueuesPastItsDeadline", 1100, 600, 0, 1000, ADMISSION_TOO_LATE },
};

class AdmissionTest : public ::testing::TestWithParam<admission_case>
{
};

TEST_P(AdmissionTest, DecidesByWaitAndDeadline)
{
	const admission_case &c = GetParam();
	const struct admission_request request = {
		c.expected_ms * US_PER_MS, c.wait_ms * US_PER_MS,
		c.spent_ms * US_PER_MS,	   c.left_ms * US_PER_MS,
		400 * US_PER_MS,	   c.higher_share,
	};

	EXPECT_EQ(c.verdict, admission_decide(&request));
}

INSTANTIATE_TEST_SUITE_P(Cases, AdmissionTest,
			 ::testing::ValuesIn(admission_cases),
			 [](const auto &info) { return info.param.name; });

/* Callers wait a third of their patience at most, and don't return together. */
TEST(AdmissionRetryTest, CallersReturnWithinAThirdOfTheirTime)
{
	const uint64_t patience_us = 3 * US_PER_S;

	for (double jitter : { 0.0, 0.5, 0.999 }) {
		uint64_t after_us =
			admission_retry_after_us(patience_us, jitter);

		EXPECT_LE(after_us, patience_us / 3);
		EXPECT_GE(after_us, patience_us / 4);
	}
	EXPECT_LT(admission_retry_after_us(patience_us, 0.1),
		  admission_retry_after_us(patience_us, 0.9));
	EXPECT_GT(admission_retry_after_us(0, 0.5), 0u);
}

/*
 * Guards against all callers that wait for a rate returning for the same
 * tokens.
 */
TEST(AdmissionRetryTest, CallersReturnAsTheRateAllows)
{
	const uint64_t patience_us = 12 * US_PER_S;
	struct admission_retry_schedule returns = {};
	uint64_t now_us = 5 * US_PER_S;

	for (uint64_t i = 1; i <= 6; i++)
		EXPECT_EQ(i * US_PER_S / 2,
			  admission_schedule_retry_us(&returns, 2, patience_us,
						      0.5, now_us));
	/* The rate is taken for as long as callers wait. */
	for (int i = 0; i < 20; i++)
		admission_schedule_retry_us(&returns, 2, patience_us, 0.5,
					    now_us);
	EXPECT_EQ(admission_retry_after_us(patience_us, 0.9),
		  admission_schedule_retry_us(&returns, 2, patience_us, 0.9,
					      now_us));
	now_us += 2 * US_PER_S;
	EXPECT_LE(admission_schedule_retry_us(&returns, 2, patience_us, 0.5,
					      now_us),
		  2500 * US_PER_MS);
	/* No retry at the rate comes in time. */
	EXPECT_EQ(admission_retry_after_us(patience_us, 0.1),
		  admission_schedule_retry_us(&returns, 0.01, patience_us, 0.1,
					      now_us));
	EXPECT_EQ(admission_retry_after_us(patience_us, 0.1),
		  admission_schedule_retry_us(&returns, 0, patience_us, 0.1,
					      now_us));
}

} // namespace
