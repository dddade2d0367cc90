#include "core/result.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

#define HIGHEST_NUMBER 599

/* Guards against codes that are missing or wrong in docs/RESULTS.md. */
TEST(ResultsPage, HasEachCodeWithNameAndStatus)
{
	std::ifstream file(SOURCE_DIR "/docs/RESULTS.md");
	std::stringstream page;
	int number;

	page << file.rdbuf();
	ASSERT_FALSE(page.str().empty());
	for (number = 1; number <= HIGHEST_NUMBER; number++) {
		enum result code = result_from_number(number);
		std::string row = "\n| " + std::to_string(number) + " | `" +
				  result_name(code) + "` | " +
				  std::to_string(result_http_status(code)) +
				  " | ";

		if ((int)code != number)
			continue;
		EXPECT_NE(std::string::npos, page.str().find(row)) << row;
	}
}
