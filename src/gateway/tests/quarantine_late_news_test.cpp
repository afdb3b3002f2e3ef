// A verdict that was reached before all news of its crashes had come was not taken back.

#include "gateway/tests/quarantine_world.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr prompt_part guilty = 1;
constexpr prompt_part popular = 2;
constexpr prompt_part rare = 3;

bool isQuarantined(const prompt_quarantine &quarantine, prompt_part part)
{
    return quarantine.quarantinedUntil({ part }).has_value();
}

quarantine_news crashNews(server_start_key server, const std::vector<prompt_part> &parts, int time)
{
    quarantine_news news;
    news.crashes.push_back({ server, at(time), {} });
    for (const prompt_part part : parts) {
        news.crashes.back().sentAt[part] = at(time - 300);
    }
    return news;
}

quarantine_news answerNews(prompt_part part, int time)
{
    quarantine_news news;
    news.written.push_back({ part, at(time) });
    return news;
}

std::string verdictsAfter(const std::vector<quarantine_news> &news)
{
    prompt_quarantine quarantine;
    const time_point now = at(5'000);
    for (int round = 0; round < 2; ++round) {
        for (const quarantine_news &each : news) {
            quarantine.merge(each, now);
        }
    }
    std::string verdicts;
    for (const prompt_part part : { guilty, popular, rare }) {
        verdicts += isQuarantined(quarantine, part) ? '1' : '0';
    }
    return verdicts;
}

} // namespace

Test(quarantine_late_news, theOrderOfTheNewsDoesNotMatter)
{
    const std::vector<quarantine_news> all{ crashNews(1, { guilty, popular }, 400),
        crashNews(2, { guilty }, 800),
        crashNews(2, { popular }, 800),
        crashNews(3, { guilty, popular }, 1'200),
        crashNews(4, { guilty, rare }, 1'600),
        crashNews(5, { rare }, 2'000),
        answerNews(popular, 1'000),
        answerNews(popular, 1'300) };
    unsigned searched = 0;
    for (unsigned chosen = 0; chosen < 1U << all.size(); ++chosen) {
        std::vector<size_t> order;
        for (size_t index = 0; index < all.size(); ++index) {
            if ((chosen >> index & 1U) != 0) {
                order.push_back(index);
            }
        }
        std::string expected;
        do {
            std::vector<quarantine_news> news;
            std::string name;
            for (const size_t index : order) {
                news.push_back(all[index]);
                name += std::to_string(index) + " ";
            }
            const std::string verdicts = verdictsAfter(news);
            expected = expected.empty() ? verdicts : expected;
            if (verdicts != expected) {
                cr_assert_fail("%s in the order %s, %s in ascending order", verdicts.c_str(), name.c_str(), expected.c_str());
            }
            ++searched;
        } while (std::next_permutation(order.begin(), order.end()));
    }
    expectEqual(searched, 109'601U);
}

Test(quarantine_late_news, aSoundPartIsReleasedWhenLostNewsOfAGuiltyOneBesideItArrives)
{
    quarantine_world world(3, { guilty }, quarantine_world::news_loss::some);
    const auto crashAtFirst = [&world] {
        world.requestAt(0, 0, { guilty, popular });
        world.run(0);
    };
    crashAtFirst();
    crashAtFirst();
    crashAtFirst();
    world.requestAt(0, 0, { popular });
    world.requestAt(0, 1, { popular, guilty });
    world.run(0);
    crashAtFirst();
    crashAtFirst();
    world.exchange();
    cr_assert(world.fault().empty(), "%s", world.fault().c_str());
}
