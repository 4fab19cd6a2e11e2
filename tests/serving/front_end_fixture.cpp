#include "serving/front_end_fixture.h"

#include <algorithm>

namespace carawaypoint
{

Dispatcher::Ticket FakeDispatcher::grant(std::span<const ReplicaId> excluded, ResultCode refusalCode, const GrantHandler &handler)
{
    DispatchDecision decision;
    decision.code = refusalCode;
    decision.incarnation = 7;
    for (const auto &[replica, endpoint] : replicas) {
        if (std::find(excluded.begin(), excluded.end(), replica) == excluded.end()) {
            decision.code = ResultCode::Ok;
            decision.replica = replica;
            decision.leader = endpoint;
            break;
        }
    }
    handler(decision);
    return ++tickets_;
}

Dispatcher::Ticket FakeDispatcher::submit(const ModelRequest &, GrantHandler handler)
{
    ++submitted;
    if (holdsGrants) {
        return ++tickets_;
    }
    if (refusal != ResultCode::Ok) {
        DispatchDecision decision;
        decision.code = refusal;
        decision.retryAfter = seconds(2);
        handler(decision);
        return ++tickets_;
    }
    return grant({}, ResultCode::NoReplicaAvailable, handler);
}

bool FakeDispatcher::cancel(Ticket)
{
    ++cancelled;
    return true;
}

Dispatcher::Ticket FakeDispatcher::resubmit(Ticket, std::span<const ReplicaId> excluded, GrantHandler handler)
{
    return grant(excluded, retryRefusal, handler);
}

void FakeDispatcher::reportProgress(Ticket, std::uint32_t)
{
}

void FakeDispatcher::finish(Ticket, AttemptOutcome outcome, std::uint32_t)
{
    const std::lock_guard lock(mutex_);
    outcomes_.push_back(outcome);
}

std::vector<AttemptOutcome> FakeDispatcher::outcomes() const
{
    const std::lock_guard lock(mutex_);
    return outcomes_;
}

void FakeDispatcher::setSnapshot(RoutingSnapshotPtr)
{
}

void FakeDispatcher::tick()
{
}

bool FakeDispatcher::isEligible(const ReplicaId &replica, std::uint64_t) const
{
    return !ineligible.contains(replica.str());
}

Dispatcher::Demand FakeDispatcher::demand() const
{
    return {};
}

std::vector<std::uint64_t> FakeDispatcher::takeCrashSuspects()
{
    return {};
}

void FakeDispatcher::addPeerCrashSuspect(std::uint64_t)
{
}

FrontEndFixture::FrontEndFixture()
{
    settings_.threads = 1;
    settings_.drainRefusalDelay = milliseconds(1);
    snapshot_.generation = 1;
    snapshot_.customers.push_back({CustomerId("c")});
    CustomerView restricted{CustomerId("other-models-only")};
    restricted.models = {ModelId("x")};
    snapshot_.customers.push_back(restricted);
    ModelView model;
    model.id = ModelId("m");
    model.adapters = {"a"};
    model.maxPromptTokens = 100;
    model.maxOutputTokens = 1000;
    snapshot_.models.push_back(model);
    dependencies_.dispatcher = &dispatcher_;
    dependencies_.clock = &clock_;
    dependencies_.processIncarnation = 17;
    dependencies_.metrics = &metrics_;
    dependencies_.snapshot = [this] {
        return std::make_shared<const RoutingSnapshot>(snapshot_);
    };
    dependencies_.onServerSignal = [this](const ServerSignal &signal) {
        const std::lock_guard lock(mutex_);
        signals_.push_back(signal.kind);
    };
}

FrontEndFixture::~FrontEndFixture() = default;

void FrontEndFixture::addReplica(const Endpoint &endpoint)
{
    dispatcher_.replicas.emplace_back(ReplicaId("r" + std::to_string(dispatcher_.replicas.size() + 1)), endpoint);
}

void FrontEndFixture::startFrontEnd()
{
    frontEnd_ = HttpFrontEndBuilder().dependencies(dependencies_).settings(settings_).listenOn({"127.0.0.1", 0}).build();
    ASSERT_NE(frontEnd_, nullptr);
    ASSERT_FALSE(frontEnd_->start());
}

TestConnection FrontEndFixture::connect() const
{
    return TestConnection::open(frontEnd_->endpoints().front());
}

TestMessage FrontEndFixture::call(const std::string &request) const
{
    auto connection = connect();
    connection.write(request);
    return connection.read().value_or(TestMessage());
}

TestMessage FrontEndFixture::chat(bool isStreamed, const std::string &headers) const
{
    return call(chatRequest(isStreamed, headers));
}

std::vector<ServerSignal::Kind> FrontEndFixture::signals() const
{
    const std::lock_guard lock(mutex_);
    return signals_;
}

std::string postText(const std::string &target, const std::string &headers, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: t\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chatRequest(bool isStreamed, const std::string &headers)
{
    return postText("/v1/chat/completions", headers,
                    std::string(R"({"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":64,"stream":)")
                        + (isStreamed ? "true}" : "false}"));
}

std::string EngineAnswer::head(const TestMessage &request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + request.header("x-attempt-id")
        + "\r\nX-Replica: " + request.header("x-replica") + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string EngineAnswer::token(const TestMessage &request, unsigned index)
{
    return R"(data: {"id":")" + request.header("x-attempt-id") + R"(","index":)" + std::to_string(index) + R"(,"choices":[{"index":0,"delta":{"content":"w)"
        + std::to_string(index) + " \"}}]}\n\n";
}

std::string EngineAnswer::finish(const TestMessage &request, unsigned tokens)
{
    return R"(data: {"id":")" + request.header("x-attempt-id")
        + R"(","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":)" + std::to_string(tokens)
        + "}}\n\ndata: [DONE]\n\n";
}

std::string EngineAnswer::chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx", data.size());
    return std::string(size) + "\r\n" + data + "\r\n";
}

std::string EngineAnswer::tokens(const TestMessage &request, unsigned end, bool isComplete)
{
    std::string text = head(request);
    const auto from = static_cast<unsigned>(std::atoi(request.header("x-resume-from").c_str()));
    for (unsigned index = from; index < end; ++index) {
        text += chunk(token(request, index));
    }
    return isComplete ? text + chunk(finish(request, end)) + EndOfChunks : text;
}

}
