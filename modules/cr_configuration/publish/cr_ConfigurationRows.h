#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cr_configuration/description/cr_Configuration.h"
#include "cr_store/cr_store.h"

namespace cr {

/** Row that names the configuration in force. */
RowKey
HeadRow();

/** Name of the table that holds the audit trail. Its keys are `<kind>/<sortable
    text>`, so that a scan reads one kind in order. */
inline constexpr std::string_view kAuditTable = "audit";

/** Kind of the audit trail's rows on publications. */
inline constexpr std::string_view kPublicationKind = "configuration";

/** Row of the audit trail for a generation. */
RowKey
AuditRow(Generation aGeneration);

/** Returns the name under which an object with this content is stored. Thread
    safe. */
std::string
ObjectName(std::string_view aContent);

/** Value of the head row: the generation and the manifest's object name. */
struct ConfigurationHead
{
  Generation m_generation = 0;
  std::string m_manifest;
  /** Identifies the publication, to settle a lost answer. */
  std::string m_publication;
  std::string m_operator;
  WallMilliseconds m_time = 0;
};

/** What the audit trail says of a publication. */
struct PublicationRecord
{
  ConfigurationHead m_head;
  Generation m_base = 0;
  /** Services whose file is new or differs from the base. */
  std::vector<std::string> m_changed;
  std::vector<std::string> m_removed;
  /** The older generation whose content was published again; 0 if none. */
  Generation m_from = 0;
};

/** The services of a generation and the object that holds each one's file. */
struct Manifest
{
  std::map<std::string, std::string, std::less<>> m_objects;
};

/** Writes the head row's value. Thread safe. */
std::string
EncodeHead(const ConfigurationHead& aHead);

/** Reads the head row's value. Thread safe. */
Expected<ConfigurationHead>
DecodeHead(std::string_view aText);

/** Writes a row of the audit trail. Thread safe. */
std::string
EncodeRecord(const PublicationRecord& aRecord);

/** Reads a row of the audit trail on a publication. Thread safe. */
Expected<PublicationRecord>
DecodeRecord(std::string_view aText);

/** Writes the manifest object. Thread safe. */
std::string
EncodeManifest(const Manifest& aManifest);

/** Reads a manifest object. Thread safe. */
Expected<Manifest>
DecodeManifest(std::string_view aText);

}
