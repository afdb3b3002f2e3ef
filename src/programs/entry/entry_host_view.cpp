#include "programs/entry/entry_host.h"

#include "base/json_access.h"
#include "config/update_codec.h"
#include "host/rpc_call.h"
#include "host/summary_codec.h"
#include "host/view_codec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

// Follows the view of this instance.

namespace mustardtrail::entry
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{
constexpr milliseconds viewTimeout{ 500 };
}

asio::awaitable<void> entry_host::followView()
{
    asio::steady_timer pause(m_strand);
    boost::system::error_code failure;
    while (!failure) {
        co_await askView();
        pause.expires_after(m_settings.viewInterval);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
}

asio::awaitable<void> entry_host::askView()
{
    const time_point askedAt = m_clock.now();
    const membership::view_question question = m_viewSource.next(*m_view.load(), askedAt);
    json::object parameters = viewParameters(question);
    auto answer = co_await host::callRpc(m_client, question.to, "view_get", std::move(parameters), viewTimeout);
    const bool isGood = answer && answer->is_object() && takeView(answer->get_object(), question, askedAt);
    m_viewSource.noteAnswer(question, isGood, m_clock.now());
    if (!question.lender) {
        m_viewIsOwn = isGood;
    }
}

// A view that is borrowed gets no load of this instance: it would pass it on as its own.
json::object entry_host::viewParameters(const membership::view_question &question) const
{
    json::object parameters;
    parameters["after_revision"] = m_config.revision();
    if (question.lender == m_viewLender) {
        parameters["view_incarnation"] = m_viewIncarnation;
        parameters["view_version"] = m_viewVersion;
    }
    if (question.lender) {
        parameters["borrow"] = true;
        return parameters;
    }
    json::array summaries;
    for (const std::string &summary : m_summaries) {
        summaries.emplace_back(summary);
    }
    parameters["summaries"] = std::move(summaries);
    return parameters;
}

// An answer without a view says that the one in use holds, and when it was confirmed.
std::shared_ptr<const membership::fleet_view> entry_host::viewFrom(
    const json::object &answer, const membership::view_question &question, time_point askedAt)
{
    const std::int64_t confirmedAge = json_access::numberOr(answer, "confirmed_ms", -1);
    if (confirmedAge >= 0) {
        membership::fleet_view renewed = *m_view.load();
        renewed.confirmedAt = askedAt - milliseconds(confirmedAge);
        return std::make_shared<const membership::fleet_view>(std::move(renewed));
    }
    const json::object *message = json_access::objectAt(answer, "view");
    if (message == nullptr) {
        return nullptr;
    }
    auto read = host::viewFromJson(*message, askedAt, m_clock.now());
    if (!read) {
        return nullptr;
    }
    read->config = m_config.inForce();
    if (const auto lender = m_viewSource.lenderOf(question, *m_view.load())) {
        *read = m_viewSource.borrowed(*read, *lender);
    }
    m_viewLender = question.lender;
    m_viewIncarnation = json_access::numberOr(answer, "view_incarnation", -1);
    m_viewVersion = json_access::numberOr(answer, "view_version", -1);
    return std::make_shared<const membership::fleet_view>(std::move(*read));
}

bool entry_host::takeView(const json::object &answer, const membership::view_question &question, time_point askedAt)
{
    if (const std::string update = json_access::textOr(answer, "config"); !update.empty()) {
        const auto decoded = config::decodeUpdate(update);
        if (!decoded) {
            return false;
        }
        m_config.apply(*decoded, config::update_source::peer, m_clock.now());
    }
    const auto view = viewFrom(answer, question, askedAt);
    if (view == nullptr) {
        return false;
    }
    m_view.store(view);
    m_pools.setConfiguration(view->config);
    handle(node::view_received{ view });
    takeSummaries(answer, askedAt);
    return true;
}

void entry_host::takeSummaries(const json::object &answer, time_point askedAt)
{
    const json::array *peers = json_access::arrayAt(answer, "summaries");
    for (const json::value &value : peers != nullptr ? *peers : json::array()) {
        const json::object *peer = value.if_object();
        const json::array *items = peer != nullptr ? json_access::arrayAt(*peer, "items") : nullptr;
        if (items == nullptr) {
            continue;
        }
        std::vector<std::string> texts;
        for (const json::value &item : *items) {
            texts.emplace_back(item.is_string() ? std::string(item.get_string()) : std::string());
        }
        const time_point takenAt = askedAt - milliseconds(json_access::numberOr(*peer, "age_ms", 0));
        handle(node::summary_received{ host::decodeSummary(instance_id(json_access::textOr(*peer, "peer")), texts, m_pools, takenAt) });
    }
}

} // namespace mustardtrail::entry
