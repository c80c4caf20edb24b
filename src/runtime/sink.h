#pragma once

#include "runtime/mailbox.h"

#include <functional>
#include <utility>

namespace burdockshelf
{

/// Handle for sending one message type to a task. The sender does not depend on the other message types of the receiver. A task passes
/// sinks for its own mailbox to the tasks that reply to it.
template<typename Message>
class sink
{
public:
    sink() = default;

    explicit sink(std::function<post_result(Message &&)> post)
        : m_post(std::move(post))
    {
    }

    [[nodiscard]] post_result post(Message message) const
    {
        return m_post ? m_post(std::move(message)) : post_result::closed;
    }

    bool isValid() const
    {
        return m_post != nullptr;
    }

private:
    std::function<post_result(Message &&)> m_post;
};

/// Creates a sink for one alternative of the variant that the receiving task accepts.
template<typename Message, typename Variant>
sink<Message> makeSink(address<Variant> to)
{
    return sink<Message>([to = std::move(to)](Message &&message) { return to.post(Variant(std::move(message))); });
}

} // namespace burdockshelf
