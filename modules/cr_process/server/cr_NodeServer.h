#pragma once

#include <memory>

#include "cr_node/cr_node.h"
#include "cr_settings/cr_settings.h"

namespace cr {

class NodeShell;

/** One node as a running server: three HTTP ports, a client for other nodes,
    the backend server and the platform, and a timer. All methods are thread
    safe. @see NodeDecisions */
class NodeServer
{
public:
  /** Prepares a node that listens nowhere yet. */
  NodeServer(NodeSettings aSettings, Incarnation aIncarnation);
  /** Closes everything at once. */
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  //==========================================================================
  /** Starts to listen and to serve. */
  Expected<void> Start();

  /** Refuses new work, waits until calls in progress have been answered, at
      most for the shutdown limit, and closes. Returns the number of calls that
      were cut off. */
  std::size_t Shutdown();

  //==========================================================================
  /** Returns a report for operators. */
  NodeStatus Status() const;

private:
  std::shared_ptr<NodeShell> m_shell;
};

}
