#pragma once

#include "platform/platform_object_store.h"
#include "tests/support/scripted_http_server.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace carawaypoint
{

/// An object as the platform's store sends it.
inline std::string entry(const std::string &name, int revision)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) + R"(},"spec":{"a":1},"status":null})";
}

/// Connects a PlatformObjectStore to a scripted HTTP server and runs it until the operation's handler was called.
class PlatformStore : public testing::Test
{
protected:
    void startServer(ScriptedHttpServer::Script script)
    {
        server_ = std::make_unique<ScriptedHttpServer>(io_, std::move(script));
        store_ = std::make_unique<PlatformObjectStore>(io_.get_executor(), server_->endpoint());
    }
    void runUntil(const bool &isDone)
    {
        while (!isDone && io_.run_one() > 0) {
        }
    }

    boost::asio::io_context io_;
    std::unique_ptr<ScriptedHttpServer> server_;
    std::unique_ptr<PlatformObjectStore> store_;
};

}
