#include "proof/bench/benches.h"
#include "proof/bench/process_usage.h"
#include "proof/fleet/process_fleet.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <thread>

namespace mustardtrail::proof
{

namespace
{

constexpr std::chrono::seconds settle{ 5 };
constexpr std::chrono::seconds watched{ 20 };

struct view_usage {
    double processorSeconds = 0;
    double bytesSent = 0;
    double bytesReceived = 0;
    double configReads = 0;
};

double metricOf(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size()));
        }
    }
    return 0;
}

view_usage usageOf(const fleet_instance &instance)
{
    http::request_message ask;
    ask.target = "/metrics";
    const std::string text = callAndWait(instance.view, ask, std::chrono::seconds(3)).body;
    const std::chrono::duration<double> processor = processorTime(instance.viewProcess->processId());
    return { processor.count(),
        metricOf(text, "mustardtrail_view_bytes_sent_total"),
        metricOf(text, "mustardtrail_view_bytes_received_total"),
        metricOf(text, "mustardtrail_view_config_reads_total") };
}

std::vector<view_usage> usages(const process_fleet &fleet)
{
    std::vector<view_usage> all;
    for (const fleet_instance &instance : fleet.instances) {
        all.push_back(usageOf(instance));
    }
    return all;
}

void printChange(
    const char *what, double view_usage::*field, const std::vector<view_usage> &before, const std::vector<view_usage> &after, double scale)
{
    double sum = 0;
    double most = 0;
    for (size_t index = 0; index < before.size(); ++index) {
        const double rate = (after[index].*field - before[index].*field) * scale / static_cast<double>(watched.count());
        sum += rate;
        most = std::max(most, rate);
    }
    std::printf("| %s | %zu | %.2f | %.2f |\n", what, before.size(), sum / static_cast<double>(before.size()), most);
}

} // namespace

bool benchViewAtRest(const std::string &binaries, int instances)
{
    fleet_options options;
    options.binaries = binaries;
    options.enginesPerDataCentre = std::vector<int>(static_cast<size_t>(instances), 1);
    options.services = 0;
    process_fleet fleet(options);
    if (!fleet.start()) {
        return false;
    }
    std::this_thread::sleep_for(settle);
    const auto before = usages(fleet);
    std::this_thread::sleep_for(watched);
    const auto after = usages(fleet);
    long resident = 0;
    for (const fleet_instance &instance : fleet.instances) {
        resident = std::max(resident, residentKiB(instance.viewProcess->processId()));
    }
    constexpr double percent = 100;
    std::printf("| each view process | instances | mean | most |\n| --- | --- | --- | --- |\n");
    printChange("processor share, % of a core", &view_usage::processorSeconds, before, after, percent);
    printChange("control bytes sent a second", &view_usage::bytesSent, before, after, 1);
    printChange("control bytes received a second", &view_usage::bytesReceived, before, after, 1);
    printChange("configuration reads a second", &view_usage::configReads, before, after, 1);
    std::printf("| resident memory, KiB | %d | - | %ld |\n", instances, resident);
    return fleet.stop();
}

} // namespace mustardtrail::proof
