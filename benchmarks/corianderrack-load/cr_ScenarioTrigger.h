#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Customers send more. */
struct SurgeTrigger
{
  /** Arrivals in percent of the usual rate. */
  std::int64_t m_percent = 100;
};

/** The servers of a service take longer. */
struct SlowServiceTrigger
{
  std::string m_service;
  /** Added to the service time. */
  Duration m_extra = Duration::zero();
};

/** Customers resend at once and more often. */
struct RetryStormTrigger
{
  std::uint32_t m_tries = 1;
};

/** Requests that end each server that runs them. */
struct CrashRequestsTrigger
{
  OperationName m_operation;
  std::int64_t m_count = 1;
};

/** A backend server announces that it leaves, and a new one takes its place
    when the trigger ends. */
struct ServerLeaveTrigger
{
  HostName m_host;
};

/** The platform gives no answers. */
struct PlatformOutageTrigger
{};

/** What a trigger does. */
using TriggerKind = std::variant<SurgeTrigger,
                                 SlowServiceTrigger,
                                 RetryStormTrigger,
                                 CrashRequestsTrigger,
                                 ServerLeaveTrigger,
                                 PlatformOutageTrigger>;

/** Something that goes wrong for an interval, in time from the start. */
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

/** Reads `service/operation`; a finding at the key when it is not that. */
OperationName
ReadOperation(ObjectReader& aReader, const std::string& aKey);

/** Reads the list of triggers. Faults are added to the findings. Thread
    safe. */
std::vector<Trigger>
ParseTriggers(const JsonDocument& aDocument,
              const Json::Value& aList,
              Findings& aFindings);

}
