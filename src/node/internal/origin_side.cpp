#include "node/internal/origin_side.h"

#include "base/overloaded.h"
#include "node/internal/attempt_event.h"
#include "node/peer_methods.h"
#include "request/key_codec.h"

#include <boost/json/array.hpp>

namespace mustardtrail::node
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t groupSeedOffset = 1; ///< Keeps the random numbers of groups apart from those of requests.

std::chrono::milliseconds timeFor(token_count tokens, double tokensPerSecond)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(tokens) / tokensPerSecond * 1000));
}

std::optional<time_point> earlierOf(std::optional<time_point> left, std::optional<time_point> right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    return std::min(*left, *right);
}

} // namespace

origin_side::origin_side(const entry_options &options, owner_side &owner)
    : m_options(options)
    , m_owner(owner)
    , m_core(options.requests,
          options.self,
          options.seed,
          [this](const placement::work_item &work,
              const std::vector<backend_server_id> &backends,
              const std::vector<instance_id> &instances,
              time_point now) {
              return chooseOwner(work, backends, instances, now);
          })
    , m_keys(options.keys, options.self)
    , m_groups(
          options.groups,
          [this](const backend_server_id &backend) {
              return freeTokens(backend);
          },
          random_source(options.seed + groupSeedOffset))
{
}

std::optional<endpoint> origin_side::addressOf(const instance_id &instance) const
{
    if (!m_view) {
        return std::nullopt;
    }
    const auto found = m_view->peers.find(instance);
    return found == m_view->peers.end() ? std::nullopt : std::optional(found->second.requests);
}

endpoint origin_side::backendAddress(const backend_server_id &backend) const
{
    const auto found = m_view->config->backendServers.find(backend);
    return found == m_view->config->backendServers.end() ? endpoint{} : found->second.address;
}

bool origin_side::needsGroup(const placement::work_item &work) const
{
    if (!m_view || !m_view->config || work.model.empty()) {
        return false;
    }
    token_count largest = 0;
    for (const auto &[id, server] : m_view->config->backendServers) {
        const bool serves = std::find(server.models.begin(), server.models.end(), work.model) != server.models.end();
        largest = std::max(largest, serves ? server.memoryTokens : 0);
    }
    return largest > 0 && work.promptTokens + work.maxNewTokens > largest;
}

std::optional<token_count> origin_side::freeTokens(const backend_server_id &backend) const
{
    const auto server = m_view->config->backendServers.find(backend);
    const auto assignment = m_view->backends.find(backend);
    if (server == m_view->config->backendServers.end() || assignment == m_view->backends.end()) {
        return std::nullopt;
    }
    const token_count configured = server->second.memoryTokens;
    if (assignment->second.owner == m_options.self) {
        return m_owner.freeTokens(backend).value_or(configured);
    }
    const auto summary = m_summaries.find(assignment->second.owner);
    if (summary == m_summaries.end()) {
        return configured;
    }
    token_count largest = 0;
    for (const auto &[key, pool] : summary->second) {
        largest = std::max(largest, pool.freeTokens);
    }
    return std::min(configured, largest);
}

// A group is run by the instance that the caller reached: it holds the prompt that the segments are cut from.
result<instance_id> origin_side::chooseOwner(const placement::work_item &work,
    const std::vector<backend_server_id> &backends,
    const std::vector<instance_id> &instances,
    time_point now)
{
    if (needsGroup(work)) {
        return m_options.self;
    }
    // Else the own engines would look slower than those of owners whose load came with an answer.
    m_router.onSummary(m_owner.loadFor(work, now), now);
    const auto route = m_router.pick(work, { instances, backends }, now);
    if (!route) {
        return tl::unexpected(route.error());
    }
    return route->target;
}

void origin_side::onView(std::shared_ptr<const membership::fleet_view> view, time_point now, entry_actions &out)
{
    m_view = std::move(view);
    m_router.onView(m_view, now);
    m_keys.onView(m_view);
    sendKeys(m_keys.handOverToNewHomes(now), out);
    carryOut(m_core.onView(m_view, now), now, out);
    carryOut(m_groups.handle(group::view_changed{ m_view }, now), now, out);
}

void origin_side::onSummary(const placement::owner_summary &summary, time_point now)
{
    m_router.onSummary(summary, now);
    auto &known = m_summaries[summary.owner];
    for (const placement::pool_summary &pool : summary.pools) {
        known.insert_or_assign(pool.pool, pool);
    }
}

void origin_side::onRequest(const request::request_event &event, time_point now, entry_actions &out)
{
    carryOut(m_core.handle(event, now), now, out);
}

void origin_side::carryOut(const std::vector<request::request_action> &actions, time_point now, entry_actions &out)
{
    for (const request::request_action &action : actions) {
        std::visit(overloaded{
                       [&](const request::relay_output &item) {
                           out.push_back(item);
                       },
                       [&](const request::complete_request &item) {
                           out.push_back(item);
                       },
                       [&](const request::fail_request &item) {
                           out.push_back(item);
                       },
                       [&](const auto &item) {
                           carryOut(item, now, out);
                       },
                   },
            action);
    }
}

void origin_side::carryOut(const request::start_attempt &action, time_point now, entry_actions &out)
{
    if (needsGroup(action.work)) {
        m_groupRequests[action.work.attempt] = { action.work.request, action.deliveredTokens, action.deliveredText };
        group::start_group start;
        start.work = action.work;
        // Without a report the expectation is none, and the group starts while any time is left.
        if (const auto rates = m_owner.ratesFor(action.work.model)) {
            start.expectedPrefill = timeFor(action.work.promptTokens, rates->prefillTokensPerSecond);
            start.expectedDecode = timeFor(action.work.maxNewTokens, rates->decodeTokensPerSecond);
        }
        carryOut(m_groups.handle(start, now), now, out);
        return;
    }
    const hop_attempt attempt{ action.work, m_options.self, action.excluded, action.deliveredTokens, action.deliveredText, std::nullopt };
    handOver(attempt, action.target, now, out);
}

