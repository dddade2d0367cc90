/* Beats of a node as a neighbour hears them, and what it takes from others. */
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cinttypes>
#include <set>
#include <thread>

#include "core/duration.h"
#include "core/fingerprint.h"
#include "core/hash.h"
#include "edge/beat.h"
#include "edge/edge_world.h"
#include "edge/gossip_parts.h"
#include "edge/quarantine_store.h"
#include "edge/server_limits.h"

namespace
{

/* A neighbour that keeps all beats in the order in which they come. */
class GossipTest : public EdgeWorld
{
      protected:
	void SetUp() override
	{
		EdgeWorld::SetUp();
		socket_ = open_socket(&own_);
	}
	void TearDown() override
	{
		EdgeWorld::TearDown();
		close(socket_);
	}
	/* The node reads for its region; the neighbour is its only other. */
	void start_with_neighbour()
	{
		struct endpoint free_port;
		struct member *neighbour;

		start_node();
		close(open_socket(&free_port));
		edge->settings.peer = free_port;
		neighbour = member_table_put(edge->members, "neighbour");
		neighbour->hash = UINT32_MAX;
		neighbour->peer = own_;
		set_region(neighbour);
		set_region(edge->members->self);
		gossip = gossip_open(edge, nullptr);
		ASSERT_NE(nullptr, gossip);
		gossip_attach(gossip, sync);
		wait_for([this] { return hear(), !beats.empty(); });
		beats.clear();
	}
	void hear()
	{
		char bytes[2 * BEAT_MAX_BYTES];
		struct beat beat;
		ssize_t length;

		while ((length = recv(socket_, bytes, sizeof(bytes),
				      MSG_DONTWAIT)) > 0)
			if (beat_decode(bytes, (size_t)length, &beat))
				beats.push_back(beat);
	}
	void say(const std::string &bytes)
	{
		struct sockaddr_in to = address_of(edge->settings.peer);

		sendto(socket_, bytes.data(), bytes.size(), 0,
		       (struct sockaddr *)&to, sizeof(to));
	}
	void say(const struct beat &beat)
	{
		GBytes *bytes = beat_encode(&beat);
		gsize length;
		const char *data =
			(const char *)g_bytes_get_data(bytes, &length);

		say(std::string(data, length));
		g_bytes_unref(bytes);
	}
	/* The neighbour reads for the region, and knows what the node does. */
	struct beat beat_of_reader()
	{
		struct beat beat = {};

		struct member *neighbour =
			member_table_find(edge->members, "neighbour");

		neighbour->hash = 0;
		neighbour->link_mbps = edge->members->self->link_mbps;
		beat.lives[beat.life_count++] = { 0, 1, false };
		beat.vouch_count = sync_vouches(sync, beat.vouches);
		for (uint32_t i = 0; i < beat.vouch_count; i++)
			beat.vouches[i].age_ms = 0;
		return beat;
	}
	std::set<std::string> told() const
	{
		std::set<std::string> ids;

		for (const struct beat &beat : beats)
			for (uint32_t i = 0; i < beat.row_count; i++)
				ids.insert(beat.rows[i].id);
		return ids;
	}
	std::deque<struct beat> beats;

      private:
	static void set_region(struct member *member)
	{
		g_free(member->region);
		member->region = g_strdup("r1");
	}
	static struct sockaddr_in address_of(const struct endpoint &endpoint)
	{
		struct sockaddr_in address = {};

