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

/// Stand-in for a daemon's admin address, on a port of 127.0.0.1 that the system chooses. The public members are set before
/// start().
class FakeDaemon
{
public:
    FakeDaemon();
    ~FakeDaemon();

    void start();
    std::string address() const;

    std::uint64_t generation = 0;
    ConfigDocuments documents;
    std::map<std::string, std::string> answers; // bodies of GET requests, by path
    std::function<void()> beforeApply; // called when a change arrives, before it is checked
    bool losesAnswers = false; // applies changes, but answers with PlatformTimeout
    bool refusesChanges = false; // answers changes with ConfigInvalid
    std::atomic<int> statusCalls{0}; // requests for config/status so far
    int inForceAfterCalls = 0; // number of config/status requests until the second member has the newest generation
    std::vector<std::string> drains; // bodies of POST /admin/drain

private:
    void apply(const AdminRequest &request, const AdminServer::Responder &respond);
    std::string configBody() const;

    boost::asio::io_context context_;
    AdminServer server_;
    std::thread thread_;
};

}
