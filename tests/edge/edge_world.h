/*
 * edge_world - a node, the platform's store and backend servers on one event
 * loop, in this process
 *
 * The loop runs only while a test waits for something, so nothing changes
 * between a test's statements.
 */
#ifndef TESTS_EDGE_WORLD_H
#define TESTS_EDGE_WORLD_H

#include <csignal>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <uv.h>

#include "adapters/clock_system.h"
#include "adapters/log.h"
#include "adapters/metrics.h"
#include "edge/caller.h"
#include "edge/crash_watch.h"
#include "edge/edge.h"
#include "edge/gossip.h"
#include "edge/sync.h"
#include "platform/dialect.h"
#include "platform/store.h"
#include "standins/app_stand.h"
#include "standins/store_stand.h"

/* A caller that writes bytes and stores the answer's bytes. */
class RawCaller
{
      public:
	RawCaller(uv_loop_t *loop, const struct endpoint &to) : loop_(loop)
	{
		struct sockaddr_in address;

		client_ = new Client;
		client_->owner = this;
		uv_ip4_addr(to.address, to.port, &address);
		uv_tcp_init(loop, &client_->tcp);
		client_->tcp.data = client_;
		client_->connect.data = client_;
		uv_tcp_connect(&client_->connect, &client_->tcp,
			       (const struct sockaddr *)&address, on_connected);
	}
	~RawCaller()
	{
		leave();
	}
	void send(const std::string &bytes)
	{
		if (connected)
			write(bytes);
		else
			waiting_ += bytes;
	}
	/* Close the connection, as a caller that gives up does. */
	void leave()
	{
		if (!client_)
			return;
		client_->owner = nullptr;
		uv_close((uv_handle_t *)&client_->tcp, on_closed);
		client_ = nullptr;
	}
	/* Stop reading from the socket, as a slow caller does. */
	void pause()
	{
		uv_read_stop((uv_stream_t *)&client_->tcp);
	}
	void resume()
	{
		uv_read_start((uv_stream_t *)&client_->tcp, on_buffer, on_read);
	}
	std::string got;
	bool connected = false;
	bool ended = false;
	bool broken = false; /* a write failed: the connection was reset */

      private:
	struct Client {
		uv_tcp_t tcp;
		uv_connect_t connect;
		RawCaller *owner;
		char buffer[4096];
	};
	struct Write {
		uv_write_t request;
		std::string bytes;
	};
	static void on_closed(uv_handle_t *handle)
	{
		delete (Client *)handle->data;
	}
	static void on_connected(uv_connect_t *request, int status)
	{
		auto *client = (Client *)request->data;

		if (!client->owner)
			return;
		if (status) {
			client->owner->ended = true;
			return;
		}
		client->owner->connected = true;
		uv_read_start((uv_stream_t *)&client->tcp, on_buffer, on_read);
		if (!client->owner->waiting_.empty())
			client->owner->write(client->owner->waiting_);
	}
	static void on_buffer(uv_handle_t *handle, size_t, uv_buf_t *buffer)
	{
		auto *client = (Client *)handle->data;

		*buffer = uv_buf_init(client->buffer, sizeof(client->buffer));
	}
	static void on_read(uv_stream_t *stream, ssize_t count,
			    const uv_buf_t *buffer)
	{
		auto *client = (Client *)stream->data;

		if (!client->owner)
			return;
		if (count > 0)
			client->owner->got.append(buffer->base, (size_t)count);
		else if (count < 0)
			client->owner->ended = true;
	}
	static void on_written(uv_write_t *request, int status)
	{
		auto *write = (Write *)request->data;
		auto *client = (Client *)request->handle->data;

		if (status && client->owner)
			client->owner->broken = true;
		delete write;
	}
	void write(const std::string &bytes)
	{
		auto *write = new Write;
		uv_buf_t buffer;

		write->request.data = write;
		write->bytes = bytes;
		buffer = uv_buf_init(&write->bytes[0],
				     (unsigned)write->bytes.size());
		uv_write(&write->request, (uv_stream_t *)&client_->tcp, &buffer,
			 1, on_written);
	}
	uv_loop_t *loop_;
	Client *client_;
	std::string waiting_;
};

/* As if a bulk route led to the service. */
static inline void set_coordinates(struct edge *edge, const char *service)
{
	((struct service *)route_table_service(edge->routes, service))
		->coordinates = true;
}

class EdgeWorld : public ::testing::Test
{
      protected:
	struct App {
		struct app_stand *stand;
		std::string id;
		std::string service;
		std::string domain;
	};

