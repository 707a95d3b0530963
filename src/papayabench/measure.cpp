#include "measure.hpp"

#include <ctime>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace papayabench {

double cpu_seconds()
{
    constexpr double nanoseconds_per_second = 1e9;
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) +
           static_cast<double>(spent.tv_nsec) / nanoseconds_per_second;
}

std::uint64_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t heap_bytes()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void add_sample(Json::Value& rows, const sample& point)
{
    Json::Value row;
    row["slope"] = point.slope;
    row["what"] = point.what;
    row["unit"] = point.unit;
    row["size"] = point.size;
    row["value"] = point.value;
    rows.append(row);
}

} // namespace papayabench
