// Stand-ins of the platform, the model engines and the plain services, with one subcommand each.

#include "core/ids.h"
#include "standins/engine_fleet.h"
#include "standins/platform_standin.h"
#include "standins/service_fleet.h"

#include <CLI/CLI.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <iostream>

using namespace carawaypoint;
using namespace carawaypoint::standins;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

tcp::endpoint toEndpoint(const std::string &text)
{
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint.isValid()) {
        throw CLI::ValidationError(text, "expected address:port");
    }
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

tcp::endpoint withPortOffset(tcp::endpoint endpoint, unsigned offset)
{
    endpoint.port(static_cast<std::uint16_t>(endpoint.port() + offset));
    return endpoint;
}

/// Sends a change of the VM list to the platform stand-in. Blocks, which is acceptable at start and for rare changes.
void announceVms(const std::string &platform, const json::object &change)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(toEndpoint(platform));
    http::request<http::string_body> request{http::verb::post, "/standin/vms", 11};
    request.set(http::field::host, platform);
    request.body() = json::serialize(change);
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response);
}

struct Options {
    std::vector<std::string> listen;
    std::string platform;
    std::string control;
    std::string zone = "z1";
    std::string base;
    std::string pool;
    unsigned domains = 2;
    unsigned vmsPerDomain = 10;
    EngineSettings engine;
    std::uint64_t stepMs = 10;
    std::uint64_t loadMs = 2000;
    std::uint64_t cachedLoadMs = 200;
};

void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

void runPlatform(const Options &options)
{
    asio::io_context context(1);
    std::vector<tcp::endpoint> endpoints;
    for (const auto &text : options.listen) {
        endpoints.push_back(toEndpoint(text));
    }
    PlatformStandin platform(context.get_executor(), endpoints);
    platform.start();
    runUntilSignal(context);
}

void runEngines(Options options)
{
    asio::io_context context(1);
    options.engine.stepTime = std::chrono::milliseconds(options.stepMs);
    options.engine.loadTime = std::chrono::milliseconds(options.loadMs);
    options.engine.cachedLoadTime = std::chrono::milliseconds(options.cachedLoadMs);
    EngineFleet fleet(context.get_executor(), options.engine);
    const tcp::endpoint base = toEndpoint(options.base);
    for (unsigned domain = 0; domain < options.domains; ++domain) {
        for (unsigned index = 0; index < options.vmsPerDomain; ++index) {
            const unsigned offset = domain * options.vmsPerDomain + index;
            const std::string domainName = "d" + std::to_string(domain + 1);
            fleet.addVm(options.zone + "-" + domainName + "-vm" + std::to_string(index + 1), options.zone, domainName, options.pool,
                        withPortOffset(base, offset));
        }
    }
    fleet.onVmListChange = [&options](const json::object &change) {
        announceVms(options.platform, change);
    };
    fleet.start(toEndpoint(options.control));
    announceVms(options.platform, json::object{{"vms", fleet.vmList()}});
    runUntilSignal(context);
}

void runService(const Options &options)
{
    asio::io_context context(1);
    ServiceFleet fleet(context.get_executor(), options.pool);
    unsigned index = 0;
    for (const auto &text : options.listen) {
        ++index;
        fleet.addVm(options.pool + "-" + std::to_string(index), "z" + std::to_string(index), toEndpoint(text));
    }
    fleet.start(toEndpoint(options.control));
    announceVms(options.platform, json::object{{"vms", fleet.vmList()}});
    runUntilSignal(context);
}

}

int main(int argc, char **argv)
{
    CLI::App app{"Stand-ins of the systems around carawaypoint, for tests and the quick start"};
    app.require_subcommand(1);
    Options options;

    auto *platform = app.add_subcommand("platform", "Object API and VM list");
    platform->add_option("--listen", options.listen, "address:port, one for each zone that can be cut off")->required();

    auto *engines = app.add_subcommand("engines", "Model engines of one zone");
    engines->add_option("--platform", options.platform, "address:port of the platform stand-in")->required();
    engines->add_option("--control", options.control, "address:port for faults and the audit")->required();
    engines->add_option("--base", options.base, "address:port of the first VM; the other VMs use the next ports")->required();
    engines->add_option("--zone", options.zone, "availability zone");
    engines->add_option("--pool", options.pool, "pool of the VMs")->required();
    engines->add_option("--domains", options.domains, "fabric domains");
    engines->add_option("--vms-per-domain", options.vmsPerDomain, "VMs of each fabric domain");
    engines->add_option("--slots", options.engine.slots, "largest number of requests in a batch");
    engines->add_option("--step-ms", options.stepMs, "duration of a step with an empty batch, in ms");
    engines->add_option("--load-ms", options.loadMs, "time to load weights onto one VM, in ms");
    engines->add_option("--cached-load-ms", options.cachedLoadMs, "time to load weights that the VM still holds, in ms");
    engines->add_option("--parallel-loads", options.engine.parallelLoads, "loads that the weight store serves at full speed");
    engines->add_flag("!--ignore-fencing", options.engine.isFencingChecked, "apply orders with an old fencing number");

    auto *service = app.add_subcommand("service", "Plain service that counts executions by key");
    service->add_option("--listen", options.listen, "address:port of each VM, one for each zone")->required();
    service->add_option("--platform", options.platform, "address:port of the platform stand-in")->required();
    service->add_option("--control", options.control, "address:port for faults and counts")->required();
    service->add_option("--pool", options.pool, "name of the service's pool")->required();

    platform->callback([&options] { runPlatform(options); });
    engines->callback([&options] { runEngines(options); });
    service->callback([&options] { runService(options); });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error);
    } catch (const std::exception &error) {
        std::cerr << "carawaypoint-standins: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
