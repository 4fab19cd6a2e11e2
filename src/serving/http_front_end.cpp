#include "serving/http_front_end.h"

#include "observe/log.h"
#include "routing/dispatcher.h"
#include "serving/caller_session.h"
#include "serving/service_call.h"
#include "serving/traffic_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include <mutex>
#include <sys/socket.h>
#include <thread>

namespace carawaypoint
{

namespace
{

using Acceptor = asio::ip::tcp::acceptor;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr auto AcceptRetryDelay = milliseconds(20); // after a failed accept, e.g. for lack of file descriptors, or at the connection limit
constexpr auto DrainCheckInterval = milliseconds(20);
constexpr auto ClaimTickInterval = milliseconds(200);
constexpr auto SweepInterval = seconds(1);

boost::system::error_code openAcceptor(Acceptor &acceptor, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return error;
    }
    const asio::ip::tcp::endpoint local(address, endpoint.port);
    acceptor.open(local.protocol(), error);
    if (!error) {
        acceptor.set_option(Acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.set_option(ReusePort(true), error);
    }
    if (!error) {
        acceptor.bind(local, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

asio::awaitable<void> pauseFor(Duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(UseResult);
}

asio::awaitable<void> acceptCallers(TrafficLoop &loop, ServiceCallContext &serviceContext, Acceptor acceptor)
{
    while (true) {
        // Connections over the limit wait in the listen queue or are accepted by another thread.
        if (loop.callerConnections >= loop.context.settings.maxConnectionsPerThread) {
            co_await pauseFor(AcceptRetryDelay);
            continue;
        }
        auto [error, socket] = co_await acceptor.async_accept(UseResult);
        if (error) {
            co_await pauseFor(AcceptRetryDelay);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        std::make_shared<CallerSession>(loop, serviceContext, std::make_shared<Connection>(std::move(socket)))->start();
    }
}

asio::awaitable<void> sweepPool(TrafficLoop &loop)
{
    while (true) {
        co_await pauseFor(SweepInterval);
        loop.pool.sweep();
    }
}

}

class HttpFrontEnd::Impl
{
public:
    Impl(FrontEndDependencies dependencies, const FrontEndSettings &settings, const ClaimStoreSettings &claimSettings, std::vector<Endpoint> endpoints)
        : serviceContext_(dependencies, claimSettings)
        , endpoints_(std::move(endpoints))
    {
        context_.dependencies = std::move(dependencies);
        context_.settings = settings;
        context_.settings.threads = std::max(1U, settings.threads);
    }

    ~Impl()
    {
        stop();
    }

    std::error_code start()
    {
        for (unsigned number = 0; number < context_.settings.threads; ++number) {
            const auto loop = std::make_shared<TrafficLoop>(context_);
            loops_.push_back(loop);
            for (auto &endpoint : endpoints_) {
                Acceptor acceptor(loop->io);
                if (const auto error = openAcceptor(acceptor, endpoint)) {
                    loops_.clear();
                    return error;
                }
                endpoint.port = acceptor.local_endpoint().port();
                asio::co_spawn(loop->io, acceptCallers(*loop, serviceContext_, std::move(acceptor)), asio::detached);
            }
            asio::co_spawn(loop->io, sweepPool(*loop), asio::detached);
        }
        asio::co_spawn(loops_.front()->io, tickClaims(), asio::detached);
        for (const auto &loop : loops_) {
            threads_.emplace_back([io = &loop->io] { io->run(); });
        }
        return {};
    }

    void drain(std::function<void()> onDrained)
    {
        if (context_.isDraining.exchange(true) || loops_.empty()) {
            return;
        }
        logLine(LogLevel::Info, "front end is draining", {{"in_progress", context_.requestsInProgress.load()}});
        asio::co_spawn(loops_.front()->io, waitForDrain(std::move(onDrained)), asio::detached);
    }

    void stop()
    {
        for (const auto &loop : loops_) {
            loop->io.stop();
        }
        threads_.clear(); // joins
        // Another thread may hold a reference in Mailbox::deliver(). The wait ensures that the loop is destroyed on this thread.
        for (const auto &loop : loops_) {
            while (loop.use_count() > 1) {
                std::this_thread::yield();
            }
        }
        loops_.clear();
    }

    FrontEndContext context_;
    ServiceCallContext serviceContext_;
    std::vector<Endpoint> endpoints_;

private:
    asio::awaitable<void> tickClaims()
    {
        while (serviceContext_.claims.isEnabled()) {
            co_await pauseFor(ClaimTickInterval);
            serviceContext_.claims.post([](ClaimStore &claims) { claims.tick(); });
        }
    }

    asio::awaitable<void> waitForDrain(std::function<void()> onDrained)
    {
        co_await pauseFor(context_.settings.drainRefusalDelay);
        context_.refusesRequests = true;
        while (context_.requestsInProgress > 0) {
            co_await pauseFor(DrainCheckInterval);
        }
        // After the process has ended, a retried call would get no answer for an outcome that was not recorded.
        std::size_t openClaims = serviceContext_.claims.isEnabled() ? co_await serviceContext_.claims.countOpenClaims(*loops_.front()) : 0;
        const auto recordDeadline = context_.dependencies.clock->now() + context_.settings.claimRecordTimeout;
        while (openClaims > 0 && context_.dependencies.clock->now() < recordDeadline) {
            co_await pauseFor(DrainCheckInterval);
            openClaims = co_await serviceContext_.claims.countOpenClaims(*loops_.front());
        }
        logLine(LogLevel::Info, "front end drained", {{"unrecorded_claims", static_cast<std::uint64_t>(openClaims)}});
        if (onDrained) {
            onDrained();
        }
    }

    std::vector<std::shared_ptr<TrafficLoop>> loops_;
    std::vector<std::jthread> threads_;
};

HttpFrontEnd::HttpFrontEnd(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

HttpFrontEnd::~HttpFrontEnd() = default;

std::error_code HttpFrontEnd::start()
{
    return impl_->start();
}

const std::vector<Endpoint> &HttpFrontEnd::endpoints() const
{
    return impl_->endpoints_;
}

void HttpFrontEnd::drain(std::function<void()> onDrained)
{
    impl_->drain(std::move(onDrained));
}

bool HttpFrontEnd::isDraining() const
{
    return impl_->context_.isDraining;
}

std::uint64_t HttpFrontEnd::requestsInProgress() const
{
    return impl_->context_.requestsInProgress;
}

void HttpFrontEnd::postToClaimStore(std::function<void(ClaimStore &)> action)
{
    impl_->serviceContext_.claims.post(std::move(action));
}

void HttpFrontEnd::stop()
{
    impl_->stop();
}

HttpFrontEndBuilder &HttpFrontEndBuilder::dependencies(FrontEndDependencies dependencies)
{
    dependencies_ = std::move(dependencies);
    return *this;
}

HttpFrontEndBuilder &HttpFrontEndBuilder::settings(const FrontEndSettings &settings)
{
    settings_ = settings;
    return *this;
}

HttpFrontEndBuilder &HttpFrontEndBuilder::claimSettings(const ClaimStoreSettings &settings)
{
    claimSettings_ = std::make_shared<const ClaimStoreSettings>(settings);
    return *this;
}

HttpFrontEndBuilder &HttpFrontEndBuilder::listenOn(Endpoint endpoint)
{
    endpoints_.push_back(std::move(endpoint));
    return *this;
}

std::unique_ptr<HttpFrontEnd> HttpFrontEndBuilder::build()
{
    if (dependencies_.dispatcher == nullptr || dependencies_.clock == nullptr || !dependencies_.snapshot || endpoints_.empty()) {
        return nullptr;
    }
    const auto claimSettings = claimSettings_ ? *claimSettings_ : ClaimStoreSettings();
    return std::unique_ptr<HttpFrontEnd>(new HttpFrontEnd(std::make_unique<HttpFrontEnd::Impl>(dependencies_, settings_, claimSettings, endpoints_)));
}

}
