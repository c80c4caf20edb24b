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

// Guards against values with spaces or line breaks that a log parser would read as additional fields or lines.
TEST(log_writer, quotesValues)
{
    const log_line line = log_line("part", "event").add("cause", "a b\n=\"").add("count", 3).add("empty", "");
    STRCMP_EQUAL("part=part event=event cause=\"a b ='\" count=3 empty=\"\"", line.text().c_str());
}

// Guards against a value from an endpoint or a caller that takes the place of many other lines.
TEST(log_writer, cutsLongValues)
{
    const log_line line = log_line("part", "event").add("id", std::string(60'000, 'x')).add("text", std::string(60'000, ' '));
    CHECK(line.text().size() < 3000);
    CHECK(line.text().find("x... text=\"") != std::string::npos);
}

// Guards against a stalled reader of the log that blocks the process or makes its memory grow, and against lines dropped without a report.
TEST(log_writer, dropsAndCountsLinesWhileTheReaderIsStalled)
{
    int pipeEnds[2] = {};
    LONGS_EQUAL(0, pipe(pipeEnds));
    event_loop loop;
    const auto box = std::make_shared<mailbox<log_line>>(loop, 100000);
    {
        log_writer_task writer(loop, box, pipeEnds[1]);
        CHECK_TRUE(writer.start().has_value());
        const address<log_line> to(box);
        for (int count = 0; count < 20000; ++count) {
            CHECK(to.post(log_line("test", "line").add("filler", std::string(60, 'x'))) == post_result::delivered);
        }
        loop.runReady();
        std::string text = readAvailable(pipeEnds[0]);
        for (int round = 0; round < 200 && text.find("lines_dropped") == std::string::npos; ++round) {
            CHECK(to.post(log_line("test", "later")) == post_result::delivered);
            loop.runReady();
            timer pause(loop, [&loop] { loop.stop(); });
            pause.start(deadline::after(boot_clock::now(), std::chrono::milliseconds(30)));
            loop.run();
            text += readAvailable(pipeEnds[0]);
        }
        CHECK(text.find("event=lines_dropped count=") != std::string::npos);
        CHECK(text.size() < 20000u * 60u);
    }
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}
