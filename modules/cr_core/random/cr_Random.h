#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace cr {

/** Seeded random numbers for decisions: the same seed gives the same decisions.
    Not thread safe; every shard has its own. */
class Random
{
public:
  /** Starts the sequence that belongs to the seed. */
  explicit Random(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  /** Returns the next 64 random bits. */
  std::uint64_t Next() { return m_engine(); }

  /** Returns a number from 0 to aBound - 1. Precondition: aBound > 0. */
  std::uint64_t Below(std::uint64_t aBound)
  {
    assert(aBound > 0);
    return m_engine() % aBound;
  }

  /** Returns a number in [0, 1). */
  double Unit()
  {
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(m_engine() >> 11U) * scale;
  }

private:
  std::mt19937_64 m_engine;
};

}
