#include "wire/buffered_stream.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/debug.h>

namespace celeryspread {

namespace {

/// With this many unsent bytes or more, a write waits until they are sent.
constexpr size_t kMaxUnsentBytes = 1'048'576;

} // namespace

BufferedStream::BufferedStream(bufferevent* aBufferevent)
  : m_bufferevent(aBufferevent)
{
  bufferevent_setcb(m_bufferevent, OnReadable, OnWritable, OnEvent, this);
  bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
}

BufferedStream::~BufferedStream() noexcept
{
  bufferevent_free(m_bufferevent);
}

kj::Promise<size_t> BufferedStream::tryRead(void* aBuffer,
                                            size_t aMinimum,
                                            size_t aMaximum)
{
  auto paf = kj::newPromiseAndFulfiller<size_t>();
  m_readBuffer = static_cast<kj::byte*>(aBuffer);
  m_minBytes = aMinimum;
  m_maxBytes = aMaximum;
  m_bytesRead = 0;
  m_readFulfiller = kj::mv(paf.fulfiller);
  FulfillRead();
  return kj::mv(paf.promise);
}

void BufferedStream::FulfillRead()
{
  if (m_readFulfiller.get() == nullptr) {
    return;
  }
  if (!m_readFulfiller->isWaiting()) {
    // The read was cancelled, so its buffer may no longer exist.
    m_readFulfiller = nullptr;
    return;
  }
  evbuffer* input = bufferevent_get_input(m_bufferevent);
  const int count = evbuffer_remove(
    input, m_readBuffer + m_bytesRead, m_maxBytes - m_bytesRead);
  if (count > 0) {
    m_bytesRead += static_cast<size_t>(count);
    m_bytesTransferred += static_cast<uint64_t>(count);
  }
  if (m_bytesRead >= m_minBytes || m_isDisconnected) {
    auto fulfiller = kj::mv(m_readFulfiller);
    fulfiller->fulfill(kj::cp(m_bytesRead));
  }
}

kj::Promise<void> BufferedStream::write(const void* aBuffer, size_t aSize)
{
  if (m_isDisconnected) {
    return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
  }
  bufferevent_write(m_bufferevent, aBuffer, aSize);
  m_bytesTransferred += aSize;
  return WaitForOutputSpace();
}

kj::Promise<void> BufferedStream::write(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (m_isDisconnected) {
    return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
  }
  for (const auto& piece : aPieces) {
    bufferevent_write(m_bufferevent, piece.begin(), piece.size());
    m_bytesTransferred += piece.size();
  }
  return WaitForOutputSpace();
}

kj::Promise<void> BufferedStream::WaitForOutputSpace()
{
  evbuffer* output = bufferevent_get_output(m_bufferevent);
  if (evbuffer_get_length(output) < kMaxUnsentBytes) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_writeFulfiller = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

kj::Promise<void> BufferedStream::whenWriteDisconnected()
{
  if (m_isDisconnected) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_disconnectFulfiller = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

void BufferedStream::shutdownWrite()
{
  Disconnect();
}

void BufferedStream::OnReadable(bufferevent* /*aBufferevent*/, void* aSelf)
{
  static_cast<BufferedStream*>(aSelf)->FulfillRead();
}

void BufferedStream::OnWritable(bufferevent* /*aBufferevent*/, void* aSelf)
{
  auto* self = static_cast<BufferedStream*>(aSelf);
  if (self->m_writeFulfiller.get() != nullptr) {
    auto fulfiller = kj::mv(self->m_writeFulfiller);
    fulfiller->fulfill();
  }
}

void BufferedStream::OnEvent(bufferevent* /*aBufferevent*/,
                             short aWhat,
                             void* aSelf)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    static_cast<BufferedStream*>(aSelf)->Disconnect();
  }
}

void BufferedStream::Disconnect()
{
  if (m_isDisconnected) {
    return;
  }
  m_isDisconnected = true;
  bufferevent_disable(m_bufferevent, EV_READ | EV_WRITE);
  FulfillRead();
  if (m_writeFulfiller.get() != nullptr) {
    auto fulfiller = kj::mv(m_writeFulfiller);
    fulfiller->reject(KJ_EXCEPTION(DISCONNECTED, "the connection is closed"));
  }
  if (m_disconnectFulfiller.get() != nullptr) {
    auto fulfiller = kj::mv(m_disconnectFulfiller);
    fulfiller->fulfill();
  }
}

} // namespace celeryspread
