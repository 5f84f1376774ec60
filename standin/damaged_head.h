// Heads of responses with a line that is none.
#pragma once

#include <string>
#include <vector>

namespace sapphirepass::standin {

// Lines of fields that begin with those given and have one damaged line, at each place. A byte that no name may hold stands in a name, before it
// or before its colon, or a line is folded. Without the damage, the length would be 4.
auto damagedHeads(const std::string& before) -> std::vector<std::string>;

} // namespace sapphirepass::standin
