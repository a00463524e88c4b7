#pragma once

#include "cr_admission/cr_admission.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_ConfigurationHolder.h"
#include "cr_node/shared/cr_OwnerTable.h"
#include "cr_node/shared/cr_RouterTable.h"
#include "cr_retry/cr_retry.h"
#include "cr_suspects/cr_suspects.h"

namespace cr {

/** State shared by all flows of a node. Each member is either constant or
    thread safe by itself; flows keep a reference and never hold two locks at
    once. */
struct NodeShared
{
  /** Creates the state of a node that knows no other nodes yet. */
  NodeShared(NodeIdentity aIdentity, PolicySwitches aPolicy)
    : m_identity(std::move(aIdentity))
    , m_policy(aPolicy)
    , m_routers(m_identity, m_policy)
    , m_owners(
        { m_identity.m_host, m_identity.m_incarnation, m_identity.m_peer })
  {
  }

  const NodeIdentity m_identity;
  const PolicySwitches m_policy;
  ConfigurationHolder m_configuration;
  RouterTable m_routers;
  OwnerTable m_owners;
  Guarded<SuspectTable> m_suspects;
  Guarded<LevelTable> m_levels;
  Guarded<RetryQuota> m_retryQuota;
};

}
