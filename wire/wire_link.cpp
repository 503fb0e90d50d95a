#include "wire/wire_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <capnp/rpc-twoparty.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "core/socket_address.h"
#include "wire/buffered_stream.h"
#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

constexpr int64_t kReconnectDelayMicros = 100'000;
constexpr int64_t kPingPeriodMicros = 1'000'000;
constexpr Duration kPingDeadline = std::chrono::milliseconds(1500);
/// Connecting and proving the key take three round trips, of 60 ms between
/// regions; a first packet that is lost is sent again only after a second.
constexpr Duration kEnterDeadline = std::chrono::milliseconds(700);

bufferevent* OpenSocket(event_base* aBase, const WireEndpoint& aEndpoint)
{
  const auto address = MakeSocketAddress(aEndpoint.m_address, aEndpoint.m_port);
  if (!address) {
    return nullptr;
  }
  bufferevent* bev = bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE);
  if (bufferevent_socket_connect(
        bev, address->Get(), static_cast<int>(address->m_length)) != 0) {
    bufferevent_free(bev);
    return nullptr;
  }
  const int on = 1;
  setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return bev;
}

} // namespace

struct WireLink::Connection
{
  explicit Connection(bufferevent* aBufferevent)
    : m_stream(aBufferevent)
    , m_network(m_stream, capnp::rpc::twoparty::Side::CLIENT)
    , m_rpc(capnp::makeRpcClient(m_network))
  {
  }

  wire::Gate::Client Bootstrap()
  {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_rpc.bootstrap(vat).castAs<wire::Gate>();
  }

  BufferedStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  kj::Maybe<wire::ControlNode::Client> m_node;
};

WireLink::WireLink(LoopPort& aPort,
                   ClusterKey aKey,
                   WireEndpoint aEndpoint,
                   StateListener aListener)
  : m_port(aPort)
  , m_key(std::move(aKey))
  , m_endpoint(std::move(aEndpoint))
  , m_listener(std::move(aListener))
  , m_retry(nullptr)
  , m_task(nullptr)
{
  Connect();
}

WireLink::~WireLink() = default;

bool WireLink::IsUp() const
{
  return m_isUp;
}

wire::ControlNode::Client& WireLink::Node()
{
  return KJ_ASSERT_NONNULL(m_connection->m_node);
}

uint64_t WireLink::BytesMoved() const
{
  const uint64_t current =
    m_connection == nullptr ? 0 : m_connection->m_stream.BytesMoved();
  return m_earlierBytes + current;
}

void WireLink::SetUp(bool aIsUp)
{
  if (m_isUp == aIsUp) {
    return;
  }
  m_isUp = aIsUp;
  m_listener(aIsUp);
}

void WireLink::Connect()
{
  bufferevent* bev = OpenSocket(m_port.Base(), m_endpoint);
  if (bev == nullptr) {
    ScheduleConnect();
    return;
  }
  m_connection = std::make_unique<Connection>(bev);
  Enter();
}

void WireLink::ScheduleConnect()
{
  m_retry = PromiseAfter(m_port.Base(), kReconnectDelayMicros)
              .then([this] {
                m_task = nullptr;
                m_earlierBytes = BytesMoved();
                m_connection.reset();
                Connect();
              })
              .eagerlyEvaluate(nullptr);
}

void WireLink::Drop()
{
  SetUp(false);
  // The connection is destroyed by the retry, not from inside its own call.
  ScheduleConnect();
}

void WireLink::Enter()
{
  auto gate = m_connection->Bootstrap();
  auto entered =
    gate.challengeRequest().send().then([this, gate](auto&& aReply) mutable {
      const std::string proof = m_key.Prove(BytesOf(aReply.getNonce()));
      auto request = gate.enterRequest();
      request.setProof(DataOf(proof));
      return request.send().then(
        [this](auto&& aEntered) { m_connection->m_node = aEntered.getNode(); });
    });
  m_task = WithDeadline<void>(kj::mv(entered), kEnterDeadline)
             .then([this] {
               SetUp(true);
               return PingLoop();
             })
             .then([] {}, [this](kj::Exception&&) { Drop(); })
             .eagerlyEvaluate(nullptr);
}

kj::Promise<void> WireLink::PingLoop()
{
  return PromiseAfter(m_port.Base(), kPingPeriodMicros)
    .then([this] {
      auto ping = Node().pingRequest().send().ignoreResult();
      return WithDeadline<void>(kj::mv(ping), kPingDeadline);
    })
    .then([this] { return PingLoop(); });
}

} // namespace celeryspread