	void SetUp() override
	{
		struct endpoint any = endpoint_at(0);

		/* As in the program: such writes return an error instead. */
		signal(SIGPIPE, SIG_IGN);
		ASSERT_TRUE(log_open("n1", "/dev/null", LOG_DEBUG, nullptr));
		metrics_open();
		uv_loop_init(&loop);
		store = store_stand_open(&loop, &any);
		put_routes(1);
	}
	void TearDown() override
	{
		stop_node();
		for (App &app : apps)
			if (app.stand)
				app_stand_close(app.stand);
		if (store)
			store_stand_close(store);
		if (wakeup_timer_runs_)
			uv_close((uv_handle_t *)&wakeup_timer_, nullptr);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
		g_free(sync);
		g_free(crashes);
		g_free(gossip);
		if (edge)
			release_edge();
		metrics_close();
	}

	/* Run the loop until the condition holds; fails after 20 s. */
	void wait_for(const std::function<bool()> &condition,
		      const char *what = "condition")
	{
		uint64_t end_ns = uv_hrtime() + 20ull * 1000000000;

		start_wakeup_timer();
		while (!condition() && uv_hrtime() < end_ns)
			uv_run(&loop, UV_RUN_ONCE);
		EXPECT_TRUE(condition()) << what;
	}
	void run_for(uint64_t ms)
	{
		uint64_t end_ns = uv_hrtime() + ms * 1000000;

		start_wakeup_timer();
		while (uv_hrtime() < end_ns)
			uv_run(&loop, UV_RUN_ONCE);
	}

	static struct endpoint endpoint_at(uint16_t port)
	{
		struct endpoint endpoint = {};

		g_strlcpy(endpoint.address, "127.0.0.1",
			  sizeof(endpoint.address));
		endpoint.port = port;
		return endpoint;
	}

	/* Values in the configuration that put_routes() writes. */
	std::string timeout = "2000ms";
	std::string idle_timeout = "15000ms";
	std::string max_header_bytes = "16384";
	std::string max_body_bytes = "1048576";
	std::string extra_routes;
	std::string extra_fields; /* of the document itself */
	void put_routes(int version)
	{
		std::string text =
			"{\"version\":" + std::to_string(version) +
			",\"routes\":{"
			"\"read\":{\"host\":\"h.example\",\"prefix\":\"/r/\","
			"\"kind\":\"idempotent\",\"timeout\":\"" +
			timeout +
			"\",\"target_latency\":\"600ms\",\"priority\":2,"
			"\"service\":\"s\",\"max_attempts\":2,\"sticky\":true,"
			"\"allowed_regions\":[]},"
			"\"once\":{\"host\":\"h.example\",\"prefix\":\"/o/\","
			"\"kind\":\"non_idempotent\",\"timeout\":\"" +
			timeout +
			"\",\"target_latency\":\"600ms\",\"priority\":1,"
			"\"service\":\"s\",\"max_attempts\":2,\"sticky\":true,"
			"\"allowed_regions\":[]}" +
			extra_routes +
			"},\"services\":{\"s\":{\"max_conns\":300,"
			"\"warmup\":\"3s\",\"cold_per_s\":5.6},"
			"\"t\":{\"max_conns\":300,\"warmup\":\"3s\","
			"\"cold_per_s\":5.6}},"
			"\"limits\":{\"max_header_bytes\":" +
			max_header_bytes +
			",\"max_body_bytes\":" + max_body_bytes +
			","
			"\"header_timeout\":\"3000ms\","
			"\"idle_timeout\":\"" +
			idle_timeout + "\"}" + extra_fields + "}";

		store_stand_put(store, "op", "config", text.c_str());
	}

	uint32_t answer_bytes = 0; /* minimum size of servers' answers */
	uint64_t held_bytes = 0; /* setting of the node; 0: unlimited */

	/* A route for extra_routes, to the service "t". */
	static constexpr const char *ROUTE_TO_T =
		",\"other\":{\"host\":\"h.example\",\"prefix\":\"/t/\","
		"\"kind\":\"idempotent\",\"timeout\":\"2000ms\","
		"\"target_latency\":\"600ms\",\"priority\":2,"
		"\"service\":\"t\",\"max_attempts\":2,"
		"\"allowed_regions\":[]}";
	/* Routes for extra_routes, with the prefixes /n0/, /n1/ ... */
	static std::string numbered_routes(int count)
	{
		std::string text;

		for (int i = 0; i < count; i++)
			text += ",\"n" + std::to_string(i) +
				"\":{\"host\":\"h.example\",\"prefix\":\"/n" +
				std::to_string(i) +
				"/\",\"kind\":\"idempotent\","
				"\"timeout\":\"2000ms\","
				"\"target_latency\":\"600ms\","
				"\"priority\":2,\"service\":\"s\","
				"\"max_attempts\":2,\"sticky\":true,"
				"\"allowed_regions\":[]}";
		return text;
	}

