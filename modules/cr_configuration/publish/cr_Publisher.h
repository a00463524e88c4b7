#pragma once

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
  std::string m_operator;
  /** Unique for this publication; its reuse makes a repeat idempotent. */
  std::string m_publication;
  WallMilliseconds m_time = 0;
  /** The generation that the operator saw; a newer one in force is a conflict.
      Without it the head found is the base. */
  std::optional<Generation> m_base;
};

/** The publication is in force. */
struct Published
{
  Generation m_generation = 0;
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
                                       PublicationRejected,
                                       PublicationConflict,
                                       PublicationUnsettled>;

/** Checks the files together with the services already in force and publishes
    them as the next generation, with its audit row, in one transaction.

    Blocks while the platform answers. Thread safe if the store call is. */
PublicationResult
Publish(const PublicationRequest& aRequest, const StoreCall& aStore);

}
