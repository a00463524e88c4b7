/* A request crashes each instance that runs it, and comes again. All nodes are
   killed at one moment, and start again. How often does it reach an instance
   after that? Instances are processes of their own, so that a crash is one. */
#include "stand_in_2.hh"

using namespace review;

namespace {

constexpr std::size_t kMachines = 4;
constexpr double kStableSeconds = 3.0;
constexpr double kBackSeconds = 2.0;
const char* const kDeadlyPath = "/browse/deadly";

double
Now()
{
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

/* The process of an instance: program "instance" ip port id file. */
int
RunInstance(char** aArguments)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  signal(SIGPIPE, SIG_IGN);
  Record::Open("/dev/null");
  const Machine machine{
    "", aArguments[2], "catalogue", std::atoi(aArguments[3])
  };
  const std::string id = aArguments[4];
  const int file = open(aArguments[5], O_WRONLY | O_APPEND | O_CREAT, 0644);
  std::unique_ptr<Instance> instance;
  instance = std::make_unique<Instance>(
    machine, id, 54, [&](const Message& aRequest) {
      if (aRequest.Word(1) == kDeadlyPath) {
        char line[200];
        const int size =
          std::snprintf(line,
                        sizeof line,
                        "%.6f %s %s\n",
                        Now(),
                        aRequest.Header("x-corianderrack-request-id").c_str(),
                        id.c_str());
        if (write(file, line, static_cast<std::size_t>(size)) != size) {
          _exit(3);
        }
        Sleep(0.05);
        _exit(1);
      }
      Sleep(0.02);
      return std::optional(instance->Success(aRequest, "the catalogue\n"));
    });
  while (true) {
    Sleep(10);
  }
}

/* Keeps an instance running: it is back some seconds after a crash. */
class Supervisor
{
public:
  Supervisor(std::string aProgram, Machine aMachine, std::string aFile)
    : m_program(std::move(aProgram))
    , m_machine(std::move(aMachine))
    , m_file(std::move(aFile))
  {
    Start();
  }

  void Check()
  {
    if (m_process > 0) {
      if (waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = 0;
        m_back = Now() + kBackSeconds;
        Record::Line("instance " + m_id + " has crashed");
      }
    } else if (Now() >= m_back) {
      Start();
    }
  }

  void Kill()
  {
    if (m_process > 0) {
      kill(m_process, SIGKILL);
      waitpid(m_process, nullptr, 0);
    }
  }

private:
  void Start()
  {
    m_id = "i-" + m_machine.m_name + "-" + std::to_string(++m_starts);
    const std::string port = std::to_string(m_machine.m_port);
    m_process = fork();
    if (m_process == 0) {
      execl(m_program.c_str(),
            m_program.c_str(),
            "instance",
            m_machine.m_ip.c_str(),
            port.c_str(),
            m_id.c_str(),
            m_file.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    Record::Line("instance " + m_id + " starts");
  }

  const std::string m_program;
  const Machine m_machine;
  const std::string m_file;
  std::string m_id;
  int m_starts = 0;
  pid_t m_process = 0;
  double m_back = 0;
};

struct Arrival
{
  double m_time = 0;
  std::string m_request;
  std::string m_instance;
};

std::vector<Arrival>
ReadArrivals(const std::string& aFile)
{
  std::vector<Arrival> arrivals;
  std::ifstream file(aFile);
  Arrival arrival;
  while (file >> arrival.m_time >> arrival.m_request >> arrival.m_instance) {
    arrivals.push_back(arrival);
  }
  return arrivals;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount == 6) {
    return RunInstance(aArguments);
  }
  Record::Open(aArguments[1]);
  Deployment deployment(std::vector<std::string>(kMachines, "catalogue"));
  deployment.Configure(
    { R"(["r-browse","sets.example","/browse/","safe",5000,1200,2,)"
      R"("catalogue",2])" },
    { "catalogue" });
  deployment.StartNodes();
  char file[] = "/tmp/corianderrack-arrivals-XXXXXX";
  close(mkstemp(file));
  std::vector<std::unique_ptr<Supervisor>> supervisors;
  for (std::size_t index = 0; index < kMachines; ++index) {
    supervisors.push_back(std::make_unique<Supervisor>(
      "/proc/self/exe", deployment.At(index).At(), file));
  }
  const auto wait = [&](double aSeconds) {
    for (const double until = Now() + aSeconds; Now() < until; Sleep(0.01)) {
      for (const auto& supervisor : supervisors) {
        supervisor->Check();
      }
    }
  };
  std::atomic<int> served{ 0 };
  const auto sendEverywhere = [&](const std::string& aPath,
                                  const std::string& aName) {
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < kMachines; ++index) {
      clients.emplace_back([&, aPath, index] {
        const std::string id = aName + "-" + std::to_string(index + 1);
        Record::Line("client sends " + id + " (GET " + aPath + ")");
        const auto answer =
          Call(deployment.At(index).At().Outbound(),
               MakeGet("sets.example", aPath, id, 5000));
        served += answer && answer->Status() == 200 ? 1 : 0;
        Record::Line("client gets " +
                     std::to_string(answer ? answer->Status() : 0) + " for " +
                     id);
      });
    }
    for (std::thread& client : clients) {
      client.join();
    }
  };
  wait(3.0);
  sendEverywhere("/browse/usual", "usual");
  if (served != kMachines) {
    CannotRun("the usual traffic isn't served");
  }
  int round = 0;
  const auto sendDeadly = [&](int aRounds) {
    for (int count = 0; count < aRounds; ++count) {
      sendEverywhere(kDeadlyPath, "deadly-" + std::to_string(++round));
      wait(5.0);
    }
  };
  sendDeadly(4);
  const std::size_t before = ReadArrivals(file).size();
  if (HasTrouble()) {
    Record::Line("all nodes are killed");
    for (std::size_t index = 0; index < kMachines; ++index) {
      deployment.At(index).Kill();
    }
    wait(0.5);
    for (std::size_t index = 0; index < kMachines; ++index) {
      deployment.At(index).Start();
    }
    Record::Line("all nodes are started");
    deployment.AwaitReady();
  }
  wait(kStableSeconds + 2.0);
  sendDeadly(4);
  const std::vector<Arrival> arrivals = ReadArrivals(file);
  unlink(file);
  for (const auto& supervisor : supervisors) {
    supervisor->Kill();
  }
  int late = 0;
  for (std::size_t index = 0; index < arrivals.size(); ++index) {
    const bool counts =
      index >= 3 &&
      arrivals[index].m_time > arrivals[2].m_time + 0.05 + kStableSeconds;
    late += counts ? 1 : 0;
    Record::Line(arrivals[index].m_request + " had reached " +
                 arrivals[index].m_instance + (counts ? ", counts" : ""));
  }
  Finish(deployment,
         late > 3,
         "BUDGET: the deadly request reached instances " +
           std::to_string(late) + " times later than 3 s after its third "
           "crash, three are allowed (" + std::to_string(before) +
           " arrivals before, " + std::to_string(arrivals.size() - before) +
           " after)");
}
