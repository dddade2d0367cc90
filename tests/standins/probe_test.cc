#include <thread>

#include "node/loops.h"
#include "standins/fake_backend.h"
#include "standins/standin_fixture.h"
/* After the stand-ins: its fakes are for this program's node alone. */
#include "node/fakes.h"

#define PROBED_PORT 7102
#define INTERVAL_US 10000
#define NEVER_US 20000000

/* One place with one node, and one backend server at the endpoint. */
static std::string document_of(const struct standin_endpoint &endpoint)
{
	return std::string(R"({
"services": [{"name": "historia", "class": "interactive",
              "timeout_us": 2000000}],
"places": [{"name": "central-1", "region": "central"}],
"nodes": [{"name": "n1", "place": "central-1", "address": "127.1.1.1",
           "http_port": 8080, "peer_port": 8081}],
"backends": [{"name": "h1", "service": "historia", "place": "central-1",
              "slots": 7, "address": ")") +
	       endpoint.address + R"(", "port": )" +
	       std::to_string(endpoint.port) + "}]}";
}

class Probe : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct fake_backend_spec spec = {};

		g_strlcpy(spec.name, "h1", sizeof(spec.name));
		spec.endpoint = test_endpoint(PROBED_PORT);
		spec.slots = 7;
		spec.threads = 4;
		spec.strength_permille = 1000;
		book = run_book_new();
		log = event_log_open(nullptr, nullptr);
		backend = fake_backend_open(&spec, book, log, nullptr);
		ASSERT_NE(nullptr, backend);
		fake.settings.poll_interval_us = INTERVAL_US;
		fake.settings.report_interval_us = INTERVAL_US;
		fake.settings.probe_interval_us = INTERVAL_US;
		ASSERT_TRUE(fake.apply(1, document_of(spec.endpoint).c_str()));
		loops = loops_open(fake.node);
	}
	void TearDown() override
	{
		loops_close(loops);
		fake_backend_close(backend);
		event_log_close(log);
		run_book_free(book);
	}
	void set(const char *faults)
	{
		json_t *root = json_loads(faults, 0, nullptr);

		EXPECT_TRUE(fake_backend_control(backend, root, nullptr));
		json_decref(root);
	}
	struct gate_backend_view view()
	{
		struct service *service = (struct service *)g_hash_table_lookup(
			fake.node->services, "historia");
		struct gate_backend_view view = {};

		pthread_mutex_lock(&service->gate_lock);
		gate_view(service->gate, 0, state_now_us(fake.node), &view);
		pthread_mutex_unlock(&service->gate_lock);
		return view;
	}
	/* False where it didn't come for so long that it never will. */
	bool comes(bool leaving, uint32_t reported_in_flight)
	{
		uint64_t end_us = event_now_us() + NEVER_US;

		while (event_now_us() < end_us) {
			struct gate_backend_view now = view();

			if (now.report_age_us != UINT64_MAX &&
			    now.leaving == leaving &&
			    now.reported_in_flight == reported_in_flight)
				return true;
			std::this_thread::yield();
		}
		return false;
	}

	struct fake_node fake;
	struct loops *loops = nullptr;
	struct run_book *book;
	struct event_log *log;
	struct fake_backend *backend = nullptr;
};

struct load_case {
	const char *faults;
	bool leaving;
	uint32_t in_flight;
};

/*
 * A backend server says that it is leaving and goes on getting work for as long
 * as it is up. The probe had its report in hand, but looked at a number in it
 * after the JSON was released, took it for malformed and dropped it.
 */
TEST_F(Probe, GateLearnsWhatTheBackendServerSays)
{
	const struct load_case cases[] = {
		{ "{}", false, 0 },
		{ "{\"leaving\":true}", true, 0 },
		{ "{\"claimed_load\":5}", true, 5 },
		{ "{\"leaving\":false}", false, 5 },
	};

	for (const load_case &c : cases) {
		set(c.faults);
		ASSERT_TRUE(comes(c.leaving, c.in_flight)) << c.faults;
	}
	EXPECT_EQ(0u, run_book_ids(book, ""));
}