	/* Start a backend server and write its row into the store. */
	App &add_app(const std::string &id, uint64_t work_ms = 20,
		     const std::string &service = "s",
		     const std::string &domain = "d1", uint32_t slots = 4)
	{
		struct app_settings settings = {};
		struct endpoint any = endpoint_at(0);

		settings.id = id.c_str();
		settings.slots = slots;
		settings.queue = 4;
		settings.work_us = work_ms * 1000;
		settings.warm_part = 0.3;
		settings.objects = 10;
		settings.answer_bytes = answer_bytes;
		apps.push_back({ app_stand_open(&loop, &any, &settings), id,
				 service, domain });
		list_app(apps.back(), "ready");
		return apps.back();
	}
	void list_app(const App &app, const std::string &state,
		      const std::string &cold_left = "0ms", int seq = 1,
		      const std::string &more = "")
	{
		std::string text =
			"{\"service\":\"" + app.service + "\",\"addr\":\"" +
			"127.0.0.1:" +
			std::to_string(app_stand_at(app.stand)->port) +
			"\",\"zone\":\"" + app.domain +
			"\",\"version\":\"v1\",\"slots\":4,\"state\":\"" +
			state + "\",\"cold_left\":\"" + cold_left +
			"\",\"seq\":" + std::to_string(seq) + more + "}";

		store_stand_put(store, "servers", app.id.c_str(), text.c_str());
	}

	/* Write the row of a server of service "s" in domain "d1". */
	void list_at(const std::string &id, const struct endpoint &at)
	{
		std::string text =
			"{\"service\":\"s\",\"addr\":\"127.0.0.1:" +
			std::to_string(at.port) +
			"\",\"zone\":\"d1\",\"version\":\"v1\",\"slots\":4,"
			"\"state\":\"ready\",\"cold_left\":\"0ms\",\"seq\":1}";

		store_stand_put(store, "servers", id.c_str(), text.c_str());
	}

	/* The list has another server at its address. */
	void list_as(const App &app, const std::string &id)
	{
		App listed = app;

		store_stand_put(store, "servers", app.id.c_str(), nullptr);
		listed.id = id;
		list_app(listed, "ready");
	}

	void start_node(bool wait_ready = true)
	{
		GError *error = nullptr;
		struct endpoint any = endpoint_at(0);

		edge = new struct edge();
		settings = {};
		g_strlcpy(settings.name, "n1", sizeof(settings.name));
		g_strlcpy(settings.domain, "d1", sizeof(settings.domain));
		g_strlcpy(settings.region, "r1", sizeof(settings.region));
		settings.registry = *store_stand_at(store);
		settings.front = endpoint_at(1);
		settings.extra_requests = { 0.2, 50, 10000000 };
		settings.min_nodes_assumed = 1;
		settings.link_mbps = 10;
		settings.leave_within_us = 2500000;
		settings.config_within_us = 2500000;
		settings.lookup_keep_us = 1000000;
		settings.member_expiry_us = 600 * 1000000ull;
		settings.max_stop_us = 6000000;
		settings.held_bytes = held_bytes;
		settings.regions = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		for (const char *domain : { "d1", "d2" })
			g_hash_table_insert(settings.regions, g_strdup(domain),
					    g_strdup("r1"));
		g_hash_table_insert(settings.regions, g_strdup("d3"),
				    g_strdup("r2"));
		edge_init(edge, &loop, clock_system(), platform_dialect(),
			  platform_store(), &settings);
		stats_init(&edge->stats);
		ASSERT_TRUE(listener_open(&front, edge, LISTENER_FRONT, &any,
					  &error));
		ASSERT_TRUE(listener_open(&ready, edge, LISTENER_READINESS,
					  &any, &error));
		ASSERT_TRUE(listener_open(&lookup, edge, LISTENER_LOOKUP, &any,
					  &error));
		ASSERT_TRUE(listener_open(&peers, edge, LISTENER_PEERS, &any,
					  &error));
		sync = sync_open(edge);
		crashes = crash_watch_open(edge);
		uv_timer_init(&loop, &sweeper);
		sweeper.data = edge;
		uv_timer_start(&sweeper, on_sweep, 50, 50);
		node_runs = true;
		if (wait_ready)
			wait_for([this] { return edge_is_ready(edge); },
				 "the node is ready");
	}

	/* Add a peer that is the region's reader of the platform's tables. */
	void add_reader()
	{
		struct member *reader =
			member_table_put(edge->members, "reader");

		g_free(reader->region);
		reader->region = g_strdup("r1");
		reader->hash = 0;
		reader->link_mbps = edge->members->self->link_mbps;
	}

	struct endpoint at(const struct listener &listener)
	{
		struct sockaddr_in address;
		int length = sizeof(address);

