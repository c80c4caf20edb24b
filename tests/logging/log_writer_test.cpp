#include "logging/log_writer_task.h"

#include "runtime/event_loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

std::string readAvailable(int descriptor)
{
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4096];
    for (ssize_t got = read(descriptor, buffer, sizeof(buffer)); got > 0; got = read(descriptor, buffer, sizeof(buffer))) {
        text.append(buffer, static_cast<std::size_t>(got));
    }
    return text;
}

} // namespace

TEST_GROUP(log_writer) {};

// A value with blanks or line ends must not look like further fields or lines.
TEST(log_writer, quotesValues)
{
    const log_line line = log_line("part", "event").add("cause", "a b\n=\"").add("count", 3).add("empty", "");
    STRCMP_EQUAL("part=part event=event cause=\"a b ='\" count=3 empty=\"\"", line.text().c_str());
}

// A reader of the log that stands still must neither block the process nor grow its memory; what is lost must be said.
TEST(log_writer, dropsAndCountsLinesWhileTheReaderStandsStill)
{
    int ends[2] = {};
    LONGS_EQUAL(0, pipe(ends));
    event_loop loop;
    const auto box = std::make_shared<mailbox<log_line>>(loop, 100000);
    {
        log_writer_task writer(loop, box, ends[1]);
        CHECK_TRUE(writer.start().has_value());
        const address<log_line> to(box);
        for (int count = 0; count < 20000; ++count) {
            CHECK(to.post(log_line("test", "line").add("filler", std::string(60, 'x'))) == post_result::delivered);
        }
        loop.runReady();
        std::string text = readAvailable(ends[0]);
        for (int round = 0; round < 200 && text.find("lines_dropped") == std::string::npos; ++round) {
            CHECK(to.post(log_line("test", "later")) == post_result::delivered);
            loop.runReady();
            timer pause(loop, [&loop] { loop.stop(); });
            pause.start(deadline::after(boot_clock::now(), std::chrono::milliseconds(30)));
            loop.run();
            text += readAvailable(ends[0]);
        }
        CHECK(text.find("event=lines_dropped count=") != std::string::npos);
        CHECK(text.size() < 20000u * 60u);
    }
    close(ends[0]);
    close(ends[1]);
}
