#pragma once

#include "config/config_documents.h"
#include "daemon/admin_server.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace carawaypoint
{

/// Stand-in for a daemon's admin address, on a port of 127.0.0.1 that the system chooses. Its members are set before start().
class FakeDaemon
{
public:
    FakeDaemon();
    ~FakeDaemon();

    void start();
    std::string address() const;

    std::uint64_t generation = 0;
    ConfigDocuments documents;
    std::map<std::string, std::string> answers; // body by path of GET
    std::function<void()> beforeApply; // called when a change arrives, before it is checked
    bool losesAnswers = false; // changes take effect, but are answered with PlatformTimeout
    bool refusesChanges = false; // changes are answered with a fault
    std::atomic<int> statusCalls{0};
    int inForceAfterCalls = 0; // calls of config/status until the second member has the newest generation
    std::vector<std::string> drains; // bodies of POST /admin/drain

private:
    void apply(const AdminRequest &request, const AdminServer::Responder &respond);
    std::string configBody() const;

    boost::asio::io_context context_;
    AdminServer server_;
    std::thread thread_;
};

}
