#pragma once

/** Counters and latency histograms of a process, and their output in the
    Prometheus text format.

    Only cr_LatencyHistogram.cpp includes Boost.Histogram.

    @see MetricRegistry, LatencyHistogram, ProcessUsage */

#include "cr_metrics/histogram/cr_LatencyHistogram.h"
#include "cr_metrics/process/cr_ProcessUsage.h"
#include "cr_metrics/registry/cr_MetricRegistry.h"
