#include "cr_configuration/publish/cr_Publisher.h"

#include <algorithm>

#include <fmt/format.h>

#include "cr_configuration/description/cr_ConfigurationCheck.h"
#include "cr_configuration/description/cr_ServiceFile.h"
#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

constexpr int kMaxCommitAttempts = 3;
constexpr int kMaxPublishAttempts = 8;
constexpr std::uint32_t kPageLimit = 200;
/* Number of newest generations that are searched for an earlier commit of a
   retried publication; they cover a few days. */
constexpr Generation kRetryWindow = 10000;

/* Active configuration on which a publication is based. The transaction commits
   only if the head row still has this version. */
struct Base
{
  ConfigurationHead m_head;
  RowVersion m_version = 0;
  Manifest m_manifest;
};

template<typename Answer>
Expected<Answer>
Send(const StoreCall& aStore, const StoreRequest& aRequest)
{
  StoreAnswer answer = aStore(aRequest);
  if (auto* typed = std::get_if<Answer>(&answer)) {
    return std::move(*typed);
  }
  const auto* failed = std::get_if<StoreFailed>(&answer);
  return Failure(ErrorCode::Unavailable,
                 failed != nullptr
                   ? failed->m_text
                   : "the store sent an answer of an unexpected type");
}

Expected<std::string>
FetchObject(const StoreCall& aStore, const std::string& aName)
{
  auto object = Send<ObjectFound>(aStore, GetObjectRequest{ aName });
  if (!object) {
    return tl::unexpected(object.error());
  }
  if (!object->m_content || ObjectName(*object->m_content) != aName) {
    return Failure(ErrorCode::NotFound,
                   "object " + aName + " is missing or corrupt");
  }
  return std::move(*object->m_content);
}

Expected<Base>
ReadBase(const StoreCall& aStore)
{
  Base base;
  const auto found = Send<RowFound>(aStore, ReadRequest{ HeadRow() });
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

Expected<std::optional<PublicationRecord>>
ReadRecord(const StoreCall& aStore, Generation aGeneration)
{
  const auto found =
    Send<RowFound>(aStore, ReadRequest{ AuditRow(aGeneration) });
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!found->m_row) {
    return std::optional<PublicationRecord>();
  }
  const auto record = DecodeRecord(found->m_row->m_value);
  if (!record) {
    return tl::unexpected(record.error());
  }
  return std::optional<PublicationRecord>(*record);
}

/* Service files after the change: the start manifest's files, replaced by or
   extended with the given ones. */
struct Change
{
  Manifest m_manifest;
  std::vector<ServiceDescription> m_services;
  std::vector<std::string> m_contents;
};

/* Returns the manifest that the change applies to: that of the base, or that of
   the generation to republish. */
Expected<Manifest>
ReadStartManifest(const PublicationRequest& aRequest,
                  const Base& aBase,
                  const StoreCall& aStore)
{
  if (!aRequest.m_sourceGeneration) {
    return aBase.m_manifest;
  }
  const auto record = ReadRecord(aStore, *aRequest.m_sourceGeneration);
  if (!record) {
    return tl::unexpected(record.error());
  }
  if (!*record) {
    return Failure(ErrorCode::NotFound,
                   fmt::format("generation {} does not exist",
                               *aRequest.m_sourceGeneration));
  }
  const auto text = FetchObject(aStore, (*record)->m_head.m_manifest);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return DecodeManifest(*text);
}

void
AddFiles(const PublicationRequest& aRequest,
         Change& aChange,
         Findings& aFindings)
{
  for (const ServiceFileText& file : aRequest.m_files) {
    ServiceDescription service =
      ParseServiceFile(file.m_file, file.m_text, aFindings);
    aChange.m_manifest.m_objects[service.m_name] = ObjectName(file.m_text);
    aChange.m_contents.push_back(file.m_text);
    aChange.m_services.push_back(std::move(service));
  }
}

