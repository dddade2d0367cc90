#include "adapters/metrics.h"

#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

namespace
{

std::string exposition()
{
	char *text = metrics_format();
	std::string result = text;

	g_free(text);
	return result;
}

class Metrics : public testing::Test
{
      protected:
	void SetUp() override
	{
		metrics_open();
	}
	void TearDown() override
	{
		metrics_close();
	}
};

struct bucket_case {
	uint64_t value_us;
	const char *first_bound; /* of the buckets that count it */
};

} // namespace

TEST_F(Metrics, TextGroupsTheSeriesOfOneName)
{
	struct metric *b = metric_counter("b_total", "B.", "s=\"2\"");
	struct metric *a = metric_gauge("a", "Line\nand \\.", NULL);

	metric_add(metric_counter("b_total", "B.", "s=\"1\""), 3);
	metric_add(b, 4);
	metric_set(a, -5);
	EXPECT_EQ("# HELP a Line\\nand \\\\.\n"
		  "# TYPE a gauge\n"
		  "a -5\n"
		  "# HELP b_total B.\n"
		  "# TYPE b_total counter\n"
		  "b_total{s=\"1\"} 3\n"
		  "b_total{s=\"2\"} 4\n",
		  exposition());
}

TEST_F(Metrics, SameNameAndLabelsGiveTheSame)
{
	EXPECT_EQ(metric_counter("a", "A.", "s=\"1\""),
		  metric_counter("a", "A.", "s=\"1\""));
	EXPECT_NE(metric_counter("a", "A.", "s=\"1\""),
		  metric_counter("a", "A.", NULL));
}

TEST_F(Metrics, ThreadsLoseNoCount)
{
	struct metric *counter = metric_counter("a", "A.", NULL);
	struct metric *histogram = metric_histogram("h", "H.", NULL);
	std::vector<std::thread> threads;

	for (int t = 0; t < 4; t++)
		threads.emplace_back([counter, histogram]() {
			for (int i = 0; i < 10000; i++) {
				metric_add(counter, 1);
				metric_observe_us(histogram, 1);
			}
		});
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(40000u, metric_value(counter));
	EXPECT_EQ(40000u, metric_value(histogram));
}

class MetricBucket : public Metrics,
		     public testing::WithParamInterface<bucket_case>
{
};

TEST_P(MetricBucket, CountsFromItsBoundUp)
{
	struct metric *histogram = metric_histogram("h", "H.", "s=\"1\"");
	std::string value = std::to_string(GetParam().value_us);
	bool reached = false;

	metric_observe_us(histogram, GetParam().value_us);
	for (int i = 0; i <= 27; i++) {
		std::string bound = i < 27 ? std::to_string(1 << i) : "+Inf";

		reached = reached || bound == GetParam().first_bound;
		EXPECT_NE(std::string::npos,
			  exposition().find("h_bucket{s=\"1\",le=\"" + bound +
					    "\"} " + (reached ? "1\n" : "0\n")))
			<< bound;
	}
	EXPECT_NE(std::string::npos,
		  exposition().find("h_sum{s=\"1\"} " + value +
				    "\nh_count{s=\"1\"} 1\n"));
}

INSTANTIATE_TEST_SUITE_P(Bounds, MetricBucket,
			 testing::Values(bucket_case{ 0, "1" },
					 bucket_case{ 1, "1" },
					 bucket_case{ 2, "2" },
					 bucket_case{ 3, "4" },
					 bucket_case{ 1024, "1024" },
					 bucket_case{ 1025, "2048" },
					 bucket_case{ 67108864, "67108864" },
					 bucket_case{ 67108865, "+Inf" },
					 bucket_case{ UINT64_MAX, "+Inf" }));
