#include "cr_relay_server/server/cr_RelayShell.h"

#include <array>
#include <charconv>
#include <future>
#include <thread>

#include <fmt/format.h>

#include "cr_relay_server/dialect/cr_PeerWire.h"

namespace cr {

namespace {

/* Pools that serve requests; a kept connection costs its other end little. */
constexpr std::size_t kPooledConnections = 512;
/* Other nodes keep idle connections for a minute. */
constexpr Duration kPeerIdleLimit = Seconds(20);
/* Hosts in one region answer within milliseconds; one that does not has lost
   power or is cut off, and a lost first packet comes again after a second. */
constexpr Duration kPeerConnectTimeout = Milliseconds(300);
/* Backend servers close idle connections after some seconds. */
constexpr Duration kServerIdleLimit = Seconds(5);
constexpr Duration kServerConnectTimeout = Milliseconds(300);
constexpr Duration kStoreIdleLimit = Seconds(20);
constexpr Duration kStoreConnectTimeout = Seconds(1);
/* Idle customers' connections stay open this much longer than configured. */
constexpr Duration kIdleGrace = Seconds(1);
constexpr Duration kFirstIdleLimit = Seconds(60);
/* Header bytes that nodes add to a request. */
constexpr std::uint32_t kAddedHeaderBytes = 4096;
constexpr Duration kTransferLimit = Seconds(20);

/* From the order to end until requests from customers are refused: customers
   learn from the readiness, asked for every second, to go elsewhere. */
constexpr Duration kServeWhileLeaving = Milliseconds(3000);
/* No request for this long after the customers were sent elsewhere. */
constexpr Duration kQuietTime = Milliseconds(1000);
constexpr Duration kLeastLeavingTime = Milliseconds(2200);
/* Kept for closing, out of the time that the process has for its end; a host
   gives it little of a processor just then. */
constexpr Duration kClosingReserve = Milliseconds(900);
constexpr Duration kShutdownPoll = Milliseconds(50);

HttpClientSettings
ClientSettings(Duration aIdleLimit, Duration aConnectTimeout)
{
  HttpClientSettings settings;
  settings.m_maxIdlePerEndpoint = kPooledConnections;
  settings.m_idleLimit = aIdleLimit;
  settings.m_connectTimeout = aConnectTimeout;
  settings.m_bodyBytes = std::uint64_t{ 64 } * 1024 * 1024;
  return settings;
}

std::optional<Duration>
ReadPatience(std::string_view aText)
{
  const auto milliseconds = ParseNumber<std::int64_t>(aText);
  constexpr std::int64_t longest = std::int64_t{ 24 } * 3600 * 1000;
  if (!milliseconds || *milliseconds < 0 || *milliseconds > longest) {
    return std::nullopt;
  }
  return Milliseconds(*milliseconds);
}

}

RelayServer::Implementation::Implementation(RelayServerSettings aSettings,
                                            RelayDialect aDialect)
  : m_settings(std::move(aSettings))
  , m_dialect(std::move(aDialect))
  , m_decisions(m_settings.m_relay)
  , m_log(m_settings.m_relay.m_host)
  , m_threads(1)
  , m_peerClient(m_threads, ClientSettings(kPeerIdleLimit, kPeerConnectTimeout))
  , m_serverClient(m_threads,
                   ClientSettings(kServerIdleLimit, kServerConnectTimeout))
  , m_storeClient(m_threads,
                  ClientSettings(kStoreIdleLimit, kStoreConnectTimeout))
{
}

Expected<void>
RelayServer::Implementation::Start()
{
  HttpLimits customers;
  customers.m_idle = kFirstIdleLimit;
  customers.m_transfer = kTransferLimit;
  customers.m_heldBodyBytes = m_settings.m_heldBodyBytes;
  HttpLimits peers = customers;
  peers.m_headerBytes += kAddedHeaderBytes;
  peers.m_bodyBytes = m_settings.m_heldBodyBytes;
  m_customerServer = MakeServer(customers, &Implementation::HandleCustomer);
  m_peerServer = MakeServer(peers, &Implementation::HandlePeer);
  m_controlServer = MakeServer({}, &Implementation::HandleControl);
  m_operatorServer = MakeServer({}, &Implementation::HandleOperator);
  const std::array<std::pair<HttpServer*, Endpoint>, 4> ports = { {
    { m_customerServer.get(), m_settings.m_customers },
    { m_peerServer.get(), m_settings.m_relay.m_peer },
    { m_controlServer.get(), m_settings.m_control },
    { m_operatorServer.get(), m_settings.m_operators },
  } };
  for (const auto& [server, endpoint] : ports) {
    const auto listening = server->Listen(endpoint);
    if (!listening) {
      return tl::unexpected(listening.error());
    }
  }
  m_log.Write("start",
              fmt::format("\"service\":\"{}\",\"peer\":\"{}\","
                          "\"governed\":{}",
                          m_settings.m_relay.m_service,
                          ToText(m_settings.m_relay.m_peer),
                          m_settings.m_relay.m_isGoverned));
  m_threads.Post([self = shared_from_this()] { self->Feed(RelayTimerDue{}); });
  return {};
}

void
RelayServer::Implementation::NoteSettings(std::string_view aText)
{
  m_log.Write("reload", fmt::format("\"findings\":{}", QuoteJson(aText)));
}

std::size_t
RelayServer::Implementation::Shutdown()
{
  const Instant start = IoThreads::Now();
  m_log.Write("stop", "\"phase\":\"leaving\"");
  const auto onThread = [this](auto aFunction) {
    std::promise<std::size_t> promise;
    m_threads.Post([&] { promise.set_value(aFunction()); });
    return promise.get_future().get();
  };
  onThread([this] {
    m_customerServer->CloseAfterResponses();
    Feed(RelayShutdownAsked{});
    return std::size_t{ 0 };
  });
  Instant lastBusy = start;
  std::size_t open = 0;
  while (true) {
    std::this_thread::sleep_for(kShutdownPoll);
    const Instant now = IoThreads::Now();
    const Duration passed = now - start;
    open = onThread([&] {
      m_refusesAll = passed >= kServeWhileLeaving;
      return m_open.size();
    });
    lastBusy = open > 0 ? now : lastBusy;
    const bool isQuiet =
      passed >= kLeastLeavingTime && now - lastBusy >= kQuietTime;
    if (isQuiet || passed >= m_settings.m_shutdownLimit - kClosingReserve) {
      break;
    }
  }
  onThread([this] {
    m_isClosed = true;
    return std::size_t{ 0 };
  });
  Close();
  m_log.Write("stop", fmt::format("\"phase\":\"ended\",\"cut_off\":{}", open));
  m_log.Flush();
  return open;
}

void
RelayServer::Implementation::Close()
{
  for (HttpServer* server : { m_customerServer.get(),
                              m_peerServer.get(),
                              m_controlServer.get(),
                              m_operatorServer.get() }) {
    if (server != nullptr) {
      server->Close();
    }
  }
  m_threads.Stop();
}

std::unique_ptr<HttpServer>
RelayServer::Implementation::MakeServer(const HttpLimits& aLimits,
                                        Handler aHandler)
{
  return std::make_unique<HttpServer>(
    m_threads,
    aLimits,
    [weak = weak_from_this(), aHandler](HttpRequest aRequest,
                                        const HttpResponder& aResponder) {
      const auto self = weak.lock();
      if (self && !self->m_isClosed) {
        (self.get()->*aHandler)(std::move(aRequest), aResponder);
      }
    });
}

//==============================================================================
CallId
RelayServer::Implementation::OpenCall(HttpRequest&& aRequest,
                                      const HttpResponder& aResponder,
                                      std::string_view aAt)
{
  const CallId call{ ++m_sequence };
  std::string id(
    FindHeader(aRequest.m_headers, m_dialect.m_headers.m_requestId));
  m_metrics.CountRequest(aAt);
  m_open.emplace(call,
                 Open{ std::make_shared<const HttpRequest>(std::move(aRequest)),
                       aResponder,
                       std::move(id),
                       aAt,
                       IoThreads::Now(),
                       {},
                       {},
                       {},
                       {},
                       {} });
  aResponder.NotifyOnDisconnect([weak = weak_from_this(), call] {
    const auto self = weak.lock();
    if (self && self->m_open.contains(call)) {
      self->Feed(SenderGone{ call });
      self->m_open.erase(call);
    }
  });
  return call;
}

void
RelayServer::Implementation::HandleCustomer(HttpRequest&& aRequest,
                                            const HttpResponder& aResponder)
{
  const auto& names = m_dialect.m_headers;
  RequestArrived event;
  event.m_hostName = FindHeader(aRequest.m_headers, "Host");
  event.m_target = aRequest.m_target;
  event.m_patience =
    ReadPatience(FindHeader(aRequest.m_headers, names.m_patience));
  if (FindHeader(aRequest.m_headers, names.m_requestId).empty()) {
    aResponder.Send(MakeTextResponse(
      kHttpBadRequest, "the header " + names.m_requestId + " is missing\n"));
    m_log.Write("malformed", "\"why\":\"no request identifier\"");
    return;
  }
  const CallId call = OpenCall(std::move(aRequest), aResponder, "entry");
  event.m_call = call;
  if (m_refusesAll) {
    Do(RefuseRequest{
      call, kHttpUnavailable, Reason::Leaving, Milliseconds(100) });
    return;
  }
  Feed(std::move(event));
}

void
RelayServer::Implementation::HandlePeer(HttpRequest&& aRequest,
                                        const HttpResponder& aResponder)
{
  const auto text = FindHeader(aRequest.m_headers, kRelayHeaderName);
  if (text.empty() && aRequest.m_target == kRoutesPath) {
    aResponder.Send(
      m_documentGeneration > 0
        ? MakeTextResponse(kHttpOk, m_document, "application/json")
        : MakeTextResponse(kHttpNotFound, "no routes yet\n"));
    return;
  }
  auto header = DecodeRelayHeader(text);
  if (!header) {
    m_log.Write("malformed", "\"why\":\"no relay header from a node\"");
    aResponder.Send(
      MakeTextResponse(kHttpBadRequest, header.error().m_text + "\n"));
    return;
  }
  const Endpoint sender{ aRequest.m_remoteAddress,
                         m_settings.m_relay.m_peer.m_port };
  const Generation generation = header->m_generation;
  std::string origin(
    FindHeader(aRequest.m_headers, m_dialect.m_headers.m_callerService));
  const CallId call = OpenCall(std::move(aRequest), aResponder, "peer");
  Feed(PeerRequestArrived{ call, std::move(*header), std::move(origin) });
  NoteGeneration(generation, sender);
}

void
RelayServer::Implementation::HandleControl(HttpRequest&& aRequest,
                                           const HttpResponder& aResponder)
{
  auto message = m_dialect.m_readControl(aRequest);
  if (!message) {
    m_log.Write("malformed",
                fmt::format("\"why\":{}", QuoteJson(message.error().m_text)));
    const unsigned status = message.error().m_code == ErrorCode::NotFound
                              ? kHttpNotFound
                              : kHttpBadRequest;
    aResponder.Send(MakeTextResponse(status, message.error().m_text + "\n"));
    return;
  }
  std::visit([this](auto& aTyped) { Feed(std::move(aTyped)); }, *message);
  // The gate is as the message says before the server reads the answer.
  aResponder.Send(MakeTextResponse(kHttpOk, "{}", "application/json"));
}

void
RelayServer::Implementation::HandleOperator(HttpRequest&& aRequest,
                                            const HttpResponder& aResponder)
{
  if (aRequest.m_target == "/metrics") {
    aResponder.Send(MakeTextResponse(
      kHttpOk,
      m_metrics.Write(m_decisions.Status(IoThreads::Now()), m_log.Lost()),
      "text/plain; version=0.0.4"));
    return;
  }
  if (aRequest.m_target != "/ready") {
    aResponder.Send(MakeTextResponse(kHttpNotFound, "no such path\n"));
    return;
  }
  const bool isReady = m_decisions.IsReady();
  aResponder.Send(MakeTextResponse(isReady ? kHttpOk : kHttpUnavailable,
                                   isReady ? "ready\n" : "not ready\n"));
}

//==============================================================================
void
RelayServer::Implementation::Feed(RelayEvent aEvent)
{
  if (m_isClosed) {
    return;
  }
  m_events.push_back(std::move(aEvent));
  if (m_isFeeding) {
    return;
  }
  m_isFeeding = true;
  while (!m_events.empty()) {
    const RelayEvent event = std::move(m_events.front());
    m_events.pop_front();
    RelayActions actions;
    m_decisions.Handle(event, IoThreads::Now(), actions);
    Carry(actions);
  }
  m_isFeeding = false;
  ArmTimer();
}

void
RelayServer::Implementation::Carry(RelayActions& aActions)
{
  for (const RelayAction& action : aActions) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
}

void
RelayServer::Implementation::NoteGeneration(Generation aGeneration,
                                            const Endpoint& aPeer)
{
  RelayActions actions;
  m_decisions.NoteGeneration(aGeneration, aPeer, IoThreads::Now(), actions);
  Carry(actions);
}

void
RelayServer::Implementation::ArmTimer()
{
  const Instant due = m_decisions.NextWakeup();
  if (due >= m_armedFor) {
    return;
  }
  m_timer.Cancel();
  m_armedFor = due;
  const Duration delay =
    std::max<Duration>(due - IoThreads::Now(), Milliseconds(1));
  m_timer = m_threads.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->m_armedFor = Instant::max();
      self->Feed(RelayTimerDue{});
    }
  });
}

