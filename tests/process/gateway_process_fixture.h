#pragma once

#include "soak/gateway_process.h"
#include "soak/object_service.h"
#include "standins/http_listener.h"
#include "tests/process/process_usage.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace carawaypoint
{

/// A gateway as a process of its own, before a store and a backend server that run on a thread of the test.
///
/// The limits are low, so that a small crowd shows a fault. The bounds are those of the settings: the memory and the descriptors that the gateway
/// is told it may use.
class GatewayProcessTest : public testing::Test
{
protected:
    static constexpr std::size_t MemoryMb = 64;
    static constexpr std::size_t MaxDescriptors = 600;
    static constexpr std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
    static constexpr std::size_t MaxHeaderBytes = 16384;
    static constexpr std::size_t LargeAnswerBytes = std::size_t{1024} * 1024;

    void SetUp() override;
    void TearDown() override;

    boost::asio::ip::tcp::endpoint callers() const
    {
        return endpointAt(1, 8000);
    }
    /// Request line and the fields that every request has, without the empty line. The server answers a @p path that ends in "large" with
    /// LargeAnswerBytes.
    std::string requestHead(std::string_view path = "/r/x");
    /// Checks that the gateway lives, that it stays within its memory and descriptors, and that it answers an ordinary request.
    void expectOrdinaryService();
    /// Sends @p text on a new connection and returns the status of the answer; 0 without one. @p body receives the body.
    unsigned exchange(const std::string &text, std::string &body) const;

private:
    boost::asio::ip::tcp::endpoint endpointAt(unsigned host, std::uint16_t port) const;
    void publish();
    void writeSettings(const std::string &path) const;
    boost::asio::awaitable<void> serve(standins::HttpExchange &exchange);
    unsigned ask();

    std::string addressPrefix_;
    std::string directory_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
    std::unique_ptr<soak::ObjectService> store_;
    std::shared_ptr<standins::HttpListener> server_;
    std::unique_ptr<soak::GatewayProcess> gateway_;
    std::unique_ptr<ProcessUsage> usage_;
    std::thread thread_;
    unsigned requestCount_ = 0;
};

}
