#include "settings/entry_settings.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;

namespace {
const std::string validText = "[instance]\nname = e1\nregion = luzon\ndomain = l1\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\n[store]\naddress = 127.0.0.1:3\n";
}

TEST_CASE("valid settings are read", "[settings]")
{
    const auto settings = parseEntrySettings(validText + "timeout = 3s\n[log]\nlevel = debug\n");
    REQUIRE(isOk(settings));
    CHECK(valueOf(settings).http_.port_ == 1);
    CHECK(valueOf(settings).storeTimeout_ == std::chrono::seconds(3));
    CHECK(valueOf(settings).logLevel_ == LogLevel::Debug);
}

TEST_CASE("every violation is reported at once with its line", "[settings]")
{
    const auto settings = parseEntrySettings("[instance]\nname = e 1\nnonsense\ncolour = red\nregion = luzon\nregion = cebu\n[limits]\nthreads = 1\n");
    REQUIRE_FALSE(isOk(settings));
    std::vector<int> lines;
    for (const auto& violation : errorOf(settings))
        lines.push_back(violation.line_);
    // Missing: domain, http, peer and the store's address.
    CHECK(lines == std::vector { 0, 0, 0, 0, 2, 3, 4, 6, 8 });
}

TEST_CASE("a missing file is a violation", "[settings]")
{
    CHECK_FALSE(isOk(loadEntrySettings("no-such-file.ini")));
}
