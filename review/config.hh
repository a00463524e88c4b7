// Configurations as the operator writes them.
#pragma once
#include <string>
namespace review {
// rows: the routes, each a JSON list; services: names that are quoted already.
inline std::string Config(const std::string& rows, const std::string& services) {
  return "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"host\","
         "\"prefix\",\"type\",\"timeoutMs\",\"targetLatencyMs\",\"priority\","
         "\"service\",\"attempts\"],\"rows\":[" + rows + "]},\"services\":{"
         "\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\","
         "\"tls\"],\"rows\":[" + services + "]},\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}
}
