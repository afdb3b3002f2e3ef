#include "proof/fleet/fleet_links.h"

namespace mustardtrail::proof
{

namespace
{

constexpr std::chrono::seconds controlLimit{ 3 };

void sendCuts(const endpoint &to, const std::set<endpoint> &endpoints)
{
    std::string list;
    for (const endpoint &address : endpoints) {
        list += list.empty() ? "" : ",";
        list += '"' + toString(address) + '"';
    }
    http::request_message message;
    message.method = "POST";
    message.target = "/testing/cuts";
    message.body = std::make_shared<const std::string>(R"({"cut":[)" + list + "]}");
    callAndWait(to, std::move(message), controlLimit);
}

} // namespace

fleet_links::fleet_links(process_fleet &fleet)
    : m_fleet(fleet)
    , m_cuts(fleet.instances.size())
{
}

std::set<endpoint> fleet_links::addressesOf(size_t dataCentre) const
{
    const fleet_instance &instance = m_fleet.instances[dataCentre];
    std::set<endpoint> addresses{ instance.peers, instance.view };
    for (const auto *list : { &m_fleet.engines, &m_fleet.services }) {
        for (const fleet_backend &backend : *list) {
            if (backend.dataCentre == instance.dataCentre) {
                addresses.insert(backend.address);
            }
        }
    }
    return addresses;
}

void fleet_links::cutDataCentres(size_t one, size_t other)
{
    m_cuts[one].merge(addressesOf(other));
    m_cuts[other].merge(addressesOf(one));
    apply(one);
    apply(other);
}

void fleet_links::cutPlatform(size_t dataCentre)
{
    m_cuts[dataCentre].insert(m_fleet.platform);
    apply(dataCentre);
}

void fleet_links::healAll()
{
    for (size_t dataCentre = 0; dataCentre < m_cuts.size(); ++dataCentre) {
        m_cuts[dataCentre].clear();
        apply(dataCentre);
    }
}

// A process that was killed meanwhile does not answer; it starts anew without cuts.
void fleet_links::apply(size_t dataCentre)
{
    sendCuts(m_fleet.instances[dataCentre].view, m_cuts[dataCentre]);
    sendCuts(m_fleet.instances[dataCentre].admin, m_cuts[dataCentre]);
}

} // namespace mustardtrail::proof
