/// \file process_limits.hpp
/// What the machine and the system grant this process, and the return of freed memory.

#pragma once

#include <cstddef>

namespace papayabridge {

/// The machine's memory in bytes, as the kernel reports it; 0 if it is not known.
std::size_t machine_memory_bytes() noexcept;
/// The number of descriptors that this process may have open.
std::size_t descriptor_limit() noexcept;

/// Makes the allocator return large blocks to the system as soon as they are freed. Call
/// before threads are started.
void return_large_blocks() noexcept;
/// Returns all free memory of the allocator to the system. Takes milliseconds.
void return_free_memory() noexcept;

} // namespace papayabridge
