#include "protocol/rpc_server.h"

#include "core/result_code.h"
#include "protocol/message_codec.h"
#include "protocol/wire_conversion.h"

#include <optional>
#include <span>

namespace carawaypoint::rpc
{

namespace
{

// A call whose handler has not answered by then fails, so that abandoned calls do not accumulate on a connection.
constexpr Duration HandlerTimeout = seconds(10);
constexpr Duration IdleCheckInterval = seconds(10);
// Delay after a failed accept, e.g. for lack of file descriptors.
constexpr Duration AcceptRetryDelay = milliseconds(100);

/// Copyable fulfiller, which a std::function can hold; may be fulfilled on the control thread.
template<typename T>
using SharedFulfiller = std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>;

class PeerServer : public wire::Peer::Server
{
public:
    PeerServer(Context &context, kj::Timer &timer, kj::TimePoint &lastUsed)
        : context_(context)
        , timer_(timer)
        , lastUsed_(lastUsed)
    {
    }

    kj::Promise<void> exchange(ExchangeContext call) override
    {
        const auto message = readParams<PeerMessage>(call, [&] {
            const auto bytes = call.getParams().getMessage();
            PeerMessage read;
            if (decodeMessage(std::as_bytes(std::span(bytes.begin(), bytes.size())), read)) {
                throw wire::MalformedError("exchange");
            }
            return read;
        });
        if (!message) {
            return kj::READY_NOW;
        }
        call.releaseParams();
        return runOnControlThread<PeerMessage>([&handler = context_.handler, message = *message](auto answer) { answer(handler.onExchange(message)); })
            .then([this, call](PeerMessage &&reply) mutable {
                auto results = call.getResults();
                setOk(results);
                const auto bytes = encodeMessage(reply);
                results.setMessage(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
            });
    }

    kj::Promise<void> fetchConfig(FetchConfigContext call) override
    {
        return runOnControlThread<ConfigurationText>([&handler = context_.handler](auto answer) { answer(handler.onFetchConfig()); })
            .then([this, call](ConfigurationText &&configuration) mutable {
                auto results = call.getResults();
                setOk(results);
                results.setGeneration(configuration.generation);
                results.setDigest(configuration.digest);
                results.setText(kj::arrayPtr(reinterpret_cast<const kj::byte *>(configuration.text.data()), configuration.text.size()));
            });
    }

    kj::Promise<void> relinquishClaim(RelinquishClaimContext call) override
    {
        struct Claim {
            std::uint64_t process;
            std::string service;
            std::string key;
            std::string token;
        };
        auto claim = readParams<Claim>(call, [&] {
            const auto params = call.getParams();
            return Claim{params.getExpectedProcess(), wire::readText(params.getService()), wire::readText(params.getKey()), wire::readText(params.getToken())};
        });
        if (!claim || claim->process != context_.process) {
            return rejectOtherProcess(call, claim.has_value());
        }
        return runOnControlThread<RelinquishOutcome>(
                   [&handler = context_.handler, claim = *claim](auto answer) { handler.onRelinquishClaim(claim.service, claim.key, claim.token, answer); })
            .then([this, call](RelinquishOutcome outcome) mutable {
                auto results = call.getResults();
                setOk(results);
                results.setOutcome(static_cast<std::uint8_t>(outcome));
            });
    }

    kj::Promise<void> confirmNoOrdersInFlight(ConfirmNoOrdersInFlightContext call) override
    {
        struct Question {
            std::uint64_t process;
            DomainKey domain;
            std::uint64_t epoch;
        };
        auto question = readParams<Question>(call, [&] {
            const auto params = call.getParams();
            return Question{
                params.getExpectedProcess(), {ZoneId(wire::readText(params.getZone())), FabricDomainId(wire::readText(params.getDomain()))}, params.getEpoch()};
        });
        if (!question || question->process != context_.process) {
            return rejectOtherProcess(call, question.has_value());
        }
        return runOnControlThread<bool>([&handler = context_.handler, question = *question](auto answer) {
                   handler.onConfirmNoOrdersInFlight(question.domain, question.epoch, answer);
               })
            .then([this, call](bool isConfirmed) mutable {
                auto results = call.getResults();
                setOk(results);
                results.setIsConfirmed(isConfirmed);
            });
    }

    kj::Promise<void> reportSignals(ReportSignalsContext call) override
    {
        auto report = readParams<std::vector<PeerSignal>>(call, [&] { return wire::readSignals(call.getParams().getSignals()); });
        if (!report) {
            return kj::READY_NOW;
        }
        context_.postToControl([&handler = context_.handler, report = *report] { handler.onSignals(report); });
        auto results = call.getResults();
        setOk(results);
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchAssignment(FetchAssignmentContext call) override
    {
        auto known = readParams<std::vector<RecordStamp>>(call, [&] { return wire::readStamps(call.getParams().getKnown()); });
        if (!known) {
            return kj::READY_NOW;
        }
        return runOnControlThread<SharedAssignment>([&handler = context_.handler, known = *known](auto answer) { answer(handler.onFetchAssignment(known)); })
            .then([this, call](SharedAssignment &&assignment) mutable {
                auto results = call.getResults();
                setOk(results);
                wire::write(results.initRecords(static_cast<unsigned>(assignment.records.size())), assignment.records);
                wire::write(results.initVms(static_cast<unsigned>(assignment.vms.size())), assignment.vms);
            });
    }

private:
    template<typename Results>
    void setOk(Results &results)
    {
        auto answer = results.initAnswer();
        answer.setProcess(context_.process);
        answer.setCode(static_cast<std::uint16_t>(ResultCode::Ok));
    }

    /// Reads the parameters of a call; a malformed call is counted and answered with PeerMalformed.
    template<typename T, typename CallContext>
    std::optional<T> readParams(CallContext &call, auto &&read)
    {
        lastUsed_ = timer_.now();
        ++context_.counters.callsServed;
        try {
            return read();
        } catch (const wire::MalformedError &) {
        } catch (const kj::Exception &) {
        }
        ++context_.counters.malformedMessages;
        auto answer = call.getResults().initAnswer();
        answer.setProcess(context_.process);
        answer.setCode(static_cast<std::uint16_t>(ResultCode::PeerMalformed));
        return std::nullopt;
    }

    /// Answers a call that expects another process without running it.
    template<typename CallContext>
    kj::Promise<void> rejectOtherProcess(CallContext &call, bool isReadable)
    {
        if (isReadable) {
            auto results = call.getResults();
            setOk(results); // the caller detects the mismatch from the process in the answer
        }
        return kj::READY_NOW;
    }

    /// Runs @p ask on the control thread and passes it a function that delivers the answer.
    template<typename T>
    kj::Promise<T> runOnControlThread(auto ask)
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
        auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(kj::mv(pair.fulfiller));
        context_.postToControl([ask, fulfiller] { ask(std::function<void(T)>([fulfiller](T value) { (*fulfiller)->fulfill(kj::mv(value)); })); });
        return timer_.timeoutAfter(toKj(HandlerTimeout), kj::mv(pair.promise));
    }

    Context &context_;
    kj::Timer &timer_;
    kj::TimePoint &lastUsed_;
};

}

struct RpcServer::Connection {
    Connection(kj::Own<kj::AsyncIoStream> accepted, Context &context, kj::Timer &timer)
        : stream(kj::mv(accepted))
        , messages(*stream, context.counters)
        , lastUsed(timer.now())
        , network(messages, capnp::rpc::twoparty::Side::SERVER, readerOptions(context))
        , rpc(capnp::makeRpcServer(network, kj::heap<PeerServer>(context, timer, lastUsed)))
    {
        rpc.setFlowLimit(context.options.maxMessageBytes / sizeof(capnp::word));
    }

