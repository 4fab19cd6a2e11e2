// Stand-ins for the cases of the review: standin CASE --binary FILE --template FILE --dir DIR --record FILE --trouble 0|1
#include "fleet.h"

#include <boost/asio/co_spawn.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using Case = review::asio::awaitable<review::Verdict> (*)(review::Fleet &, bool);
    const std::map<std::string, Case> cases{{"crashing-request", review::crashingRequest},
                                            {"foreign-entry", review::foreignEntry},
                                            {"late-removal", review::lateRemoval},
                                            {"request-during-stop", review::requestDuringStop}};
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    review::Options options;
    for (std::size_t at = 1; at + 1 < arguments.size(); at += 2) {
        const auto &value = arguments[at + 1];
        if (arguments[at] == "--binary") {
            options.binary = value;
        } else if (arguments[at] == "--template") {
            options.settingsTemplate = value;
        } else if (arguments[at] == "--dir") {
            options.workDir = value;
        } else if (arguments[at] == "--record") {
            options.record = value;
        } else if (arguments[at] == "--trouble") {
            options.hasTrouble = value != "0";
        }
    }
    const auto chosen = arguments.empty() ? cases.end() : cases.find(arguments.front());
    if (chosen == cases.end()) {
        std::cerr << "unknown case\n";
        return static_cast<int>(review::Verdict::NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        review::Fleet fleet(options);
        const auto verdict = fleet.run(chosen->second(fleet, options.hasTrouble));
        std::cout << (verdict == review::Verdict::Broken ? "broken" : verdict == review::Verdict::Held ? "held" : "could not run") << "\n";
        return static_cast<int>(verdict);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(review::Verdict::NotRun);
    }
}
