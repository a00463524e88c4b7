#include "cr_node/flow/cr_OwnershipFlow.h"

#include <algorithm>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr Duration kOwnRowInterval = Seconds(5);
constexpr Duration kOtherRowInterval = Seconds(60);
constexpr Duration kMissingRowInterval = Milliseconds(500);
constexpr Duration kReadBackDelay = Milliseconds(50);
constexpr Duration kRefreshDelay = Milliseconds(20);
/* Minimum time between two reads of a map that calls found to be stale. */
constexpr Duration kMinRefreshInterval = Seconds(1);
constexpr Duration kInitialBackoff = Milliseconds(500);
constexpr Duration kMaxBackoff = Seconds(15);
constexpr Duration kAnswerTimeout = Seconds(10);
/* Delay before the first plan, so that servers that start together all know
   each other before partitions are assigned. */
constexpr Duration kReadyStabilityTime = Milliseconds(1500);
constexpr std::size_t kMaxAuditTextSize = 4096;

bool
HasNonIdempotent(const ServiceDescription& aService)
{
  return std::any_of(
    aService.m_operations.begin(),
    aService.m_operations.end(),
    [](const auto& aEntry) { return !aEntry.second.m_idempotent; });
}

std::string
JoinChanges(const std::vector<std::string>& aChanges)
{
  std::string text;
  for (const std::string& change : aChanges) {
    if (text.size() + change.size() > kMaxAuditTextSize) {
      return text + "...";
    }
    text += change + "; ";
  }
  return text;
}

}

OwnershipFlow::OwnershipFlow(NodeShared& aShared)
  : m_shared(aShared)
  , m_random(Hash("ownership", aShared.m_identity.m_seed))
  , m_self{ aShared.m_identity.m_host,
            aShared.m_identity.m_incarnation,
            aShared.m_identity.m_peer }
{
}

void
OwnershipFlow::SetReady(std::vector<Owner> aReady)
{
  m_ready = std::move(aReady);
}

void
OwnershipFlow::SetServer(const std::string& aService,
                         ServerState aState,
                         Moment aMoment)
{
  if (m_service == aService && m_state == aState) {
    return;
  }
  m_service = aService;
  m_readySince = aState == ServerState::Ready ? aMoment.m_now : Instant::max();
  m_state = aState;
  const auto watch = m_watches.find(m_service);
  if (watch != m_watches.end()) {
    watch->second.m_nextRead = aMoment.m_now;
  }
}

void
OwnershipFlow::Advance(Moment aMoment, Actions& aActions)
{
  AddWatches(aMoment);
  for (const std::string& service : m_shared.m_owners.TakeRefreshRequests()) {
    const auto watch = m_watches.find(service);
    if (watch != m_watches.end() && watch->second.m_failures == 0) {
      const Instant earliest =
        std::max(aMoment.m_now + kRefreshDelay,
                 watch->second.m_lastRead + kMinRefreshInterval);
      watch->second.m_nextRead = std::min(watch->second.m_nextRead, earliest);
    }
  }
  for (auto& [service, watch] : m_watches) {
    if (watch.m_nextRead <= aMoment.m_now) {
      Read(service, watch, aMoment, aActions);
    }
  }
}

std::optional<std::string>
OwnershipFlow::Handle(const StoreAnswered& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  const auto found =
    std::find_if(m_watches.begin(), m_watches.end(), [&](const auto& aEntry) {
      return aEntry.second.m_openRequest == aEvent.m_call.m_sequence;
    });
  if (found == m_watches.end()) {
    return std::nullopt;
  }
  Watch& watch = found->second;
  watch.m_openRequest = 0;
  if (std::holds_alternative<StoreFailed>(aEvent.m_answer)) {
    const auto doublings = std::min<std::uint32_t>(watch.m_failures++, 5);
    watch.m_nextRead =
      aMoment.m_now +
      Jitter(std::min(kInitialBackoff * (1U << doublings), kMaxBackoff));
    return found->first;
  }
  watch.m_failures = 0;
  if (const auto* row = std::get_if<RowFound>(&aEvent.m_answer)) {
    HandleRow(found->first, *row, aMoment, aActions);
    return found->first;
  }
  watch.m_nextRead = aMoment.m_now + Jitter(kReadBackDelay);
  return std::nullopt;
}

Instant
OwnershipFlow::NextWakeup() const
{
  if (m_shared.m_owners.HasRefreshRequests() ||
      m_shared.m_configuration.Current()->m_generation != m_generation) {
    return {};
  }
  Instant due = Instant::max();
  for (const auto& [service, watch] : m_watches) {
    due = std::min(due, watch.m_nextRead);
  }
  return due;
}

