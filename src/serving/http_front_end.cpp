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

constexpr auto AcceptPause = milliseconds(20); // after a failed accept, e.g. without free descriptors
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

asio::awaitable<void> acceptCallers(TrafficLoop &loop, ServiceShared &services, Acceptor acceptor)
{
    while (true) {
        // Callers beyond the limit wait in the listen queue or reach another thread.
        if (loop.callerConnections >= loop.context.settings.maxConnectionsPerThread) {
            co_await pauseFor(AcceptPause);
            continue;
        }
        auto [error, socket] = co_await acceptor.async_accept(UseResult);
        if (error) {
            co_await pauseFor(AcceptPause);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        std::make_shared<CallerSession>(loop, services, std::make_shared<Connection>(std::move(socket)))->start();
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
        : services_(dependencies, claimSettings)
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
                asio::co_spawn(loop->io, acceptCallers(*loop, services_, std::move(acceptor)), asio::detached);
            }
            asio::co_spawn(loop->io, sweepPool(*loop), asio::detached);
        }
        asio::co_spawn(loops_.front()->io, tickClaims(), asio::detached);
        for (const auto &loop : loops_) {
            threads_.emplace_back([io = &loop->io] { io->run(); });
        }
        return {};
    }

    void drain(std::function<void()> done)
    {
        if (context_.isDraining.exchange(true) || loops_.empty()) {
            return;
        }
        logLine(LogLevel::Info, "front end drains", {{"in_progress", context_.inProgress.load()}});
        asio::co_spawn(loops_.front()->io, waitForDrain(std::move(done)), asio::detached);
    }

    void stop()
    {
        for (const auto &loop : loops_) {
            loop->io.stop();
        }
        threads_.clear(); // joins
        // A thread of the daemon may be delivering a value to a loop at this moment; the loop must be destroyed here.
        for (const auto &loop : loops_) {
            while (loop.use_count() > 1) {
                std::this_thread::yield();
            }
        }
        loops_.clear();
    }

    FrontEndContext context_;
    ServiceShared services_;
    std::vector<Endpoint> endpoints_;

private:
    asio::awaitable<void> tickClaims()
    {
        while (services_.claims.isUsed()) {
            co_await pauseFor(ClaimTickInterval);
            services_.claims.post([](ClaimStore &claims) { claims.tick(); });
        }
    }

    asio::awaitable<void> waitForDrain(std::function<void()> done)
    {
        co_await pauseFor(context_.settings.drainNotice);
        context_.refusesRequests = true;
        while (context_.inProgress > 0) {
            co_await pauseFor(DrainCheckInterval);
        }
        // Outcomes that are not recorded yet would be unknown to re-sent calls once this process ended.
        std::size_t openClaims = services_.claims.isUsed() ? co_await services_.claims.countOpen(*loops_.front()) : 0;
        const auto giveUpAt = context_.dependencies.clock->now() + context_.settings.drainRecordTime;
        while (openClaims > 0 && context_.dependencies.clock->now() < giveUpAt) {
            co_await pauseFor(DrainCheckInterval);
            openClaims = co_await services_.claims.countOpen(*loops_.front());
        }
        logLine(LogLevel::Info, "front end drained", {{"unrecorded_claims", static_cast<std::uint64_t>(openClaims)}});
        if (done) {
            done();
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

void HttpFrontEnd::drain(std::function<void()> done)
{
    impl_->drain(std::move(done));
}

bool HttpFrontEnd::isDraining() const
{
    return impl_->context_.isDraining;
}

std::uint64_t HttpFrontEnd::requestsInProgress() const
{
    return impl_->context_.inProgress;
}

void HttpFrontEnd::withClaims(std::function<void(ClaimStore &)> action)
{
    impl_->services_.claims.post(std::move(action));
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
