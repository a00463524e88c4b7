#pragma once

#include <map>
#include <string>
#include <vector>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

/** A stream of customers' requests of one operation. */
struct DemandStream
{
  OperationName m_operation;
  /** Part of what the bottleneck can run that the stream asks for at load 1;
      for an operation that does not reach the bottleneck, the part of 100
      requests a second. */
  double m_share = 0.0;
};

/** One of the brief's two meshes, with slots of its bottleneck as they are and
    those of the other services scaled down. */
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
    deployments. A file that can't be read gives an error. */
Expected<std::vector<Deployment>>
ReadDeployments(const std::string& aFolder);

/** Returns the time in which a request of the operation holds slots of the
    bottleneck when nothing waits. Thread safe. */
Duration
BottleneckTime(const Deployment& aDeployment, const OperationName& aOperation);

}
