#include "core/seat.h"

#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <random>
#include <string>
#include <vector>

static const uint64_t ms = 1000;
static const uint64_t second = 1000 * ms;

/* The platform's row: changed by compare-and-set only. */
struct row {
	uint64_t version = 0;
	std::string value;

	uint64_t write(const struct seat_step &step)
	{
		if (step.expected_version != version)
			return 0;
		value = step.value;
		return ++version;
	}

	const char *text() const
	{
		return version ? value.c_str() : nullptr;
	}
};

class Seat : public testing::Test
{
      protected:
	struct row row;
	struct seat *a = seat_new("a.1", 5);
	struct seat *b = seat_new("b.1", 5);
	uint64_t now_us = 100 * second;

	~Seat() override
	{
		seat_free(a);
		seat_free(b);
	}

	struct seat_step next(struct seat *seat, bool preferred)
	{
		struct seat_step step;

		seat_next_step(seat, preferred, now_us, &step);
		return step;
	}

	/* Do steps until the seat has nothing to do. */
	void run(struct seat *seat, bool preferred)
	{
		struct seat_step step = next(seat, preferred);

		for (; step.action; step = next(seat, preferred)) {
			if (step.action == SEAT_READ)
				seat_row_read(seat, row.version, row.text(),
					      now_us);
			else
				seat_row_written(seat, row.write(step), now_us,
						 now_us);
		}
	}

	void run_for(struct seat *seat, bool preferred, uint64_t us)
	{
		for (uint64_t end_us = now_us + us; now_us < end_us;
		     now_us += 100 * ms)
			run(seat, preferred);
	}

	int admit_all(struct seat *seat)
	{
		int count = 0;

		while (seat_admit(seat, now_us))
			count++;
		return count;
	}
};

TEST(SeatPart, PartsAddUpToTheCap)
{
	for (uint32_t cap : { 0u, 1u, 7u, 100u, 65536u }) {
		for (uint32_t count : { 1u, 3u, 11u, 100u }) {
			uint32_t sum = 0;

			for (uint32_t rank = 0; rank < count; rank++)
				sum += seat_quota(cap, rank, count);
			EXPECT_EQ(cap, sum);
			EXPECT_EQ(0u, seat_quota(cap, count, count));
		}
	}
}

TEST(SeatHolder, LongOrBlankNamesAreRefused)
{
	std::string longest(SEAT_HOLDER_SIZE - 1, 'h');
	struct seat *seat = seat_new(longest.c_str(), 1);

	EXPECT_NE(nullptr, seat);
	seat_free(seat);
	EXPECT_EQ(nullptr, seat_new((longest + "h").c_str(), 1));
	EXPECT_EQ(nullptr, seat_new("a b", 1));
}

TEST_F(Seat, WindowIsExactForAnySecond)
{
	run(a, true);
	EXPECT_EQ(5, admit_all(a));
	now_us += SEAT_WINDOW_US;
	EXPECT_EQ(0, admit_all(a));
	now_us += 1;
	EXPECT_EQ(5, admit_all(a));
	seat_set_quota(a, 2);
	now_us += SEAT_WINDOW_US + 1;
	EXPECT_EQ(2, admit_all(a));
	for (uint32_t quota : { 0, 1, 3 })
		seat_set_quota(a, quota);
	EXPECT_EQ(1, admit_all(a));
	seat_set_quota(a, 9);
	EXPECT_EQ(6, admit_all(a));
	now_us += SEAT_WINDOW_US + 1;
	EXPECT_EQ(9, admit_all(a));
}

TEST_F(Seat, LeaseCountsFromBeforeTheWriteWasSent)
{
	struct seat_step step;

	next(a, true);
	seat_row_read(a, 0, nullptr, now_us);
	step = next(a, true);
	ASSERT_EQ(SEAT_WRITE, step.action);
	seat_row_written(a, row.write(step), now_us, now_us + 5 * second);
	EXPECT_TRUE(seat_is_held(a, now_us + SEAT_LEASE_US - 1));
	EXPECT_FALSE(seat_is_held(a, now_us + SEAT_LEASE_US));
}

/*
 * The write that took the seat lands but its answer is lost; a reader shows
 * it. Counted from the reading, the lease would outlast the others' patience
 * and two nodes would admit a whole part each: the cap is passed.
 */