		uv_ip4_addr(endpoint.address, endpoint.port, &address);
		return address;
	}
	static int open_socket(struct endpoint *at)
	{
		int fd = socket(AF_INET, SOCK_DGRAM, 0);
		struct sockaddr_in address = address_of(endpoint_at(0));
		socklen_t length = sizeof(address);

		bind(fd, (struct sockaddr *)&address, length);
		getsockname(fd, (struct sockaddr *)&address, &length);
		*at = endpoint_at(ntohs(address.sin_port));
		return fd;
	}
	struct endpoint own_;
	int socket_;
};

/*
 * A node is suspended for seconds. When it goes on, the beats that came in the
 * meantime wait in its socket, and say how long before their sending the
 * reader's tables were confirmed. Taken for new, they confirmed routes that had
 * been replaced long ago, and callers of new routes got a final 404.
 */
TEST_F(GossipTest, BeatsThatWaitedForASuspendedNodeConfirmNothing)
{
	const uint64_t stood_ms = 1000;

	start_with_neighbour();
	struct beat beat = beat_of_reader();
	std::this_thread::sleep_for(std::chrono::milliseconds(50));
	say(beat);
	std::this_thread::sleep_for(std::chrono::milliseconds(stood_ms));
	run_for(50);
	EXPECT_GE(sync_routes_age_us(sync), stood_ms * 1000);
	say(beat);
	wait_for([this] { return sync_routes_age_us(sync) < 100000; });
}

/*
 * A server begins to drain. The reader's beat with the new digest came to the
 * region's nodes before the row did, so each of them called the store for what
 * it was about to be told.
 */
TEST_F(GossipTest, ChangesAreToldBeforeTheDigestsThatHaveThem)
{
	add_app("i-1");
	add_app("i-2");
	start_with_neighbour();
	uint64_t before = backend_table_digest(edge->backends);
	list_app(apps[0], "draining");
	wait_for(
		[&] { return backend_table_digest(edge->backends) != before; });
	uint64_t after = backend_table_digest(edge->backends);
	gossip_hurry(gossip);
	wait_for([&] {
		hear();
		for (const struct beat &beat : beats)
			for (uint32_t i = 0; i < beat.vouch_count; i++)
				if (beat.vouches[i].digest == after)
					return true;
		return false;
	});
	bool has_told = false;
	for (const struct beat &beat : beats) {
		has_told |= beat.row_count > 0;
		for (uint32_t i = 0; i < beat.vouch_count; i++)
			EXPECT_TRUE(beat.vouches[i].digest != after ||
				    has_told);
	}
}

/*
 * A failure domain's servers come back together. More changes than one beat
 * holds were told by none, and all nodes read the table for themselves.
 */
TEST_F(GossipTest, ManyChangesAtOnceAreAllTold)
{
	add_app("i-0");
	start_with_neighbour();
	for (int i = 1; i <= 3 * BEAT_MAX_ROWS; i++) {
		App app = apps[0];

		app.id = "i-" + std::to_string(i);
		list_app(app, "ready");
	}
	wait_for([&] { return hear(), told().size() == 3 * BEAT_MAX_ROWS; });
}

/*
 * Another region's node tells three nodes of each region what is warm. One that
 * hears it tells the others at home; of its own region's news it tells nobody,
 * or each pair would go round for ever.
 */
TEST_F(GossipTest, OnlyNewsOfOtherRegionsIsPassedOn)
{
	struct beat beat = {};
	std::set<uint32_t> heard;

	start_with_neighbour();
	struct member *far = member_table_put(edge->members, "far");
	far->hash = 77;
	g_free(far->region);
	far->region = g_strdup("r2");
	beat.lives[beat.life_count++] = { 77, 1, false };
	beat.pairs[beat.pair_count++] = { { 11, 22 }, 0 };
	say(beat);
	beat.lives[0].member = UINT32_MAX;
	beat.pairs[0] = { { 11, 33 }, 0 };
	say(beat);
	wait_for([&] {
		return warmth_has(&edge->warmth, { 11, 22 }) &&
		       warmth_has(&edge->warmth, { 11, 33 });
	});
	run_for(1500);
	hear();
	for (const struct beat &one : beats)
		for (uint32_t i = 0; i < one.pair_count; i++)
			heard.insert(one.pairs[i].pair.object);
	EXPECT_EQ(std::set<uint32_t>{ 22 }, heard);
}

/*
 * An object ran cold at a server. Until the neighbours know, each of them has
 * it run cold once more: they wait for the next beat, or a quarter of that.
 */
TEST_F(GossipTest, NewsDoNotWaitForTheNextBeat)
{
	struct gossip quiet = {};
	int due = 0;

	start_node();
	quiet.edge = edge;
	for (quiet.ticks = 0; quiet.ticks < 40; quiet.ticks++)
		due += gossip_is_due(&quiet);
	EXPECT_EQ(10, due);
	quiet.ticks = 1;
	warmth_note(&edge->warmth, { 1, 2 }, WARM_OWN, edge_now_us(edge));
	EXPECT_TRUE(gossip_is_due(&quiet));
}

/*
 * A neighbour runs a first request for an object. This node must hear of it
 * before the run ends, or it would have the object run cold a second time.
 */
TEST_F(GossipTest, AServerThatIsAboutToBeWarmIsTold)
{
	struct beat beat = {};

	start_with_neighbour();
	warmth_begin(&edge->warmth, { 5, 6 }, WARM_OWN,
		     edge_now_us(edge) + 5 * US_PER_S, edge_now_us(edge));
	/* Its run must have ended; whether it warmed is told apart. */
	warmth_begin(&edge->warmth, { 5, 7 }, WARM_OWN, edge_now_us(edge),
		     edge_now_us(edge));
	wait_for([&] {
		hear();
		for (const struct beat &one : beats)
			for (uint32_t i = 0; i < one.pair_count; i++)
				if (one.pairs[i].pair.object == 6)
					return one.pairs[i].ready_ms > 3000;
		return false;
	});
	for (const struct beat &one : beats)
		for (uint32_t i = 0; i < one.pair_count; i++)
			EXPECT_NE(7u, one.pairs[i].pair.object);
	beat.lives[beat.life_count++] = { UINT32_MAX, 1, false };
	beat.pairs[beat.pair_count++] = { { 11, 22 }, 4000 };
	say(beat);
	wait_for([&] {
		return warmth_ready_us(&edge->warmth, { 11, 22 },
				       edge_now_us(edge)) != 0;
	});
	EXPECT_FALSE(warmth_has(&edge->warmth, { 11, 22 }));
}

/* A start of all: more news than one beat holds go out in the next ones. */
TEST_F(GossipTest, NewsThatDoNotFitGoOutLater)
{
	std::set<uint32_t> heard;

	start_with_neighbour();
	for (uint32_t i = 0; i < 3 * BEAT_MAX_PAIRS; i++)
		warmth_note(&edge->warmth, { 1, i }, WARM_OWN,
			    edge_now_us(edge));
	wait_for([&] {
		hear();
		for (const struct beat &beat : beats)
			for (uint32_t i = 0; i < beat.pair_count; i++)
				heard.insert(beat.pairs[i].pair.object);
		return heard.size() == 3 * BEAT_MAX_PAIRS;
	});
}

/*
 * Thousands of servers start together with a hundred nodes. The reader told
 * each change to each neighbour, its link was full for seconds, and changes
 * that mattered came late. A flood is left to each node's own call.
 */
TEST_F(GossipTest, AFloodOfChangesIsNotTold)
{
	add_app("i-0");
	start_with_neighbour();
	for (int i = 0; i < 100; i++) {
		std::string name = "m" + std::to_string(i);
		struct member *member =
			member_table_put(edge->members, name.c_str());

		g_free(member->region);
		member->region = g_strdup("r1");
		member->peer = endpoint_at(9);
	}
	for (int i = 1; i <= 3 * BEAT_MAX_ROWS; i++) {
		App app = apps[0];

		app.id = "i-" + std::to_string(i);
		list_app(app, "ready");
	}
	wait_for([&] {
		return g_hash_table_size(edge->backends->by_id) ==
		       3 * BEAT_MAX_ROWS + 1;
	});
	run_for(1000);
	hear();
	EXPECT_GE((size_t)BEAT_MAX_ROWS, told().size());
}

/* What the list held when it was first read is no change. */
TEST_F(GossipTest, TheFirstListIsNotTold)
{
	for (int i = 0; i < 5; i++)
		add_app("i-" + std::to_string(i));
	start_with_neighbour();
	gossip_hurry(gossip);
	wait_for([this] { return hear(), !beats.empty(); });
	EXPECT_TRUE(told().empty());
}

/* A node that the list doesn't name is heard: the reader looks for its row. */
TEST_F(GossipTest, AnUnknownNodeMakesTheReaderLook)
{
	struct beat beat = {};

	start_with_neighbour();
	store_stand_put(store, "members", "n9",
			"{\"domain\":\"d1\",\"region\":\"r1\","
			"\"front\":\"127.0.0.9:1\",\"peer\":\"127.0.0.9:2\"}");
	beat.lives[beat.life_count++] = { UINT32_MAX, 1, false };
	beat.lives[beat.life_count++] = { 12345, 1, false };
	wait_for([&] {
		say(beat);
		return member_table_find(edge->members, "n9") != nullptr;
	});
}

/* Spoiled datagrams, and ones of other programs, change nothing. */
TEST_F(GossipTest, BytesThatAreNoBeatChangeNothing)
{
	add_app("i-1");
	start_with_neighbour();
	uint64_t before = backend_table_digest(edge->backends);
	say(std::string("hello"));
	say(std::string(BEAT_MAX_BYTES + 1, 'x'));
	say(std::string(64, '\0'));
	run_for(100);
	EXPECT_EQ(before, backend_table_digest(edge->backends));
	EXPECT_EQ(2u, member_table_count(edge->members));
	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/"))));
}

/* Guards against a node that isn't told giving a deadly request three more. */
TEST_F(GossipTest, AQuarantineIsTakenFromANeighbour)
{
	const struct fingerprint_parts parts = { "GET",	  "h.example", "/r/x",
						 nullptr, nullptr,     0 };
	struct suspect_word word = {};
	struct beat beat = {};

	add_app("i-1");
	start_with_neighbour();
	word.fingerprint = fingerprint_of(&parts);
	word.crash_count = 3;
	for (uint32_t i = 0; i < 3; i++)
		word.crashes[i] = { 100 + i, (i + 1) * US_PER_S, US_PER_MS };
	word.rounds = 1;
	word.left_us = 100 * US_PER_S;
	beat.lives[beat.life_count++] = { UINT32_MAX, 1, false };
	beat.suspects[beat.suspect_count++] = word;
	say(beat);
	wait_for([this] { return edge->suspects->count > 0; });
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/x"))));
	EXPECT_EQ(200, status_of(answer_to(get("a2", "/r/y"))));
	EXPECT_EQ(0u, app_stand_runs(apps[0].stand, "a1"));
}

/* Guards against crashes seen at three nodes being kept by none of them. */
TEST_F(GossipTest, AQuarantineThatAddsUpHereIsKept)
{
	App &app = add_app("i-1");
	struct suspect_word word = {};
	struct beat beat = {};

	app_stand_set_deadly(app.stand, "/r/x");
	start_with_neighbour();
	struct quarantine_store *quarantines = quarantine_store_open(edge);
	quarantine_store_members_known(quarantines);
	wait_for([&] { return !quarantine_store_is_reading(quarantines); });
	answer_to(get("a1", "/r/x"));
	wait_for([this] { return edge->suspects->count > 0; });
	for (uint32_t i = 0; i < SUSPECTS_MOST; i++)
		word.fingerprint =
			MAX(word.fingerprint, edge->suspects->keys[i]);
	word.crash_count = 2;
	for (uint32_t i = 0; i < 2; i++)
		word.crashes[i] = { 100 + i, (i + 1) * US_PER_S, US_PER_MS };
	beat.lives[beat.life_count++] = { UINT32_MAX, 1, false };
	beat.suspects[beat.suspect_count++] = word;
	say(beat);
	char key[17];
	snprintf(key, sizeof(key), "%016" PRIx64, word.fingerprint);
	wait_for([&] { return store_stand_get(store, "quarantines", key); });
	quarantine_store_close(quarantines);
	run_for(20);
	g_free(quarantines);
}

/* Guards against a node that has just started knowing no quarantine. */
TEST_F(GossipTest, ANodeThatStartsIsToldOfQuarantines)
{
	struct beat beat = {};

	add_app("i-1");
	start_with_neighbour();
	ASSERT_TRUE(suspect_quarantine(edge->suspects, 7, edge_now_us(edge)));
	beat.lives[beat.life_count++] = { UINT32_MAX, 1, true };
	beats.clear();
	say(beat);
	wait_for([this] {
		return hear(), !beats.empty() && beats.back().suspect_count;
	});
	EXPECT_EQ(7u, beats.back().suspects[0].fingerprint);
}

/* Guards against neighbours that hear too late of a server that ended. */
TEST_F(GossipTest, AServersEndUnderARequestIsToldAtOnce)
{
	App &app = add_app("i-1");

	app_stand_set_deadly(app.stand, "/r/x");
	start_with_neighbour();
	answer_to(get("a1", "/r/x"));
	wait_for([this] {
		return hear(), !beats.empty() && beats.back().suspect_count;
	});
	EXPECT_EQ(1u, beats.back().suspects[0].crash_count);
	EXPECT_GT(100 * US_PER_MS, beats.back().suspects[0].crashes[0].age_us);
}

/* A node that is no sender of a server's rate, and a neighbour that is one. */
class TokenTest : public GossipTest
{
      protected:
	void start_beside_sender()
	{
		struct member *neighbour;

		app = &add_app("i-1");
		app_stand_set_headers(app->stand, "Server-Limit: 1\r\n");
		start_with_neighbour();
		edge->began_us = 0;
		neighbour = member_table_find(edge->members, "neighbour");
		backend = backend_table_find(edge->backends, "i-1");
		neighbour->hash = hash_before(0);
		put_dead_sender(hash_before(neighbour->hash + 1));
		member_heard(neighbour, 1, false, edge_now_us(edge));
		const struct rate_word word = { backend->life, 1, 0 };
		ASSERT_TRUE(server_limits_apply_update(edge, &word));
		ASSERT_DOUBLE_EQ(0, backend->limit.part_per_s);
	}
	/* The node's question for a token reaches the neighbour. */
	bool was_asked()
	{
		hear();
		for (const struct beat &beat : beats)
			if (beat.token_count && beat.tokens[0].asked)
				return beat.tokens[0].life == backend->life;
		return false;
	}
	void answer(uint32_t lent)
	{
		struct beat beat = {};
		struct member *neighbour =
			member_table_find(edge->members, "neighbour");

		beat.lives[beat.life_count++] = { neighbour->hash, ++number,
						  false };
		beat.tokens[beat.token_count++] = { backend->life, 0, lent,
						    100 };
		say(beat);
	}
	App *app;
	struct backend *backend;
	uint64_t number = 1;

