// Gateways whose store is silent for a moment, at different times after a change.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

using Milliseconds = std::chrono::milliseconds;

// The gateways of a region and their store: a change, then a silence, then an upstream that leaves.
class SilenceCase {
public:
    SilenceCase(Milliseconds silentFrom, Milliseconds silentFor, bool isDraining, int gateways = 1)
        : silentFrom_(silentFrom)
        , silentUntil_(silentFrom + silentFor)
        , isDraining_(isDraining)
    {
        for (const auto* id : { "i-1", "i-2" })
            fixture_.store_.put("servers", id, listed(fixture_.server_.address()));
        fixture_.store_.put("config", "main", declared(1));
        fixture_.start();
        for (int number = 2; number <= gateways; ++number)
            others_.push_back(std::make_unique<SecondGateway>(fixture_, fmt::format("e{}", number)));
    }

    auto poll() -> void
    {
        fixture_.loop_.restart();
        fixture_.loop_.poll();
    }

    auto isReady() const -> bool
    {
        return fixture_.gateway_->isReady() && std::all_of(others_.begin(), others_.end(), [](const auto& other) { return other->gateway_->isReady(); });
    }

    // Advances the case to a time after the change.
    auto advance(Milliseconds since) -> void
    {
        if (step_ == 0) {
            fixture_.store_.put("servers", "i-2", listed(fixture_.server_.address()));
            fixture_.store_.put("config", "main", declared(2));
            ++step_;
        }
        if (step_ == 1 && since >= silentFrom_) {
            fixture_.store_.setMood(StoreMood::Silent);
            ++step_;
        }
        if (step_ == 2 && since >= silentUntil_) {
            fixture_.store_.setMood(StoreMood::Well);
            ++step_;
        }
        if (step_ == 3 && since >= silentUntil_ + pauseAfterSilence) {
            if (isDraining_)
                fixture_.store_.put("servers", "i-1", listed(fixture_.server_.address(), "draining"));
            else
                fixture_.store_.remove("servers", "i-1");
            fixture_.store_.remove("servers", "i-2");
            ++step_;
        }
    }

    auto hasLeft() const -> bool { return step_ == 4; }
    // Whether no gateway has an upstream left that requests may go to.
    auto isUnserved() -> bool
    {
        if (isUnserved_)
            return true;
        isUnserved_ = isRefused(fixture_.settings_) && std::all_of(others_.begin(), others_.end(), [this](const auto& other) { return isRefused(other->settings_); });
        return isUnserved_;
    }
    auto describe() const -> std::string { return fmt::format("silent from {} ms until {} ms, draining {}", silentFrom_.count(), silentUntil_.count(), isDraining_); }

private:
    auto isRefused(const GatewaySettings& settings) -> bool
    {
        LoopClient client(fixture_.loop_, settings.front_);
        client.send(order);
        return runUntil(fixture_.loop_, [&client] { return client.count("HTTP/1.1") == 1; }) && client.received().starts_with("HTTP/1.1 503");
    }

    static constexpr Milliseconds pauseAfterSilence { 500 };

    GatewayFixture fixture_ { [](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; } };
    std::vector<std::unique_ptr<SecondGateway>> others_;
    Milliseconds silentFrom_;
    Milliseconds silentUntil_;
    bool isDraining_;
    int step_ = 0;
    bool isUnserved_ = false;
};

using SilenceCases = std::vector<std::unique_ptr<SilenceCase>>;

auto playAll(SilenceCases& cases) -> void
{
    const auto runAll = [&cases](const auto& isDone, Milliseconds limit, const auto& act) {
        const auto started = std::chrono::steady_clock::now();
        Milliseconds since {};
        while (since < limit && !std::all_of(cases.begin(), cases.end(), isDone)) {
            std::this_thread::sleep_for(1ms);
            since = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - started);
            for (const auto& silence : cases) {
                act(*silence, since);
                silence->poll();
            }
        }
    };
    runAll([](const auto& silence) { return silence->isReady(); }, 60s, [](SilenceCase&, Milliseconds) {});
    runAll([](const auto& silence) { return silence->hasLeft(); }, 60s, [](SilenceCase& silence, Milliseconds since) { silence.advance(since); });
    // Shorter than a watch that is never answered waits.
    runAll([](const auto& silence) { return silence->isUnserved(); }, 15s, [](SilenceCase&, Milliseconds) {});
    for (const auto& silence : cases) {
        CAPTURE(silence->describe());
        CHECK(silence->isUnserved());
    }
}

}

TEST_CASE("an upstream that leaves after a silence of the store gets no more requests, whenever the silence began", "[gateway][feeds]")
{
    SilenceCases cases;
    for (const Milliseconds silentFor : { 100ms, 400ms, 1'200ms, 3'500ms }) {
        for (Milliseconds from { 0 }; from <= 1'000ms; from += 100ms)
            cases.push_back(std::make_unique<SilenceCase>(from, silentFor, cases.size() % 2 == 0));
    }
    playAll(cases);
}

TEST_CASE("watchers and followers drop an upstream that leaves after a silence of the store", "[gateway][feeds]")
{
    constexpr int gateways = 10;
    SilenceCases cases;
    for (const auto& [from, silentFor] : std::vector<std::pair<Milliseconds, Milliseconds>> { { 0ms, 400ms }, { 350ms, 400ms }, { 600ms, 1'200ms }, { 900ms, 3'500ms } })
        cases.push_back(std::make_unique<SilenceCase>(from, silentFor, cases.size() % 2 == 0, gateways));
    playAll(cases);
}