Expected<Change>
BuildChange(const PublicationRequest& aRequest,
            const Base& aBase,
            const StoreCall& aStore,
            Findings& aFindings)
{
  const auto start = ReadStartManifest(aRequest, aBase, aStore);
  if (!start) {
    return tl::unexpected(start.error());
  }
  Change change;
  AddFiles(aRequest, change, aFindings);
  for (const std::string& service : aRequest.m_removed) {
    if (!start->m_objects.contains(service)) {
      aFindings.push_back(
        { { "--remove", 1, 1 },
          fmt::format("service \"{}\" is not in the active configuration",
                      service) });
    }
  }
  for (const auto& [service, object] : start->m_objects) {
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
      ParseServiceFile("(active) " + service, *text, aFindings));
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
      Send<Committed>(aStore, PutObjectRequest{ ObjectName(content), content });
    if (!stored) {
      return tl::unexpected(stored.error());
    }
  }
  return {};
}

PublicationRecord
BuildRecord(const PublicationRequest& aRequest,
            const Base& aBase,
            const Change& aChange)
{
  PublicationRecord record;
  record.m_baseGeneration = aBase.m_head.m_generation;
  record.m_head = { record.m_baseGeneration + 1,
                    ObjectName(EncodeManifest(aChange.m_manifest)),
                    aRequest.m_publicationId,
                    aRequest.m_operator,
                    aRequest.m_time };
  record.m_sourceGeneration = aRequest.m_sourceGeneration.value_or(0);
  for (const auto& [service, object] : aChange.m_manifest.m_objects) {
    const auto before = aBase.m_manifest.m_objects.find(service);
    if (before == aBase.m_manifest.m_objects.end() ||
        before->second != object) {
      record.m_changed.push_back(service);
    }
  }
  for (const auto& [service, object] : aBase.m_manifest.m_objects) {
    if (!aChange.m_manifest.m_objects.contains(service)) {
      record.m_removed.push_back(service);
    }
  }
  return record;
}

/* Result of a transaction. */
enum class CommitResult : std::uint8_t
{
  Committed,
  /* Another publication committed the generation first. */
  Superseded,
  Unknown
};

/* Writes the head row and the audit row in one transaction. When the answer is
   lost, the audit row of the generation shows which publication committed it. A
   retry is safe, because the transaction only commits on the base version. */
CommitResult
Commit(const PublicationRecord& aRecord,
       RowVersion aVersion,
       const StoreCall& aStore)
{
  TransactRequest transaction;
  transaction.m_conditions = { { HeadRow(), aVersion } };
  transaction.m_writes = { { HeadRow(), EncodeHead(aRecord.m_head) },
                           { AuditRow(aRecord.m_head.m_generation),
                             EncodeRecord(aRecord) } };
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    if (std::holds_alternative<Committed>(aStore(transaction))) {
      return CommitResult::Committed;
    }
    const auto written = ReadRecord(aStore, aRecord.m_head.m_generation);
    if (written && *written) {
      return (*written)->m_head.m_publicationId ==
                 aRecord.m_head.m_publicationId
               ? CommitResult::Committed
               : CommitResult::Superseded;
    }
  }
  return CommitResult::Unknown;
}

/* Searches the newest audit rows for a publication and returns its
   generation. */
Expected<std::optional<Generation>>
FindPublication(const std::string& aPublication,
                Generation aHead,
                const StoreCall& aStore)
{
  const Generation first = aHead > kRetryWindow ? aHead - kRetryWindow : 0;
  ScanRequest scan{ std::string(kAuditTable),
                    AuditRow(first).m_key,
                    kPageLimit,
                    std::string(kPublicationKind) + '/' };
  while (true) {
    const auto page = Send<RowPage>(aStore, scan);
    if (!page) {
      return tl::unexpected(page.error());
    }
    for (const Row& row : page->m_rows) {
      const auto record = DecodeRecord(row.m_value);
      if (record && record->m_head.m_publicationId == aPublication) {
        return std::optional<Generation>(record->m_head.m_generation);
      }
      scan.m_after = row.m_key;
    }
    if (!page->m_more || page->m_rows.empty()) {
      return std::optional<Generation>();
    }
  }
}

/* Returns whether a service that this publication changes or removes was
   changed by another publication since the first base. */
