#include "tests/cr_RelayFleet.h"

#include <gtest/gtest.h>

#include <sstream>
#include <thread>

#include <boost/asio/write.hpp>

namespace cr {

namespace {

/* Parses the test's route document: generation, max body bytes and names of
   services, separated by spaces. */
Expected<RouteConfiguration>
ReadTestRoutes(std::string_view aText)
{
  std::istringstream text{ std::string(aText) };
  RouteConfiguration configuration;
  if (!(text >> configuration.m_generation >>
        configuration.m_limits.m_bodyBytes)) {
    return Failure(ErrorCode::Malformed, "no generation or no limit");
  }
  std::string service;
  while (text >> service) {
    RouteDescription route;
    route.m_name = service;
    route.m_host = "shop";
    route.m_prefix = "/" + service + "/";
    route.m_services = { { service, 1 } };
    route.m_idempotent = service != "booking";
    route.m_attempts = 2;
    route.m_timeout = Seconds(3);
    configuration.m_routes.push_back(route);
    configuration.m_services[service] = { "/health" };
  }
  return configuration;
}

/* Held while a node is to be blocked. */
std::mutex blockMutex;
std::atomic<bool> isNodeBlocked{ false };

/* Parses the test's announcement: service, sequence, and 1 when leaving. The
   text "block" blocks the node's I/O thread as long as a NodeBlock exists. */
Expected<ControlMessage>
ReadTestControl(const HttpRequest& aRequest)
{
  if (aRequest.m_body == "block") {
    isNodeBlocked = true;
    const std::lock_guard lock(blockMutex);
    isNodeBlocked = false;
    return Failure(ErrorCode::Malformed, "not an announcement");
  }
  std::istringstream text(aRequest.m_body);
  ServerAnnouncement announcement;
  announcement.m_id = "server";
  announcement.m_slots = 8;
  announcement.m_startTime = 1000;
  if (!(text >> announcement.m_service >> announcement.m_sequence >>
        announcement.m_isLeaving)) {
    return Failure(ErrorCode::Malformed, "no announcement");
  }
  return ControlMessage(BackendAnnounced{ announcement });
}

}

RelayFleet::RelayFleet(const std::vector<std::string>& aServices,
                       const std::optional<Endpoint>& aStore)
  : m_platformAddress(m_platform.Listen({ "127.0.0.1", 0 }).value())
  , m_storeAddress(aStore.value_or(m_platformAddress))
{
  for (const std::string& service : aServices) {
    StartHost(service);
  }
}

RelayFleet::~RelayFleet()
{
  for (const auto& host : m_hosts) {
    host->m_node.reset();
    host->m_server->Close();
  }
  m_threads.Stop();
}

RelayProtocolAdapter
RelayFleet::MakeAdapter() const
{
  RelayProtocolAdapter adapter;
  adapter.m_readRoutes = ReadTestRoutes;
  adapter.m_readControl = ReadTestControl;
  adapter.m_writeStoreCall = WriteStoreCall;
  adapter.m_readStoreAnswer = [](const StoreRequest& /*aRequest*/,
                                 const HttpResult& aResult) {
    return ReadStoreAnswer(aResult);
  };
  return adapter;
}

void
RelayFleet::StartHost(const std::string& aService)
{
  auto host = std::make_unique<Host>();
  host->m_address = "127.0.8." + std::to_string(m_hosts.size() + 1);
  StartServer(*host);
  RelayServerSettings settings;
  settings.m_relay.m_host = host->m_address;
  settings.m_relay.m_incarnation = Incarnation{ 1 };
  settings.m_relay.m_region = "region";
  settings.m_relay.m_dataCentre = "centre";
  settings.m_relay.m_peer = { host->m_address, kPeerPort };
  settings.m_relay.m_service = aService;
  settings.m_relay.m_routesRow = { "operator", "routes" };
  settings.m_relay.m_seed = m_hosts.size();
  settings.m_customers = { host->m_address, kCustomerPort };
  settings.m_operators = { host->m_address, kOperatorPort };
  settings.m_control = { host->m_address, kControlPort };
  settings.m_server = { host->m_address, kServerPort };
  settings.m_platform = m_storeAddress;
  settings.m_shutdownLimit = kShutdownLimit;
  host->m_settings = settings;
  m_hosts.push_back(std::move(host));
  StartNode(*m_hosts.back());
}

void
RelayFleet::StartServer(Host& aHost)
{
  Host* self = &aHost;
  aHost.m_server = std::make_unique<HttpServer>(
    m_threads, HttpLimits{}, [this, self](HttpRequest aRequest, auto aAnswer) {
      HttpResponse response;
      response.m_headers = {
        { "Cr-Request",
          std::string(FindHeader(aRequest.m_headers, "Cr-Request")) },
        { "Cr-Server", "server" },
        { "Cr-Server-Load", "0,0,8" }
      };
      if (self->m_rateLimit > 0) {
        response.m_headers.push_back(
          { "Cr-Server-Limit", std::to_string(self->m_rateLimit) });
      }
      if (self->m_isLeaving) {
        response.m_headers.push_back({ "Cr-Server-Leaving", "1" });
      }
      if (aRequest.m_target == "/health") {
        aAnswer.Send(response);
        return;
      }
      ++self->m_requestsRun;
      if (aRequest.m_target == m_crashingTarget) {
        m_threads.After(Milliseconds(50), [this, self] { CrashServer(*self); });
        return;
      }
      response.m_body =
        aRequest.m_method + " " + aRequest.m_target + " " + aRequest.m_body +
        " from " +
        std::string(FindHeader(aRequest.m_headers, "Cr-Caller-Service"));
      m_threads.After(self->m_responseDelay,
                      [aAnswer, response] { aAnswer.Send(response); });
    });
  aHost.m_server->Listen({ aHost.m_address, kServerPort }).value();
}

std::unique_ptr<ScriptedServer>
RelayFleet::ReplaceServer(std::size_t aHost,
                          const ScriptedHandler& aHandler,
                          std::size_t aUnreadBytes)
{
  Host& host = At(aHost);
  host.m_server->Close();
  ScriptedServerSettings settings;
  settings.m_endpoint = { host.m_address, kServerPort };
  settings.m_unreadBytes = aUnreadBytes;
  // The port is free again a moment after Close().
  for (int attempt = 0;; ++attempt) {
    try {
      return std::make_unique<ScriptedServer>(aHandler, settings);
    } catch (const boost::system::system_error&) {
      if (attempt == 100) {
        throw;
      }
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
}

/* Closes all connections, and listens again a little later. */
void
RelayFleet::CrashServer(Host& aHost)
{
  ++m_crashes;
  aHost.m_server->Close();
  m_threads.After(Milliseconds(300), [this, &aHost] { StartServer(aHost); });
}

void
RelayFleet::StartNode(Host& aHost)
{
  aHost.m_node = std::make_unique<RelayServer>(aHost.m_settings, MakeAdapter());
  EXPECT_TRUE(aHost.m_node->Start());
}

void
RelayFleet::Restart(std::size_t aHost)
{
  Host& host = At(aHost);
  host.m_node.reset();
  host.m_settings.m_relay.m_incarnation = Incarnation{
    static_cast<std::uint64_t>(host.m_settings.m_relay.m_incarnation) + 1
  };
  StartNode(host);
}

void
RelayFleet::WriteRoutes(Generation aGeneration,
                        const std::vector<std::string>& aServices,
                        std::uint64_t aBodyBytes)
{
  std::string document =
    std::to_string(aGeneration) + " " + std::to_string(aBodyBytes);
  for (const std::string& service : aServices) {
    document += " " + service;
  }
  m_platform.Execute(
    TransactRequest{ {}, { { { "operator", "routes" }, document } } });
}

HttpResponse
RelayFleet::SendTo(std::size_t aHost, std::uint16_t aPort, HttpRequest aRequest)
{
  const auto result = m_client.SendAndWait(
    { At(aHost).m_address, aPort }, std::move(aRequest), Seconds(5));
  const auto* response = std::get_if<HttpResponse>(&result);
  return response != nullptr ? *response : HttpResponse{ 0, {}, "no answer" };
}

unsigned
RelayFleet::Announce(std::size_t aHost, int aSequence, bool aIsLeaving)
{
  HttpRequest request;
  request.m_method = "PUT";
  request.m_body =
    "status " + std::to_string(aSequence) + (aIsLeaving ? " 1" : " 0");
  return SendTo(aHost, kControlPort, std::move(request)).m_status;
}

RelayFleet::NodeBlock
RelayFleet::BlockNode(std::size_t aHost)
{
  NodeBlock block;
  block.m_lock = std::unique_lock(blockMutex);
  HttpRequest request;
  request.m_method = "PUT";
  request.m_body = "block";
  block.m_unblocked = std::async(std::launch::async, [this, aHost, request] {
    SendTo(aHost, kControlPort, request);
  });
  while (!isNodeBlocked) {
    std::this_thread::yield();
  }
  return block;
}

int
RelayFleet::CountDecisions(std::size_t aHost, const std::string& aEvent)
{
  const std::string metrics =
    SendTo(aHost, kOperatorPort, { "GET", "/metrics", {}, "" }).m_body;
  const std::string name = "decisions_total{event=\"" + aEvent + "\"} ";
  const std::size_t place = metrics.find(name);
  return place == std::string::npos
           ? 0
           : std::stoi(metrics.substr(place + name.size()));
}

boost::asio::ip::tcp::socket
RelayFleet::SendOnSocket(std::size_t aHost, const std::string& aTarget)
{
  namespace asio = boost::asio;
  asio::ip::tcp::socket socket(m_socketContext);
  socket.connect(
    { asio::ip::make_address(At(aHost).m_address), kCustomerPort });
  asio::write(socket,
              asio::buffer("GET " + aTarget +
                           " HTTP/1.1\r\nHost: shop\r\nCr-Request: " +
                           std::to_string(++m_requests) +
                           "\r\nCr-Remaining-Ms: 3000\r\n\r\n"));
  return socket;
}

HttpResponse
RelayFleet::Send(std::size_t aHost,
                 const std::string& aTarget,
                 HttpHeaders aHeaders)
{
  return SendWithId(
    aHost, aTarget, std::to_string(++m_requests), std::move(aHeaders));
}

HttpResponse
RelayFleet::SendWithId(std::size_t aHost,
                       const std::string& aTarget,
                       const std::string& aId,
                       HttpHeaders aHeaders)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = aTarget;
  request.m_body = "body";
  request.m_headers = std::move(aHeaders);
  request.m_headers.push_back({ "Host", "shop" });
  request.m_headers.push_back({ "Cr-Request", aId });
  request.m_headers.push_back({ "Cr-Remaining-Ms", "3000" });
  return SendTo(aHost, kCustomerPort, std::move(request));
}

void
RelayFleet::FillRetryBudget(const std::string& aTarget)
{
  ASSERT_EQ(SendUntil(0, aTarget, kHttpOk), kHttpOk);
  for (int request = 0; request < 60; ++request) {
    ASSERT_EQ(Send(0, aTarget).m_status, kHttpOk);
  }
}

unsigned
RelayFleet::SendUntil(std::size_t aHost,
                      const std::string& aTarget,
                      unsigned aStatus)
{
  unsigned status = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    status = Send(aHost, aTarget).m_status;
    if (status == aStatus) {
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return status;
}

}