void origin_side::handOver(const hop_attempt &attempt, const instance_id &target, time_point now, entry_actions &out)
{
    if (target == m_options.self) {
        m_owner.admit(attempt, true, now, out);
        return;
    }
    const auto to = addressOf(target);
    if (!to) {
        const error failure{ error_code::peer_connect_failed, verdict::not_run, "instance=" + target.str(), {} };
        onAttempt(request::attempt_failed{ attempt.work.attempt, failure, {} }, now, out);
        return;
    }
    m_hops.insert(attempt.work.attempt);
    out.push_back(forward_attempt{ attempt, *to, attempt.work.request });
}

void origin_side::stopAttempt(const attempt_id &attempt, time_point now, entry_actions &out)
{
    if (m_hops.erase(attempt) > 0) {
        out.push_back(close_hop{ attempt });
        return;
    }
    m_owner.abandon(attempt, now, out);
}

void origin_side::carryOut(const request::cancel_attempt &action, time_point now, entry_actions &out)
{
    if (m_groupRequests.erase(action.attempt) > 0) {
        carryOut(m_groups.handle(group::cancel_group{ action.attempt }, now), now, out);
        return;
    }
    stopAttempt(action.attempt, now, out);
}

void origin_side::onAttempt(const attempt_event &event, time_point now, entry_actions &out)
{
    const bool isLast = std::holds_alternative<request::attempt_finished>(event) || std::holds_alternative<request::attempt_failed>(event);
    if (isLast) {
        m_hops.erase(attemptOf(event));
    }
    if (m_groupRuns.contains(attemptOf(event))) {
        onGroupAttempt(event, now, out);
        return;
    }
    carryOut(m_core.handle(asRequestEvent(event), now), now, out);
}

void origin_side::carryOut(const request::send_key_claim &action, time_point now, entry_actions &out)
{
    if (action.home == m_options.self) {
        carryOut(m_core.handle(m_keys.claim(action.claim, now), now), now, out);
        return;
    }
    const auto answered = [this, action](const result<json::value> &answer, time_point at) {
        const auto reply
            = answer ? request::keyClaimReplyFromJson(*answer) : result<request::key_claim_reply>(tl::unexpected(answer.error()));
        if (reply) {
            carryOut(m_core.handle(*reply, at), at, *m_out);
        } else {
            carryOut(m_core.handle(request::key_claim_failed{ action.claim.request, action.home, reply.error() }, at), at, *m_out);
        }
    };
    const auto to = addressOf(action.home).value_or(endpoint{});
    m_calls.call(to, std::string(peer_method::claimKey), request::toJson(action.claim), m_options.peerTimeout, answered, out);
}

void origin_side::carryOut(const request::send_key_outcome &action, time_point now, entry_actions &out)
{
    if (action.home == m_options.self) {
        m_keys.recordOutcome(action.outcome, now);
        return;
    }
    const auto to = addressOf(action.home).value_or(endpoint{});
    out.push_back(call_peer{ 0, to, std::string(peer_method::endKey), request::toJson(action.outcome), m_options.peerTimeout });
}

result<json::value> origin_side::onKeyCall(const peer_call &call, time_point now)
{
    if (call.method == peer_method::claimKey) {
        const auto claim = request::keyClaimFromJson(call.parameters);
        if (!claim) {
            return tl::unexpected(claim.error());
        }
        return request::toJson(m_keys.claim(*claim, now));
    }
    if (call.method == peer_method::handOverKeys) {
        const auto handover = request::keyHandoverFromJson(call.parameters);
        if (!handover) {
            return tl::unexpected(handover.error());
        }
        m_keys.acceptHandover(*handover, now);
        return json::value(json::object());
    }
    const auto outcome = request::keyOutcomeFromJson(call.parameters);
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    m_keys.recordOutcome(*outcome, now);
    return json::value(json::object());
}

void origin_side::onPeerAnswer(const peer_answered &event, time_point now, entry_actions &out)
{
    m_out = &out;
    m_calls.onAnswer(event.call, event.answer, now);
    m_out = nullptr;
}

void origin_side::beginStop(time_point now, entry_actions &out)
{
    m_core.beginStop(now);
    handOverKeys(now, out);
}

void origin_side::handOverKeys(time_point now, entry_actions &out)
{
    sendKeys(m_keys.handOver(now), out);
}

void origin_side::sendKeys(const std::vector<request::key_handover> &handovers, entry_actions &out)
{
    for (const request::key_handover &handover : handovers) {
        if (const auto to = addressOf(handover.home)) {
            out.push_back(call_peer{ 0, *to, std::string(peer_method::handOverKeys), request::toJson(handover), m_options.peerTimeout });
        }
    }
}

void origin_side::onTick(time_point now, entry_actions &out)
{
    carryOut(m_core.onTick(now), now, out);
    carryOut(m_groups.onTick(now), now, out);
}

std::optional<time_point> origin_side::nextWake() const
{
    return earlierOf(m_core.nextWake(), m_groups.nextWake());
}

size_t origin_side::runningRequests() const
{
    return m_core.runningCount();
}

json::object origin_side::dump(time_point now) const
{
    return {
        { "requests", m_core.dump(now) }, { "router", m_router.dump(now) }, { "keys", m_keys.dump(now) }, { "groups", m_groups.dump(now) }
    };
}

} // namespace mustardtrail::node
