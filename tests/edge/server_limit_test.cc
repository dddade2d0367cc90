/* Backend servers that name how many requests a second they take. */
#include "edge/edge_world.h"

namespace
{

class ServerLimitTest : public EdgeWorld
{
      protected:
	/* Requests each 40 ms for so long; what came to the server meanwhile.
	 */
	uint32_t runs_within(const App &app, uint64_t ms)
	{
		uint32_t before = app_stand_total_runs(app.stand);
		std::vector<std::unique_ptr<RawCaller>> callers;

		for (uint64_t at = 0; at < ms; at += 40) {
			callers.push_back(call(
				get("q" + std::to_string(number++), "/r/")));
			turn_for(40);
		}
		return app_stand_total_runs(app.stand) - before;
	}
	int number = 0;
};

/* The node goes on sending as much as if nothing had been said. */
TEST_F(ServerLimitTest, AServerGetsNoMoreThanItNames)
{
	App &needy = add_app("i-1");

	start_node();
	app_stand_set_headers(needy.stand, "Server-Limit: 2\r\n");
	runs_within(needy, 500);
	EXPECT_LE(runs_within(needy, 4000), 17u);
}

} // namespace
