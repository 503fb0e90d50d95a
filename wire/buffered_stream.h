#pragma once

#include <kj/async-io.h>

struct bufferevent;

namespace celeryspread {

/// KJ byte stream on a libevent bufferevent.
/// @thread loop thread only.
class BufferedStream : public kj::AsyncIoStream
{
public:
  /// Takes over a connecting or connected bufferevent. @pre not null.
  explicit BufferedStream(bufferevent* aBufferevent);
  ~BufferedStream() noexcept;
  KJ_DISALLOW_COPY(BufferedStream);

  kj::Promise<size_t> tryRead(void* aBuffer,
                              size_t aMinimum,
                              size_t aMaximum) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /// Returns bytes read and written so far. @pre none.
  [[nodiscard]] uint64_t BytesMoved() const { return m_bytesMoved; }

private:
  static void OnReadable(bufferevent* aBufferevent, void* aSelf);
  static void OnWritable(bufferevent* aBufferevent, void* aSelf);
  static void OnEvent(bufferevent* aBufferevent, short aWhat, void* aSelf);
  void ServeRead();
  void Break();
  kj::Promise<void> AfterWrite();

  bufferevent* m_bufferevent;
  kj::byte* m_buffer = nullptr;
  size_t m_minimum = 0;
  size_t m_maximum = 0;
  size_t m_have = 0;
  kj::Own<kj::PromiseFulfiller<size_t>> m_reader;
  kj::Own<kj::PromiseFulfiller<void>> m_writer;
  kj::Own<kj::PromiseFulfiller<void>> m_disconnected;
  uint64_t m_bytesMoved = 0;
  bool m_isBroken = false;
};

} // namespace celeryspread
