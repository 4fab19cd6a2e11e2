#include "daemon/daemon.h"

#include "daemon/admin_api.h"
#include "daemon/control_plane.h"
#include "daemon/serving_metrics_adapter.h"
#include "idempotency/claim_store.h"
#include "observe/log.h"
#include "serving/http_front_end.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace carawaypoint
{

namespace asio = boost::asio;

namespace
{

constexpr Duration DispatchTickInterval = milliseconds(10);

/// A later start gets a larger incarnation, unless the wall clock is set back by more than the duration of a restart.
std::uint64_t makeProcessIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

}

class Daemon::Impl
{
public:
    explicit Impl(ProcessSettings settings)
        : settings_(std::move(settings))
        , process_(makeProcessIncarnation())
        , dispatcher_(makeDispatcher(clock_, process_))
        , metrics_(metricsRegistry())
        , admin_(control_.get_executor())
        , controlPlane_(control_, settings_, clock_, *dispatcher_, process_, controlPlaneHooks())
        , dispatchTimer_(control_)
        , drainTimer_(control_)
        , signals_(control_, SIGINT, SIGTERM)
    {
    }

    int run()
    {
        addAdminHandlers(admin_, controlPlane_, clock_, [this] { startDrain(); });
        if (!checkListening("admin", settings_.admin, admin_.start(settings_.admin)) || !checkListening("peer", settings_.peer, controlPlane_.start())) {
            return 1;
        }
        logLine(LogLevel::Info, "daemon started", {{"zone", settings_.zone.str()}, {"process", process_}, {"admin", settings_.admin.toString()}});
        signals_.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                startDrain();
            }
        });
        tickDispatcher();
        control_.run();
        if (frontEnd_) {
            frontEnd_->stop();
        }
        admin_.stop();
        logLine(LogLevel::Info, "daemon stopped");
        stopLog();
        return exitCode_;
    }

private:
    /// Logs a failed attempt to listen; false when there is an @p error.
    bool checkListening(std::string_view what, const Endpoint &endpoint, std::error_code error)
    {
        if (error) {
            logLine(LogLevel::Error, "cannot listen", {{"what", what}, {"address", endpoint.toString()}, {"error", error.message()}});
        }
        return !error;
    }

    ControlPlane::Hooks controlPlaneHooks()
    {
        ControlPlane::Hooks hooks;
        hooks.onFirstConfig = [this](const EffectiveConfig &config) {
            startFrontEnd(config);
        };
        hooks.postToClaimStore = [this](std::function<void(ClaimStore &)> action) {
            if (frontEnd_) {
                frontEnd_->postToClaimStore(std::move(action));
            }
        };
        return hooks;
    }

    FrontEndDependencies frontEndDependencies()
    {
        FrontEndDependencies dependencies;
        dependencies.dispatcher = dispatcher_.get();
        dependencies.snapshot = [this] {
            return controlPlane_.snapshot();
        };
        dependencies.clock = &clock_;
        dependencies.processIncarnation = process_;
        dependencies.isReady = [this] {
            return controlPlane_.isReady();
        };
        dependencies.onServerSignal = [this](const ServerSignal &signal) {
            controlPlane_.handleServerSignal(signal);
        };
        dependencies.metrics = &metrics_;
        dependencies.claimObjects = &controlPlane_.store();
        dependencies.peerClaims = &controlPlane_.peerClaims();
        dependencies.postToClaimExecutor = [this](std::function<void()> action) {
            asio::post(control_, std::move(action));
        };
        dependencies.self = settings_.id;
        return dependencies;
    }

    /// The limits of the first configuration apply until the process ends.
    void startFrontEnd(const EffectiveConfig &config)
    {
        FrontEndSettings settings;
        settings.threads = settings_.trafficThreads;
        settings.maxBodyBytes = config.limits.maxBodyBytes;
        settings.maxConnectionsPerThread = std::max(1U, config.limits.maxConnections / std::max(1U, settings_.trafficThreads));
        settings.interTokenTimeout = config.limits.tokenTimeout;
        drainTimeout_ = config.limits.drainTime;
        ClaimStoreSettings claims;
        claims.keys.retention = config.limits.claimRetention;
        frontEnd_ = HttpFrontEndBuilder().dependencies(frontEndDependencies()).settings(settings).claimSettings(claims).listenOn(settings_.http).build();
        if (!checkListening("http", settings_.http, frontEnd_->start())) {
            exitCode_ = 1;
            control_.stop();
        }
    }

    void tickDispatcher()
    {
        dispatcher_->tick();
        dispatchTimer_.expires_after(DispatchTickInterval);
        dispatchTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tickDispatcher();
            }
        });
    }

    void startDrain()
    {
        if (std::exchange(isDraining_, true)) {
            return;
        }
        logLine(LogLevel::Info, "graceful shutdown started", {{"requests_in_progress", frontEnd_ ? frontEnd_->requestsInProgress() : 0}});
        if (!frontEnd_) {
            stopControlPlane();
            return;
        }
        frontEnd_->drain([this] { asio::post(control_, [this] { stopControlPlane(); }); });
        drainTimer_.expires_after(drainTimeout_);
        drainTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                logLine(LogLevel::Warning, "drain timeout expired; closing connections with requests in progress",
                        {{"requests_in_progress", frontEnd_->requestsInProgress()}});
                stopControlPlane();
            }
        });
    }

    void stopControlPlane()
    {
        if (!std::exchange(isFinishing_, true)) {
            controlPlane_.stop([this] { control_.stop(); });
        }
    }

    ProcessSettings settings_;
    SteadyClock clock_;
    asio::io_context control_{1};
    std::uint64_t process_;
    std::unique_ptr<Dispatcher> dispatcher_;
    ServingMetricsAdapter metrics_;
    AdminServer admin_;
    std::unique_ptr<HttpFrontEnd> frontEnd_;
    ControlPlane controlPlane_;
    asio::steady_timer dispatchTimer_;
    asio::steady_timer drainTimer_;
    asio::signal_set signals_;
    Duration drainTimeout_{};
    bool isDraining_ = false;
    bool isFinishing_ = false;
    int exitCode_ = 0;
};

Daemon::Daemon(ProcessSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return impl_->run();
}

}
