#include "standins/fake_backend.h"

#include <thread>

#include "standins/standin_fixture.h"

#define BACKEND_PORT 7101
#define SHORT_US 1000
#define LONG_US 200000000
#define PATIENCE_US 10000000
#define SHORT_PATIENCE_US 300000

class Backend : public testing::Test
{
      protected:
	void SetUp() override
	{
		book = run_book_new();
		log = event_log_open(nullptr, nullptr);
	}
	void TearDown() override
	{
		fake_backend_close(backend);
		event_log_close(log);
		run_book_free(book);
	}
	void open(uint64_t service_us)
	{
		struct fake_backend_spec spec = {};

		g_strlcpy(spec.name, "b-1", sizeof(spec.name));
		g_strlcpy(spec.service, "svc", sizeof(spec.service));
		spec.endpoint = test_endpoint(BACKEND_PORT);
		spec.slots = 1;
		spec.threads = 4;
		spec.service_us = service_us;
		spec.strength_permille = 1000;
		spec.seed = 1;
		endpoint = spec.endpoint;
		backend = fake_backend_open(&spec, book, log, nullptr);
		ASSERT_NE(nullptr, backend);
	}
	void set(const char *faults)
	{
		json_t *root = json_loads(faults, 0, nullptr);

		EXPECT_TRUE(fake_backend_control(backend, root, nullptr));
		json_decref(root);
	}
	json_int_t number(const char *member)
	{
		json_t *root = fake_backend_describe(backend);
		json_int_t value =
			json_integer_value(json_object_get(root, member));

		json_decref(root);
		return value;
	}

	struct run_book *book;
	struct event_log *log;
	struct fake_backend *backend = nullptr;
	struct standin_endpoint endpoint;
};

struct backend_case {
	const char *name;
	const char *faults;
	const char *header;
	uint64_t service_us;
	enum exchange_fate fate;
	long status;
	bool says_not_run;
	uint64_t ran;
};

class BackendFaults : public Backend,
		      public testing::WithParamInterface<backend_case>
{
};

/* What an answer says of the run agrees with what the run book counted. */
TEST_P(BackendFaults, AnswerIsTrueOfTheRun)
{
	const backend_case &c = GetParam();

	open(c.service_us);
	set(c.faults);
	Asked asked(endpoint, "POST", "/x", "body", c.header,
		    c.fate == EXCHANGE_TIMED_OUT ? SHORT_PATIENCE_US :
						   PATIENCE_US);

	EXPECT_EQ(c.fate, asked.came.fate);
	EXPECT_EQ(c.status, asked.came.status);
	EXPECT_EQ(c.says_not_run, asked.came.shed);
	EXPECT_EQ(c.ran, run_book_ids(book, "svc"));
}

#define ID "X-Request-Id: r-1"

INSTANTIATE_TEST_SUITE_P(
	Faults, BackendFaults,
	testing::Values(
		backend_case{ "none", "{}", ID, SHORT_US, EXCHANGE_WHOLE, 200,
			      false, 1 },
		backend_case{ "shed", "{\"shed\":true}", ID, SHORT_US,
			      EXCHANGE_WHOLE, 503, true, 0 },
		backend_case{ "expired", "{}", "X-Deadline-Us: 0", SHORT_US,
			      EXCHANGE_WHOLE, 503, true, 0 },
		backend_case{ "cut_by_deadline", "{}", "X-Deadline-Us: 300000",
			      LONG_US, EXCHANGE_WHOLE, 504, false, 1 },
		backend_case{ "dropped", "{\"drop_answers\":1}", ID, SHORT_US,
			      EXCHANGE_CUT, 0, false, 1 },
		backend_case{ "frozen", "{\"frozen\":true}", ID, SHORT_US,
			      EXCHANGE_TIMED_OUT, 0, false, 0 },
		backend_case{ "down", "{\"down\":true}", ID, SHORT_US,
			      EXCHANGE_NOT_SENT, 0, false, 0 },
		backend_case{ "started_again", "{\"down\":false}", ID, SHORT_US,
			      EXCHANGE_WHOLE, 200, false, 1 }),
	[](const testing::TestParamInfo<backend_case> &info) {
		return std::string(info.param.name);
	});

TEST_F(Backend, CountsAnIdThatRunsTwice)
{
	open(SHORT_US);
	Asked first(endpoint, "GET", "/x", nullptr, ID);
	Asked other(endpoint, "GET", "/x", nullptr, "X-Request-Id: r-2");
	EXPECT_EQ(0u, run_book_doubled(book, "svc"));
	Asked second(endpoint, "GET", "/x", nullptr, ID);

	EXPECT_EQ(2u, run_book_ids(book, "svc"));
	EXPECT_EQ(1u, run_book_doubled(book, "svc"));
	EXPECT_NE(std::string::npos, second.body().find("\"runs\":2"));
}

TEST_F(Backend, ShedsWhatItsSlotsDontTake)
{
	open(LONG_US);
	std::thread busy([this] {
		Asked asked(endpoint, "GET", "/x", nullptr, ID, PATIENCE_US);
		EXPECT_EQ(EXCHANGE_CUT, asked.came.fate);
	});
	while (number("running") == 0)
		std::this_thread::yield();
	Asked second(endpoint, "GET", "/x", nullptr, "X-Request-Id: r-2");

	EXPECT_EQ(503, second.came.status);
	EXPECT_TRUE(second.came.shed);
	EXPECT_EQ(1u, run_book_ids(book, "svc"));
	set("{\"down\":true}");
	busy.join();
}

/*
 * A caller that gives up closes its connection while its work runs. The slot
 * is free again at once and the run counts, since it may have had its effect.
 */
TEST_F(Backend, ClosedConnectionCancels)
{
	open(LONG_US);
	Asked asked(endpoint, "GET", "/x", nullptr, ID, SHORT_PATIENCE_US);
	EXPECT_EQ(EXCHANGE_TIMED_OUT, asked.came.fate);
	while (number("cancelled") == 0)
		std::this_thread::yield();

	EXPECT_EQ(0, number("running"));
	EXPECT_EQ(1u, run_book_ids(book, "svc"));
}
