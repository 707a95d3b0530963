#include "process_limits.hpp"

#include <limits>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace papayabridge {

namespace {

// The allocator's initial threshold. Left alone, it rises with the first large block that
// is freed, and such blocks then stay in the heap between smaller ones.
constexpr int large_block_bytes = 128 * 1024;

} // namespace

std::size_t machine_memory_bytes() noexcept
{
    struct sysinfo machine = {};
    if (::sysinfo(&machine) != 0) {
        return 0;
    }
    return static_cast<std::size_t>(machine.totalram) * machine.mem_unit;
}

std::size_t descriptor_limit() noexcept
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

void return_large_blocks() noexcept
{
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

void return_free_memory() noexcept
{
    ::malloc_trim(0);
}

} // namespace papayabridge
