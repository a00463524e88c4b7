#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cr_configuration/description/cr_Configuration.h"
#include "cr_store/cr_store.h"

namespace cr {

/** Returns the key of the row that names the active configuration. Thread
    safe. */
RowKey
HeadRow();

/** Table of the audit log. Its row keys are `<kind>/<sortable text>`, so that a
    scan reads the rows of one kind in order. */
inline constexpr std::string_view kAuditTable = "audit";

/** Kind of the audit rows that record publications. */
inline constexpr std::string_view kPublicationKind = "configuration";

/** Returns the key of the audit row for a generation. Thread safe. */
RowKey
AuditRow(Generation aGeneration);

/** Returns the name of the object with this content, a hash of the content.
    Thread safe. */
std::string
ObjectName(std::string_view aContent);

/** Value of the head row, which names the active generation and its
    manifest. */
struct ConfigurationHead
{
  Generation m_generation = 0;
  /** Object name of the manifest. */
  std::string m_manifest;
  /** Unique identifier of the publication. After a lost answer it shows whether
      the publication was committed. */
  std::string m_publicationId;
  std::string m_operator;
  WallMilliseconds m_time = 0;
};

/** Audit record of a publication. */
struct PublicationRecord
{
  ConfigurationHead m_head;
  Generation m_baseGeneration = 0;
  /** Services whose file is new or differs from that of the base generation. */
  std::vector<std::string> m_changed;
  std::vector<std::string> m_removed;
  /** Earlier generation whose content was republished; 0 if none. */
  Generation m_sourceGeneration = 0;
};

/** Maps each service of a generation to the object that holds its file. */
struct Manifest
{
  std::map<std::string, std::string, std::less<>> m_objects;
};

/** Encodes the value of the head row. Thread safe. */
std::string
EncodeHead(const ConfigurationHead& aHead);

/** Decodes the value of the head row. Thread safe. */
Expected<ConfigurationHead>
DecodeHead(std::string_view aText);

/** Encodes the value of a publication's audit row. Thread safe. */
std::string
EncodeRecord(const PublicationRecord& aRecord);

/** Decodes the value of a publication's audit row. Thread safe. */
Expected<PublicationRecord>
DecodeRecord(std::string_view aText);

/** Encodes a manifest object. Thread safe. */
std::string
EncodeManifest(const Manifest& aManifest);

/** Decodes a manifest object. Thread safe. */
Expected<Manifest>
DecodeManifest(std::string_view aText);

}
