#include "standin/resident_memory.h"

#include <fstream>
#include <unistd.h>

namespace sapphirepass::standin {

auto residentMb() -> std::size_t
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

} // namespace sapphirepass::standin
