#include "soak/gateway_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

namespace carawaypoint
{

namespace
{

std::string targetOf(const std::filesystem::path &link)
{
    std::error_code error;
    return std::filesystem::read_symlink(link, error).string();
}

}

// Guards against a stand-in server that cannot listen again after it has stopped, because a gateway that was started meanwhile holds its socket, which
// accepts connections that nobody serves (the soak's seed 8016).
TEST(ChildProcess, inheritsNoListeningSocket)
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto program = testing::TempDir() + "child-" + std::to_string(::getpid());
    std::ofstream(program) << "#!/bin/sh\nexec sleep 20\n";
    std::filesystem::permissions(program, std::filesystem::perms::owner_all);
    soak::GatewayProcess child(program, "", "/dev/null");
    child.start();
    const std::string folder = "/proc/" + std::to_string(child.processId());
    for (unsigned attempt = 0; attempt < 500 && targetOf(folder + "/exe").find("sleep") == std::string::npos; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    ASSERT_NE(targetOf(folder + "/exe").find("sleep"), std::string::npos);
    for (const auto &entry : std::filesystem::directory_iterator(folder + "/fd")) {
        EXPECT_EQ(targetOf(entry.path()).find("socket:"), std::string::npos) << entry.path();
    }
    child.kill();
    std::filesystem::remove(program);
}

}
