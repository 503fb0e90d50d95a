#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include <event2/listener.h>

#include "core/socket_address.h"
#include "tests/support/test_loop.h"
#include "wire/wire_link.h"
#include "wire/wire_server.h"

namespace celeryspread::test {

namespace {

/// Passes bytes between clients and one server until it is told to lose them.
class LosingRelay
{
public:
  LosingRelay(TestLoop& aLoop, uint16_t aServerPort)
    : m_base(aLoop.Base())
    , m_serverPort(aServerPort)
  {
    const auto address = MakeSocketAddress("127.0.0.1", 0);
    m_listener = evconnlistener_new_bind(m_base,
                                         OnAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE,
                                         16,
                                         address->Get(),
                                         static_cast<int>(address->m_length));
  }
  ~LosingRelay() { evconnlistener_free(m_listener); }
  LosingRelay(const LosingRelay&) = delete;
  LosingRelay& operator=(const LosingRelay&) = delete;

  [[nodiscard]] uint16_t Port() const
  {
    return BoundPort(evconnlistener_get_fd(m_listener));
  }
  [[nodiscard]] size_t ConnectionCount() const { return m_pairs.size(); }
  /// From now on loses all bytes of the open connections, and their ends, in
  /// both directions; new connections are passed on.
  void LoseBytes()
  {
    for (const auto& pair : m_pairs) {
      pair->m_losesBytes = true;
    }
  }

private:
  struct Pair
  {
    Pair() = default;
    ~Pair()
    {
      bufferevent_free(m_client);
      bufferevent_free(m_server);
    }
    Pair(const Pair&) = delete;
    Pair& operator=(const Pair&) = delete;

    bufferevent* m_client = nullptr;
    bufferevent* m_server = nullptr;
    bool m_losesBytes = false;
  };

  static void OnAccept(evconnlistener* /*aListener*/,
                       evutil_socket_t aFd,
                       sockaddr* /*aAddress*/,
                       int /*aLength*/,
                       void* aSelf)
  {
    auto* self = static_cast<LosingRelay*>(aSelf);
    auto pair = std::make_unique<Pair>();
    pair->m_client =
      bufferevent_socket_new(self->m_base, aFd, BEV_OPT_CLOSE_ON_FREE);
    pair->m_server =
      bufferevent_socket_new(self->m_base, -1, BEV_OPT_CLOSE_ON_FREE);
    const auto address = MakeSocketAddress("127.0.0.1", self->m_serverPort);
    bufferevent_socket_connect(
      pair->m_server, address->Get(), static_cast<int>(address->m_length));
    for (bufferevent* bev : { pair->m_client, pair->m_server }) {
      bufferevent_setcb(bev, OnRead, nullptr, OnEvent, pair.get());
      bufferevent_enable(bev, EV_READ | EV_WRITE);
    }
    self->m_pairs.push_back(std::move(pair));
  }
  static void OnRead(bufferevent* aBev, void* aPair)
  {
    auto* pair = static_cast<Pair*>(aPair);
    evbuffer* input = bufferevent_get_input(aBev);
    if (pair->m_losesBytes) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent_write_buffer(
      aBev == pair->m_client ? pair->m_server : pair->m_client, input);
  }
  // Closes nothing on the other side, so that only silence is left to see.
  static void OnEvent(bufferevent* /*aBev*/, short /*aWhat*/, void* /*aPair*/)
  {
  }

  event_base* m_base;
  uint16_t m_serverPort;
  evconnlistener* m_listener;
  std::vector<std::unique_ptr<Pair>> m_pairs;
};

class PingedNode : public wire::ControlNode::Server
{
protected:
  kj::Promise<void> ping(PingContext /*aContext*/) override
  {
    return kj::READY_NOW;
  }
};

} // namespace

// Guards against a link whose connection went silent without a reset, and that
// waits for TCP to give up, which takes minutes.
TEST(WireLinkTest, SilentConnectionIsReplacedWithinTheContactTime)
{
  constexpr Duration kContactTime = std::chrono::seconds(4);
  // A live link must not be taken for a silent one.
  constexpr Duration kLiveTime = std::chrono::seconds(3);
  TestLoop loop;
  EventLoopPort port{ loop.Base() };
  const ClusterKey key{ "sixteen bytes and more" };
  WireServer server{ port, key, kj::heap<PingedNode>() };
  ASSERT_TRUE(server.Listen("127.0.0.1", 0));
  LosingRelay relay(loop, server.Port());
  std::vector<bool> changes;
  WireLink link(port,
                key,
                WireEndpoint{ "127.0.0.1", relay.Port() },
                [&](bool aIsUp) { changes.push_back(aIsUp); });
  ASSERT_TRUE(loop.RunUntil([&] { return link.IsUp(); }));
  loop.RunFor(kLiveTime);
  ASSERT_EQ(changes, std::vector<bool>{ true });

  relay.LoseBytes();
  const TimePoint begin = loop.GetClock().Now();
  ASSERT_TRUE(loop.RunUntil([&] { return changes.size() == 3; }));
  EXPECT_LE(loop.GetClock().Now() - begin, kContactTime);
  EXPECT_TRUE(link.IsUp());
  EXPECT_EQ(relay.ConnectionCount(), 2U);
}

// Guards against a server that keeps a connection, and what belongs to it, for
// each client that went silent without a reset.
TEST(WireLinkTest, ServerDropsASilentConnection)
{
  TestLoop loop;
  EventLoopPort port{ loop.Base() };
  const ClusterKey key{ "sixteen bytes and more" };
  WireServer server{ port, key, kj::heap<PingedNode>() };
  ASSERT_TRUE(server.Listen("127.0.0.1", 0));
  LosingRelay relay(loop, server.Port());
  WireLink link(
    port, key, WireEndpoint{ "127.0.0.1", relay.Port() }, [](bool) {});
  ASSERT_TRUE(loop.RunUntil([&] { return link.IsUp(); }));
  relay.LoseBytes();
  ASSERT_TRUE(
    loop.RunUntil([&] { return relay.ConnectionCount() == 2 && link.IsUp(); }));
  EXPECT_EQ(server.LinkCount(), 2U);
  EXPECT_TRUE(loop.RunUntil([&] { return server.LinkCount() == 1; }));
  EXPECT_TRUE(link.IsUp());
}

} // namespace celeryspread::test
