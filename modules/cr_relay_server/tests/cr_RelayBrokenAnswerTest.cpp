#include <gtest/gtest.h>

#include <map>
#include <thread>

#include "cr_relay_server/protocol/cr_RelayCodec.h"
#include "tests/cr_RelayFleet.h"
#include "tests/cr_ScriptedBackend.h"

namespace cr {

namespace {

constexpr std::size_t kStatusHost = 0;
constexpr std::size_t kBookingHost = 1;
constexpr std::string_view kServerHeader = "Cr-Server";

/* Broken forms without the many places at which chunks are cut. */
std::vector<AnswerForm>
BrokenForms(std::string_view aFields)
{
  std::vector<AnswerForm> forms = BrokenAnswers(aFields);
  std::erase_if(forms, [](const AnswerForm& aForm) {
    return aForm.m_name.starts_with("ChunksCutAt") &&
           !aForm.m_name.starts_with("ChunksCutAt13");
  });
  return forms;
}

/* What a backend server answers, and how often it ran each target. */
class ServerScript
{
public:
  ScriptedHandler Handler()
  {
    return [this](const ScriptedRequest& aRequest) {
      return m_state.WithLock(
        [&](State& aState) { return Answer(aState, aRequest); });
    };
  }

  /* Breaks the answers to targets that end in "/broken/" and a number. */
  void Break(std::size_t aForm)
  {
    m_state.WithLock([&](State& aState) { aState.m_form = aForm; });
  }

  int Runs(const std::string& aTarget)
  {
    return m_state.WithLock(
      [&](State& aState) { return aState.m_runs[aTarget]; });
  }

private:
  struct State
  {
    std::size_t m_form = 0;
    std::map<std::string, int> m_runs;
  };

  static ScriptedAnswer Answer(State& aState, const ScriptedRequest& aRequest)
  {
    const std::string target = TargetOf(aRequest);
    if (target.find("/broken/") == std::string::npos) {
      return MakeAnswer(SoundForm(aRequest));
    }
    ++aState.m_runs[target];
    return MakeAnswer(BrokenForms(ServerFields(aRequest)).at(aState.m_form));
  }

