// Case: the store comes back from a copy that is a few seconds old, from before the groups were formed, and no request has come yet.
#include "runners.hh"

namespace
{

constexpr int Domains = 6;
constexpr int RunnersPerDomain = 11;
constexpr unsigned ModelSize = 3;
constexpr int Groups = Domains * (RunnersPerDomain / static_cast<int>(ModelSize));
constexpr long AwayMs = 100;

}

int main(int argc, char **argv)
{
    using namespace rig;
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3) {
        return 2;
    }
    Record record(argv[2]);
    const auto prefix = loopbackPrefix();
    Store store(prefix + "250", 8223);
    Runners runners(store, record, {.prefix = prefix, .heartbeatMs = 1200});
    Gateways gateways(prefix, argv[1], 8223);
    const auto exitWith = [&gateways](int code) {
        gateways.stop();
        std::_Exit(code);
    };
    if (!store.start()) {
        exitWith(2);
    }
    store.put("config", "main", makeConfig(1, ModelSize, 8000));
    for (int number = 0; number < Domains * RunnersPerDomain; ++number) {
        if (!runners.add("draft", "d" + std::to_string(number / RunnersPerDomain))) {
            exitWith(2);
        }
    }
    for (int number = 0; number < 3; ++number) {
        gateways.start(number);
    }
    sleepMs(1000);
    const auto copy = store.copy();
    record.write("a copy of the store is made");
    for (int tries = 0; tries < 150 && runners.openGroups() < Groups; ++tries) {
        sleepMs(100);
    }
    record.write("open groups: " + std::to_string(runners.openGroups()));
    if (runners.openGroups() < Groups || !gateways.waitUntilReady(3, 10)) {
        exitWith(2);
    }
    sleepMs(1500);
    if (isTrouble()) {
        record.write("the store goes away");
        store.leave();
        sleepMs(AwayMs);
        store.restore(copy);
        store.put("config", "main", makeConfig(1, ModelSize, 8000));
        record.write("the store is back from the copy; the operator has written the configuration again, each runner writes its entry at its next heartbeat");
    }
    sleepMs(8000);
    const auto broken = runners.broken();
    const auto summary = "rule TWO broken " + std::to_string(broken.size()) + " times, open groups " + std::to_string(runners.openGroups());
    record.write(summary);
    std::puts(summary.c_str());
    std::fflush(stdout);
    exitWith(broken.empty() ? 0 : 1);
}
