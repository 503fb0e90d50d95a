#include "wire/wire_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <capnp/rpc-twoparty.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "core/socket_address.h"
#include "wire/buffered_stream.h"
#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// A link is closed after this long without received bytes; clients ping more
/// often.
constexpr timeval kLinkReadTimeout = { 10, 0 };

/// Bootstrap object of a link: gives access to the node after authentication.
class GateServer final : public wire::Gate::Server
{
public:
  GateServer(const ClusterKey& aKey, wire::ControlNode::Client aNode)
    : m_key(aKey)
    , m_node(kj::mv(aNode))
    , m_nonce(ClusterKey::MakeNonce())
  {
  }

protected:
  kj::Promise<void> challenge(ChallengeContext aContext) override
  {
    aContext.getResults().setNonce(DataOf(m_nonce));
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext aContext) override
  {
    const std::string proof = BytesOf(aContext.getParams().getProof());
    KJ_REQUIRE(m_key.IsValidProof(m_nonce, proof), "the cluster key is wrong");
    aContext.getResults().setNode(m_node);
    return kj::READY_NOW;
  }

private:
  const ClusterKey& m_key;
  wire::ControlNode::Client m_node;
  std::string m_nonce;
};

} // namespace

struct WireServer::Link
{
  Link(bufferevent* aBufferevent, wire::Gate::Client aGate)
    : m_stream(aBufferevent)
    , m_network(m_stream, capnp::rpc::twoparty::Side::SERVER)
    , m_rpc(capnp::makeRpcServer(m_network, kj::mv(aGate)))
  {
  }

  BufferedStream m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  kj::Promise<void> m_onDisconnect = nullptr;
};

WireServer::WireServer(EventLoopPort& aPort,
                       ClusterKey aKey,
                       wire::ControlNode::Client aNode)
  : m_port(aPort)
  , m_key(std::move(aKey))
  , m_node(kj::mv(aNode))
{
}

WireServer::~WireServer()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

bool WireServer::Listen(const std::string& aAddress, uint16_t aPort)
{
  const auto address = MakeSocketAddress(aAddress, aPort);
  if (!address) {
    return false;
  }
  m_listener = evconnlistener_new_bind(
    m_port.Base(),
    [](evconnlistener* aListener,
       int aFd,
       sockaddr* aFrom,
       int aLen,
       void* aSelf) { OnAccept(aListener, aFd, aFrom, aLen, aSelf); },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    -1,
    address->Get(),
    static_cast<int>(address->m_length));
  if (m_listener == nullptr) {
    return false;
  }
  m_boundPort = BoundPort(evconnlistener_get_fd(m_listener));
  return true;
}

void WireServer::OnAccept(evconnlistener* /*aListener*/,
                          int aFd,
                          sockaddr* /*aAddress*/,
                          int /*aLength*/,
                          void* aSelf)
{
  static_cast<WireServer*>(aSelf)->Accept(aFd);
}

void WireServer::Accept(int aFd)
{
  const int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent* bev =
    bufferevent_socket_new(m_port.Base(), aFd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_set_timeouts(bev, &kLinkReadTimeout, nullptr);
  const uint64_t id = m_nextLinkId++;
  auto link = std::make_unique<Link>(bev, kj::heap<GateServer>(m_key, m_node));
  link->m_onDisconnect = link->m_network.onDisconnect()
                           .then([this, id] {
                             // The promise can't destroy the link that holds
                             // it, so a separate event removes the link.
                             auto later =
                               PromiseAfter(m_port.Base(), 0).then([this, id] {
                                 m_links.erase(id);
                               });
                             later.detach([](kj::Exception&&) {});
                           })
                           .eagerlyEvaluate(nullptr);
  m_links.emplace(id, std::move(link));
}

} // namespace celeryspread
