#pragma once

#include "core/http_client.h"
#include "objects/object_store.h"

#include <memory>

namespace carawaypoint
{

/// The platform's object API over HTTP (docs/interfaces.md). The executor must run handlers one at a time.
class HttpObjectStore : public ObjectStore
{
public:
    class Builder
    {
    public:
        Builder(boost::asio::any_io_executor executor, Endpoint platform)
            : executor_(std::move(executor))
            , platform_(std::move(platform))
        {
        }
        /// Timeout of one call; for a watch, its waiting time is added.
        Builder &timeout(Duration timeout)
        {
            timeout_ = timeout;
            return *this;
        }
        /// Maximum number of connections. Each pending watch uses one.
        Builder &maxConnections(std::size_t count)
        {
            maxConnections_ = count;
            return *this;
        }
        std::unique_ptr<HttpObjectStore> build() const;

    private:
        boost::asio::any_io_executor executor_;
        Endpoint platform_;
        Duration timeout_{seconds(2)};
        std::size_t maxConnections_ = 16;
    };

    void fetch(std::string_view kind, std::string_view name, ObjectHandler handler) override;
    void put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler) override;
    void remove(std::string_view kind, std::string_view name, WriteCondition condition, DoneHandler handler) override;
    void list(std::string_view kind, ListHandler handler) override;
    void watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler) override;
    void listVms(VmListHandler handler) override;

private:
    HttpObjectStore(boost::asio::any_io_executor executor, std::unique_ptr<HttpClient> client, Endpoint platform, Duration timeout);
    void send(HttpRequest request, HttpClient::Handler handler);

    boost::asio::any_io_executor executor_;
    std::unique_ptr<HttpClient> client_;
    Endpoint platform_;
    Duration timeout_;
};

}
