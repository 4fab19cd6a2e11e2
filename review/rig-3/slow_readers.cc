// Case: clients read a long answer slowly, but steadily, and well within their deadline.
#include "runners.hh"

int main(int argc, char **argv)
{
    using namespace rig;
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3) {
        return 2;
    }
    const std::string folder = argv[1];
    Record record(argv[2]);
    const char *trouble = std::getenv("TROUBLE");
    const bool isTrouble = trouble == nullptr || std::string(trouble) != "0";
    constexpr std::size_t AnswerBytes = 10 * 1024 * 1024;
    constexpr std::size_t BytesPerTenth = 80 * 1024; // 800 KB a second
    constexpr long DeadlineMs = 20000;
    constexpr int Clients = 6;
    const auto prefix = loopbackPrefix();
    Store store(prefix + "250", 8223);
    if (!store.start()) {
        return 2;
    }
    Runners runners(store, record, {.prefix = prefix});
    store.put("config", "main", makeConfig(1, 2, DeadlineMs));
    const std::string longAnswer(AnswerBytes, 'a');
    runners.setPlainHandler([&](Runners::Runner &runner, Socket &socket, Message &request) {
        const auto id = request.header("Carawaypoint-Attempt-Id");
        record.write("runner " + runner.id + " runs " + id);
        sleepMs(30);
        const bool isLong = request.target == "/b/export";
        const bool isSent = socket.send(
            response(200, isLong ? longAnswer : "short", "Carawaypoint-Attempt-Id: " + id + "\r\nCarawaypoint-Response-Signature: s-" + id + "\r\n"));
        record.write("runner " + runner.id + (isSent ? " has sent the whole answer to " : " could not send the whole answer to ") + id);
        return isSent;
    });
    for (int number = 0; number < 3; ++number) {
        if (!runners.add("app", "")) {
            return 2;
        }
    }
    Gateways gateways(prefix, folder, 8223);
    for (int number = 0; number < 3; ++number) {
        gateways.start(number);
    }
    if (!gateways.waitUntilReady(3, 15)) {
        gateways.stop();
        std::_Exit(2);
    }
    sleepMs(1500);
    std::atomic<int> cut{0}, whole{0}, other{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < Clients; ++number) {
        clients.emplace_back([&, number] {
            const auto socket = Socket::connect(gateways.host(number % 3), 8227, 128 * 1024);
            const auto call = [&](const std::string &path, const std::string &id) {
                record.write("client sends " + id);
                return socket
                    && socket->send("POST " + path + " HTTP/1.1\r\nHost: case.example\r\nCarawaypoint-Attempt-Id: " + id + "\r\nCarawaypoint-Deadline-Ms: "
                                    + std::to_string(DeadlineMs) + "\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi");
            };
            Message first;
            if (!call("/b/small", "small-" + std::to_string(number)) || !socket->readHead(first, 5000) || !socket->readBody(first, 5000)
                || first.status != 200) {
                record.write("the first request on the connection was not served: " + first.first);
                ++other;
                return;
            }
            const auto id = "export-" + std::to_string(number);
            const auto begun = record.seconds();
            Message answer;
            if (!call("/b/export", id) || !socket->readHead(answer, 10000) || answer.status != 200) {
                record.write("client " + id + ": no answer, " + answer.first);
                ++other;
                return;
            }
            bool isOpen = true;
            while (isOpen && socket->buffer().size() < AnswerBytes) {
                const auto before = Clock::now();
                const auto size = socket->buffer().size();
                while (isOpen && socket->buffer().size() < std::min(AnswerBytes, size + BytesPerTenth)) {
                    isOpen = socket->receive(10000, 16 * 1024);
                }
                if (isTrouble) {
                    std::this_thread::sleep_until(before + Ms(100));
                }
            }
            const bool isWhole = socket->buffer().size() == AnswerBytes;
            char text[160];
            std::snprintf(text, sizeof(text), "client %s: %zu of %zu bytes in %.1f s, %s", id.c_str(), socket->buffer().size(), AnswerBytes,
                          record.seconds() - begun, isWhole ? "whole" : "the gateway has closed the connection");
            record.write(text);
            ++(isWhole ? whole : cut);
        });
    }
    for (auto &client : clients) {
        client.join();
    }
    record.write("whole " + std::to_string(whole) + ", cut " + std::to_string(cut) + ", not begun " + std::to_string(other));
    std::printf("whole %d cut %d not begun %d\n", whole.load(), cut.load(), other.load());
    std::fflush(stdout);
    gateways.stop();
    std::_Exit(cut > 3 ? 1 : other > 0 ? 2 : 0);
}
