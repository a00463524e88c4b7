#include "tests/cr_NodeFixture.h"

#include <gtest/gtest.h>

namespace cr {

NodeFixture::NodeFixture(std::uint16_t aBasePort)
  : m_basePort(aBasePort)
{
  EXPECT_TRUE(m_platform.Listen(Platform()));
  PublicationRequest request;
  request.m_files = { { "shop.json", std::string(kServiceFile) } };
  request.m_publicationId = "1";
  StoreConnection store(m_client, Platform(), Seconds(5));
  const auto result = Publish(request, [&](const StoreRequest& aRequest) {
    return store.SendAndWait(aRequest);
  });
  EXPECT_TRUE(std::holds_alternative<Published>(result));
  NodeSettings settings;
  settings.m_host = "host-1";
  settings.m_region = "r";
  settings.m_dataCentre = "a";
  settings.m_address = Platform().m_address;
  settings.m_callerPort = Caller().m_port;
  settings.m_peerPort = Peer().m_port;
  settings.m_operatorPort = PortAt(3).m_port;
  settings.m_platform = Platform();
  m_node = std::make_unique<NodeServer>(settings, Incarnation{ 1 });
  EXPECT_TRUE(m_node->Start());
}

NodeFixture::~NodeFixture()
{
  End();
}

void
NodeFixture::End()
{
  m_node.reset();
  m_threads.Stop();
}

HttpResponse
NodeFixture::Send(const Endpoint& aEndpoint, HttpRequest aRequest)
{
  const HttpResult result =
    m_client.SendAndWait(aEndpoint, std::move(aRequest), Seconds(20));
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) {
    ADD_FAILURE() << std::get<HttpFailure>(result).m_text;
    return HttpResponse{ 0, {}, {} };
  }
  return *response;
}

bool
NodeFixture::IsReady() const
{
  NodeStatus status = m_node->Status();
  return status.m_hosts["shop"] != 0 && status.m_generation != 0;
}

Endpoint
NodeFixture::PortAt(std::uint16_t aOffset) const
{
  return { Platform().m_address,
           static_cast<std::uint16_t>(m_basePort + aOffset) };
}

}
