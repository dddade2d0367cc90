/* Requests of several priorities for one service that is short of slots. */
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "core/admission.h"
#include "core/duration.h"
#include "core/priority_mix.h"

namespace
{

TEST(PriorityMixTest, ShareOfHigherPrioritiesIsThatOfRecentRequests)
{
	struct priority_mix mix = {};
	uint64_t now_us = 1;

	EXPECT_EQ(0, priority_mix_higher(&mix, 2));
	for (int i = 0; i < 400; i++)
		priority_mix_record(&mix, i % 4 == 0 ? 0 : 2,
				    now_us += 10 * US_PER_MS);
	EXPECT_EQ(0, priority_mix_higher(&mix, 0));
	EXPECT_NEAR(0.25, priority_mix_higher(&mix, 1), 0.02);
	EXPECT_NEAR(0.25, priority_mix_higher(&mix, 2), 0.02);
	/* A burst of urgent requests is soon over. */
	for (int i = 0; i < 500; i++)
		priority_mix_record(&mix, 2, now_us += 10 * US_PER_MS);
	EXPECT_LT(priority_mix_higher(&mix, 2), 0.01);
}

TEST(PriorityMixTest, LowPrioritiesAreMerged)
{
	struct priority_mix mix = {};

	priority_mix_record(&mix, 4000000000u, 1);
	priority_mix_record(&mix, PRIORITY_MIX_LEVELS - 1, 1);
	EXPECT_EQ(0, priority_mix_higher(&mix, 4000000000u));
	EXPECT_NEAR(1, priority_mix_higher(&mix, 4000000001u) + 1, 1e-9);
}

struct served {
	uint32_t asked;
	uint32_t in_time;
};

/*
 * A service with 9 slots and work of 300 ms takes 30 requests a second; the
 * objective is 800 ms. A fifth of the requests has priority 0, the rest 2.
 */
static void play(double per_s, bool by_priority, struct served *urgent,
		 struct served *others)
{
	const uint64_t work_us = 300 * US_PER_MS;
	const uint64_t target_us = 800 * US_PER_MS;
	std::exponential_distribution<double> gap(per_s);
	std::deque<uint64_t> free_us(9, 0);
	struct priority_mix mix = {};
	std::mt19937 random(7);
	uint64_t now_us = 1;

	for (int i = 0; i < 20000; i++) {
		uint32_t priority = random() % 5 ? 2 : 0;
		struct served *served = priority ? others : urgent;
		uint64_t begin_us;

		now_us += (uint64_t)(gap(random) * 1e6);
		priority_mix_record(&mix, priority, now_us);
		std::sort(free_us.begin(), free_us.end());
		begin_us = std::max(now_us, free_us.front());
		served->asked++;

		struct admission_request request = {};

		request.wait_us = (double)(begin_us - now_us);
		request.expected_us = request.wait_us + (double)work_us;
		request.left_us = 6 * US_PER_S;
		request.target_us = target_us;
		if (by_priority)
			request.higher_share =
				priority_mix_higher(&mix, priority);
		if (admission_decide(&request) != ADMISSION_ACCEPT)
			continue;
		served->in_time++;
		free_us.front() = begin_us + work_us;
	}
}

static double share(const struct served &served)
{
	return (double)served.in_time / served.asked;
}

/* Load: 1.3 times what a service takes, a fifth of it urgent. */
TEST(PriorityTest, UrgentRequestsAreServedFirstUnderOverload)
{
	struct served urgent = {};
	struct served others = {};
	struct served urgent_alike = {};
	struct served others_alike = {};

	play(39, true, &urgent, &others);
	play(39, false, &urgent_alike, &others_alike);
	EXPECT_GT(share(urgent), 0.98);
	EXPECT_GT(share(urgent), share(urgent_alike) + 0.1);
	/* The service is as busy as without priorities. */
	EXPECT_GT(urgent.in_time + others.in_time,
		  0.98 * (urgent_alike.in_time + others_alike.in_time));
}

/* Load: nine tenths of what it takes; nobody pays. */
TEST(PriorityTest, NobodyIsRefusedWithoutOverload)
{
	struct served urgent = {};
	struct served others = {};

	play(27, true, &urgent, &others);
	EXPECT_GT(share(urgent), 0.98);
	EXPECT_GT(share(others), 0.97);
}

} // namespace
