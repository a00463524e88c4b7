#pragma once

#include <memory>

#include "cr_node/cr_node.h"
#include "cr_settings/cr_settings.h"

namespace cr {

class NodeShell;

/** A running node: HTTP servers on its three ports (callers, peers, operators),
    an HTTP client for other nodes, the backend server and the platform, and a
    timer. All methods are thread safe. @see NodeDecisions */
class NodeServer
{
public:
  /** Creates a node that does not listen yet. */
  NodeServer(NodeSettings aSettings, Incarnation aIncarnation);
  /** Closes all connections immediately. */
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  //==========================================================================
  /** Starts listening and serving. */
  Expected<void> Start();

  /** Rejects new calls, waits up to the shutdown limit for calls in progress to
      be answered, and closes. Returns the number of calls still unanswered when
      it closed. */
  std::size_t Shutdown();

  //==========================================================================
  /** Returns the status for operators. */
  NodeStatus Status() const;

private:
  std::shared_ptr<NodeShell> m_shell;
};

}
