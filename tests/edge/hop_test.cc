/* Requests that a partitioned node hands to peers, seen from either side. */
#include <set>

#include "edge/edge_world.h"
#include "edge/hops.h"
#include "edge/reach_watch.h"
#include "edge/unread_server.h"
#include "standins/http_stand.h"

namespace
{

enum peer_answer {
	PEER_SERVES,
	PEER_FAILS, /* a server's failed answer */
	PEER_CANT, /* it can't take the request, another peer might */
	PEER_REFUSES, /* no server can */
	PEER_REFUSES_FOREVER, /* with a time that is no number of seconds */
	PEER_IS_OLD, /* an answer without the headers of a hop */
	PEER_RESETS, /* once it has read the request */
	PEER_SILENT,
};

/* A peer that answers each hop alike. */
class FakePeer
{
      public:
	FakePeer(uv_loop_t *loop, enum peer_answer answer) : answer_(answer)
	{
		struct endpoint any = {};

		g_strlcpy(any.address, "127.0.0.1", sizeof(any.address));
		stand_ = http_stand_open(loop, &any, &events, this);
	}
	~FakePeer()
	{
		http_stand_close(stand_, true);
	}
	struct endpoint at() const
	{
		return *http_stand_at(stand_);
	}
	uint32_t asked = 0;
	uint32_t left = 0;
	std::string sends; /* of the latest hop */
	std::string headers;
	uint32_t sends_headers = 0;
	uint64_t deadline_ms = 0;
	std::string more; /* headers of PEER_SERVES */