//==============================================================================
void
OwnershipFlow::AddWatches(Moment aMoment)
{
  const ConfigurationPointer configuration = m_shared.m_configuration.Current();
  if (configuration->m_generation == m_generation) {
    return;
  }
  m_generation = configuration->m_generation;
  std::erase_if(m_watches, [&](const auto& aEntry) {
    return !configuration->m_services.contains(aEntry.first);
  });
  for (const auto& [service, description] : configuration->m_services) {
    if (HasNonIdempotent(description) && !m_watches.contains(service)) {
      m_watches[service].m_nextRead =
        aMoment.m_now + Jitter(kMissingRowInterval);
    }
  }
}

void
OwnershipFlow::Read(const std::string& aService,
                    Watch& aWatch,
                    Moment aMoment,
                    Actions& aActions)
{
  aWatch.m_openRequest = ++m_sequence;
  aWatch.m_lastRead = aMoment.m_now;
  aWatch.m_nextRead = aMoment.m_now + kAnswerTimeout;
  aActions.emplace_back(
    CallStore{ { StoreClient::Ownership, aWatch.m_openRequest },
               ReadRequest{ OwnershipRow(aService) } });
}

void
OwnershipFlow::HandleRow(const std::string& aService,
                         const RowFound& aAnswer,
                         Moment aMoment,
                         Actions& aActions)
{
  Watch& watch = m_watches.at(aService);
  const bool isOwn = aService == m_service;
  OwnershipMap map;
  if (aAnswer.m_row) {
    auto decoded = DecodeOwnershipMap(aAnswer.m_row->m_value);
    if (!decoded) {
      watch.m_nextRead = aMoment.m_now + Jitter(kOtherRowInterval);
      aActions.emplace_back(
        WriteLog{ "ownership",
                  fmt::format("invalid ownership map of service {}: {}",
                              aService,
                              decoded.error().m_text) });
      return;
    }
    map = std::move(*decoded);
    m_shared.m_owners.Adopt(aService,
                            std::make_shared<OwnershipMap>(map),
                            aAnswer.m_row->m_version,
                            isOwn);
  }
  const Duration interval = !aAnswer.m_row ? kMissingRowInterval
                            : isOwn        ? kOwnRowInterval
                                           : kOtherRowInterval;
  watch.m_nextRead = aMoment.m_now + Jitter(interval);
  if (isOwn && (m_state != ServerState::Ready ||
                aMoment.m_now - m_readySince >= kReadyStabilityTime)) {
    PlanOwnMap(aAnswer.m_row, map, aMoment, aActions);
  }
}

void
OwnershipFlow::PlanOwnMap(const std::optional<Row>& aRow,
                          const OwnershipMap& aMap,
                          Moment aMoment,
                          Actions& aActions)
{
  const auto plan = m_shared.m_owners.Plan(aMap, PlanInput(aMoment), m_timing);
  if (plan) {
    Commit(aRow, *plan, aMoment, aActions);
  }
}

OwnershipPlanInput
OwnershipFlow::PlanInput(Moment aMoment) const
{
  OwnershipPlanInput input{
    m_self, m_state == ServerState::Ready, {}, aMoment.m_wall
  };
  for (const Owner& owner : m_ready) {
    if (owner.m_host != m_self.m_host) {
      input.m_ready.push_back(owner);
    }
  }
  if (input.m_isReady) {
    input.m_ready.push_back(m_self);
  }
  return input;
}

void
OwnershipFlow::Commit(const std::optional<Row>& aRow,
                      const OwnershipPlan& aPlan,
                      Moment aMoment,
                      Actions& aActions)
{
  TransactRequest transaction;
  transaction.m_conditions = { { OwnershipRow(m_service),
                                 aRow ? aRow->m_version : 0 } };
  transaction.m_writes = { { OwnershipRow(m_service),
                             EncodeOwnershipMap(aPlan.m_map) } };
  if (!aPlan.m_changes.empty()) {
    Json::Value audit(Json::objectValue);
    audit["time"] = Json::Int64(aMoment.m_wall);
    audit["operator"] = m_self.m_host;
    audit["change"] = JoinChanges(aPlan.m_changes);
    transaction.m_writes.push_back(
      { OwnershipAuditRow(m_service, aPlan.m_map.m_changes),
        WriteJson(audit) });
  }
  Watch& watch = m_watches.at(m_service);
  watch.m_openRequest = ++m_sequence;
  watch.m_nextRead = aMoment.m_now + kAnswerTimeout;
  aActions.emplace_back(CallStore{
    { StoreClient::Ownership, watch.m_openRequest }, std::move(transaction) });
}

Duration
OwnershipFlow::Jitter(Duration aDuration)
{
  const auto half = aDuration.count() / 2;
  return Duration(half + static_cast<Duration::rep>(m_random.NextBelow(
                           static_cast<std::uint64_t>(aDuration.count()))));
}

}
