#include "protocol/peer_service.h"

#include "core/result_code.h"
#include "protocol/message_codec.h"
#include "protocol/rpc_client.h"
#include "protocol/rpc_server.h"
#include "protocol/wire_conversion.h"

#include <boost/asio/post.hpp>
#include <kj/async-io.h>

#include <future>
#include <mutex>
#include <optional>
#include <span>
#include <thread>

namespace carawaypoint
{

namespace
{

using Task = std::function<void()>;

}

/// RPC thread and its task queue. The control thread appends tasks and wakes the RPC thread with a cross-thread fulfiller, since
/// kj::Executor offers only calls that block or that need a KJ event loop on the calling thread.
class PeerService::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::any_io_executor control, PeerServiceOptions options, PeerRequestHandler &handler, std::uint64_t process)
        : control_(std::move(control))
        , context_{options, process, handler, [this](Task task) { postToControl(std::move(task)); }, counters_}
    {
    }

    std::error_code start(const Endpoint &address)
    {
        std::promise<std::optional<std::uint16_t>> started;
        auto result = started.get_future();
        thread_ = std::thread([this, address, &started] { run(address, started); });
        const auto port = result.get();
        if (!port) {
            thread_.join();
            return ResultCode::PeerUnavailable;
        }
        localEndpoint_ = {address.address, *port};
        return {};
    }

    void stop()
    {
        *isRunning_ = false;
        if (thread_.joinable()) {
            enqueue([this] { isStopping_ = true; });
            thread_.join();
        }
    }

    /// Queues @p task for the RPC thread.
    void enqueue(Task task)
    {
        const std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
        if (wake_) {
            (*wake_)->fulfill();
            wake_.reset();
        }
    }

    /// Posts @p task to the control thread, where it runs unless the service was stopped before.
    void postToControl(Task task)
    {
        boost::asio::post(control_, [isRunning = isRunning_, task = std::move(task)] {
            if (*isRunning) {
                task();
            }
        });
    }

    /// Calls @p target with @p send and passes the reply to @p handler on the control thread.
    template<typename Value>
    void call(const PeerTarget &target, Duration timeout, std::function<void(PeerReply, Value)> handler, auto send)
    {
        enqueue([this, target, timeout, handler, send] {
            const auto finish = [this, target, handler](std::error_code error, std::uint64_t process, Value value) {
                const PeerReply reply{error, process, process != 0 && target.process != 0 && process != target.process};
                postToControl([handler, reply, value = std::move(value)] { handler(reply, value); });
            };
            client_->call(
                target.address, timeout,
                [this, send, finish](wire::Peer::Client &peer) {
                    return send(peer).then([this, finish](auto &&response) {
                        std::error_code error;
                        Value value{};
                        const auto answer = response.getAnswer();
                        if (answer.getCode() != static_cast<std::uint16_t>(ResultCode::Ok)) {
                            error = static_cast<ResultCode>(answer.getCode());
                        } else {
                            error = readValue(response, value);
                        }
                        finish(error, answer.getProcess(), std::move(value));
                    });
                },
                [finish](bool isMalformed) { finish(isMalformed ? ResultCode::PeerMalformed : ResultCode::PeerUnavailable, 0, Value{}); });
        });
    }

    Endpoint localEndpoint() const
    {
        return localEndpoint_;
    }

    PeerServiceCounters counters() const
    {
        return {counters_.callsServed, counters_.malformedMessages, counters_.refusedConnections,
                counters_.failedCalls, counters_.bytesReceived,     counters_.bytesSent};
    }

    const PeerServiceOptions &options() const
    {
        return context_.options;
    }

