#include "cr_configuration/publish/cr_Publisher.h"

#include <algorithm>

#include "cr_configuration/description/cr_ConfigurationCheck.h"
#include "cr_configuration/description/cr_ServiceFile.h"
#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

/* The head as read, with the version that the transaction is conditional on. */
struct Base
{
  ConfigurationHead m_head;
  RowVersion m_version = 0;
  Manifest m_manifest;
};

template<typename Answer>
Expected<Answer>
Ask(const StoreCall& aStore, const StoreRequest& aRequest)
{
  StoreAnswer answer = aStore(aRequest);
  if (auto* typed = std::get_if<Answer>(&answer)) {
    return std::move(*typed);
  }
  const auto* failed = std::get_if<StoreFailed>(&answer);
  return Failure(ErrorCode::Unavailable,
                 failed != nullptr ? failed->m_text : "unexpected answer");
}

Expected<std::string>
FetchObject(const StoreCall& aStore, const std::string& aName)
{
  auto object = Ask<ObjectFound>(aStore, GetObjectRequest{ aName });
  if (!object) {
    return tl::unexpected(object.error());
  }
  if (!object->m_content || ObjectName(*object->m_content) != aName) {
    return Failure(ErrorCode::NotFound, "object " + aName + " is missing");
  }
  return std::move(*object->m_content);
}

Expected<Base>
ReadBase(const StoreCall& aStore)
{
  Base base;
  const auto found = Ask<RowFound>(aStore, ReadRequest{ HeadRow() });
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!found->m_row) {
    return base;
  }
  const auto head = DecodeHead(found->m_row->m_value);
  if (!head) {
    return tl::unexpected(head.error());
  }
  base.m_head = *head;
  base.m_version = found->m_row->m_version;
  const auto text = FetchObject(aStore, head->m_manifest);
  if (!text) {
    return tl::unexpected(text.error());
  }
  const auto manifest = DecodeManifest(*text);
  if (!manifest) {
    return tl::unexpected(manifest.error());
  }
  base.m_manifest = *manifest;
  return base;
}

/* Service files after the change: the given ones over those in force. */
struct Change
{
  Manifest m_manifest;
  std::vector<ServiceDescription> m_services;
  std::vector<std::string> m_contents;
};

Expected<Change>
BuildChange(const PublicationRequest& aRequest,
            const Base& aBase,
            const StoreCall& aStore,
            Findings& aFindings)
{
  Change change;
  for (const ServiceFileText& file : aRequest.m_files) {
    ServiceDescription service =
      ParseServiceFile(file.m_file, file.m_text, aFindings);
    change.m_manifest.m_objects[service.m_name] = ObjectName(file.m_text);
    change.m_contents.push_back(file.m_text);
    change.m_services.push_back(std::move(service));
  }
  for (const auto& [service, object] : aBase.m_manifest.m_objects) {
    const bool removed = std::find(aRequest.m_removed.begin(),
                                   aRequest.m_removed.end(),
                                   service) != aRequest.m_removed.end();
    if (removed || change.m_manifest.m_objects.contains(service)) {
      continue;
    }
    const auto text = FetchObject(aStore, object);
    if (!text) {
      return tl::unexpected(text.error());
    }
    change.m_manifest.m_objects.emplace(service, object);
    change.m_services.push_back(
      ParseServiceFile("(in force) " + service, *text, aFindings));
  }
  return change;
}

Expected<void>
StoreObjects(const Change& aChange, const StoreCall& aStore)
{
  std::vector<std::string> contents = aChange.m_contents;
  contents.push_back(EncodeManifest(aChange.m_manifest));
  for (const std::string& content : contents) {
    const auto stored =
      Ask<Committed>(aStore, PutObjectRequest{ ObjectName(content), content });
    if (!stored) {
      return tl::unexpected(stored.error());
    }
  }
  return {};
}

std::string
AuditText(const PublicationRequest& aRequest, const ConfigurationHead& aHead)
{
  Json::Value value(Json::objectValue);
  value["kind"] = "publication";
  value["generation"] = Json::UInt64(aHead.m_generation);
  value["base"] = Json::UInt64(aHead.m_generation - 1);
  value["operator"] = aHead.m_operator;
  value["time"] = Json::Int64(aHead.m_time);
  value["publication"] = aHead.m_publication;
  for (const ServiceFileText& file : aRequest.m_files) {
    value["files"].append(file.m_file);
  }
  for (const std::string& service : aRequest.m_removed) {
    value["removed"].append(service);
  }
  return WriteJson(value);
}

PublicationResult
Commit(const PublicationRequest& aRequest,
       const Base& aBase,
       const Change& aChange,
       const StoreCall& aStore)
{
  const ConfigurationHead head{ aBase.m_head.m_generation + 1,
                                ObjectName(EncodeManifest(aChange.m_manifest)),
                                aRequest.m_publication,
                                aRequest.m_operator,
                                aRequest.m_time };
  TransactRequest transaction;
  transaction.m_conditions = { { HeadRow(), aBase.m_version } };
  transaction.m_writes = { { HeadRow(), EncodeHead(head) },
                           { AuditRow(head.m_generation),
                             AuditText(aRequest, head) } };
  const StoreAnswer answer = aStore(transaction);
  if (std::holds_alternative<Committed>(answer)) {
    return Published{ head.m_generation };
  }
  const auto now = ReadBase(aStore);
  if (!now) {
    return PublicationUnsettled{ now.error().m_text };
  }
  if (now->m_head.m_publication == aRequest.m_publication) {
    return Published{ now->m_head.m_generation };
  }
  if (std::holds_alternative<ConditionFailed>(answer)) {
    return PublicationConflict{ now->m_head };
  }
  return PublicationUnsettled{ "the platform did not answer" };
}

}

PublicationResult
Publish(const PublicationRequest& aRequest, const StoreCall& aStore)
{
  const auto base = ReadBase(aStore);
  if (!base) {
    return PublicationUnsettled{ base.error().m_text };
  }
  if (aRequest.m_base && *aRequest.m_base != base->m_head.m_generation) {
    return PublicationConflict{ base->m_head };
  }
  Findings findings;
  const auto change = BuildChange(aRequest, *base, aStore, findings);
  if (!change) {
    return PublicationUnsettled{ change.error().m_text };
  }
  if (findings.empty()) {
    BuildConfiguration(
      base->m_head.m_generation + 1, change->m_services, findings);
  }
  if (!findings.empty()) {
    return PublicationRejected{ std::move(findings) };
  }
  if (const auto stored = StoreObjects(*change, aStore); !stored) {
    return PublicationUnsettled{ stored.error().m_text };
  }
  return Commit(aRequest, *base, *change, aStore);
}

}
