#pragma once

#include <map>
#include <string>
#include <vector>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

/** Offered load of one operation, as a stream of customer requests. */
struct DemandStream
{
  OperationName m_operation;
  /** Share of the bottleneck's capacity that the stream uses at load 1; for an
      operation that does not reach the bottleneck, the share of 100 requests
      per second. */
  double m_share = 0.0;
};

/** One of the two example meshes. The bottleneck service has its real number of
    slots; the slots of the other services are scaled down. */
struct Deployment
{
  std::string m_name;
  std::vector<ServiceFileText> m_files;
  std::vector<MeshHost> m_hosts;
  std::string m_bottleneck;
  std::vector<DemandStream> m_streams;
  Configuration m_graph;
};

/** Reads the service files of `examples/` under the folder and builds both
    deployments. Returns an error if a file can't be read. */
Expected<std::vector<Deployment>>
ReadDeployments(const std::string& aFolder);

/** Returns how long one request of the operation occupies slots of the
    bottleneck service, without queueing. Thread safe. */
Duration
BottleneckTime(const Deployment& aDeployment, const OperationName& aOperation);

}