      private:
	static void on_called(void *context, struct http_call *call)
	{
		((FakePeer *)context)->take(call);
	}
	static void on_left(void *context, struct http_call *call)
	{
		((FakePeer *)context)->left++;
		http_call_end(call);
	}
	void take(struct http_call *call)
	{
		const char *header = message_header(call->request, HOP_SENDS);

		GString *all = g_string_new(nullptr);

		message_copy_headers(call->request, nullptr, all);
		headers = all->str;
		g_string_free(all, TRUE);
		asked++;
		sends = header ? header : "none";
		sends_headers = message_count_headers(call->request, HOP_SENDS);
		deadline_ms = g_ascii_strtoull(
			message_header(call->request, "Lilacfield-Deadline-Ms"),
			nullptr, 10);
		answer(call);
	}
	void answer(struct http_call *call)
	{
		switch (answer_) {
		case PEER_SERVES:
			http_call_answer(call, 200,
					 ("Lilacfield-Response-Seal: s\r\n"
					  "Hop-Room: 5\r\n" +
					  more)
						 .c_str(),
					 "served", 6);
			break;
		case PEER_FAILS:
			http_call_answer(call, 500,
					 "Lilacfield-Response-Seal: f\r\n"
					 "Hop-Room: 5\r\n",
					 "failed", 6);
			break;
		case PEER_CANT:
			http_call_answer(call, 503,
					 "Hop-Room: 0\r\nHop-Not-Run: peer\r\n"
					 "Retry-After: 0.5\r\n",
					 "", 0);
			break;
		case PEER_REFUSES:
			http_call_answer(call, 503,
					 "Hop-Room: 5\r\n"
					 "Hop-Not-Run: servers\r\n"
					 "Retry-After: 7.5\r\n",
					 "", 0);
			break;
		case PEER_REFUSES_FOREVER:
			http_call_answer(call, 503,
					 "Hop-Room: 5\r\n"
					 "Hop-Not-Run: servers\r\n"
					 "Retry-After: inf\r\n",
					 "", 0);
			break;
		case PEER_IS_OLD:
			http_call_answer(call, 404, "", "", 0);
			break;
		case PEER_RESETS:
			http_call_close(call, true);
			break;
		case PEER_SILENT:
			break;
		}
	}
	static constexpr struct http_stand_events events = { on_called,
							     on_left };
	enum peer_answer answer_;
	struct http_stand *stand_;
};

constexpr struct http_stand_events FakePeer::events;

class HopWorld : public EdgeWorld
{
      protected:
	void SetUp() override
	{
		EdgeWorld::SetUp();
		timeout = "600ms";
	}
	void TearDown() override
	{
		peers_.clear();
		if (reach_)
			reach_watch_close(reach_);
		EdgeWorld::TearDown();
		g_free(reach_);
	}
	void start()
	{
		put_routes(2);
		start_node();
		reach_ = reach_watch_open(edge);
	}
	/* Its only server refuses connections. */
	void start_partitioned()
	{
		App &app = add_app("i-1");

		start();
		app_stand_close(app.stand);
		app.stand = nullptr;
		EXPECT_EQ(503, status_of(answer_to(
				       get("first", "/r/", caller_headers))));
		ASSERT_TRUE(reach_watch_is_partitioned(edge));
	}
	struct member *add_member(const char *name, const struct endpoint &at,
				  const char *region = "r1")
	{
		struct member *member = member_table_put(edge->members, name);

		g_free(member->region);
		member->region = g_strdup(region);
		member->peer = at;
		member_note_heartbeat(member, 1, false, edge_now_us(edge));
		return member;
	}
	FakePeer &add_peer(enum peer_answer answer, const char *region = "r1")
	{
		std::string name = "peer" + std::to_string(peers_.size());

		peers_.push_back(std::make_unique<FakePeer>(&loop, answer));
		add_member(name.c_str(), peers_.back()->at(), region);
		return *peers_.back();
	}
	/* A hop as another node sends it. */
	std::string hop_to(const std::string &bytes)
	{
		RawCaller caller(&loop, at(peers));

		caller.send(bytes);
		wait_for([&] { return is_whole(caller); }, bytes.c_str());
		return caller.got;
	}
	std::string caller_headers; /* of the first caller */
	std::vector<std::unique_ptr<FakePeer>> peers_;
	struct reach_watch *reach_ = nullptr;
};

struct hop_case {
	const char *name;
	std::vector<enum peer_answer> peers; /* all may be asked, in any order
					      */
	const char *path; /* "/r/" is idempotent, "/o/" is not */
	std::set<int> statuses;
	uint32_t most_asked;
	const char *header; /* that the answer must have; NULL: none */
};

const hop_case hop_cases[] = {
	{ "Serves", { PEER_SERVES }, "/r/", { 200 }, 1, "-Seal: s\r\n" },
	{ "ServesOnce", { PEER_SERVES }, "/o/", { 200 }, 1, "-Seal: s\r\n" },
	{ "FailsAtAServer", { PEER_FAILS }, "/r/", { 500 }, 1, "-Seal: f\r\n" },
	{ "NoPeer", {}, "/r/", { 503 }, 0, "Retry-After: " },
	{ "RefusedByServers",
	  { PEER_REFUSES, PEER_REFUSES },
	  "/r/",
	  { 503 },
	  1,
	  "Retry-After: 7.500\r\n" },
	{ "RefusedWithoutATime",
	  { PEER_REFUSES_FOREVER },
	  "/r/",
	  { 503 },
	  1,
	  "Retry-After: 0.500\r\n" },
	{ "NoPeerCan",
	  { PEER_CANT, PEER_CANT, PEER_CANT },
	  "/o/",
	  { 503 },
	  2,
	  "Retry-After: 0.500\r\n" },
	{ "AnotherCan", { PEER_CANT, PEER_SERVES }, "/o/", { 200 }, 2, nullptr },
	{ "AnotherIsNewer",
	  { PEER_IS_OLD, PEER_SERVES },
	  "/o/",
	  { 200 },
	  2,
	  nullptr },
	{ "AllAreOld",
	  { PEER_IS_OLD, PEER_IS_OLD },
	  "/r/",
	  { 503 },
	  2,
	  "Retry-After: " },
	{ "BreaksIdempotent",
	  { PEER_RESETS, PEER_RESETS },
	  "/r/",
	  { 504 },
	  1,
	  nullptr },
	{ "BreaksOnce",
	  { PEER_RESETS, PEER_RESETS },
	  "/o/",
	  { 504 },
	  1,
	  nullptr },
	{ "Silent", { PEER_SILENT }, "/o/", { 504 }, 1, nullptr },
};

class HopTest : public HopWorld, public ::testing::WithParamInterface<hop_case>
{
};

TEST_P(HopTest, GetsATrueAnswer)
{
	const hop_case &c = GetParam();
	uint32_t asked = 0;

	start_partitioned();
	for (enum peer_answer peer : c.peers)
		add_peer(peer);
	std::string answer = answer_to(get("a1", c.path));

	EXPECT_EQ(1u, c.statuses.count(status_of(answer))) << answer;
	for (const auto &peer : peers_)
		asked += peer->asked;
	EXPECT_GE(c.most_asked, asked);
	if (c.header) {
		EXPECT_NE(std::string::npos, answer.find(c.header)) << answer;
	}
	EXPECT_EQ(std::string::npos, answer.find("Hop-")) << answer;
	EXPECT_EQ(0u, edge->exchanges);
}

INSTANTIATE_TEST_SUITE_P(Cases, HopTest, ::testing::ValuesIn(hop_cases),
			 [](const auto &info) { return info.param.name; });

class HopSenderTest : public HopWorld
{
};

TEST_F(HopSenderTest, TheTimeLeftAndTheSendsGoAlong)
{
	start_partitioned();
	FakePeer &peer = add_peer(PEER_SERVES);

	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/",
					       "Lilacfield-Deadline-Ms: 400\r\n"
					       "Hop-Sends: 9\r\n"))));
	EXPECT_EQ("0", peer.sends) << "not the caller's own header";
	EXPECT_EQ(1u, peer.sends_headers);
	EXPECT_GE(400u, peer.deadline_ms);
	EXPECT_LT(200u, peer.deadline_ms);
}

