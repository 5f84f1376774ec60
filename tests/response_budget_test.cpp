// ResponseBudget: how many bytes responses may hold while they arrive.
#include "gateway/requests/response_budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck/catch.h>
#include <vector>

using namespace sapphirepass;

TEST_CASE("a response alone may hold half of the total, and a second one what is left", "[response-budget]")
{
    ResponseBudget budget({ 1'000, 10 });
    ResponseHold first(budget);
    CHECK(first.set(500));
    CHECK_FALSE(first.set(501));
    CHECK(first.set(400));
    ResponseHold second(budget);
    CHECK(second.set(300));
    CHECK_FALSE(second.set(301));
    first.release();
    CHECK(second.set(500));
    CHECK(budget.held() == 500);
}

TEST_CASE("however many responses grow without end, they stay within the total and the guaranteed bytes", "[response-budget]")
{
    rc::prop("many responses that grow by turns", [] {
        constexpr std::size_t total = 10'000;
        constexpr std::size_t guaranteed = 16;
        const auto count = *rc::gen::inRange<std::size_t>(1, 200);
        ResponseBudget budget({ total, guaranteed });
        std::vector<std::unique_ptr<ResponseHold>> holds;
        std::vector<std::size_t> sizes(count, 0);
        for (std::size_t i = 0; i < count; ++i)
            holds.push_back(std::make_unique<ResponseHold>(budget));
        const auto turns = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(rc::gen::pair(rc::gen::inRange<std::size_t>(0, count), rc::gen::inRange<std::size_t>(1, 3'000)));
        for (const auto& [number, growth] : turns) {
            sizes[number] += growth;
            if (!holds[number]->set(sizes[number])) {
                holds[number]->release();
                sizes[number] = 0;
            }
            RC_ASSERT(budget.held() <= total + count * guaranteed);
        }
        // A small response always has room.
        ResponseHold small(budget);
        RC_ASSERT(small.set(guaranteed));
        holds.clear();
        small.release();
        RC_ASSERT(budget.held() == 0U);
    });
}
