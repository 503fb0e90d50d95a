#include "wire/retry_loop.h"

#include <memory>
#include <utility>

namespace celeryspread {

namespace {

kj::Promise<void> Repeat(EventLoopPort& aPort,
                         std::shared_ptr<const RetryLoop> aLoop)
{
  return kj::evalNow([&] { return aLoop->m_step(); })
    .catch_([&aPort, aLoop](kj::Exception&& aException) {
      kj::runCatchingExceptions([&] { aLoop->m_onFailure(aException); });
      return PromiseAfter(aPort.Base(), aLoop->m_pause.count());
    })
    .then([&aPort, aLoop] { return Repeat(aPort, aLoop); });
}

} // namespace

kj::Promise<void> RepeatForever(EventLoopPort& aPort, RetryLoop aLoop)
{
  return Repeat(aPort, std::make_shared<const RetryLoop>(std::move(aLoop)));
}

} // namespace celeryspread