TEST_F(Seat, LostAnswerIsSettledByReadingAndTheLeaseIsOld)
{
	struct seat_step step;
	uint64_t sent_us = now_us;

	next(a, true);
	seat_row_read(a, 0, nullptr, now_us);
	step = next(a, true);
	row.write(step);
	now_us += 4 * second;
	seat_row_written(a, 0, sent_us, now_us);
	EXPECT_FALSE(seat_is_held(a, now_us));
	EXPECT_EQ(SEAT_READ, next(a, true).action);
	seat_row_read(a, row.version, row.text(), now_us);
	EXPECT_TRUE(seat_is_held(a, now_us));
	EXPECT_FALSE(seat_is_held(a, sent_us + SEAT_LEASE_US));
	EXPECT_EQ(SEAT_WRITE, next(a, true).action);
}

/*
 * A holder is paused past its lease; another takes the seat. The paused one
 * wakes up unaware with requests at hand: were one admitted, a second would
 * hold two parts of the cap.
 */
TEST_F(Seat, PausedHolderAdmitsNothingAndTheTakerWaitsAWindow)
{
	run(a, true);
	run(b, false);
	now_us += SEAT_LEASE_US - 1;
	EXPECT_EQ(5, admit_all(a));
	now_us += SEAT_CLOCK_DRIFT_US;
	run(b, false);
	EXPECT_FALSE(seat_is_held(b, now_us));
	now_us += 1;
	run(b, false);
	EXPECT_TRUE(seat_is_held(b, now_us));
	EXPECT_EQ(0, admit_all(a));
	EXPECT_EQ(0, admit_all(b));
	run(a, true);
	EXPECT_FALSE(seat_is_held(a, now_us));
	now_us += SEAT_WINDOW_US;
	EXPECT_EQ(5, admit_all(b));
	EXPECT_EQ(0, admit_all(a));
}

TEST_F(Seat, OfTwoChallengersAtOnceOneTakesIt)
{
	struct seat *c = seat_new("c.1", 5);
	struct seat_step of_b;
	struct seat_step of_c;

	run(a, true);
	run(b, false);
	run(c, false);
	now_us += SEAT_LEASE_US + SEAT_CLOCK_DRIFT_US;
	of_b = next(b, false);
	of_c = next(c, false);
	ASSERT_EQ(SEAT_WRITE, of_b.action);
	ASSERT_EQ(SEAT_WRITE, of_c.action);
	seat_row_written(c, row.write(of_c), now_us, now_us);
	seat_row_written(b, row.write(of_b), now_us, now_us);
	run(b, false);
	EXPECT_TRUE(seat_is_held(c, now_us));
	EXPECT_FALSE(seat_is_held(b, now_us));
	seat_free(c);
}

TEST_F(Seat, RenewingHolderKeepsItAndABorrowerHandsItBack)
{
	run(a, true);
	for (int i = 0; i < 200; i++) {
		run_for(a, true, 100 * ms);
		run(b, false);
		ASSERT_TRUE(seat_is_held(a, now_us));
	}
	/* a's VM is replaced; b borrows the seat until the new node is there */
	run_for(b, false, 8 * second);
	ASSERT_TRUE(seat_is_held(b, now_us));
	seat_free(a);
	a = seat_new("a.2", 5);
	for (int i = 0; i < 700; i++) {
		run_for(b, false, 100 * ms);
		run(a, true);
	}
	EXPECT_TRUE(seat_is_held(a, now_us));
	EXPECT_FALSE(seat_is_held(b, now_us));
}

/*
 * A borrower frees its seat, the write is held up on its way, and a
 * reading still shows the row as its own. Leased again on that, it would admit
 * beside the node that takes the row once the write lands.
 */
TEST_F(Seat, HeldUpFreeingWriteGivesNoLeaseBack)
{
	struct seat_step freeing;

	run_for(a, false, SEAT_BORROW_MAX_US + 4 * second - 100 * ms);
	ASSERT_TRUE(seat_is_held(a, now_us));
	now_us += 100 * ms;
	freeing = next(a, false);
	ASSERT_STREQ("free", freeing.value);
	seat_row_written(a, 0, now_us, now_us);
	seat_row_read(a, row.version, row.text(), now_us);
	EXPECT_FALSE(seat_is_held(a, now_us));
	EXPECT_NE(0u, row.write(freeing));
	run(b, true);
	EXPECT_TRUE(seat_is_held(b, now_us));
	EXPECT_EQ(0, admit_all(a));
}