    static capnp::ReaderOptions readerOptions(const Context &context)
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = context.options.maxMessageBytes / sizeof(capnp::word);
        return options;
    }

    kj::Own<kj::AsyncIoStream> stream;
    CountingStream messages;
    kj::TimePoint lastUsed;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

RpcServer::RpcServer(Context &context, kj::Timer &timer)
    : context_(context)
    , timer_(timer)
    , tasks_(*this)
{
}

void RpcServer::listen(kj::Own<kj::ConnectionReceiver> listener)
{
    listener_ = kj::mv(listener);
    tasks_.add(acceptLoop());
    tasks_.add(closeIdleLoop());
}

kj::Promise<void> RpcServer::acceptLoop()
{
    return listener_->accept().then(
        [this](kj::Own<kj::AsyncIoStream> &&stream) {
            add(kj::mv(stream));
            return acceptLoop();
        },
        [this](kj::Exception &&) { return timer_.afterDelay(toKj(AcceptRetryDelay)).then([this] { return acceptLoop(); }); });
}

void RpcServer::add(kj::Own<kj::AsyncIoStream> stream)
{
    if (connections_.size() >= context_.options.maxServerConnections) {
        ++context_.counters.refusedConnections;
        return;
    }
    const auto id = nextConnection_++;
    auto connection = std::make_shared<Connection>(kj::mv(stream), context_, timer_);
    tasks_.add(connection->network.onDisconnect().then([this, id] { connections_.erase(id); }));
    connections_.emplace(id, std::move(connection));
}

kj::Promise<void> RpcServer::closeIdleLoop()
{
    return timer_.afterDelay(toKj(IdleCheckInterval)).then([this] {
        std::erase_if(connections_, [&](const auto &item) { return timer_.now() - item.second->lastUsed > toKj(context_.options.idleTimeout); });
        return closeIdleLoop();
    });
}

void RpcServer::taskFailed(kj::Exception &&)
{
    // A connection ended. A failed call was counted where it failed.
}

}