      private:
	/* One that comes before the node itself for this server. */
	uint32_t hash_before(uint32_t from)
	{
		uint64_t own =
			hash_pair(edge->members->self->hash, backend->hash);

		while (hash_pair(from, backend->hash) <= own)
			from++;
		return from;
	}
	void put_dead_sender(uint32_t hash)
	{
		struct member *dead = member_table_put(edge->members, "dead");

		g_free(dead->region);
		dead->region = g_strdup("r1");
		dead->hash = hash;
	}
};

TEST_F(TokenTest, ARequestRunsWithABorrowedToken)
{
	start_beside_sender();
	auto caller = call(get("a1", "/r/"));
	wait_for([this] { return was_asked(); });
	answer(true);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
	EXPECT_EQ(1u, app_stand_runs(app->stand, "a1"));
}

TEST_F(TokenTest, WithoutATokenItIsRefusedAtOnce)
{
	start_beside_sender();
	auto caller = call(get("a1", "/r/"));
	wait_for([this] { return was_asked(); });
	answer(false);
	uint64_t began = uv_hrtime();
	wait_for([&] { return is_whole(*caller); });
	EXPECT_LT((uv_hrtime() - began) / 1000000, 100u);
	EXPECT_EQ(503, status_of(caller->got));
	EXPECT_EQ(0u, app_stand_total_runs(app->stand));
}

/* Tokens that nobody was asked for, or that come twice, let nothing through. */
TEST_F(TokenTest, ATokenThatWasNotAskedForCountsNothing)
{
	start_beside_sender();
	for (int i = 0; i < 5; i++)
		answer(true);
	run_for(50);
	EXPECT_FALSE(rate_limit_allows(&backend->limit, edge_now_us(edge)));
	auto caller = call(get("a1", "/r/"));
	wait_for([this] { return was_asked(); });
	answer(true);
	answer(true);
	wait_for([&] { return is_whole(*caller); });
	run_for(20);
	EXPECT_FALSE(rate_limit_allows(&backend->limit, edge_now_us(edge)));
}

} // namespace
