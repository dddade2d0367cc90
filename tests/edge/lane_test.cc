/* Calls on a lane, against a server whose answers come as a test says. */
#include "edge/lane.h"

#include "edge/large_document.h"

namespace
{

/*
 * An answer trickles, a few bytes at a time: it is never silent and would never
 * be whole. The lane's owner waited for it for good, while a call on a new
 * connection would have been answered at once.
 */
class LaneTest : public LargeDocumentTest
{
      protected:
	static void on_done(void *context, const struct message *answer,
			    const char *cause)
	{
		auto *test = (LaneTest *)context;

		test->done = true;
		test->whole = answer != nullptr;
		test->cause = cause ? cause : "";
	}
	bool done = false;
	bool whole = false;
	std::string cause;
};

struct arrival_case {
	const char *name;
	uint64_t most_ms; /* that an answer may arrive */
	bool whole; /* one that takes 2.5 s */
};

const arrival_case arrival_cases[] = {
	{ "InItsTime", 4000, true },
	{ "Trickles", 1500, false },
};

class ArrivalTest : public LaneTest,
		    public ::testing::WithParamInterface<arrival_case>
{
};

TEST_P(ArrivalTest, EndsByItsTime)
{
	const arrival_case &c = GetParam();
	struct lane lane;
	uint64_t begun_ns;

	put_large(2);
	narrow_link();
	lane_init(&lane, &loop, store_stand_at(store), c.most_ms * 1000);
	begun_ns = uv_hrtime();
	lane_call(&lane, "GET", "/api/rows-get?table=op&part=&limit=500",
		  nullptr, 1000000, on_done, this);
	wait_for([this] { return done; });
	EXPECT_EQ(c.whole, whole);
	if (!c.whole) {
		EXPECT_EQ("timeout", cause);
		EXPECT_LT((uv_hrtime() - begun_ns) / 1000000, c.most_ms + 500);
		EXPECT_GT(lane.got_bytes, 0u);
	}
	lane_close(&lane);
	run_for(20);
}

INSTANTIATE_TEST_SUITE_P(Cases, ArrivalTest, ::testing::ValuesIn(arrival_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
