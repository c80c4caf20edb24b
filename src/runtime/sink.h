#pragma once

#include "runtime/mailbox.h"

#include <functional>
#include <utility>

namespace burdockshelf
{

/// The right to send one type of message to a task whose full set of messages the sender does not know. A task hands sinks of its own
/// mailbox to the tasks that answer it.
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

/// A sink of one of the alternatives that the task behind the address receives.
template<typename Message, typename Variant>
sink<Message> makeSink(address<Variant> to)
{
    return sink<Message>([to = std::move(to)](Message &&message) { return to.post(Variant(std::move(message))); });
}

} // namespace burdockshelf
