/*
 * standin_fixture - one HTTP request to a stand-in of the test's own process
 */
#ifndef STANDINS_STANDIN_FIXTURE_H
#define STANDINS_STANDIN_FIXTURE_H

#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

#include "standins/standin.h"
#include "tools/exchange.h"

/* Tests run as processes at the same time: each has its own address. */
static inline struct standin_endpoint test_endpoint(int port)
{
	struct standin_endpoint endpoint = {};
	unsigned host = (unsigned)getpid() % 65000 + 1;

	g_snprintf(endpoint.address, sizeof(endpoint.address), "127.43.%u.%u",
		   host / 256, host % 256);
	endpoint.port = (uint16_t)port;
	return endpoint;
}

class Asked
{
      public:
	Asked(const struct standin_endpoint &endpoint, const char *method,
	      const char *path, const char *body = nullptr,
	      const char *header = nullptr, uint64_t timeout_us = 5000000)
	{
		std::string url = std::string("http://") + endpoint.address +
				  ":" + std::to_string(endpoint.port) + path;
		struct curl_slist *headers = nullptr;
		struct exchange_request request = {};
		CURL *curl = curl_easy_init();

		if (header)
			headers = curl_slist_append(headers, header);
		request.method = method;
		request.url = url.c_str();
		request.headers = headers;
		request.body = body;
		request.timeout_us = timeout_us;
		request.fresh_connection = true;
		exchange_init(&came);
		exchange_run(&came, curl, &request);
		curl_slist_free_all(headers);
		curl_easy_cleanup(curl);
	}
	~Asked()
	{
		exchange_release(&came);
	}
	Asked(const Asked &) = delete;

	std::string body() const
	{
		return came.body->str;
	}

	struct exchange came;
};

#endif
