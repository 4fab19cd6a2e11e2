#include "tests/gateway/gateway_fixture.h"

#include <cstdio>

namespace carawaypoint
{

GatewayTest::GatewayTest()
{
    settings_.id = MemberId("gateway-1");
    settings_.zone = ZoneId("a");
    settings_.drainTime = seconds(8);
    settings_.retryShare = 1;
    settings_.retrySlack = 100;
    settings_.retryWindow = seconds(10);
    settings_.maxDescriptors = 64;
    names_.attemptId = "X-Id";
    names_.deadline = "X-Deadline";
    names_.customer = "X-Customer";
    names_.expectedServer = "X-Expect";
    names_.notExecuted = "X-Not-Run";
    names_.signature = "X-Signature";
    names_.model = "X-Model";
    names_.tokenUsage = "X-Tokens";
    names_.priority = "X-Priority";
    names_.keyScheme = "Token";
}

GatewayTest::~GatewayTest()
{
    stopGateway();
}

void GatewayTest::stopGateway()
{
    if (thread_.joinable()) {
        context_->io.stop();
        thread_.join();
        work_.reset();
        server_.reset();
        context_.reset();
    }
}

ServiceConfigPtr GatewayTest::makeConfig() const
{
    auto config = std::make_shared<ServiceConfig>();
    config->version = 3;
    config->limits.maxHeaderBytes = 2048;
    config->limits.maxBodyBytes = 4096;
    config->limits.headerTimeout = milliseconds(300);
    config->limits.idleTimeout = idleTimeout_;
    EngineSpec engine;
    engine.slots = 4;
    engine.models.push_back({ModelId("m"), 1, 1.0, 1.0, seconds(12), seconds(1)});
    config->services[ServiceId("drafting")] = {ServiceId("drafting"), 100, engine};
    config->services[ServiceId("booking")] = {ServiceId("booking"), 100, std::nullopt};
    Route stream;
    stream.name = "stream";
    stream.host = "h";
    stream.pathPrefix = "/s/";
    stream.kind = CallKind::Stream;
    stream.isResumable = true;
    stream.timeout = seconds(6);
    stream.maxAttempts = 2;
    stream.targets.push_back({ServiceId("drafting"), 1});
    config->addRoute(stream);
    Route read = stream;
    read.name = "read";
    read.pathPrefix = "/r/";
    read.kind = CallKind::Idempotent;
    read.isResumable = false;
    read.timeout = milliseconds(1500);
    read.targets.front().service = ServiceId("booking");
    config->addRoute(read);
    Route book = read;
    book.name = "book";
    book.pathPrefix = "/b/";
    book.kind = CallKind::NonIdempotent;
    config->addRoute(book);
    Route open = read;
    open.name = "open";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    config->addRoute(open);
    config->addKey("key-1", {CustomerId("customer-1"), std::nullopt});
    return config;
}

void GatewayTest::start(const std::vector<Endpoint> &backends)
{
    context_ = std::make_unique<GatewayContext>(settings_, names_);
    servers_.clear();
    unsigned number = 0;
    for (const auto &endpoint : backends) {
        BackendServer plain;
        plain.id = VmId("plain-" + std::to_string(++number));
        plain.service = ServiceId("booking");
        plain.address = endpoint;
        plain.zone = ZoneId("a");
        plain.slots = 4;
        BackendServer head = plain;
        head.id = VmId("head-" + std::to_string(number));
        head.service = ServiceId("drafting");
        head.loadedModel = ModelId("m");
        head.membership = ReplicaMembership{ReplicaId("r" + std::to_string(number)), 1, 0, MembershipState::Open};
        servers_[plain.id] = plain;
        servers_[head.id] = head;
    }
    context_->snapshot = std::make_shared<const FleetSnapshot>(makeConfig(), servers_);
    server_ = std::make_unique<GatewayServer>(*context_);
    ASSERT_FALSE(server_->listen({"127.0.0.1", 0}));
    work_ = std::make_unique<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>(context_->io.get_executor());
    thread_ = std::thread([this] { context_->io.run(); });
}

void GatewayTest::applyConfig()
{
    runOnTrafficThread([this] { context_->snapshot = std::make_shared<const FleetSnapshot>(makeConfig(), servers_); });
}

void GatewayTest::runOnTrafficThread(const std::function<void()> &action)
{
    std::promise<void> done;
    boost::asio::post(context_->io, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

TestConnection GatewayTest::connect() const
{
    return TestConnection::open(server_->localEndpoint());
}

std::string GatewayTest::request(const std::string &path, const std::string &id, const std::string &extra)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nX-Model: m\r\nX-Deadline: 5000\r\nAuthorization: Token key-1\r\n" + extra
        + "Content-Length: 4\r\n\r\nbody";
}

std::string GatewayTest::eventStream(const std::string &id, unsigned first, unsigned last, bool isComplete)
{
    std::string text = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (unsigned number = first; number <= last; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: piece" + std::to_string(number) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx", event.size());
        text += std::string(size) + "\r\n" + event + "\r\n";
    }
    return isComplete ? text + "0\r\n\r\n" : text + "20\r\nid: " + std::to_string(last + 1) + "\ndata: to";
}

std::string GatewayTest::answer(const std::string &id, const std::string &body)
{
    return responseText(200, "X-Id: " + id + "\r\nX-Signature: s\r\n", body);
}

}
