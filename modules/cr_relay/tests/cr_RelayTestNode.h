#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "cr_relay/cr_relay.h"

namespace cr {

/** Test fixture with one relaying node: feeds events and collects the
    actions. */
class RelayTestNode
{
public:
  explicit RelayTestNode(RelaySettings aSettings = Settings("host-1"))
    : m_decisions(std::move(aSettings))
  {
  }

  static RelaySettings Settings(const std::string& aHost)
  {
    RelaySettings settings;
    settings.m_host = aHost;
    settings.m_incarnation = Incarnation{ 1 };
    settings.m_region = "region";
    settings.m_dataCentre = "centre";
    settings.m_peer = PeerOf(aHost);
    settings.m_service = "orders";
    settings.m_routesRow = { "routes", "all" };
    settings.m_retryRatio = 0.5;
    settings.m_retrySlack = 10;
    return settings;
  }

  static Endpoint PeerOf(const std::string& aHost) { return { aHost, 7000 }; }

  /** Returns the row of a host whose backend server is ready. */
  static NodeRow ReadyRow(const std::string& aHost, const std::string& aService)
  {
    NodeRow row;
    row.m_host = aHost;
    row.m_incarnation = Incarnation{ 1 };
    row.m_region = "region";
    row.m_dataCentre = "centre";
    row.m_peer = PeerOf(aHost);
    row.m_service = aService;
    row.m_state = ServerState::Ready;
    return row;
  }

  /** Returns a route of the host name "shop" to a service whose name is also
      the path prefix. */
  static RouteDescription Route(const std::string& aService, bool aIsIdempotent)
  {
    RouteDescription route;
    route.m_name = "route-" + aService;
    route.m_host = "shop";
    route.m_prefix = "/" + aService + "/";
    route.m_services = { { aService, 1 } };
    route.m_idempotent = aIsIdempotent;
    route.m_attempts = 2;
    route.m_timeout = Seconds(5);
    route.m_objective = Seconds(1);
    return route;
  }

  void AdoptRoutes(Generation aGeneration,
                   std::vector<RouteDescription> aRoutes)
  {
    RouteConfiguration configuration;
    configuration.m_generation = aGeneration;
    configuration.m_routes = std::move(aRoutes);
    configuration.m_services["orders"] = { "/health" };
    Feed(RoutesOffered{ std::move(configuration) });
  }

  /** Answers the node's scan or watch of the node table with hosts of the
      service. */
  void AdoptNodes(const std::string& aService,
                  const std::vector<std::string>& aHosts)
  {
    RowPage page{ {}, false, 1 };
    RowChanges changes{ {}, 1 };
    for (const std::string& host : aHosts) {
      const Row row{ host, EncodeNodeRow(ReadyRow(host, aService)), 1 };
      page.m_rows.push_back(row);
      changes.m_changes.push_back({ row, false });
    }
    for (const auto& call : TakeActions<RelayCallStore>()) {
      const auto* scan = std::get_if<ScanRequest>(&call.m_request);
      const auto* watch = std::get_if<WatchRequest>(&call.m_request);
      if (scan != nullptr && scan->m_table == kNodeTable) {
        Feed(RelayStoreAnswered{ call.m_id, page });
      } else if (watch != nullptr && watch->m_table == kNodeTable) {
        Feed(RelayStoreAnswered{ call.m_id, changes });
      }
    }
  }

  void Announce(std::uint32_t aSlots,
                std::uint64_t aSequence = 1,
                bool aIsLeaving = false)
  {
    ServerAnnouncement announcement;
    announcement.m_id = "server-1";
    announcement.m_service = "orders";
    announcement.m_slots = aSlots;
    announcement.m_startTime = 1000;
    announcement.m_sequence = aSequence;
    announcement.m_isLeaving = aIsLeaving;
    Feed(BackendAnnounced{ announcement });
  }

  CallId Request(const std::string& aTarget,
                 Duration aCallerTimeout = Seconds(5))
  {
    const CallId call{ ++m_calls };
    RequestArrived event;
    event.m_call = call;
    event.m_hostName = "shop";
    event.m_target = aTarget;
    event.m_callerTimeout = aCallerTimeout;
    Feed(event);
    return call;
  }

  /** A request with a content of its own, if none is given. */
  CallId PeerRequest(bool aIsIdempotent,
                     Duration aMaxWait = Seconds(1),
                     std::optional<RequestKey> aContent = std::nullopt,
                     const std::string& aRoute = "route-orders")
  {
    const CallId call{ ++m_calls };
    RelayHeader header;
    header.m_service = "orders";
    header.m_content = aContent.value_or(RequestKey{ 7, m_calls });
    header.m_route = aRoute;
    header.m_remaining = Seconds(5);
    header.m_maxWait = aMaxWait;
    header.m_isIdempotent = aIsIdempotent;
    Feed(PeerRequestArrived{ call, header, "front" });
    return call;
  }

  void Feed(const RelayEvent& aEvent)
  {
    m_decisions.Handle(aEvent, m_now, m_actions);
  }

  /** Returns the collected actions of one kind and removes them. */
  template<typename Kind>
  std::vector<Kind> TakeActions()
  {
    std::vector<Kind> taken;
    std::erase_if(m_actions, [&](const RelayAction& aAction) {
      const auto* action = std::get_if<Kind>(&aAction);
      if (action != nullptr) {
        taken.push_back(*action);
      }
      return action != nullptr;
    });
    return taken;
  }

  /** Returns the number of collected log lines of one kind and removes all log
      lines. */
  long CountLogLines(std::string_view aEvent)
  {
    const auto lines = TakeActions<LogDecision>();
    return std::count_if(lines.begin(), lines.end(), [&](const auto& aLine) {
      return aLine.m_event == aEvent;
    });
  }

  RelayDecisions m_decisions;
  Instant m_now{ Seconds(100) };

private:
  RelayActions m_actions;
  std::uint64_t m_calls = 0;
};

}
