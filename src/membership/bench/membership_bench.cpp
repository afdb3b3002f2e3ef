// Slopes of the view over the size of the fleet, on a fake clock: one line of key=value pairs per run.
// Usage: membership_bench steady NODES DATA_CENTRES SERVERS_PER_DATA_CENTRE SECONDS [BYTES_PER_MODEL]
//        With BYTES_PER_MODEL every node has load summaries of eight models of that size.
//        membership_bench change NODES DATA_CENTRES SEEDS
//        membership_bench outage NODES DATA_CENTRES SEEDS
//        membership_bench leaving NODES DATA_CENTRES SEEDS
//        membership_bench cut NODES DATA_CENTRES
//        membership_bench death NODES DATA_CENTRES SEEDS

#include "base/log_line.h"

#include "tests/fake_fleet.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <numeric>
#include <string>

using namespace mustardtrail;
using namespace mustardtrail::membership;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds warmUp{ 30 };
constexpr size_t modelsInUse = 8;
constexpr milliseconds longestWait{ 20000 };

nanoseconds threadTime()
{
    timespec reading{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
    return seconds(reading.tv_sec) + nanoseconds(reading.tv_nsec);
}

std::uint64_t totalReads(const fake_fleet &fleet)
{
    const auto &reads = fleet.platform.configReads;
    return std::accumulate(reads.begin(), reads.end(), std::uint64_t(0), [](std::uint64_t sum, const auto &entry) {
        return sum + static_cast<std::uint64_t>(entry.second);
    });
}

void setLoads(fake_fleet &fleet, int bytesPerModel)
{
    if (bytesPerModel == 0) {
        return;
    }
    const std::vector<std::string> loads(modelsInUse, std::string(static_cast<size_t>(bytesPerModel), 'x'));
    for (int index = 0; index < fleet.size(); ++index) {
        fleet.deliver(index, load_summaries_set{ loads });
    }
}

void steady(int nodes, int dataCentres, int servers, seconds length, int bytesPerModel)
{
    const size_t heapBefore = mallinfo2().uordblks;
    fake_fleet fleet({ .nodes = nodes, .dataCentres = dataCentres, .serversPerDataCentre = servers });
    nanoseconds spent{ 0 };
    fleet.handle = [&spent](view_core &core, const view_event &event, time_point now) {
        const nanoseconds before = threadTime();
        auto actions = core.handle(event, now);
        spent += threadTime() - before;
        return actions;
    };
    fleet.run(warmUp);
    const size_t heap = mallinfo2().uordblks - heapBefore;
    spent = nanoseconds(0);
    const std::uint64_t readsBefore = totalReads(fleet);
    setLoads(fleet, bytesPerModel);
    for (int index = 0; index < nodes; ++index) {
        fleet.at(index).bytes = 0;
        fleet.at(index).datagrams = 0;
    }
    fleet.run(length);
    std::uint64_t bytes = 0;
    std::uint64_t most = 0;
    std::uint64_t datagrams = 0;
    for (int index = 0; index < nodes; ++index) {
        bytes += fleet.at(index).bytes;
        most = std::max(most, fleet.at(index).bytes);
        datagrams += fleet.at(index).datagrams;
    }
    const double nodeSeconds = static_cast<double>(nodes) * static_cast<double>(length.count());
    std::printf("steady nodes=%d data_centres=%d servers=%d bytes_per_model=%d bytes_per_s=%.0f most_bytes_per_s=%.0f datagrams_per_s=%.1f "
                "cpu_share=%.4f%% config_reads_per_s=%.2f heap_per_node_kb=%zu\n",
        nodes,
        dataCentres,
        servers * dataCentres,
        bytesPerModel,
        static_cast<double>(bytes) / nodeSeconds,
        static_cast<double>(most) / static_cast<double>(length.count()),
        static_cast<double>(datagrams) / nodeSeconds,
        100.0 * std::chrono::duration<double>(spent).count() / nodeSeconds,
        static_cast<double>(totalReads(fleet) - readsBefore) / static_cast<double>(length.count()),
        heap / static_cast<size_t>(nodes) / 1024);
}

bool everyoneAt(fake_fleet &fleet, std::int64_t revision)
{
    for (int index = 0; index < fleet.size(); ++index) {
        const fleet_view *view = fleet.view(index);
        if (fleet.isUp(index) && (view == nullptr || view->config->revision < revision)) {
            return false;
        }
    }
    return true;
}

bool everyoneSeesDead(fake_fleet &fleet, int subject)
{
    for (int index = 0; index < fleet.size(); ++index) {
        if (index != subject && fleet.stateAt(index, subject) != peer_state::dead) {
            return false;
        }
    }
    return true;
}

using trial = std::function<std::optional<milliseconds>(fake_fleet &)>;

void worstOf(const std::string &name, const fake_fleet_settings &settings, int seeds, const trial &run)
{
    std::vector<milliseconds> times;
    int never = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        fake_fleet_settings seeded = settings;
        seeded.seed = static_cast<std::uint64_t>(seed);
        fake_fleet fleet(seeded);
        fleet.run(warmUp + milliseconds(137 * seed));
        const auto took = run(fleet);
        took ? times.push_back(*took) : void(++never);
    }
    std::sort(times.begin(), times.end());
    const auto at = [&times](size_t index) {
        return times.empty() ? -1L : static_cast<long>(times[index].count());
    };
    std::printf("%s nodes=%d data_centres=%d seeds=%d median_ms=%ld worst_ms=%ld never=%d\n",
        name.c_str(),
        settings.nodes,
        settings.dataCentres,
        seeds,
        at(times.size() / 2),
        at(times.empty() ? 0 : times.size() - 1),
        never);
}

