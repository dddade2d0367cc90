/*
 * Callers and servers of a node whose held bytes are used up: large messages
 * wait for each other, small ones don't, and none is delivered in part.
 */
#include "edge/edge_world.h"

namespace
{

class HeldBytesTest : public EdgeWorld
{
      protected:
	static const uint64_t MB = 1024 * 1024;

	void SetUp() override
	{
		EdgeWorld::SetUp();
		timeout = "8000ms";
		extra_routes = ROUTE_TO_T;
		put_routes(1);
	}
	/* A server of large answers, one of small ones, and the node. */
	void start(uint64_t limit_bytes, uint32_t large_bytes)
	{
		held_bytes = limit_bytes;
		answer_bytes = large_bytes;
		add_app("i-1", 10, "s", "d1", 50);
		answer_bytes = 0;
		add_app("i-2", 10, "t", "d1", 50);
		start_node();
	}
	/* A caller that doesn't read its large answer, which the node holds. */
	std::unique_ptr<RawCaller> call_without_reading()
	{
		auto caller = call(get("slow", "/o/"));

		wait_for([&] { return caller->connected; });
		caller->pause();
		wait_for([this] { return edge->exchanges == 1; });
		wait_for([this] { return edge->exchanges == 0; });
		return caller;
	}
	static std::string upload(const std::string &id, size_t bytes)
	{
		return get(id, "/t/",
			   "Content-Length: " + std::to_string(bytes) + "\r\n",
			   "POST") +
		       std::string(bytes, 'x');
	}
	bool anyone_waits()
	{
		return !g_queue_is_empty(&edge->bytes.waiting);
	}
};

TEST_F(HeldBytesTest, UnreadAnswerCountsUntilItIsWritten)
{
	start(20 * MB, 7 * MB);
	auto slow = call_without_reading();
	EXPECT_GE(edge->bytes.held_bytes, 7 * MB);
	EXPECT_LE(edge->bytes.held_bytes, 7 * MB + 4096);
	EXPECT_EQ(edge->bytes.held_bytes - BYTE_ALLOWANCE,
		  edge->bytes.drawn_bytes - BYTE_READ_MAX);
	slow->resume();
	wait_for([&] { return is_whole(*slow); });
	EXPECT_GE(body_of(slow->got).size(), 7 * MB);
	wait_for([this] { return edge->bytes.held_bytes == 0; });
	EXPECT_EQ(0u, edge->bytes.drawn_bytes);
}

TEST_F(HeldBytesTest, CallerThatLeavesReturnsItsBytes)
{
	start(20 * MB, 7 * MB);
	auto slow = call_without_reading();
	slow->leave();
	wait_for([this] { return edge->bytes.held_bytes == 0; });
	auto half = call(upload("a1", MB / 2).substr(0, MB / 4));
	wait_for([this] { return edge->bytes.held_bytes > MB / 5; });
	half->leave();
	wait_for([this] { return edge->bytes.held_bytes == 0; });
	EXPECT_EQ(0u, edge->bytes.drawn_bytes);
}

/* What waits goes on as soon as the slow caller has read its answer. */
TEST_F(HeldBytesTest, LargeMessagesWaitAndAreWhole)
{
	start(8 * MB, 7 * MB);
	auto slow = call_without_reading();
	auto other = call(get("a1", "/o/"));
	auto uploader = call(upload("a2", MB - 1));
	wait_for([this] { return anyone_waits(); }, "one waits");
	run_for(300);
	EXPECT_FALSE(is_whole(*other));
	slow->resume();
	wait_for([&] { return is_whole(*other) && is_whole(*uploader); });
	for (RawCaller *caller : { slow.get(), other.get() }) {
		EXPECT_EQ(200, status_of(caller->got));
		EXPECT_GE(body_of(caller->got).size(), 7 * MB);
	}
	EXPECT_EQ(200, status_of(uploader->got));
	EXPECT_EQ(0u, edge->bytes.dropped);
}

/* A node whose bytes are used up must go on with all small requests. */
TEST_F(HeldBytesTest, SmallRequestsDontWait)
{
	start(7 * MB, 7 * MB);
	auto slow = call_without_reading();
	auto uploader = call(upload("a1", MB - 1));
	wait_for([this] { return anyone_waits(); }, "the upload waits");
	for (int i = 0; i < 10; i++) {
		uint64_t began_us = edge_now_us(edge);

		EXPECT_EQ(200, status_of(answer_to(upload(
				       "b" + std::to_string(i), 60 * 1000))));
		EXPECT_LT(edge_now_us(edge) - began_us, 500000u);
	}
}

/*
 * An upload that waits for bytes which nobody returns: it is told that it
 * wasn't run, and not, as for a slow sender, that it came too late.
 */
TEST_F(HeldBytesTest, StalledUploadIsRefusedAsNotRun)
{
	start(7 * MB, 7 * MB);
	auto slow = call_without_reading();
	uint64_t began_us = edge_now_us(edge);
	auto uploader = call(upload("a1", MB - 1));
	wait_for([&] { return is_whole(*uploader); });
	EXPECT_EQ(503, status_of(uploader->got)) << uploader->got;
	EXPECT_NE(std::string::npos, uploader->got.find("Retry-After: "));
	EXPECT_EQ(0u, app_stand_runs(apps[1].stand, "a1"));
	EXPECT_GE(edge_now_us(edge) - began_us, 1000000u);
	EXPECT_LT(edge_now_us(edge) - began_us, 2500000u);
	EXPECT_EQ(1u, edge->bytes.dropped);
}

/*
 * More uploads at once than the node may hold: if each were read in part, all
 * would wait for each other.
 */
TEST_F(HeldBytesTest, ManyUploadsGoOnInTurn)
{
	std::vector<std::unique_ptr<RawCaller>> callers;

	start(2 * MB, 0);
	for (int i = 0; i < 20; i++)
		callers.push_back(
			call(upload("a" + std::to_string(i), MB / 2)));
	wait_for(
		[&] {
			for (auto &caller : callers)
				if (!is_whole(*caller))
					return false;
			return true;
		},
		"all have an answer");
	for (auto &caller : callers)
		EXPECT_EQ(200, status_of(caller->got)) << caller->got;
	EXPECT_EQ(0u, edge->bytes.dropped);
	EXPECT_EQ(0u, edge->bytes.drawn_bytes);
}

/*
 * A caller that sends on and never reads its answers: it is held back, so that
 * they don't add up without end.
 */
TEST_F(HeldBytesTest, CallerThatNeverReadsIsHeldBack)
{
	start(4 * MB, MB);
	auto caller = call("");
	wait_for([&] { return caller->connected; });
	caller->pause();
	for (int i = 0; i < 40; i++) {
		caller->send(get("a" + std::to_string(i), "/o/"));
		run_for(50);
	}
	EXPECT_LT(edge->bytes.held_bytes, 6 * MB);
	caller->resume();
	wait_for([&] {
		return caller->got.find("a39 by") != std::string::npos;
	});
}

} // namespace
