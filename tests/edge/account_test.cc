/* Callers' accounts on the data path: keys, names for servers, regions, quotas.
 */
#include <fstream>
#include <sstream>

#include "edge/accounts.h"
#include "edge/admin.h"
#include "edge/edge_world.h"
#include "edge/hops.h"
#include "edge/snapshot.h"

namespace
{

const char *const KEY = "apjsujqurtyiikdrbn4r";
const char *const OTHER_KEY = "yrbbkf83fgfwrz56aw63";

std::string tenants(const std::string &more = "",
		    const std::string &keys = "\"apjsujqurtyiikdrbn4r\"")
{
	return ",\"tenants\":{\"acme\":{\"api_keys\":[" + keys + "]" + more +
	       "},\"zeta\":{\"api_keys\":[\"yrbbkf83fgfwrz56aw63\"]}}";
}

const char *const KEYLESS_ROUTE =
	",\"open\":{\"host\":\"h.example\",\"prefix\":\"/open/\","
	"\"kind\":\"idempotent\",\"timeout\":\"2000ms\","
	"\"target_latency\":\"600ms\",\"priority\":2,\"service\":\"s\","
	"\"max_attempts\":2,\"keyless\":true,\"allowed_regions\":[]}";

class AccountWorld : public EdgeWorld
{
      protected:
	/* The log is kept, to be searched for keys. */
	void SetUp() override
	{
		EdgeWorld::SetUp();
		log_close();
		log_path_ = ::testing::TempDir() + "account_test." +
			    std::to_string(getpid()) + ".log";
		unlink(log_path_.c_str());
		ASSERT_TRUE(
			log_open("n1", log_path_.c_str(), LOG_DEBUG, nullptr));
		/* As an earlier process of this node left it. */
		store_stand_put(store, "members", "n1",
				"{\"domain\":\"d1\",\"region\":\"r1\","
				"\"front\":\"127.0.0.1:1\","
				"\"peer\":\"127.0.0.1:2\"}");
	}
	void TearDown() override
	{
		EdgeWorld::TearDown();
		EXPECT_FALSE(holds_key(log_text())) << "a key is in the log";
		unlink(log_path_.c_str());
	}
	static bool holds_key(const std::string &text)
	{
		return text.find(KEY) != std::string::npos ||
		       text.find(OTHER_KEY) != std::string::npos;
	}
	std::string log_text()
	{
		std::ifstream file(log_path_);
		std::stringstream text;

		text << file.rdbuf();
		return text.str();
	}
	void start(const std::string &fields)
	{
		extra_fields = fields;
		extra_routes = KEYLESS_ROUTE;
		put_routes(2);
		start_node();
		wait_for([&] { return edge->routes->version == 2; });
	}
	std::string headers_of(const App &app)
	{
		return app_stand_last_headers(app.stand);
	}
	static std::string with_key(const std::string &key)
	{
		return "X-Api-Key: " + key + "\r\n";
	}
	std::string log_path_;
};

struct key_case {
	const char *name;
	const char *path;
	std::string headers;
	int status;
	const char *account; /* that the server is told; NULL: none */
};

const key_case key_cases[] = {
	{ "Known", "/r/", "X-Api-Key: apjsujqurtyiikdrbn4r\r\n", 200, "acme" },
	{ "Another", "/o/", "X-Api-Key: yrbbkf83fgfwrz56aw63\r\n", 200,
	  "zeta" },
	{ "None", "/r/", "", 401, nullptr },
	{ "Empty", "/r/", "X-Api-Key: \r\n", 401, nullptr },
	{ "Unknown", "/r/", "X-Api-Key: nobodys\r\n", 401, nullptr },
	{ "Digest", "/r/", "X-Api-Key: sha256:" + std::string(64, 'a') + "\r\n",
	  401, nullptr },
	{ "NotText", "/r/", "X-Api-Key: \x81\xfe\r\n", 401, nullptr },
	{ "ControlBytes", "/r/", "X-Api-Key: a\x01\r\n", 400, nullptr },
	{ "Long", "/r/", "X-Api-Key: " + std::string(9000, 'k') + "\r\n", 401,
	  nullptr },
	{ "OverTheLimitOfHeaders", "/r/",
	  "X-Api-Key: " + std::string(100000, 'k') + "\r\n", 431, nullptr },
	{ "Twice", "/r/",
	  "X-Api-Key: apjsujqurtyiikdrbn4r\r\n"
	  "X-Api-Key: apjsujqurtyiikdrbn4r\r\n",
	  400, nullptr },
	{ "OtherCase", "/r/", "x-api-key: apjsujqurtyiikdrbn4r\r\n", 200,
	  "acme" },
	{ "NamedByTheCaller", "/r/",
	  "X-Api-Key: apjsujqurtyiikdrbn4r\r\nLilacfield-Tenant: zeta\r\n"
	  "Hop-Account: zeta\r\n",
	  200, "acme" },
	{ "KeylessWithoutKey", "/open/",
	  "Lilacfield-Tenant: zeta\r\nHop-Account: zeta\r\n", 200, nullptr },
	{ "KeylessWithKey", "/open/", "X-Api-Key: apjsujqurtyiikdrbn4r\r\n",
	  200, "acme" },
	{ "KeylessWithUnknownKey", "/open/", "X-Api-Key: nobodys\r\n", 200,
	  nullptr },
};

class KeyTest : public AccountWorld,
		public ::testing::WithParamInterface<key_case>
{
};

/* Guards against a server that gets a key, or an account of another caller. */
TEST_P(KeyTest, ServerGetsTheNameAndNeverTheKey)
{
	const key_case &it = GetParam();
	App &app = add_app("i-1");
	std::string answer;
	std::string headers;

	start(tenants());
	answer = answer_to(get("q1", it.path, it.headers));
	headers = headers_of(app);
	EXPECT_EQ(it.status, status_of(answer));
	EXPECT_EQ(it.status == 200 ? 1u : 0u, app_stand_runs(app.stand, "q1"));
	EXPECT_FALSE(holds_key(headers));
	EXPECT_FALSE(holds_key(answer));
	EXPECT_EQ(std::string::npos, headers.find("X-Api-Key"));
	EXPECT_EQ(std::string::npos, headers.find("Hop-Account"));
	if (it.account)
		EXPECT_NE(std::string::npos,
			  headers.find(std::string("Lilacfield-Tenant: ") +
				       it.account + "\r\n"));
	else
		EXPECT_EQ(std::string::npos, headers.find("Lilacfield-Tenant"));
}

INSTANTIATE_TEST_SUITE_P(Cases, KeyTest, ::testing::ValuesIn(key_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a version refused for the name of an account. */
TEST_F(AccountWorld, NameMayHaveSpaces)
{
	App &app = add_app("i-1");

	start(tenants());
	extra_fields = ",\"tenants\":{\"Acme & Sons (Chile)\":{\"api_keys\":["
		       "\"apjsujqurtyiikdrbn4r\"],\"rate_per_s\":1e2}}";
	put_routes(3);
	wait_for([&] { return edge->routes->version == 3; });
	EXPECT_EQ(200, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
	EXPECT_NE(std::string::npos,
		  headers_of(app).find(
			  "Lilacfield-Tenant: Acme & Sons (Chile)\r\n"));
	EXPECT_EQ(401,
		  status_of(answer_to(get("q2", "/r/", with_key(OTHER_KEY)))));
}

/* Guards against callers turned away where no accounts are kept. */
TEST_F(AccountWorld, NoKeyIsNeededWithoutAccounts)
{
	add_app("i-1");
	start("");
	EXPECT_EQ(200, status_of(answer_to(get("q1", "/r/"))));
}

/* Guards against a final error for a key that was just added. */
TEST_F(AccountWorld, UnknownKeyIsRefusedWhileRoutesAreUnconfirmed)
{
	add_app("i-1");
	start(tenants());
	store_stand_close(store);
	store = nullptr;
	wait_for([&] { return !sync_may_deny(sync); });
	EXPECT_EQ(503,
		  status_of(answer_to(get("q1", "/r/", with_key("other")))));
	EXPECT_EQ(200, status_of(answer_to(get("q2", "/r/", with_key(KEY)))));
}

/* Guards against a removed key that an open connection keeps in use. */
TEST_F(AccountWorld, RemovedKeyEndsOnAnOpenConnection)
{
	add_app("i-1");
	start(tenants());
	auto caller = call(get("q1", "/r/", with_key(KEY)));
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
	caller->got.clear();
	extra_fields = tenants("", "\"another\"");
	put_routes(3);
	wait_for([&] { return edge->routes->version == 3; });
	caller->send(get("q2", "/r/", with_key(KEY)));
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(401, status_of(caller->got));
}

/* Guards against a key in use by its former account. */
TEST_F(AccountWorld, MovedKeyNamesItsNewAccount)
{
	App &app = add_app("i-1");

	start(tenants());
	extra_fields = ",\"tenants\":{\"zeta\":{\"api_keys\":["
		       "\"apjsujqurtyiikdrbn4r\"]}}";
	put_routes(3);
	wait_for([&] { return edge->routes->version == 3; });
	EXPECT_EQ(200, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
	EXPECT_NE(std::string::npos,
		  headers_of(app).find("Lilacfield-Tenant: zeta\r\n"));
}

/* Guards against a key in force that has two owners. */
TEST_F(AccountWorld, SharedKeyNamesNobody)
{
	App &app = add_app("i-1");

	start(tenants());
	extra_fields = tenants("", "\"yrbbkf83fgfwrz56aw63\",\"third\"");
	put_routes(3);
	wait_for([&] { return edge->routes->version == 3; });
	EXPECT_EQ(503,
		  status_of(answer_to(get("q1", "/r/", with_key(OTHER_KEY)))));
	EXPECT_EQ(503, status_of(answer_to(
			       get("q2", "/open/", with_key(OTHER_KEY)))));
	EXPECT_EQ(401, status_of(answer_to(get("q3", "/r/", with_key(KEY)))));
	EXPECT_EQ(0u, app_stand_total_runs(app.stand));
	EXPECT_EQ(200,
		  status_of(answer_to(get("q4", "/r/", with_key("third")))));
	EXPECT_NE(std::string::npos,
		  headers_of(app).find("Lilacfield-Tenant: acme\r\n"));
}

/* Guards against keys in what peers load and operators read. */
TEST_F(AccountWorld, NoKeyLeavesTheNode)
{
	GBytes *snapshot;
	gsize length;
	const char *bytes;

	add_app("i-1");
	start(tenants());
	answer_to(get("q1", "/r/", with_key(KEY)));
	snapshot = sync_snapshot(sync, SNAPSHOT_ALL);
	ASSERT_NE(nullptr, snapshot);
	bytes = (const char *)g_bytes_get_data(snapshot, &length);
	EXPECT_FALSE(holds_key(std::string(bytes, length)));
	g_bytes_unref(snapshot);
	for (const char *sentence :
	     { "show accounts", "show routes", "show refusals", "show faults",
	       "where s from d1" }) {
		const std::string command =
			std::string("{\"sentence\":\"") + sentence + "\"}";
		enum result result;
		char *text = admin_command(edge, command.c_str(),
					   command.size(), &result);

		EXPECT_EQ(RESULT_OK, result) << text;
		EXPECT_FALSE(holds_key(text)) << command;
		g_free(text);
	}
}

TEST_F(AccountWorld, RetryCarriesTheNameToo)
{
	App &first = add_app("i-1");
	App &second = add_app("i-2");

	app_stand_set_fault(first.stand, APP_FAIL);
	app_stand_set_fault(second.stand, APP_FAIL);
	start(tenants());
	EXPECT_EQ(500, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
	for (const App &app : apps) {
		EXPECT_NE(std::string::npos,
			  headers_of(app).find("Lilacfield-Tenant: acme\r\n"));
		EXPECT_FALSE(holds_key(headers_of(app)));
	}
}

/* Guards against a request that leaves the regions of its account. */
TEST_F(AccountWorld, RequestStaysInTheRegionsOfItsAccount)
{
	App &near = add_app("i-1", 20, "s", "d1");
	App &far = add_app("i-2", 20, "s", "d3");

	start(tenants(",\"allowed_regions\":[\"r2\"]"));
	EXPECT_EQ(200, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
	EXPECT_EQ(0u, app_stand_total_runs(near.stand));
	EXPECT_EQ(1u, app_stand_total_runs(far.stand));
	EXPECT_EQ(200,
		  status_of(answer_to(get("q2", "/r/", with_key(OTHER_KEY)))));
	EXPECT_EQ(1u, app_stand_total_runs(near.stand));
}

TEST_F(AccountWorld, RequestIsRefusedAtOnceIfNoServerIsInItsRegions)
{
	add_app("i-1", 20, "s", "d1");
	start(tenants(",\"allowed_regions\":[\"r2\"]"));
	EXPECT_EQ(503, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
}

/* --- quotas ------------------------------------------------------------- */

/* Guards against requests beyond the rate that run, or are held. */
TEST_F(AccountWorld, RequestsBeyondTheQuotaAreRefusedAtOnce)
{
	App &app = add_app("i-1", 1, "s", "d1", 200);
	std::vector<std::unique_ptr<RawCaller>> callers;
	uint32_t refused = 0;

	start(tenants(",\"rate_per_s\":1,\"burst\":30"));
	accounts_update_quotas(edge->accounts);
	run_for(1500);
	for (int i = 0; i < 60; i++)
		callers.push_back(call(
			get("q" + std::to_string(i), "/r/", with_key(KEY))));
	wait_for([&] {
		for (const auto &caller : callers)
			if (!is_whole(*caller))
				return false;
		return true;
	});
	for (const auto &caller : callers) {
		if (status_of(caller->got) != 429)
			continue;
		refused++;
		EXPECT_NE(std::string::npos, caller->got.find("Retry-After: "));
	}
	EXPECT_GT(refused, 0u);
	EXPECT_EQ(60u - refused, app_stand_total_runs(app.stand));
	/* One second's rate and the burst, as operators set them. */
	EXPECT_LE(app_stand_total_runs(app.stand), 31u);
	EXPECT_EQ(200, status_of(answer_to(
			       get("other", "/r/", with_key(OTHER_KEY)))));
}

/* Guards against a restarted node that spends its burst once more. */
TEST_F(AccountWorld, BucketOfARestartedNodeIsEmpty)
{
	struct account_state *state;

	start(tenants(",\"rate_per_s\":0.1,\"burst\":100"));
	accounts_update_quotas(edge->accounts);
	state = (struct account_state *)g_hash_table_lookup(
		accounts_by_name(edge->accounts), "acme");
	ASSERT_NE(nullptr, state);
	EXPECT_GT(state->quota.limit.quota_per_s, 0);
	EXPECT_LT(rate_limit_tokens(&state->quota.limit, edge_now_us(edge)), 1);
}

/* Guards against a new node that uses the part of the node it replaces. */
TEST_F(AccountWorld, NewNodeHoldsNoPartYet)
{
	struct account_state *state;

	store_stand_put(store, "members", "n1", nullptr);
	start(tenants(",\"rate_per_s\":10,\"burst\":100"));
	accounts_update_quotas(edge->accounts);
	state = (struct account_state *)g_hash_table_lookup(
		accounts_by_name(edge->accounts), "acme");
	ASSERT_NE(nullptr, state);
	EXPECT_EQ(0, state->quota.limit.quota_per_s);
	EXPECT_EQ(503, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
}

/* Guards against requests held, or sent away for long, at a node cut off. */
TEST_F(AccountWorld, NodeCutOffFromHoldersSendsCallersElsewhereAtOnce)
{
	GError *error = nullptr;
	uint64_t began_ns;

	store_stand_put(store, "members", "n1", nullptr);
	add_app("i-1");
	start(tenants(",\"rate_per_s\":1,\"burst\":100"));
	edge->settings.peer = endpoint_at(0);
	gossip = gossip_open(edge, &error);
	ASSERT_NE(nullptr, gossip);
	for (const char *name : { "n2", "n3" }) {
		struct member *member = member_table_put(edge->members, name);

		g_free(member->region);
		member->region = g_strdup("r1");
		member->peer = endpoint_at(9);
		member_note_heartbeat(member, 1, false, edge_now_us(edge));
	}
	accounts_update_quotas(edge->accounts);
	for (int i = 0; i < 6; i++)
		answer_to(get("q" + std::to_string(i), "/r/", with_key(KEY)));
	began_ns = uv_hrtime();
	std::string answer = answer_to(get("last", "/r/", with_key(KEY)));

	EXPECT_LT(uv_hrtime() - began_ns, 50u * 1000000);
	EXPECT_EQ(503, status_of(answer));
	EXPECT_NE(std::string::npos, answer.find("Retry-After: 0.100"));
}

/* Guards against callers of an account over its rate that return at once. */
TEST_F(AccountWorld, RequestThatAllHoldersRefusedIsOverItsQuota)
{
	struct heartbeat_token refusal = {};
	struct account_waiter waiter = {};
	struct account_state *state;
	struct member *holder;
	uint64_t wait_us;
	uint32_t asks = UINT32_MAX;

	start(tenants(",\"rate_per_s\":1,\"burst\":100"));
	holder = member_table_put(edge->members, "n2");
	accounts_update_quotas(edge->accounts);
	state = (struct account_state *)g_hash_table_lookup(
		accounts_by_name(edge->accounts), "acme");
	ASSERT_NE(nullptr, state);
	state->quota.limit.tokens = 0;
	state->quota.limit.filled_us = edge_now_us(edge);
	EXPECT_EQ(ACCOUNT_CUT_OFF, accounts_admit(edge->accounts, state,
						  &waiter, &asks, &wait_us));
	refusal.incarnation = state->quota.hash;
	refusal.is_account = true;
	accounts_handle_token(edge->accounts, holder, &refusal, nullptr);
	EXPECT_EQ(ACCOUNT_OVER_QUOTA, accounts_admit(edge->accounts, state,
						     &waiter, &asks, &wait_us));
}

/* Guards against tokens lost to requests that no server ran. */
TEST_F(AccountWorld, RequestThatDidNotRunReturnsItsToken)
{
	struct account_state *state;
	double before;

	start(tenants(",\"rate_per_s\":0.1,\"burst\":100"));
	accounts_update_quotas(edge->accounts);
	state = (struct account_state *)g_hash_table_lookup(
		accounts_by_name(edge->accounts), "acme");
	ASSERT_NE(nullptr, state);
	state->quota.limit.tokens = 5;
	before = rate_limit_tokens(&state->quota.limit, edge_now_us(edge));
	EXPECT_EQ(503, status_of(answer_to(get("q1", "/r/", with_key(KEY)))));
	EXPECT_GE(rate_limit_tokens(&state->quota.limit, edge_now_us(edge)),
		  before);
}

} // namespace