TEST_F(HopSenderTest, ConnectionsToPeersAreKept)
{
	start_partitioned();
	FakePeer &peer = add_peer(PEER_SERVES);

	for (const char *id : { "a1", "a2", "a3" })
		EXPECT_EQ(200, status_of(answer_to(get(id, "/r/"))));
	EXPECT_EQ(3u, peer.asked);
	EXPECT_EQ(1u, edge->pool.open_count);
}

/* Guards against requests to a server that said to a peer that it leaves. */
TEST_F(HopSenderTest, ServerThatAPeerNamesAsLeavingIsLeaving)
{
	start_partitioned();
	FakePeer &peer = add_peer(PEER_SERVES);
	struct backend *server = backend_table_find(edge->backends, "i-1");

	peer.more = "Hop-Leaving: ,zz,ffffffffffffffffffff\r\n";
	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/"))));
	EXPECT_FALSE(server->said_leaving);
	char *named =
		g_strdup_printf("Hop-Leaving: 1,%08x\r\n", server->incarnation);
	peer.more = named;
	g_free(named);
	std::string answer = answer_to(get("a2", "/r/"));
	EXPECT_EQ(200, status_of(answer));
	EXPECT_EQ(std::string::npos, answer.find("Hop-")) << answer;
	EXPECT_TRUE(server->said_leaving);
}

TEST_F(HopSenderTest, NoBodyLeavesTheRegionsOfItsRoute)
{
	extra_routes = ",\"home\":{\"host\":\"h.example\",\"prefix\":\"/h/\","
		       "\"kind\":\"idempotent\",\"timeout\":\"600ms\","
		       "\"target_latency\":\"600ms\",\"priority\":2,"
		       "\"service\":\"s\",\"max_attempts\":2,\"sticky\":true,"
		       "\"allowed_regions\":[\"r1\"]}";
	start_partitioned();
	FakePeer &far = add_peer(PEER_SERVES, "r2");

	EXPECT_EQ(503, status_of(answer_to(get("a1", "/h/"))));
	EXPECT_EQ(0u, far.asked);
	EXPECT_EQ(200, status_of(answer_to(get("a2", "/r/"))));
	FakePeer &near = add_peer(PEER_SERVES, "r1");

	EXPECT_EQ(200, status_of(answer_to(get("a3", "/h/"))));
	EXPECT_EQ(1u, near.asked);
}

