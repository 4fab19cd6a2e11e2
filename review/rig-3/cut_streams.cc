// Cases in which streams that may not be resumed run at one group, and something ordinary happens to one runner of that group.
// MODE=silence: it says nothing for 1.5 s and goes on. MODE=drain: it begins a planned shutdown. MODE=entry: another writer overwrites its entry.
#include "runners.hh"

namespace
{

using namespace rig;

constexpr int Clients = 6;
constexpr long SilenceMs = 1500;
constexpr long DeadlineMs = 8000;

struct Counts {
    std::atomic<int> whole{0};
    std::atomic<int> cut{0};
    std::atomic<int> notBegun{0};
};

int countEvents(const std::string &body)
{
    int events = 0;
    for (auto position = body.find("id: "); position != std::string::npos; position = body.find("id: ", position + 1)) {
        ++events;
    }
    return events;
}

/// Two streams, one after the other, on one connection.
void runClient(const std::string &host, int number, Record &record, Counts &counts)
{
    const auto socket = Socket::connect(host, 8227);
    for (int round = 0; round < 2; ++round) {
        const auto id = "stream" + std::to_string(number) + "-" + std::to_string(round);
        const auto begun = record.seconds();
        record.write("client sends " + id + (round == 0 ? "" : " on the same connection"));
        Message answer;
        const bool isBegun = socket
            && socket->send("POST /n/x HTTP/1.1\r\nHost: case.example\r\nCarawaypoint-Attempt-Id: " + id
                            + "\r\nCarawaypoint-Model: m0\r\nCarawaypoint-Token-Usage: 400,160\r\nCarawaypoint-Prompt-Prefix: a1:40,b" + std::to_string(number)
                            + ":300\r\nCarawaypoint-Deadline-Ms: " + std::to_string(DeadlineMs)
                            + "\r\nAuthorization: Token key-1\r\nContent-Length: 6\r\n\r\nprompt")
            && socket->readHead(answer, DeadlineMs) && answer.status == 200;
        const bool isWhole = isBegun && socket->readBody(answer, DeadlineMs);
        char text[200];
        std::snprintf(text, sizeof(text), "client %s: status %d, %d events in %.1f s, %s", id.c_str(), answer.status, countEvents(answer.body),
                      record.seconds() - begun,
                      isWhole       ? "whole"
                          : isBegun ? "the gateway closed the connection"
                                    : "not begun");
        record.write(text);
        ++(isWhole ? counts.whole : isBegun ? counts.cut : counts.notBegun);
        if (!isWhole) {
            return;
        }
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
    const auto prefix = loopbackPrefix();
    Store store(prefix + "250", 8223);
    Runners runners(store, record, {.prefix = prefix, .eventMs = 250, .events = 26});
    Gateways gateways(prefix, argv[1], 8223);
    const auto exitWith = [&gateways](int code) {
        gateways.stop();
        std::_Exit(code);
    };
    if (!store.start()) {
        exitWith(2);
    }
    store.put("config", "main", makeConfig(1, 3, DeadlineMs));
    for (int number = 0; number < 4; ++number) {
        if (!runners.add("draft", "d0")) {
            exitWith(2);
        }
    }
    for (int number = 0; number < 3; ++number) {
        gateways.start(number);
    }
    for (int tries = 0; tries < 150 && runners.openGroups() < 1; ++tries) {
        sleepMs(100);
    }
    if (runners.openGroups() != 1 || !gateways.waitUntilReady(3, 10)) {
        record.write("not started: open groups " + std::to_string(runners.openGroups()));
        exitWith(2);
    }
    sleepMs(3500);
    const auto members = runners.openMembers().front();
    Counts counts;
    std::vector<std::thread> clients;
    for (int number = 0; number < Clients; ++number) {
        clients.emplace_back([&, number] { runClient(gateways.host(number % 3), number, record, counts); });
    }
    sleepMs(9000); // the second streams have run for two seconds
    if (isTrouble() && mode == "silence") {
        runners.fallSilent(members.back(), SilenceMs);
    } else if (isTrouble() && mode == "drain") {
        runners.drain(members.back());
    } else if (isTrouble()) {
        record.write("another writer overwrites the entry of " + members.back() + ", a member of the group of " + members.front());
        store.put("servers", members.back(), "{\"owner\":\"backup-tool\"}");
    }
    for (auto &client : clients) {
        client.join();
    }
    const auto summary = "streams whole " + std::to_string(counts.whole) + ", cut " + std::to_string(counts.cut) + " (3 are allowed), not begun "
        + std::to_string(counts.notBegun);
    record.write(summary);
    std::puts(summary.c_str());
    std::fflush(stdout);
    exitWith(counts.cut > 3 ? 1 : counts.notBegun > 0 ? 2 : 0);
}
