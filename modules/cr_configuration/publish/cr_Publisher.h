#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cr_configuration/publish/cr_ConfigurationRows.h"

namespace cr {

/** One service file as read from disk. */
struct ServiceFileText
{
  std::string m_file;
  std::string m_text;
};

/** What an operator wants to publish. */
struct PublicationRequest
{
  std::vector<ServiceFileText> m_files;
  /** Services to take out of force. */
  std::vector<std::string> m_removed;
  /** Publish the whole content of this older generation again, instead of
      files. */
  std::optional<Generation> m_from;
  std::string m_operator;
  /** Unique for this publication; its reuse makes a repeat idempotent. */
  std::string m_publication;
  WallMilliseconds m_time = 0;
  /** The generation that the operator saw; a newer one in force is a conflict.
      Without it the head found is the base, and when another publication comes
      in between, this one is built anew on it, unless both change one service.
   */
  std::optional<Generation> m_base;
  /** The publication may have taken effect before; look for it first. */
  bool m_isRepeat = false;
  /** Check only; nothing is written. */
  bool m_dryRun = false;
};

/** The publication is in force. */
struct Published
{
  Generation m_generation = 0;
};

/** A dry run found nothing wrong; nothing changed. */
struct PublicationChecked
{
  Generation m_base = 0;
  std::vector<std::string> m_changed;
  std::vector<std::string> m_removed;
};

/** The files are at fault; nothing changed. */
struct PublicationRejected
{
  Findings m_findings;
};

/** Another publication came first; nothing changed. */
struct PublicationConflict
{
  ConfigurationHead m_head;
};

/** The platform gave no answer; whether the publication took effect is open,
    and repeating it with the same identifier settles it. */
struct PublicationUnsettled
{
  std::string m_text;
};

/** How a publication ended. */
using PublicationResult = std::variant<Published,
                                       PublicationChecked,
                                       PublicationRejected,
                                       PublicationConflict,
                                       PublicationUnsettled>;

/** Checks files together, as if nothing else were in force. Thread safe. */
Findings
CheckFiles(std::span<const ServiceFileText> aFiles);

/** Checks the files together with the services already in force and publishes
    them as the next generation, with its audit row, in one transaction. A lost
    answer is settled by the audit row of the generation that would have been
    written, also when others published since.

    Blocks while the platform answers. Thread safe if the store call is. */
PublicationResult
Publish(const PublicationRequest& aRequest, const StoreCall& aStore);

}
