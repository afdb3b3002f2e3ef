#include "config/internal/preview_changes.h"

#include "config/duration_text.h"
#include "config/internal/backend_server_changes.h"
#include "config/internal/capacity.h"
#include "config/internal/change_list.h"
#include "config/internal/concat.h"
#include "config/internal/map_difference.h"

#include <set>

namespace mustardtrail::config
{

namespace
{

const char *yesOrNo(bool value)
{
    return value ? "true" : "false";
}

void addDataCentres(const configuration &before, const configuration &after, change_list &changes)
{
    forEachDifference(
        before.dataCentres, after.dataCentres, [&](const data_centre_id &id, const data_centre *old, const data_centre *next) {
            const bool servedBefore = old != nullptr && old->inService;
            const bool servesAfter = next != nullptr && next->inService;
            if (old != nullptr && next != nullptr) {
                changes.changed(change_subject::data_centre, concat({ id.str(), ".region" }), old->region, next->region);
            }
            if (servedBefore == servesAfter && old != nullptr && next != nullptr) {
                return;
            }
            const std::string countBefore = std::to_string(backendServersInService(before, id));
            const std::string countAfter = std::to_string(backendServersInService(after, id));
            const change_kind kind = old == nullptr ? change_kind::added
                : next == nullptr                   ? change_kind::removed
                : servesAfter                       ? change_kind::returns
                                                    : change_kind::drains;
            const bool comes = kind == change_kind::added || kind == change_kind::returns;
            changes.add({ comes ? change_sign::added : change_sign::removed,
                change_subject::data_centre,
                kind,
                id.str(),
                countBefore,
                countAfter,
                "backend_servers" });
        });
}

void addInstances(const configuration &before, const configuration &after, change_list &changes)
{
    for (const instance_id &id : after.instancesOutOfService) {
        if (!before.instancesOutOfService.contains(id)) {
            changes.add({ change_sign::removed, change_subject::instance, change_kind::drains, id.str(), "", "", "" });
        }
    }
    for (const instance_id &id : before.instancesOutOfService) {
        if (!after.instancesOutOfService.contains(id)) {
            changes.add({ change_sign::added, change_subject::instance, change_kind::returns, id.str(), "", "", "" });
        }
    }
}

std::string targets(const work_class &value)
{
    return concat({ durationToText(value.firstTokenTarget), " / ", durationToText(value.totalTarget) });
}

void addClasses(const configuration &before, const configuration &after, change_list &changes)
{
    constexpr change_subject subject = change_subject::work_class;
    forEachDifference(before.classes, after.classes, [&](const class_id &id, const work_class *old, const work_class *next) {
        if (old == nullptr) {
            changes.add({ change_sign::added, subject, change_kind::added, id.str(), "", targets(*next), "" });
            return;
        }
        if (next == nullptr) {
            changes.add({ change_sign::removed, subject, change_kind::removed, id.str(), targets(*old), "", "" });
            return;
        }
        const auto path = [&id](std::string_view field) {
            return concat({ id.str(), ".", field });
        };
        changes.changed(subject, path("first_token_target"), durationToText(old->firstTokenTarget), durationToText(next->firstTokenTarget));
        changes.changed(subject, path("total_target"), durationToText(old->totalTarget), durationToText(next->totalTarget));
        changes.changed(subject, path("repeatable"), yesOrNo(old->repeatable), yesOrNo(next->repeatable));
    });
}

template<typename id_type>
void addNames(const std::set<id_type> &before, const std::set<id_type> &after, change_subject subject, change_list &changes)
{
    for (const id_type &id : after) {
        if (!before.contains(id)) {
            changes.add({ change_sign::added, subject, change_kind::added, id.str(), "", "", "" });
        }
    }
    for (const id_type &id : before) {
        if (!after.contains(id)) {
            changes.add({ change_sign::removed, subject, change_kind::removed, id.str(), "", "", "" });
        }
    }
}

std::set<customer_id> customerIds(const configuration &value)
{
    std::set<customer_id> ids;
    for (const auto &[id, item] : value.customers) {
        ids.insert(id);
    }
    return ids;
}

} // namespace

std::vector<change_line> findChanges(const configuration &before, const configuration &after)
{
    change_list changes;
    addDataCentres(before, after, changes);
    addInstances(before, after, changes);
    addBackendServers(before, after, changes);
    addClasses(before, after, changes);
    addNames(customerIds(before), customerIds(after), change_subject::customer, changes);
    addNames(before.models, after.models, change_subject::model, changes);
    changes.changed(change_subject::weight_store,
        "bytes_per_second",
        bytesToText(before.weightStoreBytesPerSecond),
        bytesToText(after.weightStoreBytesPerSecond));
    return changes.take();
}

} // namespace mustardtrail::config
