#pragma once

#include "core/ids.h"

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace carawaypoint
{

/// An HTTP message received on a TestConnection.
struct TestMessage {
    std::string startLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool isComplete = false; // the end of the body was received

    std::string header(const std::string &name) const;
    int status() const;
};

/// A blocking TCP connection. Reads and writes fail after 20 s, so that a test does not hang.
class TestConnection
{
public:
    explicit TestConnection(int socket);
    static TestConnection open(const Endpoint &server);
    TestConnection(TestConnection &&other) noexcept;
    ~TestConnection();

    bool write(std::string_view data) const;
    /// Reads a message; empty when the connection ended before a complete header was received.
    std::optional<TestMessage> read();
    /// Reads until @p text was received; false when the connection ended first.
    bool readUntil(std::string_view text);
    /// Waits until the peer closes the connection or sends data; true when it closed.
    bool isClosedByPeer() const;
    void close();

private:
    bool receiveMore();
    int socket_;
    std::string input_;
};

/// A server on a port chosen by the system. The handler is called for each request, on one thread per connection, and may write
/// arbitrary data; returning false closes the connection.
class FakeServer
{
public:
    using Handler = std::function<bool(const TestMessage &, TestConnection &)>;

    explicit FakeServer(Handler handler);
    ~FakeServer();

    const Endpoint &endpoint() const
    {
        return endpoint_;
    }
    /// Refuses further connections, as a server that has ended does.
    void stopListening();
    int connections() const
    {
        return connections_;
    }

private:
    void accept();
    void serve(int socket);

    Handler handler_;
    Endpoint endpoint_;
    std::atomic<bool> isListening_ = true;
    int listener_;
    std::atomic<int> connections_ = 0;
    std::mutex mutex_;
    std::list<int> sockets_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

/// Returns an endpoint that refuses connections.
Endpoint unusedEndpoint();
std::string responseText(int status, const std::string &headers, const std::string &body);
/// Polls until @p condition holds; false after 20 s, which only a failing test reaches.
bool waitFor(const std::function<bool()> &condition);

}
