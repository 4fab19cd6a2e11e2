#pragma once

#include "gateway/gateway_server.h"
#include "tests/support/test_sockets.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace carawaypoint
{

/// A gateway with a streaming, a repeatable, a non-repeatable and a public route to fake backend servers.
class GatewayTest : public testing::Test
{
protected:
    GatewayTest();
    ~GatewayTest() override;

    /// Starts the gateway with @p backends, which serve both the model and the plain service.
    void start(const std::vector<Endpoint> &backends);
    /// Ends the gateway, which may then be started with other backends.
    void stopGateway();
    /// Puts the present settings of the fixture into force as a new configuration.
    void applyConfig();
    /// Runs @p action on the traffic thread and waits until it has completed.
    void runOnTrafficThread(const std::function<void()> &action);
    TestConnection connect() const;
    static std::string request(const std::string &path, const std::string &id, const std::string &extra = {});
    static std::string eventStream(const std::string &id, unsigned first, unsigned last, bool isComplete);
    static std::string answer(const std::string &id, const std::string &body);

    GatewaySettings settings_;
    Duration idleTimeout_ = seconds(15); // of the callers' connections
    WireNames names_;
    std::unique_ptr<GatewayContext> context_;
    std::unique_ptr<GatewayServer> server_;

private:
    ServiceConfigPtr makeConfig() const;

    ServerMap servers_;
    std::unique_ptr<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_;
    std::thread thread_;
};

}