std::optional<milliseconds> changeOnce(fake_fleet &fleet, int dataCentres)
{
    fleet.publish("data_centres", dataCentresValue(dataCentres, { 0 }));
    return fleet.runUntil(
        [&fleet] {
            return everyoneAt(fleet, fleet.platform.revision());
        },
        longestWait);
}

void change(const fake_fleet_settings &settings, int seeds)
{
    worstOf("change", settings, seeds, [&settings](fake_fleet &fleet) {
        return changeOnce(fleet, settings.dataCentres);
    });
}

void outage(const fake_fleet_settings &settings, int seeds)
{
    worstOf("change_with_service_cut_from_first_data_centre", settings, seeds, [&settings](fake_fleet &fleet) {
        fleet.platformIsCut = [&fleet](int node) {
            return fleet.dataCentreOf(node) == 0;
        };
        fleet.run(seconds(5));
        return changeOnce(fleet, settings.dataCentres);
    });
}

bool everyoneStopped(fake_fleet &fleet, const std::string &server)
{
    for (int index = 0; index < fleet.size(); ++index) {
        const fleet_view *view = fleet.view(index);
        if (fleet.isUp(index) && (view == nullptr || view->backends.at(backend_server_id(server)).acceptsNewWork)) {
            return false;
        }
    }
    return true;
}

void leaving(const fake_fleet_settings &settings, int seeds)
{
    worstOf("leaving_backend_server", settings, seeds, [](fake_fleet &fleet) {
        fleet.platform.entries[serverName(0, 0)].state = listing_state::leaving;
        return fleet.runUntil(
            [&fleet] {
                return everyoneStopped(fleet, serverName(0, 0));
            },
            longestWait);
    });
}

std::uint64_t mostBytesIn(fake_fleet &fleet, seconds length)
{
    for (int index = 0; index < fleet.size(); ++index) {
        fleet.at(index).bytes = 0;
    }
    fleet.run(length);
    std::uint64_t most = 0;
    for (int index = 0; index < fleet.size(); ++index) {
        most = std::max(most, fleet.at(index).bytes);
    }
    return most / static_cast<std::uint64_t>(length.count());
}

// Bytes of the busiest node, by the second, after a data centre is cut off and after it is back.
void cut(const fake_fleet_settings &settings)
{
    constexpr seconds window{ 10 };
    fake_fleet fleet(settings);
    fleet.run(warmUp);
    fleet.isCut = [&fleet](int from, int to) {
        return (fleet.dataCentreOf(from) == 0) != (fleet.dataCentreOf(to) == 0);
    };
    const std::uint64_t duringCut = mostBytesIn(fleet, window);
    fleet.run(warmUp);
    fleet.isCut = {};
    const std::uint64_t afterHealing = mostBytesIn(fleet, window);
    std::printf("cut nodes=%d data_centres=%d most_bytes_per_s_in_cut=%lu most_bytes_per_s_after_healing=%lu\n",
        settings.nodes,
        settings.dataCentres,
        static_cast<unsigned long>(duringCut),
        static_cast<unsigned long>(afterHealing));
}

void death(const fake_fleet_settings &settings, int seeds)
{
    worstOf("death_known_everywhere", settings, seeds, [](fake_fleet &fleet) {
        fleet.kill(0);
        return fleet.runUntil(
            [&fleet] {
                return everyoneSeesDead(fleet, 0);
            },
            longestWait);
    });
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: membership_bench steady|change|outage|leaving|cut|death NODES DATA_CENTRES ...\n");
        return EXIT_FAILURE;
    }
    const std::string mode = argv[1];
    const fake_fleet_settings settings{ .nodes = std::atoi(argv[2]), .dataCentres = std::atoi(argv[3]) };
    if (mode == "steady" && (argc == 6 || argc == 7)) {
        const int bytesPerModel = argc == 7 ? std::atoi(argv[6]) : 0;
        steady(settings.nodes, settings.dataCentres, std::atoi(argv[4]), seconds(std::atoi(argv[5])), bytesPerModel);
    } else if (mode == "cut") {
        cut(settings);
    } else if (argc < 5) {
        return EXIT_FAILURE;
    } else if (mode == "leaving") {
        leaving(settings, std::atoi(argv[4]));
    } else if (mode == "change") {
        change(settings, std::atoi(argv[4]));
    } else if (mode == "outage") {
        outage(settings, std::atoi(argv[4]));
    } else if (mode == "death") {
        death(settings, std::atoi(argv[4]));
    }
    return EXIT_SUCCESS;
}
