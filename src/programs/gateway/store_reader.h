#pragma once

#include "gateway/store_follower.h"
#include "platform/store_reply.h"
#include "programs/gateway/gateway_context.h"

namespace mustardtrail::gateway
{

/// Follows the platform's store for as long as the process runs.
class store_reader
{
public:
    /// Changes are in force within a third of `changeBound` after the store answers.
    store_reader(gateway_context &context, endpoint store, std::chrono::milliseconds changeBound);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<result<http::response_message>> call(http::request_message message, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> ask(store_question question);
    void onPage(const platform::store_reply &reply);
    void onChanges(const platform::store_reply &reply, time_point askedAt);
    void fail(std::string_view what, std::string_view detail);

    gateway_context &m_context;
    endpoint m_store;
    store_follower m_follower;
    std::vector<published_change> m_list; ///< Pages of a list that is being read.
    time_point m_listAskedAt{};
    bool m_wasReachable = false;
};

} // namespace mustardtrail::gateway
