/*
 * temp_file - a file of a test, gone with it
 */
#ifndef TESTS_ADAPTERS_TEMP_FILE_H
#define TESTS_ADAPTERS_TEMP_FILE_H

#include <fstream>
#include <sstream>
#include <stdlib.h>
#include <string>
#include <unistd.h>

class temp_file
{
      public:
	explicit temp_file(const std::string &text = "")
	{
		char name[] = "/tmp/lilacfield-test-XXXXXX";
		int fd = mkstemp(name);

		path = name;
		if (fd >= 0)
			close(fd);
		std::ofstream(path) << text;
	}
	~temp_file()
	{
		unlink(path.c_str());
	}
	temp_file(const temp_file &) = delete;
	temp_file &operator=(const temp_file &) = delete;

	std::string text() const
	{
		std::ostringstream text;

		text << std::ifstream(path).rdbuf();
		return text.str();
	}

	std::string path;
};

#endif
