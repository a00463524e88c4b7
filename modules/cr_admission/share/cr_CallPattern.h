#pragma once

#include <map>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Estimates how many calls of each kind a backend server makes per request of
    each route that it runs, from counts and times alone.

    In each window of fixed length, the number of calls is modelled as a linear
    combination of the requests that started, with one factor per route. The
    factors are found by non-negative least squares, with decaying weights for
    older windows. The factor of a route with few requests is mostly chance, as
    the calls of a busier route vary by more than all that it could make; so a
    factor counts only if it exceeds its standard error clearly, unless no
    factor does. Where rates hardly change, counts alone are ambiguous. But no
    request ends before the calls that it waits for, so routes whose requests
    take less time than the calls make none of them. Not thread safe. */
class CallPattern
{
public:
  /** Counts a request of the route that the server starts to run. */
  void CountRun(const std::string& aRoute, Instant aNow);

  /** Records the time that a request of the route took in the server. */
  void RecordRunTime(const std::string& aRoute, Duration aTime, Instant aNow);

  /** Counts a call that the server made to the route aCalled. */
  void CountCall(const std::string& aCalled, Instant aNow);

  /** Records the time until a call to the route aCalled was answered. */
  void RecordCallTime(const std::string& aCalled, Duration aTime, Instant aNow);

  //==========================================================================
  /** Returns the estimated number of calls to the route aCalled per request of
      the route aRoute; 0 while there is no estimate. */
  double CallsPerRequest(const std::string& aRoute,
                         const std::string& aCalled) const;

  /** Returns whether requests of the route aRoute wait for calls to the route
      aCalled. */
  bool MakesCalls(const std::string& aRoute, const std::string& aCalled) const;

private:
  /* A mean whose samples decay with each window. */
  struct MeanTime
  {
    double m_seconds = 0;
    double m_count = 0;
  };

  struct Target
  {
    double m_count = 0;
    MeanTime m_time;
    /* Weighted sums over the windows of requests times calls, by route. */
    std::vector<double> m_crossProducts;
    /* The same of calls times calls. */
    double m_squares = 0;
    std::vector<double> m_factors;
    /* Whether the factor of the route exceeds its standard error clearly. */
    std::vector<bool> m_isSignificant;
  };

  void Advance(Instant aNow);
  void EndWindow();
  static double FactorOf(const Target& aTarget, std::size_t aRoute);
  static bool CanContain(const MeanTime& aRun, const MeanTime& aCall);
  void Solve(Target& aTarget) const;
  void FindSignificant(Target& aTarget) const;
  static bool IsCredible(const Target& aTarget, std::size_t aRoute);
  std::size_t IndexOf(const std::string& aRoute);

  Instant m_windowEnd;
  std::map<std::string, std::size_t, std::less<>> m_routes;
  std::vector<double> m_runs;
  std::vector<MeanTime> m_runTimes;
  /* Weighted sums over the windows of requests times requests, by route. */
  std::vector<std::vector<double>> m_gramMatrix;
  /* Weighted number of windows. */
  double m_windows = 0;
  /* Diagonal of the inverse of m_gramMatrix. */
  std::vector<double> m_inverseDiagonal;
  std::map<std::string, Target, std::less<>> m_targets;
};

}
