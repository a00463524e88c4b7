#include "cr_admission/level/cr_LevelTable.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr std::size_t kOperationLimit = 1024;
constexpr Duration kProbeInterval = Milliseconds(100);
constexpr Duration kDecayDelay = Milliseconds(200);
constexpr Duration kHalfLife = Milliseconds(200);
constexpr double kWeight = 0.25;
constexpr double kStaleWeight = 0.5;
constexpr Duration kStaleTime = Milliseconds(50);
constexpr AdmissionLevel kMaxLevel = RankOf(Importance::Protected, 0);

double
DecayedLevel(double aLevel, Duration aAge)
{
  if (aAge <= kDecayDelay) {
    return aLevel;
  }
  const double halfLives = static_cast<double>((aAge - kDecayDelay).count()) /
                           static_cast<double>(kHalfLife.count());
  return aLevel * std::exp2(-halfLives);
}

}

void
LevelTable::Update(const OperationName& aOperation,
                   AdmissionLevel aLevel,
                   Instant aNow)
{
  auto found = m_entries.find(aOperation);
  if (found == m_entries.end()) {
    if (aLevel == 0 || m_entries.size() >= kOperationLimit) {
      return;
    }
    found = m_entries.emplace(aOperation, Entry()).first;
  }
  Entry& entry = found->second;
  const Duration age = aNow - entry.m_lastReport;
  const double weight = age > kStaleTime ? kStaleWeight : kWeight;
  const double level = DecayedLevel(entry.m_level, age);
  entry.m_level = level + weight * (std::min(aLevel, kMaxLevel) - level);
  entry.m_lastReport = aNow;
}

bool
LevelTable::ShouldRefuse(const OperationName& aOperation,
                         Rank aRank,
                         Instant aNow)
{
  const auto found = m_entries.find(aOperation);
  if (found == m_entries.end() || aRank >= Level(aOperation, aNow)) {
    return false;
  }
  if (aNow >= found->second.m_nextProbe) {
    found->second.m_nextProbe = aNow + kProbeInterval;
    return false;
  }
  return true;
}

AdmissionLevel
LevelTable::Level(const OperationName& aOperation, Instant aNow) const
{
  const auto found = m_entries.find(aOperation);
  if (found == m_entries.end()) {
    return 0;
  }
  return static_cast<AdmissionLevel>(
    DecayedLevel(found->second.m_level, aNow - found->second.m_lastReport));
}

}