/*
 * A taker's write is held up while it tries again and again, then it lands.
 * The taker no longer knows that write; taken for a renewal of its own row, it
 * would admit within the second of the last holder's admissions.
 */
TEST_F(Seat, TakingWriteThatLandsLateStillWaitsAWindow)
{
	struct seat_step first = {};

	run(a, true);
	run(b, false);
	now_us += SEAT_LEASE_US + SEAT_CLOCK_DRIFT_US;
	for (int i = 0; i < 20; i++) {
		struct seat_step step = next(b, false);

		ASSERT_EQ(SEAT_WRITE, step.action);
		if (i == 0)
			first = step;
		seat_row_written(b, 0, now_us, now_us);
		seat_row_read(b, row.version, row.text(), now_us);
	}
	EXPECT_NE(0u, row.write(first));
	seat_row_written(b, 0, now_us, now_us);
	run(b, false);
	EXPECT_TRUE(seat_is_held(b, now_us));
	EXPECT_EQ(0, admit_all(b));
	now_us += SEAT_WINDOW_US;
	EXPECT_EQ(5, admit_all(b));
}

TEST_F(Seat, GivenUpSeatGoesToItsNextHolderAtOnce)
{
	run(a, true);
	EXPECT_EQ(5, admit_all(a));
	seat_release(a);
	EXPECT_EQ(0, admit_all(a));
	run(a, true);
	EXPECT_STREQ("free", row.text());
	run(b, true);
	EXPECT_EQ(0, admit_all(b));
	now_us += SEAT_WINDOW_US + 1;
	EXPECT_EQ(5, admit_all(b));
}

/*
 * Everything at once: three nodes whose clocks run slow, by up to a seventh of
 * the lease together, with pauses, answers lost and writes held up. In true
 * time no second may ever hold more admissions than the part.
 */
class SeatHistory : public testing::TestWithParam<int>
{
};

struct held_up_write {
	uint64_t lands_us;
	struct seat_step step;
};

TEST_P(SeatHistory, NoSecondHoldsMoreThanThePart)
{
	const uint32_t quota = 4;
	const double rates[] = { 1.0, 0.95, 0.88 };
	std::mt19937 random((unsigned int)GetParam());
	std::vector<struct seat *> seats;
	std::vector<uint64_t> paused_until(3);
	std::deque<uint64_t> admitted;
	std::vector<held_up_write> held_up;
	struct row row;
	int holders = 0;
	int last_holder = -1;

	for (const char *holder : { "a.1", "b.1", "c.1" })
		seats.push_back(seat_new(holder, quota));
	for (uint64_t true_us = second; true_us < 300 * second;
	     true_us += 20 * ms) {
		for (size_t i = 0; i < held_up.size(); i++) {
			if (true_us < held_up[i].lands_us)
				continue;
			row.write(held_up[i].step);
			held_up.erase(held_up.begin() + (long)i--);
		}
		for (int i = 0; i < 3; i++) {
			uint64_t now_us = (uint64_t)(true_us * rates[i]) +
					  (uint64_t)i * 777 * second;
			struct seat_step step;

			if (true_us < paused_until[i])
				continue;
			for (int k = 0; k < 2; k++) {
				if (!seat_admit(seats[i], now_us))
					continue;
				holders += i != last_holder;
				last_holder = i;
				admitted.push_back(true_us);
			}
			if (random() % 600 == 0)
				paused_until[i] =
					true_us + random() % (20 * second);
			seat_next_step(seats[i], i == 0, now_us, &step);
			if (step.action == SEAT_READ && random() % 4)
				seat_row_read(seats[i], row.version, row.text(),
					      now_us);
			if (step.action != SEAT_WRITE)
				continue;
			switch (random() % 8) {
			case 0: /* lost on its way or held up */
				held_up.push_back(
					{ true_us + random() % (9 * second),
					  step });
				seat_row_written(seats[i], 0, now_us, now_us);
				break;
			case 1: /* its answer is lost */
				row.write(step);
				seat_row_written(seats[i], 0, now_us, now_us);
				break;
			default:
				seat_row_written(seats[i], row.write(step),
						 now_us, now_us);
			}
		}
		while (!admitted.empty() &&
		       admitted.front() + SEAT_WINDOW_US < true_us)
			admitted.pop_front();
		ASSERT_LE(admitted.size(), quota) << "at " << true_us;
	}
	EXPECT_GT(holders, 3);
	for (struct seat *seat : seats)
		seat_free(seat);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SeatHistory, testing::Range(1, 21));
