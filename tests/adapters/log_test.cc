#include "adapters/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <vector>

#include "adapters/temp_file.h"
#include "core/result.h"

namespace
{

const char line_head[] = "ts_us=[0-9]+ level=";

void expect_line(const std::string &text, const std::string &pattern)
{
	std::string whole = std::string("\\A") + line_head + pattern + "\\z";

	EXPECT_TRUE(g_regex_match_simple(whole.c_str(), text.c_str(),
					 (GRegexCompileFlags)0,
					 (GRegexMatchFlags)0))
		<< text;
}

} // namespace

TEST(Log, EventIsOneLine)
{
	temp_file file;

	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_INFO, NULL));
	log_event(LOG_INFO, "config-in-force", "version=%d", 7);
	log_close();
	expect_line(file.text(),
		    "info node=n1 event=config-in-force version=7\n");
}

TEST(Log, LevelsAboveTheMostAreLeftOut)
{
	temp_file file;

	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_WARNING, NULL));
	log_event(LOG_INFO, "a", "b=1");
	log_event(LOG_DEBUG, "a", "b=2");
	log_event(LOG_WARNING, "a", "b=3");
	log_event(LOG_ERROR, "a", "b=4");
	log_close();
	expect_line(file.text(), "warning node=n1 event=a b=3\nts_us=[0-9]+ "
				 "level=error node=n1 event=a b=4\n");
}

/*
 * A caller sends a request id with a newline and a whole line of log after it.
 * The operator who reads the log would see an event that never was; cause: text
 * from outside taken into the line as it is.
 */
TEST(Log, CallersTextMakesNoLineOfItsOwn)
{
	temp_file file;

	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_INFO, NULL));
	log_event(LOG_INFO, "refused", "id=%s",
		  "x\" b=1\nts_us=1 level=error node=n1 event=forged");
	log_close();
	expect_line(file.text(),
		    "info node=n1 event=refused "
		    "id=\"x\\\\\" b=1\\\\nts_us=1 level=error node=n1 "
		    "event=forged\"\n");
}

TEST(Log, MessagesOfLibrariesAreLinesToo)
{
	temp_file file;

	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_INFO, NULL));
	g_log("lib", G_LOG_LEVEL_WARNING, "two\nlines");
	log_close();
	expect_line(file.text(), "warning node=n1 event=library "
				 "message=\"two\\\\nlines\"\n");
}

TEST(Log, LineIsBounded)
{
	temp_file file;
	const std::string value(500, '\n');

	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_INFO, NULL));
	log_event(LOG_INFO, "a", "b=%s c=%s d=%s e=%s", value.c_str(),
		  value.c_str(), value.c_str(), value.c_str());
	log_close();
	EXPECT_LE(file.text().size(), 2048u);
	EXPECT_EQ(file.text().size() - 11, file.text().find(" cut=true\n") - 1);
	EXPECT_EQ(file.text().size() - 1, file.text().find('\n'));
}

TEST(Log, UnwritablePathIsAnError)
{
	GError *error = NULL;

	EXPECT_FALSE(log_open("n1", "/nonexistent/log", LOG_INFO, &error));
	EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_SYSTEM));
	g_clear_error(&error);
}

TEST(Log, ThreadsDoNotMixTheirLines)
{
	temp_file file;
	std::vector<std::thread> threads;
	std::string line;
	int count = 0;

	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_INFO, NULL));
	for (int t = 0; t < 4; t++)
		threads.emplace_back([t]() {
			for (int i = 0; i < 200; i++)
				log_event(LOG_INFO, "a", "t=%d i=%d", t, i);
		});
	for (std::thread &thread : threads)
		thread.join();
	log_close();
	std::istringstream lines(file.text());
	while (std::getline(lines, line)) {
		expect_line(line, "info node=n1 event=a t=[0-3] i=[0-9]+");
		count++;
	}
	EXPECT_EQ(800, count);
}

/*
 * The log is a pipe whose reader has stopped. Requests would hang one by one as
 * each logs a line; cause: a write to a full pipe waits for the reader. Lines
 * are dropped instead, and counted once the pipe takes lines again.
 */
TEST(Log, FullPipeBlocksNobody)
{
	temp_file file;
	char buffer[65536];
	std::string text;
	ssize_t size;
	int reader;

	unlink(file.path.c_str());
	ASSERT_EQ(0, mkfifo(file.path.c_str(), 0600));
	reader = open(file.path.c_str(), O_RDONLY | O_NONBLOCK);
	ASSERT_TRUE(log_open("n1", file.path.c_str(), LOG_INFO, NULL));
	for (int i = 0; i < 2000; i++)
		log_event(LOG_INFO, "a", "i=%d", i);
	while ((size = read(reader, buffer, sizeof(buffer))) > 0)
		text.append(buffer, (size_t)size);
	EXPECT_NE(std::string::npos, text.find("event=a i=0\n"));
	EXPECT_EQ(std::string::npos, text.find("event=a i=1999\n"));
	log_event(LOG_INFO, "after", "i=0");
	size = read(reader, buffer, sizeof(buffer));
	ASSERT_GT(size, 0);
	expect_line(std::string(buffer, (size_t)size),
		    "info node=n1 lost_lines=[0-9]+ event=after i=0\n");
	log_close();
	close(reader);
}
