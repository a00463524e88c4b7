#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cr_configuration/publish/cr_ConfigurationRows.h"

namespace cr {

/** Name and content of a service file. */
struct ServiceFileText
{
  std::string m_file;
  std::string m_text;
};

/** A change to the configuration, as an operator submits it. */
struct PublicationRequest
{
  std::vector<ServiceFileText> m_files;
  /** Services to remove from the configuration. */
  std::vector<std::string> m_removed;
  /** Republishes the complete content of this earlier generation instead of
      files. */
  std::optional<Generation> m_sourceGeneration;
  std::string m_operator;
  /** Unique identifier of the publication. A retry with the same identifier is
      idempotent. */
  std::string m_publicationId;
  WallMilliseconds m_time = 0;
  /** Generation on which the change is based; a newer active generation is a
      conflict. Without it, the change is based on the active generation. If
      another publication commits first, the change is rebased onto it, unless
      both change the same service. */
  std::optional<Generation> m_baseGeneration;
  /** An earlier attempt may have committed the publication; search for it
      before publishing. */
  bool m_isRetry = false;
  /** Validates the request without writing anything. */
  bool m_dryRun = false;
};

/** The publication is committed. */
struct Published
{
  Generation m_generation = 0;
};

/** The dry run found no problems. Nothing was written. */
struct PublicationChecked
{
  Generation m_baseGeneration = 0;
  std::vector<std::string> m_changed;
  std::vector<std::string> m_removed;
};

/** The request is invalid. Nothing was published. */
struct PublicationRejected
{
  Findings m_findings;
};

/** Another publication committed first. This one was not published. */
struct PublicationConflict
{
  ConfigurationHead m_head;
};

/** The platform did not answer or failed, so it is unknown whether the
    publication was committed. A retry with the same identifier resolves it. */
struct PublicationUnresolved
{
  std::string m_text;
};

/** Result of a publication. */
using PublicationResult = std::variant<Published,
                                       PublicationChecked,
                                       PublicationRejected,
                                       PublicationConflict,
                                       PublicationUnresolved>;

/** Validates the files as a complete configuration, without the active
    services. Thread safe. */
Findings
CheckFiles(std::span<const ServiceFileText> aFiles);

/** Validates the files together with the active services and publishes them as
    the next generation. The head row and the audit row are written in one
    transaction. After a lost answer, the audit row of the generation shows
    whether the publication was committed, even if others have been since.

    Blocks until the platform answers. Thread safe if the store call is. */
PublicationResult
Publish(const PublicationRequest& aRequest, const StoreCall& aStore);

}