TEST_F(HopSenderTest, PartitionedAndLeavingPeersAreNotAsked)
{
	start_partitioned();
	FakePeer &partitioned = add_peer(PEER_SERVES);
	FakePeer &leaving = add_peer(PEER_SERVES);

	member_table_find(edge->members, "peer0")->partitioned = true;
	member_table_find(edge->members, "peer1")->leaving = true;
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/"))));
	EXPECT_EQ(0u, partitioned.asked + leaving.asked);
}

/* The server would go on with the request for nobody. */
TEST_F(HopSenderTest, ACallerThatLeavesEndsTheHop)
{
	start_partitioned();
	FakePeer &peer = add_peer(PEER_SILENT);
	auto caller = call(get("a1", "/r/"));

	wait_for([&] { return peer.asked == 1; });
	caller->leave();
	wait_for([&] { return peer.left == 1; });
	EXPECT_EQ(0u, edge->exchanges);
}

/* Guards against peers that run a hop after its caller has got 504. */
TEST_F(HopSenderTest, AHopThatTimedOutNeverReachesThePeerWhole)
{
	UnreadServer peer;
	bool accepted = false;

	start_partitioned();
	add_member("peer", endpoint_at(peer.port));
	auto caller = call(post("a1", "/o/", UnreadServer::LARGE_BYTES));
	wait_for([&] { return accepted |= peer.accept_next(); }, "hop");
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(504, status_of(caller->got));
	run_for(20);
	peer.read_to_end();
	EXPECT_LT(peer.got.size(), UnreadServer::LARGE_BYTES);
}

TEST_F(HopSenderTest, APeerThatFailedIsLeftAloneForAWhile)
{
	start_partitioned();
	FakePeer &broken = add_peer(PEER_RESETS);

	EXPECT_EQ(504, status_of(answer_to(get("a1", "/o/"))));
	EXPECT_EQ(503, status_of(answer_to(get("a2", "/o/"))));
	EXPECT_EQ(1u, broken.asked);
}

/* Servers come back: the node uses its own way without a peer's word. */
TEST_F(HopSenderTest, TheOwnWayIsUsedAgainOnceServersAccept)
{
	start_partitioned();
	FakePeer &peer = add_peer(PEER_SERVES);

	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/"))));
	add_app("i-2");
	add_app("i-3");
	wait_for([this] { return !reach_watch_is_partitioned(edge); });
	EXPECT_EQ(200, status_of(answer_to(get("a2", "/r/"))));
	EXPECT_EQ(1u, peer.asked);
	EXPECT_EQ(1u, runs_of("a2"));
}

struct broken_peer_case {
	const char *name;
	const char *answer;
	bool by_reset; /* how the peer ends the connection */
	int status;
};

#define PEER_HEAD "Lilacfield-Response-Seal: s\r\nHop-Room: 5\r\n"

const broken_peer_case broken_peer_cases[] = {
	{ "Status000", "HTTP/1.1 000 OK\r\n" PEER_HEAD "\r\nserved", false,
	  504 },
	{ "NameWithBlank",
	  "HTTP/1.1 200 OK\r\n" PEER_HEAD "X Name: y\r\n\r\nserved", false,
	  504 },
	{ "ResetWithoutLength", "HTTP/1.1 200 OK\r\n" PEER_HEAD "\r\nserved",
	  true, 504 },
	{ "EndWithoutLength", "HTTP/1.1 200 OK\r\n" PEER_HEAD "\r\nserved",
	  false, 200 },
};

class BrokenPeerTest : public HopWorld,
		       public ::testing::WithParamInterface<broken_peer_case>
{
};

