#include "gateway/gateway_daemon.h"

#include "core/signal_hold.h"
#include "core/time_units.h"
#include "gateway/connect_proxy.h"
#include "gateway/fleet_control.h"
#include "gateway/gateway_server.h"
#include "gateway/load_exchange.h"
#include "gateway/run_loop.h"
#include "gateway/status_server.h"
#include "observe/log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <thread>

namespace carawaypoint
{

namespace
{

constexpr Duration LoadTrackerTick = milliseconds(100);
constexpr Duration DrainCheckInterval = milliseconds(100);
/// Time after the listener is closed in which connections that it had accepted become sessions.
constexpr Duration AcceptedSessionTime = 3 * LoadTrackerTick;
constexpr std::size_t IdleCheckTicks = 10; // load tracker ticks between checks for expired idle connections

/// Later processes have larger incarnations, unless the wall clock is set back by more than a restart takes.
std::uint64_t makeProcessIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

}

class GatewayDaemon::Impl
{
public:
    Impl(GatewaySettings settings, std::string settingsPath, const FleetPlatformFactory &makePlatform)
        : settings_(std::move(settings))
        , settingsPath_(std::move(settingsPath))
        , process_(makeProcessIncarnation())
        , signals_(control_, SIGINT, SIGTERM, SIGHUP)
        , platform_(makePlatform(control_.get_executor(), settings_.store))
        , context_(settings_, platform_->wireNames())
        , server_(context_)
        , proxy_(context_)
        , exchange_(context_, process_)
        , status_(control_)
        , fleet_(control_, settings_, clock_, process_, *platform_, hooks())
        , loadTrackerTimer_(context_.io)
        , drainTimer_(control_)
        , drain_(settings_.drainTime)
    {
        context_.links.setChangeHandler([this](bool isCutOff) { onServerLinksChanged(isCutOff); });
    }

    int run()
    {
        awaitSignal();
        releaseSignals();
        if (!openListeners()) {
            stopLog();
            return 1;
        }
        logLine(LogLevel::Info, "gateway started", {{"zone", settings_.zone.str()}, {"process", process_}, {"callers", settings_.callers.toString()}});
        fleet_.start();
        auto work = boost::asio::make_work_guard(context_.io);
        std::thread traffic([this] { runTraffic(); });
        runLoop(control_, "control");
        traffic.join();
        logLine(LogLevel::Info, "gateway stopped");
        stopLog();
        return 0;
    }

private:
    FleetControl::Hooks hooks()
    {
        FleetControl::Hooks hooks;
        hooks.onSnapshot = [this](FleetSnapshotPtr snapshot) {
            asio::post(context_.io, [this, snapshot = std::move(snapshot)] { context_.snapshot = snapshot; });
            status_.setReady(!drain_.isStarted());
        };
        hooks.onPeers = [this](std::vector<PeerGateway> peers) {
            asio::post(context_.io, [this, peers = std::move(peers)] {
                context_.retryBudget.setDaemonCount(static_cast<unsigned>(peers.size()) + 1);
                exchange_.setPeers(peers);
                context_.links.setPeers(peers, settings_.zone);
            });
        };
        hooks.requestLoad = [this] {
            asio::post(context_.io, [this] { asio::post(control_, [this, load = exchange_.fleetLoad()] { fleet_.setLoad(load); }); });
        };
        return hooks;
    }

    bool openListeners()
    {
        return checkListening("callers", settings_.callers, server_.listen(settings_.callers))
            && checkListening("peer", settings_.peer, exchange_.open(settings_.peer)) && checkListening("proxy", settings_.peer, proxy_.listen(settings_.peer))
            && checkListening("changes", settings_.changes, fleet_.open(settings_.changes))
            && checkListening("readiness", settings_.readiness, status_.listenReadiness(settings_.readiness, context_.names.readinessPath))
            && checkListening("metrics", settings_.metrics, status_.listenMetrics(settings_.metrics));
    }

    static bool checkListening(std::string_view what, const Endpoint &endpoint, std::error_code error)
    {
        if (error) {
            logLine(LogLevel::Error, "cannot listen", {{"what", what}, {"address", endpoint.toString()}, {"error", error.message()}});
        }
        return !error;
    }

    void runTraffic()
    {
        tickLoadTracker(0);
        runLoop(context_.io, "traffic");
    }

