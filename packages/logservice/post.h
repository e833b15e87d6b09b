// Posts a function to an io_context.
//
// boost::asio::post has a default argument of 0 for a pointer, which the compiler's warning flags
// refuse at the place of the call; this goes to the executor itself.
#pragma once

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace jackdawwind::logservice {

/// Runs a function later on a thread of the io_context. May be called from any thread.
template<typename Function>
void
Post(boost::asio::io_context& aContext, Function aFunction)
{
  aContext.get_executor().post(std::move(aFunction), std::allocator<void>());
}

} // namespace jackdawwind::logservice