bool
HasOverlappingChange(const PublicationRecord& aRecord,
                     const Manifest& aFirst,
                     const Manifest& aCurrent)
{
  const auto differs = [&](const std::string& aService) {
    const auto first = aFirst.m_objects.find(aService);
    const auto current = aCurrent.m_objects.find(aService);
    const bool inFirst = first != aFirst.m_objects.end();
    const bool inCurrent = current != aCurrent.m_objects.end();
    return inFirst != inCurrent ||
           (inFirst && first->second != current->second);
  };
  return std::any_of(
           aRecord.m_changed.begin(), aRecord.m_changed.end(), differs) ||
         std::any_of(
           aRecord.m_removed.begin(), aRecord.m_removed.end(), differs);
}

/* Attempts to publish on one base. Returns nullopt when another publication
   committed the generation first. */
std::optional<PublicationResult>
TryPublishOn(const PublicationRequest& aRequest,
             const Base& aBase,
             const StoreCall& aStore,
             PublicationRecord& aRecord)
{
  Findings findings;
  const auto change = BuildChange(aRequest, aBase, aStore, findings);
  if (!change) {
    return PublicationUnresolved{ change.error().m_text };
  }
  if (findings.empty()) {
    BuildConfiguration(
      aBase.m_head.m_generation + 1, change->m_services, findings);
  }
  if (!findings.empty()) {
    return PublicationRejected{ std::move(findings) };
  }
  aRecord = BuildRecord(aRequest, aBase, *change);
  if (aRequest.m_dryRun) {
    return PublicationChecked{ aRecord.m_baseGeneration,
                               aRecord.m_changed,
                               aRecord.m_removed };
  }
  if (const auto stored = StoreObjects(*change, aStore); !stored) {
    return PublicationUnresolved{ stored.error().m_text };
  }
  switch (Commit(aRecord, aBase.m_version, aStore)) {
    case CommitResult::Committed:
      return Published{ aRecord.m_head.m_generation };
    case CommitResult::Unknown:
      return PublicationUnresolved{ "the platform did not answer" };
    case CommitResult::Superseded:
      break;
  }
  return std::nullopt;
}

/* Retries on the newest base after each lost race, as long as the concurrent
   publications change other services. A request with an explicit base or source
   generation is not retried. */
PublicationResult
PublishWithRetries(const PublicationRequest& aRequest,
                   Base aBase,
                   const StoreCall& aStore)
{
  const Manifest first = aBase.m_manifest;
  for (int attempt = 0; attempt < kMaxPublishAttempts; ++attempt) {
    PublicationRecord record;
    if (auto result = TryPublishOn(aRequest, aBase, aStore, record)) {
      return std::move(*result);
    }
    auto next = ReadBase(aStore);
    if (!next) {
      return PublicationUnresolved{ next.error().m_text };
    }
    aBase = std::move(*next);
    if (aRequest.m_baseGeneration || aRequest.m_sourceGeneration ||
        HasOverlappingChange(record, first, aBase.m_manifest)) {
      break;
    }
  }
  return PublicationConflict{ aBase.m_head };
}

}

Findings
CheckFiles(std::span<const ServiceFileText> aFiles)
{
  Findings findings;
  std::vector<ServiceDescription> services;
  services.reserve(aFiles.size());
  for (const ServiceFileText& file : aFiles) {
    services.push_back(ParseServiceFile(file.m_file, file.m_text, findings));
  }
  if (findings.empty()) {
    BuildConfiguration(1, services, findings);
  }
  return findings;
}

PublicationResult
Publish(const PublicationRequest& aRequest, const StoreCall& aStore)
{
  auto base = ReadBase(aStore);
  if (!base) {
    return PublicationUnresolved{ base.error().m_text };
  }
  if (aRequest.m_isRetry) {
    const auto earlier = FindPublication(
      aRequest.m_publicationId, base->m_head.m_generation, aStore);
    if (!earlier) {
      return PublicationUnresolved{ earlier.error().m_text };
    }
    if (*earlier) {
      return Published{ **earlier };
    }
  }
  if (aRequest.m_baseGeneration &&
      *aRequest.m_baseGeneration != base->m_head.m_generation) {
    return PublicationConflict{ base->m_head };
  }
  return PublishWithRetries(aRequest, std::move(*base), aStore);
}

}
