#include "cr_node/flow/cr_ConfigurationFlow.h"

#include <algorithm>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr Duration kHeadIntervalPerNode = Milliseconds(10);
constexpr Duration kMinHeadInterval = Seconds(2);
constexpr Duration kMaxHeadInterval = Seconds(10);
constexpr Duration kFetchStepTimeout = Seconds(3);
constexpr Duration kPlatformHeadStart = Milliseconds(100);
constexpr Duration kMinNotifiedFetchInterval = Milliseconds(500);
constexpr std::size_t kMaxObjects = 1024;
constexpr double kMinJitterFactor = 0.75;
constexpr double kJitterRange = 0.5;

}

ConfigurationFlow::ConfigurationFlow(NodeShared& aShared)
  : m_shared(aShared)
  , m_random(Hash("configuration", aShared.m_identity.m_seed))
{
}

//==============================================================================
void
ConfigurationFlow::OnPeerGeneration(Generation aGeneration,
                                    const std::optional<Endpoint>& aPeer,
                                    Moment aMoment,
                                    Actions& aActions)
{
  if (aGeneration <= std::max(ActiveGeneration(), m_rejectedGeneration)) {
    return;
  }
  if (aPeer) {
    const bool isFetching =
      m_fetch && (m_fetch->m_peer ||
                  aMoment.m_now - m_fetch->m_stepStarted < kPlatformHeadStart);
    if (!isFetching) {
      StartFetch(aPeer, aMoment, aActions);
    }
  } else if (!m_fetch && aMoment.m_now >= m_nextNotifiedFetch) {
    m_nextNotifiedFetch = aMoment.m_now + kMinNotifiedFetchInterval;
    StartFetch(std::nullopt, aMoment, aActions);
  }
}

void
ConfigurationFlow::Advance(Moment aMoment, Actions& aActions)
{
  if (aMoment.m_now < m_nextHeadRead) {
    return;
  }
  const Duration interval = std::clamp<Duration>(
    kHeadIntervalPerNode * m_fleetSize, kMinHeadInterval, kMaxHeadInterval);
  m_nextHeadRead =
    aMoment.m_now +
    Scale(interval, kMinJitterFactor + kJitterRange * m_random.NextDouble());
  if (m_fetch && aMoment.m_now - m_fetch->m_stepStarted < kFetchStepTimeout) {
    return;
  }
  StartFetch(std::nullopt, aMoment, aActions);
}

void
ConfigurationFlow::Handle(const StoreAnswered& aEvent,
                          Moment aMoment,
                          Actions& aActions)
{
  if (aEvent.m_call.m_sequence != m_sequence || !m_fetch || m_fetch->m_peer) {
    return;
  }
  if (const auto* row = std::get_if<RowFound>(&aEvent.m_answer);
      row != nullptr && row->m_row) {
    HandleContent(row->m_row->m_value, aMoment, aActions);
  } else if (const auto* object = std::get_if<ObjectFound>(&aEvent.m_answer);
             object != nullptr && object->m_content) {
    HandleContent(*object->m_content, aMoment, aActions);
  } else {
    HandleFailure(aMoment, aActions);
  }
}

void
ConfigurationFlow::Handle(const ObjectFetched& aEvent,
                          Moment aMoment,
                          Actions& aActions)
{
  if (aEvent.m_id != m_sequence || !m_fetch || !m_fetch->m_peer) {
    return;
  }
  if (aEvent.m_content) {
    HandleContent(*aEvent.m_content, aMoment, aActions);
  } else {
    HandleFailure(aMoment, aActions);
  }
}

void
ConfigurationFlow::Handle(const ObjectRequested& aEvent,
                          Moment /*aMoment*/,
                          Actions& aActions)
{
  AnswerObject answer{ aEvent.m_call, std::nullopt };
  const auto object = m_objects.find(aEvent.m_name);
  if (aEvent.m_name == kHeadObject && !m_headText.empty()) {
    answer.m_content = m_headText;
  } else if (aEvent.m_name == m_manifestName && !m_manifestName.empty()) {
    answer.m_content = m_manifestText;
  } else if (object != m_objects.end()) {
    answer.m_content = object->second;
  }
  aActions.emplace_back(std::move(answer));
}

//==============================================================================
void
ConfigurationFlow::StartFetch(std::optional<Endpoint> aPeer,
                              Moment aMoment,
                              Actions& aActions)
{
  m_fetch.emplace();
  m_fetch->m_peer = std::move(aPeer);
  RequestObject(std::string(kHeadObject), aMoment, aActions);
}

