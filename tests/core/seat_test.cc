#include "core/seat.h"

#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <random>
#include <string>
#include <vector>

static const uint64_t ms = 1000;
static const uint64_t second = 1000 * ms;

/* A row in the platform's table, written by compare-and-set. */
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

	/* Carry out steps until none is left. */
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

TEST(SeatQuota, QuotasAddUpToTheCap)
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

TEST(SeatHolder, TooLongNamesAndNamesWithBlanksAreRejected)
{
	std::string longest(SEAT_HOLDER_SIZE - 1, 'h');
	struct seat *seat = seat_new(longest.c_str(), 1);

	EXPECT_NE(nullptr, seat);
	seat_free(seat);
	EXPECT_EQ(nullptr, seat_new((longest + "h").c_str(), 1));
	EXPECT_EQ(nullptr, seat_new("a b", 1));
}

TEST_F(Seat, NoSecondHasMoreAdmissionsThanTheQuota)
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

TEST_F(Seat, LeaseRunsFromBeforeTheWriteWasSent)
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
 * The write that acquired the seat succeeds but its answer is lost; a read
 * shows the row. If the lease ran from that read, it would still be valid when
 * another node may acquire the seat; both would admit a quota and exceed the
 * cap.
 */
TEST_F(Seat, LeaseOfAWriteWithoutAnswerRunsFromItsSending)
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
 * A holder is paused beyond the end of its lease and another node acquires the
 * seat. If the first one admitted a request when it runs again, one second
 * could have twice the quota.
 */
TEST_F(Seat, PausedHolderAdmitsNothingAndTheNextOneWaitsAWindow)
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

TEST_F(Seat, OnlyOneOfTwoConcurrentNodesAcquiresIt)
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

TEST_F(Seat, HolderThatRenewsKeepsItAndABorrowerReleasesIt)
{
	run(a, true);
	for (int i = 0; i < 200; i++) {
		run_for(a, true, 100 * ms);
		run(b, false);
		ASSERT_TRUE(seat_is_held(a, now_us));
	}
	/* a's VM is replaced; b holds the seat until the new node is up */
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
 * A borrower frees its seat, the write is delayed, and a read still shows the
 * borrower's value. If that gave it a lease again, it would admit at the same
 * time as the node that acquires the row after the write took effect.
 */
TEST_F(Seat, ReadBeforeADelayedFreeingWriteGivesNoLease)
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
 * A node's write to acquire the seat is delayed while it retries many times,
 * then it succeeds. The node no longer tracks that write. If it took the row
 * for one that it held already, it would admit in the same second as the last
 * holder.
 */
TEST_F(Seat, DelayedAcquiringWriteStillWaitsAWindow)
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

TEST_F(Seat, ReleasedSeatIsAcquiredAtOnce)
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
 * Random histories of three nodes, two of them with clocks that are slow by up
 * to 12 % (less than SEAT_CLOCK_DRIFT_US allows for), with pauses, lost answers
 * and delayed writes. No second of true time may have more admissions than the
 * quota.
 */
class SeatHistory : public testing::TestWithParam<int>
{
};

struct delayed_write {
	uint64_t arrives_us;
	struct seat_step step;
};

TEST_P(SeatHistory, NoSecondHasMoreAdmissionsThanTheQuota)
{
	const uint32_t quota = 4;
	const double rates[] = { 1.0, 0.95, 0.88 };
	std::mt19937 random((unsigned int)GetParam());
	std::vector<struct seat *> seats;
	std::vector<uint64_t> paused_until(3);
	std::deque<uint64_t> admitted;
	std::vector<delayed_write> delayed;
	struct row row;
	int holders = 0;
	int last_holder = -1;

	for (const char *holder : { "a.1", "b.1", "c.1" })
		seats.push_back(seat_new(holder, quota));
	for (uint64_t true_us = second; true_us < 300 * second;
	     true_us += 20 * ms) {
		for (size_t i = 0; i < delayed.size(); i++) {
			if (true_us < delayed[i].arrives_us)
				continue;
			row.write(delayed[i].step);
			delayed.erase(delayed.begin() + (long)i--);
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
			case 0: /* the write is delayed */
				delayed.push_back(
					{ true_us + random() % (9 * second),
					  step });
				seat_row_written(seats[i], 0, now_us, now_us);
				break;
			case 1: /* the answer is lost */
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