/* Guards against a peer's bytes that are no answer and reach a caller. */
TEST_P(BrokenPeerTest, NeverReachesTheCaller)
{
	const broken_peer_case &c = GetParam();
	UnreadServer peer;

	start_partitioned();
	add_member("peer0", endpoint_at(peer.port));
	auto caller = call(get("a1", "/o/"));
	wait_for([&] { return peer.take_head(); });
	peer.write_answer(c.answer);
	peer.end(c.by_reset);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(c.status, status_of(caller->got)) << caller->got;
	EXPECT_EQ(c.status == 200,
		  caller->got.find("served") != std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Cases, BrokenPeerTest,
			 ::testing::ValuesIn(broken_peer_cases),
			 [](const auto &info) { return info.param.name; });

class HopReceiverTest : public HopWorld
{
      protected:
	void start_with_sender()
	{
		start();
		add_member("sender", endpoint_at(1));
	}
};

TEST_F(HopReceiverTest, AHopRunsLikeACallersRequest)
{
	add_app("i-1");
	start_with_sender();
	std::string answer = hop_to(get("a1", "/r/", "Hop-Sends: 0\r\n"));

	EXPECT_EQ(200, status_of(answer));
	EXPECT_EQ("a1 by i-1 run 1", body_of(answer));
	EXPECT_NE(std::string::npos, answer.find("Hop-Room: 127\r\n"));
	EXPECT_EQ(std::string::npos, answer.find("Hop-Not-Run"));
	EXPECT_EQ(0u, edge->hops_taken);
}

/* Guards against a sender that doesn't learn which server leaves. */
TEST_F(HopReceiverTest, ServersThatSayTheyLeaveAreNamed)
{
	App &leaving = add_app("i-1");

	start_with_sender();
	app_stand_set_headers(leaving.stand, "Server-Leaving: 1\r\n"
					     "Hop-Leaving: 00000001\r\n");
	char *named = g_strdup_printf(
		"Hop-Leaving: %08x\r\n",
		backend_table_find(edge->backends, "i-1")->incarnation);
	std::string answer = hop_to(get("a1", "/r/", "Hop-Sends: 0\r\n"));
	EXPECT_NE(std::string::npos, answer.find(named)) << answer;
	EXPECT_EQ(std::string::npos, answer.find("00000001")) << answer;
	g_free(named);
}

/* What a caller may not ask at the front, it can't ask at the peers' port. */
TEST_F(HopReceiverTest, OnlyNodesMayHandRequestsOver)
{
	add_app("i-1");
	start();
	EXPECT_EQ(403, status_of(hop_to(get("a1", "/r/", "Hop-Sends: 0\r\n"))));
	EXPECT_EQ(0u, runs_of("a1"));
}

TEST_F(HopReceiverTest, ACallersHeaderOfThisNameMeansNothingAtTheFront)
{
	add_app("i-1");
	start_with_sender();
	std::string answer = answer_to(get("a1", "/r/", "Hop-Sends: 7\r\n"));

	EXPECT_EQ(200, status_of(answer));
	EXPECT_EQ(std::string::npos, answer.find("Hop-Room"));
}

struct refused_case {
	const char *name;
	const char *request_line;
	const char *headers;
	int status;
	const char *not_run;
};

const refused_case refused_cases[] = {
	{ "NoAttemptLeft", "GET /r/",
	  "Host: h.example\r\nLilacfield-Attempt-Id: a1\r\nHop-Sends: 2\r\n",
	  503, "Hop-Not-Run: servers\r\n" },
	{ "NoRoute", "GET /nowhere/",
	  "Host: h.example\r\nLilacfield-Attempt-Id: a1\r\nHop-Sends: 0\r\n",
	  404, "Hop-Not-Run: peer\r\n" },
	{ "NoId", "GET /r/", "Host: h.example\r\nHop-Sends: 0\r\n", 400,
	  "Hop-Not-Run: servers\r\n" },
	{ "NoHost", "GET /r/", "Lilacfield-Attempt-Id: a1\r\nHop-Sends: 0\r\n",
	  400, "" },
	{ "Malformed", "GET\t/r/", "Hop-Sends: 0\r\n", 400, "" },
};

class HopRefusedTest : public HopWorld,
		       public ::testing::WithParamInterface<refused_case>
{
};

TEST_P(HopRefusedTest, IsAnsweredAndNotRun)
{
	const refused_case &c = GetParam();

	add_app("i-1");
	start();
	add_member("sender", endpoint_at(1));
	std::string answer = hop_to(std::string(c.request_line) +
				    " HTTP/1.1\r\n" + c.headers + "\r\n");

	EXPECT_EQ(c.status, status_of(answer)) << answer;
	EXPECT_NE(std::string::npos, answer.find(c.not_run)) << answer;
	EXPECT_EQ(0u, runs_of("a1"));
	EXPECT_EQ(0u, edge->exchanges);
}

INSTANTIATE_TEST_SUITE_P(Cases, HopRefusedTest,
			 ::testing::ValuesIn(refused_cases),
			 [](const auto &info) { return info.param.name; });

TEST_F(HopReceiverTest, WithoutAServerItSaysThatNoneCan)
{
	start_with_sender();
	std::string answer = hop_to(get("a1", "/r/", "Hop-Sends: 0\r\n"));

	EXPECT_EQ(503, status_of(answer));
	EXPECT_NE(std::string::npos, answer.find("Hop-Not-Run: servers\r\n"));
}

/* Two nodes that both lost their servers would hand a request back and forth.
 */
TEST_F(HopReceiverTest, AHopIsNeverHandedOn)
{
	start_partitioned();
	FakePeer &peer = add_peer(PEER_SERVES);
	std::string answer = hop_to(get("a1", "/r/", "Hop-Sends: 0\r\n"));

	EXPECT_EQ(503, status_of(answer));
	EXPECT_NE(std::string::npos, answer.find("Hop-Not-Run: peer\r\n"));
	EXPECT_EQ(0u, peer.asked);
}

/* The header of a hop must not make a request too large that the front took. */
TEST_F(HopReceiverTest, TheLargestHeadFitsWithAHopsHeader)
{
	add_app("i-1");
	max_header_bytes = "1000";
	start_with_sender();
	std::string head = get("a1", "/r/");
	std::string padding(990 - head.size() - 7, 'x');

	EXPECT_EQ(200, status_of(answer_to(
			       get("a1", "/r/", "Pad: " + padding + "\r\n"))));
	EXPECT_EQ(200, status_of(hop_to(get("a2", "/r/",
					    "Pad: " + padding +
						    "\r\n"
						    "Hop-Sends: 0\r\n"))));
	EXPECT_EQ(431, status_of(hop_to(get("a3", "/r/",
					    "Pad: " + padding + padding +
						    "\r\n"
						    "Hop-Sends: 0\r\n"))));
}

/* It may have run: nothing says otherwise. */
TEST_F(HopReceiverTest, ABrokenRunIsNoRefusal)
{
	app_stand_set_fault(add_app("i-1").stand, APP_CRASH);
	start_with_sender();
	std::string answer =
		hop_to(get("a1", "/o/", "Hop-Sends: 0\r\n", "POST"));

	EXPECT_EQ(502, status_of(answer));
	EXPECT_EQ(std::string::npos, answer.find("Hop-Not-Run"));
	EXPECT_EQ(1u, runs_of("a1"));
}

TEST_F(HopReceiverTest, BeyondItsRoomItRefusesAtOnce)
{
	add_app("i-1");
	start_with_sender();
	edge->hops_taken = HOPS_MAX_TAKEN;
	std::string answer = hop_to(get("a1", "/r/", "Hop-Sends: 0\r\n"));

	edge->hops_taken = 0;
	EXPECT_EQ(503, status_of(answer));
	EXPECT_NE(std::string::npos, answer.find("Hop-Room: 0\r\n"));
	EXPECT_NE(std::string::npos, answer.find("Hop-Not-Run: peer\r\n"));
	EXPECT_EQ(0u, runs_of("a1"));
}

TEST_F(HopReceiverTest, ASenderThatLeavesCancelsTheRun)
{
	App &app = add_app("i-1", 5000);

	timeout = "9000ms";
	start_with_sender();
	RawCaller sender(&loop, at(peers));

	sender.send(get("a1", "/r/", "Hop-Sends: 0\r\n"));
	wait_for([&] { return app_stand_running(app.stand) == 1; });
	sender.leave();
	wait_for([&] { return app_stand_cancelled(app.stand) == 1; });
	EXPECT_EQ(0u, edge->exchanges);
}

/* A node that stops waits for requests that peers have handed over. */
TEST_F(HopReceiverTest, AStopWaitsForHops)
{
	add_app("i-1", 300);
	start_with_sender();
	RawCaller sender(&loop, at(peers));

	sender.send(get("a1", "/r/", "Hop-Sends: 0\r\n"));
	wait_for([this] { return edge->hops_taken == 1; });
	begin_stop();
	callers_close_idle(edge);
	EXPECT_TRUE(callers_are_waiting(edge));
	wait_for([&] { return is_whole(sender); });
	EXPECT_EQ(200, status_of(sender.got));
	EXPECT_NE(std::string::npos, sender.got.find("Connection: close"));
}

class HopAccountTest : public HopWorld
{
      protected:
	void SetUp() override
	{
		HopWorld::SetUp();
		extra_fields = ",\"tenants\":{\"acme\":{\"api_keys\":"
			       "[\"apjsujqurtyiikdrbn4r\"]},"
			       "\"big  buyer\":{\"api_keys\":[\"k2\"]}}";
		caller_headers = "X-Api-Key: apjsujqurtyiikdrbn4r\r\n";
	}
};

/* Guards against a key that goes to a peer, or an account that doesn't. */
TEST_F(HopAccountTest, PeerGetsTheNameInPlaceOfTheKey)
{
	FakePeer *peer;

	start_partitioned();
	peer = &add_peer(PEER_SERVES);
	EXPECT_EQ(200,
		  status_of(answer_to(get("q1", "/r/",
					  "X-Api-Key: apjsujqurtyiikdrbn4r\r\n"
					  "Hop-Account: zeta\r\n"))));
	EXPECT_NE(std::string::npos,
		  peer->headers.find("Hop-Account: acme\r\n"));
	EXPECT_EQ(std::string::npos, peer->headers.find("zeta"));
	EXPECT_EQ(std::string::npos,
		  peer->headers.find("apjsujqurtyiikdrbn4r"));
	EXPECT_EQ(401, status_of(answer_to(get("q2", "/r/"))));
}

struct hop_account_case {
	const char *name;
	const char *headers;
	int status;
	const char *account; /* that the server is told; NULL: it doesn't run */
};

const hop_account_case hop_account_cases[] = {
	{ "Known", "Hop-Account: acme\r\n", 200, "acme" },
	{ "WithSpaces", "Hop-Account: big  buyer\r\n", 200, "big  buyer" },
	{ "Unknown", "Hop-Account: zeta\r\n", 503, nullptr },
	{ "None", "", 503, nullptr },
	{ "KeyInstead", "X-Api-Key: apjsujqurtyiikdrbn4r\r\n", 503, nullptr },
};

class HopAccountCaseTest
    : public HopAccountTest,
      public ::testing::WithParamInterface<hop_account_case>
{
};

TEST_P(HopAccountCaseTest, PeerRunsItForTheAccountNamed)
{
	const hop_account_case &it = GetParam();
	App &app = add_app("i-1");
	std::string headers;

	start();
	add_member("peer", endpoint_at(1));
	EXPECT_EQ(it.status,
		  status_of(hop_to(
			  get("q1", "/r/",
			      std::string("Hop-Sends: 0\r\n") + it.headers))));
	headers = app_stand_last_headers(app.stand);
	EXPECT_EQ(it.account ? 1u : 0u, app_stand_total_runs(app.stand));
	EXPECT_EQ(it.account != nullptr,
		  headers.find(std::string("Lilacfield-Tenant: ") +
			       (it.account ? it.account : "")) !=
			  std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Cases, HopAccountCaseTest,
			 ::testing::ValuesIn(hop_account_cases),
			 [](const auto &info) { return info.param.name; });

} // namespace
