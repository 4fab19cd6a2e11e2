// Cases in which a part of prompts crashes each runner that begins to write an answer on it. MODE=long: the part stands late in long prompts.
// MODE=bursts: the requests with it come several at a time. MODE=models: they name several models.
#include "runners.hh"

namespace
{

using namespace rig;

constexpr int RunnerCount = 24;
constexpr unsigned ModelSize = 2;
constexpr int Groups = RunnerCount / static_cast<int>(ModelSize);
constexpr int SoundClients = 6;
constexpr int Turns = 36; // of the session of a long prompt, each a part of it
constexpr unsigned Models = 4;
constexpr double ContactSeconds = 3;
constexpr std::size_t CrashesBeforeBound = 5;
constexpr int AllowedRequests = 3;
const std::string DeadlyPart = "dead0001";

struct Counts {
    std::atomic<int> whole{0};
    std::atomic<int> cut{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
};

void recordOutcome(Record &record, const std::string &id, const Outcome &outcome)
{
    record.write("client " + id + ": status " + std::to_string(outcome.status) + (outcome.isComplete ? ", whole" : ", not whole"));
}

/// Sends sound streams that share their caller and their other parts with the deadly ones.
void runSoundClient(const Gateways &gateways,
                    int number,
                    const std::string &shared,
                    unsigned models,
                    Record &record,
                    Counts &counts,
                    const std::atomic<bool> &isOver)
{
    for (int count = 0; !isOver; ++count) {
        const auto id = "sound" + std::to_string(number) + "-" + std::to_string(count);
        const auto parts = shared + "b" + std::to_string(number * 1000 + count) + ":300";
        record.write("client sends " + id);
        const auto outcome = callStream(gateways.host(number % 3), id, parts, "m" + std::to_string(static_cast<unsigned>(count) % models));
        recordOutcome(record, id, outcome);
        const bool isRefused = outcome.status == 503 || outcome.status == 429;
        ++(outcome.status == 200 ? (outcome.isComplete ? counts.whole : counts.cut) : isRefused ? counts.refused : counts.failed);
        sleepMs(50);
    }
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 4) {
        return 2;
    }
    Record record(argv[2]);
    const std::string mode = argv[3];
    const unsigned models = mode == "models" ? Models : 1;
    const auto prefix = loopbackPrefix();
    Store store(prefix + "250", 8223);
    Runners runners(store, record, {.prefix = prefix});
    Gateways gateways(prefix, argv[1], 8223);
    const auto exitWith = [&gateways](int code) {
        gateways.stop();
        std::_Exit(code);
    };
    if (!store.start()) {
        exitWith(2);
    }
    store.put("config", "main", makeConfig(1, ModelSize, 8000, models));
    for (int number = 0; number < RunnerCount; ++number) {
        if (!runners.add("draft", "d" + std::to_string(number / 12))) {
            exitWith(2);
        }
    }
    for (int number = 0; number < 3; ++number) {
        gateways.start(number);
    }
    for (int tries = 0; tries < 150 && runners.openGroups() < Groups; ++tries) {
        sleepMs(100);
    }
    if (runners.openGroups() < Groups || !gateways.waitUntilReady(3, 10)) {
        record.write("not started: open groups " + std::to_string(runners.openGroups()));
        exitWith(2);
    }
    if (isTrouble()) {
        runners.setDeadlyPart(DeadlyPart);
    }
    std::string shared = "5a5a0001:40,";
    if (mode == "long") {
        for (int turn = 1; turn < Turns; ++turn) {
            shared += std::to_string(500000 + turn) + ":40,";
        }
    }
    std::atomic<bool> isOver{false};
    Counts counts;
    std::vector<std::thread> clients;
    for (int number = 0; number < SoundClients; ++number) {
        clients.emplace_back([&, number] { runSoundClient(gateways, number, shared, models, record, counts, isOver); });
    }
    sleepMs(3000);
    record.write("requests with the part begin");
    int sent = 0;
    const auto sendDeadly = [&] {
        const int number = sent++;
        clients.emplace_back([&, number] {
            const auto id = "deadly-" + std::to_string(number);
            const auto parts = shared + DeadlyPart + ":200,c" + std::to_string(number) + ":100";
            record.write("client sends " + id);
            recordOutcome(record, id, callStream(gateways.host(number % 3), id, parts, "m" + std::to_string(static_cast<unsigned>(number) % models)));
        });
    };
    const int rounds = mode == "bursts" ? 3 : 24;
    for (int round = 0; round < rounds; ++round) {
        for (int count = 0; count < (mode == "bursts" ? 8 : 1); ++count) {
            sendDeadly();
        }
        sleepMs(mode == "bursts" ? 10000 : 1000);
    }
    isOver = true;
    for (auto &client : clients) {
        client.join();
    }
    const auto crashes = runners.crashes();
    int late = 0;
    for (const auto &arrival : runners.arrivals()) {
        const bool isBound = crashes.size() >= CrashesBeforeBound && arrival.at > crashes[CrashesBeforeBound - 1] + ContactSeconds;
        late += arrival.isDeadly && isBound ? 1 : 0;
    }
    const auto summary = "requests with the part: sent " + std::to_string(sent) + ", reached runners later than 3 s after the fifth crash "
        + std::to_string(late) + " (3 are allowed); runners crashed " + std::to_string(crashes.size()) + "; sound streams: whole "
        + std::to_string(counts.whole) + ", cut " + std::to_string(counts.cut) + ", refused " + std::to_string(counts.refused) + ", failed "
        + std::to_string(counts.failed);
    record.write(summary);
    std::puts(summary.c_str());
    std::fflush(stdout);
    exitWith(late > AllowedRequests ? 1 : 0);
}
