#include "wire/buffered_stream.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/debug.h>

namespace celeryspread {

namespace {

/// Above this many unsent bytes a writer waits.
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
  m_buffer = static_cast<kj::byte*>(aBuffer);
  m_minimum = aMinimum;
  m_maximum = aMaximum;
  m_have = 0;
  m_reader = kj::mv(paf.fulfiller);
  ServeRead();
  return kj::mv(paf.promise);
}

void BufferedStream::ServeRead()
{
  if (m_reader.get() == nullptr) {
    return;
  }
  if (!m_reader->isWaiting()) {
    // The reader is gone and its buffer with it.
    m_reader = nullptr;
    return;
  }
  evbuffer* input = bufferevent_get_input(m_bufferevent);
  const int count =
    evbuffer_remove(input, m_buffer + m_have, m_maximum - m_have);
  if (count > 0) {
    m_have += static_cast<size_t>(count);
    m_bytesMoved += static_cast<uint64_t>(count);
  }
  if (m_have >= m_minimum || m_isBroken) {
    auto reader = kj::mv(m_reader);
    reader->fulfill(kj::cp(m_have));
  }
}

kj::Promise<void> BufferedStream::write(const void* aBuffer, size_t aSize)
{
  if (m_isBroken) {
    return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
  }
  bufferevent_write(m_bufferevent, aBuffer, aSize);
  m_bytesMoved += aSize;
  return AfterWrite();
}

kj::Promise<void> BufferedStream::write(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (m_isBroken) {
    return KJ_EXCEPTION(DISCONNECTED, "the connection is closed");
  }
  for (const auto& piece : aPieces) {
    bufferevent_write(m_bufferevent, piece.begin(), piece.size());
    m_bytesMoved += piece.size();
  }
  return AfterWrite();
}

kj::Promise<void> BufferedStream::AfterWrite()
{
  evbuffer* output = bufferevent_get_output(m_bufferevent);
  if (evbuffer_get_length(output) < kMaxUnsentBytes) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_writer = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

kj::Promise<void> BufferedStream::whenWriteDisconnected()
{
  if (m_isBroken) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_disconnected = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

void BufferedStream::shutdownWrite()
{
  Break();
}

void BufferedStream::OnReadable(bufferevent* /*aBufferevent*/, void* aSelf)
{
  static_cast<BufferedStream*>(aSelf)->ServeRead();
}

void BufferedStream::OnWritable(bufferevent* /*aBufferevent*/, void* aSelf)
{
  auto* self = static_cast<BufferedStream*>(aSelf);
  if (self->m_writer.get() != nullptr) {
    auto writer = kj::mv(self->m_writer);
    writer->fulfill();
  }
}

void BufferedStream::OnEvent(bufferevent* /*aBufferevent*/,
                             short aWhat,
                             void* aSelf)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    static_cast<BufferedStream*>(aSelf)->Break();
  }
}

void BufferedStream::Break()
{
  if (m_isBroken) {
    return;
  }
  m_isBroken = true;
  bufferevent_disable(m_bufferevent, EV_READ | EV_WRITE);
  ServeRead();
  if (m_writer.get() != nullptr) {
    auto writer = kj::mv(m_writer);
    writer->reject(KJ_EXCEPTION(DISCONNECTED, "the connection is closed"));
  }
  if (m_disconnected.get() != nullptr) {
    auto disconnected = kj::mv(m_disconnected);
    disconnected->fulfill();
  }
}

} // namespace celeryspread
