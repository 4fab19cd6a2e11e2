#include "tests/process/caller_crowd.h"

#include "core/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <latch>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace carawaypoint
{

namespace
{

/// A connection that the gateway does not read from counts as having sent what it can.
constexpr auto WriteTimeout = seconds(12);
constexpr auto PollInterval = milliseconds(20);
/// Bytes of one write; several pieces make one write when they are short.
constexpr std::size_t WriteBytes = 65536;

std::string repeated(const std::string &piece)
{
    std::string text;
    while (!piece.empty() && (text.empty() || text.size() + piece.size() <= WriteBytes)) {
        text += piece;
    }
    return text;
}

}

struct CallerCrowd::Member : std::enable_shared_from_this<Member> {
    explicit Member(asio::io_context &io)
        : connection(std::make_shared<Connection>(asio::ip::tcp::socket(io)))
    {
    }

    asio::awaitable<bool> send(std::string_view text)
    {
        connection->limit(WriteTimeout);
        const auto [error, count] = co_await asio::async_write(connection->socket(), asio::buffer(text), UseResult);
        connection->unlimit();
        co_return !error;
    }

    /// Waits until the gateway's side has received all that was sent, or takes no more.
    asio::awaitable<void> waitUntilReceived()
    {
        asio::steady_timer pause(connection->socket().get_executor());
        const auto end = std::chrono::steady_clock::now() + WriteTimeout;
        int unsent = 1;
        while (unsent > 0 && std::chrono::steady_clock::now() < end && !hasEnded) {
            const bool isKnown = ::ioctl(connection->socket().native_handle(), SIOCOUTQ, &unsent) == 0;
            unsent = isKnown ? unsent : 0;
            pause.expires_after(PollInterval);
            co_await pause.async_wait(UseResult);
        }
    }

    /// Reads until the connection ends.
    asio::awaitable<void> readAll()
    {
        const auto self = shared_from_this();
        std::array<char, 4096> space{};
        boost::system::error_code error;
        while (!error) {
            std::tie(error, std::ignore) = co_await connection->socket().async_read_some(asio::buffer(space), UseResult);
        }
        hasEnded = true;
    }

    asio::awaitable<void> run(asio::ip::tcp::endpoint gateway, const CrowdScript &script, std::string block, std::latch &sent)
    {
        const auto self = shared_from_this();
        const auto [error] = co_await connection->socket().async_connect(gateway, UseResult);
        bool isOpen = !error;
        if (isOpen && script.readsAnswers) {
            asio::co_spawn(connection->socket().get_executor(), readAll(), asio::detached);
        }
        if (isOpen) {
            isOpen = co_await send(script.head);
        }
        for (std::size_t done = 0; isOpen && done < script.bytes; done += block.size()) {
            if (script.pause.count() > 0) {
                asio::steady_timer timer(connection->socket().get_executor(), script.pause);
                co_await timer.async_wait(UseResult);
            }
            const auto count = std::min(block.size(), script.bytes - done);
            isOpen = co_await send(std::string_view(block).substr(0, count));
        }
        if (isOpen) {
            co_await waitUntilReceived();
        }
        sent.count_down();
    }

    ConnectionPtr connection;
    bool hasEnded = false; // the gateway has closed the connection
};

CallerCrowd::CallerCrowd(const asio::ip::tcp::endpoint &gateway, unsigned count, CrowdScript script)
    : script_(std::move(script))
{
    std::latch sent(count);
    const auto block = script_.pause.count() > 0 ? script_.piece : repeated(script_.piece);
    for (unsigned number = 0; number < count; ++number) {
        members_.push_back(std::make_shared<Member>(io_));
        asio::co_spawn(io_, members_.back()->run(gateway, script_, block, sent), asio::detached);
    }
    thread_ = std::thread([this] {
        const auto work = asio::make_work_guard(io_);
        io_.run();
    });
    sent.wait();
}

CallerCrowd::~CallerCrowd()
{
    io_.stop();
    thread_.join();
}

}
