// Posts a function to an io_context.
//
// boost::asio::post has a default argument of 0 for a pointer, which the project's warning flags
// reject at the call site; this helper calls the executor directly.
#pragma once

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace jackdawwind::logservice {

/// Schedules a function to run on a thread of the io_context. Thread-safe.
template<typename Function>
void
Post(boost::asio::io_context& aContext, Function aFunction)
{
  aContext.get_executor().post(std::move(aFunction), std::allocator<void>());
}

} // namespace jackdawwind::logservice
