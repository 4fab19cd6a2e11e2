#include "fleet/service_config.h"

#include <algorithm>
#include <cctype>

namespace carawaypoint
{

namespace
{

std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

}

const ModelSpec *EngineSpec::findModel(const ModelId &id) const
{
    const auto found = std::find_if(models.begin(), models.end(), [&id](const ModelSpec &model) { return model.id == id; });
    return found == models.end() ? nullptr : &*found;
}

void ServiceConfig::addRoute(Route route)
{
    route.host = normalizeHost(route.host);
    auto &routes = routes_[route.host];
    auto prefix = route.pathPrefix;
    routes.insert_or_assign(std::move(prefix), std::move(route));
}

void ServiceConfig::addKey(std::string key, Customer customer)
{
    requiresKeys = true;
    customers_.insert_or_assign(std::move(key), std::move(customer));
}

const Route *ServiceConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = routes_.find(normalizeHost(host));
    if (routes == routes_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    while (!path.empty()) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return &found->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const Customer *ServiceConfig::findCustomer(std::string_view key) const
{
    const auto found = customers_.find(key);
    return found == customers_.end() ? nullptr : &found->second;
}

const EngineSpec *ServiceConfig::findEngine(const ServiceId &service) const
{
    const auto found = services.find(service);
    return found == services.end() || !found->second.engine ? nullptr : &*found->second.engine;
}

const ModelSpec *ServiceConfig::findModel(const ServiceId &service, const ModelId &model) const
{
    const auto *engine = findEngine(service);
    return engine == nullptr ? nullptr : engine->findModel(model);
}

std::size_t ServiceConfig::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, routes] : routes_) {
        count += routes.size();
    }
    return count;
}

}
