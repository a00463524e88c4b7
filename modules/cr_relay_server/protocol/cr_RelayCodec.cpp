#include "cr_relay_server/protocol/cr_RelayCodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <concepts>

#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

/* Loads are encoded as whole thousandths. */
constexpr double kLoadScale = 1000;

std::int64_t
ToThousandths(double aLoad)
{
  return static_cast<std::int64_t>(aLoad * kLoadScale);
}

/* Begins an encoded ServerReport. Quotes in other parameters are escaped, so
   the text occurs nowhere else. */
constexpr std::string_view kServerReportPrefix = ";n=\"";

/* Parses parameters one by one and records whether all were well formed. */
class ParameterReader
{
public:
  explicit ParameterReader(std::string_view aText)
    : m_parameters({ aText.data(), aText.size() })
  {
  }

  /* Calls the function with the name and value of each parameter. */
  template<typename Function>
  void ForEach(Function aFunction)
  {
    for (const auto& [name, value] : m_parameters) {
      aFunction(std::string_view(name.data(), name.size()),
                std::string_view(value.data(), value.size()));
    }
  }

  template<std::integral Number>
  void Read(std::string_view aValue, Number& aNumber)
  {
    Read(ParseNumber<Number>(aValue), aNumber);
  }

  void Read(std::string_view aValue, std::string& aText)
  {
    ++m_count;
    aText = aValue;
  }

  void Read(std::string_view aValue, bool& aFlag)
  {
    ++m_count;
    aFlag = aValue == "1";
    m_isWellFormed &= aFlag || aValue == "0";
  }

  void Read(std::string_view aValue, Duration& aDuration)
  {
    Duration::rep microseconds = 0;
    Read(aValue, microseconds);
    aDuration = Duration(microseconds);
  }

  void Read(std::string_view aValue, double& aLoad)
  {
    std::int64_t thousandths = 0;
    Read(aValue, thousandths);
    aLoad = static_cast<double>(thousandths) / kLoadScale;
  }

  template<typename Kind>
  void ReadOptional(const std::optional<Kind>& aRead,
                    std::optional<Kind>& aKind)
  {
    m_isWellFormed &= aRead.has_value();
    aKind = aRead;
  }

  template<typename Kind>
  void Read(const std::optional<Kind>& aRead, Kind& aKind)
  {
    ++m_count;
    m_isWellFormed &= aRead.has_value();
    aKind = aRead.value_or(aKind);
  }

  /* Returns whether at least the wanted number of parameters was read and all
     were well formed. Counting suffices: encoders write each parameter once. */
  bool IsComplete(int aWanted) const
  {
    return m_isWellFormed && m_count >= aWanted;
  }

private:
  boost::beast::http::param_list m_parameters;
  int m_count = 0;
  bool m_isWellFormed = true;
};

std::string
EncodeSuspect(const Suspect& aSuspect)
{
  return fmt::format("{}.{}.{}.{}",
                     ToText(aSuspect.m_key),
                     aSuspect.m_crashes,
                     aSuspect.m_cleared,
                     ToMilliseconds(aSuspect.m_remaining));
}

