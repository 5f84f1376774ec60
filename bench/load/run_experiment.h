// Runs one experiment against a deployment that is up, and prints its result as JSON.
#pragma once

#include <string>

namespace sapphirepass::load {

// Returns the exit code: 0 if all promises held, 1 if one was broken, 2 if a file is wrong.
auto runExperiment(const std::string& experimentPath, const std::string& addressesPath) -> int;

} // namespace sapphirepass::load
