#include "cr_node/flow/cr_ConfigurationFlow.h"

#include <fmt/format.h>

namespace cr {

namespace {

constexpr Duration kInterval = Seconds(1);

}

ConfigurationFlow::ConfigurationFlow(NodeShared& aShared)
  : m_shared(aShared)
{
}

void
ConfigurationFlow::Advance(Moment aMoment, Actions& aActions)
{
  if (aMoment.m_now < m_nextDue) {
    return;
  }
  m_nextDue = aMoment.m_now + kInterval;
  m_fetch.reset();
  Ask(ReadRequest{ HeadRow() }, aActions);
}

void
ConfigurationFlow::Handle(const StoreAnswered& aEvent,
                          Moment /*aMoment*/,
                          Actions& aActions)
{
  if (aEvent.m_call.m_sequence != m_sequence) {
    return;
  }
  if (const auto* row = std::get_if<RowFound>(&aEvent.m_answer)) {
    TakeHead(*row, aActions);
  } else if (const auto* object = std::get_if<ObjectFound>(&aEvent.m_answer)) {
    TakeObject(*object, aActions);
  }
}

void
ConfigurationFlow::TakeHead(const RowFound& aAnswer, Actions& aActions)
{
  if (!aAnswer.m_row) {
    return;
  }
  const auto head = DecodeHead(aAnswer.m_row->m_value);
  if (!head ||
      head->m_generation <= m_shared.m_configuration.Current()->m_generation) {
    return;
  }
  m_fetch = Fetch{ *head, std::nullopt, head->m_manifest };
  Ask(GetObjectRequest{ head->m_manifest }, aActions);
}

void
ConfigurationFlow::TakeObject(const ObjectFound& aAnswer, Actions& aActions)
{
  if (!m_fetch || !aAnswer.m_content ||
      ObjectName(*aAnswer.m_content) != m_fetch->m_object) {
    return;
  }
  if (!m_fetch->m_manifest) {
    const auto manifest = DecodeManifest(*aAnswer.m_content);
    if (!manifest) {
      return;
    }
    m_fetch->m_manifest = *manifest;
  } else {
    m_objects[m_fetch->m_object] = *aAnswer.m_content;
  }
  FetchNext(aActions);
}

void
ConfigurationFlow::FetchNext(Actions& aActions)
{
  for (const auto& [service, object] : m_fetch->m_manifest->m_objects) {
    if (!m_objects.contains(object)) {
      m_fetch->m_object = object;
      Ask(GetObjectRequest{ object }, aActions);
      return;
    }
  }
  Adopt(aActions);
}

void
ConfigurationFlow::Adopt(Actions& aActions)
{
  Findings findings;
  std::vector<ServiceDescription> services;
  std::map<std::string, std::string> kept;
  for (const auto& [service, object] : m_fetch->m_manifest->m_objects) {
    services.push_back(
      ParseServiceFile(service, m_objects.at(object), findings));
    kept[object] = m_objects.at(object);
  }
  const Generation generation = m_fetch->m_head.m_generation;
  auto configuration = std::make_shared<Configuration>(
    BuildConfiguration(generation, services, findings));
  m_fetch.reset();
  m_objects = std::move(kept);
  if (!findings.empty()) {
    aActions.emplace_back(
      WriteLog{ "configuration",
                fmt::format("generation {} is at fault and is not adopted: {}",
                            generation,
                            ToText(findings.front())) });
    return;
  }
  if (m_shared.m_configuration.Adopt(std::move(configuration))) {
    aActions.emplace_back(WriteLog{
      "configuration", fmt::format("generation {} is in force", generation) });
  }
}

void
ConfigurationFlow::Ask(StoreRequest aRequest, Actions& aActions)
{
  aActions.emplace_back(CallStore{ { StoreClient::Configuration, ++m_sequence },
                                   std::move(aRequest) });
}

}
