/* What a node concludes where servers, or its own way to them, are lost. */
#include <sys/socket.h>
#include <unistd.h>

#include "edge/edge_world.h"
#include "edge/reach_watch.h"

namespace
{

struct loss_case {
	const char *name;
	int lost; /* servers that reset all connections and refuse new ones */
	int busy; /* of these, with a request at work */
	bool partitioned;
	bool suspects; /* requests may be suspected of crashes */
};

const loss_case loss_cases[] = {
	{ "OneCrashes", 1, 1, false, true },
	{ "ADomainIsLost", 2, 2, false, true },
	{ "AllAreLost", 6, 4, true, false },
};

class LossTest : public EdgeWorld,
		 public ::testing::WithParamInterface<loss_case>
{
      protected:
	static constexpr int SERVERS = 6;

	void TearDown() override
	{
		if (reach)
			reach_watch_close(reach);
		EdgeWorld::TearDown();
		g_free(reach);
		for (int held : held_ports)
			close(held);
	}
	void start()
	{
		static const char *const domains[] = { "d1", "d1", "d2",
						       "d2", "d3", "d3" };

		for (int i = 0; i < SERVERS; i++)
			add_app("i-" + std::to_string(i), 400, "s", domains[i]);
		start_node();
		reach = reach_watch_open(edge);
	}
	uint32_t running(int server)
	{
		return app_stand_running(apps[server].stand);
	}
	/* Some request runs at each of the servers that will be lost. */
	void occupy(int count)
	{
		for (int i = 0; i < 60; i++) {
			std::string object = std::to_string(i);

			callers.push_back(
				call("GET /r/" + object +
				     " HTTP/1.1\r\nHost: h.example\r\n"
				     "Lilacfield-Attempt-Id: a" +
				     object + "\r\nLilacfield-Affinity-Key: " +
				     object + "\r\n\r\n"));
			run_for(5);
			bool all = true;

			for (int j = 0; j < count; j++)
				all = all && running(j);
			if (all)
				return;
		}
		FAIL() << "a server got no request";
	}
	/* Refuses connections, and keeps other programs off the port. */
	void hold_port(uint16_t port)
	{
		struct sockaddr_in at;
		int held = socket(AF_INET, SOCK_STREAM, 0);

		uv_ip4_addr("127.0.0.1", port, &at);
		ASSERT_EQ(0,
			  bind(held, (const struct sockaddr *)&at, sizeof(at)));
		held_ports.push_back(held);
	}
	void lose(int count)
	{
		for (int i = 0; i < count; i++) {
			uint16_t port = app_stand_at(apps[i].stand)->port;

			app_stand_close(apps[i].stand);
			apps[i].stand = nullptr;
			hold_port(port);
		}
	}
	std::vector<int> held_ports;
	std::vector<std::unique_ptr<RawCaller>> callers;
	struct reach_watch *reach = nullptr;
};

TEST_P(LossTest, IsToldFromALostWay)
{
	const loss_case &c = GetParam();

	start();
	occupy(c.busy);
	lose(c.lost);
	if (c.partitioned)
		wait_for([this] { return reach_watch_is_partitioned(edge); });
	run_for(300);
	EXPECT_EQ(c.partitioned, reach_watch_is_partitioned(edge));
	EXPECT_EQ(c.partitioned, edge->members->self->partitioned);
	EXPECT_EQ(c.suspects, edge->suspects->count > 0);
	callers.clear();
}

INSTANTIATE_TEST_SUITE_P(Cases, LossTest, ::testing::ValuesIn(loss_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
