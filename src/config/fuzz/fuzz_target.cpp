#include "fuzz/fuzz_target.h"

#include "config/config_store.h"
#include "config/parse_configuration.h"
#include "config/update_codec.h"

#include <cstdlib>

namespace mustardtrail::config
{

namespace
{

constexpr time_point start{ std::chrono::hours(1) };

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void applyToStore(const decoded_update &update, update_source source)
{
    if (!update) {
        require(!update.error().empty());
        return;
    }
    config_store store;
    const apply_result result = store.apply(*update, source, start);
    require(result.outcome != apply_outcome::invalid || !result.problems.empty());
    if (result.outcome == apply_outcome::accepted) {
        config_store peer;
        require(peer.apply(store.deltaSince(0, start), update_source::peer, start).outcome == apply_outcome::accepted);
        require(peer.digest() == store.digest());
    }
}

} // namespace

std::vector<config_problem> readAnyText(std::string_view text)
{
    applyToStore(decodeServiceReply(text, 0), update_source::service);
    applyToStore(decodeUpdate(text), update_source::peer);
    const decoded_update file = decodeFile(text);
    if (!file) {
        return file.error();
    }
    const auto parsed = parseConfiguration(file->entries);
    return parsed ? std::vector<config_problem>{} : parsed.error();
}

} // namespace mustardtrail::config