std::optional<Suspect>
DecodeSuspect(std::string_view aText)
{
  std::array<std::string_view, 4> parts;
  for (std::string_view& part : parts) {
    const std::size_t end = std::min(aText.find('.'), aText.size());
    part = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  const auto key = ParseIdentifier<RequestKeyTag>(parts[0]);
  const auto crashes = ParseNumber<std::uint32_t>(parts[1]);
  const auto cleared = ParseNumber<std::uint32_t>(parts[2]);
  const auto remaining = ParseNumber<std::uint32_t>(parts[3]);
  if (!key || !crashes || !cleared || !remaining || !aText.empty()) {
    return std::nullopt;
  }
  return Suspect{ *key, *crashes, Milliseconds(*remaining), *cleared };
}

/* Returns the parameter with the suspect, or nothing. */
std::string
EncodeSuspectParameter(const std::optional<Suspect>& aSuspect)
{
  return aSuspect ? fmt::format(";x={}", EncodeSuspect(*aSuspect)) : "";
}

std::string
EncodeServerReport(const std::optional<ServerReport>& aReport)
{
  if (!aReport) {
    return {};
  }
  const ServerCondition& condition = aReport->m_condition;
  std::string text = fmt::format(
    ";n={};v={:d}", QuoteJson(aReport->m_start.m_id), condition.m_isLeaving);
  if (aReport->m_start.m_startTime) {
    text += fmt::format(";f={}", *aReport->m_start.m_startTime);
  }
  if (condition.m_rateLimit) {
    text += fmt::format(";q={}", ToThousandths(*condition.m_rateLimit));
  }
  return text;
}

/* Decodes the output of EncodeServerReport() from all parameters. */
Expected<std::optional<ServerReport>>
DecodeServerReport(std::string_view aText)
{
  if (aText.find(kServerReportPrefix) == std::string_view::npos) {
    return std::nullopt;
  }
  constexpr int parameters = 2;
  ServerReport report;
  ParameterReader reader(aText);
  reader.ForEach([&](std::string_view aName, std::string_view aValue) {
    if (aName == "n") {
      reader.Read(aValue, report.m_start.m_id);
    } else if (aName == "v") {
      reader.Read(aValue, report.m_condition.m_isLeaving);
    } else if (aName == "f") {
      reader.Read(aValue, report.m_start.m_startTime.emplace());
    } else if (aName == "q") {
      reader.Read(aValue, report.m_condition.m_rateLimit.emplace());
    }
  });
  if (!reader.IsComplete(parameters)) {
    return Failure(ErrorCode::Malformed, "no whole server report");
  }
  return report;
}

}

Expected<ServerCondition>
ReadServerCondition(const HttpHeaders& aHeaders, const RelayHeaderNames& aNames)
{
  ServerCondition condition;
  condition.m_isLeaving = FindHeader(aHeaders, aNames.m_isLeaving) == "1";
  const std::string_view text = FindHeader(aHeaders, aNames.m_rateLimit);
  if (text.empty()) {
    return condition;
  }
  double limit = 0;
  const auto read =
    std::from_chars(text.data(), text.data() + text.size(), limit);
  const bool isWhole = read.ptr == text.data() + text.size();
  if (read.ec != std::errc() || !isWhole || !std::isfinite(limit) ||
      limit < 0) {
    return Failure(ErrorCode::Malformed,
                   fmt::format("the rate limit is no number: {}", text));
  }
  condition.m_rateLimit = limit;
  return condition;
}

std::string
EncodeSuspects(std::span<const Suspect> aSuspects)
{
  std::string text;
  for (const Suspect& suspect : aSuspects) {
    if (!text.empty()) {
      text += ',';
    }
    text += EncodeSuspect(suspect);
  }
  return text;
}

Expected<std::vector<Suspect>>
DecodeSuspects(std::string_view aText)
{
  std::vector<Suspect> suspects;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(','), aText.size());
    const auto suspect = DecodeSuspect(aText.substr(0, end));
    if (!suspect || suspects.size() >= SuspectTable::kEntryLimit) {
      return Failure(ErrorCode::Malformed, "no list of suspects");
    }
    suspects.push_back(*suspect);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return suspects;
}

std::string
EncodeRelayHeader(const RelayHeader& aHeader)
{
  return fmt::format(
    ";s={};r={};t={};w={};u={};b={:d};i={:d};g={}{}{}{}",
    QuoteJson(aHeader.m_service),
    QuoteJson(aHeader.m_route),
    aHeader.m_remaining.count(),
    aHeader.m_maxWait.count(),
    aHeader.m_priority,
    aHeader.m_isChildCall,
    aHeader.m_isIdempotent,
    aHeader.m_generation,
    aHeader.m_content ? fmt::format(";k={}", ToText(*aHeader.m_content)) : "",
    EncodeSuspectParameter(aHeader.m_suspect),
    EncodeServerReport(aHeader.m_knownServer));
}

