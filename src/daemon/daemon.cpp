#include "daemon/daemon.h"

#include "daemon/initial_assignment.h"
#include "engine/http_engine_client.h"
#include "observe/log.h"
#include "platform/http_object_store.h"
#include "routing/dispatcher.h"
#include "serving/http_front_end.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <mutex>
#include <random>

namespace carawaypoint
{

namespace asio = boost::asio;

namespace
{

constexpr Duration ProbePeriod = milliseconds(250);
constexpr Duration VmListPeriod = seconds(2);
constexpr Duration DispatchTick = milliseconds(10);
constexpr std::size_t VmsPerReplica = 4;

}

class Daemon::Impl
{
public:
    explicit Impl(ProcessSettings settings)
        : settings_(std::move(settings))
        , store_(HttpObjectStore::Builder(control_.get_executor(), settings_.platform).build())
        , engines_(HttpEngineClient::Builder(control_.get_executor(), clock_).build())
        , assignment_(*store_, *engines_, settings_.zone, ModelId("assistant"), VmsPerReplica)
        , incarnation_(std::random_device{}())
        , dispatcher_(makeDispatcher(clock_, incarnation_))
        , probeTimer_(control_)
        , listTimer_(control_)
        , dispatchTimer_(control_)
        , signals_(control_, SIGINT, SIGTERM)
    {
    }

    int run()
    {
        FrontEndDependencies dependencies;
        dependencies.dispatcher = dispatcher_.get();
        dependencies.snapshot = [this] {
            const std::scoped_lock lock(snapshotMutex_);
            return snapshot_;
        };
        dependencies.clock = &clock_;
        dependencies.processIncarnation = incarnation_;
        FrontEndSettings frontEndSettings;
        frontEndSettings.threads = settings_.trafficThreads;
        frontEnd_ = HttpFrontEndBuilder().dependencies(dependencies).settings(frontEndSettings).listenOn(settings_.http).build();
        if (const auto error = frontEnd_->start(); error) {
            logLine(LogLevel::Error, "cannot listen", {{"address", settings_.http.toString()}, {"error", error.message()}});
            return 1;
        }
        logLine(LogLevel::Info, "daemon started", {{"http", settings_.http.toString()}, {"zone", settings_.zone.str()}});
        signals_.async_wait(
            [this](const boost::system::error_code &, int) { frontEnd_->drain([this] { asio::post(control_, [this] { control_.stop(); }); }); });
        fetchVmList();
        probe();
        tickDispatcher();
        control_.run();
        frontEnd_->stop();
        logLine(LogLevel::Info, "daemon stopped");
        return 0;
    }

private:
    void repeat(asio::steady_timer &timer, Duration period, void (Impl::*step)())
    {
        timer.expires_after(period);
        timer.async_wait([this, step](const boost::system::error_code &error) {
            if (!error) {
                (this->*step)();
            }
        });
    }

    void fetchVmList()
    {
        store_->listVms([this](std::error_code error, std::vector<VmRecord> vms) {
            if (!error) {
                vms_ = std::move(vms);
                assignment_.assign(vms_);
            }
            repeat(listTimer_, VmListPeriod, &Impl::fetchVmList);
        });
    }

    void probe()
    {
        for (const auto &vm : vms_) {
            if (vm.domain.isEmpty()) {
                continue;
            }
            engines_->fetchState(vm.address, [this, vm](std::error_code error, EngineState state) {
                if (!error) {
                    observed_[vm.id] = {vm, std::move(state), clock_.now()};
                }
            });
        }
        publishSnapshot();
        repeat(probeTimer_, ProbePeriod, &Impl::probe);
    }

    void tickDispatcher()
    {
        dispatcher_->tick();
        repeat(dispatchTimer_, DispatchTick, &Impl::tickDispatcher);
    }

    void publishSnapshot()
    {
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->generation = 1;
        snapshot->builtAt = clock_.now();
        snapshot->zone = settings_.zone;
        std::map<ReplicaId, ReplicaView> replicas;
        for (const auto &[id, observed] : observed_) {
            addMember(replicas[observed.state.replica], observed);
        }
        for (auto &[id, replica] : replicas) {
            if (!id.isEmpty()) {
                snapshot->replicas.push_back(std::move(replica));
            }
        }
        for (int number = 1; number <= 10; ++number) {
            snapshot->customers.push_back({CustomerId("customer-" + std::to_string(number))});
        }
        ModelView model;
        model.id = ModelId("assistant");
        model.version = "1";
        model.slotsPerReplica = 8;
        model.maxPromptTokens = 32'000;
        model.maxOutputTokens = 32'000;
        model.firstTokenDeadline = seconds(10);
        snapshot->models.push_back(model);
        {
            const std::scoped_lock lock(snapshotMutex_);
            snapshot_ = snapshot;
        }
        dispatcher_->setSnapshot(snapshot);
    }

    struct Observed {
        VmRecord vm;
        EngineState state;
        TimePoint at;
    };

    static void addMember(ReplicaView &replica, const Observed &observed)
    {
        const auto &state = observed.state;
        replica.id = state.replica;
        replica.incarnation = state.fence.incarnation;
        replica.model = state.model;
        replica.version = state.version;
        replica.zone = observed.vm.zone;
        replica.domain = observed.vm.domain;
        replica.expectedMembers = VmsPerReplica;
        replica.members.push_back({observed.vm.id, observed.vm.address, observed.at, state.isLoaded, state.isDraining || observed.vm.isLeaving});
        if (state.role == EngineRole::Leader) {
            replica.leader = observed.vm.address;
            replica.slots = state.slots;
            replica.load = state.load;
        }
    }

    ProcessSettings settings_;
    SteadyClock clock_;
    asio::io_context control_{1};
    std::unique_ptr<HttpObjectStore> store_;
    std::unique_ptr<HttpEngineClient> engines_;
    InitialAssignment assignment_;
    std::uint64_t incarnation_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<HttpFrontEnd> frontEnd_;
    asio::steady_timer probeTimer_;
    asio::steady_timer listTimer_;
    asio::steady_timer dispatchTimer_;
    asio::signal_set signals_;
    std::vector<VmRecord> vms_;
    std::map<VmId, Observed> observed_;
    std::mutex snapshotMutex_;
    RoutingSnapshotPtr snapshot_;
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
