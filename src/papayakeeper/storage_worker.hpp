/// \file storage_worker.hpp
/// Runs blocking file operations on the storage thread, off the control thread.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <papayabridge/error.hpp>

namespace papayabridge {

/// A function that blocks on file operations.
using storage_task = std::function<result<void>()>;

/// Runs \p task on \p storage, then resumes the caller on its own executor.
boost::asio::awaitable<result<void>> run_on_storage(boost::asio::any_io_executor storage,
                                                    storage_task task);

} // namespace papayabridge
