#pragma once

#include <kj/async-io.h>

struct bufferevent;

namespace celeryspread {

/// KJ byte stream over a libevent bufferevent.
/// @thread loop thread only.
class BufferedStream : public kj::AsyncIoStream
{
public:
  /// Takes ownership of a connecting or connected bufferevent. @pre not null.
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

  /// Returns the bytes read and written so far. @pre none.
  [[nodiscard]] uint64_t BytesTransferred() const { return m_bytesTransferred; }

private:
  static void OnReadable(bufferevent* aBufferevent, void* aSelf);
  static void OnWritable(bufferevent* aBufferevent, void* aSelf);
  static void OnEvent(bufferevent* aBufferevent, short aWhat, void* aSelf);
  /// Copies received bytes to the pending read; completes it when it has
  /// enough or the connection is closed.
  void FulfillRead();
  /// Ends the pending read, fails the pending write.
  void Disconnect();
  kj::Promise<void> WaitForOutputSpace();

  bufferevent* m_bufferevent;
  kj::byte* m_readBuffer = nullptr;
  size_t m_minBytes = 0;
  size_t m_maxBytes = 0;
  size_t m_bytesRead = 0;
  kj::Own<kj::PromiseFulfiller<size_t>> m_readFulfiller;
  kj::Own<kj::PromiseFulfiller<void>> m_writeFulfiller;
  kj::Own<kj::PromiseFulfiller<void>> m_disconnectFulfiller;
  uint64_t m_bytesTransferred = 0;
  bool m_isDisconnected = false;
};

} // namespace celeryspread