void
ConfigurationFlow::RequestObject(std::string aObject,
                                 Moment aMoment,
                                 Actions& aActions)
{
  m_fetch->m_object = std::move(aObject);
  m_fetch->m_stepStarted = aMoment.m_now;
  ++m_sequence;
  if (m_fetch->m_peer) {
    aActions.emplace_back(
      FetchObject{ m_sequence, *m_fetch->m_peer, m_fetch->m_object });
    return;
  }
  StoreRequest request = GetObjectRequest{ m_fetch->m_object };
  if (!m_fetch->m_head) {
    request = ReadRequest{ HeadRow() };
  }
  aActions.emplace_back(CallStore{ { StoreClient::Configuration, m_sequence },
                                   std::move(request) });
}

void
ConfigurationFlow::HandleContent(const std::string& aContent,
                                 Moment aMoment,
                                 Actions& aActions)
{
  if (!m_fetch->m_head) {
    HandleHead(aContent, aMoment, aActions);
  } else if (ObjectName(aContent) != m_fetch->m_object) {
    HandleFailure(aMoment, aActions);
  } else if (!m_fetch->m_manifest) {
    HandleManifest(aContent, aMoment, aActions);
  } else {
    m_objects[m_fetch->m_object] = aContent;
    FetchNext(aMoment, aActions);
  }
}

void
ConfigurationFlow::HandleHead(const std::string& aContent,
                              Moment aMoment,
                              Actions& aActions)
{
  const auto head = DecodeHead(aContent);
  if (!head || head->m_generation <=
                 std::max(ActiveGeneration(), m_rejectedGeneration)) {
    m_fetch.reset();
    return;
  }
  m_fetch->m_head = *head;
  RequestObject(head->m_manifest, aMoment, aActions);
}

void
ConfigurationFlow::HandleManifest(const std::string& aContent,
                                  Moment aMoment,
                                  Actions& aActions)
{
  const auto manifest = DecodeManifest(aContent);
  if (!manifest || manifest->m_objects.size() > kMaxObjects) {
    HandleFailure(aMoment, aActions);
    return;
  }
  m_fetch->m_manifestText = aContent;
  m_fetch->m_manifest = *manifest;
  FetchNext(aMoment, aActions);
}

void
ConfigurationFlow::FetchNext(Moment aMoment, Actions& aActions)
{
  for (const auto& [service, object] : m_fetch->m_manifest->m_objects) {
    if (!m_objects.contains(object)) {
      RequestObject(object, aMoment, aActions);
      return;
    }
  }
  Activate(aActions);
}

/* After a peer failed, retries with the platform. After the platform failed,
   the next gossip message or read of the head starts a new fetch. */
void
ConfigurationFlow::HandleFailure(Moment aMoment, Actions& aActions)
{
  const bool wasPeer = m_fetch->m_peer.has_value();
  m_fetch.reset();
  if (wasPeer) {
    StartFetch(std::nullopt, aMoment, aActions);
  }
}

void
ConfigurationFlow::Activate(Actions& aActions)
{
  const Fetch fetch = std::move(*m_fetch);
  m_fetch.reset();
  Findings findings;
  std::vector<ServiceDescription> services;
  std::map<std::string, std::string> kept;
  for (const auto& [service, object] : fetch.m_manifest->m_objects) {
    const std::string& text = m_objects.at(object);
    services.push_back(ParseServiceFile(service, text, findings));
    kept[object] = text;
  }
  const Generation generation = fetch.m_head->m_generation;
  auto configuration = std::make_shared<Configuration>(
    BuildConfiguration(generation, services, findings));
  if (!findings.empty()) {
    m_rejectedGeneration = generation;
    aActions.emplace_back(
      WriteLog{ "configuration",
                fmt::format("generation {} is invalid and is not activated: {}",
                            generation,
                            ToText(findings.front())) });
    return;
  }
  if (m_shared.m_configuration.Activate(std::move(configuration))) {
    m_objects = std::move(kept);
    m_headText = EncodeHead(*fetch.m_head);
    m_manifestName = fetch.m_head->m_manifest;
    m_manifestText = fetch.m_manifestText;
    aActions.emplace_back(WriteLog{
      "configuration", fmt::format("generation {} is active", generation) });
  }
}

Generation
ConfigurationFlow::ActiveGeneration() const
{
  return m_shared.m_configuration.Current()->m_generation;
}

}
