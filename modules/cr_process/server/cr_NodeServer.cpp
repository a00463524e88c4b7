#include "cr_process/server/cr_NodeServer.h"

#include "cr_process/server/cr_NodeShell.h"

namespace cr {

NodeServer::NodeServer(NodeSettings aSettings, Incarnation aIncarnation)
  : m_shell(std::make_shared<NodeShell>(std::move(aSettings), aIncarnation))
{
}

NodeServer::~NodeServer()
{
  m_shell->Close();
}

Expected<void>
NodeServer::Start()
{
  return m_shell->Start();
}

std::size_t
NodeServer::Shutdown()
{
  return m_shell->Shutdown();
}

NodeStatus
NodeServer::Status() const
{
  return m_shell->Status();
}

}