Expected<RelayHeader>
DecodeRelayHeader(std::string_view aText)
{
  constexpr int parameters = 8;
  RelayHeader header;
  ParameterReader reader(aText);
  reader.ForEach([&](std::string_view aName, std::string_view aValue) {
    if (aName == "s") {
      reader.Read(aValue, header.m_service);
    } else if (aName == "r") {
      reader.Read(aValue, header.m_route);
    } else if (aName == "t") {
      reader.Read(aValue, header.m_remaining);
    } else if (aName == "w") {
      reader.Read(aValue, header.m_maxWait);
    } else if (aName == "u") {
      reader.Read(aValue, header.m_priority);
    } else if (aName == "b") {
      reader.Read(aValue, header.m_isChildCall);
    } else if (aName == "i") {
      reader.Read(aValue, header.m_isIdempotent);
    } else if (aName == "g") {
      reader.Read(aValue, header.m_generation);
    } else if (aName == "k") {
      reader.ReadOptional(ParseIdentifier<RequestKeyTag>(aValue),
                          header.m_content);
    } else if (aName == "x") {
      reader.ReadOptional(DecodeSuspect(aValue), header.m_suspect);
    }
  });
  if (!reader.IsComplete(parameters)) {
    return Failure(ErrorCode::Malformed, "no whole relay header");
  }
  auto server = DecodeServerReport(aText);
  if (!server) {
    return tl::unexpected(server.error());
  }
  header.m_knownServer = std::move(*server);
  return header;
}

std::string
EncodeRelayReport(const RelayReport& aReport)
{
  return fmt::format(";o={};y={};e={:d};h={:d};c={:d};l={};p={};z={};a={};g={}"
                     "{}{}",
                     ToText(aReport.m_outcome),
                     ToText(aReport.m_reason),
                     aReport.m_isServerError,
                     aReport.m_hasReachedServer,
                     aReport.m_isCalledRoute,
                     ToThousandths(aReport.m_gateLoad),
                     ToThousandths(aReport.m_pathLoad),
                     QuoteJson(aReport.m_bottleneck),
                     aReport.m_pathWork.count(),
                     aReport.m_generation,
                     EncodeSuspectParameter(aReport.m_suspect),
                     EncodeServerReport(aReport.m_server));
}

Expected<RelayReport>
DecodeRelayReport(std::string_view aText)
{
  constexpr int parameters = 8;
  RelayReport report;
  ParameterReader reader(aText);
  reader.ForEach([&](std::string_view aName, std::string_view aValue) {
    if (aName == "o") {
      reader.Read(ParseOutcome(aValue), report.m_outcome);
    } else if (aName == "y") {
      reader.Read(ParseReason(aValue), report.m_reason);
    } else if (aName == "e") {
      reader.Read(aValue, report.m_isServerError);
    } else if (aName == "h") {
      reader.Read(aValue, report.m_hasReachedServer);
    } else if (aName == "c") {
      reader.Read(aValue, report.m_isCalledRoute);
    } else if (aName == "l") {
      reader.Read(aValue, report.m_gateLoad);
    } else if (aName == "p") {
      reader.Read(aValue, report.m_pathLoad);
    } else if (aName == "z") {
      // Nodes of earlier versions report neither this nor the work.
      report.m_bottleneck = aValue;
    } else if (aName == "a") {
      std::optional<Duration::rep> work;
      reader.ReadOptional(ParseNumber<Duration::rep>(aValue), work);
      report.m_pathWork = Duration(work.value_or(0));
    } else if (aName == "g") {
      reader.Read(aValue, report.m_generation);
    } else if (aName == "x") {
      reader.ReadOptional(DecodeSuspect(aValue), report.m_suspect);
    }
  });
  if (!reader.IsComplete(parameters)) {
    return Failure(ErrorCode::Malformed, "no whole report");
  }
  auto server = DecodeServerReport(aText);
  if (!server) {
    return tl::unexpected(server.error());
  }
  report.m_server = std::move(*server);
  return report;
}

}
