#include "cr_relay_server/server/cr_RelayServer.h"

#include "cr_relay_server/server/cr_RelayShell.h"

namespace cr {

RelayServer::RelayServer(RelayServerSettings aSettings, RelayDialect aDialect)
  : m_implementation(std::make_shared<Implementation>(std::move(aSettings),
                                                      std::move(aDialect)))
{
}

/* Ends the thread first: a handler on it may hold the shell for a moment, and a
   shell can't be destroyed by its own thread. */
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
RelayServer::NoteSettings(std::string_view aText)
{
  m_implementation->NoteSettings(aText);
}

std::size_t
RelayServer::Shutdown()
{
  return m_implementation->Shutdown();
}

}