  Guarded<State> m_state;
};

/* Sends a request until it reaches the server, and returns the answer. */
HttpResponse
SendUntilRun(RelayFleet& aFleet,
             ServerScript& aScript,
             std::size_t aHost,
             const std::string& aTarget)
{
  HttpResponse response;
  for (int attempt = 0; attempt < 200; ++attempt) {
    response = aFleet.Send(aHost, aTarget);
    if (aScript.Runs(aTarget) > 0) {
      break;
    }
    EXPECT_EQ(response.m_status, kHttpUnavailable);
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return response;
}

/* The answer of a node in place of one that it couldn't read: the request may
   have run. */
void
ExpectBadGateway(const HttpResponse& aResponse)
{
  EXPECT_EQ(aResponse.m_status, kHttpBadGateway);
  EXPECT_EQ(FindHeader(aResponse.m_headers, kServerHeader), "");
  EXPECT_EQ(aResponse.m_body.find(kFormBody.substr(0, 3)), std::string::npos);
}

TEST(RelayBrokenAnswer, OfAServerIsNeverPassedOn)
{
  RelayFleet fleet({ "status", "booking" });
  ServerScript script;
  const auto statusServer = fleet.ReplaceServer(kStatusHost, script.Handler());
  const auto bookingServer =
    fleet.ReplaceServer(kBookingHost, script.Handler());
  fleet.WriteRoutes(1, { "status", "booking" });
  int number = 0;
  const std::vector<AnswerForm> forms = BrokenForms("");
  for (std::size_t form = 0; form < forms.size(); ++form) {
    script.Break(form);
    for (const std::size_t entry : { kStatusHost, kBookingHost }) {
      for (const std::string service : { "status", "booking" }) {
        SCOPED_TRACE(forms[form].m_name + " of " + service + " by way of " +
                     std::to_string(entry));
        const std::size_t server =
          service == "booking" ? kBookingHost : kStatusHost;
        // The first connection after a broken answer is fresh, the next is
        // kept.
        for (const bool isKept : { false, true }) {
          if (isKept) {
            EXPECT_EQ(fleet.SendUntil(entry, "/" + service + "/7", kHttpOk),
                      kHttpOk);
          }
          const std::string target =
            "/" + service + "/broken/" + std::to_string(++number);
          const int logged = fleet.CountDecisions(server, "broken-answer");
          ExpectBadGateway(SendUntilRun(fleet, script, entry, target));
          EXPECT_GT(fleet.CountDecisions(server, "broken-answer"), logged);
          if (service == "booking") {
            EXPECT_EQ(script.Runs(target), 1);
          }
        }
      }
    }
  }
}

TEST(RelayBrokenAnswer, ToALongUploadIsNeverPassedOn)
{
  constexpr std::uint64_t uploadBytes = 8 * 1024 * 1024;
  RelayFleet fleet({ "status", "booking" });
  std::map<std::size_t, std::unique_ptr<ScriptedServer>> servers;
  for (const std::size_t host : { kStatusHost, kBookingHost }) {
    servers[host] = fleet.ReplaceServer(
      host,
      [](const ScriptedRequest& aRequest) {
        if (TargetOf(aRequest).find("/broken") == std::string::npos) {
          return MakeAnswer(SoundForm(aRequest));
        }
        ScriptedAnswer answer;
        answer.m_bytes =
          "HTTP/1.1 200 OK\r\n" + ServerFields(aRequest) + "\r\nwho";
        answer.m_ending = ConnectionEnding::Reset;
        answer.m_pause = Milliseconds(50);
        return answer;
      },
      uploadBytes - 65536);
  }
  fleet.WriteRoutes(1, { "status", "booking" }, uploadBytes);
  for (const std::size_t entry : { kStatusHost, kBookingHost }) {
    for (const std::string service : { "status", "booking" }) {
      SCOPED_TRACE(service + " by way of " + std::to_string(entry));
      for (const bool isKept : { false, true }) {
        if (isKept) {
          EXPECT_EQ(fleet.SendUntil(entry, "/" + service + "/7", kHttpOk),
                    kHttpOk);
        }
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = "/" + service + "/broken";
        request.m_headers = { { "Host", "shop" },
                              { "Cr-Request", "upload" },
                              { "Cr-Remaining-Ms", "3000" } };
        request.m_body.assign(uploadBytes, 'u');
        HttpResponse response;
        for (int attempt = 0; attempt < 100; ++attempt) {
          response = fleet.SendTo(entry, RelayFleet::kCustomerPort, request);
          if (response.m_status != kHttpUnavailable &&
              response.m_status != kHttpNotFound) {
            break;
          }
          std::this_thread::sleep_for(Milliseconds(20));
        }
        ExpectBadGateway(response);
      }
    }
  }
}

/* A node in trouble, in place of the one at the booking server. */
TEST(RelayBrokenAnswer, OfAnotherNodeIsNeverPassedOn)
{
  RelayFleet fleet({ "status", "booking" });
  fleet.WriteRoutes(1, { "status", "booking" });
  ASSERT_EQ(fleet.SendUntil(kStatusHost, "/booking/7", kHttpOk), kHttpOk);
  fleet.At(kBookingHost).m_node.reset();
  RelayReport report;
  report.m_outcome = Outcome::Completed;
  const auto fields = [&](const ScriptedRequest& aRequest) {
    return ServerFields(aRequest) + std::string(kReportHeaderName) + ": " +
           EncodeRelayReport(report) + "\r\n";
  };
  std::atomic<std::size_t> form{ 0 };
  std::atomic<int> runs{ 0 };
  ScriptedServerSettings settings;
  settings.m_endpoint = { fleet.At(kBookingHost).m_address,
                          RelayFleet::kPeerPort };
  ScriptedServer peer(
    [&](const ScriptedRequest& aRequest) {
      if (TargetOf(aRequest).starts_with("/booking/broken")) {
        ++runs;
        return MakeAnswer(BrokenForms(fields(aRequest)).at(form));
      }
      return MakeAnswer(SoundAnswers(fields(aRequest)).front());
    },
    settings);
  const std::vector<AnswerForm> forms = BrokenForms("");
  for (form = 0; form < forms.size(); ++form) {
    SCOPED_TRACE(forms[form].m_name);
    ASSERT_EQ(fleet.SendUntil(kStatusHost, "/booking/7", kHttpOk), kHttpOk);
    runs = 0;
    const int logged = fleet.CountDecisions(kStatusHost, "broken-answer");
    ExpectBadGateway(
      fleet.Send(kStatusHost, "/booking/broken/" + std::to_string(form)));
    EXPECT_EQ(runs, 1);
    EXPECT_GT(fleet.CountDecisions(kStatusHost, "broken-answer"), logged);
  }
}

TEST(RelayBrokenAnswer, ToAHealthCheckDoesNotMakeAServerUsable)
{
  for (const std::string name : { "Status000WithoutLength",
                                  "NameWithBlankAtStart",
                                  "FoldedLength",
                                  "NoLengthThenReset",
                                  "CodingOther" }) {
    SCOPED_TRACE(name);
    std::atomic<bool> isBroken{ true };
    std::atomic<int> checks{ 0 };
    std::atomic<int> runs{ 0 };
    RelayFleet fleet({ "status" });
    const auto server =
      fleet.ReplaceServer(0, [&](const ScriptedRequest& aRequest) {
        if (!IsHealthCheck(aRequest)) {
          ++runs;
          return MakeAnswer(SoundForm(aRequest));
        }
        ++checks;
        const auto forms = BrokenForms(ServerFields(aRequest));
        const auto form =
          std::find_if(forms.begin(), forms.end(), [&](const auto& aForm) {
            return aForm.m_name == name;
          });
        return MakeAnswer(isBroken ? *form : SoundForm(aRequest));
      });
    fleet.WriteRoutes(1, { "status" });
    while (checks < 2) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    EXPECT_EQ(fleet.Send(0, "/status/7").m_status, kHttpUnavailable);
    EXPECT_EQ(runs, 0);
    EXPECT_GT(fleet.CountDecisions(0, "broken-answer"), 0);
    isBroken = false;
    EXPECT_EQ(fleet.SendUntil(0, "/status/7", kHttpOk), kHttpOk);
  }
}

/* A store that hands its answers out in a broken form; with the form empty, in
   a sound one. */
class BrokenStore
{
public:
  BrokenStore()
    : m_server(
        [this](const ScriptedRequest& aRequest) { return Answer(aRequest); })
  {
  }

  Endpoint Address() const { return m_server.Address(); }

  void Forward(const Endpoint& aStore, std::string aForm)
  {
    m_state.WithLock([&](State& aState) {
      aState.m_store = aStore;
      aState.m_form = std::move(aForm);
    });
  }

  int Answers() const { return m_answers; }

private:
  struct State
  {
    std::optional<Endpoint> m_store;
    std::string m_form;
  };

  ScriptedAnswer Answer(const ScriptedRequest& aRequest)
  {
    const State state =
      m_state.WithLock([](const State& aState) { return aState; });
    ScriptedAnswer answer;
    answer.m_bytes = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    if (!state.m_store) {
      return answer;
    }
    const HttpResult result =
      m_client.SendAndWait(*state.m_store,
                           { "POST", TargetOf(aRequest), {}, aRequest.m_body },
                           Seconds(5));
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
      return answer;
    }
    ++m_answers;
    const std::string& body = response->m_body;
    const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    if (state.m_form == "Status000") {
      answer.m_bytes = "HTTP/1.1 000 X\r\n" + length + "\r\n" + body;
    } else if (state.m_form == "NameWithBlank") {
      answer.m_bytes = ok + length + " Name: x\r\n\r\n" + body;
    } else if (state.m_form == "Coding") {
      answer.m_bytes = ok + "Transfer-Encoding: gzip\r\n\r\n" + body;
      answer.m_ending = ConnectionEnding::Finish;
    } else if (state.m_form == "Reset") {
      answer.m_bytes = ok + "\r\n" + body;
      answer.m_ending = ConnectionEnding::Reset;
    } else {
      answer.m_bytes = ok + length + "\r\n" + body;
    }
    return answer;
  }

  IoThreads m_threads{ 1 };
  HttpClient m_client{ m_threads, {} };
  Guarded<State> m_state;
  std::atomic<int> m_answers{ 0 };
  ScriptedServer m_server;
};

TEST(RelayBrokenAnswer, OfTheStoreIsNotUsed)
{
  for (const std::string form :
       { "Status000", "NameWithBlank", "Coding", "Reset" }) {
    SCOPED_TRACE(form);
    BrokenStore store;
    RelayFleet fleet({ "status" }, store.Address());
    fleet.WriteRoutes(1, { "status" });
    store.Forward(fleet.PlatformAddress(), form);
    while (store.Answers() < 3) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    std::this_thread::sleep_for(Milliseconds(100));
    EXPECT_EQ(fleet.Send(0, "/status/7").m_status, kHttpUnavailable);
    EXPECT_EQ(fleet.At(0).m_requestsRun, 0);
    EXPECT_GT(fleet.CountDecisions(0, "broken-answer"), 0);
    store.Forward(fleet.PlatformAddress(), "");
    unsigned status = 0;
    for (int wait = 0; wait < 1000 && status != kHttpOk; ++wait) {
      std::this_thread::sleep_for(Milliseconds(10));
      status = fleet.Send(0, "/status/7").m_status;
    }
    EXPECT_EQ(status, kHttpOk);
  }
}

}

}
