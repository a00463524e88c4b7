#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace cr {

/** Deterministic random number generator for the decision modules: the same
    seed gives the same decisions. Not thread safe; each shard owns one. */
class Random
{
public:
  /** Seeds the generator. */
  explicit Random(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  /** Returns the next 64 random bits. */
  std::uint64_t Next() { return m_engine(); }

  /** Returns the next number in [0, aBound). Precondition: aBound > 0. */
  std::uint64_t NextBelow(std::uint64_t aBound)
  {
    assert(aBound > 0);
    return m_engine() % aBound;
  }

  /** Returns the next number in [0, 1), with 53 random bits. */
  double NextDouble()
  {
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(m_engine() >> 11U) * scale;
  }

private:
  std::mt19937_64 m_engine;
};

}
