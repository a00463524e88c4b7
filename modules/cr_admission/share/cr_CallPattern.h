#pragma once

#include <map>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Learns how many calls of each kind a backend server makes for one request of
    each route that it runs, from counts and times alone.

    In windows of fixed length the calls made are a sum over the requests that
    began, each route with its own factor. The factors that explain the windows
    best are found by least squares, none below 0, with older windows fading.
    Where rates hardly change, counts alone leave room for error; but no
    request ends before the calls that it waits for, so routes whose requests
    take less time than the calls make none of them. Not thread safe. */
class CallPattern
{
public:
  /** Counts a request of the route that the server begins to run. */
  void CountRun(const std::string& aRoute, Instant aNow);

  /** Learns the time that a request of the route took in the server. */
  void LearnRunTime(const std::string& aRoute, Duration aTime, Instant aNow);

  /** Counts a call that the server made by a route. */
  void CountCall(const std::string& aCalled, Instant aNow);

  /** Learns the time after which a call by a route was answered. */
  void LearnCallTime(const std::string& aCalled, Duration aTime, Instant aNow);

  //==========================================================================
  /** Returns how many calls by the route aCalled one request of the route
      makes; 0 while nothing is known. */
  double CallsPerRequest(const std::string& aRoute,
                         const std::string& aCalled) const;

  /** Returns whether one request of the route waits for such calls. */
  bool Calls(const std::string& aRoute, const std::string& aCalled) const;

private:
  /* A mean that fades with the windows. */
  struct MeanTime
  {
    double m_seconds = 0;
    double m_count = 0;
  };

  struct Target
  {
    double m_count = 0;
    MeanTime m_time;
    /* Sums over the windows of requests times calls, by route. */
    std::vector<double> m_products;
    std::vector<double> m_factors;
  };

  void Advance(Instant aNow);
  void EndWindow();
  static double FactorOf(const Target& aTarget, std::size_t aRoute);
  static bool MayContain(const MeanTime& aRun, const MeanTime& aCall);
  void Solve(Target& aTarget) const;
  std::size_t IndexOf(const std::string& aRoute);

  Instant m_windowEnd;
  std::map<std::string, std::size_t, std::less<>> m_routes;
  std::vector<double> m_runs;
  std::vector<MeanTime> m_runTimes;
  /* Sums over the windows of requests times requests. */
  std::vector<std::vector<double>> m_squares;
  std::map<std::string, Target, std::less<>> m_targets;
};

}
