/* Calls on a lane to a server whose answers arrive slowly. */
#include "edge/lane.h"

#include "edge/large_document.h"
#include "edge/unread_server.h"

namespace
{

/*
 * An answer arrives a few bytes at a time: the receive timeout never expires,
 * and the answer is never complete. Without a maximum transfer time the lane's
 * owner waited for ever, while a call on a new connection would have been
 * answered at once.
 */
class LaneTest : public LargeDocumentTest
{
      protected:
	static void on_done(void *context, const struct message *answer,
			    const char *cause)
	{
		auto *test = (LaneTest *)context;

		test->done = true;
		test->complete = answer != nullptr;
		test->cause = cause ? cause : "";
	}
	bool done = false;
	bool complete = false;
	std::string cause;
};

/*
 * The loop's time stands still during a callback. A call begun after 0.8 s of
 * decoding in one was aborted 0.2 s later, before the store could answer.
 */
TEST_F(LaneTest, TimeoutCountsFromTheCallNotFromTheLoopsTurn)
{
	struct store_faults faults = {};
	struct lane lane;

	faults.slow_us = 400000;
	store_stand_set_faults(store, &faults);
	lane_init(&lane, &loop, store_stand_at(store), 4000000);
	run_for(20);
	usleep(800000);
	lane_call(&lane, "GET", "/api/rows-get?table=op&part=&limit=500",
		  nullptr, 1000000, on_done, this);
	wait_for([this] { return done; });
	EXPECT_TRUE(complete) << cause;
	lane_close(&lane);
	run_for(20);
}

/* Guards against writes that reach the store after they were aborted. */
TEST_F(LaneTest, AbortedWriteNeverReachesTheStoreWhole)
{
	const std::string body(UnreadServer::LARGE_BYTES, 'x');
	UnreadServer silent_store;
	struct endpoint at = endpoint_at(silent_store.port);
	struct lane lane;

	lane_init(&lane, &loop, &at, 4000000);
	lane_call(&lane, "POST", "/api/rows-put", body.c_str(), 300000, on_done,
		  this);
	wait_for([this] { return done; });
	EXPECT_EQ("timeout", cause);
	lane_close(&lane);
	run_for(20);
	ASSERT_TRUE(silent_store.accept_next());
	silent_store.read_to_end();
	EXPECT_LT(silent_store.got.size(), UnreadServer::LARGE_BYTES);
}

struct broken_call_case {
	const char *name;
	const char *answer;
	bool by_reset; /* how the store ends the connection */
	bool complete;
};

const broken_call_case broken_call_cases[] = {
	{ "Status000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", false,
	  false },
	{ "NameWithBlank",
	  "HTTP/1.1 200 OK\r\nX Name: y\r\nContent-Length: 2\r\n\r\n{}", false,
	  false },
	{ "ResetWithoutLength", "HTTP/1.1 200 OK\r\n\r\n{}", true, false },
	{ "EndWithoutLength", "HTTP/1.1 200 OK\r\n\r\n{}", false, true },
};

class BrokenCallTest : public LaneTest,
		       public ::testing::WithParamInterface<broken_call_case>
{
};

/* Guards against bytes of the store that are no answer and are believed. */
TEST_P(BrokenCallTest, EndsWithoutAnAnswer)
{
	const broken_call_case &c = GetParam();
	UnreadServer broken_store;
	struct endpoint at = endpoint_at(broken_store.port);
	struct lane lane;

	lane_init(&lane, &loop, &at, 4000000);
	lane_call(&lane, "GET", "/api/rows-get", nullptr, 1000000, on_done,
		  this);
	wait_for([&] { return broken_store.take_head(); });
	broken_store.write_answer(c.answer);
	broken_store.end(c.by_reset);
	wait_for([this] { return done; });
	EXPECT_EQ(c.complete, complete) << cause;
	lane_close(&lane);
	run_for(20);
}

INSTANTIATE_TEST_SUITE_P(Cases, BrokenCallTest,
			 ::testing::ValuesIn(broken_call_cases),
			 [](const auto &info) { return info.param.name; });

struct transfer_case {
	const char *name;
	uint64_t max_transfer_ms; /* maximum transfer time */
	bool complete; /* whether an answer that takes 2.5 s is delivered */
};

const transfer_case transfer_cases[] = {
	{ "WithinTheLimit", 4000, true },
	{ "TooSlow", 1500, false },
};

class LaneTransferTest : public LaneTest,
			 public ::testing::WithParamInterface<transfer_case>
{
};

TEST_P(LaneTransferTest, EndsByItsDeadline)
{
	const transfer_case &c = GetParam();
	struct lane lane;
	uint64_t begun_ns;

	put_large(2);
	narrow_link();
	lane_init(&lane, &loop, store_stand_at(store),
		  c.max_transfer_ms * 1000);
	begun_ns = uv_hrtime();
	lane_call(&lane, "GET", "/api/rows-get?table=op&part=&limit=500",
		  nullptr, 1000000, on_done, this);
	wait_for([this] { return done; });
	EXPECT_EQ(c.complete, complete);
	if (!c.complete) {
		EXPECT_EQ("timeout", cause);
		EXPECT_LT((uv_hrtime() - begun_ns) / 1000000,
			  c.max_transfer_ms + 500);
		EXPECT_GT(lane.got_bytes, 0u);
	}
	lane_close(&lane);
	run_for(20);
}

INSTANTIATE_TEST_SUITE_P(Cases, LaneTransferTest,
			 ::testing::ValuesIn(transfer_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