    void tickLoadTracker(std::size_t count)
    {
        const auto now = context_.now();
        context_.links.tick(context_.io, context_.snapshot);
        // Whether servers or the links of this gateway are silent is not known during a check.
        if (!context_.links.isChecking() || context_.links.isCutOff()) {
            context_.loadTracker.tick(now);
        }
        for (const auto &server : context_.loadTracker.takeStalled()) {
            logDecision("routing", server.str(), "stalled", "no stream of the server made progress");
            asio::post(control_, [this, server] { fleet_.onServerStalled(server); });
        }
        if (count % IdleCheckTicks == 0) {
            context_.pool.closeExpired();
            context_.quarantine.expire(now);
            context_.serverStatements.expire(now);
        }
        if (exchange_.hasSeenTraffic() && !std::exchange(hasReportedTraffic_, true)) {
            asio::post(control_, [this] { fleet_.recordTraffic(); });
        }
        requestsInProgress_.store(context_.requestsInProgress, std::memory_order_relaxed);
        loadTrackerTimer_.expires_after(LoadTrackerTick);
        loadTrackerTimer_.async_wait([this, count](const boost::system::error_code &error) {
            if (!error) {
                tickLoadTracker(count + 1);
            }
        });
    }

    /// Runs on the traffic thread.
    void onServerLinksChanged(bool isCutOff)
    {
        context_.pool.closeAllIdle();
        if (isCutOff) {
            context_.loadTracker.recordLinksLost();
        }
        asio::post(control_, [this, isCutOff] { fleet_.setServersReachable(!isCutOff); });
    }

    void awaitSignal()
    {
        signals_.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else {
                stop();
            }
            awaitSignal();
        });
    }

    /// Applies the log level and the quarantine time; the other settings are validated and take effect at the next start.
    void reload()
    {
        const auto result = loadGatewaySettings(settingsPath_);
        for (const auto &error : result.errors) {
            logLine(LogLevel::Error, "settings file is invalid; settings not reloaded", {{"fault", error.toString()}});
        }
        if (result.errors.empty()) {
            setLogLevel(parseLogLevel(result.settings.logLevel));
            asio::post(context_.io, [this, time = result.settings.quarantineTime] { context_.quarantine.setTime(time, context_.now()); });
            logLine(LogLevel::Info, "settings reloaded",
                    {{"log_level", result.settings.logLevel}, {"quarantine_time_ms", inMilliseconds(result.settings.quarantineTime)}});
        }
    }

    void stop()
    {
        if (drain_.isStarted()) {
            return;
        }
        drain_.start(clock_.now());
        status_.setReady(false);
        logLine(LogLevel::Info, "graceful stop started", {{"requests_in_progress", requestsInProgress_.load()}});
        asio::post(context_.io, [this] {
            server_.drain();
            proxy_.drain();
        });
        fleet_.stop();
        awaitDrain();
    }

    void awaitDrain()
    {
        const auto now = clock_.now();
        if (!drain_.mayAccept(now) && !std::exchange(hasStoppedAccepting_, true)) {
            asio::post(context_.io, [this] { server_.stopAccepting(); });
        }
        if (drain_.isOver(now)) {
            if (requestsInProgress_.load() > 0) {
                logLine(LogLevel::Warning, "drain time is over; requests are cut", {{"requests_in_progress", requestsInProgress_.load()}});
            }
            asio::post(context_.io, [this] { server_.cutRequests(); });
            control_.stop();
            return;
        }
        if (!drain_.mayAccept(now - AcceptedSessionTime)) {
            stopIfIdle();
        }
        drainTimer_.expires_after(DrainCheckInterval);
        drainTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                awaitDrain();
            }
        });
    }

    /// Decides on the traffic thread, which alone knows whether a request has just arrived.
    void stopIfIdle()
    {
        asio::post(context_.io, [this] {
            if (!proxy_.isBusy() && server_.stopIfIdle()) {
                asio::post(control_, [this] { control_.stop(); });
            }
        });
    }

    GatewaySettings settings_;
    std::string settingsPath_;
    SteadyClock clock_;
    std::uint64_t process_;
    asio::io_context control_{1};
    asio::signal_set signals_;
    std::unique_ptr<FleetPlatform> platform_;
    GatewayContext context_;
    GatewayServer server_;
    ConnectProxy proxy_;
    LoadExchange exchange_;
    StatusServer status_;
    FleetControl fleet_;
    asio::steady_timer loadTrackerTimer_;
    asio::steady_timer drainTimer_;
    std::atomic<unsigned> requestsInProgress_ = 0;
    DrainSchedule drain_;
    bool hasStoppedAccepting_ = false;
    bool hasReportedTraffic_ = false;
};

GatewayDaemon::GatewayDaemon(GatewaySettings settings, std::string settingsPath, const FleetPlatformFactory &makePlatform)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(settingsPath), makePlatform))
{
}

GatewayDaemon::~GatewayDaemon() = default;

int GatewayDaemon::run()
{
    return impl_->run();
}

}
