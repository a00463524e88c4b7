#include "cr_relay_server/server/cr_RelayServer.h"

#include "cr_relay_server/server/cr_RelayShell.h"

namespace cr {

RelayServer::RelayServer(RelayServerSettings aSettings,
                         RelayProtocolAdapter aAdapter)
  : m_implementation(std::make_shared<Implementation>(std::move(aSettings),
                                                      std::move(aAdapter)))
{
}

/* Stops the I/O thread first: a handler on it may briefly hold the last
   reference to the implementation, which must not be destroyed on its own
   thread. */
RelayServer::~RelayServer()
{
  m_implementation->Close();
}

Expected<void>
RelayServer::Start()
{
  return m_implementation->Start();
}

void
RelayServer::LogSettingsReload(std::string_view aText)
{
  m_implementation->LogSettingsReload(aText);
}

std::size_t
RelayServer::Shutdown()
{
  return m_implementation->Shutdown();
}

}