		uv_tcp_getsockname(&listener.tcp, (struct sockaddr *)&address,
				   &length);
		return endpoint_at(ntohs(address.sin_port));
	}
	std::unique_ptr<RawCaller> call(const std::string &bytes)
	{
		auto caller = std::make_unique<RawCaller>(&loop, at(front));

		caller->send(bytes);
		return caller;
	}
	static std::string get(const std::string &id, const std::string &path,
			       const std::string &more = "",
			       const std::string &method = "GET")
	{
		return method + " " + path +
		       " HTTP/1.1\r\nHost: h.example\r\n"
		       "Lilacfield-Attempt-Id: " +
		       id + "\r\nLilacfield-Affinity-Key: 7\r\n" + more +
		       "\r\n";
	}
	static std::string post(const std::string &id, const std::string &path,
				size_t body_bytes, const std::string &more = "")
	{
		return get(id, path,
			   more + "Content-Length: " +
				   std::to_string(body_bytes) + "\r\n",
			   "POST") +
		       std::string(body_bytes, 'x');
	}
	/* The head of a server's success, with more lines. */
	static std::string head_for(const std::string &id,
				    const std::string &more)
	{
		return "HTTP/1.1 200 OK\r\nLilacfield-Attempt-Id: " + id +
		       "\r\nLilacfield-Response-Seal: s\r\n" + more + "\r\n";
	}
	/* Send, wait for the complete answer, and return it. */
	std::string answer_to(const std::string &bytes)
	{
		auto caller = call(bytes);

		wait_for([&] { return is_whole(*caller); }, bytes.c_str());
		return caller->got;
	}
	static bool is_whole(const RawCaller &caller)
	{
		size_t head = caller.got.find("\r\n\r\n");
		size_t at = caller.got.find("Content-Length: ");

		if (caller.ended)
			return true;
		if (head == std::string::npos || at == std::string::npos ||
		    at > head)
			return false;
		return caller.got.size() >=
		       head + 4 + std::stoul(caller.got.substr(at + 16));
	}
	static int status_of(const std::string &answer)
	{
		return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
	}
	static std::string body_of(const std::string &answer)
	{
		size_t head = answer.find("\r\n\r\n");

		return head == std::string::npos ? "" : answer.substr(head + 4);
	}

	/* How often the request ran, at all servers that haven't ended. */
	uint32_t runs_of(const std::string &id)
	{
		uint32_t runs = 0;

		for (const App &app : apps)
			if (app.stand)
				runs += app_stand_runs(app.stand, id.c_str());
		return runs;
	}
	/* As a signal that comes after_us from now, or came before. */
	void begin_stop(int64_t after_us = 0)
	{
		stop_plan_begin(&edge->stop,
				edge_now_us(edge) + (uint64_t)after_us,
				settings.lookup_keep_us, settings.max_stop_us);
	}
	void stop_node()
	{
		if (!node_runs)
			return;
		node_runs = false;
		listener_close(&front);
		listener_close(&ready);
		listener_close(&lookup);
		listener_close(&peers);
		sync_close(sync);
		crash_watch_close(crashes);
		if (gossip)
			gossip_close(gossip);
		uv_close((uv_handle_t *)&sweeper, nullptr);
		pool_drop_idle(&edge->pool);
		callers_close_all(edge);
	}

	uv_loop_t loop;
	struct store_stand *store = nullptr;
	struct edge *edge = nullptr;
	struct edge_settings settings;
	struct listener front = {};
	struct listener ready = {};
	struct listener lookup = {};
	struct listener peers = {};
	struct sync *sync = nullptr;
	struct crash_watch *crashes = nullptr;
	struct gossip *gossip = nullptr;
	std::deque<App> apps; /* a deque: references stay valid */
	bool node_runs = false;

      private:
	static void on_sweep(uv_timer_t *timer)
	{
		auto *edge = (struct edge *)timer->data;

		backend_table_expire(edge->backends, edge_now_us(edge));
		callers_sweep(edge);
		pool_sweep(&edge->pool, edge->backends);
	}
	/* Wakes the loop every 5 ms, so that UV_RUN_ONCE returns. */
	void start_wakeup_timer()
	{
		if (wakeup_timer_runs_)
			return;
		wakeup_timer_runs_ = true;
		uv_timer_init(&loop, &wakeup_timer_);
		uv_timer_start(
			&wakeup_timer_, [](uv_timer_t *) {}, 5, 5);
		uv_unref((uv_handle_t *)&wakeup_timer_);
	}
	void release_edge()
	{
		edge_release(edge);
		edge_settings_release(&settings);
		delete edge;
	}
	uv_timer_t sweeper;
	uv_timer_t wakeup_timer_;
	bool wakeup_timer_runs_ = false;
};

#endif
