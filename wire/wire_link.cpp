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
constexpr Duration kPingTimeout = std::chrono::milliseconds(1500);
/// Connecting and authenticating take three round trips, each of 60 ms between
/// regions. TCP resends a lost first packet only after one second, so a new
/// connection is tried before that.
constexpr Duration kAuthenticationTimeout = std::chrono::milliseconds(700);

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

WireLink::WireLink(EventLoopPort& aPort,
                   ClusterKey aKey,
                   WireEndpoint aEndpoint,
                   StateListener aListener)
  : m_port(aPort)
  , m_key(std::move(aKey))
  , m_endpoint(std::move(aEndpoint))
  , m_listener(std::move(aListener))
  , m_reconnect(nullptr)
  , m_session(nullptr)
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

uint64_t WireLink::BytesTransferred() const
{
  const uint64_t current =
    m_connection == nullptr ? 0 : m_connection->m_stream.BytesTransferred();
  return m_closedConnectionBytes + current;
}

void WireLink::SetIsUp(bool aIsUp)
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
  Authenticate();
}

void WireLink::ScheduleConnect()
{
  m_reconnect = PromiseAfter(m_port.Base(), kReconnectDelayMicros)
                  .then([this] {
                    m_session = nullptr;
                    m_closedConnectionBytes = BytesTransferred();
                    m_connection.reset();
                    Connect();
                  })
                  .eagerlyEvaluate(nullptr);
}

void WireLink::HandleConnectionLost()
{
  SetIsUp(false);
  // The connection is destroyed by the reconnect timer, because this runs
  // inside one of its own callbacks.
  ScheduleConnect();
}

void WireLink::Authenticate()
{
  auto gate = m_connection->Bootstrap();
  auto authenticated =
    gate.challengeRequest().send().then([this, gate](auto&& aReply) mutable {
      const std::string proof = m_key.MakeProof(BytesOf(aReply.getNonce()));
      auto request = gate.enterRequest();
      request.setProof(DataOf(proof));
      return request.send().then([this](auto&& aEnterReply) {
        m_connection->m_node = aEnterReply.getNode();
      });
    });
  m_session =
    WithTimeout<void>(kj::mv(authenticated), kAuthenticationTimeout)
      .then([this] {
        SetIsUp(true);
        return PingLoop();
      })
      .then([] {}, [this](kj::Exception&&) { HandleConnectionLost(); })
      .eagerlyEvaluate(nullptr);
}

kj::Promise<void> WireLink::PingLoop()
{
  return PromiseAfter(m_port.Base(), kPingPeriodMicros)
    .then([this] {
      auto ping = Node().pingRequest().send().ignoreResult();
      return WithTimeout<void>(kj::mv(ping), kPingTimeout);
    })
    .then([this] { return PingLoop(); });
}

} // namespace celeryspread
