#pragma once

#include "gateway/backend_load_tracker.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_context.h"
#include "gateway/request_traits.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawaypoint
{

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Forwards one request of a caller to backend servers and the response back to the caller.
///
/// A request that may have run is sent again only if its route allows that. A stream continues at another replica after the last
/// complete event that was sent to the caller.
///
/// While a server is silent, a repeatable request is sent to another one too. The first server keeps it until the other one has begun to answer:
/// silence alone ends no request.
class ForwardCall : public std::enable_shared_from_this<ForwardCall>, public ReroutableCall
{
public:
    ForwardCall(GatewayContext &context, ConnectionPtr caller, CallerRequest request, TimePoint receivedAt);

    /// Processes the request and responds to the caller. Returns whether its connection may be used for another request.
    asio::awaitable<bool> run();
    /// The caller has closed its connection: cancels the request.
    void abandon();

    const std::string &requestId() const
    {
        return entry_.id;
    }
    /// Writes the log entry of the request, which is cut because the process ends.
    void logCut();
    /// Whether bytes of a response were sent to the caller.
    bool hasSentResponse() const
    {
        return hasSentResponse_;
    }

    bool hasStarted() const override
    {
        return hasEvents_;
    }
    void reroute() override;

private:
    /// How one attempt at a backend server ended.
    enum class AttemptEnd : std::uint8_t {
        Answered, // the complete response was sent to the caller
        NotSent, // no connection to the server
        NotRun, // the server states that it did not run the request
        Failed, // the request may have run
        CallerLost, // the response could not be sent to the caller
    };
    using Response = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    /// No attempt is started with less time than this until the deadline.
    static constexpr Duration MinAttemptTime = milliseconds(20);

    bool admit();
    unsigned prefillTokens() const;
    void parseTimes();
    const ServiceId &pickService() const;
    ServerPool serverPool() const;
    RequestStage stage() const;
    unsigned queuePriority() const;
    const ServingTarget *chooseTarget();
    void recordRejection(const ServerPool &pool);

    struct Standby;

    /// An attempt, and those at servers that are asked while its server is silent.
    asio::awaitable<AttemptEnd> attemptWithStandby(ServingTarget target);
    asio::awaitable<AttemptEnd> attempt(ServingTarget target);
    void beginAttempt(const ServingTarget &target);
    asio::awaitable<AttemptEnd> endAttempt(AttemptEnd end, ServingTarget target, TimePoint startedAt);
    asio::awaitable<void> runStandby(std::shared_ptr<Standby> standby);
    asio::awaitable<bool> beginAtStandby(Standby &standby);
    asio::awaitable<void> recordStandbyFailure(const Standby &standby);
    asio::awaitable<AttemptEnd> continueAtStandby(AttemptEnd end);
    void dropStandby();
    void askAnotherServerAfter(Duration time, asio::steady_timer &timer);
    ReroutableCall *trackedStream();
    Duration responseTime() const;
    bool isNotRun(const Response::value_type &header) const;
    bool isUnsignedSuccess(const Response::value_type &header) const;
    asio::awaitable<std::error_code> connectTo(const ServingTarget &target, BackendLink &link);
    asio::awaitable<AttemptEnd> connectAndExchange(ServingTarget target);
    asio::awaitable<AttemptEnd> exchange(BackendLink &link, ServingTarget target);
    void recordStatedLoad(const Response::value_type &header, const VmId &server);
    asio::awaitable<bool> sendRequest(BackendLink &link, const ServingTarget &target);
    asio::awaitable<bool> readHeader(BackendLink &link, std::optional<Response> &response);
    asio::awaitable<bool> readBody(BackendLink &link, Response &response, std::string &body);
    asio::awaitable<bool> discardBody(BackendLink &link, Response &response);
    asio::awaitable<AttemptEnd> relayResponse(BackendLink &link, Response &response);
    asio::awaitable<AttemptEnd> relayCompleteResponse(BackendLink &link, Response &response);
    asio::awaitable<AttemptEnd> relayStream(BackendLink &link, Response &response);
    asio::awaitable<bool> writeEvents(std::string_view bytes, const Response &response);
    asio::awaitable<bool> writeCaller(std::string head, std::string_view body = {});
    bool reserveResponse(std::string &body, std::size_t bytes, std::uint64_t statedLength);
    void recordAnswer(bool isServed);
    void recordStreamData();
    void recordStatements(const Response::value_type &header, const ServingTarget &target);
    asio::awaitable<void> checkLostServer(const ServingTarget &target);
    void keepOrClose(BackendLink &link, Response &response);
    /// Complete events of a stream.
    struct EventBatch {
        std::string bytes; // of events that the caller does not have yet
        bool hasData = false; // some event has data, also one that the caller has
    };
    EventBatch collectEvents(EventSplitter &splitter);

    std::optional<Duration> deferralOfAllServers() const;
    bool refuseIfQuarantined();
    bool mayRetry(AttemptEnd end);
    void failWith(ResultCode code, std::string_view reason);
    asio::awaitable<bool> sendFailureResponse();
    void writeLog();
    Duration remaining() const;
    bool isCallerKept() const;
    std::string responseHead(const boost::beast::http::fields &fields, unsigned status, std::string_view reason);

    GatewayContext &context_;
    ConnectionPtr caller_;
    CallerRequest request_;
    TimePoint receivedAt_;
    TimePoint callerDeadline_{};
    TimePoint deadline_{}; // of the caller or of the route, whichever is earlier
    FleetSnapshotPtr snapshot_;
    const Route *route_ = nullptr; // owned by the snapshot's configuration
    CustomerId customer_;
    std::optional<unsigned> customerPriority_;
    ServiceId service_;
    ModelId model_;

    std::vector<TraitId> traits_; // to which crashes of servers are attributed
    CrashId lostServerCrash_ = 0; // of the server of the latest attempt before it answered; 0 when it was not lost
    bool hasAnswer_ = false; // the server of the latest attempt has shown that it bears the request
    std::optional<TimePoint> firstDataAt_; // first event of the latest attempt
    bool mayHaveLostServer_ = false; // the connection of the latest attempt ended by itself
    std::vector<VmId> excluded_;
    std::optional<BackendLink> activeLink_;
    std::shared_ptr<Standby> standby_; // an attempt at another server while that of the latest one is silent
    MemoryBudget::Reservation buffered_; // response bytes that wait for more
    unsigned pendingPrefillTokens_ = 0; // prompt tokens of the current attempt until its first event
    unsigned sentAttempts_ = 0; // attempts that reached a server
    unsigned failedConnects_ = 0; // attempts without a connection
    bool mayHaveRun_ = false;
    bool isRetry_ = false; // the caller retries after a refusal
    bool isCallerGone_ = false;
    bool isRerouting_ = false;
    bool hasSentResponse_ = false;
    bool isHeaderSent_ = false; // of a stream
    bool isCloseAnnounced_ = false; // the response states that the connection closes after it
    bool hasEvents_ = false;
    bool mustCloseCaller_ = false;
    std::optional<std::uint64_t> lastEventId_;
    Duration retryAfter_{};
    RequestEntry entry_;
};

}