RelayServer::Implementation::Open*
RelayServer::Implementation::Find(CallId aCall)
{
  const auto open = m_open.find(aCall);
  return open != m_open.end() ? &open->second : nullptr;
}

//==============================================================================
void
RelayServer::Implementation::OfferRoutes(std::string_view aDocument,
                                         std::string_view aSource)
{
  auto routes = m_dialect.m_readRoutes(aDocument);
  if (!routes) {
    m_log.Write("unreadable-routes",
                fmt::format("\"source\":\"{}\",\"why\":{}",
                            aSource,
                            QuoteJson(routes.error().m_text)));
    return;
  }
  if (routes->m_generation <= m_documentGeneration) {
    return;
  }
  m_documentGeneration = routes->m_generation;
  m_document = aDocument;
  HttpLimits limits;
  limits.m_headerBytes = routes->m_limits.m_headerBytes;
  limits.m_bodyBytes = routes->m_limits.m_bodyBytes;
  limits.m_header = routes->m_limits.m_headerTimeout;
  limits.m_idle = routes->m_limits.m_idleTimeout + kIdleGrace;
  limits.m_transfer = kTransferLimit;
  limits.m_heldBodyBytes = m_settings.m_heldBodyBytes;
  m_customerServer->SetLimits(limits);
  limits.m_headerBytes += kAddedHeaderBytes;
  limits.m_idle = kFirstIdleLimit;
  m_peerServer->SetLimits(limits);
  Feed(RoutesOffered{ std::move(*routes) });
}

void
RelayServer::Implementation::TakeHealth(const HttpResult& aResult)
{
  HealthAnswered event;
  if (const auto* response = std::get_if<HttpResponse>(&aResult)) {
    event.m_isHealthy = response->m_status == kHttpOk;
    event.m_id =
      FindHeader(response->m_headers, m_dialect.m_headers.m_serverId);
    const std::string_view load =
      FindHeader(response->m_headers, m_dialect.m_headers.m_load);
    const std::size_t last = load.rfind(',');
    if (last != std::string_view::npos) {
      const std::string_view slots = load.substr(last + 1);
      const auto read = std::from_chars(
        slots.data(), slots.data() + slots.size(), event.m_slots);
      if (read.ec != std::errc()) {
        m_log.Write("malformed", "\"why\":\"load of the backend server\"");
      }
    }
  }
  Feed(event);
}

}
