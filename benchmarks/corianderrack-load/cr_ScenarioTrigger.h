#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Raises the arrival rate of all streams. */
struct SurgeTrigger
{
  /** Arrival rate during the trigger, in percent of the normal rate. */
  std::int64_t m_percent = 100;
};

/** Slows down the servers of a service. */
struct SlowServiceTrigger
{
  std::string m_service;
  /** Added to the service time. */
  Duration m_extra = Duration::zero();
};

/** Customers retry almost without backoff and make more attempts. */
struct RetryStormTrigger
{
  std::uint32_t m_attempts = 1;
};

/** Sends requests that crash every server that runs them. */
struct CrashRequestsTrigger
{
  OperationName m_operation;
  std::int64_t m_count = 1;
};

/** A backend server announces that it leaves. A new instance replaces it after
    the trigger ends. */
struct ServerLeaveTrigger
{
  HostName m_host;
};

/** The platform does not answer. */
struct PlatformOutageTrigger
{};

/** Kind of a trigger, with its parameters. */
using TriggerKind = std::variant<SurgeTrigger,
                                 SlowServiceTrigger,
                                 RetryStormTrigger,
                                 CrashRequestsTrigger,
                                 ServerLeaveTrigger,
                                 PlatformOutageTrigger>;

/** A fault or load change in an interval, in time since the start of the load.
 */
struct Trigger
{
  Duration m_start = Duration::zero();
  Duration m_end = Duration::zero();
  TriggerKind m_kind;
  SourceLocation m_place;
};

/** Returns the trigger's name in scenarios and results. Thread safe. */
std::string_view
ToText(const TriggerKind& aKind);

/** Reads `service/operation`. Adds a finding at the key if the text is not of
    that form. */
OperationName
ReadOperation(ObjectReader& aReader, const std::string& aKey);

/** Reads the list of triggers. Errors are added to the findings. Thread
    safe. */
std::vector<Trigger>
ParseTriggers(const JsonDocument& aDocument,
              const Json::Value& aList,
              Findings& aFindings);

}