private:
    void run(const Endpoint &address, std::promise<std::optional<std::uint16_t>> &started)
    {
        auto io = kj::setupAsyncIo();
        auto &timer = io.provider->getTimer();
        rpc::RpcServer server(context_, timer);
        rpc::RpcClient client(context_, io.provider->getNetwork(), timer);
        try {
            auto bound = io.provider->getNetwork().parseAddress(address.toString()).wait(io.waitScope);
            auto listener = bound->listen();
            const auto port = static_cast<std::uint16_t>(listener->getPort());
            server.listen(kj::mv(listener));
            client_ = &client;
            started.set_value(port);
        } catch (const kj::Exception &) {
            started.set_value(std::nullopt);
            return;
        }
        while (!isStopping_) {
            waitForTasks().wait(io.waitScope);
            runTasks();
        }
        client_ = nullptr;
    }

    kj::Promise<void> waitForTasks()
    {
        const std::lock_guard lock(mutex_);
        if (!tasks_.empty()) {
            return kj::READY_NOW;
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        wake_ = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    void runTasks()
    {
        std::vector<Task> tasks;
        {
            const std::lock_guard lock(mutex_);
            tasks.swap(tasks_);
        }
        for (const auto &task : tasks) {
            if (!isStopping_) {
                task();
            }
        }
    }

    std::error_code readChecked(auto &&read)
    {
        try {
            read();
        } catch (const wire::MalformedError &) {
            ++counters_.malformedMessages;
            return ResultCode::PeerMalformed;
        } catch (const kj::Exception &) {
            ++counters_.malformedMessages;
            return ResultCode::PeerMalformed;
        }
        return {};
    }

    std::error_code readValue(auto &response, PeerMessage &value)
    {
        return readChecked([&] {
            const auto bytes = response.getMessage();
            if (decodeMessage(std::as_bytes(std::span(bytes.begin(), bytes.size())), value)) {
                throw wire::MalformedError("exchange");
            }
        });
    }

    std::error_code readValue(auto &response, ConfigurationText &value)
    {
        return readChecked([&] {
            const auto text = response.getText();
            value = {response.getGeneration(), response.getDigest(), std::string(reinterpret_cast<const char *>(text.begin()), text.size())};
        });
    }

    std::error_code readValue(auto &response, RelinquishOutcome &value)
    {
        return readChecked([&] {
            if (response.getOutcome() > static_cast<std::uint8_t>(RelinquishOutcome::NotHeld)) {
                throw wire::MalformedError("outcome out of range");
            }
            value = static_cast<RelinquishOutcome>(response.getOutcome());
        });
    }

    std::error_code readValue(auto &response, SharedAssignment &value)
    {
        return readChecked([&] { value = wire::readAssignment(response.getRecords(), response.getVms()); });
    }

    std::error_code readValue(auto &response, bool &value)
    {
        if constexpr (requires { response.getIsConfirmed(); }) {
            value = response.getIsConfirmed();
        }
        return {};
    }

    boost::asio::any_io_executor control_;
    rpc::AtomicCounters counters_;
    rpc::Context context_;
    rpc::RpcClient *client_ = nullptr; // used on the RPC thread only
    bool isStopping_ = false; // used on the RPC thread only
    std::shared_ptr<bool> isRunning_ = std::make_shared<bool>(true); // used on the control thread only
    std::mutex mutex_; // protects tasks_ and wake_
    std::vector<Task> tasks_;
    std::optional<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> wake_;
    std::thread thread_;
    Endpoint localEndpoint_;
};

PeerService::PeerService(boost::asio::any_io_executor control, PeerServiceOptions options, PeerRequestHandler &handler, std::uint64_t process)
    : impl_(std::make_shared<Impl>(std::move(control), options, handler, process))
{
}

PeerService::~PeerService()
{
    stop();
}

std::error_code PeerService::start(const Endpoint &address)
{
    return impl_->start(address);
}

void PeerService::stop()
{
    impl_->stop();
}

Endpoint PeerService::localEndpoint() const
{
    return impl_->localEndpoint();
}

PeerServiceCounters PeerService::counters() const
{
    return impl_->counters();
}

void PeerService::exchange(const PeerTarget &target, PeerMessage message, ExchangeHandler handler)
{
    impl_->call<PeerMessage>(target, impl_->options().callTimeout, std::move(handler), [message = std::move(message)](wire::Peer::Client &peer) {
        auto request = peer.exchangeRequest();
        const auto bytes = encodeMessage(message);
        request.setMessage(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        return request.send();
    });
}

void PeerService::fetchConfig(const PeerTarget &target, ConfigurationHandler handler)
{
    impl_->call<ConfigurationText>(target, impl_->options().fetchTimeout, std::move(handler),
                                   [](wire::Peer::Client &peer) { return peer.fetchConfigRequest().send(); });
}

void PeerService::relinquishClaim(const PeerTarget &target, std::string_view service, std::string_view key, std::string_view token, RelinquishHandler handler)
{
    impl_->call<RelinquishOutcome>(
        target, impl_->options().callTimeout, std::move(handler),
        [process = target.process, service = std::string(service), key = std::string(key), token = std::string(token)](wire::Peer::Client &peer) {
            auto request = peer.relinquishClaimRequest();
            request.setExpectedProcess(process);
            request.setService(service);
            request.setKey(key);
            request.setToken(token);
            return request.send();
        });
}

void PeerService::confirmNoOrdersInFlight(const PeerTarget &target, const DomainKey &domain, std::uint64_t epoch, ConfirmHandler handler)
{
    impl_->call<bool>(target, impl_->options().callTimeout, std::move(handler), [process = target.process, domain, epoch](wire::Peer::Client &peer) {
        auto request = peer.confirmNoOrdersInFlightRequest();
        request.setExpectedProcess(process);
        request.setZone(domain.zone.str());
        request.setDomain(domain.domain.str());
        request.setEpoch(epoch);
        return request.send();
    });
}

void PeerService::reportSignals(const PeerTarget &target, std::vector<PeerSignal> signals, DoneHandler handler)
{
    impl_->call<bool>(
        target, impl_->options().callTimeout, [handler = std::move(handler)](const PeerReply &reply, bool) { handler(reply); },
        [signals = std::move(signals)](wire::Peer::Client &peer) {
            auto request = peer.reportSignalsRequest();
            auto list = request.initSignals(static_cast<unsigned>(signals.size()));
            for (unsigned i = 0; i < signals.size(); ++i) {
                list[i].setKind(static_cast<std::uint8_t>(signals[i].kind));
                list[i].setSubject(signals[i].subject);
                list[i].setWeightThousandths(signals[i].weightThousandths);
            }
            return request.send();
        });
}

void PeerService::fetchAssignment(const PeerTarget &target, std::vector<RecordStamp> known, AssignmentHandler handler)
{
    impl_->call<SharedAssignment>(target, impl_->options().fetchTimeout, std::move(handler), [known = std::move(known)](wire::Peer::Client &peer) {
        auto request = peer.fetchAssignmentRequest();
        wire::write(request.initKnown(static_cast<unsigned>(known.size())), known);
        return request.send();
    });
}

}
