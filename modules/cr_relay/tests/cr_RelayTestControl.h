#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/cr_RelayTestNode.h"

namespace cr {

/** A node with a platform that may refuse requests, lose answers, be late or
    come back from an older copy. */
struct RelayTestControl : RelayTestNode
{
  using RelayTestNode::RelayTestNode;

  /** Answers the pending requests; watches without changes stay pending. */
  void AnswerStoreCalls()
  {
    for (int round = 0; round < 4; ++round) {
      std::vector<RelayCallStore> calls = TakeActions<RelayCallStore>();
      calls.insert(calls.end(), m_watches.begin(), m_watches.end());
      m_watches.clear();
      for (const RelayCallStore& call : calls) {
        const StoreAnswer answer = m_platform.Execute(call.m_request);
        const auto* changes = std::get_if<RowChanges>(&answer);
        if (changes != nullptr && changes->m_changes.empty()) {
          m_watches.push_back(call);
        } else {
          Feed(RelayStoreAnswered{ call.m_id, answer, m_platform.Era() });
        }
      }
    }
  }

  std::optional<NodeRow> OwnRow()
  {
    const auto found = std::get<RowFound>(
      m_platform.Execute(ReadRequest{ { std::string(kNodeTable), "host-1" } }));
    if (!found.m_row) {
      return std::nullopt;
    }
    return *DecodeNodeRow(found.m_row->m_value);
  }

  /** The platform loses what was written after InProcessPlatform::Save() and
      the connections of pending watches. */
  void RestorePlatform()
  {
    m_platform.Restore();
    const auto watches = std::exchange(m_watches, {});
    for (const RelayCallStore& watch : watches) {
      Feed(RelayStoreAnswered{ watch.m_id, StoreFailed{ "reset" } });
    }
  }

  /** Lets the time pass and answers the requests that are sent meanwhile. */
  void Run(Duration aTime)
  {
    constexpr Duration step = Milliseconds(100);
    for (Duration passed = Duration::zero(); passed < aTime; passed += step) {
      AdvanceTime(step);
      AnswerStoreCalls();
    }
  }

  /** Writes the row of a host whose backend server is ready. */
  void WriteRow(const std::string& aHost, const std::string& aService)
  {
    m_platform.Execute(
      TransactRequest{ {},
                       { { { std::string(kNodeTable), aHost },
                           EncodeNodeRow(ReadyRow(aHost, aService)) } } });
  }

  void AdvanceTime(Duration aTime)
  {
    m_now += aTime;
    Feed(RelayTimerDue{});
  }

  InProcessPlatform m_platform;
  std::vector<RelayCallStore> m_watches;
};

}
